//! Histories whose costs are computed by hand.

use crate::fixture::{
    HOUR, Trail, account, delete, instance, name, near, period, pool, replay, rolled_out, row,
    serving, template, wave, wave_row,
};
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::{measure::Cost, wave::State as WaveState};
use primroseroute_ledger::key;
use primroseroute_report::{Error, Line, Point, Report};

cases! {
    wave_and_move_cost_what_the_hand_says => wave_and_move();
    plot_points_are_the_changes => points();
    changes_of_one_instant_are_one_point => one_instant();
    empty_trail_gives_an_empty_report => empty();
    period_before_and_after_all_changes => outside();
    period_takes_its_start_in_and_leaves_its_end_out => boundaries();
    wave_that_began_before_the_period_keeps_its_whole_time => earlier_wave();
    name_of_an_ended_wave_may_come_again => same_name();
    waves_side_by_side_count_once_for_a_pool => concurrent_waves();
    record_with_an_older_time_goes_back_in_no_figure => older();
    deleted_rows_cost_nothing_more => deleted();
    pool_counts_for_its_last_account => owners();
    missing_record_is_refused => gap();
    unreadable_row_is_named => corrupt();
    past_records_end_the_reading => past();
}

fn in_wave(id: &str, state: State) -> Row {
    row(id, Some("p"), state, Some(Purpose::Wave(name("w"))))
}

/// Three instances serve `p`, which promises two; two serve `q`, which promises one; one is spare.
/// From 2 h to 3 h a wave reboots `i0`; at 4 h `j1` moves from `q` to `p`, and at 6 h `j0`.
fn history() -> Trail {
    let rows = [
        serving("i0", "p"),
        serving("i1", "p"),
        serving("i2", "p"),
        serving("j0", "q"),
        serving("j1", "q"),
        row("s", None, State::Probation, None),
    ];
    let begun = wave_row("w", &["p"], 2 * HOUR);
    let maintained = Row {
        maintained: Some(Instant(3 * HOUR)),
        ..serving("i0", "p")
    };
    let templates = [template("a", "p", 2), template("b", "q", 1)];
    Trail::default()
        .at(0, templates.iter().map(account).collect())
        .at(0, rows.iter().map(instance).collect())
        .at(
            2 * HOUR,
            vec![wave(&begun), instance(&in_wave("i0", State::Draining))],
        )
        .at(
            2 * HOUR + HOUR / 2,
            vec![instance(&in_wave("i0", State::Maintenance))],
        )
        .at(
            3 * HOUR,
            vec![instance(&maintained), wave(&rolled_out(begun, 3 * HOUR))],
        )
        .at(4 * HOUR, vec![instance(&serving("j1", "p"))])
        .at(6 * HOUR, vec![instance(&serving("j0", "p"))])
}

fn found(trail: &Trail, from: u64, to: u64) -> Report {
    trail.replay(from, to).expect("the trail has no gap").report
}

fn cost(buffer: f64, bound: f64, moves: u32) -> Cost {
    Cost {
        buffer_slot_hours: buffer,
        bound_slot_hours: bound,
        moves,
    }
}

fn line(cost: Cost, rollout_seconds: f64) -> Line {
    Line {
        cost,
        rollout_seconds,
    }
}

/// `p` holds one instance of 8 slots more than it promises for 3 h and two for 1 h, including while
/// `i0` reboots; its lower bound is one instance in maintenance for 4 h. `q` holds one instance more
/// than it promises for 3 h.
fn wave_and_move() {
    let report = found(&history(), HOUR, 5 * HOUR);
    let p = line(cost(40.0, 32.0, 1), 3_600.0);
    let q = line(cost(24.0, 32.0, 0), 0.0);
    assert_eq!(report.changes, 4);
    assert_eq!(report.pools, [(pool("p"), p), (pool("q"), q)].into());
    assert_eq!(report.accounts, [(name("a"), p), (name("b"), q)].into());
    assert_eq!(report.total(), cost(64.0, 64.0, 1));
    near(report.spare_slot_hours, 32.0);
    let [wave] = &*report.waves else {
        panic!("{:?}", report.waves);
    };
    assert_eq!(wave.id, name("w"));
    assert_eq!(wave.state, WaveState::Done);
    assert_eq!(wave.pools, [pool("p")].into());
    assert_eq!(wave.cost, cost(8.0, 8.0, 0));
    assert_eq!((wave.rollout_seconds, wave.maintained), (3_600.0, 1));
}

