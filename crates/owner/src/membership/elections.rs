//! The pools that an entry owns and the groups of instances that it holds: which it takes over, and
//! which it releases.

use super::{elect, unowned::Unowned};
use crate::{
    control::{ControlView, NOTICE_SPREAD, parse},
    entry::Components,
    holder,
    instance_cache::InstanceCache,
    ownership::{self, Context, OwnershipEnd},
    rest::Rest,
};
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_cell::{
    Millis,
    row::{self, Owner},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version, read_row},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval},
};

/// Interval between two elections.
const ELECTION_INTERVAL: Duration = Duration::from_millis(150);

/// Time after its start before an entry takes over pools that it hasn't had before, so that entries
/// which start together see each other and share the pools.
const STARTUP_DELAY: Duration = Duration::from_millis(1_200);

/// The same time if another entry already owns something, and so has started before. Entries that
/// start together do so within 0.3 s. In a roll-out the pools of each entry that stops go to one
/// that has just come back, and waited up to half a second for it to
/// settle.
const JOIN_DELAY: Duration = Duration::from_millis(400);

/// Minimum time for which an entry keeps what it has taken over, and between two pools that it
/// releases to stronger entries: by then a heartbeat of every entry has been seen, and the takeover
/// is complete.
const MIN_OWNERSHIP: Duration = Duration::from_millis(1_500);

/// Minimum time for which an entry is a candidate: after its start, and after it last owned
/// something or was among the strongest.
const MIN_CANDIDACY: Duration = Duration::from_secs(8);

/// Minimum time for which an entry is active after it last owned something or was to be active.
const MIN_ACTIVITY: Duration = MIN_CANDIDACY;

/// Whether this entry is active.
pub(crate) struct Activity {
    /// Whether it is to be.
    pub wanted: watch::Receiver<bool>,
    /// Publishes whether it is.
    pub active: watch::Sender<bool>,
}

/// A pool that is owned, or a group that is held.
struct Ownership {
    stop: watch::Sender<bool>,
    task: JoinHandle<OwnershipEnd>,
    since: Instant,
}

pub(crate) struct Elections {
    components: Components,
    view: Arc<Mutex<ControlView>>,
    fleet: Arc<InstanceCache>,
    owned: BTreeMap<Name, Ownership>,
    unowned: Unowned,
    activity: Activity,
    /// Until when this entry is active.
    active_until: Instant,
    /// Publishes whether this entry is a candidate: whether it owns something, or would take it
    /// over.
    candidate: watch::Sender<bool>,
    /// Until when it is one.
    candidate_until: Instant,
    stop: watch::Receiver<bool>,
    attempt: u64,
    started: Instant,
}

impl Elections {
    pub(crate) fn new(
        components: Components,
        view: Arc<Mutex<ControlView>>,
        activity: Activity,
        candidate: watch::Sender<bool>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self {
            fleet: Arc::new(InstanceCache::new(Arc::clone(&components.site))),
            components,
            view,
            owned: BTreeMap::new(),
            unowned: Unowned::default(),
            activity,
            active_until: Instant::now(),
            candidate,
            candidate_until: Instant::now() + MIN_CANDIDACY,
            stop,
            attempt: 0,
            started: Instant::now(),
        }
    }

