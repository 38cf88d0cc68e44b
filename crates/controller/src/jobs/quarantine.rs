//! Instances on which jobs of all sorts fail, and taking them out of service.

use super::sight::Sight;
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
/// The scheduler gives them no more jobs from then on, whether or not their rows may change: a budget
/// that keeps one in service for requests doesn't let it fail more jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Accused {
    /// Still in service, with the jobs that failed there.
    waiting: BTreeMap<id::Instance, Vec<id::Job>>,
    /// Out of service; back in it they count as repaired.
    out: BTreeSet<id::Instance>,
}

fn fleet(snapshot: &Snapshot, sight: &Sight) -> Fleet {
    Fleet {
        rows: snapshot.instance_rows(),
        budgets: Fleet::budgets(snapshot.templates()),
        absent: sight.absent.clone(),
    }
}

fn may_leave(fleet: &Fleet, row: &Row) -> Result<(), BudgetViolation> {
    let Some(pool) = &row.pool else { return Ok(()) };
    let Some(budget) = fleet.budgets.get(pool) else {
        return Ok(());
    };
    let availability = budget::availability_by_pool(fleet)
        .remove(pool)
        .unwrap_or_default();
    // One that is absent already takes nothing from the promise; it is left to the lifecycle.
    availability.check_disruption(row, budget)
}

/// The row out of service until an operator releases it.
///
/// Its health checks are good, so without a purpose the lifecycle would put it back at once.
fn quarantined(row: &Row, now: Instant) -> Row {
    Row {
        state: State::Quarantined,
        purpose: Some(Purpose::Operator),
        since: now,
        ..row.clone()
    }
}

impl Accused {
    /// The scheduler found `instance` faulty by the jobs that `failed` there.
    pub(super) fn add(&mut self, instance: id::Instance, failed: Vec<id::Job>) {
        let names: Vec<&str> = failed.iter().map(id::Job::as_str).collect();
        log::warn!("jobs fail on {instance}: {}", names.join(", "));
        self.waiting.insert(instance, failed);
    }

    /// Takes out of service what the budgets allow, and notes what came back.
    pub(super) fn settle(
        &mut self,
        snapshot: &Snapshot,
        sight: Option<&Sight>,
        now: Instant,
        scheduler: &mut Scheduler,
        draft: &mut Draft,
    ) {
        let rows = snapshot.instances();
        let state = |name: &id::Instance| rows.get(name).map(|row| row.value.state);
        self.out.retain(|name| {
            let is_back = matches!(state(name), Some(State::Serving) | None);
            if is_back {
                scheduler.instance_repaired(name);
            }
            !is_back
        });
        let elsewhere = |name: &id::Instance| state(name) != Some(State::Serving);
        let left: Vec<id::Instance> = self
            .waiting
            .keys()
            .filter(|name| elsewhere(name))
            .cloned()
            .collect();
        for name in left {
            self.waiting.remove(&name);
            self.out.insert(name);
        }
        if self.waiting.is_empty() {
            return;
        }
        if let Some(sight) = sight.filter(|sight| sight.is_fresh()) {
            self.take_out(snapshot, sight, now, draft);
        }
    }

    fn take_out(&mut self, snapshot: &Snapshot, sight: &Sight, now: Instant, draft: &mut Draft) {
        let mut fleet = fleet(snapshot, sight);
        let names: Vec<id::Instance> = self.waiting.keys().cloned().collect();
        for name in names {
            let Some(Versioned { version, value }) = snapshot.instances().get(&name) else {
                continue;
            };
            if !fleet.is_present(value) {
                continue;
            }
            if let Err(forbidden) = may_leave(&fleet, value) {
                log::warn!("{name} stays in service although jobs fail there: {forbidden}");
                continue;
            }
            let row = quarantined(value, now);
            draft.put(key::instance(&name), Some(*version), &row);
            fleet.rows.insert(name.clone(), row);
            self.waiting.remove(&name);
            self.out.insert(name);
        }
    }
}
