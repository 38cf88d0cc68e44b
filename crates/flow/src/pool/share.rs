//! Dividing the pool's slots with the other entries.

use super::Pool;
use crate::{report::Report, request::Action, rights::owner};
use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Smallest part of an account's share that counts at one entry, as part of an equal division:
/// callers that have just moved to an entry are not measured there yet.
const MIN_PART: f64 = 0.25;

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
    /// Each call makes a new report, which must be sent: a peer gives a slot back only once it has
    /// seen a report that calls for it. A lost one is made good by the next.
    pub fn report(&mut self, now: Duration) -> Report {
        let demand = self.meter.read(now);
        self.weigh(&demand);
        if self.rights.lend(&self.view.shares, &demand) {
            self.refresh_rights();
        }
        let workers = self.workers.iter();
        let busy = workers.filter(|worker| worker.in_flight > worker.rights);
        self.rights
            .report(demand, busy.flat_map(|worker| &worker.slots))
    }

    /// Gives each account the weight of its share, by the part of its callers that are here.
    ///
    /// With its whole share as weight at each entry, an account that calls at all entries would get
    /// more of the pool than one that calls at a single one.
    fn weigh(&mut self, own: &BTreeMap<id::Account, f64>) {
        let total = self.rights.demand(own);
        let min = MIN_PART / self.rights.entries().len().max(1) as f64;
        let shares = &self.view.shares;
        let weight = |(account, asked): (&id::Account, &f64)| {
            let share = f64::from(shares.get(account).copied().unwrap_or(1));
            let total = total.get(account).copied().unwrap_or(0.0);
            let part = if total > 0.0 { asked / total } else { 1.0 };
            (account.clone(), share * part.max(min))
        };
        let mut weights: BTreeMap<_, _> = own.iter().map(weight).collect();
        for (account, share) in shares {
            let unseen = f64::from(*share) * min;
            weights.entry(account.clone()).or_insert(unseen);
        }
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