fn points() {
    let found = history()
        .replay(HOUR, 5 * HOUR)
        .expect("the trail has no gap");
    let point = |hours: u64, serving, held| Point {
        at: Instant(hours * HOUR),
        serving,
        promised: 2,
        held,
    };
    let expected = vec![
        point(1, 3, 3),
        point(2, 2, 3),
        point(3, 3, 3),
        point(4, 4, 4),
    ];
    assert_eq!(found.series.pools[&pool("p")], expected);
}

fn one_instant() {
    let trail = Trail::default()
        .at(0, vec![account(&template("a", "p", 1))])
        .at(HOUR, vec![instance(&serving("i", "p"))])
        .at(HOUR, vec![instance(&serving("k", "p"))]);
    let found = trail.replay(0, 2 * HOUR).expect("the trail has no gap");
    let points = found.series.pools[&pool("p")].iter();
    let points: Vec<_> = points
        .map(|point| (point.at.0 / HOUR, point.serving))
        .collect();
    assert_eq!(points, [(0, 0), (1, 2)]);
}

fn empty() {
    let report = found(&Trail::default(), 0, HOUR);
    assert_eq!((report.changes, report.total()), (0, Cost::default()));
    assert_eq!(report.waves, []);
}

fn outside() {
    let trail = history();
    let after = found(&trail, 7 * HOUR, 8 * HOUR);
    assert_eq!(after.pools[&pool("p")].cost, cost(24.0, 8.0, 0));
    assert_eq!((after.changes, after.waves.len()), (0, 0));
    let mut before = trail;
    for record in &mut before.0 {
        record.at = Instant(record.at.0 + 10 * HOUR);
    }
    let before = found(&before, 0, HOUR);
    assert_eq!((before.changes, before.pools.len()), (0, 0));
}

/// A move at the period's start belongs to its initial state, and one at its end to the next period,
/// so that two adjacent periods together count every move exactly once.
fn boundaries() {
    let trail = history();
    let first = found(&trail, 3 * HOUR, 4 * HOUR);
    let second = found(&trail, 4 * HOUR, 5 * HOUR);
    let both = found(&trail, 3 * HOUR, 5 * HOUR);
    assert_eq!((first.total().moves, first.changes), (0, 0));
    assert_eq!(second.pools[&pool("p")].cost, cost(16.0, 8.0, 0));
    assert_eq!(both.total().moves, 1);
    let middle = found(&trail, 4 * HOUR - 1, 4 * HOUR + 1);
    assert_eq!(middle.total().moves, 1);
}

fn earlier_wave() {
    let trail = history();
    let report = found(&trail, 2 * HOUR + HOUR / 4, 2 * HOUR + 3 * HOUR / 4);
    let wave = &report.waves[0];
    assert_eq!((wave.ended, wave.state), (None, WaveState::Running));
    near(wave.rollout_seconds, 2_700.0);
    assert_eq!(wave.cost, cost(4.0, 4.0, 0));
    near(report.pools[&pool("p")].rollout_seconds, 1_800.0);
}

fn same_name() {
    let again = wave_row("w", &["q"], 7 * HOUR);
    let trail = history()
        .at(7 * HOUR, vec![wave(&again)])
        .at(9 * HOUR, vec![wave(&rolled_out(again, 9 * HOUR))]);
    let report = found(&trail, HOUR, 10 * HOUR);
    let times: Vec<_> = report
        .waves
        .iter()
        .map(|wave| (wave.started.0 / HOUR, wave.rollout_seconds))
        .collect();
    assert_eq!(times, [(2, 3_600.0), (7, 7_200.0)]);
}

