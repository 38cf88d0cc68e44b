//! Commits that have taken far longer than usual are given up early.
//!
//! A lost answer looks like a slow one, and an owner does nothing else while it waits for a commit. The
//! store answers in some 10 ms; waiting the whole timeout of a call for an answer that was lost held
//! all jobs of a pool up for 1.5 s each time. A commit that is given up may stand: it counts as
//! unknown, and whoever sent it looks or sends it again.
//!
//! A store that has become slow must be waited for in the end, so each commit that is given up doubles the wait
//! of the next one. An answer in good time takes that back: the store is fast, and what was given up was lost.
//! Without this, a store that loses a third of its answers for some seconds was waited for as long as a slow one, an owner's
//! rounds took up to two seconds, and most jobs that came in meanwhile were late.

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

/// Times the usual time after which an answer counts as lost.
const FACTOR: u64 = 6;

/// Least wait in microseconds: a store that is a little slow must not be asked twice.
const LEAST: u64 = 250_000;

/// Longest wait in microseconds: the timeout of the call itself.
const MOST: u64 = 1_500_000;

/// Parts of the usual time that a shorter one replaces: one in this many.
const FALL: u64 = 8;

/// The same for a longer one: after one answer of a store that has become slow, the wait is three times as long as
/// that answer took.
const RISE: u64 = 2;

/// Most doublings of the wait; they lead from the least wait beyond the longest.
const MOST_DOUBLINGS: u32 = 3;

/// A table whose commits are given up early.
#[derive(Debug)]
pub struct Brisk {
    rows: Arc<dyn Rows>,
    /// Usual time of a commit in microseconds.
    usual: AtomicU64,
    /// Commits that were given up since the last answer.
    given_up: AtomicU32,
}

impl Brisk {
    /// Commits to `rows`; the first ones wait for the least time.
    pub fn new(rows: Arc<dyn Rows>) -> Self {
        Self {
            rows,
            usual: AtomicU64::new(LEAST / FACTOR),
            given_up: AtomicU32::new(0),
        }
    }

    fn wait(&self) -> Duration {
        let usual = self.usual.load(Ordering::Relaxed);
        let doublings = self.given_up.load(Ordering::Relaxed).min(MOST_DOUBLINGS);
        let wait = (usual * FACTOR).max(LEAST) << doublings;
        Duration::from_micros(wait.min(MOST))
    }

    fn took(&self, time: Duration) {
        let time = u64::try_from(time.as_micros()).unwrap_or(MOST);
        let usual = self.usual.load(Ordering::Relaxed);
        let parts = if time > usual { RISE } else { FALL };
        let usual = usual - usual / parts + time / parts;
        self.usual.store(usual, Ordering::Relaxed);
        self.given_up.store(0, Ordering::Relaxed);
    }

    /// Waits twice as long from now on, until a commit is answered.
    fn gave_up(&self) {
        self.given_up.fetch_add(1, Ordering::Relaxed);
    }
}

#[async_trait]
impl Rows for Brisk {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let begin = Instant::now();
        match timeout(self.wait(), self.rows.commit(txn)).await {
            Ok(Ok(commit)) => {
                self.took(begin.elapsed());
                Ok(commit)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => {
                self.gave_up();
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
