//! One order on its way to a worker.

use crate::{clock::Clock, event::Event, fence::Fence, observe::Observer};
use log::{debug, info};
use parking_lot::Mutex;
use primroseroute_cell::{Millis, Order, Outcome};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::{
    Error,
    worker::{Answer, Refusal, Start, Target, Workers},
};
use std::{collections::BTreeSet, sync::Arc};
use tokio::{
    sync::{Semaphore, mpsc::UnboundedSender},
    time::Instant,
};

/// When orders were decided and committed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// When they were decided.
    pub decided: Instant,
    /// Up to when the owner had heard of all cancels.
    pub heard_at: Millis,
    /// When their commit was sent.
    pub sent_at: Millis,
    /// Time after that in which starts must arrive.
    pub window: Millis,
}

/// Starts to one worker that wait for their turn, and that a stop can still take back.
#[derive(Debug, Default)]
pub(crate) struct Pending(Mutex<BTreeSet<(TaskId, u32)>>);

impl Pending {
    /// Adds a start.
    pub(crate) fn add(&self, task: &TaskId, run: u32) {
        self.0.lock().insert((task.clone(), run));
    }

    /// Takes a start out, to send it or never to; whether it was still there.
    pub(crate) fn take(&self, task: &TaskId, run: u32) -> bool {
        self.0.lock().remove(&(task.clone(), run))
    }
}

/// An order on its way.
pub(crate) struct Sending {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub fence: Arc<Fence>,
    pub clock: Clock,
    /// When a start that waits for its turn isn't worth sending any more.
    pub expires_at: Millis,
    /// Until when on the worker's clock a start may take effect; none where its clock isn't known.
    pub deadline_ms: Option<Millis>,
    /// Token of a start, of the same moment: a deadline on the clock of the life before must not go with a token of this one.
    pub token: u64,
    /// Places for orders to this worker.
    pub slots: Arc<Semaphore>,
    pub pending: Arc<Pending>,
    pub events: UnboundedSender<Event>,
    /// When the order was decided.
    pub decided: Instant,
    pub observer: Arc<dyn Observer>,
}

fn kind(order: &Order) -> &'static str {
    match order {
        Order::Start { .. } => "start",
        Order::Stop { .. } => "stop",
        Order::Throttle { .. } => "pace",
    }
}

impl Sending {
    /// Sends the order, and tells the pool's loop what came of it.
    pub(crate) async fn send(self, order: Order) {
        let Ok(_slot) = self.slots.acquire().await else {
            return;
        };
        self.observer.sending(kind(&order), self.decided.elapsed());
        match order {
            Order::Start {
                worker,
                task,
                run,
                payload,
                checkpoint,
                ticket,
            } => {
                if !self.pending.take(&task, run) {
                    return;
                }
                let is_late = self.clock.now() >= self.expires_at;
                let outcome = match self.deadline_ms {
                    _ if is_late => Outcome::Withdrawn,
                    Some(deadline_ms) => {
                        let start = Start {
                            task: task.clone(),
                            run,
                            payload,
                            deadline_ms,
                            token: self.token,
                            checkpoint,
                            ticket,
                        };
                        self.start(&start).await
                    }
                    None => Outcome::Unsent,
                };
                let event = Event::Answered {
                    worker,
                    task,
                    run,
                    outcome,
                };
                self.tell(event);
            }
            Order::Stop { task, run, .. } => {
                let answer = self
                    .workers
                    .stop(&self.target, &task, run, self.fence.token());
                let answer = answer.await;
                let done = answer == Ok(Answer::Done);
                self.note("stop", &task, run, answer);
                if done {
                    let worker = Name::clone(&self.target.id);
                    self.tell(Event::Stopped { worker, task, run });
                }
            }
            Order::Throttle {
                task, run, percent, ..
            } => {
                let answer =
                    self.workers
                        .throttle(&self.target, &task, run, percent, self.fence.token());
                self.note("pace", &task, run, answer.await);
            }
        }
    }

    async fn start(&self, start: &Start) -> Outcome {
        match self.workers.start(&self.target, start).await {
            Ok(Answer::Done) => Outcome::Started,
            Ok(Answer::Refused(refusal)) => Outcome::Refused(refusal),
            Ok(Answer::Gone) => {
                let event = Event::Replaced(Name::clone(&self.target.id));
                self.tell(event);
                Outcome::Unsent
            }
            Err(error) => {
                let outcome = match error {
                    Error::Unknown(_) => Outcome::Unknown,
                    Error::Throttled => Outcome::Refused(Refusal::Unhealthy),
                    _ => Outcome::Unsent,
                };
                self.note("start", &start.task, start.run, Err(error));
                outcome
            }
        }
    }

    fn tell(&self, event: Event) {
        if self.events.send(event).is_err() {
            debug!("the pool's loop has ended");
        }
    }

    fn note(&self, order: &str, task: &TaskId, run: u32, answer: Result<Answer, Error>) {
        let worker = &*self.target.id;
        match answer {
            Ok(Answer::Done) => debug!(worker, task:% = task, run; "{order} taken"),
            Ok(other) => info!(worker, task:% = task, run, answer:? = other; "{order} refused"),
            // It is sent again while looks still show the run.
            Err(error) => {
                info!(worker, task:% = task, run, error:% = error; "{order} without an answer");
            }
        }
    }
}
