//! Who may use this entry's stripes, and which of its peers' stripes it may use.

use super::{
    division::{Claim, Demand, Weights, divide},
    owner::{STRIPES, Slot},
};
use crate::report::{Report, Seen};
use primroseroute_domain::id;
use std::collections::{BTreeMap, BTreeSet};

/// Part of what should be lent that the loans may be off by: reports are noisy, and a stripe on its
/// way between entries serves nobody.
const SLACK: f64 = 0.1;

/// A set of stripes, one bit each.
type Stripes = u64;

fn bit(stripe: u8) -> Stripes {
    1 << (stripe % STRIPES)
}

fn has(stripes: Stripes, stripe: u8) -> bool {
    stripes & bit(stripe) != 0
}

fn list(stripes: Stripes) -> Vec<u8> {
    (0..STRIPES)
        .filter(|stripe| has(stripes, *stripe))
        .collect()
}

/// Where a loan of one stripe is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The owner has stopped using it and waits for its own requests there.
    Clearing,
    /// Reports grant it.
    Granted,
    /// Reports from this number on no longer grant it.
    Recalled(u64),
}

#[derive(Clone, Debug)]
struct Loan {
    to: id::Entry,
    phase: Phase,
}

/// What is known of a peer.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    seq: u64,
    demand: Demand,
    /// Its stripes that this entry may use.
    granted: Stripes,
    /// Its stripes that this entry must give back and still uses.
    returning: Stripes,
    /// What it says it has seen of this entry.
    seen: Option<Seen>,
}

/// The rights of one entry to the slots of one pool.
#[derive(Clone, Debug)]
pub struct Table {
    entry: id::Entry,
    incarnation: u64,
    seq: u64,
    entries: Vec<id::Entry>,
    /// Slots in each stripe of each entry, by position of the entry.
    sizes: Vec<[u32; STRIPES as usize]>,
    loans: BTreeMap<u8, Loan>,
    peers: BTreeMap<id::Entry, Peer>,
    /// Whether a peer's grants have changed since the last report.
    has_taken: bool,
}

