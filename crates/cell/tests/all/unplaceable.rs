//! Steps whose tasks no instance of the fleet can run.

use crate::{
    cases,
    fixture::{CAPACITY, Fixture, job, step, task, worker},
};
use primroseroute_cell::{Fleet, Inventory, Outcome, RoundOutput};
use primroseroute_domain::work::{Demand, Step};
use primroseroute_platform::site::Worker;
use std::sync::Arc;

cases! {
    /// Guards against a pool that takes instances from others for tasks that no worker can hold.
    task_larger_than_any_instance_adds_no_need => adds_no_need(&larger_than_any_instance(), 1);
    /// Guards against the same through a label that no instance has.
    label_that_no_instance_has_adds_no_need => adds_no_need(&unknown_label(), 1);
    /// Guards against the same through a gang that all instances together can't hold.
    gang_larger_than_the_fleet_adds_no_need => adds_no_need(&Step { gang: true, ..step(30, 9_000) }, 1);
    /// Guards against the same through the width of a spread step.
    spread_of_tasks_that_fit_nowhere_adds_no_need
        => adds_no_need(&Step { most_per_worker: 1, ..larger_than_any_instance() }, 1);
    /// Guards against sums and products that overflow.
    largest_demand_adds_no_need => adds_no_need(&with_demand(u64::MAX), 1);
    /// Guards against a forecast by the work of jobs that never run.
    batch_job_that_fits_nowhere_is_no_inflow => adds_no_need(
        &Step { lasting: false, estimate_ms: u64::MAX >> 2, ..larger_than_any_instance() }, 1);
    /// Guards against a registration without a worker that states a capacity for any task.
    capacity_that_no_worker_stands_behind_makes_nothing_placeable => stated_capacity();
    /// Guards against tasks that never get the only kind of instance that holds them.
    task_that_the_largest_instance_holds_counts => adds_need_for_largest();
    /// Guards against a job that waits on after an instance that holds it has joined.
    step_is_placed_once_an_instance_can_run_it => placed_later();
    /// Guards against a step that is set aside because a start couldn't be sent to the only worker that holds it.
    worker_that_a_start_did_not_reach_counts => unsent_start();
    /// Guards against submissions that are rejected because of work that never runs.
    blocked_work_keeps_no_job_waiting => no_backlog();
    step_is_reported_once => reported_once();
    pool_of_a_fleet_that_is_not_known_counts_everything => unknown_fleet();
    /// Guards against a new owner that asks for instances before it has listed them.
    new_owner_goes_by_the_workers_of_its_pool => unlisted_fleet();
}

fn with_demand(memory: u64) -> Step {
    Step {
        demand: Demand {
            memory,
            ..step(1, 2_000).demand
        },
        lasting: true,
        ..step(100, 2_000)
    }
}

/// A caller gave 64 GB in bytes in place of MB.
fn larger_than_any_instance() -> Step {
    with_demand(64 << 30)
}

fn unknown_label() -> Step {
    Step {
        label: Some("no-such-rack".into()),
        lasting: true,
        ..step(100, 2_000)
    }
}

/// A pool with two of the fleet's three workers; the third instance is as large as `largest`.
fn fixture(largest: Demand) -> Fixture {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let mut fleet = Inventory::default();
    let labels = worker("w-1").labels;
    fleet.add(CAPACITY, &labels);
    fleet.add(CAPACITY, &labels);
    fleet.add(largest, &labels);
    fixture.cell.set_fleet(Fleet::Known(Arc::new(fleet)));
    fixture
}

fn next_round(fixture: &mut Fixture) -> RoundOutput {
    fixture.now += 25;
    fixture.poll_all();
    fixture.round()
}

fn adds_no_need(unplaceable: &Step, expected: u64) {
    let mut fixture = fixture(CAPACITY);
    for _job in 0..3 {
        fixture.accept(job(vec![unplaceable.clone()]));
    }
    for _round in 0..100 {
        let output = next_round(&mut fixture);
        assert_eq!(output.orders, []);
        assert_eq!(output.scaling.workers, expected);
        assert_eq!(output.scaling.now, expected);
        assert_eq!(output.scaling.soon, expected);
        assert_eq!(output.scaling.late, 0);
    }
    assert_eq!(fixture.cell.unplaceable_steps(), 3);
}

