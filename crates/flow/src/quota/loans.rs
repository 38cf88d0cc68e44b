//! Stripes that this entry lends to peers, and stripes that peers lend to it.

use super::{
    allocation::{Demand, EntryDemand, Weights, allocate},
    ownership::{STRIPES, Slot},
};
use crate::report::{Report, Seen};
use primroseroute_domain::id;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerated deviation of the loans from their target, as a fraction of the target: reports are
/// noisy, and neither entry can use a stripe while it changes hands.
const TOLERANCE: f64 = 0.1;

/// A bit set of stripes.
type Stripes = u64;

fn mask(stripe: u8) -> Stripes {
    1 << (stripe % STRIPES)
}

fn contains_stripe(stripes: Stripes, stripe: u8) -> bool {
    stripes & mask(stripe) != 0
}

fn to_vec(stripes: Stripes) -> Vec<u8> {
    (0..STRIPES)
        .filter(|stripe| contains_stripe(stripes, *stripe))
        .collect()
}

/// State of the loan of one stripe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoanState {
    /// The owner no longer uses it and waits for its own requests there to finish.
    Draining,
    /// Reports list it as lent.
    Granted,
    /// Reports no longer list it as lent from this sequence number on.
    Recalled(u64),
}

#[derive(Clone, Debug)]
struct Loan {
    to: id::Entry,
    state: LoanState,
}

/// Newest applied report of a peer.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    seq: u64,
    demand: Demand,
    /// Stripes of the peer that this entry may use.
    granted: Stripes,
    /// Recalled stripes of the peer that this entry still uses.
    returning: Stripes,
    /// The peer's acknowledgement of this entry's reports.
    seen: Option<Seen>,
}

/// The slots of one pool that one entry may use.
#[derive(Clone, Debug)]
pub struct LoanTable {
    entry: id::Entry,
    incarnation: u64,
    seq: u64,
    entries: Vec<id::Entry>,
    /// Number of slots in each stripe, by index of the owning entry.
    stripe_sizes: Vec<[u32; STRIPES as usize]>,
    loans: BTreeMap<u8, Loan>,
    peers: BTreeMap<id::Entry, Peer>,
    /// Whether grants by peers have changed since the last report.
    grants_changed: bool,
}

