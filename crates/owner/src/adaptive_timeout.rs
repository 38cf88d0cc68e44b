//! Commits with an adaptive timeout.
//!
//! A lost answer looks like a slow one, and an owner does nothing else while it waits for a commit.
//! The store answers in some 10 ms; waiting the full timeout of a call for a lost answer held up
//! all jobs of a pool for 1.5 s each time. A commit that timed out may have taken effect: its
//! outcome counts as unknown, and the sender checks it or sends it again.
//!
//! A store that has become slow must be waited for eventually, so each timeout doubles the next
//! one. An answer in time resets that: the store is fast, and the answers that timed out were lost.
//! Without this, a store that lost a third of its answers for some seconds was waited for as long
//! as a slow one, an owner's rounds took up to two seconds, and most jobs that arrived meanwhile
//! were late.

use async_trait::async_trait;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, timeout};

/// Multiple of the typical duration after which an answer counts as lost.
const TIMEOUT_FACTOR: u64 = 6;

/// Minimum timeout: a store that is slightly slow must not be asked twice.
const MIN_TIMEOUT_US: u64 = 250_000;

/// Maximum timeout: that of the call itself.
const MAX_TIMEOUT_US: u64 = 1_500_000;

/// A shorter duration replaces one part in this many of the typical one.
const DECREASE_PARTS: u64 = 8;

/// The same for a longer duration: after one answer of a store that has become slow, the timeout is
/// three times as long as that answer took.
const INCREASE_PARTS: u64 = 2;

/// Maximum doublings of the timeout; they lead from the minimum past the maximum.
const MAX_DOUBLINGS: u32 = 3;

/// A store whose commits have an adaptive timeout.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    rows: Arc<dyn Rows>,
    /// Typical duration of a commit in microseconds.
    typical_us: AtomicU64,
    /// Commits that timed out since the last answer.
    timeouts: AtomicU32,
}

impl AdaptiveTimeout {
    /// Commits to `rows`; the first commits have the minimum timeout.
    pub fn new(rows: Arc<dyn Rows>) -> Self {
        Self {
            rows,
            typical_us: AtomicU64::new(MIN_TIMEOUT_US / TIMEOUT_FACTOR),
            timeouts: AtomicU32::new(0),
        }
    }

    fn timeout(&self) -> Duration {
        let typical = self.typical_us.load(Ordering::Relaxed);
        let doublings = self.timeouts.load(Ordering::Relaxed).min(MAX_DOUBLINGS);
        let timeout = (typical * TIMEOUT_FACTOR).max(MIN_TIMEOUT_US) << doublings;
        Duration::from_micros(timeout.min(MAX_TIMEOUT_US))
    }

    fn record_duration(&self, time: Duration) {
        let time = u64::try_from(time.as_micros()).unwrap_or(MAX_TIMEOUT_US);
        let typical = self.typical_us.load(Ordering::Relaxed);
        let parts = if time > typical {
            INCREASE_PARTS
        } else {
            DECREASE_PARTS
        };
        let typical = typical - typical / parts + time / parts;
        self.typical_us.store(typical, Ordering::Relaxed);
        self.timeouts.store(0, Ordering::Relaxed);
    }

    /// Doubles the timeout until a commit is answered.
    fn record_timeout(&self) {
        self.timeouts.fetch_add(1, Ordering::Relaxed);
    }
}

#[async_trait]
impl Rows for AdaptiveTimeout {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let begin = Instant::now();
        match timeout(self.timeout(), self.rows.commit(txn)).await {
            Ok(Ok(commit)) => {
                self.record_duration(begin.elapsed());
                Ok(commit)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => {
                self.record_timeout();
                Err(Error::Unknown(
                    "no answer in six times the usual time".into(),
                ))
            }
        }
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        self.rows.read(range).await
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.rows.feed(table, after, wait).await
    }
}
