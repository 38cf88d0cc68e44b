//! Compares ways to go on claiming while the store is down: refusals against double executions.
//!
//! A seeded model, not the product: seven entries, callers who retry a lost answer at another
//! entry, entries that are replaced or paused, outages of the store that not every entry sees.
//! `cargo run --release -p primroseroute-claims --example outage_ways` prints one line for each
//! way and length of outage; `docs/design/at-most-once.md` draws the conclusion.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

const ENTRIES: usize = 7;
const MAJORITY: usize = 4;
const RUNS: u64 = 200;
/// Keyed requests a second; the ratios do not depend on it.
const RATE: u64 = 40;
/// Milliseconds that the store is up before and after the outage.
const BEFORE: u64 = 20_000;
const AFTER: u64 = 300_000;
/// Milliseconds that a lease of a share of the keys lasts, for the grace.
const LEASE: u64 = 10_000;
/// Milliseconds that a claim waits for the store before it is refused.
const PATIENCE: u64 = 2_000;
/// Milliseconds that a caller waits for an answer.
const TIMEOUT: u64 = 10_000;
/// One in so many answers is lost on its way to the caller.
const LOSS: u32 = 100;
/// One in so many sends finds its entry paused, for up to [`PAUSE`] milliseconds.
const PAUSED: u32 = 1_000;
const PAUSE: u64 = 40_000;
/// Mean milliseconds between two replacements of one entry.
const LIFE: u64 = 600_000;
const TRIES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Wait for the patience, then refuse as not run.
    Refuse,
    /// The holder of a lease on a share of the keys grants from memory until the lease lapses.
    Grace,
    /// A majority of the entries keeps the claim in memory.
    Peers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Granted,
    Known,
    Refused,
}

#[derive(Debug, Default)]
struct Sums {
    attempts: u64,
    refused: u64,
    doubles: u64,
    executions: u64,
}

/// An attempt at a time, ordered by it.
type Attempt = Reverse<(u64, u32, u32)>;

#[derive(Debug)]
struct Model {
    way: Way,
    random: ChaCha12Rng,
    outage: (u64, u64),
    /// Whether each entry is cut off from the store during the outage.
    cut: [bool; ENTRIES],
    /// Times at which each entry was or will be replaced, in order.
    replaced: Vec<Vec<u64>>,
    rows: BTreeSet<u32>,
    /// When each entry's memory took a key.
    memory: Vec<BTreeMap<u32, u64>>,
}

impl Model {
    fn start(way: Way, seed: u64, length: u64) -> Self {
        let mut random = ChaCha12Rng::seed_from_u64(seed);
        let outage = (BEFORE, BEFORE + length);
        let partial = random.random_range(0..10) < 3;
        let cut = std::array::from_fn(|entry| !partial || entry < 3);
        let end = outage.1 + AFTER;
        let rollout = (random.random_range(0..10) < 2).then(|| random.random_range(0..end));
        let replaced = (0..ENTRIES as u64)
            .map(|entry| {
                let mut times = Vec::new();
                let mut at = random.random_range(0..2 * LIFE);
                while at < end {
                    times.push(at);
                    at += random.random_range(0..2 * LIFE);
                }
                times.extend(rollout.map(|start| start + entry * 10_000));
                times.sort_unstable();
                times
            })
            .collect();
        Self {
            way,
            random,
            outage,
            cut,
            replaced,
            rows: BTreeSet::new(),
            memory: vec![BTreeMap::new(); ENTRIES],
        }
    }

    fn reaches_store(&self, entry: usize, now: u64) -> bool {
        !self.cut[entry] || !(self.outage.0..self.outage.1).contains(&now)
    }

    fn replaced_between(&self, entry: usize, from: u64, to: u64) -> bool {
        self.replaced[entry]
            .iter()
            .any(|at| (from..to).contains(at))
    }

    fn remembers(&self, entry: usize, key: u32, now: u64) -> bool {
        let taken = self.memory[entry].get(&key);
        taken.is_some_and(|at| !self.replaced_between(entry, *at, now))
    }

    /// Whether an entry that kept the key in memory has written it to the store since.
    fn flushed(&self, key: u32, now: u64) -> bool {
        let back = self.outage.1;
        let wrote = |entry: usize| self.remembers(entry, key, back);
        now >= back && (0..ENTRIES).any(wrote)
    }

