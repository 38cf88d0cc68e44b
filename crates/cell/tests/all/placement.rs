//! Order in which tasks start, and their placement.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task},
};
use primroseroute_domain::work::{End, Schedule, Step};

cases! {
    step_waits_for_its_dependencies => dependencies();
    shorter_job_starts_first => shortest_first();
    long_overdue_job_starts_last => long_overdue();
    label_and_limit_per_worker_are_enforced => constraints();
    long_running_task_is_not_starved_by_batch_tasks => not_starved();
    gang_starts_as_a_whole_or_not_at_all => gang();
    occurrence_starts_when_it_is_due => due();
    rack_with_the_data_is_preferred => data_rack();
}

fn dependencies() {
    let mut fixture = Fixture::new(&["w-1"]);
    let later = Step {
        after: vec![0],
        ..step(1, 1_000)
    };
    let id = fixture.accept(job(vec![step(2, 1_000), later]));
    assert_eq!(starts(&fixture.execute_round()).len(), 2);
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Done);
    fixture.advance(100);
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    fixture.end_run(&"w-1".into(), &task(&id, 0, 1), End::Done);
    fixture.advance(100);
    assert_eq!(starts(&fixture.execute_round())[0].0, task(&id, 1, 0));
}

fn shortest_first() {
    let mut fixture = Fixture::new(&["w-1"]);
    let long = fixture.accept(job(vec![step(3, 6_000)]));
    let short = fixture.accept(job(vec![step(1, 6_000)]));
    let first = starts(&fixture.execute_round());
    assert_eq!(first[0].0, task(&short, 0, 0));
    assert_eq!(first.len(), 1);
    fixture.end_run(&"w-1".into(), &task(&short, 0, 0), End::Done);
    fixture.advance(100);
    assert_eq!(starts(&fixture.execute_round())[0].0, task(&long, 0, 0));
}

// Past three times its objective a job has no value left. It yields to a job that can still be on
// time, even a longer one, and runs when nothing else is waiting.
fn long_overdue() {
    let mut fixture = Fixture::new(&["w-1"]);
    let old = fixture.accept(job(vec![step(1, 6_000)]));
    fixture.advance(60_000);
    let new = fixture.accept(job(vec![step(2, 6_000)]));
    assert_eq!(starts(&fixture.execute_round())[0].0, task(&new, 0, 0));
    for index in 0..2 {
        fixture.end_run(&"w-1".into(), &task(&new, 0, index), End::Done);
        fixture.advance(100);
        fixture.execute_round();
    }
    assert_eq!(fixture.workers_running(&task(&old, 0, 0)).len(), 1);
}

fn constraints() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let apart = Step {
        most_per_worker: 1,
        ..step(3, 100)
    };
    fixture.accept(job(vec![apart]));
    let started = starts(&fixture.execute_round());
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].1, started[1].1);
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 100)
    };
    fixture.accept(job(vec![labelled]));
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
}

// A long-running task needs more capacity than any worker has free, while batch tasks keep arriving.
// Unless a worker is reserved for it, each batch task that ends is replaced by another one.
fn not_starved() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    for _job in 0..2 {
        fixture.accept(job(vec![step(4, 2_500)]));
    }
    fixture.execute_round();
    let long_running = Step {
        lasting: true,
        ..step(1, 9_000)
    };
    let id = fixture.accept(job(vec![long_running]));
    for _round in 0..40 {
        fixture.accept(job(vec![step(1, 2_500)]));
        fixture.advance(100);
        fixture.execute_round();
    }
    assert_eq!(fixture.workers_running(&task(&id, 0, 0)).len(), 1);
}

fn gang() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let together = |count| Step {
        gang: true,
        ..step(count, 6_000)
    };
    fixture.accept(job(vec![together(3)]));
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    let id = fixture.accept(job(vec![together(2)]));
    assert_eq!(starts(&fixture.execute_round()).len(), 2);
    // One member's successful end completes the whole gang.
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Done);
    fixture.end_run(&"w-1".into(), &task(&id, 0, 1), End::Done);
    fixture.advance(100);
    fixture.execute_round();
    fixture.advance(100);
    fixture.execute_round();
    assert!(
        fixture.workers_running(&task(&id, 0, 0)).is_empty()
            && fixture.workers_running(&task(&id, 0, 1)).is_empty()
    );
}

fn due() {
    let mut fixture = Fixture::new(&["w-1"]);
    let mut timed = job(vec![step(1, 1_000)]);
    timed.schedule = Some(Schedule {
        times: 2,
        first_ms: crate::fixture::WALL_AT_ZERO_MS + 1_000,
        interval_ms: 500,
    });
    let id = fixture.accept(timed);
    fixture.advance(900);
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    fixture.advance(100);
    assert_eq!(starts(&fixture.execute_round())[0].0, task(&id, 0, 0));
    fixture.advance(500);
    assert_eq!(starts(&fixture.execute_round())[0].0.occurrence, 1);
}

fn data_rack() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let mut with_rack = crate::fixture::worker("w-2");
    with_rack.labels.insert("r-1".into());
    fixture.cell.register(with_rack);
    let with_data = Step {
        rack: Some("r-1".into()),
        ..step(1, 1_000)
    };
    fixture.accept(job(vec![with_data]));
    assert_eq!(&*starts(&fixture.execute_round())[0].1, "w-2");
}
