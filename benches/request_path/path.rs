//! What one entry adds to a request, against the same callers direct to the workers.

use crate::{
    bed::{Bed, Size, measured},
    figure::{Figure, Goal},
};
use eyre::Result;
use primroseroute_load::Loop;
use std::time::Duration;

/// Callers of the closed loop: as many as the workers have slots, so that no request waits for one.
const CALLERS: usize = 32;

const SIZE: Size = Size {
    entries: 1,
    workers: 4,
    delay: Duration::ZERO,
};

/// Direct, through the entry, and both at half of the entry's throughput.
pub async fn measure(seed: u64) -> Result<Vec<Figure>> {
    let bed = Bed::open(SIZE, seed).await?;
    let most = Loop::Closed { callers: CALLERS };
    let direct = measured(&bed.direct(most)).await?.goodput();
    let through = measured(&bed.through(most)).await?.goodput();
    let half = Loop::Open {
        rate: through / 2.0,
    };
    let base = measured(&bed.direct(half)).await?.total();
    let entry = measured(&bed.through(half)).await?.total();
    let added = |quantile| {
        let (base, entry) = (base.latency(quantile), entry.latency(quantile));
        (entry.as_secs_f64() - base.as_secs_f64()) * 1e3
    };
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    Ok(vec![
        Figure::new("throughput direct", "requests/s", direct),
        Figure::new("throughput through one entry", "requests/s", through),
        Figure::new("throughput, entry to direct", "ratio", through / direct)
            .with(Goal::AtLeast(0.4)),
        Figure::new("direct p50 at half load", "us", micros(base.latency(0.5))),
        Figure::new("direct p99 at half load", "us", micros(base.latency(0.99))),
        Figure::new("entry p50 at half load", "us", micros(entry.latency(0.5))),
        Figure::new("entry p99 at half load", "us", micros(entry.latency(0.99))),
        Figure::new("added at p50, half load", "ms", added(0.5)).with(Goal::AtMost(0.3)),
        Figure::new("added at p99, half load", "ms", added(0.99)).with(Goal::AtMost(2.0)),
    ])
}
