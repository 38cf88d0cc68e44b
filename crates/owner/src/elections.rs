//! The pools that an entry owns and the groups of instances that it holds: which it takes, and which it gives up.

use crate::{
    control::{Picture, parsed},
    elect,
    entry::Parts,
    fleet::Fleet,
    holder,
    own::{self, Context, Over},
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

/// Time between two elections.
const ELECTION: Duration = Duration::from_millis(150);

/// Time after its start before an entry takes pools that it hasn't had before, so that entries which start
/// together see each other and share them.
const SETTLE: Duration = Duration::from_millis(1_200);

/// The same time where another entry owns something already: it has started before. Entries that start together do so within
/// 0.3 s. In a roll-out the pools of each entry that stops fall to one that has just come back, and waited for it to
/// settle for up to half a second.
const JOIN: Duration = Duration::from_millis(400);

/// Least time for which an entry keeps what it has taken, and between two pools that it gives up to stronger
/// entries: a heartbeat has shown all of them, and a takeover is over.
const KEEPS: Duration = Duration::from_millis(1_500);

/// Least time for which an entry is a candidate: after its start, and after it last owned something or was among the strongest.
const CANDIDATE_FOR: Duration = Duration::from_secs(8);

/// A pool that is owned, or a group that is held.
struct Charge {
    stop: watch::Sender<bool>,
    task: JoinHandle<Over>,
    since: Instant,
}

pub(crate) struct Elections {
    parts: Parts,
    picture: Arc<Mutex<Picture>>,
    fleet: Arc<Fleet>,
    owned: BTreeMap<Name, Charge>,
    /// Tells whether this entry is a candidate: whether it owns something, or would take it over.
    candidate: watch::Sender<bool>,
    /// Until when it is one.
    candidate_until: Instant,
    stop: watch::Receiver<bool>,
    attempt: u64,
    started: Instant,
}

impl Elections {
    pub(crate) fn new(
        parts: Parts,
        picture: Arc<Mutex<Picture>>,
        candidate: watch::Sender<bool>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self {
            fleet: Arc::new(Fleet::new(Arc::clone(&parts.site))),
            parts,
            picture,
            owned: BTreeMap::new(),
            candidate,
            candidate_until: Instant::now() + CANDIDATE_FOR,
            stop,
            attempt: 0,
            started: Instant::now(),
        }
    }

    /// Takes what falls to this entry until the word to stop, and gives everything up then.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(ELECTION);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.stop.clone();
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                _ = ticks.tick() => {}
            }
            self.owned
                .retain(|_pool, charge| !charge.task.is_finished());
            self.parts.observer.owns(self.pools().len());
            self.stand();
            self.give_up();
            for name in self.chosen() {
                self.take(name).await;
            }
        }
        for charge in self.owned.values() {
            charge.stop.send_replace(true);
        }
        for (pool, charge) in std::mem::take(&mut self.owned) {
            if let Err(error) = charge.task.await {
                warn!(pool = &*pool, error:% = error; "a pool's loop failed");
            }
        }
    }

    /// The pools that this entry owns.
    fn pools(&self) -> Vec<Name> {
        let pools = self.owned.keys().filter(|name| !row::is_group(name));
        pools.map(Name::clone).collect()
    }

    /// Tells whether this entry is a candidate.
    fn stand(&mut self) {
        let (pools, groups) = self.charges();
        let mut picture = self.picture.lock();
        let now = self.parts.clock.now();
        let able = picture.members.able(now);
        let candidates = elect::candidates(&able, pools.len() + groups.len());
        if !self.owned.is_empty() || candidates.contains_key(&self.parts.entry) {
            self.candidate_until = Instant::now() + CANDIDATE_FOR;
        }
        let candidate = Instant::now() < self.candidate_until;
        picture.candidate(candidate, now);
        let known = self.candidate.send_replace(candidate);
        if known != candidate {
            info!(candidate; "candidacy for pools and groups has changed");
        }
    }

    /// Gives a pool up for which a far stronger entry is there, a while after the last change.
    fn give_up(&mut self) {
        let recent = |charge: &Charge| charge.since.elapsed() < KEEPS;
        if self.owned.values().any(recent) {
            return;
        }
        let pools = self.pools();
        let picture = self.picture.lock();
        let now = self.parts.clock.now();
        if !picture.judges(now) {
            return;
        }
        let able = picture.members.able(now);
        let own = &self.parts.entry;
        let Some(pool) = elect::given_up(own, &pools, &picture.owned(false), &able) else {
            return;
        };
        if let Some(charge) = self.owned.get_mut(pool) {
            info!(pool = &**pool; "pool is given up to a stronger entry");
            charge.stop.send_replace(true);
            charge.since = Instant::now();
        }
    }

    /// Whether entries that started with this one have had the time to be seen.
    fn is_settled(&self, picture: &Picture, now: Millis) -> bool {
        let others = || {
            let mut held = picture
                .owners
                .keys()
                .filter_map(|name| picture.held(name, now));
            held.any(|(owner, _version)| owner.entry != self.parts.entry)
        };
        let elapsed = self.started.elapsed();
        elapsed >= SETTLE || (elapsed >= JOIN && others())
    }

    /// All pools, as far as they are known, and all groups of instances.
    fn charges(&self) -> (Vec<Name>, Vec<Name>) {
        let configuration = self.parts.watch.configuration.borrow();
        let pools = configuration.iter().flat_map(|known| &known.pools);
        let pools = pools.map(|pool| Name::clone(&pool.name)).collect();
        (pools, row::groups().collect())
    }

    /// Free pools and groups of instances that this entry is to take.
    fn chosen(&self) -> Vec<Name> {
        let (pools, groups) = self.charges();
        if pools.is_empty() {
            return Vec::new();
        }
        let picture = self.picture.lock();
        let now = self.parts.clock.now();
        if !picture.judges(now) {
            return Vec::new();
        }
        let able = elect::candidates(&picture.members.able(now), pools.len() + groups.len());
        // Groups cost their holders little, so that they are spread by themselves.
        let pools = elect::assign(&picture.free(&pools, now), &picture.owned(false), &able);
        let groups = elect::assign(&picture.free(&groups, now), &picture.owned(true), &able);
        let assigned = pools.into_iter().chain(groups);
        let settled = self.is_settled(&picture, now);
        let mine = assigned.filter(|(name, entry)| {
            let had = picture.owners.get(name);
            let had = had.is_some_and(|(last, _version)| last.entry == *entry);
            *entry == self.parts.entry && (had || settled)
        });
        // A takeover whose answer was lost, and which took effect all the same.
        let own = picture.owned_by(&self.parts.entry, self.parts.incarnation);
        mine.map(|(name, _entry)| name)
            .chain(own)
            .filter(|name| !self.owned.contains_key(name))
            .collect()
    }

    /// Takes a pool or a group over under the condition that its owner's row hasn't changed.
    async fn take(&mut self, name: Name) {
        let known = self.picture.lock().owners.get(&name).cloned();
        let version = known.as_ref().map_or(0, |(_owner, version)| *version);
        self.attempt += 1;
        let last = known.map(|(owner, _version)| owner);
        let owner = self.successor(last.as_ref());
        if let Some(token) = self.claim(&name, version, &owner).await {
            self.begin(name, &owner, token, last.as_ref());
        }
    }

    /// This entry's row after that of the last owner.
    fn successor(&self, last: Option<&Owner>) -> Owner {
        let own = &self.parts.entry;
        // Whether an earlier incarnation of this entry had rested isn't known, so that what it came after
        // stays.
        let after = last.and_then(|last| {
            if last.entry == *own {
                last.after.clone()
            } else {
                Some(Name::clone(&last.entry))
            }
        });
        // What a holder says when it gives a group up is all there is; after one that died it isn't.
        let told = last.filter(|last| last.released || last.entry == *own);
        Owner {
            entry: Name::clone(own),
            incarnation: self.parts.incarnation,
            attempt: self.attempt,
            released: false,
            after,
            resting: told.and_then(|last| last.resting.clone()),
        }
    }

    /// Writes the row in place of that with `version`; its own version, if it stands.
    async fn claim(&self, name: &Name, version: Version, owner: &Owner) -> Option<Version> {
        let place = row::owner(name);
        let value = serde_json::to_vec(owner).expect("an owner has plain fields");
        let txn = Txn {
            conditions: vec![(place.clone(), version)],
            puts: vec![(place, value.into())],
            deletes: Vec::new(),
        };
        match self.parts.rows.commit(txn).await {
            Ok(Commit::Committed(version)) => Some(version),
            Ok(Commit::Conflict(rows)) => {
                // The feed hasn't shown it yet, or the pool is new to the configuration.
                let now = self.parts.clock.now();
                let mut picture = self.picture.lock();
                for row in &rows {
                    picture.record(row, now);
                }
                None
            }
            Err(Error::Unknown(_detail)) => self.look(name, owner).await,
            Err(error) => {
                info!(pool = &**name, error:% = error; "taking the pool failed");
                None
            }
        }
    }

    /// Starts what a pool or a group needs.
    fn begin(&mut self, name: Name, owner: &Owner, token: Version, last: Option<&Owner>) {
        let from = last.map_or("", |last| &*last.entry);
        let told = last.is_none_or(|last| last.released);
        let known = (owner.clone(), token);
        self.picture.lock().owners.insert(Name::clone(&name), known);
        let (stop, stopped) = watch::channel(false);
        let since = Instant::now();
        let task = if row::is_group(&name) {
            info!(group = &*name, token, from; "group of instances taken over");
            let holding = self.holding(&name);
            let rest = Rest::of(owner, holding.order_pause, since);
            let next = rest.handed_on(told, holding.order_pause, since);
            tokio::spawn(holder::hold(holding, token, (rest, next), stopped))
        } else {
            info!(pool = &*name, token, from; "pool taken over");
            self.parts.observer.taken_over(&name);
            tokio::spawn(own::own(self.context(&name), token, stopped))
        };
        self.owned.insert(name, Charge { stop, task, since });
    }

    /// The version of the owner's row, if it is `owner`'s: a takeover whose answer was lost. One that
    /// lands later is found by the next election, since its entry is alive and doesn't own it.
    async fn look(&self, pool: &Name, owner: &Owner) -> Option<Version> {
        match read_row(&*self.parts.rows, row::owner(pool)).await {
            Ok(found) => found
                .filter(|row| parsed::<Owner>(row).as_ref() == Some(owner))
                .map(|row| row.version),
            Err(error) => {
                info!(pool = &**pool, error:% = error; "looking at a pool's owner failed");
                None
            }
        }
    }

    fn holding(&self, group: &Name) -> holder::Parts {
        holder::Parts {
            entry: Name::clone(&self.parts.entry),
            group: Name::clone(group),
            rows: Arc::clone(&self.parts.rows),
            site: Arc::clone(&self.parts.site),
            picture: Arc::clone(&self.picture),
            order_pause: self.parts.bounds.borrow().order_pause,
        }
    }

    fn context(&self, pool: &Name) -> Context {
        let bounds = *self.parts.bounds.borrow();
        Context {
            entry: Name::clone(&self.parts.entry),
            pool: Name::clone(pool),
            clock: self.parts.clock,
            limits: bounds.limits,
            order_pause: bounds.order_pause,
            order_rate: bounds.order_rate,
            rows: Arc::clone(&self.parts.rows),
            loads: Arc::clone(&self.parts.loads),
            site: Arc::clone(&self.parts.site),
            workers: Arc::clone(&self.parts.workers),
            advisor: Arc::clone(&self.parts.advisor),
            watch: self.parts.watch.clone(),
            picture: Arc::clone(&self.picture),
            fleet: Arc::clone(&self.fleet),
            observer: Arc::clone(&self.parts.observer),
        }
    }
}
