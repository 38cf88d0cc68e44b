//! Whole entries: what control costs at rest, for a change and for a restart.

use crate::{meter, sheet::Figure};
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use primroseroute_capacity::{Count, Cycles, Size, Stage};
use std::time::Duration;
use tokio::{
    runtime::{Builder, Runtime},
    time::Instant,
};

/// Time at rest that is counted: a whole number of polls, roster reads, exchanges and heartbeats.
const REST: Duration = Duration::from_secs(60);

/// Changes that are timed.
const CHANGES: u32 = 10;

/// Between two changes: they share no registration write and no poll.
const APART: Duration = Duration::from_secs(6);

/// Workers that are restarted.
const RESTARTS: usize = 3;

fn runtime() -> Result<Runtime> {
    let mut builder = Builder::new_current_thread();
    Ok(builder.enable_all().start_paused(true).build()?)
}

/// All figures of one size.
pub fn measure(size: Size) -> Result<Vec<Figure>> {
    let resident = meter::resident()?;
    let held = runtime()?.block_on(async {
        let stage = Stage::open(size, Cycles::Held).await?;
        rest(&stage).await.map(|(_count, processor)| processor)
    })?;
    runtime()?.block_on(async {
        let stage = Stage::open(size, Cycles::Running).await?;
        let (count, running) = rest(&stage).await?;
        let mut figures = at_rest(size, count);
        figures.extend(processor(size, held, running));
        figures.extend(changes(size, &stage, count).await?);
        figures.extend(restarts(&stage, count).await?);
        let grown = meter::resident()?.saturating_sub(resident);
        let grown = grown as f64 / 1e6 / size.entries as f64;
        figures.push(Figure::new(
            "memory that the process gained, by entry",
            "MB",
            grown,
        ));
        Ok(figures)
    })
}

async fn rest(stage: &Stage) -> Result<(Count, Duration)> {
    let before = meter::processor()?;
    let count = stage.rest(REST).await;
    Ok((count, meter::processor()?.saturating_sub(before)))
}

fn at_rest(size: Size, count: Count) -> Vec<Figure> {
    let second = |count: u64| count as f64 / REST.as_secs_f64();
    let entry = |count: u64| second(count) / size.entries as f64;
    vec![
        Figure::new("store reads at rest", "1/s", second(count.reads)),
        Figure::new("store rows read at rest", "1/s", second(count.rows_read)),
        Figure::new("store writes at rest", "1/s", second(count.writes)),
        Figure::new(
            "store rows written at rest",
            "1/s",
            second(count.rows_written),
        ),
        Figure::new(
            "reads of the instance list at rest",
            "1/s",
            second(count.lists),
        ),
        // Each exchange has two sides.
        Figure::new(
            "exchanges at rest, by entry",
            "1/s",
            2.0 * entry(count.exchanges),
        ),
    ]
}

fn processor(size: Size, held: Duration, running: Duration) -> Vec<Figure> {
    let seconds = REST.as_secs_f64();
    let part = held.as_secs_f64() / seconds / size.entries as f64 * 100.0;
    let cycle = (running.as_secs_f64() - held.as_secs_f64()) / seconds * 1e3;
    vec![
        Figure::new("processor at rest, by entry", "% of a core", part),
        Figure::new("processor of one controller cycle", "ms", cycle),
    ]
}

/// What a change costs beyond what the same time at rest does.
async fn changes(size: Size, stage: &Stage, rest: Count) -> Result<Vec<Figure>> {
    let mut times = Histogram::<u64>::new(3)?;
    let before = stage.count();
    for number in 0..CHANGES {
        let took = stage.change(number + 2).await?;
        times.record(u64::try_from(took.as_millis())?)?;
        tokio::time::sleep(APART.saturating_sub(took)).await;
    }
    let count = stage.count() - before;
    let part = (APART * CHANGES).as_secs_f64() / REST.as_secs_f64();
    let beyond =
        |of: fn(Count) -> u64| (of(count) as f64 - of(rest) as f64 * part) / f64::from(CHANGES);
    let pushes = count.pushes as f64 / f64::from(CHANGES) / size.entries as f64;
    let percentile = |part| times.value_at_percentile(part) as f64;
    Ok(vec![
        Figure::new(
            "store rows written for a change",
            "1",
            beyond(|c| c.rows_written),
        ),
        Figure::new("exchanges for a change", "1", beyond(|c| c.exchanges)),
        Figure::new("pushes for a change, by entry", "1", pushes),
        Figure::new("change in force everywhere, p50", "ms", percentile(50.0)),
        Figure::new(
            "change in force everywhere, longest",
            "ms",
            percentile(100.0),
        ),
    ])
}

/// What restarts take, one after the other.
async fn restarts(stage: &Stage, rest: Count) -> Result<Vec<Figure>> {
    let (before, started) = (stage.count(), Instant::now());
    let mut changes = 0;
    for number in 0..RESTARTS {
        changes += stage.restart(number).await?;
    }
    if changes == 0 {
        return Err(eyre!("a restart without a change"));
    }
    let count = stage.count() - before;
    let part = started.elapsed().as_secs_f64() / REST.as_secs_f64();
    let each = |count: f64| count / RESTARTS as f64;
    let exchanges = count.exchanges as f64 - rest.exchanges as f64 * part;
    let rows = count.rows_written as f64 - rest.rows_written as f64 * part;
    Ok(vec![
        Figure::new("changes for a restart", "1", each(changes as f64)),
        Figure::new("exchanges for a restart", "1", each(exchanges)),
        Figure::new("store rows written for a restart", "1", each(rows)),
    ])
}