    fn by_store(&mut self, key: u32, now: u64) -> Verdict {
        if self.flushed(key, now) || !self.rows.insert(key) {
            return Verdict::Known;
        }
        Verdict::Granted
    }

    fn claim(&mut self, entry: usize, key: u32, now: u64) -> Verdict {
        let waited = if self.reaches_store(entry, now) {
            now
        } else {
            now + PATIENCE
        };
        if self.way != Way::Peers && self.reaches_store(entry, waited) {
            // A share whose holder is cut off is free once its lease has surely lapsed.
            let holder = key as usize % ENTRIES;
            let held = !self.reaches_store(holder, waited) && waited < self.outage.0 + LEASE;
            if self.way == Way::Grace && held {
                return self.by_memory(holder, key, waited);
            }
            return self.by_store(key, waited);
        }
        match self.way {
            Way::Refuse => Verdict::Refused,
            Way::Grace => self.by_memory(key as usize % ENTRIES, key, now),
            Way::Peers => self.by_peers(entry, key, now),
        }
    }

    /// The holder grants until its lease lapses, unless it was replaced since and holds nothing.
    fn by_memory(&mut self, holder: usize, key: u32, now: u64) -> Verdict {
        let lapsed = now >= self.outage.0 + LEASE;
        if lapsed || self.replaced_between(holder, self.outage.0, now) {
            return Verdict::Refused;
        }
        if self.rows.contains(&key) || self.remembers(holder, key, now) {
            return Verdict::Known;
        }
        self.memory[holder].insert(key, now);
        Verdict::Granted
    }

    /// Asks a majority, the entry itself first, and the store where it can be reached.
    fn by_peers(&mut self, entry: usize, key: u32, now: u64) -> Verdict {
        let first = self.random.random_range(0..ENTRIES);
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
        if self.reaches_store(entry, now) && self.by_store(key, now) == Verdict::Known {
            return Verdict::Known;
        }
        for peer in asked {
            self.memory[peer].insert(key, now);
        }
        Verdict::Granted
    }

    fn run(mut self, sums: &mut Sums) {
        let mut queue: BinaryHeap<Attempt> = BinaryHeap::new();
        let end = self.outage.1 + 20_000;
        for (key, at) in (0..).zip((0..end).step_by((1000 / RATE) as usize)) {
            queue.push(Reverse((at, key, 0)));
        }
        let mut executed: BTreeMap<u32, u32> = BTreeMap::new();
        while let Some(Reverse((now, key, tried))) = queue.pop() {
            let entry = self.random.random_range(0..ENTRIES);
            sums.attempts += 1;
            let verdict = self.claim(entry, key, now);
            sums.refused += u64::from(verdict == Verdict::Refused);
            let answered = verdict == Verdict::Granted && {
                *executed.entry(key).or_default() += 1;
                !self.answer_is_lost()
            };
            // A known key is asked for again only where its answer may still come; a refused one
            // and one whose answer was lost are sent again, later each time.
            if !answered && verdict != Verdict::Known && tried + 1 < TRIES {
                let wait =
                    (1000 << tried).min(60_000) + TIMEOUT * u64::from(verdict == Verdict::Granted);
                queue.push(Reverse((now + wait, key, tried + 1)));
            }
        }
        sums.executions += executed.len() as u64;
        sums.doubles += executed.values().filter(|times| **times > 1).count() as u64;
    }

    fn answer_is_lost(&mut self) -> bool {
        let paused = self.random.random_range(0..PAUSED) == 0
            && self.random.random_range(0..PAUSE) > TIMEOUT;
        paused || self.random.random_range(0..LOSS) == 0
    }
}

fn main() {
    println!("way     outage  attempts  not-run %  executed  doubled  doubled per million");
    for seconds in [2, 30, 300, 3600] {
        for way in [Way::Refuse, Way::Grace, Way::Peers] {
            let mut sums = Sums::default();
            let runs = if seconds > 1000 { RUNS / 10 } else { RUNS };
            for seed in 0..runs {
                Model::start(way, seed, seconds * 1000).run(&mut sums);
            }
            let refused = 100.0 * sums.refused as f64 / sums.attempts as f64;
            let rate = 1e6 * sums.doubles as f64 / sums.executions as f64;
            println!(
                "{:7} {seconds:5} s {:9} {refused:9.2} {:9} {:8} {rate:9.1}",
                format!("{way:?}").to_lowercase(),
                sums.attempts,
                sums.executions,
                sums.doubles,
            );
        }
    }
}
