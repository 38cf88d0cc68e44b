//! The table, with reads that back off.

use crate::Pace;
use async_trait::async_trait;
use primroseroute_platform::{
    Error,
    rows::{self, Commit, Feed, Page, Range, Row, Txn, Version},
};
use std::{sync::Arc, time::Duration};

/// A table whose refused reads are sent again at an entry's pace.
#[derive(Debug)]
pub struct Rows {
    rows: Arc<dyn rows::Rows>,
    pace: Pace,
}

impl Rows {
    /// Reads `rows` at `pace`.
    pub fn new(rows: Arc<dyn rows::Rows>, pace: Pace) -> Self {
        Self { rows, pace }
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
        self.pace.read(|| self.rows.read(range.clone())).await
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.pace
            .feed(table, self.rows.feed(table, after, wait))
            .await
    }
}
