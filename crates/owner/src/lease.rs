//! Looks at one worker, and the renewal of the lease on what runs there.

use crate::{clock::Clock, event::Event, fence::Fence};
use parking_lot::Mutex;
use primroseroute_backoff::Retry;
use primroseroute_cell::{EndsCursor, Limits, Millis};
use primroseroute_domain::work::Name;
use primroseroute_platform::worker::{LeaseRenewal, PollOutcome, Target, WorkerStatus, Workers};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc::UnboundedSender, watch::Receiver},
    time::{sleep, timeout},
};

/// How long a look waits for an end. Each one renews the lease, so a lease of several seconds
/// survives a few that fail.
const WAIT: Duration = Duration::from_secs(1);

/// Pause between looks that renew nothing, which don't wait for an end.
const PACE: Duration = Duration::from_millis(150);

/// First and longest pause after a look that failed. The longest bounds how late work goes on after a cut.
const PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// Longest wait for ends to be committed before the worker is looked at again; a store that is away
/// for longer must not keep the lease from being renewed.
const COMMIT_WAIT: Duration = Duration::from_secs(1);

/// Longest time from a worker's answer in which its ends are acknowledged, in milliseconds.
const ACKNOWLEDGED_WITHIN: Millis = 1_200;

/// Readings of a worker's clock that are kept: enough to find one from before the last confirmation
/// of the ownership, at up to a few a second.
const READINGS: usize = 24;

/// Most that a worker's clock may be slow, in thousandths.
const SLOW: Millis = 20;

/// A worker's clock, as far as looks have shown it.
#[derive(Debug, Default)]
pub(crate) struct Readings {
    /// What it showed, and when that answer came.
    known: Mutex<VecDeque<(Millis, Millis)>>,
}

impl Readings {
    /// Forgets all: the clock has begun anew.
    fn clear(&self) {
        self.known.lock().clear();
    }

    fn add(&self, clock_ms: Millis, at: Millis) {
        let mut known = self.known.lock();
        known.push_back((clock_ms, at));
        if known.len() > READINGS {
            known.pop_front();
        }
    }

    /// The least that the worker's clock can have shown at `at`, by readings from before it.
    ///
    /// Later readings are left out: a process that was suspended since `at` would take the time that
    /// its own clock missed for time before it.
    pub(crate) fn at(&self, at: Millis) -> Option<Millis> {
        let known = self.known.lock();
        let before = known.iter().rev().find(|(_clock, read_at)| *read_at <= at);
        before.map(|(clock, read_at)| {
            let passed = at - read_at;
            clock + passed - passed * SLOW / 1_000
        })
    }
}

/// Everything that looks at one worker need.
#[derive(Debug)]
pub(crate) struct Watcher {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub clock: Clock,
    pub limits: Limits,
    pub fence: Arc<Fence>,
    pub readings: Arc<Readings>,
    /// When the store last confirmed the ownership.
    pub confirmed: Receiver<Millis>,
    /// Up to where each worker's ends are committed.
    pub seen: Receiver<Arc<BTreeMap<Name, EndsCursor>>>,
    pub events: UnboundedSender<Event>,
    /// When the last answer came.
    pub answered_at: Option<Millis>,
}

impl Watcher {
    /// Looks until the worker's life is over, or the owner stops.
    ///
    /// A worker that didn't answer is only looked at until it does. Renewing on and on without an
    /// answer would move the time at which its lease has surely lapsed, and the tasks of a dead
    /// worker would never start elsewhere.
    pub(crate) async fn run(mut self) {
        let [first, longest] = PAUSES;
        let mut retry = Retry::new(first, longest, (&self.target.id, self.fence.token()));
        let mut answers = false;
        loop {
            let (answer, renews) = self.look(answers).await;
            let answered = matches!(answer, Some(PollOutcome::Status(_)));
            if answers && !answered {
                self.fence.raise();
            }
            answers = answered;
            match answer {
                Some(PollOutcome::Status(look)) => {
                    retry.reset();
                    let newest = look.ended.last().map(|ended| ended.number);
                    match newest {
                        Some(newest) => self.until_committed(look.born, newest).await,
                        // Without a reading from before the last confirmation nothing can be renewed.
                        None if !renews => sleep(PACE).await,
                        None => {}
                    }
                }
                Some(PollOutcome::Gone) => {
                    let worker = Name::clone(&self.target.id);
                    self.send(Event::Replaced(worker));
                    return;
                }
                Some(PollOutcome::Refused(refusal)) => {
                    log::debug!(worker = &*self.target.id, refusal:? = refusal; "look refused");
                    retry.sleep().await;
                }
                None => retry.sleep().await,
            }
        }
    }

    fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::debug!(worker = &*self.target.id; "the pool's loop has ended");
        }
    }

    /// Looks once, and renews the lease if `renew` says so and the worker's clock is known; the
    /// answer, and whether it renewed.
    async fn look(&mut self, renew: bool) -> (Option<PollOutcome>, bool) {
        let confirmed = *self.confirmed.borrow();
        let lease = self.limits.lease;
        let reading = self.readings.at(confirmed).filter(|_clock| renew);
        let deadline = reading.map(|clock| clock + lease);
        if deadline.is_some() {
            // Told before it is sent: a look that is lost may have renewed the lease all the same.
            self.send(Event::Renewing {
                worker: Name::clone(&self.target.id),
                lapses_at: confirmed + self.limits.max_local_span(lease),
            });
        }
        let hold = LeaseRenewal {
            deadline_ms: deadline,
            token: self.fence.token(),
            acknowledged: self.committed(renew),
            wait: if deadline.is_some() {
                WAIT
            } else {
                Duration::ZERO
            },
        };
        let sent_at = self.clock.now();
        let answer = match self.workers.renew(&self.target, hold).await {
            Ok(PollOutcome::Status(look)) => {
                let now = self.clock.now();
                self.answered(look.born, now);
                self.readings.add(look.clock_ms, now);
                self.send(Event::Look {
                    worker: Name::clone(&self.target.id),
                    look: WorkerStatus::clone(&look),
                    sent_at,
                    at: now,
                });
                Some(PollOutcome::Status(look))
            }
            Ok(other) => Some(other),
            Err(error) => {
                log::debug!(worker = &*self.target.id, error:% = error; "look failed");
                None
            }
        };
        (answer, deadline.is_some())
    }

    /// Takes in which life has answered. The clock of another one has begun anew.
    fn answered(&mut self, born: u64, at: Millis) {
        if !self.fence.is_of(born) {
            // In this order: no start may have a deadline on the old clock and the new token.
            self.readings.clear();
            self.fence.meet(born);
        }
        self.answered_at = Some(at);
    }

    /// Up to which number ends are acknowledged now; `answers` says whether the last look was answered.
    ///
    /// The call can't name the life that it is meant for, and another one would forget ends that nobody has seen. It has none yet
    /// where the life that has listed them has answered just before: a worker takes longer than that to come back.
    fn committed(&self, answers: bool) -> u64 {
        let now = self.clock.now();
        let lately = self
            .answered_at
            .is_some_and(|at| now < at + ACKNOWLEDGED_WITHIN);
        let seen = self.seen.borrow();
        let taken_in = seen.get(&self.target.id);
        let of_life =
            taken_in.filter(|known| answers && lately && self.fence.is_of(known.incarnation));
        of_life.map_or(0, |known| known.number)
    }

    /// Waits until ends up to `newest` are committed: until then a look would answer at once with
    /// the same ends.
    async fn until_committed(&mut self, born: u64, newest: u64) {
        let id = Name::clone(&self.target.id);
        let is_in = |known: &EndsCursor| known.incarnation == born && known.number >= newest;
        let done = self.seen.wait_for(|seen| seen.get(&id).is_some_and(is_in));
        if timeout(COMMIT_WAIT, done).await.is_err() {
            log::debug!(worker = &*id, newest; "ends aren't committed yet");
        }
    }
}

/// Time after which the clock surely shows a later millisecond.
const NEXT: Duration = Duration::from_millis(1);

/// A look that doesn't wait for an end, renews nothing and acknowledges nothing.
///
/// A start that wasn't answered is settled by a stop and a look that is sent later. The look on its way waits a
/// second for an end, and so does the next one: without this, such a task waits up to two seconds for its next start, and the
/// instance of its worker as long to be emptied.
#[derive(Debug)]
pub(crate) struct Glance {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub clock: Clock,
    pub fence: Arc<Fence>,
    pub events: UnboundedSender<Event>,
}

impl Glance {
    /// Looks, and tells the pool's loop. A glance that fails isn't repeated: the other looks go on.
    pub(crate) async fn run(self) {
        // A look that was sent in the millisecond of the stop's answer may have been sent before it.
        sleep(NEXT).await;
        let sent_at = self.clock.now();
        let hold = LeaseRenewal {
            deadline_ms: None,
            token: self.fence.token(),
            acknowledged: 0,
            wait: Duration::ZERO,
        };
        let worker = Name::clone(&self.target.id);
        let look = match self.workers.renew(&self.target, hold).await {
            Ok(PollOutcome::Status(look)) => look,
            other => {
                log::debug!(worker = &*worker, answer:? = other; "glance failed");
                return;
            }
        };
        let event = Event::Look {
            worker,
            look,
            sent_at,
            at: self.clock.now(),
        };
        if self.events.send(event).is_err() {
            log::debug!(worker = &*self.target.id; "the pool's loop has ended");
        }
    }
}
