//! Compares strategies for claims while the store is down: refusals against double executions.
//!
//! A seeded model, independent of the implementation: seven entries, callers who retry at another
//! entry after a lost response, entries that are replaced or suspended, and outages of the store
//! that may affect only some entries.
//! `cargo run --release -p primroseroute-claims --example outage_ways` prints one line for each
//! strategy and duration of outage; `docs/design/at-most-once.md` draws the conclusion.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

const ENTRIES: usize = 7;
const MAJORITY: usize = 4;
const RUNS: u64 = 200;
/// Requests with a key, per second; the ratios do not depend on it.
const RATE_PER_S: u64 = 40;
/// Time that the store is up before and after the outage.
const BEFORE_MS: u64 = 20_000;
const AFTER_MS: u64 = 300_000;
/// Lease on a part of the keys, for [`Strategy::Grace`].
const LEASE_MS: u64 = 10_000;
/// Time that a claim waits for the store before it is refused.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;
/// One in this many responses is lost between the entry and the caller.
const LOST_ONE_IN: u32 = 100;
/// At one in this many sends the entry is suspended, for up to [`MAX_SUSPENSION_MS`].
const SUSPENDED_ONE_IN: u32 = 1_000;
const MAX_SUSPENSION_MS: u64 = 40_000;
/// Mean time between two replacements of one entry.
const MEAN_LIFETIME_MS: u64 = 600_000;
const MAX_ATTEMPTS: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Wait for [`CLAIM_TIMEOUT_MS`], then refuse as not run.
    Refuse,
    /// The holder of a lease on a part of the keys grants from memory until the lease expires.
    Grace,
    /// A majority of the entries holds the claim in memory.
    Peers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Granted,
    Known,
    Refused,
}

#[derive(Debug, Default)]
struct Totals {
    attempts: u64,
    refused: u64,
    double_executions: u64,
    executions: u64,
}

/// An attempt as (time, key, number of earlier attempts), ordered by time.
type Attempt = Reverse<(u64, u32, u32)>;

#[derive(Debug)]
struct Model {
    strategy: Strategy,
    rng: ChaCha12Rng,
    outage: (u64, u64),
    /// Whether each entry is partitioned from the store during the outage.
    partitioned: [bool; ENTRIES],
    /// Times at which each entry is replaced, in order.
    replaced: Vec<Vec<u64>>,
    rows: BTreeSet<u32>,
    /// When each entry added a key to its memory.
    memory: Vec<BTreeMap<u32, u64>>,
}