    /// Takes over what is assigned to this entry until it is told to stop, and then releases
    /// everything.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(ELECTION_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.stop.clone();
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                _ = ticks.tick() => {}
            }
            self.owned
                .retain(|_pool, ownership| !ownership.task.is_finished());
            self.components.observer.pools_owned(self.pools().len());
            if !self.update_activity() {
                continue;
            }
            self.update_candidacy();
            self.release_to_stronger();
            for name in self.due_takeovers() {
                self.take_over(name).await;
            }
        }
        for ownership in self.owned.values() {
            ownership.stop.send_replace(true);
        }
        for (pool, ownership) in std::mem::take(&mut self.owned) {
            if let Err(error) = ownership.task.await {
                warn!(pool = &*pool, error:% = error; "task of pool or group failed");
            }
        }
    }

    /// The pools that this entry owns.
    fn pools(&self) -> Vec<Name> {
        let pools = self.owned.keys().filter(|name| !row::is_group(name));
        pools.map(Name::clone).collect()
    }

    /// Updates whether this entry is active, and returns it.
    fn update_activity(&mut self) -> bool {
        if !self.owned.is_empty() || *self.activity.wanted.borrow() {
            self.active_until = Instant::now() + MIN_ACTIVITY;
        }
        let active = Instant::now() < self.active_until;
        let changed = self.activity.active.send_if_modified(|known| {
            let changed = *known != active;
            *known = active;
            changed
        });
        if changed {
            info!(active; "activity of this entry changed");
        }
        active
    }

    /// Updates whether this entry is a candidate.
    fn update_candidacy(&mut self) {
        let (pools, groups) = self.pools_and_groups();
        let mut view = self.view.lock();
        let now = self.components.clock.now();
        if view.can_judge(now) {
            view.members.record_dead(now);
        }
        let eligible = view.members.eligible(now);
        let candidates = elect::candidates(&eligible, pools.len() + groups.len());
        if !self.owned.is_empty() || candidates.contains_key(&self.components.entry) {
            self.candidate_until = Instant::now() + MIN_CANDIDACY;
        }
        let candidate = Instant::now() < self.candidate_until;
        view.set_candidate(candidate, now);
        let before = self.candidate.send_replace(candidate);
        if before != candidate {
            info!(candidate; "candidacy for pools and groups changed");
        }
    }

    /// Releases a pool for which there is a far stronger entry, some time after the last change.
    fn release_to_stronger(&mut self) {
        let recent = |ownership: &Ownership| ownership.since.elapsed() < MIN_OWNERSHIP;
        if self.owned.values().any(recent) {
            return;
        }
        let pools = self.pools();
        let view = self.view.lock();
        let now = self.components.clock.now();
        if !view.can_judge(now) {
            return;
        }
        let mut eligible = view.members.confirmed(now);
        let passed_over = self.unowned.passed_over(Instant::now());
        eligible.retain(|entry, _strength| !passed_over.contains(entry));
        let own = &self.components.entry;
        eligible.insert(Name::clone(own), self.components.strength);
        let Some(pool) = elect::pool_to_release(own, &pools, &view.owned_counts(false), &eligible)
        else {
            return;
        };
        if let Some(ownership) = self.owned.get_mut(pool) {
            info!(pool = &**pool; "releasing pool to a stronger entry");
            ownership.stop.send_replace(true);
            ownership.since = Instant::now();
        }
    }

    /// Whether entries that started with this one have had the time to be seen.
    fn is_startup_over(&self, view: &ControlView, now: Millis) -> bool {
        let others = || {
            let mut owners = view
                .owners
                .keys()
                .filter_map(|name| view.live_owner(name, now));
            owners.any(|(owner, _version)| owner.entry != self.components.entry)
        };
        let elapsed = self.started.elapsed();
        elapsed >= STARTUP_DELAY || (elapsed >= JOIN_DELAY && others())
    }

    /// All pools, as far as they are known, and all groups of instances.
    fn pools_and_groups(&self) -> (Vec<Name>, Vec<Name>) {
        let configuration = self.components.watch.configuration.borrow();
        let pools = configuration.iter().flat_map(|known| &known.pools);
        let pools = pools.map(|pool| Name::clone(&pool.name)).collect();
        (pools, row::groups().collect())
    }

    /// Pools and groups of instances without an owner that this entry is to take over.
    fn due_takeovers(&mut self) -> Vec<Name> {
        let (pools, groups) = self.pools_and_groups();
        if pools.is_empty() {
            return Vec::new();
        }
        let view = self.view.lock();
        let now = self.components.clock.now();
        let mut unowned_pools = view.unowned(&pools, now);
        let mut unowned_groups = view.unowned(&groups, now);
        if !view.can_judge(now) {
            // A release proves what missing heartbeats can't.
            let is_released = |name: &Name| view.is_current && view.is_released(name);
            unowned_pools.retain(|name, _last| is_released(name));
            unowned_groups.retain(|name, _last| is_released(name));
        }
        self.components.observer.pools_unowned(unowned_pools.len());
        let mut assigned = BTreeMap::new();
        if !unowned_pools.is_empty() || !unowned_groups.is_empty() {
            let eligible = elect::assignable(
                &view.members.eligible(now),
                &view.members.recently_eligible(now, NOTICE_SPREAD),
                &self.unowned.passed_over(Instant::now()),
                pools.len() + groups.len(),
            );
            // Groups cost their holders little, so they are distributed separately.
            let pools = elect::assign(&unowned_pools, &view.owned_counts(false), &eligible);
            let groups = elect::assign(&unowned_groups, &view.owned_counts(true), &eligible);
            assigned.extend(pools.into_iter().chain(groups));
        }
        let startup_over = self.is_startup_over(&view, now);
        if startup_over {
            let owner = |name: &Name| {
                let (owner, _version) = view.live_owner(name, now)?;
                Some(Name::clone(&owner.entry))
            };
            self.unowned.record(&assigned, owner, Instant::now());
        }
        let mine = assigned.into_iter().filter(|(name, entry)| {
            let had = view.owners.get(name);
            let had = had.is_some_and(|(last, _version)| last.entry == *entry);
            *entry == self.components.entry && (had || startup_over)
        });
        // A takeover whose answer was lost, and which took effect all the same.
        let own = view.owned_by(&self.components.entry, self.components.incarnation);
        mine.map(|(name, _entry)| name)
            .chain(own)
            .filter(|name| !self.owned.contains_key(name))
            .collect()
    }

    /// Takes a pool or a group over on the condition that its owner's row hasn't changed.
    async fn take_over(&mut self, name: Name) {
        let known = {
            let view = self.view.lock();
            // Takeovers follow one another, and another entry may have been faster meanwhile.
            let owner = view.live_owner(&name, self.components.clock.now());
            if owner.is_some_and(|(owner, _version)| owner.entry != self.components.entry) {
                return;
            }
            view.owners.get(&name).cloned()
        };
        let version = known.as_ref().map_or(0, |(_owner, version)| *version);
        self.attempt += 1;
        let last = known.map(|(owner, _version)| owner);
        let owner = self.successor_row(last.as_ref());
        if let Some(token) = self.write_owner(&name, version, &owner).await {
            self.start(name, &owner, token, last.as_ref());
        }
    }

    /// This entry's row, following that of the last owner.
    fn successor_row(&self, last: Option<&Owner>) -> Owner {
        let own = &self.components.entry;
        // It is unknown whether an earlier incarnation of this entry had waited for the instances
        // to rest, so its predecessor stays recorded.
        let after = last.and_then(|last| {
            if last.entry == *own {
                last.after.clone()
            } else {
                Some(Name::clone(&last.entry))
            }
        });
        // What a holder states on release is complete; what is known of one that died is not.
        let stated = last.filter(|last| last.released || last.entry == *own);
        Owner {
            entry: Name::clone(own),
            incarnation: self.components.incarnation,
            attempt: self.attempt,
            released: false,
            after,
            resting: stated.and_then(|last| last.resting.clone()),
        }
    }

    /// Writes the row in place of the one with `version`; returns its own version if it was
    /// written.
    async fn write_owner(&self, name: &Name, version: Version, owner: &Owner) -> Option<Version> {
        let place = row::owner(name);
        let value = serde_json::to_vec(owner).expect("an owner has plain fields");
        let txn = Txn {
            conditions: vec![(place.clone(), version)],
            puts: vec![(place, value.into())],
            deletes: Vec::new(),
        };
        match self.components.rows.commit(txn).await {
            Ok(Commit::Committed(version)) => Some(version),
            Ok(Commit::Conflict(rows)) => {
                // The change feed hasn't shown it yet, or the pool is new to the configuration.
                let now = self.components.clock.now();
                let mut view = self.view.lock();
                for row in &rows {
                    view.record(row, now);
                }
                None
            }
            Err(Error::Unknown(_detail)) => self.read_own_claim(name, owner).await,
            Err(error) => {
                info!(pool = &**name, error:% = error; "takeover failed");
                None
            }
        }
    }

    /// Starts the task that serves a pool or a group.
    fn start(&mut self, name: Name, owner: &Owner, token: Version, last: Option<&Owner>) {
        let from = last.map_or("", |last| &*last.entry);
        let stated = last.is_none_or(|last| last.released);
        let known = (owner.clone(), token);
        self.view.lock().owners.insert(Name::clone(&name), known);
        let (stop, stopped) = watch::channel(false);
        let since = Instant::now();
        let task = if row::is_group(&name) {
            info!(group = &*name, token, from; "instance group taken over");
            let components = self.holder_components(&name);
            let rest = Rest::after(owner, components.order_pause, since);
            let next = rest.for_successor(stated, components.order_pause, since);
            tokio::spawn(holder::hold(components, token, (rest, next), stopped))
        } else {
            info!(pool = &*name, token, from; "pool taken over");
            self.components.observer.pool_taken_over(&name);
            tokio::spawn(ownership::own(self.context(&name), token, stopped))
        };
        self.owned.insert(name, Ownership { stop, task, since });
    }

    /// The version of the owner's row, if it equals `owner`: a takeover whose answer was lost. One
    /// that takes effect later is found by the next election, since its entry is alive and has no
    /// task for it.
    async fn read_own_claim(&self, pool: &Name, owner: &Owner) -> Option<Version> {
        match read_row(&*self.components.rows, row::owner(pool)).await {
            Ok(found) => found
                .filter(|row| parse::<Owner>(row).as_ref() == Some(owner))
                .map(|row| row.version),
            Err(error) => {
                info!(pool = &**pool, error:% = error; "reading the owner's row after a takeover attempt failed");
                None
            }
        }
    }

    fn holder_components(&self, group: &Name) -> holder::Components {
        holder::Components {
            entry: Name::clone(&self.components.entry),
            group: Name::clone(group),
            rows: Arc::clone(&self.components.rows),
            site: Arc::clone(&self.components.site),
            view: Arc::clone(&self.view),
            order_pause: self.components.bounds.borrow().order_pause,
        }
    }

    fn context(&self, pool: &Name) -> Context {
        let bounds = *self.components.bounds.borrow();
        Context {
            entry: Name::clone(&self.components.entry),
            pool: Name::clone(pool),
            clock: self.components.clock,
            limits: bounds.limits,
            order_pause: bounds.order_pause,
            order_rate: bounds.order_rate,
            configuration_bound: bounds.configuration_bound,
            bounds: self.components.bounds.clone(),
            rows: Arc::clone(&self.components.rows),
            takeover_rows: Arc::clone(&self.components.takeover_rows),
            site: Arc::clone(&self.components.site),
            workers: Arc::clone(&self.components.workers),
            advisor: Arc::clone(&self.components.advisor),
            watch: self.components.watch.clone(),
            view: Arc::clone(&self.view),
            fleet: Arc::clone(&self.fleet),
            observer: Arc::clone(&self.components.observer),
        }
    }
}
