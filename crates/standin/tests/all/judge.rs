//! The judge of histories finds what is broken, in journals written by hand.

use crate::cases;
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_standin::site::{
    CAPACITY, Event, Journal,
    check::{Breach, Sent, check},
};

cases! {
    /// A third start of a task after it has crashed three workers.
    third_start_after_three_crashes_is_found => async { crashes() };
    /// A start that brings a worker over its room.
    start_beyond_a_room_is_found => async { room() };
    /// A room that has shrunk, before it had to be known.
    room_that_has_just_shrunk_does_not_count => async { shrunk() };
    /// A start after the end of a run in a worker's second life.
    start_after_an_end_in_a_next_life_is_found => async { next_life() };
    /// A stop beside a task of the step that an order has ended and that isn't at work again.
    stop_beside_a_stopped_task_is_found => async { beside_stopped() };
    /// A stop beside a task that was at work again after an order, and was then lost for another cause.
    stop_beside_a_task_that_was_just_lost_is_not_held => async { beside_lost() };
    /// An end that was listed by another life than the one that acknowledgements reach.
    end_of_a_life_that_is_over_is_not_acknowledged => async { other_life() };
}

const WORKER: &str = "w-1";

fn id() -> JobId {
    JobId::parse("0000000000000001").expect("16 digits")
}

fn task(index: u16) -> TaskId {
    TaskId {
        job: id(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A job of ten tasks of a quarter of a worker each.
fn sent() -> Sent {
    let step = Step {
        count: 10,
        demand: Demand {
            cpu: CAPACITY.cpu / 4,
            ..Demand::default()
        },
        ..Step::default()
    };
    let job = Job {
        payload: "500".into(),
        steps: vec![step],
        schedule: None,
    };
    Sent {
        jobs: [(id(), job)].into(),
        max_attempts: 3,
        ..Sent::default()
    }
}

fn worker() -> Name {
    WORKER.into()
}

fn started(at: u64, index: u16, run: u32) -> Event {
    Event::Started {
        at,
        worker: worker(),
        task: task(index),
        run,
        payload: "500".into(),
    }
}

fn ended(at: u64, index: u16, run: u32, how: Option<End>) -> Event {
    Event::Ended {
        at,
        worker: worker(),
        task: task(index),
        run,
        how,
    }
}

fn judged(events: Vec<Event>) -> Vec<Breach> {
    check(&sent(), &Journal { events })
}

fn crashes() {
    let mut events = Vec::new();
    for run in 1..=6 {
        let at = u64::from(run) * 1_000;
        events.push(started(at, 0, run));
        events.push(Event::Crashed {
            at: at + 5,
            worker: worker(),
            task: task(0),
        });
        events.push(ended(at + 5, 0, run, None));
    }
    assert_eq!(judged(events), vec![Breach::Crashes(task(0), 6_000)]);
}

fn room() {
    let events = (0..5).map(|index| started(100, index, 1)).collect();
    assert_eq!(judged(events), vec![Breach::Full(task(4), 100)]);
}

fn shrunk() {
    let resized = Event::Resized {
        at: 10_000,
        worker: worker(),
        capacity: Demand { cpu: 0, ..CAPACITY },
    };
    let before = vec![resized.clone(), started(14_000, 0, 1)];
    assert_eq!(judged(before), Vec::new());
    let after = vec![resized, started(15_000, 0, 1)];
    assert_eq!(judged(after), vec![Breach::Full(task(0), 15_000)]);
}

fn born(at: u64) -> Event {
    Event::Born {
        at,
        worker: worker(),
    }
}

fn noted(at: u64, number: u64) -> Event {
    Event::Noted {
        at,
        worker: worker(),
        number,
    }
}

fn next_life() {
    let events = vec![
        born(0),
        started(100, 0, 1),
        ended(600, 0, 1, Some(End::Done)),
        noted(700, 1),
        born(5_000),
        started(5_100, 1, 1),
        ended(5_600, 1, 1, Some(End::Done)),
        noted(5_700, 1),
        started(6_000, 1, 2),
    ];
    assert_eq!(judged(events), vec![Breach::AfterDone(task(1), 6_000)]);
}

fn other_life() {
    let events = vec![
        born(0),
        started(100, 0, 1),
        ended(600, 0, 1, Some(End::Done)),
        born(5_000),
        noted(5_100, 1),
        started(6_000, 0, 2),
    ];
    assert_eq!(judged(events), Vec::new());
}

/// What two tasks of a step that may miss one break in a history; the first was stopped at 2,000 ms.
fn away(events: Vec<Event>) -> Vec<Breach> {
    let mut sent = sent();
    let job = sent.jobs.get_mut(&id()).expect("it was sent");
    job.steps[0] = Step {
        count: 2,
        lasting: true,
        may_miss: 1,
        ..Step::default()
    };
    let mut all = vec![
        started(100, 0, 1),
        started(100, 1, 1),
        stopping(2_000, 0, 1),
        ended(2_100, 0, 1, Some(End::Stopped)),
        started(2_200, 0, 2),
    ];
    all.extend(events);
    check(&sent, &Journal { events: all })
}

fn stopping(at: u64, index: u16, run: u32) -> Event {
    Event::Stopping {
        at,
        worker: worker(),
        task: task(index),
        run,
        late: false,
    }
}

fn beside_stopped() {
    let found = vec![Breach::Away(task(1), 2_600)];
    assert_eq!(away(vec![stopping(2_600, 1, 1)]), found);
    // Its next run ends before it is at work, and so does the one after that.
    let lost_early = vec![
        ended(2_300, 0, 2, None),
        started(2_400, 0, 3),
        stopping(2_600, 1, 1),
    ];
    assert_eq!(away(lost_early), found);
}

fn beside_lost() {
    let lost = vec![
        ended(4_000, 0, 2, None),
        started(4_500, 0, 3),
        stopping(4_600, 1, 1),
    ];
    assert_eq!(away(lost), Vec::new());
    let for_long = vec![ended(4_000, 0, 2, None), stopping(8_500, 1, 1)];
    assert_eq!(away(for_long), vec![Breach::Away(task(1), 8_500)]);
}
