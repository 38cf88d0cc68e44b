//! Calls of the entries to the platform's table, when idle and for requests.

use crate::{
    fixture::{Fixture, Size, run_plan},
    results::Measurement,
};
use eyre::Result;
use http::Method;
use primroseroute_load::{Loop, Plan};
use primroseroute_testbed::platform::tally::Kind;
use std::{ops::Sub, time::Duration};
use tokio::time::{Instant, sleep};

const SIZE: Size = Size {
    entries: 7,
    workers: 14,
    delay: Duration::from_millis(10),
};

/// Length of the idle measurement: four reads of the roster.
const IDLE_PERIOD: Duration = Duration::from_secs(20);

/// Number of measured reads, large enough to make the idle calls in the meantime negligible.
const READS: u64 = 20_000;

/// Number of measured keyed requests; the table accepts 600 written rows per second.
const KEYED: u64 = 2000;

/// Time after which the outcomes of all claims have been written; they are written after the responses.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Numbers of calls to the table and of rows.
#[derive(Clone, Copy, Debug)]
struct TableCalls {
    reads: f64,
    rows_read: f64,
    writes: f64,
    rows_written: f64,
}

impl TableCalls {
    /// The calls of all clients of the platform so far.
    fn total(fixture: &Fixture) -> Self {
        let tally = fixture.site.platform.tally();
        let (read, scan, commit) = (
            tally.of(Kind::Read),
            tally.of(Kind::Scan),
            tally.of(Kind::Commit),
        );
        Self {
            reads: (read.calls + scan.calls) as f64,
            rows_read: (read.rows + scan.rows) as f64,
            writes: commit.calls as f64,
            rows_written: commit.rows as f64,
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            reads: self.reads * factor,
            rows_read: self.rows_read * factor,
            writes: self.writes * factor,
            rows_written: self.rows_written * factor,
        }
    }

    fn measurements(self, of: &str, unit: &'static str) -> Vec<Measurement> {
        vec![
            Measurement::new(format!("store reads {of}"), unit, self.reads),
            Measurement::new(format!("store rows read {of}"), unit, self.rows_read),
            Measurement::new(format!("store writes {of}"), unit, self.writes),
            Measurement::new(format!("store rows written {of}"), unit, self.rows_written),
        ]
    }
}

impl Sub for TableCalls {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            reads: self.reads - rhs.reads,
            rows_read: self.rows_read - rhs.rows_read,
            writes: self.writes - rhs.writes,
            rows_written: self.rows_written - rhs.rows_written,
        }
    }
}

/// Measures the calls per entry when idle, and per 1,000 requests without and with a key.
pub async fn measure(seed: u64) -> Result<Vec<Measurement>> {
    let fixture = Fixture::start(SIZE, seed).await?;
    let before = TableCalls::total(&fixture);
    sleep(IDLE_PERIOD).await;
    let idle = (TableCalls::total(&fixture) - before).scaled(1.0 / IDLE_PERIOD.as_secs_f64());
    let per_entry = idle.scaled(1.0 / SIZE.entries as f64);
    let mut measurements = per_entry.measurements("at rest, each of 7 entries", "1/s");
    for (keyed, of) in [
        (false, "for 1,000 reads"),
        (true, "for 1,000 keyed requests"),
    ] {
        let calls = requests(&fixture, keyed, idle).await?;
        measurements.extend(calls.measurements(of, "1/1,000"));
    }
    Ok(measurements)
}

/// The calls per 1,000 requests beyond those made in the same time when idle.
async fn requests(fixture: &Fixture, keyed: bool, idle: TableCalls) -> Result<TableCalls> {
    let mut plan = Plan {
        requests: if keyed { KEYED } else { READS },
        warm_up: Duration::ZERO,
        measured: Duration::from_secs(30),
        ..fixture.through_entries(Loop::Closed { callers: 28 })
    };
    for profile in &mut plan.mix {
        profile.keyed = keyed;
        profile.method = if keyed { Method::POST } else { Method::GET };
    }
    let (before, started) = (TableCalls::total(fixture), Instant::now());
    let completed = run_plan(&plan).await?.total().completed;
    sleep(SETTLE_TIME).await;
    let calls = TableCalls::total(fixture) - before;
    let excess = calls - idle.scaled(started.elapsed().as_secs_f64());
    Ok(excess.scaled(1000.0 / completed as f64))
}
