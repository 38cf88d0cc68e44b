//! Finds out which unresponsive workers have terminated, and which the platform still lists.
//!
//! This is independent of the orders to instances, which wait for the store, and of lists that take
//! long: a list is requested regularly, whether or not earlier ones have been answered. A gap between
//! lists is a time in which a worker may have crashed and come back.

use crate::{evacuations::PoolStatus, event::Event, instance_cache::Listing, ownership::Context};
use log::info;
use primroseroute_domain::work::Name;
use primroseroute_platform::Error;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc::UnboundedSender, watch::Receiver},
    task::JoinSet,
    time::{Instant, sleep},
};

/// Interval between the answer to a list and the next one.
const LIST_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a list that isn't answered is no longer waited for before the next one. It is
/// well below the time that a worker takes to come back.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of lists that wait for an answer.
const MAX_PENDING: usize = 8;

/// The status of the pool at some time.
#[derive(Clone)]
struct Snapshot {
    at: Instant,
    status: Arc<PoolStatus>,
}

/// A list that was requested after a snapshot, or the failure of the call.
struct Answer {
    asked_at: Instant,
    snapshot: Snapshot,
    result: Result<Listing, Error>,
}

/// The lists of one pool's owner.
struct Terminations {
    context: Context,
    status: Receiver<Arc<PoolStatus>>,
    events: UnboundedSender<Event>,
    pending: JoinSet<Answer>,
    /// The status when it was last looked at.
    last: Option<Snapshot>,
    /// When the newest list was requested.
    asked_at: Option<Instant>,
    /// When the newest list that was answered had been requested.
    answered: Option<Instant>,
}

/// Lists the instances while workers of the pool are unresponsive, until the task is dropped.
pub(crate) async fn run(
    context: Context,
    status: Receiver<Arc<PoolStatus>>,
    events: UnboundedSender<Event>,
) {
    let mut terminations = Terminations {
        context,
        status,
        events,
        pending: JoinSet::new(),
        last: None,
        asked_at: None,
        answered: None,
    };
    loop {
        terminations.list_if_due();
        tokio::select! {
            biased;
            Some(answer) = terminations.pending.join_next() => {
                if let Ok(answer) = answer {
                    terminations.apply(answer);
                }
                sleep(LIST_INTERVAL).await;
            }
            () = sleep(LIST_INTERVAL) => {}
        }
    }
}

impl Terminations {
    /// Requests a list. Where the last snapshot has the same unresponsive workers, one that was
    /// requested for another purpose since then will do: each costs the processor time of an entry
    /// that may have little.
    fn list_if_due(&mut self) {
        let now = Instant::now();
        let status = Arc::clone(&self.status.borrow());
        let current = Snapshot { at: now, status };
        let last = self.last.replace(current.clone());
        let last = last.filter(|last| last.status.unresponsive == current.status.unresponsive);
        let snapshot = last.unwrap_or(current);
        if snapshot.status.unresponsive.is_empty() {
            return;
        }
        let elapsed = self.asked_at.map(|at| at.elapsed());
        let is_overdue = elapsed.is_none_or(|elapsed| elapsed >= ANSWER_TIMEOUT);
        let is_due = self.answered >= self.asked_at || is_overdue;
        if !is_due || self.pending.len() >= MAX_PENDING {
            return;
        }
        self.asked_at = Some(now);
        let instances = Arc::clone(&self.context.fleet);
        self.pending.spawn(async move {
            Answer {
                asked_at: now,
                result: instances.list(snapshot.at).await,
                snapshot,
            }
        });
    }

    /// Reports which unresponsive workers have terminated, and which are still listed. The platform
    /// names the worker of each instance: one that it no longer names runs nothing, while a
    /// partitioned one is still named. Without this, tasks of a dead worker wait until its lease has
    /// certainly expired, and a later crash of a partitioned worker is attributed to runs that it has
    /// outlived.
    ///
    /// The status is from before the list was requested: a worker that has joined since isn't named
    /// by it either, nor is an incarnation that has started since.
    fn apply(&mut self, answer: Answer) {
        self.answered = self.answered.max(Some(answer.asked_at));
        let status = answer.snapshot.status;
        let listing = match answer.result {
            Ok(listing) => listing,
            Err(error) => {
                info!(pool = &*self.context.pool, error:% = error; "list of instances failed");
                return;
            }
        };
        let asked_at = self.context.clock.at(listing.asked_at);
        let instances = listing.instances.iter();
        let named = instances.filter_map(|known| known.worker.as_ref());
        let named: BTreeSet<&Name> = named.collect();
        for worker in &status.unresponsive {
            let (worker, incarnation) = (Name::clone(worker), status.incarnations.get(worker));
            let incarnation = incarnation.copied().unwrap_or(0);
            let event = if !named.contains(&worker) {
                Event::Terminated {
                    worker,
                    incarnation,
                    asked_at,
                }
            } else if status.possibly_crashed.contains(&worker) {
                Event::Listed {
                    worker,
                    incarnation,
                    asked_at,
                }
            } else {
                continue;
            };
            if self.events.send(event).is_err() {
                log::debug!("the pool's loop has ended");
            }
        }
    }
}