impl Model {
    fn start(strategy: Strategy, seed: u64, length: u64) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let outage = (BEFORE_MS, BEFORE_MS + length);
        let partial = rng.random_range(0..10) < 3;
        let partitioned = std::array::from_fn(|entry| !partial || entry < 3);
        let end = outage.1 + AFTER_MS;
        let rollout = (rng.random_range(0..10) < 2).then(|| rng.random_range(0..end));
        let replaced = (0..ENTRIES as u64)
            .map(|entry| {
                let mut times = Vec::new();
                let mut at = rng.random_range(0..2 * MEAN_LIFETIME_MS);
                while at < end {
                    times.push(at);
                    at += rng.random_range(0..2 * MEAN_LIFETIME_MS);
                }
                times.extend(rollout.map(|start| start + entry * 10_000));
                times.sort_unstable();
                times
            })
            .collect();
        Self {
            strategy,
            rng,
            outage,
            partitioned,
            replaced,
            rows: BTreeSet::new(),
            memory: vec![BTreeMap::new(); ENTRIES],
        }
    }

    fn reaches_store(&self, entry: usize, now: u64) -> bool {
        !self.partitioned[entry] || !(self.outage.0..self.outage.1).contains(&now)
    }

    fn replaced_between(&self, entry: usize, from: u64, to: u64) -> bool {
        self.replaced[entry]
            .iter()
            .any(|at| (from..to).contains(at))
    }

    fn remembers(&self, entry: usize, key: u32, now: u64) -> bool {
        let taken_at = self.memory[entry].get(&key);
        taken_at.is_some_and(|at| !self.replaced_between(entry, *at, now))
    }

    /// Whether an entry that holds the key in memory has written it to the store since the outage.
    fn flushed_to_store(&self, key: u32, now: u64) -> bool {
        let recovery = self.outage.1;
        let wrote = |entry: usize| self.remembers(entry, key, recovery);
        now >= recovery && (0..ENTRIES).any(wrote)
    }

    fn claim_in_store(&mut self, key: u32, now: u64) -> Verdict {
        if self.flushed_to_store(key, now) || !self.rows.insert(key) {
            return Verdict::Known;
        }
        Verdict::Granted
    }

    fn claim(&mut self, entry: usize, key: u32, now: u64) -> Verdict {
        let claim_time = if self.reaches_store(entry, now) {
            now
        } else {
            now + CLAIM_TIMEOUT_MS
        };
        if self.strategy != Strategy::Peers && self.reaches_store(entry, claim_time) {
            // A part whose holder is partitioned is free once its lease has certainly expired.
            let holder = key as usize % ENTRIES;
            let is_held =
                !self.reaches_store(holder, claim_time) && claim_time < self.outage.0 + LEASE_MS;
            if self.strategy == Strategy::Grace && is_held {
                return self.claim_in_memory(holder, key, claim_time);
            }
            return self.claim_in_store(key, claim_time);
        }
        match self.strategy {
            Strategy::Refuse => Verdict::Refused,
            Strategy::Grace => self.claim_in_memory(key as usize % ENTRIES, key, now),
            Strategy::Peers => self.claim_by_peers(entry, key, now),
        }
    }

    /// The holder grants until its lease expires, unless it has been replaced and lost the lease.
    fn claim_in_memory(&mut self, holder: usize, key: u32, now: u64) -> Verdict {
        let is_expired = now >= self.outage.0 + LEASE_MS;
        if is_expired || self.replaced_between(holder, self.outage.0, now) {
            return Verdict::Refused;
        }
        if self.rows.contains(&key) || self.remembers(holder, key, now) {
            return Verdict::Known;
        }
        self.memory[holder].insert(key, now);
        Verdict::Granted
    }

    /// Asks a majority, including the entry itself, and the store if it is reachable.
    fn claim_by_peers(&mut self, entry: usize, key: u32, now: u64) -> Verdict {
        let first = self.rng.random_range(0..ENTRIES);
        let others = (0..ENTRIES)
            .map(|n| (first + n) % ENTRIES)
            .filter(|n| *n != entry);
        let asked: Vec<usize> = std::iter::once(entry)
            .chain(others)
            .take(MAJORITY)
            .collect();
        if asked.iter().any(|peer| self.remembers(*peer, key, now)) {
            return Verdict::Known;
        }
        if self.reaches_store(entry, now) && self.claim_in_store(key, now) == Verdict::Known {
            return Verdict::Known;
        }
        for peer in asked {
            self.memory[peer].insert(key, now);
        }
        Verdict::Granted
    }

    fn run(mut self, totals: &mut Totals) {
        let mut queue: BinaryHeap<Attempt> = BinaryHeap::new();
        let end = self.outage.1 + 20_000;
        for (key, at) in (0..).zip((0..end).step_by((1000 / RATE_PER_S) as usize)) {
            queue.push(Reverse((at, key, 0)));
        }
        let mut executed: BTreeMap<u32, u32> = BTreeMap::new();
        while let Some(Reverse((now, key, earlier))) = queue.pop() {
            let entry = self.rng.random_range(0..ENTRIES);
            totals.attempts += 1;
            let verdict = self.claim(entry, key, now);
            totals.refused += u64::from(verdict == Verdict::Refused);
            let answered = verdict == Verdict::Granted && {
                *executed.entry(key).or_default() += 1;
                !self.answer_is_lost()
            };
            // A known key is not retried; refused attempts and those whose response was lost are
            // retried with exponential backoff.
            if !answered && verdict != Verdict::Known && earlier + 1 < MAX_ATTEMPTS {
                let wait = (1000 << earlier).min(60_000)
                    + RESPONSE_TIMEOUT_MS * u64::from(verdict == Verdict::Granted);
                queue.push(Reverse((now + wait, key, earlier + 1)));
            }
        }
        totals.executions += executed.len() as u64;
        totals.double_executions += executed.values().filter(|times| **times > 1).count() as u64;
    }

    fn answer_is_lost(&mut self) -> bool {
        let suspended = self.rng.random_range(0..SUSPENDED_ONE_IN) == 0
            && self.rng.random_range(0..MAX_SUSPENSION_MS) > RESPONSE_TIMEOUT_MS;
        suspended || self.rng.random_range(0..LOST_ONE_IN) == 0
    }
}

fn main() {
    println!("way     outage  attempts  not-run %  executed  doubled  doubled per million");
    for seconds in [2, 30, 300, 3600] {
        for strategy in [Strategy::Refuse, Strategy::Grace, Strategy::Peers] {
            let mut totals = Totals::default();
            let runs = if seconds > 1000 { RUNS / 10 } else { RUNS };
            for seed in 0..runs {
                Model::start(strategy, seed, seconds * 1000).run(&mut totals);
            }
            let refused = 100.0 * totals.refused as f64 / totals.attempts as f64;
            let rate = 1e6 * totals.double_executions as f64 / totals.executions as f64;
            println!(
                "{:7} {seconds:5} s {:9} {refused:9.2} {:9} {:8} {rate:9.1}",
                format!("{strategy:?}").to_lowercase(),
                totals.attempts,
                totals.executions,
                totals.double_executions,
            );
        }
    }
}
