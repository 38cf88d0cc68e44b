//! Which tasks of long-running steps are ready, and how many of a step may be unavailable.

use super::Sent;
use crate::site::worker::STARTUP_MS;
use primroseroute_domain::work::{End, Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which entries have to know that a task is unavailable, for whatever cause.
const DETECTION_MS: u64 = 4_500;

/// History of the tasks of long-running steps.
#[derive(Default)]
pub(super) struct StepReadiness<'a> {
    /// When the newest run of a task started.
    started_at: BTreeMap<&'a TaskId, u64>,
    /// When a run of a task last ended.
    ended_at: BTreeMap<&'a TaskId, u64>,
    /// When a task was last stopped by an order.
    stopped_at: BTreeMap<&'a TaskId, u64>,
    /// Workers that announced that they are draining.
    draining: BTreeSet<&'a Name>,
}

impl<'a> StepReadiness<'a> {
    /// Records the start of a run. If the previous run was ready when it ended, an earlier order is not the cause of that end.
    pub(super) fn started(&mut self, task: &'a TaskId, at: u64) {
        let previous = self.started_at.insert(task, at);
        let stopped = self.stopped_at.get(task);
        let was_ready = previous
            .zip(self.ended_at.get(task))
            .is_some_and(|(started, ended)| {
                let after_stop = stopped.is_some_and(|stopped| *stopped < started);
                after_stop && *ended >= started + STARTUP_MS
            });
        if was_ready {
            self.stopped_at.remove(task);
        }
    }

    pub(super) fn stopped(&mut self, task: &'a TaskId, at: u64) {
        self.stopped_at.insert(task, at);
    }

    pub(super) fn draining(&mut self, worker: &'a Name) {
        self.draining.insert(worker);
    }

    /// Records the end of a run. A run whose lease expired during a quiet period counts as stopped by an order.
    pub(super) fn ended(&mut self, sent: &Sent, at: u64, task: &'a TaskId, how: Option<End>) {
        self.ended_at.insert(task, at);
        let mut calm = sent.calm.iter();
        if how == Some(End::Lapsed) && calm.any(|calm| calm.contains(&at)) {
            self.stopped_at.insert(task, at);
        }
    }

    /// Whether a stop of `task`, which runs on `worker`, makes more tasks of its step unavailable than allowed.
    pub(super) fn stop_exceeds_limit(
        &self,
        sent: &Sent,
        at: u64,
        worker: &Name,
        task: &TaskId,
    ) -> bool {
        let job = sent.jobs.get(&task.job);
        let Some(step) = job.and_then(|job| job.steps.get(usize::from(task.step))) else {
            return false;
        };
        let limited = step.lasting && step.may_miss > 0 && !sent.cancel_sent.contains(&task.job);
        let others = (0..step.count).filter(|index| *index != task.index);
        let unavailable = others.filter(|index| {
            let other = TaskId {
                index: *index,
                ..task.clone()
            };
            self.is_unavailable(&other, at)
        });
        limited
            && !self.draining.contains(worker)
            && self.is_ready(task, at)
            && unavailable.count() >= usize::from(step.may_miss)
    }

    /// Whether a task was stopped by an order, or is about to end by one, and is not ready again; or has not been ready for so
    /// long that entries have to know it.
    fn is_unavailable(&self, task: &TaskId, at: u64) -> bool {
        if self.is_ready(task, at) {
            return false;
        }
        let started = self.started_at.get(task);
        let by_order = self.stopped_at.get(task).is_some_and(|stopped| {
            started.is_none_or(|started| started < stopped || at < started + STARTUP_MS)
        });
        let last_ready = self.ended_at.get(task).or(started);
        by_order || last_ready.is_some_and(|until| at >= until + DETECTION_MS)
    }

    /// Whether the newest run of a task has completed its startup, is active and was not stopped.
    fn is_ready(&self, task: &TaskId, at: u64) -> bool {
        let Some(&started) = self.started_at.get(task) else {
            return false;
        };
        let after =
            |times: &BTreeMap<&TaskId, u64>| times.get(task).is_some_and(|at| *at >= started);
        let has_ended = after(&self.stopped_at) || after(&self.ended_at);
        !has_ended && at >= started.saturating_add(STARTUP_MS)
    }
}
