//! Delivery of one order to a worker.

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
pub(crate) struct CommitTimes {
    /// When they were decided.
    pub decided: Instant,
    /// Up to when the owner knew of all cancels.
    pub feed_watermark: Millis,
    /// When their commit was sent.
    pub sent_at: Millis,
    /// Time after that within which starts must arrive.
    pub start_window: Millis,
}

/// Starts to one worker that are queued, and that a stop can still remove.
#[derive(Debug, Default)]
pub(crate) struct QueuedStarts(Mutex<BTreeSet<(TaskId, u32)>>);

impl QueuedStarts {
    pub(crate) fn add(&self, task: &TaskId, run: u32) {
        self.0.lock().insert((task.clone(), run));
    }

    /// Removes a start, to send it or never to; returns whether it was still queued.
    pub(crate) fn remove(&self, task: &TaskId, run: u32) -> bool {
        self.0.lock().remove(&(task.clone(), run))
    }
}

/// The delivery of an order.
pub(crate) struct OrderDelivery {
    pub target: Target,
    pub workers: Arc<dyn Workers>,
    pub fence: Arc<Fence>,
    pub clock: Clock,
    /// When a queued start isn't worth sending any more.
    pub expires_at: Millis,
    /// Until when on the worker's clock a start may take effect; `None` if its clock isn't known.
    pub deadline_ms: Option<Millis>,
    /// Token of a start, read at the same time: a deadline on the clock of the previous incarnation
    /// must not go with a token of this one.
    pub token: u64,
    /// The incarnation of the worker for which the order was decided.
    pub incarnation: u64,
    /// Limits the concurrent orders to this worker.
    pub concurrency: Arc<Semaphore>,
    pub queued: Arc<QueuedStarts>,
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

impl OrderDelivery {
    /// Sends the order, and reports its outcome to the pool's loop.
    pub(crate) async fn send(self, order: Order) {
        let Ok(_permit) = self.concurrency.acquire().await else {
            return;
        };
        self.observer
            .order_waited(kind(&order), self.decided.elapsed());
        match order {
            Order::Start {
                worker,
                task,
                run,
                payload,
                checkpoint,
                ticket,
            } => {
                if !self.queued.remove(&task, run) {
                    return;
                }
                let is_late = self.clock.now() >= self.expires_at;
                let is_outdated = !self.fence.is_incarnation(self.incarnation);
                let outcome = match self.deadline_ms {
                    _ if is_late || is_outdated => Outcome::Withdrawn,
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
                let event = Event::StartOutcome {
                    worker,
                    task,
                    run,
                    outcome,
                };
                self.notify(event);
            }
            Order::Stop { task, run, .. } => {
                let answer = self
                    .workers
                    .stop(&self.target, &task, run, self.fence.token());
                let answer = answer.await;
                let done = answer == Ok(Answer::Done);
                self.log_result("stop", &task, run, answer);
                if done {
                    let worker = Name::clone(&self.target.id);
                    self.notify(Event::StopAccepted { worker, task, run });
                }
            }
            Order::Throttle {
                task, run, percent, ..
            } => {
                let answer =
                    self.workers
                        .throttle(&self.target, &task, run, percent, self.fence.token());
                self.log_result("pace", &task, run, answer.await);
            }
        }
    }

    async fn start(&self, start: &Start) -> Outcome {
        match self.workers.start(&self.target, start).await {
            Ok(Answer::Done) => Outcome::Started,
            Ok(Answer::Refused(refusal)) => Outcome::Refused(refusal),
            Ok(Answer::Gone) => {
                let event = Event::Replaced(Name::clone(&self.target.id));
                self.notify(event);
                Outcome::Unsent
            }
            Err(error) => {
                let outcome = match error {
                    Error::Unknown(_) => Outcome::Unknown,
                    Error::Throttled => Outcome::Refused(Refusal::Unhealthy),
                    _ => Outcome::Unsent,
                };
                self.log_result("start", &start.task, start.run, Err(error));
                outcome
            }
        }
    }

    fn notify(&self, event: Event) {
        if self.events.send(event).is_err() {
            debug!("the pool's loop has ended");
        }
    }

    fn log_result(&self, order: &str, task: &TaskId, run: u32, answer: Result<Answer, Error>) {
        let worker = &*self.target.id;
        match answer {
            Ok(Answer::Done) => debug!(worker, task:% = task, run; "{order} accepted"),
            Ok(other) => info!(worker, task:% = task, run, answer:? = other; "{order} refused"),
            // It is sent again while polls still show the run.
            Err(error) => {
                info!(worker, task:% = task, run, error:% = error; "{order} failed");
            }
        }
    }
}
