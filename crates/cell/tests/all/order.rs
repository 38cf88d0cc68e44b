//! What starts, in which order, and where.

use crate::{
    bed::{Bed, job, starts, step, task},
    cases,
};
use primroseroute_domain::work::{End, Schedule, Step};

cases! {
    step_waits_for_the_steps_before_it => steps();
    shorter_job_starts_first => shorter();
    hopeless_job_starts_last => hopeless();
    label_and_limit_per_worker_are_kept => limits();
    lasting_task_is_not_starved_by_short_ones => not_starved();
    gang_starts_whole_or_not_at_all => gang();
    occurrence_starts_when_it_is_due => due();
    rack_of_the_data_is_preferred => rack();
}

fn steps() {
    let mut bed = Bed::new(&["w-1"]);
    let later = Step {
        after: vec![0],
        ..step(1, 1_000)
    };
    let id = bed.accept(job(vec![step(2, 1_000), later]));
    assert_eq!(starts(&bed.tick()).len(), 2);
    bed.end(&"w-1".into(), &task(&id, 0, 0), End::Done);
    bed.after(100);
    assert_eq!(starts(&bed.tick()), Vec::new());
    bed.end(&"w-1".into(), &task(&id, 0, 1), End::Done);
    bed.after(100);
    assert_eq!(starts(&bed.tick())[0].0, task(&id, 1, 0));
}

fn shorter() {
    let mut bed = Bed::new(&["w-1"]);
    let long = bed.accept(job(vec![step(3, 6_000)]));
    let short = bed.accept(job(vec![step(1, 6_000)]));
    let first = starts(&bed.tick());
    assert_eq!(first[0].0, task(&short, 0, 0));
    assert_eq!(first.len(), 1);
    bed.end(&"w-1".into(), &task(&short, 0, 0), End::Done);
    bed.after(100);
    assert_eq!(starts(&bed.tick())[0].0, task(&long, 0, 0));
}

// A job that is past three times its objective earns nothing more. It gives way to one that can
// still be in time, though it is shorter, and runs when nothing else waits.
fn hopeless() {
    let mut bed = Bed::new(&["w-1"]);
    let old = bed.accept(job(vec![step(1, 6_000)]));
    bed.after(60_000);
    let new = bed.accept(job(vec![step(2, 6_000)]));
    assert_eq!(starts(&bed.tick())[0].0, task(&new, 0, 0));
    for index in 0..2 {
        bed.end(&"w-1".into(), &task(&new, 0, index), End::Done);
        bed.after(100);
        bed.tick();
    }
    assert_eq!(bed.on(&task(&old, 0, 0)).len(), 1);
}

fn limits() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let apart = Step {
        most_per_worker: 1,
        ..step(3, 100)
    };
    bed.accept(job(vec![apart]));
    let started = starts(&bed.tick());
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].1, started[1].1);
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 100)
    };
    bed.accept(job(vec![labelled]));
    assert_eq!(starts(&bed.tick()), Vec::new());
}

// A lasting task needs more room than any worker has free, while short tasks keep coming. Without a
// worker kept for it, each short task that ends would be followed by another.
fn not_starved() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    for _job in 0..2 {
        bed.accept(job(vec![step(4, 2_500)]));
    }
    bed.tick();
    let lasting = Step {
        lasting: true,
        ..step(1, 9_000)
    };
    let id = bed.accept(job(vec![lasting]));
    for _round in 0..40 {
        bed.accept(job(vec![step(1, 2_500)]));
        bed.after(100);
        bed.tick();
    }
    assert_eq!(bed.on(&task(&id, 0, 0)).len(), 1);
}

fn gang() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let together = |count| Step {
        gang: true,
        ..step(count, 6_000)
    };
    bed.accept(job(vec![together(3)]));
    assert_eq!(starts(&bed.tick()), Vec::new());
    let id = bed.accept(job(vec![together(2)]));
    assert_eq!(starts(&bed.tick()).len(), 2);
    // One end that is done stands for all.
    bed.end(&"w-1".into(), &task(&id, 0, 0), End::Done);
    bed.end(&"w-1".into(), &task(&id, 0, 1), End::Done);
    bed.after(100);
    bed.tick();
    bed.after(100);
    bed.tick();
    assert!(bed.on(&task(&id, 0, 0)).is_empty() && bed.on(&task(&id, 0, 1)).is_empty());
}

fn due() {
    let mut bed = Bed::new(&["w-1"]);
    let mut timed = job(vec![step(1, 1_000)]);
    timed.schedule = Some(Schedule {
        times: 2,
        first_ms: crate::bed::WALL + 1_000,
        interval_ms: 500,
    });
    let id = bed.accept(timed);
    bed.after(900);
    assert_eq!(starts(&bed.tick()), Vec::new());
    bed.after(100);
    assert_eq!(starts(&bed.tick())[0].0, task(&id, 0, 0));
    bed.after(500);
    assert_eq!(starts(&bed.tick())[0].0.occurrence, 1);
}

fn rack() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let mut near = crate::bed::worker("w-2");
    near.labels.insert("r-1".into());
    bed.cell.register(near);
    let with_data = Step {
        rack: Some("r-1".into()),
        ..step(1, 1_000)
    };
    bed.accept(job(vec![with_data]));
    assert_eq!(&*starts(&bed.tick())[0].1, "w-2");
}
