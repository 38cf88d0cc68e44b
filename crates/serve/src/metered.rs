//! The job path's calls and decisions, counted.

use async_trait::async_trait;
use primroseroute_cell::{Cause, Outcome};
use primroseroute_domain::work::{End, Name, TaskId};
use primroseroute_gateway::ResponseInfo;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
    worker::{Answer, LeaseRenewal, PollOutcome, Start, Target, Workers},
};
use primroseroute_telemetry::site::Meter;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Counts what gateways and owners tell.
#[derive(Debug)]
pub(crate) struct Observer(pub(crate) Meter);

impl primroseroute_gateway::Observer for Observer {
    fn response_sent(&self, response: &ResponseInfo) {
        let ResponseInfo {
            queue,
            status,
            duration,
        } = response;
        self.0.answered(queue.as_ref(), *status, *duration);
    }
}

impl primroseroute_owner::Observer for Observer {
    fn start_finished(&self, outcome: Outcome) {
        self.0.started(match outcome {
            Outcome::Started => "started",
            Outcome::Refused(_) => "refused",
            Outcome::Unsent => "unsent",
            Outcome::Unknown => "unknown",
            Outcome::Withdrawn => "withdrawn",
        });
    }

    fn run_ended(&self, how: End) {
        self.0.ended(how);
    }

    fn runs_lost(&self, cause: Cause, runs: usize) {
        let cause = match cause {
            Cause::Planned => "planned",
            Cause::Crash => "crash",
            Cause::Lapse => "lapse",
        };
        self.0.lost(cause, runs as u64);
    }

    fn pool_taken_over(&self, pool: &Name) {
        self.0.taken_over(pool);
    }

    fn pools_owned(&self, pools: usize) {
        self.0.owns(pools as u64);
    }

    fn jobs_queued(&self, queue: &Name, jobs: u64) {
        self.0.queued(queue, jobs);
    }

    fn commit_finished(&self, took: Duration) {
        self.0.committed(took);
    }

    fn jobs_feed_age(&self, pool: &Name, ago: Duration) {
        self.0.jobs_read(pool, ago);
    }

    fn round_finished(&self, pool: &Name, took: Duration) {
        self.0.round(pool, took);
    }

    fn order_waited(&self, order: &'static str, waited: Duration) {
        self.0.sending(order, waited);
    }
}

/// Something whose calls are counted and timed.
#[derive(Debug)]
pub(crate) struct Metered<T: ?Sized> {
    inner: Arc<T>,
    meter: Meter,
}

impl<T: ?Sized> Metered<T> {
    pub(crate) fn new(inner: Arc<T>, meter: Meter) -> Self {
        Self { inner, meter }
    }

    async fn timed<A>(
        &self,
        call: &'static str,
        work: impl Future<Output = Result<A, Error>>,
    ) -> Result<A, Error> {
        let begin = Instant::now();
        let result = work.await;
        self.meter
            .called(call, result.as_ref().err(), begin.elapsed());
        result
    }
}

#[async_trait]
impl Rows for Metered<dyn Rows> {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.timed("commit", self.inner.commit(txn)).await
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        self.timed("read", self.inner.read(range)).await
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.timed("feed", self.inner.feed(table, after, wait))
            .await
    }
}

#[async_trait]
impl Workers for Metered<dyn Workers> {
    async fn start(&self, target: &Target, start: &Start) -> Result<Answer, Error> {
        self.timed("start", self.inner.start(target, start)).await
    }

    async fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        token: u64,
    ) -> Result<Answer, Error> {
        self.timed("stop", self.inner.stop(target, task, run, token))
            .await
    }

    async fn renew(&self, target: &Target, renewal: LeaseRenewal) -> Result<PollOutcome, Error> {
        self.timed("look", self.inner.renew(target, renewal)).await
    }

    async fn throttle(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        percent: u32,
        token: u64,
    ) -> Result<Answer, Error> {
        let pace = self.inner.throttle(target, task, run, percent, token);
        self.timed("pace", pace).await
    }
}
