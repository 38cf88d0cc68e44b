//! Up to when an owner knows what callers have cancelled, and the starts that rest on it.

use crate::{cell::Cell, limits::Millis, order::Order, worker::Stop};
use primroseroute_domain::work::{Name, StepId, TaskId};
use std::collections::BTreeSet;

/// Least time that a start needs from its decision to its worker: a commit and a call, thirty times slower than usual.
const START_TIME: Millis = 500;

impl Cell {
    /// Takes in that all jobs and cancels which were stored by `at` have been told.
    pub fn heard(&mut self, at: Millis) {
        self.heard_at = self.heard_at.max(Some(at));
    }

    /// Time after `sent_at` in which a start must arrive whose commit was sent then.
    ///
    /// Without the bound by what is known, the lag of a busy or cut-off owner and the window of the commit add up, and
    /// work of a job begins seconds after its caller was told that it is cancelled. What was cancelled by `heard_at` isn't
    /// started, and no start takes effect later than the window after that.
    pub fn start_window(&self, sent_at: Millis) -> Millis {
        let known = self.heard_at.map_or(0, |at| at + self.limits.cancel_window);
        self.limits.start_window.min(known.saturating_sub(sent_at))
    }

    /// Whether enough is left of the window for starts that are decided now.
    pub(crate) fn may_start(&self, now: Millis) -> bool {
        self.start_window(now) >= START_TIME
    }

    /// Up to when all cancels that were stored are taken in.
    pub fn heard_at(&self) -> Millis {
        self.heard_at.unwrap_or(self.taken_at)
    }

    /// Of orders that are committed, those that still hold; the rest were never sent and are taken back.
    ///
    /// A cancel that comes while the commit is under way has its stops sent at once, and a start that followed them could
    /// overtake them on another connection. Members of a gang go together: the rest would wait for the missing one in vain.
    pub fn standing(&mut self, orders: Vec<Order>) -> Vec<Order> {
        let broken: BTreeSet<StepId> = orders
            .iter()
            .filter(|order| !self.stands(order))
            .filter_map(|order| self.gang(order))
            .collect();
        let (standing, withdrawn) = orders.into_iter().partition(|order| {
            let whole = self.gang(order).is_none_or(|gang| !broken.contains(&gang));
            whole && self.stands(order)
        });
        for order in withdrawn {
            if let Order::Start {
                worker, task, run, ..
            } = order
            {
                self.withdraw(&worker, &task, run);
            }
        }
        standing
    }

    /// The step of a start whose members go together.
    fn gang(&self, order: &Order) -> Option<StepId> {
        let Order::Start { task, .. } = order else {
            return None;
        };
        let step = self.jobs.get(&task.job)?.step(task.step)?;
        step.gang.then(|| task.step_id())
    }

    /// A start was never sent: its run is over, and its task waits again if its job goes on.
    pub(crate) fn withdraw(&mut self, worker: &Name, task: &TaskId, run: u32) {
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.runs.get(task).is_some_and(|entry| entry.run == run)
        {
            worker.runs.remove(task);
        }
        self.back_to_waiting(worker, task, run, None);
    }

    fn stands(&self, order: &Order) -> bool {
        let Order::Start {
            worker, task, run, ..
        } = order
        else {
            return true;
        };
        let worker = self.workers.get(worker);
        let entry = worker.and_then(|worker| worker.runs.get(task));
        entry.is_some_and(|entry| entry.run == *run && entry.stop == Stop::No)
    }
}
