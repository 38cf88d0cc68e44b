//! Metrics of the job path: calls to the platform and workers, and decisions of gateways and owners.

use async_trait::async_trait;
use primroseroute_cell::{Cause, Outcome};
use primroseroute_domain::work::{End, Name, TaskId};
use primroseroute_front::connections;
use primroseroute_gateway::{CancelOutcome, ResponseInfo};
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
    worker::{Answer, LeaseRenewal, PollOutcome, Start, Target, Workers},
};
use primroseroute_telemetry::site::Meter;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Records the events of gateways and owners as metrics.
#[derive(Debug)]
pub(crate) struct Observer(pub(crate) Meter);

impl primroseroute_gateway::Observer for Observer {
    fn response_sent(&self, response: &ResponseInfo) {
        let ResponseInfo {
            queue,
            status,
            duration,
        } = response;
        self.0.response_sent(queue.as_ref(), *status, *duration);
    }

    fn admission_decided(&self, pool: &Name, outcome: &'static str) {
        self.0.admission_decided(pool, outcome);
    }

    fn cancel_answered(&self, outcome: CancelOutcome) {
        self.0.cancel_answered(match outcome {
            CancelOutcome::Stored => "stored",
            CancelOutcome::Unknown => "unknown",
            CancelOutcome::OtherAccount => "other-account",
            CancelOutcome::Unconfirmed => "unconfirmed",
        });
    }

    fn cancelled_submission_refused(&self) {
        self.0.cancelled_submission_refused();
    }
}

impl connections::Observer for Observer {
    fn connections_closed(&self, reason: connections::Reason, count: u64) {
        self.0.connections_closed(reason.as_str(), count);
    }
}

impl primroseroute_owner::Observer for Observer {
    fn start_finished(&self, outcome: Outcome) {
        self.0.start_finished(match outcome {
            Outcome::Started => "started",
            Outcome::Refused(_) => "refused",
            Outcome::Unsent => "unsent",
            Outcome::Unknown => "unknown",
            Outcome::Withdrawn => "withdrawn",
        });
    }

    fn run_ended(&self, how: End) {
        self.0.run_ended(how);
    }

    fn runs_lost(&self, cause: Cause, runs: usize) {
        let cause = match cause {
            Cause::Planned => "planned",
            Cause::Crash => "crash",
            Cause::Lapse => "lapse",
        };
        self.0.runs_lost(cause, runs as u64);
    }

    fn pool_taken_over(&self, pool: &Name) {
        self.0.pool_taken_over(pool);
    }

    fn pools_owned(&self, pools: usize) {
        self.0.pools_owned(pools as u64);
    }

    fn pools_unowned(&self, pools: usize) {
        self.0.pools_unowned(pools as u64);
    }

    fn demand(&self, pool: &Name, running: u64, waiting: u64) {
        self.0.demand(pool, running, waiting);
    }

    fn expected_waits(&self, pool: &Name, within: Duration, beyond: Duration) {
        self.0.expected_waits(pool, within, beyond);
    }

    fn jobs_queued(&self, queue: &Name, jobs: u64) {
        self.0.jobs_queued(queue, jobs);
    }

    fn slow_workers(&self, pool: &Name, workers: usize) {
        self.0.slow_workers(pool, workers as u64);
    }

    fn held_jobs(&self, pool: &Name, jobs: usize) {
        self.0.held_jobs(pool, jobs as u64);
    }

    fn poll_fenced(&self, pool: &Name) {
        self.0.poll_fenced(pool);
    }

    fn unplaceable_steps(&self, pool: &Name, steps: usize) {
        self.0.unplaceable_steps(pool, steps as u64);
    }

    fn tombstones(&self, pool: &Name, tombstones: usize) {
        self.0.tombstones(pool, tombstones as u64);
    }

    fn runs_moved(&self, pool: &Name, runs: usize) {
        self.0.runs_moved(pool, runs as u64);
    }

    fn commit_finished(&self, took: Duration) {
        self.0.commit_finished(took);
    }

    fn jobs_feed_age(&self, pool: &Name, ago: Duration) {
        self.0.jobs_feed_age(pool, ago);
    }

    fn round_finished(&self, pool: &Name, took: Duration) {
        self.0.round_finished(pool, took);
    }

    fn order_waited(&self, order: &'static str, waited: Duration) {
        self.0.order_waited(order, waited);
    }
}

/// Wraps a client and records the number, outcome and duration of its calls.
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
        future: impl Future<Output = Result<A, Error>>,
    ) -> Result<A, Error> {
        let started_at = Instant::now();
        let result = future.await;
        self.meter
            .call_finished(call, result.as_ref().err(), started_at.elapsed());
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
        let throttled = self.inner.throttle(target, task, run, percent, token);
        self.timed("pace", throttled).await
    }
}
