//! What the entries ask of the platform's table, at rest and for requests.

use crate::{
    bed::{Bed, Size, measured},
    figure::Figure,
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

/// Time at rest that is counted: four looks at the roster.
const REST: Duration = Duration::from_secs(20);

/// Reads that are counted: so many that what is asked for at rest meanwhile hardly counts.
const READS: u64 = 20_000;

/// Keyed requests that are counted; the table takes 600 rows written a second.
const KEYED: u64 = 2000;

/// Outcomes of claims are written after the answers; by then they all are.
const SETTLED: Duration = Duration::from_secs(5);

/// Calls and rows.
#[derive(Clone, Copy, Debug)]
struct Asked {
    reads: f64,
    rows_read: f64,
    writes: f64,
    rows_written: f64,
}

impl Asked {
    /// What all callers of the platform have asked for so far.
    fn so_far(bed: &Bed) -> Self {
        let tally = bed.site.platform.tally();
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

    fn times(self, factor: f64) -> Self {
        Self {
            reads: self.reads * factor,
            rows_read: self.rows_read * factor,
            writes: self.writes * factor,
            rows_written: self.rows_written * factor,
        }
    }

    fn figures(self, of: &str, unit: &'static str) -> Vec<Figure> {
        vec![
            Figure::new(format!("store reads {of}"), unit, self.reads),
            Figure::new(format!("store rows read {of}"), unit, self.rows_read),
            Figure::new(format!("store writes {of}"), unit, self.writes),
            Figure::new(format!("store rows written {of}"), unit, self.rows_written),
        ]
    }
}

impl Sub for Asked {
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

/// At rest for each entry, and for a thousand requests without and with a key.
pub async fn measure(seed: u64) -> Result<Vec<Figure>> {
    let bed = Bed::open(SIZE, seed).await?;
    let before = Asked::so_far(&bed);
    sleep(REST).await;
    let rest = (Asked::so_far(&bed) - before).times(1.0 / REST.as_secs_f64());
    let each = rest.times(1.0 / SIZE.entries as f64);
    let mut figures = each.figures("at rest, each of 7 entries", "1/s");
    for (keyed, of) in [
        (false, "for 1,000 reads"),
        (true, "for 1,000 keyed requests"),
    ] {
        let asked = requests(&bed, keyed, rest).await?;
        figures.extend(asked.figures(of, "1/1,000"));
    }
    Ok(figures)
}

/// What a thousand requests ask for beyond what is asked for at rest in the same time.
async fn requests(bed: &Bed, keyed: bool, rest: Asked) -> Result<Asked> {
    let mut plan = Plan {
        requests: if keyed { KEYED } else { READS },
        warm_up: Duration::ZERO,
        measured: Duration::from_secs(30),
        ..bed.through(Loop::Closed { callers: 28 })
    };
    for profile in &mut plan.mix {
        profile.keyed = keyed;
        profile.method = if keyed { Method::POST } else { Method::GET };
    }
    let (before, started) = (Asked::so_far(bed), Instant::now());
    let completed = measured(&plan).await?.total().completed;
    sleep(SETTLED).await;
    let asked = Asked::so_far(bed) - before;
    let beyond = asked - rest.times(started.elapsed().as_secs_f64());
    Ok(beyond.times(1000.0 / completed as f64))
}
