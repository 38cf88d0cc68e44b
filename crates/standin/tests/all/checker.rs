//! The history checker finds each breach in handwritten journals.

use crate::cases;
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_standin::site::{
    CAPACITY, Event, Journal,
    check::{Breach, Sent, check},
};

cases! {
    /// A third start of a task after it has crashed three workers.
    third_start_after_three_crashes_is_found => async { crashes() };
    /// A start that exceeds a worker's capacity.
    start_beyond_the_capacity_is_found => async { over_capacity() };
    /// A start beyond a reduced capacity that the entries need not know yet.
    capacity_that_was_just_reduced_is_not_enforced => async { reduced_capacity() };
    /// A start after the task succeeded in a worker's second incarnation.
    start_after_an_end_in_the_next_incarnation_is_found => async { next_incarnation() };
    /// A stop while another task of the step was stopped by an order and is not ready again.
    stop_while_another_task_is_stopped_is_found => async { while_other_stopped() };
    /// A stop while another task, which was ready again after an order, was then lost for another cause.
    stop_while_another_task_was_just_lost_is_allowed => async { while_other_lost() };
    /// An end listed by another incarnation than the one that the acknowledgement reaches.
    end_of_a_terminated_incarnation_is_not_acknowledged => async { other_incarnation() };
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

fn breaches(events: Vec<Event>) -> Vec<Breach> {
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
    assert_eq!(breaches(events), vec![Breach::Crashes(task(0), 6_000)]);
}

fn over_capacity() {
    let events = (0..5).map(|index| started(100, index, 1)).collect();
    assert_eq!(breaches(events), vec![Breach::Full(task(4), 100)]);
}

fn reduced_capacity() {
    let resized = Event::Resized {
        at: 10_000,
        worker: worker(),
        capacity: Demand { cpu: 0, ..CAPACITY },
    };
    let before = vec![resized.clone(), started(14_000, 0, 1)];
    assert_eq!(breaches(before), Vec::new());
    let after = vec![resized, started(15_000, 0, 1)];
    assert_eq!(breaches(after), vec![Breach::Full(task(0), 15_000)]);
}

fn born(at: u64) -> Event {
    Event::Born {
        at,
        worker: worker(),
    }
}

fn acknowledged(at: u64, number: u64) -> Event {
    Event::Noted {
        at,
        worker: worker(),
        number,
    }
}

fn next_incarnation() {
    let events = vec![
        born(0),
        started(100, 0, 1),
        ended(600, 0, 1, Some(End::Done)),
        acknowledged(700, 1),
        born(5_000),
        started(5_100, 1, 1),
        ended(5_600, 1, 1, Some(End::Done)),
        acknowledged(5_700, 1),
        started(6_000, 1, 2),
    ];
    assert_eq!(breaches(events), vec![Breach::AfterDone(task(1), 6_000)]);
}

fn other_incarnation() {
    let events = vec![
        born(0),
        started(100, 0, 1),
        ended(600, 0, 1, Some(End::Done)),
        born(5_000),
        acknowledged(5_100, 1),
        started(6_000, 0, 2),
    ];
    assert_eq!(breaches(events), Vec::new());
}

/// Breaches in a history of two tasks of a step of which one may be unavailable; the first was stopped at 2,000 ms.
fn breaches_after_stop(events: Vec<Event>) -> Vec<Breach> {
    let mut sent = sent();
    let job = sent.jobs.get_mut(&id()).expect("the job was submitted");
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

fn while_other_stopped() {
    let found = vec![Breach::Away(task(1), 2_600)];
    assert_eq!(breaches_after_stop(vec![stopping(2_600, 1, 1)]), found);
    // Neither of its next two runs becomes ready before it ends or the stop comes.
    let lost_early = vec![
        ended(2_300, 0, 2, None),
        started(2_400, 0, 3),
        stopping(2_600, 1, 1),
    ];
    assert_eq!(breaches_after_stop(lost_early), found);
}

fn while_other_lost() {
    let lost = vec![
        ended(4_000, 0, 2, None),
        started(4_500, 0, 3),
        stopping(4_600, 1, 1),
    ];
    assert_eq!(breaches_after_stop(lost), Vec::new());
    let for_long = vec![ended(4_000, 0, 2, None), stopping(8_500, 1, 1)];
    assert_eq!(
        breaches_after_stop(for_long),
        vec![Breach::Away(task(1), 8_500)]
    );
}