fn concurrent_waves() {
    let (one, two) = (wave_row("w", &["p"], HOUR), wave_row("v", &[], 2 * HOUR));
    let trail = Trail::default()
        .at(0, vec![account(&template("a", "p", 1))])
        .at(0, vec![instance(&serving("i", "p"))])
        .at(HOUR, vec![wave(&one)])
        .at(2 * HOUR, vec![wave(&two)])
        .at(3 * HOUR, vec![wave(&rolled_out(one, 3 * HOUR))])
        .at(5 * HOUR, vec![wave(&rolled_out(two, 5 * HOUR))]);
    let report = found(&trail, 0, 9 * HOUR);
    near(report.pools[&pool("p")].rollout_seconds, 14_400.0);
    let account = report.accounts[&name::<id::Account>("a")];
    near(account.rollout_seconds, 14_400.0);
}

/// A writer whose clock is an hour behind takes over as controller. No time may be counted twice.
fn older() {
    let trail = Trail::default()
        .at(0, vec![account(&template("a", "p", 1))])
        .at(
            0,
            vec![instance(&serving("i", "p")), instance(&serving("k", "p"))],
        )
        .at(2 * HOUR, vec![instance(&serving("l", "p"))])
        .at(HOUR, vec![instance(&serving("m", "p"))]);
    let report = found(&trail, 0, 3 * HOUR);
    near(report.pools[&pool("p")].cost.buffer_slot_hours, 16.0 + 24.0);
}

fn deleted() {
    let lost = serving("j1", "q");
    let trail = history()
        .at(7 * HOUR, vec![delete(key::instance(&lost.id))])
        .at(7 * HOUR, vec![delete(key::account(&name("b")))])
        .at(8 * HOUR, Vec::new());
    let report = found(&trail, 7 * HOUR, 8 * HOUR);
    assert_eq!(report.pools[&pool("p")].cost, cost(16.0, 8.0, 0));
    assert!(!report.pools.contains_key(&pool("q")), "{report:?}");
}

fn owners() {
    let trail = history()
        .at(7 * HOUR, vec![delete(key::account(&name("b")))])
        .at(7 * HOUR, vec![account(&template("c", "q", 1))]);
    let report = found(&trail, HOUR, 8 * HOUR);
    assert_eq!(report.owners[&pool("q")], name("c"));
    let accounts: Vec<_> = report.accounts.keys().map(id::Account::as_str).collect();
    assert_eq!(accounts, ["a", "c"]);
}

fn gap() {
    let mut trail = history();
    trail.0.remove(3);
    let error = trail
        .replay(HOUR, 5 * HOUR)
        .expect_err("a record is missing");
    let expected = Error::Gap {
        expected: Seq(4),
        found: Seq(5),
    };
    assert_eq!(error, expected);
    let error =
        replay(&history().0[1..], period(0, HOUR)).expect_err("the first record is missing");
    assert!(matches!(error, Error::Gap { found: Seq(2), .. }), "{error}");
}

fn corrupt() {
    let mut trail = history();
    trail.0[1].edits[0].after = Some("{".into());
    let error = trail
        .replay(HOUR, 5 * HOUR)
        .expect_err("the row is malformed");
    let named =
        matches!(&error, Error::Corrupt { seq: Seq(2), key, .. } if **key == *"instance/i0");
    assert!(named, "{error}");
}

fn past() {
    let mut replay = primroseroute_report::Replay::new(
        period(0, 3 * HOUR),
        primroseroute_fleet::placement::Weights::default(),
    );
    let mut past = Vec::new();
    for record in &history().0 {
        replay.apply(record).expect("the trail has no gap");
        past.push(replay.is_past());
    }
    assert_eq!(past, [false, false, false, false, true, true, true]);
    assert_eq!(replay.last_seq(), Seq(7));
    assert_eq!(replay.finish().report.changes, 2);
}
