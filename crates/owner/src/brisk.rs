//! Commits that have taken far longer than usual are given up early.
//!
//! A lost answer looks like a slow one, and an owner does nothing else while it waits for a commit. The
//! store answers in some 10 ms; waiting the whole timeout of a call for an answer that was lost held
//! all jobs of a pool up for 1.5 s each time. A commit that is given up may stand: it counts as
//! unknown, and whoever sent it looks or sends it again.

use async_trait::async_trait;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
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

/// Parts of the usual time that a new one replaces: one in this many.
const SMOOTHING: u64 = 8;

/// A table whose commits are given up early.
#[derive(Debug)]
pub struct Brisk {
    rows: Arc<dyn Rows>,
    /// Usual time of a commit in microseconds.
    usual: AtomicU64,
}

impl Brisk {
    /// Commits to `rows`; the first ones wait for the least time.
    pub fn new(rows: Arc<dyn Rows>) -> Self {
        Self {
            rows,
            usual: AtomicU64::new(LEAST / FACTOR),
        }
    }

    fn wait(&self) -> Duration {
        let usual = self.usual.load(Ordering::Relaxed);
        Duration::from_micros((usual * FACTOR).clamp(LEAST, MOST))
    }

    fn took(&self, time: Duration) {
        let time = u64::try_from(time.as_micros()).unwrap_or(MOST);
        let usual = self.usual.load(Ordering::Relaxed);
        let usual = usual - usual / SMOOTHING + time / SMOOTHING;
        self.usual.store(usual, Ordering::Relaxed);
    }

    /// Waits twice as long from now on: otherwise a store that has become slow would never be waited
    /// for.
    fn gave_up(&self) {
        let usual = self.usual.load(Ordering::Relaxed).max(LEAST / FACTOR);
        let doubled = (usual * 2).min(MOST / FACTOR);
        self.usual.store(doubled, Ordering::Relaxed);
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