impl LoanTable {
    /// Creates the loan table of an entry that knows no peers.
    pub fn new(entry: id::Entry, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            seq: 0,
            entries: Vec::new(),
            stripe_sizes: Vec::new(),
            loans: BTreeMap::new(),
            peers: BTreeMap::new(),
            grants_changed: false,
        }
    }

    /// The live entries, sorted by name.
    pub fn entries(&self) -> &[id::Entry] {
        &self.entries
    }

    /// Sets the live entries; returns whether they changed.
    ///
    /// Loans to entries that are gone end, and so do loans from them.
    pub fn set_entries(&mut self, entries: &BTreeSet<id::Entry>) -> bool {
        if self.entries.iter().eq(entries) {
            return false;
        }
        self.entries = entries.iter().cloned().collect();
        self.loans.retain(|_, loan| entries.contains(&loan.to));
        self.peers.retain(|entry, _| entries.contains(entry));
        true
    }

    /// Counts the slots of the serving workers in each stripe.
    pub fn count_slots<'a>(&mut self, slots: impl Iterator<Item = &'a Slot>) {
        self.stripe_sizes = vec![[0; STRIPES as usize]; self.entries.len()];
        for slot in slots {
            self.stripe_sizes[slot.owner][usize::from(slot.stripe)] += 1;
        }
    }

    /// Whether this entry may use a slot.
    pub fn may_use(&self, slot: Slot) -> bool {
        let owner = &self.entries[slot.owner];
        if *owner == self.entry {
            return !self.loans.contains_key(&slot.stripe);
        }
        self.peers
            .get(owner)
            .is_some_and(|peer| contains_stripe(peer.granted, slot.stripe))
    }

    /// Applies a peer's report; returns whether the usable slots changed.
    ///
    /// Outdated and duplicate reports, and reports from entries that are not live, are ignored.
    pub fn apply_report(&mut self, report: &Report) -> bool {
        if report.entry == self.entry || self.entries.binary_search(&report.entry).is_err() {
            return false;
        }
        let known = self.peers.get(&report.entry);
        let version = (report.incarnation, report.seq);
        if known.is_some_and(|peer| version <= (peer.incarnation, peer.seq)) {
            return false;
        }
        let lent_to_self = report.lent.iter().filter(|(_, to)| **to == self.entry);
        let granted = lent_to_self.fold(0, |all, (stripe, _)| all | mask(*stripe));
        let (before, returning) = known.map_or((0, 0), |peer| (peer.granted, peer.returning));
        let peer = Peer {
            incarnation: report.incarnation,
            seq: report.seq,
            demand: report.demand.clone(),
            granted,
            returning: (returning | before) & !granted,
            seen: report.seen.get(&self.entry).cloned(),
        };
        self.peers.insert(report.entry.clone(), peer);
        self.grants_changed |= granted != before;
        self.reclaim() || granted != before
    }

    /// Ends the loans that their borrowers have returned; returns whether there were any.
    fn reclaim(&mut self) -> bool {
        let before = self.loans.len();
        let (peers, incarnation) = (&self.peers, self.incarnation);
        self.loans.retain(|stripe, loan| {
            let seen = peers.get(&loan.to).and_then(|peer| peer.seen.as_ref());
            let seen = seen.filter(|seen| seen.incarnation == incarnation);
            let (LoanState::Recalled(from_seq), Some(seen)) = (loan.state, seen) else {
                return true;
            };
            seen.seq < from_seq || seen.returning.contains(stripe)
        });
        self.loans.len() < before
    }

    /// Lends and recalls stripes by demand; returns whether the usable slots changed.
    pub fn rebalance(&mut self, shares: &Weights, demand: &Demand) -> bool {
        let before: Vec<_> = self.loans.keys().copied().collect();
        for (to, slots) in self.targets(shares, demand) {
            self.adjust_loans(&to, slots);
        }
        !self.loans.keys().eq(&before)
    }

    /// The total demand of this entry and all known peers.
    pub fn total_demand(&self, own: &Demand) -> Demand {
        let peers = self.peers.values().map(|peer| &peer.demand);
        super::allocation::total(peers.chain([own]))
    }

    /// Number of slots that this entry should lend to each known peer.
    fn targets(&self, shares: &Weights, demand: &Demand) -> Vec<(id::Entry, f64)> {
        let mut known = Vec::new();
        let mut entry_demands = Vec::new();
        for (entry, stripe_sizes) in self.entries.iter().zip(&self.stripe_sizes) {
            let peer = self.peers.get(entry).map(|peer| &peer.demand);
            let own = (*entry == self.entry).then_some(demand);
            let Some(demand) = own.or(peer) else {
                continue;
            };
            let owned = f64::from(stripe_sizes.iter().sum::<u32>());
            known.push(entry);
            entry_demands.push(EntryDemand { owned, demand });
        }
        let targets = allocate(shares, &entry_demands);
        let deficits = entry_demands
            .iter()
            .zip(&targets)
            .map(|(entry_demand, target)| target - entry_demand.owned);
        let deficits: Vec<_> = known.into_iter().zip(deficits).collect();
        let total_deficit: f64 = deficits.iter().map(|(_, deficit)| deficit.max(0.0)).sum();
        let own = deficits.iter().find(|(entry, _)| **entry == self.entry);
        let excess = own.map_or(0.0, |(_, deficit)| (-deficit).max(0.0));
        let peers = deficits
            .into_iter()
            .filter(|(entry, _)| **entry != self.entry);
        let part = |deficit: f64| {
            if total_deficit > 0.0 {
                excess * deficit.max(0.0) / total_deficit
            } else {
                0.0
            }
        };
        peers
            .map(|(entry, deficit)| (entry.clone(), part(deficit)))
            .collect()
    }

    /// Lends or recalls stripes until about `slots` slots are lent to `to`.
    fn adjust_loans(&mut self, to: &id::Entry, slots: f64) {
        let lent = f64::from(self.lent(to));
        let stripe_sizes = self.own_stripe_sizes();
        let mean = f64::from(stripe_sizes.iter().sum::<u32>()) / f64::from(STRIPES);
        let stripe = mean.max(1.0);
        let tolerance = stripe.max(slots * TOLERANCE);
        if lent > slots + tolerance || (slots == 0.0 && lent > 0.0) {
            self.recall(to, lent - slots, &stripe_sizes);
        } else if lent < slots - stripe {
            self.grant(to, slots - lent, &stripe_sizes);
        }
    }

    /// Number of slots lent to `to` and not recalled.
    fn lent(&self, to: &id::Entry) -> u32 {
        let stripe_sizes = self.own_stripe_sizes();
        let loans = self.loans.iter();
        let active = loans.filter(|(_, loan)| loan.to == *to && !is_recalled(loan));
        active
            .map(|(stripe, _)| stripe_sizes[usize::from(*stripe)])
            .sum()
    }

    fn own_stripe_sizes(&self) -> [u32; STRIPES as usize] {
        let own = self.entries.binary_search(&self.entry).ok();
        own.and_then(|own| self.stripe_sizes.get(own))
            .copied()
            .unwrap_or([0; STRIPES as usize])
    }

    fn recall(&mut self, to: &id::Entry, mut slots: f64, stripe_sizes: &[u32; STRIPES as usize]) {
        let from_seq = self.seq + 1;
        let mut never_granted = Vec::new();
        let loans = self.loans.iter_mut();
        for (stripe, loan) in loans.filter(|(_, loan)| loan.to == *to && !is_recalled(loan)) {
            let size = f64::from(stripe_sizes[usize::from(*stripe)]);
            if size > slots + 0.5 {
                continue;
            }
            slots -= size;
            if loan.state == LoanState::Draining {
                never_granted.push(*stripe);
            }
            loan.state = LoanState::Recalled(from_seq);
        }
        for stripe in never_granted {
            self.loans.remove(&stripe);
        }
    }

    fn grant(&mut self, to: &id::Entry, mut slots: f64, stripe_sizes: &[u32; STRIPES as usize]) {
        for stripe in 0..STRIPES {
            let size = f64::from(stripe_sizes[usize::from(stripe)]);
            if size == 0.0 || size > slots + 0.5 || self.loans.contains_key(&stripe) {
                continue;
            }
            slots -= size;
            let loan = Loan {
                to: to.clone(),
                state: LoanState::Draining,
            };
            self.loans.insert(stripe, loan);
        }
    }

    /// Whether a peer waits for the next report, for a grant or the return of a stripe.
    pub fn is_pending(&self) -> bool {
        let is_draining = |loan: &Loan| loan.state == LoanState::Draining;
        let is_returning = |peer: &Peer| peer.returning != 0;
        let is_lending = self.loans.values().any(is_draining);
        self.grants_changed || is_lending || self.peers.values().any(is_returning)
    }

    /// Creates the next report; `busy` are the slots of workers where this entry exceeds its quota.
    pub fn report<'a>(&mut self, demand: Demand, busy: impl Iterator<Item = &'a Slot>) -> Report {
        let mut in_use = vec![0; self.entries.len()];
        for slot in busy {
            in_use[slot.owner] |= mask(slot.stripe);
        }
        self.finish_draining(&in_use);
        self.grants_changed = false;
        self.seq += 1;
        let granted = self
            .loans
            .iter()
            .filter(|(_, loan)| loan.state == LoanState::Granted);
        Report {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            demand,
            lent: granted
                .map(|(stripe, loan)| (*stripe, loan.to.clone()))
                .collect(),
            seen: self
                .peers
                .iter()
                .map(|(entry, peer)| (entry.clone(), peer.seen()))
                .collect(),
        }
    }

    /// Grants and returns the stripes in which this entry has no more requests in flight.
    fn finish_draining(&mut self, in_use: &[Stripes]) {
        for (entry, in_use) in self.entries.iter().zip(in_use) {
            if let Some(peer) = self.peers.get_mut(entry) {
                peer.returning &= in_use;
            }
            if *entry != self.entry {
                continue;
            }
            let draining = self.loans.iter_mut();
            let draining = draining.filter(|(_, loan)| loan.state == LoanState::Draining);
            for (_, loan) in draining.filter(|(stripe, _)| !contains_stripe(*in_use, **stripe)) {
                loan.state = LoanState::Granted;
            }
        }
    }
}

impl Peer {
    fn seen(&self) -> Seen {
        Seen {
            incarnation: self.incarnation,
            seq: self.seq,
            returning: to_vec(self.returning),
        }
    }
}

fn is_recalled(loan: &Loan) -> bool {
    matches!(loan.state, LoanState::Recalled(_))
}
