//! Complete entries: the cost of control when idle, for a change and for a restart.

use crate::{process_stats, results::Measurement};
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use primroseroute_capacity::{Cluster, Count, Cycles, Size};
use std::time::Duration;
use tokio::{
    runtime::{Builder, Runtime},
    time::Instant,
};

/// Length of the idle measurement: a whole number of polls, roster reads, exchanges and heartbeats.
const IDLE_PERIOD: Duration = Duration::from_secs(60);

/// Number of changes that are timed.
const CHANGES: u32 = 10;

/// Time between two changes, so that they share no registration write and no poll.
const CHANGE_INTERVAL: Duration = Duration::from_secs(6);

/// Number of workers that are restarted.
const RESTARTS: usize = 3;

fn runtime() -> Result<Runtime> {
    let mut builder = Builder::new_current_thread();
    Ok(builder.enable_all().start_paused(true).build()?)
}

/// Takes all measurements of one size.
pub fn measure(size: Size) -> Result<Vec<Measurement>> {
    let resident_before = process_stats::resident_bytes()?;
    let without_cycles = runtime()?.block_on(async {
        let cluster = Cluster::start(size, Cycles::Suspended).await?;
        measure_idle(&cluster)
            .await
            .map(|(_count, cpu_time)| cpu_time)
    })?;
    runtime()?.block_on(async {
        let cluster = Cluster::start(size, Cycles::Running).await?;
        let (count, with_cycles) = measure_idle(&cluster).await?;
        let mut measurements = idle_rates(size, count);
        measurements.extend(cpu_usage(size, without_cycles, with_cycles));
        measurements.extend(changes(size, &cluster, count).await?);
        measurements.extend(restarts(&cluster, count).await?);
        let grown = process_stats::resident_bytes()?.saturating_sub(resident_before);
        let grown = grown as f64 / 1e6 / size.entries as f64;
        measurements.push(Measurement::new(
            "memory that the process gained, by entry",
            "MB",
            grown,
        ));
        Ok(measurements)
    })
}

async fn measure_idle(cluster: &Cluster) -> Result<(Count, Duration)> {
    let before = process_stats::thread_cpu_time()?;
    let count = cluster.count_idle(IDLE_PERIOD).await;
    Ok((
        count,
        process_stats::thread_cpu_time()?.saturating_sub(before),
    ))
}

fn idle_rates(size: Size, count: Count) -> Vec<Measurement> {
    let per_second = |count: u64| count as f64 / IDLE_PERIOD.as_secs_f64();
    let per_entry = |count: u64| per_second(count) / size.entries as f64;
    vec![
        Measurement::new("store reads at rest", "1/s", per_second(count.reads)),
        Measurement::new(
            "store rows read at rest",
            "1/s",
            per_second(count.rows_read),
        ),
        Measurement::new("store writes at rest", "1/s", per_second(count.writes)),
        Measurement::new(
            "store rows written at rest",
            "1/s",
            per_second(count.rows_written),
        ),
        Measurement::new(
            "reads of the instance list at rest",
            "1/s",
            per_second(count.lists),
        ),
        // Each exchange has two sides.
        Measurement::new(
            "exchanges at rest, by entry",
            "1/s",
            2.0 * per_entry(count.exchanges),
        ),
    ]
}

fn cpu_usage(size: Size, without_cycles: Duration, with_cycles: Duration) -> Vec<Measurement> {
    let seconds = IDLE_PERIOD.as_secs_f64();
    let percent = without_cycles.as_secs_f64() / seconds / size.entries as f64 * 100.0;
    let cycle = (with_cycles.as_secs_f64() - without_cycles.as_secs_f64()) / seconds * 1e3;
    vec![
        Measurement::new("processor at rest, by entry", "% of a core", percent),
        Measurement::new("processor of one controller cycle", "ms", cycle),
    ]
}

/// The cost of a change beyond that of the same time when idle.
async fn changes(size: Size, cluster: &Cluster, idle: Count) -> Result<Vec<Measurement>> {
    let mut times = Histogram::<u64>::new(3)?;
    let before = cluster.count();
    for number in 0..CHANGES {
        let duration = cluster.commit_and_wait(number + 2).await?;
        times.record(u64::try_from(duration.as_millis())?)?;
        tokio::time::sleep(CHANGE_INTERVAL.saturating_sub(duration)).await;
    }
    let count = cluster.count() - before;
    let periods = (CHANGE_INTERVAL * CHANGES).as_secs_f64() / IDLE_PERIOD.as_secs_f64();
    let excess =
        |of: fn(Count) -> u64| (of(count) as f64 - of(idle) as f64 * periods) / f64::from(CHANGES);
    let pushes = count.pushes as f64 / f64::from(CHANGES) / size.entries as f64;
    let percentile = |part| times.value_at_percentile(part) as f64;
    Ok(vec![
        Measurement::new(
            "store rows written for a change",
            "1",
            excess(|c| c.rows_written),
        ),
        Measurement::new("exchanges for a change", "1", excess(|c| c.exchanges)),
        Measurement::new("pushes for a change, by entry", "1", pushes),
        Measurement::new("change in force everywhere, p50", "ms", percentile(50.0)),
        Measurement::new(
            "change in force everywhere, longest",
            "ms",
            percentile(100.0),
        ),
    ])
}

/// The cost of restarts, one after the other, beyond that of the same time when idle.
async fn restarts(cluster: &Cluster, idle: Count) -> Result<Vec<Measurement>> {
    let (before, started) = (cluster.count(), Instant::now());
    let mut changes = 0;
    for number in 0..RESTARTS {
        changes += cluster.restart(number).await?;
    }
    if changes == 0 {
        return Err(eyre!("restarts made no change"));
    }
    let count = cluster.count() - before;
    let periods = started.elapsed().as_secs_f64() / IDLE_PERIOD.as_secs_f64();
    let per_restart = |count: f64| count / RESTARTS as f64;
    let exchanges = count.exchanges as f64 - idle.exchanges as f64 * periods;
    let rows = count.rows_written as f64 - idle.rows_written as f64 * periods;
    Ok(vec![
        Measurement::new("changes for a restart", "1", per_restart(changes as f64)),
        Measurement::new("exchanges for a restart", "1", per_restart(exchanges)),
        Measurement::new("store rows written for a restart", "1", per_restart(rows)),
    ])
}
