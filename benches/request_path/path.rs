//! Overhead of one entry, compared with the same callers sending directly to the workers.

use crate::{
    fixture::{Fixture, Size, run_plan},
    results::{Goal, Measurement},
};
use eyre::Result;
use primroseroute_load::{Loop, Plan, Tally};
use std::time::Duration;

/// Callers of the closed loop: one per slot of the workers, so that no request waits for a slot.
const CALLERS: usize = 32;

const SIZE: Size = Size {
    entries: 1,
    workers: 4,
    delay: Duration::ZERO,
};

/// Number of rounds that alternate between direct and through the entry, so that other load on the machine
/// affects both equally.
const ROUNDS: usize = 7;

/// Warm-up before each measurement.
const WARM_UP: Duration = Duration::from_millis(200);
/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_millis(600);

fn short_plan(plan: Plan, seed: u64) -> Plan {
    Plan {
        warm_up: WARM_UP,
        measured: MEASURED_TIME,
        seed,
        ..plan
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures throughput direct and through the entry, then the latency of both at half of the entry's throughput.
pub async fn measure(seed: u64) -> Result<Vec<Measurement>> {
    let fixture = Fixture::start(SIZE, seed).await?;
    let saturating = Loop::Closed { callers: CALLERS };
    let (mut direct, mut through, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let direct_rate = run_plan(&short_plan(fixture.direct(saturating), seed))
            .await?
            .goodput();
        let entry_rate = run_plan(&short_plan(fixture.through_entries(saturating), seed))
            .await?
            .goodput();
        direct.push(direct_rate);
        through.push(entry_rate);
        ratios.push(entry_rate / direct_rate);
    }
    let (direct, through, ratio) = (median(direct), median(through), median(ratios));
    let half_load = Loop::Open {
        rate: through / 2.0,
    };
    let (mut base, mut entry) = (Vec::new(), Vec::new());
    for seed in (seed..).take(ROUNDS) {
        base.push(
            run_plan(&short_plan(fixture.direct(half_load), seed))
                .await?
                .total(),
        );
        entry.push(
            run_plan(&short_plan(fixture.through_entries(half_load), seed))
                .await?
                .total(),
        );
    }
    let micros = |tallies: &[Tally], quantile| {
        let latencies = tallies.iter().map(|tally| tally.latency(quantile));
        median(latencies.map(|time| time.as_secs_f64() * 1e6).collect())
    };
    let [base_p50, entry_p50] = [&base, &entry].map(|tallies| micros(tallies, 0.5));
    let [base_p99, entry_p99] = [&base, &entry].map(|tallies| micros(tallies, 0.99));
    let added = |base: f64, entry: f64| (entry - base) / 1e3;
    Ok(vec![
        Measurement::new("throughput direct", "requests/s", direct),
        Measurement::new("throughput through one entry", "requests/s", through),
        Measurement::new("throughput, entry to direct", "ratio", ratio)
            .with_goal(Goal::AtLeast(0.4)),
        Measurement::new("direct p50 at half load", "us", base_p50),
        Measurement::new("direct p99 at half load", "us", base_p99),
        Measurement::new("entry p50 at half load", "us", entry_p50),
        Measurement::new("entry p99 at half load", "us", entry_p99),
        Measurement::new("added at p50, half load", "ms", added(base_p50, entry_p50))
            .with_goal(Goal::AtMost(0.3)),
        Measurement::new("added at p99, half load", "ms", added(base_p99, entry_p99))
            .with_goal(Goal::AtMost(2.0)),
    ])
}
