//! Whether an entry reaches the store, by the outcomes of all its calls.

use async_trait::async_trait;
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
    site::{Instance, Instruction, LeaseHolder, OrderOutcome, Registration, Site},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// How long calls must fail without a success for the store to count as unreachable. A store that
/// answers within the timeouts of calls, however slowly, interrupts that time: failing calls are
/// repeated without a wait for changes, and each may take 1.5 s.
const FAILING_TIME: Duration = Duration::from_secs(3);

/// How long calls must fail without a success for the store to be checked before anything is sent
/// to it whose outcome may remain unknown.
const SUSPECT_TIME: Duration = Duration::from_millis(700);

/// How long calls must fail without a success for the entry to report itself not ready: a store that
/// throttles a burst of calls recovers sooner.
const NOT_READY_TIME: Duration = Duration::from_millis(1_500);

/// Minimum number of failed calls: a few of them may have failed for other reasons.
const MIN_FAILURES: u32 = 4;

/// Whether the store is reachable: not once calls have failed for [`FAILING_TIME`] and none has
/// succeeded, until one does.
#[derive(Debug, Default)]
pub struct StoreHealth {
    outage: Mutex<Option<Outage>>,
    newest: AtomicU64,
}

/// Failed calls since the last success.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first of them failed. Their starts prove nothing: all calls of a process that was
    /// suspended fail when it resumes.
    since: Instant,
    failures: u32,
    is_confirmed: bool,
}

impl StoreHealth {
    /// The newest version that the store has shown. What has a later one was written after the call
    /// that showed it was sent.
    pub(crate) fn newest_version(&self) -> Version {
        self.newest.load(Ordering::Relaxed)
    }

    fn record_version(&self, version: Version) {
        self.newest.fetch_max(version, Ordering::Relaxed);
    }

    /// Whether calls to the store are known to be in vain.
    pub fn is_unreachable(&self) -> bool {
        let outage = *self.outage.lock();
        outage.is_some_and(|outage| outage.is_confirmed)
    }

    /// Whether calls have failed for a while, so that others can serve new callers better.
    pub fn is_failing(&self) -> bool {
        self.has_failed_for(NOT_READY_TIME)
    }

    /// Whether the store is to be checked by a call that has no effect before one that has.
    pub(crate) fn is_suspect(&self) -> bool {
        self.has_failed_for(SUSPECT_TIME)
    }

    fn has_failed_for(&self, time: Duration) -> bool {
        let outage = *self.outage.lock();
        outage
            .is_some_and(|outage| outage.failures >= MIN_FAILURES && outage.since.elapsed() >= time)
    }

    fn record<T>(&self, result: &Result<T, Error>) {
        match result {
            // An invalid call was answered.
            Ok(_) | Err(Error::Invalid(_)) => self.record_success(),
            Err(error) => self.record_failure(error),
        }
    }

    fn record_success(&self) {
        let ended = self.outage.lock().take();
        if let Some(outage) = ended.filter(|outage| outage.is_confirmed) {
            let failing_ms = outage.since.elapsed().as_millis();
            let failures = outage.failures;
            info!(failing_ms, failures; "store reachable again");
        }
    }

    fn record_failure(&self, error: &Error) {
        let mut outage = self.outage.lock();
        let outage = outage.get_or_insert_with(|| Outage {
            since: Instant::now(),
            failures: 0,
            is_confirmed: false,
        });
        outage.failures = outage.failures.saturating_add(1);
        let failing = outage.since.elapsed();
        if !outage.is_confirmed && failing >= FAILING_TIME && outage.failures >= MIN_FAILURES {
            outage.is_confirmed = true;
            let failing_ms = failing.as_millis();
            let failures = outage.failures;
            warn!(failing_ms, failures, error:% = error; "store unreachable; rejecting requests at once");
        }
    }
}

/// Wraps a client of the store and records the outcomes of its calls.
#[derive(Debug)]
pub struct Monitored<T: ?Sized> {
    inner: Arc<T>,
    health: Arc<StoreHealth>,
}

impl<T: ?Sized> Monitored<T> {
    /// Wraps `inner`; outcomes go to `health`.
    pub fn new(inner: Arc<T>, health: Arc<StoreHealth>) -> Self {
        Self { inner, health }
    }

    async fn monitor<A>(&self, call: impl Future<Output = Result<A, Error>>) -> Result<A, Error> {
        let result = call.await;
        self.health.record(&result);
        result
    }
}

#[async_trait]
impl Rows for Monitored<dyn Rows> {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let result = self.monitor(self.inner.commit(txn)).await;
        if let Ok(Commit::Committed(version)) = &result {
            self.health.record_version(*version);
        }
        result
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        let result = self.monitor(self.inner.read(range)).await;
        if let Ok(page) = &result {
            self.health.record_version(page.version);
        }
        result
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        let result = self.monitor(self.inner.feed(table, after, wait)).await;
        if let Ok(Feed::Changes { next, .. }) = &result {
            self.health.record_version(*next);
        }
        result
    }
}

/// Orders to instances and their list aren't calls to the store: their outcomes aren't recorded.
#[async_trait]
impl Site for Monitored<dyn Site> {
    async fn workers(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.monitor(self.inner.workers()).await
    }

    async fn worker_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error> {
        self.monitor(self.inner.worker_feed(after, wait)).await
    }

    async fn instructions(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.monitor(self.inner.instructions()).await
    }

    async fn instruction_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error> {
        self.monitor(self.inner.instruction_feed(after, wait)).await
    }

    async fn report_wave(&self, number: u64, complete: bool) -> Result<(), Error> {
        self.monitor(self.inner.report_wave(number, complete)).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.inner.instances().await
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
