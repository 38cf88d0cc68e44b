//! Sharing of the pool's slots with the other entries.

use super::Pool;
use crate::{
    quota::{allocation, ownership},
    report::Report,
    request::Action,
};
use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Minimum fraction of an account's share that counts at one entry, relative to an equal split:
/// callers that have just moved to an entry are not yet measured there.
const MIN_SHARE_FRACTION: f64 = 0.25;

/// Maximum time between reports, so that a lost report is made up for.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Relative change of demand that causes a report, if it also exceeds [`MIN_CHANGE_SLOTS`].
const MIN_RELATIVE_CHANGE: f64 = 0.15;

/// Changes of demand up to this number of slots cause no report.
const MIN_CHANGE_SLOTS: f64 = 0.5;

/// The last report to the peers.
#[derive(Clone, Debug, Default)]
pub(super) struct LastReport {
    at: Duration,
    demand: BTreeMap<id::Account, f64>,
}

fn demand_changed(before: &BTreeMap<id::Account, f64>, now: &BTreeMap<id::Account, f64>) -> bool {
    let accounts = before.keys().chain(now.keys());
    let of = |demand: &BTreeMap<_, f64>, account| demand.get(account).copied().unwrap_or(0.0);
    accounts.into_iter().any(|account| {
        let (before, now) = (of(before, account), of(now, account));
        (now - before).abs() > MIN_CHANGE_SLOTS.max(before * MIN_RELATIVE_CHANGE)
    })
}

impl Pool {
    /// Applies reports of other entries; outdated ones are ignored.
    pub fn apply_reports(&mut self, now: Duration, reports: &[Report]) -> Vec<Action> {
        let taken = reports.iter().map(|report| self.loans.apply_report(report));
        let has_changed = taken.fold(false, |any, changed| any | changed);
        if has_changed {
            self.refresh_quotas();
        }
        self.advance(now)
    }

    /// Number of slots of an instance that this entry may use now.
    pub fn quota(&self, instance: &id::Instance) -> u32 {
        let worker = self
            .workers
            .find(instance)
            .and_then(|index| self.workers.get(index));
        worker.map_or(0, |worker| worker.quota)
    }

    /// Updates loans and creates a report for the other entries.
    ///
    /// Called a few times per second. Each report must be sent: a peer returns a slot only after it
    /// has received a report that recalls it. A lost report is made up for by the next.
    pub fn report(&mut self, now: Duration) -> Report {
        let demand = self.meter.read(now);
        self.update_loans(&demand);
        self.create_report(now, demand)
    }

    /// As [`Pool::report`], but `None` if the report would not change what peers do.
    ///
    /// In a steady state one report per [`KEEP_ALIVE_INTERVAL`] remains, at any call rate. A newly
    /// connected peer has missed earlier reports, so it is sent a [`Pool::report`] immediately.
    pub fn report_if_changed(&mut self, now: Duration) -> Option<Report> {
        let demand = self.meter.read(now);
        let has_lent = self.update_loans(&demand);
        let is_keep_alive_due = now >= self.last_report.at + KEEP_ALIVE_INTERVAL;
        let has_demand_changed = demand_changed(&self.last_report.demand, &demand);
        let must_report =
            has_lent || is_keep_alive_due || has_demand_changed || self.loans.is_pending();
        must_report.then(|| self.create_report(now, demand))
    }

    /// Updates weights and loans; returns whether loans changed.
    fn update_loans(&mut self, demand: &BTreeMap<id::Account, f64>) -> bool {
        self.update_weights(demand);
        let has_lent = self.loans.rebalance(&self.shares, demand);
        if has_lent {
            self.refresh_quotas();
        }
        has_lent
    }

    fn create_report(&mut self, now: Duration, demand: BTreeMap<id::Account, f64>) -> Report {
        self.last_report = LastReport {
            at: now,
            demand: demand.clone(),
        };
        let workers = self.workers.iter();
        let busy = workers.filter(|worker| worker.in_flight > worker.quota);
        self.loans
            .report(demand, busy.flat_map(|worker| &worker.slots))
    }

    /// Sets each account's weight to its share, scaled by the fraction of its demand at this entry.
    ///
    /// If the full share were the weight at each entry, an account that calls at all entries would
    /// receive more of the pool than one that calls at a single entry.
    pub(super) fn update_weights(&mut self, own: &BTreeMap<id::Account, f64>) {
        let total = self.loans.total_demand(own);
        let min = MIN_SHARE_FRACTION / self.loans.entries().len().max(1) as f64;
        let weight = |(account, demanded): (&id::Account, &f64)| {
            let total = total.get(account).copied().unwrap_or(0.0);
            let fraction = if total > 0.0 { demanded / total } else { 1.0 };
            let share = allocation::weight(&self.shares, account);
            (account.clone(), share * fraction.max(min))
        };
        let mut weights: BTreeMap<_, _> = own.iter().map(weight).collect();
        for (account, share) in &self.shares {
            weights.entry(account.clone()).or_insert(share * min);
        }
        let slots = f64::from(self.workers.totals().slots.max(1));
        let rates = allocation::rates(slots, &weights, own).into_iter();
        self.rates = rates
            .map(|(account, rate)| (account, rate / slots))
            .collect();
        self.queue.set_weights(weights);
    }

    /// Recomputes the slots of every worker after the entries or the workers have changed.
    pub(super) fn refresh_slots(&mut self, entries_changed: bool) {
        for index in self.workers.indices() {
            let entries = self.loans.entries();
            self.workers.change(index, |worker| {
                if entries_changed || worker.slots.is_empty() {
                    worker.slots = ownership::slots(&worker.id, entries);
                }
            });
        }
        let serving = self.workers.iter().filter(|worker| worker.is_serving());
        self.loans
            .count_slots(serving.flat_map(|worker| &worker.slots));
        self.refresh_quotas();
    }

    fn refresh_quotas(&mut self) {
        for index in self.workers.indices() {
            let table = &self.loans;
            self.workers.change(index, |worker| {
                let usable = worker.slots.iter().filter(|slot| table.may_use(**slot));
                worker.quota = u32::try_from(usable.count()).unwrap_or(u32::MAX);
            });
        }
    }
}
