//! What the owner of a pool publishes.

use crate::{Backlog, PoolLoad, rate::Rate, share::Share};
use primroseroute_domain::work::{Demand, JobId, Name};
use std::collections::BTreeMap;

/// Waits below this are published as 0.
const MIN_WAIT_MS: u64 = 500;

/// Wait from which a pool that has published 0 publishes waits.
const ONSET_WAIT_MS: u64 = 750;

/// Longest wait that is published.
const MAX_WAIT_MS: u64 = 600_000;

/// Minimum time between two publications, but for the one that ends the waits.
const PUBLISH_INTERVAL_MS: u64 = 500;

/// Time for which work has to wait before waits are published: the instances that a pool asks for
/// when its demand rises take up to 3 s to get tasks, and end most waits.
const LEAD_MS: u64 = 3_000;

/// Time after which a worker that left no longer counts for the largest one: an instance in
/// maintenance returns, and a job that is rejected for its size isn't tried again.
const LARGEST_MS: u64 = 60_000;

/// Decides what the owner of a pool publishes, and when.
#[derive(Clone, Debug)]
pub struct Publisher {
    owner: u64,
    rate: Rate,
    shares: BTreeMap<Name, Share>,
    largest: Largest,
    observed_ms: Option<u64>,
    /// Since when work has to wait.
    short_ms: Option<u64>,
    /// The figures of the last observation.
    load: PoolLoad,
    /// What was published last, and when.
    published: Option<(PoolLoad, u64)>,
}

impl Publisher {
    /// A publisher for the owner with this fencing token, which hasn't published anything yet.
    pub fn new(owner: u64) -> Self {
        Self {
            owner,
            rate: Rate::default(),
            shares: BTreeMap::new(),
            largest: Largest::default(),
            observed_ms: None,
            short_ms: None,
            load: PoolLoad::default(),
            published: None,
        }
    }

    /// Counts a job that was accepted at `at_ms`, once.
    pub fn add_accepted(&mut self, account: &Name, id: &JobId, at_ms: u64) {
        let share = self.shares.entry(Name::clone(account)).or_default();
        share.add(id, at_ms);
    }

    /// Counts completed work, in core-milliseconds by the same estimates as the backlog's.
    pub fn add_completed(&mut self, core_ms: u64, now_ms: u64) {
        self.rate.add_completed(core_ms, now_ms);
    }

    /// Computes the figures from what waits and from the accounts' entitlements, in jobs per second.
    pub fn observe(&mut self, backlog: &Backlog, entitlements: &BTreeMap<Name, f64>, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.observed_ms.unwrap_or(now_ms));
        self.observed_ms = Some(now_ms);
        let rate_cpu = self.rate.update(backlog.capacity_cpu, now_ms);
        let waiting = backlog.accounts.values();
        let (within, all) = waiting.fold((0_u64, 0_u64), |(within, all), waiting| {
            let all = all.saturating_add(waiting.within_core_ms);
            (
                within.saturating_add(waiting.within_core_ms),
                all.saturating_add(waiting.beyond_core_ms),
            )
        });
        let wait = |work: u64| {
            let wait = (u128::from(work) * 1_000).checked_div(u128::from(rate_cpu));
            let without_workers = if work > 0 { MAX_WAIT_MS } else { 0 };
            let wait = wait.map_or(without_workers, |wait| {
                u64::try_from(wait).unwrap_or(u64::MAX)
            });
            wait.min(MAX_WAIT_MS)
        };
        let least = if self.load.beyond_wait_ms > 0 {
            MIN_WAIT_MS
        } else {
            ONSET_WAIT_MS
        };
        let is_short = self.short_for(wait(all) >= least, now_ms) >= LEAD_MS;
        let published = |wait: u64| if is_short && wait >= least { wait } else { 0 };
        let within_wait_ms = published(wait(within));
        let beyond_wait_ms = published(wait(all));
        for account in entitlements.keys() {
            self.shares.entry(Name::clone(account)).or_default();
        }
        for (account, share) in &mut self.shares {
            let entitlement = entitlements.get(account).copied().unwrap_or(0.0);
            share.update(entitlement, within_wait_ms > 0, elapsed, now_ms);
        }
        self.shares
            .retain(|account, share| entitlements.contains_key(account) || !share.is_empty());
        let listed = self.shares.iter().filter(|_share| beyond_wait_ms > 0);
        let listed = listed.filter_map(|(account, share)| {
            let permille = share.permille()?;
            Some((Name::clone(account), permille))
        });
        self.load = PoolLoad {
            format: PoolLoad::FORMAT,
            owner: self.owner,
            rate_cpu,
            within_wait_ms,
            beyond_wait_ms,
            within_permille: listed.collect(),
            largest_worker: self.largest.update(backlog.largest_worker, now_ms),
        };
    }

    /// The figures that are to be published now, if any.
    pub fn due(&self, now_ms: u64) -> Option<&PoolLoad> {
        self.observed_ms?;
        let load = &self.load;
        let Some((published, at_ms)) = &self.published else {
            return Some(load);
        };
        let limits = load.beyond_wait_ms > 0;
        let has_ended = published.beyond_wait_ms > 0 && !limits;
        let has_changed = limits || published.largest_worker != load.largest_worker;
        let is_time = now_ms.saturating_sub(*at_ms) >= PUBLISH_INTERVAL_MS;
        (has_ended || (has_changed && is_time)).then_some(load)
    }

    /// Records that `load` was published.
    pub fn record_published(&mut self, load: PoolLoad, now_ms: u64) {
        for (account, share) in &mut self.shares {
            share.record_published(load.within_permille.get(account).copied(), now_ms);
        }
        self.published = Some((load, now_ms));
    }

    /// What was published last.
    pub fn published(&self) -> Option<&PoolLoad> {
        self.published.as_ref().map(|(load, _at)| load)
    }

    /// For how long work has had to wait.
    fn short_for(&mut self, is_short: bool, now_ms: u64) -> u64 {
        if !is_short {
            self.short_ms = None;
            return 0;
        }
        let since = *self.short_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since)
    }
}

/// The largest capacity of the workers of the current period and of the one before, for each
/// resource.
#[derive(Clone, Copy, Debug, Default)]
struct Largest {
    before: Demand,
    current: Demand,
    since_ms: u64,
}

impl Largest {
    fn update(&mut self, known: Demand, now_ms: u64) -> Demand {
        if now_ms.saturating_sub(self.since_ms) >= LARGEST_MS {
            self.before = std::mem::take(&mut self.current);
            self.since_ms = now_ms;
        }
        self.current = self.current.larger(known);
        self.current.larger(self.before)
    }
}
