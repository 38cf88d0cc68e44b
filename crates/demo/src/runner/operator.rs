//! A simulated operator that sends one command after another to the entries' admin interface.

use crate::{
    checker::{AcceptedCommand, Event},
    event_log::EventLog,
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

/// A command and the entry that it is sent to.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) admin: Admin,
    pub(super) action: Action,
    pub(super) reason: &'static str,
}

/// The action of a command.
#[derive(Debug)]
pub(super) enum Action {
    /// Apply a template.
    Apply(Template),
    /// Move an instance to another pool.
    Move(Move),
    /// Start a wave.
    Wave(wave::Order),
}

/// An instance and the pool that it moves to.
#[derive(Debug)]
pub(super) struct Move {
    pub(super) instance: id::Instance,
    pub(super) pool: id::Pool,
}

impl Command {
    async fn send(self) -> Result<Accepted, Error> {
        match self.action {
            Action::Apply(template) => {
                let apply = Apply {
                    template,
                    if_version: None,
                    reason: self.reason.into(),
                };
                self.admin.apply(&apply).await
            }
            Action::Move(Move { instance, pool }) => {
                let order = api::Order {
                    if_version: None,
                    reason: self.reason.into(),
                    force: false,
                };
                let order = api::Move { pool, order };
                self.admin.move_to(&instance, &order).await
            }
            Action::Wave(order) => {
                let start = Start {
                    order,
                    reason: self.reason.into(),
                };
                self.admin.start_wave(&start).await
            }
        }
    }
}

/// Counts of submitted and finished commands.
#[derive(Debug, Default)]
struct Progress {
    submitted: u64,
    finished: u64,
    newest: Seq,
}

/// Handle of the operator's task.
#[derive(Debug)]
pub(super) struct Operator {
    commands: UnboundedSender<Command>,
    progress: Arc<Mutex<Progress>>,
    task: JoinHandle<()>,
}

impl Operator {
    pub(super) fn spawn(log: EventLog) -> Self {
        let (commands, submitted) = unbounded_channel();
        let progress = Arc::<Mutex<Progress>>::default();
        let task = tokio::spawn(send_all(submitted, log, Arc::clone(&progress)));
        Self {
            commands,
            progress,
            task,
        }
    }

    pub(super) fn submit(&self, command: Command) {
        self.progress.lock().submitted += 1;
        if self.commands.send(command).is_err() {
            self.progress.lock().finished += 1;
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        let progress = self.progress.lock();
        progress.submitted == progress.finished
    }

    /// The newest change that an accepted command became.
    pub(super) fn newest(&self) -> Seq {
        self.progress.lock().newest
    }

    pub(super) fn abort(&self) {
        self.task.abort();
    }
}

async fn send_all(
    mut submitted: UnboundedReceiver<Command>,
    log: EventLog,
    progress: Arc<Mutex<Progress>>,
) {
    while let Some(command) = submitted.recv().await {
        let sent = log.now();
        // A rejected command, such as while the store is down, changes nothing and violates no invariant.
        let accepted = command.send().await.ok();
        let mut progress = progress.lock();
        progress.finished += 1;
        if let Some(accepted) = accepted {
            progress.newest = progress.newest.max(accepted.version);
            log.record(Event::CommandAccepted(AcceptedCommand {
                seq: accepted.version,
                sent,
            }));
        }
    }
}
