//! What one entry adds to a request, against the same callers direct to the workers.

use crate::{
    bed::{Bed, Size, measured},
    figure::{Figure, Goal},
};
use eyre::Result;
use primroseroute_load::{Loop, Plan, Tally};
use std::time::Duration;

/// Callers of the closed loop: as many as the workers have slots, so that no request waits for one.
const CALLERS: usize = 32;

const SIZE: Size = Size {
    entries: 1,
    workers: 4,
    delay: Duration::ZERO,
};

/// Direct and through the entry in turn, so that what else runs on the machine meets both alike.
const ROUNDS: usize = 7;

/// Before and in the measured part of each turn.
const WARM_UP: Duration = Duration::from_millis(200);
const MEASURED: Duration = Duration::from_millis(600);

fn turn(plan: Plan, seed: u64) -> Plan {
    Plan {
        warm_up: WARM_UP,
        measured: MEASURED,
        seed,
        ..plan
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Throughput each way, then latency each way at half of the entry's throughput.
pub async fn measure(seed: u64) -> Result<Vec<Figure>> {
    let bed = Bed::open(SIZE, seed).await?;
    let most = Loop::Closed { callers: CALLERS };
    let (mut direct, mut through, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let one = measured(&turn(bed.direct(most), seed)).await?.goodput();
        let other = measured(&turn(bed.through(most), seed)).await?.goodput();
        direct.push(one);
        through.push(other);
        ratios.push(other / one);
    }
    let (direct, through, ratio) = (median(direct), median(through), median(ratios));
    let half = Loop::Open {
        rate: through / 2.0,
    };
    let (mut base, mut entry) = (Vec::new(), Vec::new());
    for seed in (seed..).take(ROUNDS) {
        base.push(measured(&turn(bed.direct(half), seed)).await?.total());
        entry.push(measured(&turn(bed.through(half), seed)).await?.total());
    }
    let micros = |turns: &[Tally], quantile| {
        let each = turns.iter().map(|turn| turn.latency(quantile));
        median(each.map(|time| time.as_secs_f64() * 1e6).collect())
    };
    let [base_p50, entry_p50] = [&base, &entry].map(|turns| micros(turns, 0.5));
    let [base_p99, entry_p99] = [&base, &entry].map(|turns| micros(turns, 0.99));
    let added = |base: f64, entry: f64| (entry - base) / 1e3;
    Ok(vec![
        Figure::new("throughput direct", "requests/s", direct),
        Figure::new("throughput through one entry", "requests/s", through),
        Figure::new("throughput, entry to direct", "ratio", ratio).with(Goal::AtLeast(0.4)),
        Figure::new("direct p50 at half load", "us", base_p50),
        Figure::new("direct p99 at half load", "us", base_p99),
        Figure::new("entry p50 at half load", "us", entry_p50),
        Figure::new("entry p99 at half load", "us", entry_p99),
        Figure::new("added at p50, half load", "ms", added(base_p50, entry_p50))
            .with(Goal::AtMost(0.3)),
        Figure::new("added at p99, half load", "ms", added(base_p99, entry_p99))
            .with(Goal::AtMost(2.0)),
    ])
}
