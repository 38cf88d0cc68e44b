//! Takes instances on which jobs of all kinds fail out of service.

use super::observation::Observation;
use primroseroute_domain::{
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    budget::{self, BudgetViolation},
};
use primroseroute_jobs::Scheduler;
use primroseroute_ledger::{Draft, Versioned, key};
use primroseroute_view::Snapshot;
use std::collections::{BTreeMap, BTreeSet};

/// Instances that the scheduler found faulty.
///
/// The scheduler starts no more jobs on them, whether or not they can be taken out of service: an
/// instance that a budget keeps in service for requests must not fail more jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultyInstances {
    /// Instances still in service, with the jobs that failed there.
    in_service: BTreeMap<id::Instance, Vec<id::Job>>,
    /// Instances out of service; they count as repaired once they are back in service.
    out_of_service: BTreeSet<id::Instance>,
}

fn fleet(snapshot: &Snapshot, observation: &Observation) -> Fleet {
    Fleet {
        rows: snapshot.instance_rows(),
        budgets: Fleet::budgets(snapshot.templates()),
        absent: observation.absent.clone(),
    }
}

fn check_disruption_allowed(fleet: &Fleet, row: &Row) -> Result<(), BudgetViolation> {
    let Some(pool) = &row.pool else { return Ok(()) };
    let Some(budget) = fleet.budgets.get(pool) else {
        return Ok(());
    };
    let availability = budget::availability_by_pool(fleet)
        .remove(pool)
        .unwrap_or_default();
    // Taking out an instance that is already unavailable does not reduce the promised capacity; it
    // is left to the lifecycle.
    availability.check_disruption(row, budget)
}

/// The row of a quarantined instance, which stays out of service until an operator releases it.
///
/// Its health checks pass, so without a purpose the lifecycle would put it back immediately.
fn quarantined_row(row: &Row, now: Instant) -> Row {
    Row {
        state: State::Quarantined,
        purpose: Some(Purpose::Operator),
        since: now,
        ..row.clone()
    }
}

impl FaultyInstances {
    /// Adds `instance`, which the scheduler found faulty because the jobs `failed` on it.
    pub(super) fn add(&mut self, instance: id::Instance, failed: Vec<id::Job>) {
        let names: Vec<&str> = failed.iter().map(id::Job::as_str).collect();
        log::warn!(
            "jobs failed on faulty instance {instance}: {}",
            names.join(", ")
        );
        self.in_service.insert(instance, failed);
    }

    /// Takes faulty instances out of service as the budgets allow, and reports repaired ones.
    pub(super) fn update(
        &mut self,
        snapshot: &Snapshot,
        observation: Option<&Observation>,
        now: Instant,
        scheduler: &mut Scheduler,
        draft: &mut Draft,
    ) {
        let rows = snapshot.instances();
        let state = |name: &id::Instance| rows.get(name).map(|row| row.value.state);
        self.out_of_service.retain(|name| {
            let is_back = matches!(state(name), Some(State::Serving) | None);
            if is_back {
                scheduler.instance_repaired(name);
            }
            !is_back
        });
        let not_serving = |name: &id::Instance| state(name) != Some(State::Serving);
        let no_longer_serving: Vec<id::Instance> = self
            .in_service
            .keys()
            .filter(|name| not_serving(name))
            .cloned()
            .collect();
        for name in no_longer_serving {
            self.in_service.remove(&name);
            self.out_of_service.insert(name);
        }
        if self.in_service.is_empty() {
            return;
        }
        if let Some(observation) = observation.filter(|observation| observation.is_fresh()) {
            self.take_out(snapshot, observation, now, draft);
        }
    }

    fn take_out(
        &mut self,
        snapshot: &Snapshot,
        observation: &Observation,
        now: Instant,
        draft: &mut Draft,
    ) {
        let mut fleet = fleet(snapshot, observation);
        let names: Vec<id::Instance> = self.in_service.keys().cloned().collect();
        for name in names {
            let Some(Versioned { version, value }) = snapshot.instances().get(&name) else {
                continue;
            };
            if !fleet.is_present(value) {
                continue;
            }
            if let Err(violation) = check_disruption_allowed(&fleet, value) {
                log::warn!("faulty instance {name} must stay in service: {violation}");
                continue;
            }
            let row = quarantined_row(value, now);
            draft.put(key::instance(&name), Some(*version), &row);
            fleet.rows.insert(name.clone(), row);
            self.in_service.remove(&name);
            self.out_of_service.insert(name);
        }
    }
}
