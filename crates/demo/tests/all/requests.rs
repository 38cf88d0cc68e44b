//! Checks of callers' requests.

use primroseroute_demo::checker::{
    Breach, Event, KeyExecutions, Report, RequestEnded, check_history,
};
use primroseroute_domain::outcome::Verdict;
use std::sync::Arc;

cases! {
    sound_holds_break_nothing => sound();
    key_executed_twice_is_doubled => doubled();
    executions_of_one_key_at_two_workers_add_up => doubled_over_two_counts();
    completed_hold_that_never_ran_is_lost => lost();
    completed_refusal_of_a_worker_is_not_lost => rejected_by_worker();
    hold_that_ran_was_not_not_run => ran();
    unknown_hold_may_have_run_or_not => unknown();
    anothers_answer_is_foreign => foreign();
    read_without_executions_is_sound => read();
    lateness_and_refused_connections_are_counted => counts();
}

fn ended(verdict: Verdict) -> RequestEnded {
    RequestEnded {
        request: "r1".into(),
        key: Some("k1".into()),
        verdict,
        success: verdict == Verdict::Completed,
        late: false,
        named: vec!["r1".into(), "r1".into()],
        attempts: 1,
        refused: 0,
    }
}

fn executed(times: u64) -> Event {
    Event::KeyExecuted(KeyExecutions {
        key: "k1".into(),
        times,
    })
}

fn key() -> Arc<str> {
    "k1".into()
}

fn report_on(ended: RequestEnded, times: u64) -> Report {
    check_history(&[Event::RequestEnded(ended), executed(times)])
}

fn sound() {
    let report = report_on(ended(Verdict::Completed), 1);
    assert_eq!(report.breaches, []);
    assert_eq!((report.requests.sent, report.requests.completed), (1, 1));
}

fn doubled() {
    let report = report_on(ended(Verdict::Completed), 2);
    let breach = Breach::Doubled {
        key: key(),
        times: 2,
    };
    assert_eq!(report.breaches, [breach]);
    assert_eq!(report.requests.doubled, 1);
}

/// Counts arrive one by one from the workers, so the order of events doesn't matter.
fn doubled_over_two_counts() {
    let report = check_history(&[
        executed(1),
        Event::RequestEnded(ended(Verdict::Unknown)),
        executed(1),
    ]);
    assert_eq!(report.requests.doubled, 1);
    assert_eq!(report.breaches.len(), 1);
}

fn lost() {
    for events in [
        vec![Event::RequestEnded(ended(Verdict::Completed)), executed(0)],
        vec![Event::RequestEnded(ended(Verdict::Completed))],
    ] {
        let report = check_history(&events);
        assert_eq!(report.breaches, [Breach::Lost { key: key() }]);
        assert_eq!(report.requests.lost, 1);
    }
}

fn rejected_by_worker() {
    let rejected = RequestEnded {
        success: false,
        ..ended(Verdict::Completed)
    };
    let report = report_on(rejected, 0);
    assert_eq!(report.breaches, []);
    assert_eq!(report.requests.errors, 1);
}

fn ran() {
    let report = report_on(ended(Verdict::NotRun), 1);
    assert_eq!(report.breaches, [Breach::Ran { key: key() }]);
    assert_eq!((report.requests.ran, report.requests.not_run), (1, 1));
}

fn unknown() {
    for times in [0, 1] {
        let report = report_on(ended(Verdict::Unknown), times);
        assert_eq!(report.breaches, []);
        assert_eq!(report.requests.unknown, 1);
    }
}

fn foreign() {
    let mixed_up = RequestEnded {
        named: vec!["r1".into(), "r2".into()],
        ..ended(Verdict::Completed)
    };
    let report = report_on(mixed_up, 1);
    let breach = Breach::Foreign {
        request: "r1".into(),
        named: "r2".into(),
    };
    assert_eq!(report.breaches, [breach]);
    assert_eq!(report.requests.foreign, 1);
}

fn read() {
    let read = RequestEnded {
        key: None,
        ..ended(Verdict::Completed)
    };
    let report = check_history(&[Event::RequestEnded(read)]);
    assert_eq!(report.breaches, []);
    assert_eq!((report.requests.sent, report.requests.holds), (1, 0));
}

fn counts() {
    let slow = RequestEnded {
        late: true,
        attempts: 3,
        refused: 2,
        ..ended(Verdict::Completed)
    };
    let requests = report_on(slow, 1).requests;
    assert_eq!(
        (requests.late, requests.attempts, requests.refused),
        (1, 3, 2)
    );
}
