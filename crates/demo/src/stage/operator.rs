//! An operator, who sends one order after another.

use crate::{
    journal::Journal,
    judge::{Event, Ordered},
};
use parking_lot::Mutex;
use primroseroute_api::{self as api, Accepted, Apply, Start};
use primroseroute_client::Error;
use primroseroute_domain::{account::Template, change::Seq, id};
use primroseroute_fleet::wave;
use primroseroute_testbed::Admin;
use std::sync::Arc;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
};

/// What is to be done at one entry.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) admin: Admin,
    pub(super) task: Task,
    pub(super) reason: &'static str,
}

/// What an order asks for.
#[derive(Debug)]
pub(super) enum Task {
    /// Apply a template.
    Apply(Template),
    /// Move an instance to another pool.
    Move(Move),
    /// Start a wave.
    Wave(wave::Order),
}

/// An instance and the pool that it is to join.
#[derive(Debug)]
pub(super) struct Move {
    pub(super) instance: id::Instance,
    pub(super) pool: id::Pool,
}

impl Order {
    async fn send(self) -> Result<Accepted, Error> {
        match self.task {
            Task::Apply(template) => {
                let apply = Apply {
                    template,
                    if_version: None,
                    reason: self.reason.into(),
                };
                self.admin.apply(&apply).await
            }
            Task::Move(Move { instance, pool }) => {
                let order = api::Order {
                    if_version: None,
                    reason: self.reason.into(),
                    force: false,
                };
                let order = api::Move { pool, order };
                self.admin.move_to(&instance, &order).await
            }
            Task::Wave(order) => {
                let start = Start {
                    order,
                    reason: self.reason.into(),
                };
                self.admin.start_wave(&start).await
            }
        }
    }
}

/// How far the operator is.
#[derive(Debug, Default)]
struct Done {
    given: u64,
    ended: u64,
    newest: Seq,
}

/// The operator at work.
#[derive(Debug)]
pub(super) struct Operator {
    orders: UnboundedSender<Order>,
    done: Arc<Mutex<Done>>,
    task: JoinHandle<()>,
}

impl Operator {
    pub(super) fn spawn(journal: Journal) -> Self {
        let (orders, given) = unbounded_channel();
        let done = Arc::<Mutex<Done>>::default();
        let task = tokio::spawn(work(given, journal, Arc::clone(&done)));
        Self { orders, done, task }
    }

    pub(super) fn give(&self, order: Order) {
        self.done.lock().given += 1;
        if self.orders.send(order).is_err() {
            self.done.lock().ended += 1;
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        let done = self.done.lock();
        done.given == done.ended
    }

    /// The newest accepted change.
    pub(super) fn newest(&self) -> Seq {
        self.done.lock().newest
    }

    pub(super) fn abort(&self) {
        self.task.abort();
    }
}

async fn work(mut given: UnboundedReceiver<Order>, journal: Journal, done: Arc<Mutex<Done>>) {
    while let Some(order) = given.recv().await {
        let sent = journal.now();
        // A refusal, such as while the store is down, changes nothing and is no breach.
        let accepted = order.send().await.ok();
        let mut done = done.lock();
        done.ended += 1;
        if let Some(accepted) = accepted {
            done.newest = done.newest.max(accepted.version);
            journal.write(Event::Ordered(Ordered {
                seq: accepted.version,
                sent,
            }));
        }
    }
}
