//! Observed speed of workers: which are slow, what they still get, and which runs are moved.

mod pool;

use crate::{
    cases,
    fixture::{job, starts, step, task, worker},
};
use pool::{Pool, TASK_MS, WORKERS};
use primroseroute_cell::{Cell, Limits};
use primroseroute_domain::work::{End, Name, Step, TaskId};
use primroseroute_platform::site::Worker;
use std::collections::BTreeSet;

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
    pool.fixture.cell.register(Worker {
        born: 2,
        ..worker(&name)
    });
    pool.slowed.clear();
    pool.run(2_000);
    assert!(!pool.tasks_on(&name).is_empty());
}

fn switched_off() {
    let mut pool = Pool::new();
    let mut limits = Limits::new(6_000, 120_000);
    limits.worker_speed = false;
    pool.fixture.cell = Cell::new(limits, 0);
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
