//! An entry's heartbeat, its elections, and the pools that it owns.

use crate::{
    clock::Clock,
    control::{Keeper, Picture, Table, parsed},
    elect,
    fleet::Fleet,
    follow::follow,
    holder,
    observe::Observer,
    own::{self, Context, Over},
    rest::Rest,
    watch::Watch,
};
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_cell::{
    Limits, Millis,
    row::{self, Member, Owner},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    advice::Advisor,
    rows::{Commit, Rows, Txn, Version, read_row},
    site::Site,
    worker::Workers,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Time between two heartbeats: a third of the silence after which an entry counts as dead.
const HEARTBEAT: Duration = Duration::from_millis(700);

/// Time between two elections.
const ELECTION: Duration = Duration::from_millis(150);

/// Time after its start before an entry takes pools that it hasn't had before, so that entries which start
/// together see each other and share them.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Least time for which an entry keeps what it has taken, and between two pools that it gives up to stronger
/// entries: a heartbeat has shown all of them, and a takeover is over.
const KEEPS: Duration = Duration::from_millis(1_500);

/// Least time between two calls for changes of owners and heartbeats.
const CONTROL_PACE: Duration = Duration::from_millis(100);

/// The same where another entry owns something already: it has started before. Entries that start together do so within
/// 0.3 s. In a roll-out the pools of each entry that stops fall to one that has just come back, and waited for it to
/// settle for up to half a second.
const JOIN: Duration = Duration::from_millis(400);

/// Longest time that giving up all pools may take; what is left then is taken over by timeout.
const RELEASE: Duration = Duration::from_millis(2_500);

/// A heartbeat that takes this long, in milliseconds, is a sign that the store is in trouble: usual
/// is a tenth of it.
const SLOW_BEAT: u64 = 300;

/// Longest time that the last heartbeat may take.
const FAREWELL: Duration = Duration::from_millis(300);

/// Times that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Times of the cells.
    pub limits: Limits,
    /// Pause between the orders of two holders to one instance.
    pub order_pause: Duration,
    /// Orders to instances that the platform takes a second from all entries together.
    pub order_rate: f64,
}

/// What an entry is given.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Its name.
    pub entry: Name,
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Its processor's share of a core, in thousandths: strong entries own more.
    pub strength: u32,
    /// Its clocks.
    pub clock: Clock,
    /// Times that the platform sets; newer ones are in force for a pool from its next takeover on.
    pub bounds: watch::Receiver<Bounds>,
    /// The store.
    pub rows: Arc<dyn Rows>,
    /// The site.
    pub site: Arc<dyn Site>,
    /// The workers' calls.
    pub workers: Arc<dyn Workers>,
    /// The advice service.
    pub advisor: Arc<dyn Advisor>,
    /// What the platform tells.
    pub watch: Watch,
    /// Counts what is done.
    pub observer: Arc<dyn Observer>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    stop: watch::Sender<bool>,
    parts: Parts,
    leaving: Arc<AtomicBool>,
    elections: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts heartbeats and elections.
    pub fn spawn(parts: Parts) -> Self {
        let picture = Arc::new(Mutex::new(Picture::default()));
        let leaving = Arc::new(AtomicBool::new(false));
        let table = Table {
            rows: Arc::clone(&parts.rows),
            configuration: parts.watch.configuration.clone(),
        };
        let keeper = Keeper {
            picture: Arc::clone(&picture),
            clock: parts.clock,
            blind: true,
        };
        let background = vec![
            tokio::spawn(follow("control", table, keeper, CONTROL_PACE)),
            tokio::spawn(beat(
                parts.clone(),
                Arc::clone(&picture),
                Arc::clone(&leaving),
            )),
        ];
        let (stop, stopped) = watch::channel(false);
        let elections = Elections {
            parts: parts.clone(),
            picture,
            fleet: Arc::new(Fleet::new(Arc::clone(&parts.site))),
            owned: BTreeMap::new(),
            stop: stopped,
            attempt: 0,
            started: Instant::now(),
        };
        Self {
            stop,
            parts,
            leaving,
            elections: tokio::spawn(elections.run()),
            background,
        }
    }

    /// Gives up all pools and stops; other entries take them over at once.
    ///
    /// The last heartbeat goes out first: it says that this entry takes over nothing more, so that
    /// its own pools aren't left to it.
    pub async fn stop(self) {
        self.leaving.store(true, Ordering::Relaxed);
        let farewell = write_beat(&self.parts, u64::MAX, true);
        match timeout(FAREWELL, farewell).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => warn!(error:% = error; "the last heartbeat failed"),
            Err(_elapsed) => warn!("the last heartbeat got no answer in time"),
        }
        self.stop.send_replace(true);
        if timeout(RELEASE, self.elections).await.is_err() {
            warn!("giving up pools took too long");
        }
        for task in &self.background {
            task.abort();
        }
    }
}

