//! What the site consists of, and what happens there by itself.

use super::{
    Conduct, Options,
    journal::{Event, Journal},
    rate::Rate,
    store::Store,
    worker::Worker,
};
use parking_lot::Mutex;
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::{
    rows::Version,
    site::{Instance, InstanceState, Instruction, Registration},
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// A span in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// What follows a crash.
#[derive(Clone, Debug)]
pub(crate) enum Later {
    /// The registration of this worker goes.
    Unregister(Name),
    /// This instance has its next life.
    Restart(Name),
}

pub(crate) struct State {
    pub options: Options,
    pub rng: ChaCha8Rng,
    pub store: Store,
    pub reads: Rate,
    pub workers: BTreeMap<Name, Worker>,
    pub instances: BTreeMap<Name, Instance>,
    pub registrations: Vec<(Version, Registration)>,
    pub instructions: Vec<(Version, Instruction)>,
    pub waves: BTreeMap<u64, bool>,
    /// Instances that were maintained for a wave: a further order for it has no effect.
    pub maintained: BTreeSet<(u64, Name)>,
    pub conduct: BTreeMap<Name, Conduct>,
    pub journal: Journal,
    pub born: u64,
    /// The worker that each instance had last.
    pub lives: BTreeMap<Name, Name>,
    /// What follows crashes, with its time.
    pub later: Vec<(u64, Later)>,
}

pub(crate) struct Shared {
    pub options: Options,
    pub state: Mutex<State>,
    pub changed: Notify,
    pub start: Instant,
}

impl Shared {
    /// Milliseconds since the site began.
    pub(crate) fn now(&self) -> u64 {
        millis(self.start.elapsed())
    }

    /// Changes the state at this moment, and wakes those who wait for a change.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut State, u64) -> T) -> T {
        let now = self.now();
        let result = {
            let mut state = self.state.lock();
            state.advance(now);
            change(&mut state, now)
        };
        self.changed.notify_waiters();
        result
    }
}

impl State {
    /// Brings all workers to `now`.
    pub(crate) fn advance(&mut self, now: u64) {
        let mut crashes = Vec::new();
        for (id, worker) in &mut self.workers {
            let crash = worker.crash_by(now);
            let until = crash.as_ref().map_or(now, |(at, _task)| *at);
            worker.advance(id, until, &mut self.journal);
            crashes.extend(crash.map(|(at, task)| (at, Name::clone(id), task)));
        }
        for (at, worker, task) in crashes {
            self.crash_by_task(at, &worker, task);
        }
        let all = std::mem::take(&mut self.later).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = all.partition(|(at, _later)| *at <= now);
        self.later = later;
        for (at, later) in due {
            match later {
                Later::Unregister(worker) => self.unregister(&worker),
                Later::Restart(instance) => self.restart(&instance, at),
            }
        }
    }

    fn crash_by_task(&mut self, at: u64, worker: &Name, task: TaskId) {
        let mut of = self.instances.values();
        let instance = of.find(|known| known.worker.as_ref() == Some(worker));
        let instance = instance.map(|known| Name::clone(&known.name));
        self.journal.add(Event::Crashed {
            at,
            worker: Name::clone(worker),
            task,
        });
        self.crash(worker, at);
        let back = at + millis(self.options.restart);
        let restart = instance.map(|instance| (back, Later::Restart(instance)));
        self.later.extend(restart);
    }

    /// Ends a worker's life without a word; its registration goes a while later.
    pub(crate) fn crash(&mut self, worker: &Name, at: u64) {
        self.kill(worker, at);
        let gone = at + millis(self.options.registration);
        let worker = Name::clone(worker);
        self.later.push((gone, Later::Unregister(worker)));
    }

    /// Gives an instance that is down its next life.
    fn restart(&mut self, instance: &Name, now: u64) {
        let down = self.instances.get(instance);
        if down.is_some_and(|known| known.state == InstanceState::Down) {
            self.revive_after_crash(instance, now);
        }
    }

    pub(crate) fn register(&mut self, id: &Name) {
        let worker = self.workers.get(id).map(|worker| worker.info.clone());
        let version = self.store.bump();
        let id = Name::clone(id);
        self.registrations
            .push((version, Registration { id, worker }));
    }

    pub(crate) fn unregister(&mut self, id: &Name) {
        let version = self.store.bump();
        let registration = Registration {
            id: Name::clone(id),
            worker: None,
        };
        self.registrations.push((version, registration));
    }

    /// Pools whose instances are switched off, by the newest configuration.
    fn standby(&self) -> BTreeSet<Name> {
        let newest = self.instructions.iter().rev();
        let mut newest = newest.filter_map(|(_version, instruction)| match instruction {
            Instruction::Configuration(configuration) => Some(configuration),
            Instruction::Wave(_) => None,
        });
        let pools = newest.next().into_iter();
        let pools = pools.flat_map(|configuration| &configuration.pools);
        let standby = pools.filter(|pool| pool.standby);
        standby.map(|pool| Name::clone(&pool.name)).collect()
    }

    /// A new life of `instance` after a crash, which may have the id of the one before.
    pub(crate) fn revive_after_crash(&mut self, instance: &Name, now: u64) {
        let share = self.options.same_id;
        let same = share > 0.0 && self.rng.random_bool(share);
        let last = self.lives.get(instance).map(Name::clone);
        match last.filter(|_id| same) {
            Some(id) => self.revive_as(instance, &id, now),
            None => self.revive(instance, now),
        }
    }

    /// A new life of `instance` with the id, the place and the pool of the worker before.
    pub(crate) fn revive_as(&mut self, instance: &Name, id: &Name, now: u64) {
        let (Some(known), Some(before)) = (self.instances.get_mut(instance), self.workers.get(id))
        else {
            return;
        };
        known.state = InstanceState::Up;
        known.worker = Some(Name::clone(id));
        let mut worker = before.reborn(now);
        worker.slow = self.rng.random_range(0..20);
        self.begin_life(instance, worker, now);
    }

    fn begin_life(&mut self, instance: &Name, worker: Worker, now: u64) {
        let id = Name::clone(&worker.info.id);
        self.journal.add(Event::Born {
            at: now,
            worker: Name::clone(&id),
        });
        self.lives.insert(Name::clone(instance), Name::clone(&id));
        self.later
            .retain(|(_at, later)| !matches!(later, Later::Unregister(worker) if *worker == id));
        self.workers.insert(Name::clone(&id), worker);
        self.register(&id);
    }

    /// A new life of `instance`, whose worker registers at once; without one in a standby pool.
    pub(crate) fn revive(&mut self, instance: &Name, now: u64) {
        let standby = self.standby();
        let Some(known) = self.instances.get_mut(instance) else {
            return;
        };
        let pool = Name::clone(&known.pool);
        if standby.contains(&pool) {
            known.state = InstanceState::Up;
            return;
        }
        self.born += 1;
        let id: Name = format!("w-{}", self.born).into();
        known.state = InstanceState::Up;
        known.worker = Some(Name::clone(&id));
        let mut worker = Worker::new(&id, pool, now, self.born);
        worker.slow = self.rng.random_range(0..20);
        self.begin_life(instance, worker, now);
    }

    /// Ends the life of a worker.
    pub(crate) fn kill(&mut self, id: &Name, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.kill(id, now, &mut self.journal);
        }
        for instance in self.instances.values_mut() {
            if instance.worker.as_ref() == Some(id) {
                instance.worker = None;
                instance.state = InstanceState::Down;
            }
        }
    }
}
