//! A pool's accepted jobs and cancels, as the change feed of their table shows them.

use crate::{
    clock::Clock,
    control::read_parts,
    event::Event,
    follow::{Sink, Source},
    load,
};
use async_trait::async_trait;
use log::debug;
use primroseroute_cell::row;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Row, Rows, Version},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc::UnboundedSender, time::Instant};

/// The table of a pool's jobs.
pub(crate) struct Table {
    pub rows: Arc<dyn Rows>,
    pub pool: Name,
}

#[async_trait]
impl Source for Table {
    type Item = Row;

    async fn read_full(&self) -> Result<(Vec<Row>, Version), Error> {
        let parts: Vec<Name> = row::id_parts().map(Name::from).collect();
        read_parts(&*self.rows, &row::jobs_table(&self.pool), &parts).await
    }

    async fn changes_after(&self, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        let table = row::jobs_table(&self.pool);
        self.rows.feed(&table, after, wait).await
    }
}

/// Sends them to the pool's loop.
pub(crate) struct JobsSink {
    pub pool: Name,
    pub clock: Clock,
    pub events: UnboundedSender<Event>,
}

impl JobsSink {
    fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            debug!("the pool's loop has ended");
        }
    }
}

impl Sink for JobsSink {
    type Item = Row;

    fn reset(&mut self, items: Vec<Row>) {
        self.apply(items);
    }

    fn apply(&mut self, items: Vec<Row>) {
        let jobs = load::sort_rows(&self.pool, &items);
        self.send(Event::Jobs(jobs, self.clock.now()));
    }

    fn confirmed(&mut self, at: Instant) {
        self.send(Event::FeedWatermark(self.clock.at(at)));
    }
}
