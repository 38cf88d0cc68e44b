//! A pool of simulated workers that run tasks at their own speed.

use crate::fixture::{Fixture, WALL_AT_ZERO_MS, job, step};
use primroseroute_cell::{Millis, Order, Stragglers};
use primroseroute_domain::work::{End, JobId, Name, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Number of workers of a pool.
pub(super) const WORKERS: usize = 24;

/// Time that a task takes on a normal worker.
pub(super) const TASK_MS: u64 = 4_000;

/// A pool whose workers run tasks at their own speed and answer a poll each second, at different
/// times.
pub(super) struct Pool {
    pub fixture: Fixture,
    pub names: Vec<Name>,
    /// Work done of each run, in milliseconds on a normal worker, and the number of the run.
    pub runs: BTreeMap<(Name, TaskId), (u32, u64)>,
    /// Length of tasks that don't take [`TASK_MS`].
    pub lengths: BTreeMap<TaskId, u64>,
    /// Workers that are slow, by how much.
    pub slowed: BTreeMap<Name, u64>,
    /// Delays of lists.
    pub delays: BTreeMap<Name, Millis>,
    /// Lists on their way, with the time of their arrival.
    pub sent: Vec<(Millis, Name, WorkerStatus)>,
    pub ended: BTreeMap<Name, Vec<Ended>>,
    pub clocks: BTreeMap<Name, i64>,
    pub born: BTreeMap<Name, u64>,
    pub suspended: bool,
    /// Percent that is added to what workers show of a task's runs.
    pub percents: BTreeMap<TaskId, i64>,
    pub slow: BTreeSet<Name>,
    pub found: Stragglers,
    pub orders: Vec<Order>,
}

impl Pool {
    pub(super) fn new() -> Self {
        Self::of(WORKERS)
    }

    pub(super) fn of(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("w-{number:02}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        Self {
            fixture: Fixture::new(&names),
            names: names.iter().map(|name| Name::from(*name)).collect(),
            runs: BTreeMap::new(),
            lengths: BTreeMap::new(),
            slowed: BTreeMap::new(),
            delays: BTreeMap::new(),
            sent: Vec::new(),
            ended: BTreeMap::new(),
            clocks: BTreeMap::new(),
            born: BTreeMap::new(),
            suspended: false,
            percents: BTreeMap::new(),
            slow: BTreeSet::new(),
            found: Stragglers::default(),
            orders: Vec::new(),
        }
    }

    /// Gives each worker `beside` tasks of a job, which leave three fifths of it free.
    pub(super) fn fill(&mut self, beside: u16) -> JobId {
        let count = u16::try_from(self.names.len()).expect("few workers") * beside;
        let spread = Step {
            most_per_worker: beside,
            ..step(count, 4_000 / u64::from(beside))
        };
        let id = self.fixture.accept(job(vec![spread]));
        self.round();
        id
    }

    pub(super) fn round(&mut self) {
        let output = self.fixture.round();
        for worker in &output.stragglers.slowed {
            self.slow.insert(Name::clone(&worker.worker));
        }
        for worker in &output.stragglers.recovered {
            self.slow.remove(worker);
        }
        for order in output.immediate_stops.iter().chain(&output.orders) {
            match order {
                Order::Start {
                    worker, task, run, ..
                } => {
                    let key = (Name::clone(worker), task.clone());
                    self.runs.insert(key, (*run, 0));
                }
                Order::Stop { worker, task, .. } => {
                    self.end(&Name::clone(worker), task, End::Stopped);
                }
                Order::Throttle { .. } => {}
            }
            self.fixture.execute(order);
        }
        for worker in output.immediate_polls {
            let list = self.list(&worker);
            self.sent.push((self.fixture.now, worker, list));
        }
        let moved = output.stragglers.moved.len();
        assert!(
            moved <= self.runs.len().div_ceil(10),
            "{moved} runs are moved at once"
        );
        self.orders.extend(output.orders);
        self.found.moved.extend(output.stragglers.moved);
    }

    pub(super) fn end(&mut self, worker: &Name, task: &TaskId, how: End) {
        let Some((run, _done)) = self.runs.remove(&(Name::clone(worker), task.clone())) else {
            return;
        };
        let ended = self.ended.entry(Name::clone(worker)).or_default();
        ended.push(Ended {
            number: ended.len() as u64 + 1,
            task: task.clone(),
            run,
            how,
            checkpoint: None,
        });
    }

    fn list(&self, worker: &Name) -> WorkerStatus {
        let own = self.runs.iter().filter(|((on, _task), _run)| on == worker);
        let running = own.map(|((_on, task), (run, done))| {
            let length = self.lengths.get(task).copied().unwrap_or(TASK_MS);
            let shown = (done * 100 / length).cast_signed();
            let added = self.percents.get(task).copied().unwrap_or(0);
            Running {
                task: task.clone(),
                run: *run,
                checkpoint: None,
                percent: u32::try_from(shown + added).unwrap_or(0),
                load: 0,
            }
        });
        let clock = self.fixture.now.cast_signed() + self.clocks.get(worker).copied().unwrap_or(0);
        WorkerStatus {
            born: self.born.get(worker).copied().unwrap_or(1),
            clock_ms: (clock + 100_000).cast_unsigned(),
            running: running.collect(),
            ended: self.ended.get(worker).cloned().unwrap_or_default(),
            foreign_ends: Vec::new(),
        }
    }

    /// Advances the pool by steps of 50 ms.
    pub(super) fn run(&mut self, millis: Millis) {
        const STEP: u64 = 50;
        for _step in 0..millis / STEP {
            self.fixture.now += STEP;
            let now = self.fixture.now;
            let mut over = Vec::new();
            for ((worker, task), (_run, done)) in &mut self.runs {
                *done += STEP / self.slowed.get(worker).copied().unwrap_or(1);
                if *done >= self.lengths.get(task).copied().unwrap_or(TASK_MS) {
                    over.push((Name::clone(worker), task.clone()));
                }
            }
            for (worker, task) in &over {
                self.end(worker, task, End::Done);
            }
            for (number, name) in (0..).zip(self.names.clone()) {
                let is_due = (now + number * 150) % 1_000 < STEP;
                if is_due || over.iter().any(|(worker, _task)| *worker == name) {
                    let delay = self.delays.get(&name).copied().unwrap_or(0);
                    let list = self.list(&name);
                    self.sent.push((now + delay, name, list));
                }
            }
            if self.suspended {
                continue;
            }
            let sent = std::mem::take(&mut self.sent);
            let (due, later) = sent.into_iter().partition(|(at, ..)| *at <= now);
            self.sent = later;
            for (_at, worker, list) in due {
                let sent_at = now.saturating_sub(1_000);
                let wall = WALL_AT_ZERO_MS + now;
                self.fixture
                    .cell
                    .apply_status(&worker, &list, sent_at, now, wall);
            }
            self.round();
        }
    }

    pub(super) fn slow_down(&mut self, worker: usize) -> Name {
        let name = Name::clone(&self.names[worker]);
        self.slowed.insert(Name::clone(&name), 7);
        name
    }

    pub(super) fn tasks_on(&self, worker: &Name) -> Vec<TaskId> {
        let own = self.runs.keys().filter(|(on, _task)| on == worker);
        own.map(|(_on, task)| task.clone()).collect()
    }

    /// Makes some tasks on a worker take seven times as long as others.
    pub(super) fn lengthen(&mut self, worker: usize, count: usize) {
        let name = Name::clone(&self.names[worker]);
        for task in self.tasks_on(&name).into_iter().take(count) {
            self.lengths.insert(task, 7 * TASK_MS);
        }
    }

    pub(super) fn assert_none_slow(&mut self, millis: Millis) {
        for _part in 0..millis / 250 {
            self.run(250);
            assert_eq!(self.slow, BTreeSet::new(), "at {}", self.fixture.now);
        }
    }
}
