//! Which tasks of lasting steps are at work, and how many a step may miss.

use super::Sent;
use crate::site::worker::STARTUP;
use primroseroute_domain::work::{End, Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a task that isn't at work has to be known to be away, for whatever cause.
const NOTICE: u64 = 4_500;

/// What the tasks of lasting steps were seen to do.
#[derive(Default)]
pub(super) struct Steps<'a> {
    /// When the newest run of a task was begun.
    begun: BTreeMap<&'a TaskId, u64>,
    /// When a run of a task last ended.
    ended: BTreeMap<&'a TaskId, u64>,
    /// When a task was last ended by an order.
    stopped: BTreeMap<&'a TaskId, u64>,
    /// Workers that leave by themselves.
    draining: BTreeSet<&'a Name>,
}

impl<'a> Steps<'a> {
    /// Takes in a run's begin. Where the one before was at work when it ended, an earlier order has no part in that.
    pub(super) fn started(&mut self, task: &'a TaskId, at: u64) {
        let before = self.begun.insert(task, at);
        let stopped = self.stopped.get(task);
        let has_worked = before
            .zip(self.ended.get(task))
            .is_some_and(|(begun, ended)| {
                let after_stop = stopped.is_some_and(|stopped| *stopped < begun);
                after_stop && *ended >= begun + STARTUP
            });
        if has_worked {
            self.stopped.remove(task);
        }
    }

    pub(super) fn stopped(&mut self, task: &'a TaskId, at: u64) {
        self.stopped.insert(task, at);
    }

    pub(super) fn draining(&mut self, worker: &'a Name) {
        self.draining.insert(worker);
    }

    /// Takes in the end of a run. One whose lease lapsed while nothing was wrong counts as ended by an order.
    pub(super) fn ended(&mut self, sent: &Sent, at: u64, task: &'a TaskId, how: Option<End>) {
        self.ended.insert(task, at);
        let mut calm = sent.calm.iter();
        if how == Some(End::Lapsed) && calm.any(|calm| calm.contains(&at)) {
            self.stopped.insert(task, at);
        }
    }

    /// Whether a stop of `task` on `worker`, where it runs, takes a task at work away that its step can't miss.
    pub(super) fn breaks(&self, sent: &Sent, at: u64, worker: &Name, task: &TaskId) -> bool {
        let job = sent.jobs.get(&task.job);
        let Some(step) = job.and_then(|job| job.steps.get(usize::from(task.step))) else {
            return false;
        };
        let bound = step.lasting && step.may_miss > 0 && !sent.cancel_sent.contains(&task.job);
        let others = (0..step.count).filter(|index| *index != task.index);
        let away = others.filter(|index| {
            let other = TaskId {
                index: *index,
                ..task.clone()
            };
            self.is_away(&other, at)
        });
        bound
            && !self.draining.contains(worker)
            && self.is_at_work(task, at)
            && away.count() >= usize::from(step.may_miss)
    }

    /// Whether an order has ended a task, or is about to, and it isn't at work again; or it hasn't been at work for so long
    /// that this has to be known.
    fn is_away(&self, task: &TaskId, at: u64) -> bool {
        if self.is_at_work(task, at) {
            return false;
        }
        let begun = self.begun.get(task);
        let by_order = self.stopped.get(task).is_some_and(|stopped| {
            begun.is_none_or(|begun| begun < stopped || at < begun + STARTUP)
        });
        let worked_until = self.ended.get(task).or(begun);
        by_order || worked_until.is_some_and(|until| at >= until + NOTICE)
    }

    /// Whether the newest run of a task has started up and goes on, and nobody has stopped it.
    fn is_at_work(&self, task: &TaskId, at: u64) -> bool {
        let Some(&begun) = self.begun.get(task) else {
            return false;
        };
        let after = |times: &BTreeMap<&TaskId, u64>| times.get(task).is_some_and(|at| *at >= begun);
        let is_over = after(&self.stopped) || after(&self.ended);
        !is_over && at >= begun.saturating_add(STARTUP)
    }
}
