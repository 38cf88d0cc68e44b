//! A [`rows::Rows`] wrapper whose throttled reads back off.

use crate::Backoff;
use async_trait::async_trait;
use primroseroute_platform::{
    Error,
    rows::{self, Commit, Feed, Page, Range, Row, Txn, Version},
};
use std::{sync::Arc, time::Duration};

/// A partitioned table whose throttled reads are retried with the entry's backoff.
#[derive(Debug)]
pub struct Rows {
    rows: Arc<dyn rows::Rows>,
    backoff: Backoff,
}

impl Rows {
    /// Wraps `rows` with `backoff`.
    pub fn new(rows: Arc<dyn rows::Rows>, backoff: Backoff) -> Self {
        Self { rows, backoff }
    }
}

#[async_trait]
impl rows::Rows for Rows {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.rows.commit(txn).await
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        if range.to.is_some() {
            return self.rows.read(range).await;
        }
        self.backoff.read(|| self.rows.read(range.clone())).await
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.backoff
            .feed(table, self.rows.feed(table, after, wait))
            .await
    }
}
