//! An operator, who sends one order after another.

use crate::{
    journal::Journal,
    judge::{Event, Ordered},
};
use parking_lot::Mutex;
use primroseroute_api::Apply;
use primroseroute_domain::{account::Template, change::Seq};
use primroseroute_testbed::Admin;
use std::sync::Arc;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
};

/// A template to be applied at one entry.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) admin: Admin,
    pub(super) template: Template,
    pub(super) reason: &'static str,
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
        let apply = Apply {
            template: order.template,
            if_version: None,
            reason: order.reason.into(),
        };
        // A refusal, such as while the store is down, changes nothing and is no breach.
        let accepted = order.admin.apply(&apply).await.ok();
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
