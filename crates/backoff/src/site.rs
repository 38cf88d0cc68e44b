//! What the platform tells, with reads that back off.

use crate::Backoff;
use async_trait::async_trait;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
    site::{self, Holder, Instance, Instruction, Ordered, Registration},
};
use std::{fmt, sync::Arc, time::Duration};

/// Name of the workers' feed.
const WORKERS: &str = "workers";

/// Name of the operators' feed.
const INSTRUCTIONS: &str = "instructions";

/// A site whose refused reads are sent again after an entry's backoff.
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
    /// Reads `inner`: what lies in the store with the backoff `store`, and the list of instances, which has a rate of its own, with
    /// the backoff `instances`.
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
        holder: &Holder,
    ) -> Result<Ordered, Error> {
        self.inner.maintain(instance, wave, holder).await
    }

    async fn relocate(
        &self,
        instance: &Name,
        pool: &Name,
        holder: &Holder,
    ) -> Result<Ordered, Error> {
        self.inner.relocate(instance, pool, holder).await
    }
}