fn stated_capacity() {
    let mut fixture = fixture(CAPACITY);
    fixture.cell.register(Worker {
        capacity: CAPACITY.times(u64::MAX),
        ..worker("without-a-worker")
    });
    fixture.accept(job(vec![larger_than_any_instance()]));
    let output = next_round(&mut fixture);
    assert_eq!(fixture.cell.unplaceable_steps(), 1);
    assert_eq!(output.scaling.now, 1);
    assert_eq!(fixture.cell.largest_host(), Some(CAPACITY));
}

/// Only one of the fleet's instances can run one of the hundred tasks at a time.
fn adds_need_for_largest() {
    let largest = CAPACITY.times(3);
    let mut fixture = fixture(largest);
    fixture.accept(job(vec![with_demand(largest.memory)]));
    let output = next_round(&mut fixture);
    assert_eq!(output.unplaceable, []);
    assert_eq!(output.scaling.waiting.memory, largest.memory);
    assert_eq!(output.scaling.now, 3);
}

fn placed_later() {
    let mut fixture = fixture(CAPACITY);
    let large = CAPACITY.times(2);
    let id = fixture.accept(job(vec![Step {
        count: 1,
        ..with_demand(large.memory)
    }]));
    assert_eq!(next_round(&mut fixture).orders, []);
    fixture.cell.register(Worker {
        capacity: large,
        ..worker("w-3")
    });
    fixture.running.insert("w-3".into(), [].into());
    let output = next_round(&mut fixture);
    assert_eq!(output.orders.len(), 1);
    assert_eq!(output.placeable_again, [(id, 0)]);
}

fn unsent_start() {
    let mut fixture = fixture(CAPACITY);
    let large = Worker {
        capacity: CAPACITY.times(2),
        ..worker("w-3")
    };
    let needed = Step {
        count: 1,
        ..with_demand(large.capacity.memory)
    };
    let id = fixture.accept(job(vec![needed]));
    fixture.cell.register(large);
    fixture.running.insert("w-3".into(), [].into());
    assert_eq!(next_round(&mut fixture).orders.len(), 1);
    let now = fixture.now;
    fixture
        .cell
        .record_start_outcome(&"w-3".into(), &task(&id, 0, 0), 1, Outcome::Unsent, now);
    fixture.cell.register(worker("w-4"));
    fixture.round();
    assert_eq!(fixture.cell.unplaceable_steps(), 0);
}

fn no_backlog() {
    let mut fixture = fixture(CAPACITY);
    let blocked = Step {
        lasting: false,
        ..larger_than_any_instance()
    };
    let after = Step {
        after: vec![0],
        ..step(100, 9_000)
    };
    fixture.accept_from(Some("account"), job(vec![blocked, after]));
    next_round(&mut fixture);
    let wall_ms = crate::fixture::WALL_AT_ZERO_MS + fixture.now;
    let backlog = fixture.cell.backlog(wall_ms);
    let works = backlog.accounts.values();
    let work = works.map(|waiting| waiting.within_core_ms + waiting.beyond_core_ms);
    assert_eq!(work.sum::<u64>(), 0);
}

fn reported_once() {
    let mut fixture = fixture(CAPACITY);
    let id = fixture.accept(job(vec![larger_than_any_instance()]));
    let found = next_round(&mut fixture).unplaceable;
    let found: Vec<_> = found.iter().map(|step| (&step.job, step.step)).collect();
    assert_eq!(found, [(&id, 0)]);
    assert_eq!(next_round(&mut fixture).unplaceable, []);
}

fn unknown_fleet() {
    let mut fixture = fixture(CAPACITY);
    fixture.cell.set_fleet(Fleet::Unknown);
    fixture.accept(job(vec![with_demand(CAPACITY.memory * 2)]));
    let output = next_round(&mut fixture);
    assert_eq!(output.unplaceable, []);
    assert_eq!(output.scaling.now, 200);
}

fn unlisted_fleet() {
    let mut fixture = fixture(CAPACITY);
    fixture.cell.set_fleet(Fleet::Unlisted);
    fixture.accept(job(vec![larger_than_any_instance()]));
    assert_eq!(next_round(&mut fixture).scaling.now, 1);
}
