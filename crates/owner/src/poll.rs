//! Status polls of one worker, and the renewal of the lease on what runs there.

use crate::{clock::Clock, event::Event, fence::Fence, observe::Observer};
use parking_lot::Mutex;
use primroseroute_backoff::Retry;
use primroseroute_cell::{EndsCursor, Limits, Millis};
use primroseroute_domain::work::Name;
use primroseroute_platform::worker::{
    LeaseRenewal, PollOutcome, Refusal, Target, WorkerStatus, Workers,
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc::UnboundedSender, watch::Receiver},
    time::{sleep, timeout},
};

/// How long a poll waits for a run to end. Each poll renews the lease, so a lease of several
/// seconds survives a few that fail.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);

/// Interval between polls that renew nothing, which don't wait for a run to end.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// First and longest delay after a failed poll. The longest bounds how late work resumes
/// after a network partition.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// Longest wait for run ends to be committed before the worker is polled again; a longer outage of
/// the store must not keep the lease from being renewed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum age of a worker's last answer for its run ends to be acknowledged.
const ACK_MAX_AGE: Millis = 1_200;

/// Clock readings that are kept per worker: enough to find one from before the last confirmation of
/// the ownership, at up to a few a second.
const MAX_READINGS: usize = 24;

/// Maximum rate by which a worker's clock may be slow.
const MAX_CLOCK_SLOWNESS_PER_MILLE: Millis = 20;

/// A worker's clock, as shown by its poll responses.
#[derive(Debug, Default)]
pub(crate) struct ClockReadings {
    /// What it showed, and when that response arrived.
    readings: Mutex<VecDeque<(Millis, Millis)>>,
}

impl ClockReadings {
    /// Drops all readings: the clock has restarted.
    fn clear(&self) {
        self.readings.lock().clear();
    }

    fn add(&self, clock_ms: Millis, at: Millis) {
        let mut readings = self.readings.lock();
        readings.push_back((clock_ms, at));
        if readings.len() > MAX_READINGS {
            readings.pop_front();
        }
    }

    /// The least that the worker's clock can have shown at `at`, by readings from before it.
    ///
    /// Later readings are left out: a process that was suspended since `at` would take the time that
    /// its own clock missed for time before it.
    pub(crate) fn lower_bound(&self, at: Millis) -> Option<Millis> {
        let readings = self.readings.lock();
        let before = readings
            .iter()
            .rev()
            .find(|(_clock, read_at)| *read_at <= at);
        before.map(|(clock, read_at)| {
            let elapsed = at - read_at;
            clock + elapsed - elapsed * MAX_CLOCK_SLOWNESS_PER_MILLE / 1_000
        })
    }
}

/// Polls one worker and renews its lease.
#[derive(Debug)]
pub(crate) struct Poller {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub clock: Clock,
    pub limits: Limits,
    pub fence: Arc<Fence>,
    pub readings: Arc<ClockReadings>,
    /// When the store last confirmed the ownership.
    pub confirmed: Receiver<Millis>,
    /// Up to which run end of each worker the results are committed.
    pub ends_committed: Receiver<Arc<BTreeMap<Name, EndsCursor>>>,
    pub events: UnboundedSender<Event>,
    /// When the last response arrived.
    pub responded_at: Option<Millis>,
    pub pool: Name,
    pub observer: Arc<dyn Observer>,
}

impl Poller {
    /// Polls until the worker's incarnation is over, or the owner stops.
    ///
    /// After a poll without a response the lease isn't renewed until the worker responds again.
    /// Renewing without responses would move the time at which its lease has certainly expired, and
    /// the tasks of a dead worker would never start elsewhere.
    pub(crate) async fn run(mut self) {
        let [first, longest] = RETRY_DELAYS;
        let mut retry = Retry::new(first, longest, (&self.target.id, self.fence.token()));
        let mut responding = false;
        let mut is_fenced = false;
        loop {
            let (response, renewed) = self.poll(responding).await;
            let responded = matches!(response, Some(PollOutcome::Status(_)));
            if responding && !responded {
                self.fence.raise();
            }
            responding = responded;
            let was_fenced = is_fenced;
            is_fenced = matches!(response, Some(PollOutcome::Refused(Refusal::Fenced)));
            if is_fenced {
                self.record_fenced(was_fenced);
            }
            match response {
                Some(PollOutcome::Status(status)) => {
                    retry.reset();
                    match status.newest_end() {
                        Some(newest) => self.wait_until_committed(status.born, newest).await,
                        // Without a reading from before the last confirmation nothing can be renewed.
                        None if !renewed => sleep(IDLE_POLL_INTERVAL).await,
                        None => {}
                    }
                }
                Some(PollOutcome::Gone) => {
                    let worker = Name::clone(&self.target.id);
                    self.send(Event::Replaced(worker));
                    return;
                }
                Some(PollOutcome::Refused(refusal)) => {
                    log::debug!(worker = &*self.target.id, refusal:? = refusal; "poll refused");
                    retry.sleep().await;
                }
                None => retry.sleep().await,
            }
        }
    }

    /// Records that the worker has seen a higher token than this owner's, most likely that of a later
    /// owner: raising the token past it would let a replaced owner work on.
    fn record_fenced(&self, is_repeated: bool) {
        self.observer.poll_fenced(&self.pool);
        if !is_repeated {
            let (pool, worker) = (&*self.pool, &*self.target.id);
            let token = self.fence.token();
            log::warn!(pool, worker, token; "worker refuses the token of its pool's owner");
        }
    }

    fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::debug!(worker = &*self.target.id; "the pool's loop has ended");
        }
    }

    /// Polls once, and renews the lease if `renew` is set and the worker's clock is known. Returns
    /// the response, and whether the lease was renewed.
    async fn poll(&mut self, renew: bool) -> (Option<PollOutcome>, bool) {
        let confirmed = *self.confirmed.borrow();
        let lease = self.limits.lease;
        let reading = self.readings.lower_bound(confirmed).filter(|_clock| renew);
        let deadline = reading.map(|clock| clock + lease);
        if deadline.is_some() {
            // Reported before it is sent: a poll that got no answer may have renewed the lease all
            // the same.
            self.send(Event::LeaseRenewalSent {
                worker: Name::clone(&self.target.id),
                lease_expires_at: confirmed + self.limits.max_local_span(lease),
            });
        }
        let renewal = LeaseRenewal {
            deadline_ms: deadline,
            token: self.fence.token(),
            acknowledged: self.acknowledged_up_to(renew),
            wait: if deadline.is_some() {
                LONG_POLL_WAIT
            } else {
                Duration::ZERO
            },
        };
        let sent_at = self.clock.now();
        let response = match self.workers.renew(&self.target, renewal).await {
            Ok(PollOutcome::Status(status)) => {
                let now = self.clock.now();
                self.record_response(status.born, now);
                self.readings.add(status.clock_ms, now);
                self.send(Event::PollResponse {
                    worker: Name::clone(&self.target.id),
                    status: WorkerStatus::clone(&status),
                    sent_at,
                    at: now,
                });
                Some(PollOutcome::Status(status))
            }
            Ok(other) => Some(other),
            Err(error) => {
                log::debug!(worker = &*self.target.id, error:% = error; "poll failed");
                None
            }
        };
        (response, deadline.is_some())
    }

    /// Records the incarnation that has responded. The clock of a new one has restarted.
    fn record_response(&mut self, incarnation: u64, at: Millis) {
        if !self.fence.is_incarnation(incarnation) {
            // In this order: no start may have a deadline on the old clock and the new token.
            self.readings.clear();
            self.fence.record_incarnation(incarnation);
        }
        self.responded_at = Some(at);
    }

    /// Up to which number run ends are acknowledged now; `responding` says whether the last poll was
    /// answered.
    ///
    /// The call can't name the incarnation that it is meant for, and another one would forget run
    /// ends that nobody has seen. There is no other yet if the incarnation that reported them has
    /// responded just before: a worker takes longer than that to restart.
    fn acknowledged_up_to(&self, responding: bool) -> u64 {
        let now = self.clock.now();
        let recent = self.responded_at.is_some_and(|at| now < at + ACK_MAX_AGE);
        let ends_committed = self.ends_committed.borrow();
        let cursor = ends_committed.get(&self.target.id);
        let of_incarnation = cursor
            .filter(|known| responding && recent && self.fence.is_incarnation(known.incarnation));
        of_incarnation.map_or(0, |known| known.number)
    }

    /// Waits until run ends up to `newest` are committed: until then a poll would return at once
    /// with the same ends.
    async fn wait_until_committed(&mut self, incarnation: u64, newest: u64) {
        let id = Name::clone(&self.target.id);
        let is_committed =
            |known: &EndsCursor| known.incarnation == incarnation && known.number >= newest;
        let done = self
            .ends_committed
            .wait_for(|ends_committed| ends_committed.get(&id).is_some_and(is_committed));
        if timeout(COMMIT_TIMEOUT, done).await.is_err() {
            log::debug!(worker = &*id, newest; "run ends are not committed yet");
        }
    }
}

/// Time after which the clock certainly shows a later millisecond.
const CLOCK_TICK: Duration = Duration::from_millis(1);

/// A poll that doesn't wait for a run to end, renews nothing and acknowledges nothing.
///
/// A start without an answer is resolved by a stop and a poll that is sent later. The poll in
/// progress waits a second for a run to end, and so does the next one: without this, such a task
/// waits up to two seconds for its next start, and the instance of its worker as long to be
/// evacuated.
#[derive(Debug)]
pub(crate) struct ImmediatePoll {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub clock: Clock,
    pub fence: Arc<Fence>,
    pub events: UnboundedSender<Event>,
}

impl ImmediatePoll {
    /// Polls, and sends the response to the pool's loop. A failure isn't retried: the regular polls
    /// continue.
    pub(crate) async fn run(self) {
        // A poll that was sent in the same millisecond as the stop's answer may have been sent
        // before it.
        sleep(CLOCK_TICK).await;
        let sent_at = self.clock.now();
        let renewal = LeaseRenewal {
            deadline_ms: None,
            token: self.fence.token(),
            acknowledged: 0,
            wait: Duration::ZERO,
        };
        let worker = Name::clone(&self.target.id);
        let status = match self.workers.renew(&self.target, renewal).await {
            Ok(PollOutcome::Status(status)) => status,
            other => {
                log::debug!(worker = &*worker, answer:? = other; "immediate poll failed");
                return;
            }
        };
        let event = Event::PollResponse {
            worker,
            status,
            sent_at,
            at: self.clock.now(),
        };
        if self.events.send(event).is_err() {
            log::debug!(worker = &*self.target.id; "the pool's loop has ended");
        }
    }
}
