//! A [`site::Site`] wrapper whose throttled reads back off.

use crate::Backoff;
use async_trait::async_trait;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
    site::{self, Instance, Instruction, LeaseHolder, OrderOutcome, Registration},
};
use std::{fmt, sync::Arc, time::Duration};

/// Name of the feed of worker registrations.
const WORKERS: &str = "workers";

/// Name of the feed of operators' instructions.
const INSTRUCTIONS: &str = "instructions";

/// A site whose throttled reads are retried with the entry's backoff.
pub struct Site {
    inner: Arc<dyn site::Site>,
    store: Backoff,
    instances: Backoff,
}

impl fmt::Debug for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Site").finish_non_exhaustive()
    }
}

impl Site {
    /// Wraps `inner`. Reads from the store back off by `store`; the list of instances has a rate limit of its own and backs off by
    /// `instances`.
    pub fn new(inner: Arc<dyn site::Site>, store: Backoff, instances: Backoff) -> Self {
        Self {
            inner,
            store,
            instances,
        }
    }
}

#[async_trait]
impl site::Site for Site {
    async fn workers(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.store.read(|| self.inner.workers()).await
    }

    async fn worker_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error> {
        self.store
            .feed(WORKERS, self.inner.worker_feed(after, wait))
            .await
    }

    async fn instructions(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.store.read(|| self.inner.instructions()).await
    }

    async fn instruction_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error> {
        self.store
            .feed(INSTRUCTIONS, self.inner.instruction_feed(after, wait))
            .await
    }

    async fn report_wave(&self, number: u64, complete: bool) -> Result<(), Error> {
        self.inner.report_wave(number, complete).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.instances.read(|| self.inner.instances()).await
    }

    async fn maintain(
        &self,
        instance: &Name,
        wave: u64,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error> {
        self.inner.maintain(instance, wave, holder).await
    }

    async fn relocate(
        &self,
        instance: &Name,
        pool: &Name,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error> {
        self.inner.relocate(instance, pool, holder).await
    }
}
