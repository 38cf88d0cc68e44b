//! Steps whose tasks no instance of the fleet can run, because of their demand or label.
//!
//! Such a step waits until an instance that can run it joins the fleet. Until then it is no demand:
//! it counts neither as a reason for more workers nor as work that keeps other jobs waiting.

use crate::{
    cell::Cell,
    inventory::{Capability, Fleet, Inventory},
    job::Job,
    order::UnplaceableStep,
    roster::credible,
};
use primroseroute_domain::work::{Demand, JobId, Step};
use std::collections::BTreeSet;

impl Cell {
    /// Sets what is known of all instances.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.capability.fleet = fleet;
    }

    /// The largest capacity of an instance of the fleet, or of a worker of the pool that has answered, for each
    /// resource; `None` while the instances' capacities aren't known.
    pub fn largest_host(&self) -> Option<Demand> {
        let Fleet::Known(fleet) = &self.capability.fleet else {
            return None;
        };
        Some(fleet.largest().larger(self.capability.own.largest()))
    }

    /// Number of waiting steps that no instance can run, as of the last round.
    pub fn unplaceable_steps(&self) -> usize {
        self.unplaceable.len()
    }

    /// Counts the pool's workers anew, if any has registered, left or answered for the first time.
    pub(crate) fn count_own_capacities(&mut self) {
        if !std::mem::take(&mut self.capacities_changed) {
            return;
        }
        let mut own = Inventory::default();
        for info in credible(self.workers.values()) {
            own.add(info.capacity, &info.labels);
        }
        self.capability.own = own;
    }
}

/// Changes of the set of steps that no instance can run.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub found: Vec<UnplaceableStep>,
    pub resolved: Vec<(JobId, u16)>,
}

/// Records which waiting steps no instance can run.
pub(crate) fn record(cell: &mut Cell, unplaceable: BTreeSet<(JobId, u16)>) -> Changes {
    let found = unplaceable.difference(&cell.unplaceable);
    let found = found.filter_map(|(id, number)| {
        let step = cell.jobs.get(id)?.step(*number)?;
        Some(UnplaceableStep {
            job: id.clone(),
            step: *number,
            count: step.count,
            demand: step.reserved(),
            label: step.label.clone(),
        })
    });
    let resolved = cell.unplaceable.difference(&unplaceable);
    let resolved = resolved.filter(|(id, _step)| cell.jobs.contains_key(id));
    let changes = Changes {
        found: found.collect(),
        resolved: resolved.cloned().collect(),
    };
    cell.unplaceable = unplaceable;
    changes
}

/// For each step of a job, whether its tasks will not run as long as the fleet stays as it is:
/// no instance can run them, or they wait for a step whose tasks no instance can run.
pub(crate) fn blocked_steps(capability: &Capability, job: &Job) -> Vec<bool> {
    let steps = &job.accepted.job.steps;
    let mut blocked: Vec<bool> = Vec::with_capacity(steps.len());
    for step in steps {
        let waits = |&earlier: &u16| blocked.get(usize::from(earlier)).copied().unwrap_or(false);
        let is_blocked = !capability.allows(step) || step.after.iter().any(waits);
        blocked.push(is_blocked);
    }
    blocked
}

/// The steps of a job that instances can run.
pub(crate) fn placeable_steps<'a>(
    capability: &Capability,
    steps: &'a [Step],
) -> impl Iterator<Item = (u16, &'a Step)> {
    let numbered = (0..).zip(steps);
    numbered.filter(move |(_number, step)| capability.allows(step))
}
