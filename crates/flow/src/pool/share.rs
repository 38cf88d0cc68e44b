//! Dividing the pool's slots with the other entries.

use super::Pool;
use crate::{
    report::Report,
    request::Action,
    rights::{division, owner},
};
use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Smallest part of an account's share that counts at one entry, as part of an equal division:
/// callers that have just moved to an entry are not measured there yet.
const MIN_PART: f64 = 0.25;

/// A report goes out at least so often, so that one that was lost is made good.
pub const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Demand that has changed by less than this part, or less than [`MIN_CHANGE`], is no news.
const CHANGE: f64 = 0.15;

/// Slots of demand whose change is no news.
const MIN_CHANGE: f64 = 0.5;

/// What the peers were told last.
#[derive(Clone, Debug, Default)]
pub(super) struct Reported {
    at: Duration,
    demand: BTreeMap<id::Account, f64>,
}

fn moved(before: &BTreeMap<id::Account, f64>, now: &BTreeMap<id::Account, f64>) -> bool {
    let accounts = before.keys().chain(now.keys());
    let of = |demand: &BTreeMap<_, f64>, account| demand.get(account).copied().unwrap_or(0.0);
    accounts.into_iter().any(|account| {
        let (before, now) = (of(before, account), of(now, account));
        (now - before).abs() > MIN_CHANGE.max(before * CHANGE)
    })
}

impl Pool {
    /// Takes the reports of other entries in; older ones than are known change nothing.
    pub fn peers(&mut self, now: Duration, reports: &[Report]) -> Vec<Action> {
        let taken = reports.iter().map(|report| self.rights.take(report));
        let has_changed = taken.fold(false, |any, changed| any | changed);
        if has_changed {
            self.refresh_rights();
        }
        self.settle(now)
    }

    /// Slots of an instance that this entry may use now.
    pub fn rights(&self, instance: &id::Instance) -> u32 {
        let worker = self
            .workers
            .find(instance)
            .and_then(|index| self.workers.get(index));
        worker.map_or(0, |worker| worker.rights)
    }

    /// Decides what to lend, and makes the report for the other entries.
    ///
    /// Called a few times a second. Each report must be sent: a peer gives a slot back only once it
    /// has seen a report that calls for it. A lost one is made good by the next.
    pub fn report(&mut self, now: Duration) -> Report {
        let demand = self.meter.read(now);
        self.decide(&demand);
        self.make_report(now, demand)
    }

    /// As [`Pool::report`], but none where peers would do nothing else for it.
    ///
    /// In a steady state that leaves one report in [`KEEP_ALIVE`], whatever the rate of calls. A peer
    /// that has just been connected has missed some, so it is sent a [`Pool::report`] at once.
    pub fn news(&mut self, now: Duration) -> Option<Report> {
        let demand = self.meter.read(now);
        let has_lent = self.decide(&demand);
        let is_old = now >= self.reported.at + KEEP_ALIVE;
        let has_moved = moved(&self.reported.demand, &demand);
        let has_news = has_lent || is_old || has_moved || self.rights.is_pending();
        has_news.then(|| self.make_report(now, demand))
    }

    /// Sets weights and loans by what is known; true where loans have changed.
    fn decide(&mut self, demand: &BTreeMap<id::Account, f64>) -> bool {
        self.weigh(demand);
        let has_lent = self.rights.lend(&self.shares, demand);
        if has_lent {
            self.refresh_rights();
        }
        has_lent
    }

    fn make_report(&mut self, now: Duration, demand: BTreeMap<id::Account, f64>) -> Report {
        self.reported = Reported {
            at: now,
            demand: demand.clone(),
        };
        let workers = self.workers.iter();
        let busy = workers.filter(|worker| worker.in_flight > worker.rights);
        self.rights
            .report(demand, busy.flat_map(|worker| &worker.slots))
    }

    /// Gives each account the weight of its share, by the part of its callers that are here.
    ///
    /// With its whole share as weight at each entry, an account that calls at all entries would get
    /// more of the pool than one that calls at a single one.
    pub(super) fn weigh(&mut self, own: &BTreeMap<id::Account, f64>) {
        let total = self.rights.demand(own);
        let min = MIN_PART / self.rights.entries().len().max(1) as f64;
        let weight = |(account, asked): (&id::Account, &f64)| {
            let total = total.get(account).copied().unwrap_or(0.0);
            let part = if total > 0.0 { asked / total } else { 1.0 };
            let share = division::weight(&self.shares, account);
            (account.clone(), share * part.max(min))
        };
        let mut weights: BTreeMap<_, _> = own.iter().map(weight).collect();
        for (account, share) in &self.shares {
            weights.entry(account.clone()).or_insert(share * min);
        }
        let slots = f64::from(self.workers.totals().slots.max(1));
        let rates = division::rates(slots, &weights, own).into_iter();
        self.rates = rates
            .map(|(account, rate)| (account, rate / slots))
            .collect();
        self.queue.set_weights(weights);
    }

    /// Works the slots of every worker out anew, after the entries or the workers have changed.
    pub(super) fn refresh_slots(&mut self, entries_changed: bool) {
        for index in self.workers.indices() {
            let entries = self.rights.entries();
            self.workers.change(index, |worker| {
                if entries_changed || worker.slots.is_empty() {
                    worker.slots = owner::slots(&worker.id, entries);
                }
            });
        }
        let serving = self.workers.iter().filter(|worker| worker.is_serving());
        self.rights
            .set_slots(serving.flat_map(|worker| &worker.slots));
        self.refresh_rights();
    }

    fn refresh_rights(&mut self) {
        for index in self.workers.indices() {
            let table = &self.rights;
            self.workers.change(index, |worker| {
                let usable = worker.slots.iter().filter(|slot| table.may_use(**slot));
                worker.rights = u32::try_from(usable.count()).unwrap_or(u32::MAX);
            });
        }
    }
}
