//! Whether workers have the capacity for the runs that they start.

use super::Sent;
use crate::site::CAPACITY;
use primroseroute_domain::work::{Demand, Name, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which entries have to know of a reduced capacity: the time for which a
/// machine counts as reachable, and a worker's heartbeat interval.
const DETECTION_MS: u64 = 4_500;

/// Active runs of the workers, and the history of their capacities.
#[derive(Default)]
pub(super) struct WorkerLoads<'a> {
    active: BTreeMap<&'a Name, BTreeSet<(&'a TaskId, u32)>>,
    /// Capacities with the times at which they took effect.
    capacities: BTreeMap<&'a Name, Vec<(u64, Demand)>>,
}

impl<'a> WorkerLoads<'a> {
    pub(super) fn resized(&mut self, at: u64, worker: &'a Name, capacity: Demand) {
        let known = self.capacities.entry(worker).or_default();
        known.push((at, capacity));
    }

    pub(super) fn ended(&mut self, worker: &'a Name, task: &'a TaskId, run: u32) {
        if let Some(active) = self.active.get_mut(worker) {
            active.remove(&(task, run));
        }
    }

    /// Records a start; returns whether it exceeds the capacity that its worker had recently.
    pub(super) fn started(
        &mut self,
        sent: &Sent,
        at: u64,
        worker: &'a Name,
        (task, run): (&'a TaskId, u32),
    ) -> bool {
        let active = self.active.entry(worker).or_default();
        active.insert((task, run));
        let used = active.iter().map(|(task, _run)| demand(sent, task));
        let used = used.fold(Demand::default(), Demand::plus);
        // A task without any demand exceeds no capacity.
        let has_demand = demand(sent, task) != Demand::default();
        has_demand && !used.fits(self.largest_recent_capacity(worker, at))
    }

    /// The largest capacity, by resource, that entries may still assume for a worker.
    fn largest_recent_capacity(&self, worker: &Name, at: u64) -> Demand {
        let changes = self.capacities.get(worker).map_or(&[][..], Vec::as_slice);
        let since = at.saturating_sub(DETECTION_MS);
        let (before, recent): (Vec<_>, Vec<_>) =
            changes.iter().partition(|(from, _capacity)| *from <= since);
        let first = before
            .last()
            .map_or(CAPACITY, |(_from, capacity)| *capacity);
        recent
            .iter()
            .fold(first, |most, (_from, capacity)| most.larger(*capacity))
    }
}

/// Demand of a task.
fn demand(sent: &Sent, task: &TaskId) -> Demand {
    let job = sent.jobs.get(&task.job);
    let step = job.and_then(|job| job.steps.get(usize::from(task.step)));
    step.map(Step::reserved).unwrap_or_default()
}