impl Table {
    /// The rights of an entry that knows no other.
    pub fn new(entry: id::Entry, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            seq: 0,
            entries: Vec::new(),
            sizes: Vec::new(),
            loans: BTreeMap::new(),
            peers: BTreeMap::new(),
            has_taken: false,
        }
    }

    /// The live entries in the order of their names.
    pub fn entries(&self) -> &[id::Entry] {
        &self.entries
    }

    /// Takes the set of live entries in; true where it has changed.
    ///
    /// Loans to entries that are gone come home, and their stripes are gone with them.
    pub fn set_entries(&mut self, entries: &BTreeSet<id::Entry>) -> bool {
        if self.entries.iter().eq(entries) {
            return false;
        }
        self.entries = entries.iter().cloned().collect();
        self.loans.retain(|_, loan| entries.contains(&loan.to));
        self.peers.retain(|entry, _| entries.contains(entry));
        true
    }

    /// Counts the slots in each stripe over the serving workers.
    pub fn set_slots<'a>(&mut self, slots: impl Iterator<Item = &'a Slot>) {
        self.sizes = vec![[0; STRIPES as usize]; self.entries.len()];
        for slot in slots {
            self.sizes[slot.owner][usize::from(slot.stripe)] += 1;
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
            .is_some_and(|peer| has(peer.granted, slot.stripe))
    }

    /// Takes the report of a peer in; true where rights have changed.
    ///
    /// Reports that come late, twice or from an entry that is not live change nothing.
    pub fn take(&mut self, report: &Report) -> bool {
        if report.entry == self.entry || self.entries.binary_search(&report.entry).is_err() {
            return false;
        }
        let known = self.peers.get(&report.entry);
        let version = (report.incarnation, report.seq);
        if known.is_some_and(|peer| version <= (peer.incarnation, peer.seq)) {
            return false;
        }
        let mine = report.lent.iter().filter(|(_, to)| **to == self.entry);
        let granted = mine.fold(0, |all, (stripe, _)| all | bit(*stripe));
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
        self.has_taken |= granted != before;
        self.reclaim() || granted != before
    }

    /// Takes home the stripes that their borrowers have given back; true where there were any.
    fn reclaim(&mut self) -> bool {
        let before = self.loans.len();
        let (peers, incarnation) = (&self.peers, self.incarnation);
        self.loans.retain(|stripe, loan| {
            let seen = peers.get(&loan.to).and_then(|peer| peer.seen.as_ref());
            let seen = seen.filter(|seen| seen.incarnation == incarnation);
            let (Phase::Recalled(since), Some(seen)) = (loan.phase, seen) else {
                return true;
            };
            seen.seq < since || seen.returning.contains(stripe)
        });
        self.loans.len() < before
    }

    /// Decides what to lend and to call back; true where this entry's own rights have changed.
    pub fn lend(&mut self, shares: &Weights, demand: &Demand) -> bool {
        let before: Vec<_> = self.loans.keys().copied().collect();
        for (to, slots) in self.targets(shares, demand) {
            self.adjust(&to, slots);
        }
        !self.loans.keys().eq(&before)
    }

    /// The demand of all entries that are known, this one's given.
    pub fn demand(&self, own: &Demand) -> Demand {
        let peers = self.peers.values().map(|peer| &peer.demand);
        super::division::total(peers.chain([own]))
    }

    /// Slots that this entry should lend to each peer that reports.
    fn targets(&self, shares: &Weights, demand: &Demand) -> Vec<(id::Entry, f64)> {
        let mut known = Vec::new();
        let mut claims = Vec::new();
        for (entry, sizes) in self.entries.iter().zip(&self.sizes) {
            let peer = self.peers.get(entry).map(|peer| &peer.demand);
            let own = (*entry == self.entry).then_some(demand);
            let Some(demand) = own.or(peer) else {
                continue;
            };
            let owned = f64::from(sizes.iter().sum::<u32>());
            known.push(entry);
            claims.push(Claim { owned, demand });
        }
        let targets = divide(shares, &claims);
        let lacks = claims
            .iter()
            .zip(&targets)
            .map(|(claim, target)| target - claim.owned);
        let lacks: Vec<_> = known.into_iter().zip(lacks).collect();
        let missing: f64 = lacks.iter().map(|(_, lack)| lack.max(0.0)).sum();
        let own = lacks.iter().find(|(entry, _)| **entry == self.entry);
        let excess = own.map_or(0.0, |(_, lack)| (-lack).max(0.0));
        let peers = lacks.into_iter().filter(|(entry, _)| **entry != self.entry);
        let part = |lack: f64| {
            if missing > 0.0 {
                excess * lack.max(0.0) / missing
            } else {
                0.0
            }
        };
        peers
            .map(|(entry, lack)| (entry.clone(), part(lack)))
            .collect()
    }

    /// Lends or calls back until about `slots` slots are lent to `to`.
    fn adjust(&mut self, to: &id::Entry, slots: f64) {
        let lent = f64::from(self.lent(to));
        let sizes = self.own_sizes();
        let mean = f64::from(sizes.iter().sum::<u32>()) / f64::from(STRIPES);
        let stripe = mean.max(1.0);
        let slack = stripe.max(slots * SLACK);
        if lent > slots + slack || (slots == 0.0 && lent > 0.0) {
            self.recall(to, lent - slots, &sizes);
        } else if lent < slots - stripe {
            self.offer(to, slots - lent, &sizes);
        }
    }

    /// Slots that are lent to `to` and not called back.
    fn lent(&self, to: &id::Entry) -> u32 {
        let sizes = self.own_sizes();
        let loans = self.loans.iter();
        let standing = loans.filter(|(_, loan)| loan.to == *to && !is_recalled(loan));
        standing
            .map(|(stripe, _)| sizes[usize::from(*stripe)])
            .sum()
    }

    fn own_sizes(&self) -> [u32; STRIPES as usize] {
        let own = self.entries.binary_search(&self.entry).ok();
        own.and_then(|own| self.sizes.get(own))
            .copied()
            .unwrap_or([0; STRIPES as usize])
    }

    fn recall(&mut self, to: &id::Entry, mut slots: f64, sizes: &[u32; STRIPES as usize]) {
        let since = self.seq + 1;
        let mut unused = Vec::new();
        let loans = self.loans.iter_mut();
        for (stripe, loan) in loans.filter(|(_, loan)| loan.to == *to && !is_recalled(loan)) {
            let size = f64::from(sizes[usize::from(*stripe)]);
            if size > slots + 0.5 {
                continue;
            }
            slots -= size;
            if loan.phase == Phase::Clearing {
                unused.push(*stripe);
            }
            loan.phase = Phase::Recalled(since);
        }
        for stripe in unused {
            self.loans.remove(&stripe);
        }
    }

    fn offer(&mut self, to: &id::Entry, mut slots: f64, sizes: &[u32; STRIPES as usize]) {
        for stripe in 0..STRIPES {
            let size = f64::from(sizes[usize::from(stripe)]);
            if size == 0.0 || size > slots + 0.5 || self.loans.contains_key(&stripe) {
                continue;
            }
            slots -= size;
            let loan = Loan {
                to: to.clone(),
                phase: Phase::Clearing,
            };
            self.loans.insert(stripe, loan);
        }
    }

    /// Whether a peer waits for the next report: for a grant, or for a slot to come back.
    pub fn is_pending(&self) -> bool {
        let is_clearing = |loan: &Loan| loan.phase == Phase::Clearing;
        let is_returning = |peer: &Peer| peer.returning != 0;
        let is_lending = self.loans.values().any(is_clearing);
        self.has_taken || is_lending || self.peers.values().any(is_returning)
    }

    /// Makes the next report; `busy` are the slots at workers where this entry uses more than it may.
    pub fn report<'a>(&mut self, demand: Demand, busy: impl Iterator<Item = &'a Slot>) -> Report {
        let mut in_use = vec![0; self.entries.len()];
        for slot in busy {
            in_use[slot.owner] |= bit(slot.stripe);
        }
        self.clear(&in_use);
        self.has_taken = false;
        self.seq += 1;
        let granted = self
            .loans
            .iter()
            .filter(|(_, loan)| loan.phase == Phase::Granted);
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

    /// Grants and gives back the stripes in which nothing of this entry is in flight any more.
    fn clear(&mut self, in_use: &[Stripes]) {
        for (entry, in_use) in self.entries.iter().zip(in_use) {
            if let Some(peer) = self.peers.get_mut(entry) {
                peer.returning &= in_use;
            }
            if *entry != self.entry {
                continue;
            }
            let clearing = self.loans.iter_mut();
            let clearing = clearing.filter(|(_, loan)| loan.phase == Phase::Clearing);
            for (_, loan) in clearing.filter(|(stripe, _)| !has(*in_use, **stripe)) {
                loan.phase = Phase::Granted;
            }
        }
    }
}

impl Peer {
    fn seen(&self) -> Seen {
        Seen {
            incarnation: self.incarnation,
            seq: self.seq,
            returning: list(self.returning),
        }
    }
}

fn is_recalled(loan: &Loan) -> bool {
    matches!(loan.phase, Phase::Recalled(_))
}
