//! Observed speed of workers: which are slow, what they still get, and which runs are moved.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step, task, worker},
};
use primroseroute_cell::{Millis, Order, Stragglers};
use primroseroute_domain::work::{End, JobId, Name, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

cases! {
    slow_worker_is_found_within_a_second_and_a_half => slow();
    /// A task that takes seven times as long as its siblings made its worker look slow.
    long_task_does_not_make_its_worker_slow => long_task();
    /// All tasks of a step are long, and none has shorter siblings.
    step_of_long_tasks_makes_no_worker_slow => long_step();
    /// The only run of a worker may be a long task.
    worker_with_a_single_run_is_not_slow => single_run();
    tasks_that_differ_by_half_make_no_worker_slow => uneven();
    /// Runs seemed to stand still while their owner did.
    owner_that_was_suspended_finds_no_slow_worker => suspended();
    clock_of_a_worker_that_jumps_does_not_make_it_slow => clock_jumps();
    /// A list that was delayed on its way shows less progress than its arrival suggests.
    worker_whose_lists_are_late_is_not_slow => late_lists();
    percents_that_fall_or_exceed_a_hundred_are_ignored => odd_percents();
    /// Compared as if it had begun at 0, a resumed run makes its siblings look slow.
    resumed_run_is_compared_by_differences => resumed();
    workers_that_are_all_slow_count_as_normal => all_slow();
    slow_worker_gets_nothing_new_until_it_is_fast_again => avoided();
    worker_without_observations_gets_one_probe => probed();
    task_that_only_a_slow_worker_may_run_starts_there => only_slow();
    runs_are_moved_within_a_tenth_and_not_twice => moved();
    run_that_is_nearly_done_stays => nearly_done();
    gang_is_left_alone => gang();
    moved_run_is_no_failed_attempt => no_attempt();
    new_incarnation_has_no_record => incarnation();
    nothing_is_observed_if_switched_off => switched_off();
    slow_workers_count_in_part_in_the_need => need();
}

/// Number of workers of a pool.
const WORKERS: usize = 24;

/// Time that a task takes on a normal worker.
const TASK_MS: u64 = 4_000;

/// A pool whose workers run tasks at their own speed and answer a poll each second, at different
/// times.
struct Pool {
    fixture: Fixture,
    names: Vec<Name>,
    /// Work done of each run, in milliseconds on a normal worker, and the number of the run.
    runs: BTreeMap<(Name, TaskId), (u32, u64)>,
    /// Length of tasks that don't take [`TASK_MS`].
    lengths: BTreeMap<TaskId, u64>,
    /// Workers that are slow, by how much.
    slowed: BTreeMap<Name, u64>,
    /// Delays of lists.
    delays: BTreeMap<Name, Millis>,
    /// Lists on their way, with the time of their arrival.
    sent: Vec<(Millis, Name, WorkerStatus)>,
    ended: BTreeMap<Name, Vec<Ended>>,
    clocks: BTreeMap<Name, i64>,
    born: BTreeMap<Name, u64>,
    suspended: bool,
    /// Percent that is added to what workers show of a task's runs.
    percents: BTreeMap<TaskId, i64>,
    slow: BTreeSet<Name>,
    found: Stragglers,
    orders: Vec<Order>,
}

impl Pool {
    fn new() -> Self {
        Self::of(WORKERS)
    }

    fn of(count: usize) -> Self {
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
    fn fill(&mut self, beside: u16) -> JobId {
        let count = u16::try_from(self.names.len()).expect("few workers") * beside;
        let spread = Step {
            most_per_worker: beside,
            ..step(count, 4_000 / u64::from(beside))
        };
        let id = self.fixture.accept(job(vec![spread]));
        self.round();
        id
    }

    fn round(&mut self) {
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
        self.orders.extend(output.orders);
        self.found.moved.extend(output.stragglers.moved);
    }

    fn end(&mut self, worker: &Name, task: &TaskId, how: End) {
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
        }
    }

    /// Advances the pool by steps of 50 ms.
    fn run(&mut self, millis: Millis) {
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

    fn slow_down(&mut self, worker: usize) -> Name {
        let name = Name::clone(&self.names[worker]);
        self.slowed.insert(Name::clone(&name), 7);
        name
    }

    fn tasks_on(&self, worker: &Name) -> Vec<TaskId> {
        let own = self.runs.keys().filter(|(on, _task)| on == worker);
        own.map(|(_on, task)| task.clone()).collect()
    }

    /// Makes some tasks on a worker take seven times as long as others.
    fn lengthen(&mut self, worker: usize, count: usize) {
        let name = Name::clone(&self.names[worker]);
        for task in self.tasks_on(&name).into_iter().take(count) {
            self.lengths.insert(task, 7 * TASK_MS);
        }
    }

    fn assert_none_slow(&mut self, millis: Millis) {
        for _part in 0..millis / 250 {
            self.run(250);
            assert_eq!(self.slow, BTreeSet::new(), "at {}", self.fixture.now);
        }
    }
}

fn slow() {
    for from in (1_000..2_000).step_by(100) {
        let mut pool = Pool::new();
        pool.fill(4);
        pool.run(from);
        let name = pool.slow_down(3);
        pool.run(1_500);
        assert_eq!(pool.slow, [name].into(), "slow from {from} on");
    }
}

fn long_task() {
    let mut pool = Pool::new();
    pool.fill(4);
    pool.lengthen(3, 1);
    pool.assert_none_slow(3_000);
}

fn long_step() {
    let mut pool = Pool::new();
    pool.fill(2);
    let short = pool.fixture.accept(job(vec![step(40, 100)]));
    pool.round();
    let long: Vec<TaskId> = pool.runs.keys().map(|(_on, task)| task.clone()).collect();
    for task in long.into_iter().filter(|task| task.job != short) {
        pool.lengths.insert(task, 7 * TASK_MS);
    }
    pool.assert_none_slow(3_500);
}

fn single_run() {
    let mut pool = Pool::new();
    pool.fill(1);
    pool.lengthen(3, 1);
    pool.assert_none_slow(3_000);
}

fn uneven() {
    let mut pool = Pool::new();
    pool.fill(4);
    let tasks: Vec<TaskId> = pool.runs.keys().map(|(_on, task)| task.clone()).collect();
    for (number, task) in (0..).zip(tasks) {
        let percent = [50, 80, 100, 120, 150][number % 5];
        pool.lengths.insert(task, TASK_MS * percent / 100);
    }
    pool.assert_none_slow(5_000);
}

fn suspended() {
    for pause in [300, 900, 1_400, 3_000] {
        let mut pool = Pool::new();
        pool.fill(4);
        pool.run(1_000);
        pool.suspended = true;
        pool.run(pause);
        pool.suspended = false;
        pool.assert_none_slow(1_500);
    }
}

fn clock_jumps() {
    for jump in [-60_000, -2_000, -500, 500, 2_000, 60_000] {
        let mut pool = Pool::new();
        pool.fill(4);
        pool.run(1_000);
        pool.clocks.insert("w-03".into(), jump);
        pool.assert_none_slow(2_500);
    }
}

fn late_lists() {
    let mut pool = Pool::new();
    pool.fill(4);
    pool.run(1_000);
    pool.delays.insert("w-03".into(), 1_200);
    pool.assert_none_slow(2_500);
}

fn odd_percents() {
    for added in [-60, 150] {
        let mut pool = Pool::new();
        pool.fill(4);
        pool.run(2_000);
        for task in pool.tasks_on(&"w-03".into()) {
            pool.percents.insert(task, added);
        }
        pool.assert_none_slow(1_500);
    }
}

fn resumed() {
    let mut pool = Pool::new();
    let id = pool.fill(4);
    // A successor doesn't know when the runs began.
    pool.run(2_000);
    pool.fixture.replace_owner();
    for index in 0..40 {
        pool.percents.insert(task(&id, 0, index), 30);
    }
    pool.assert_none_slow(1_800);
}

fn all_slow() {
    for from in [1_000, 1_150, 1_350, 1_700] {
        let mut pool = Pool::new();
        pool.fill(4);
        pool.run(from);
        for number in 0..WORKERS {
            pool.slow_down(number);
        }
        pool.assert_none_slow(4_000);
        assert_eq!(pool.found.moved, Vec::new());
    }
}

fn avoided() {
    let mut pool = Pool::new();
    pool.fill(8);
    pool.run(500);
    let name = pool.slow_down(3);
    pool.run(1_500);
    assert_eq!(pool.slow, [Name::clone(&name)].into());
    pool.orders.clear();
    let many = pool.fixture.accept(job(vec![step(60, 1_000)]));
    pool.run(1_500);
    let placed = starts(&pool.orders);
    let placed: Vec<&Name> = placed.iter().map(|(_task, worker)| worker).collect();
    assert!(!placed.is_empty() && !placed.contains(&&name), "{placed:?}");
    pool.slowed.clear();
    pool.run(2_000);
    assert_eq!(pool.slow, BTreeSet::new());
    for _job in 0..6 {
        pool.fixture.accept(job(vec![step(60, 1_000)]));
    }
    pool.run(4_000);
    assert!(
        starts(&pool.orders)
            .iter()
            .any(|(_task, worker)| *worker == name),
        "{many}"
    );
}

fn probed() {
    let mut pool = Pool::new();
    pool.fill(4);
    pool.run(500);
    let name = pool.slow_down(3);
    pool.run(1_500);
    assert_eq!(pool.slow, [Name::clone(&name)].into());
    for task in pool.tasks_on(&name) {
        pool.end(&name, &task, End::Failed);
    }
    pool.run(3_000);
    pool.orders.clear();
    // Nothing is known of it after six seconds: it gets one task, which is slow as well.
    pool.fill(8);
    pool.run(4_000);
    pool.fill(8);
    pool.run(2_500);
    let on = starts(&pool.orders);
    let on = on.iter().filter(|(_task, worker)| *worker == name);
    assert_eq!(on.count(), 1, "{:?}", pool.tasks_on(&name));
}

fn only_slow() {
    let mut pool = Pool::new();
    pool.fill(8);
    let name = pool.slow_down(3);
    let mut labelled = worker(&name);
    labelled.labels.insert("disk".into());
    pool.fixture.cell.register(labelled);
    pool.run(1_500);
    assert_eq!(pool.slow, [Name::clone(&name)].into());
    let bound = Step {
        label: Some("disk".into()),
        ..step(1, 100)
    };
    let id = pool.fixture.accept(job(vec![bound]));
    pool.run(3_000);
    let placed = starts(&pool.orders);
    assert!(placed.contains(&(task(&id, 0, 0), name)));
}

fn moved() {
    let mut pool = Pool::new();
    pool.fill(10);
    pool.run(200);
    let names: BTreeSet<Name> = [3, 9, 15].map(|number| pool.slow_down(number)).into();
    pool.run(12_000);
    assert!(!pool.found.moved.is_empty());
    let batch = WORKERS * 10;
    assert!(pool.found.moved.len() <= batch / 10 * 2);
    let mut tasks = BTreeSet::new();
    for moved in &pool.found.moved {
        assert!(names.contains(&moved.worker) && moved.left_ms > moved.elsewhere_ms + 500);
        assert!(tasks.insert(moved.task.clone()), "{} twice", moved.task);
        // Its next run was on another worker.
        let next = starts(&pool.orders)
            .into_iter()
            .rfind(|(task, _on)| *task == moved.task);
        assert!(next.is_some_and(|(_task, on)| !names.contains(&on)));
    }
}

fn nearly_done() {
    let mut pool = Pool::new();
    pool.fill(4);
    pool.run(3_600);
    pool.slow_down(3);
    pool.run(2_000);
    assert_eq!(pool.found.moved, Vec::new());
}

fn gang() {
    let mut pool = Pool::new();
    let together = Step {
        gang: true,
        ..step(48, 2_500)
    };
    pool.fixture.accept(job(vec![together, step(40, 2_500)]));
    pool.round();
    pool.slow_down(3);
    pool.run(3_000);
    assert!(pool.found.moved.iter().all(|moved| moved.task.step == 1));
}

fn no_attempt() {
    let mut pool = Pool::new();
    let id = pool.fill(10);
    for number in [3, 9, 15] {
        pool.slow_down(number);
    }
    pool.run(40_000);
    assert!(!pool.found.moved.is_empty());
    let ended = pool.fixture.round();
    assert!(pool.runs.is_empty() && ended.orders.is_empty(), "{id}");
    // All tasks have run to their end: none was abandoned after two attempts.
    let done = pool
        .ended
        .values()
        .flatten()
        .filter(|ended| ended.how == End::Done);
    assert_eq!(done.count(), WORKERS * 10);
}

fn incarnation() {
    let mut pool = Pool::new();
    pool.fill(4);
    pool.run(500);
    let name = pool.slow_down(3);
    pool.run(1_500);
    assert_eq!(pool.slow, [Name::clone(&name)].into());
    pool.runs.retain(|(on, _task), _run| *on != name);
    pool.ended.remove(&name);
    pool.born.insert(Name::clone(&name), 2);
    pool.slowed.clear();
    pool.run(2_000);
    assert!(!pool.tasks_on(&name).is_empty());
}

fn switched_off() {
    let mut pool = Pool::new();
    let mut limits = primroseroute_cell::Limits::new(6_000, 120_000);
    limits.worker_speed = false;
    pool.fixture.cell = primroseroute_cell::Cell::new(limits, 0);
    for name in &pool.names {
        pool.fixture.cell.register(worker(name));
    }
    pool.fixture.poll_all();
    pool.fill(4);
    pool.slow_down(3);
    pool.assert_none_slow(3_000);
}

fn need() {
    let mut pool = Pool::new();
    pool.fill(4);
    let before = pool.fixture.round().scaling;
    for number in [3, 9, 15] {
        pool.slow_down(number);
    }
    pool.run(2_000);
    assert_eq!(pool.slow.len(), 3);
    // Each of them is worth a seventh of a worker.
    let after = pool.fixture.round().scaling;
    assert_eq!(after.unusable, before.unusable + 3);
}
