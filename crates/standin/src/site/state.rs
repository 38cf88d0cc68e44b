//! State of the site, and its changes over time.

use super::{
    CallerFaults, Options,
    journal::{Event, Journal},
    rate::{RateLimiter, Traffic},
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

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A consequence of a crash that is due later.
#[derive(Clone, Debug)]
pub(crate) enum Scheduled {
    /// Removes the registration of this worker.
    Unregister(Name),
    /// Restarts the worker of this instance.
    Restart(Name),
}

pub(crate) struct State {
    pub options: Options,
    pub rng: ChaCha8Rng,
    pub store: Store,
    pub reads: RateLimiter,
    /// By caller and table.
    pub traffic: BTreeMap<(Name, Name), Traffic>,
    pub workers: BTreeMap<Name, Worker>,
    pub instances: BTreeMap<Name, Instance>,
    pub registrations: Vec<(Version, Registration)>,
    pub instructions: Vec<(Version, Instruction)>,
    pub waves: BTreeMap<u64, bool>,
    /// Instances that were already maintained for a wave: repeated orders have no effect.
    pub maintained: BTreeSet<(u64, Name)>,
    pub faults: BTreeMap<Name, CallerFaults>,
    pub journal: Journal,
    pub workers_created: u64,
    /// The last worker of each instance.
    pub last_workers: BTreeMap<Name, Name>,
    /// Consequences of crashes, with their due times.
    pub scheduled: Vec<(u64, Scheduled)>,
}

pub(crate) struct Shared {
    pub options: Options,
    pub state: Mutex<State>,
    pub changed: Notify,
    pub start: Instant,
}

impl Shared {
    /// Milliseconds since the site opened.
    pub(crate) fn now(&self) -> u64 {
        millis(self.start.elapsed())
    }

    /// Advances the state to the current time, applies a change and wakes all waiting calls.
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
    /// Advances all workers to `now`.
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
        let all = std::mem::take(&mut self.scheduled).into_iter();
        let (due, rest): (Vec<_>, Vec<_>) = all.partition(|(at, _scheduled)| *at <= now);
        self.scheduled = rest;
        for (at, scheduled) in due {
            match scheduled {
                Scheduled::Unregister(worker) => self.unregister(&worker),
                Scheduled::Restart(instance) => self.restart(&instance, at),
            }
        }
    }

    fn crash_by_task(&mut self, at: u64, worker: &Name, task: TaskId) {
        let mut instances = self.instances.values();
        let instance = instances.find(|known| known.worker.as_ref() == Some(worker));
        let instance = instance.map(|known| Name::clone(&known.name));
        self.journal.add(Event::Crashed {
            at,
            worker: Name::clone(worker),
            task,
        });
        self.crash(worker, at);
        let restart_at = at + millis(self.options.restart);
        let restart = instance.map(|instance| (restart_at, Scheduled::Restart(instance)));
        self.scheduled.extend(restart);
    }

    /// Crashes a worker without notice; its registration is removed later.
    pub(crate) fn crash(&mut self, worker: &Name, at: u64) {
        self.terminate(worker, at);
        let unregister_at = at + millis(self.options.registration);
        let worker = Name::clone(worker);
        self.scheduled
            .push((unregister_at, Scheduled::Unregister(worker)));
    }

    /// Restarts the worker of an instance, if the instance is down.
    fn restart(&mut self, instance: &Name, now: u64) {
        let down = self.instances.get(instance);
        if down.is_some_and(|known| known.state == InstanceState::Down) {
            self.restart_worker(instance, now);
        }
    }

    pub(crate) fn register(&mut self, id: &Name) {
        let worker = self.workers.get(id).map(|worker| worker.info.clone());
        let version = self.store.bump();
        let id = Name::clone(id);
        self.registrations
            .push((version, Registration { id, worker }));
    }

    /// Whether the responses of a worker arrive.
    pub(crate) fn can_respond(&self, id: &Name) -> bool {
        self.workers.get(id).is_none_or(Worker::can_respond)
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

    /// Starts a worker on `instance` after a crash, sometimes under the id of the previous one.
    pub(crate) fn restart_worker(&mut self, instance: &Name, now: u64) {
        let share = self.options.same_id;
        let same = share > 0.0 && self.rng.random_bool(share);
        let last = self.last_workers.get(instance).map(Name::clone);
        match last.filter(|_id| same) {
            Some(id) => self.restart_worker_as(instance, &id, now),
            None => self.start_worker(instance, now),
        }
    }

    /// Starts a new incarnation on `instance` with the id, address, labels and pool of the previous worker.
    pub(crate) fn restart_worker_as(&mut self, instance: &Name, id: &Name, now: u64) {
        let (Some(known), Some(previous)) =
            (self.instances.get_mut(instance), self.workers.get(id))
        else {
            return;
        };
        known.state = InstanceState::Up;
        known.worker = Some(Name::clone(id));
        let mut worker = previous.next_incarnation(now);
        worker.clock_lag_permille = self.rng.random_range(0..20);
        self.begin_incarnation(instance, worker, now);
    }

    fn begin_incarnation(&mut self, instance: &Name, mut worker: Worker, now: u64) {
        if !self.options.reports_born {
            worker.info.born = 0;
        }
        let id = Name::clone(&worker.info.id);
        self.journal.add(Event::Born {
            at: now,
            worker: Name::clone(&id),
        });
        self.last_workers
            .insert(Name::clone(instance), Name::clone(&id));
        self.scheduled.retain(
            |(_at, scheduled)| !matches!(scheduled, Scheduled::Unregister(worker) if *worker == id),
        );
        self.workers.insert(Name::clone(&id), worker);
        self.register(&id);
    }

    /// Brings `instance` up with a new worker, which registers at once; without a worker in a standby pool.
    pub(crate) fn start_worker(&mut self, instance: &Name, now: u64) {
        let standby = self.standby();
        let Some(known) = self.instances.get_mut(instance) else {
            return;
        };
        let pool = Name::clone(&known.pool);
        if standby.contains(&pool) {
            known.state = InstanceState::Up;
            return;
        }
        self.workers_created += 1;
        let id: Name = format!("w-{}", self.workers_created).into();
        known.state = InstanceState::Up;
        known.worker = Some(Name::clone(&id));
        let mut worker = Worker::new(&id, pool, now, self.workers_created);
        known.labels = worker.info.labels.iter().cloned().collect();
        worker.clock_lag_permille = self.rng.random_range(0..20);
        self.begin_incarnation(instance, worker, now);
    }

    /// Terminates a worker and takes its instance down.
    pub(crate) fn terminate(&mut self, id: &Name, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.terminate(id, now, &mut self.journal);
        }
        for instance in self.instances.values_mut() {
            if instance.worker.as_ref() == Some(id) {
                instance.worker = None;
                instance.state = InstanceState::Down;
            }
        }
    }
}
