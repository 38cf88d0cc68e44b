//! Checks of the fleet's history.

use primroseroute_demo::checker::{Breach, Change, Event, Report, check_history};
use primroseroute_domain::{
    account::{Budget, Survive},
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::wave;
use std::collections::BTreeMap;

cases! {
    planned_drain_within_the_budget_is_sound => within_budget();
    planned_drain_below_the_promise_is_a_breach => below_promised();
    loss_that_nobody_planned_is_no_breach => unplanned();
    arrival_move_departure_and_quarantine_are_counted => counted();
    idle_slots_are_counted_over_time => idle();
    waves_and_the_instances_that_they_maintained_are_counted => waves();
}

fn pool(name: &str) -> id::Pool {
    name.parse().expect("valid name")
}

fn row(name: &str, state: State, purpose: Option<Purpose>, pool_name: Option<&str>) -> Row {
    Row {
        id: name.parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: "zone".parse().expect("valid name"),
        rack: name.parse().expect("valid name"),
        pool: pool_name.map(pool),
        state,
        purpose,
        since: Instant(0),
        maintained: None,
    }
}

fn serving(name: &str) -> Row {
    row(name, State::Serving, None, Some("p"))
}

fn change(seq: u64, at: u64, rows: Vec<Row>) -> Event {
    let rows = rows.into_iter().map(|row| (row.id.clone(), Some(row)));
    Event::Changed(Change {
        seq: Seq(seq),
        at: Instant(at),
        rows: rows.collect(),
        budgets: BTreeMap::new(),
        waves: BTreeMap::new(),
    })
}

/// The report on a pool of three instances with the promised capacity `promised`, followed by `more`.
fn report_with(promised: u32, more: Vec<Event>) -> Report {
    let budget = Budget {
        promised,
        max_absent: 1,
        survive: Survive::Nothing,
    };
    let rows = ["a", "b", "c"].map(|name| (serving(name).id, Some(serving(name))));
    let start = Event::Changed(Change {
        seq: Seq(1),
        at: Instant(0),
        rows: rows.into(),
        budgets: [(pool("p"), budget)].into(),
        waves: BTreeMap::new(),
    });
    let events: Vec<Event> = [start].into_iter().chain(more).collect();
    check_history(&events)
}

fn drained(purpose: Purpose) -> Vec<Event> {
    let drained = row("a", State::Draining, Some(purpose), Some("p"));
    vec![change(2, 10, vec![drained])]
}

fn within_budget() {
    let report = report_with(2, drained(Purpose::Operator));
    assert_eq!(report.breaches, []);
    assert_eq!(report.fleet.budget_breaches, 0);
}

fn below_promised() {
    for purpose in [Purpose::Operator, Purpose::Move(pool("q"))] {
        let report = report_with(3, drained(purpose));
        assert!(report.fleet.budget_breaches > 0);
        let named = |breach: &Breach| matches!(breach, Breach::Budget { seq: Seq(2), .. });
        assert!(report.breaches.iter().all(named), "{:?}", report.breaches);
    }
}

fn unplanned() {
    let report = report_with(3, drained(Purpose::Leave));
    assert_eq!(report.breaches, []);
}

fn counted() {
    let leaving = Change {
        seq: Seq(7),
        at: Instant(70),
        rows: [(serving("b").id, None)].into(),
        budgets: BTreeMap::new(),
        waves: BTreeMap::new(),
    };
    let report = report_with(
        1,
        vec![
            change(2, 20, vec![row("d", State::Arriving, None, None)]),
            change(3, 30, vec![row("d", State::Probation, None, Some("p"))]),
            change(4, 40, vec![serving("d")]),
            change(5, 50, vec![row("a", State::Serving, None, Some("q"))]),
            change(6, 60, vec![row("c", State::Quarantined, None, Some("p"))]),
            Event::Changed(leaving),
            change(8, 80, vec![row("c", State::Probation, None, Some("p"))]),
            change(9, 90, vec![serving("c")]),
        ],
    );
    let fleet = report.fleet;
    assert_eq!(fleet.changes, 9);
    assert_eq!((fleet.arrivals, fleet.departures), (1, 1));
    assert_eq!((fleet.moves, fleet.quarantines), (1, 1));
}

/// Two of three instances serve beyond the promised capacity for half an hour, then one: 8 + 4 slot-hours.
fn idle() {
    let half_hour = 1_800_000;
    let lost = row("a", State::Quarantined, None, Some("p"));
    let report = report_with(
        1,
        vec![
            change(2, half_hour, vec![lost]),
            change(3, 2 * half_hour, Vec::new()),
        ],
    );
    let cost = report.fleet.buffer_slot_hours;
    assert!((cost - 12.0).abs() < 1e-9, "{cost}");
}

fn wave_row(name: &str, state: wave::State, ended: Option<Instant>) -> Event {
    let order = wave::Order {
        id: name.parse().expect("valid name"),
        scope: wave::Scope::default(),
        window: wave::Window::default(),
        limits: wave::Limits::default(),
    };
    let row = wave::Row {
        state,
        ended,
        ..wave::Row::begin(order, Instant(100))
    };
    Event::Changed(Change {
        seq: Seq(2),
        at: Instant(100),
        rows: BTreeMap::new(),
        budgets: BTreeMap::new(),
        waves: [(row.id().clone(), row)].into(),
    })
}

/// One wave completes after 50 ms, one is aborted and one still runs. A maintained instance keeps its
/// `maintained` time in later rows and counts once.
fn waves() {
    let maintained = Row {
        maintained: Some(Instant(120)),
        ..serving("a")
    };
    let report = report_with(
        1,
        vec![
            wave_row("rolled", wave::State::Running, None),
            wave_row("rolled", wave::State::Done, Some(Instant(150))),
            wave_row("ended", wave::State::Aborted, Some(Instant(900))),
            wave_row("runs", wave::State::Running, None),
            change(3, 200, vec![maintained.clone()]),
            change(4, 300, vec![maintained]),
        ],
    );
    let fleet = report.fleet;
    assert_eq!((fleet.waves, fleet.waves_done), (3, 1));
    assert_eq!((fleet.rollout_ms, fleet.maintained), (50, 1));
}