async fn write_beat(parts: &Parts, beat: u64, leaving: bool) -> Result<(), Error> {
    let member = Member {
        incarnation: parts.incarnation,
        beat,
        leaving,
        strength: parts.strength,
    };
    let value = serde_json::to_vec(&member).expect("a heartbeat has plain fields");
    let txn = Txn {
        puts: vec![(row::member(&parts.entry), value.into())],
        ..Txn::default()
    };
    parts.rows.commit(txn).await.map(drop)
}

/// Writes the heartbeat until the task is dropped.
async fn beat(parts: Parts, picture: Arc<Mutex<Picture>>, leaving: Arc<AtomicBool>) {
    let mut ticks = interval(HEARTBEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number = 0;
    let mut failing = false;
    loop {
        ticks.tick().await;
        number += 1;
        let is_leaving = leaving.load(Ordering::Relaxed);
        let begin = parts.clock.now();
        match write_beat(&parts, number, is_leaving).await {
            Ok(()) => {
                let now = parts.clock.now();
                if now < begin + SLOW_BEAT {
                    picture.lock().beaten(now);
                }
                if std::mem::take(&mut failing) {
                    info!("heartbeats work again");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(error:% = error; "heartbeats fail");
                }
            }
        }
    }
}

/// A pool that is owned, or a group that is held.
struct Charge {
    stop: watch::Sender<bool>,
    task: JoinHandle<Over>,
    since: Instant,
}

struct Elections {
    parts: Parts,
    picture: Arc<Mutex<Picture>>,
    fleet: Arc<Fleet>,
    owned: BTreeMap<Name, Charge>,
    stop: watch::Receiver<bool>,
    attempt: u64,
    started: Instant,
}

impl Elections {
    async fn run(mut self) {
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

    /// Free pools and groups of instances that this entry is to take.
    fn chosen(&self) -> Vec<Name> {
        let Some(configuration) = self.parts.watch.configuration.borrow().clone() else {
            return Vec::new();
        };
        let picture = self.picture.lock();
        let now = self.parts.clock.now();
        if !picture.judges(now) {
            return Vec::new();
        }
        let pools = configuration.pools.iter();
        let pools: Vec<Name> = pools.map(|pool| Name::clone(&pool.name)).collect();
        let groups: Vec<Name> = row::groups().collect();
        let able = picture.members.able(now);
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
    async fn take(&mut self, pool: Name) {
        let known = {
            let picture = self.picture.lock();
            picture.owners.get(&pool).cloned()
        };
        let version = known.as_ref().map_or(0, |(_owner, version)| *version);
        self.attempt += 1;
        // Whether an earlier incarnation of this entry had rested isn't known, so that what it came after
        // stays.
        let after = known.as_ref().and_then(|(last, _version)| {
            if last.entry == self.parts.entry {
                last.after.clone()
            } else {
                Some(Name::clone(&last.entry))
            }
        });
        // What a holder says when it gives a group up is all there is; after one that died it isn't.
        let resting = known.as_ref().and_then(|(last, _version)| {
            let known = last.released || last.entry == self.parts.entry;
            last.resting.clone().filter(|_resting| known)
        });
        let owner = Owner {
            entry: Name::clone(&self.parts.entry),
            incarnation: self.parts.incarnation,
            attempt: self.attempt,
            released: false,
            after: after.clone(),
            resting,
        };
        let place = row::owner(&pool);
        let value = serde_json::to_vec(&owner).expect("an owner has plain fields");
        let txn = Txn {
            conditions: vec![(place.clone(), version)],
            puts: vec![(place, value.into())],
            deletes: Vec::new(),
        };
        let token = match self.parts.rows.commit(txn).await {
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
            Err(Error::Unknown(_detail)) => self.look(&pool, &owner).await,
            Err(error) => {
                info!(pool = &*pool, error:% = error; "taking the pool failed");
                None
            }
        };
        if let Some(token) = token {
            let from = known.map_or_else(|| "".into(), |(owner, _version)| owner.entry);
            self.picture
                .lock()
                .owners
                .insert(Name::clone(&pool), (owner.clone(), token));
            let (stop, stopped) = watch::channel(false);
            let task = if row::is_group(&pool) {
                info!(group = &*pool, token, from = &*from; "group of instances taken over");
                let holding = self.holding(&pool);
                let rest = Rest::of(&owner, holding.order_pause, Instant::now());
                tokio::spawn(holder::hold(holding, token, rest, stopped))
            } else {
                info!(pool = &*pool, token, from = &*from; "pool taken over");
                self.parts.observer.taken_over(&pool);
                tokio::spawn(own::own(self.context(&pool), token, stopped))
            };
            let since = Instant::now();
            self.owned.insert(pool, Charge { stop, task, since });
        }
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
