//! The next step of one instance, depending on entries, the platform's list and health checks.

use crate::fixture::{budget, draining, fleet, listed, name, serving, spare};
use primroseroute_domain::{
    account::Survive,
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    outcome::Code,
    time::Instant,
};
use primroseroute_fleet::lifecycle::{
    Action, Checks, Command, Entry, Input, Limits, apply_command, step,
};
use primroseroute_platform::fleet::{Listed, Phase};
use std::collections::BTreeMap;

/// The change that wrote the drain under test.
const DRAINED: Seq = Seq(7);

/// Owned data for the input of a step.
struct Fixture {
    rows: BTreeMap<id::Instance, Row>,
    versions: BTreeMap<id::Instance, Seq>,
    listed: BTreeMap<id::Instance, Listed>,
    checks: BTreeMap<id::Instance, Checks>,
    marks: BTreeMap<id::Instance, u64>,
    entries: Vec<Entry>,
    now: Instant,
}

impl Fixture {
    fn of(row: &Row) -> Self {
        let at = |seen| Entry {
            id: name("e"),
            seen,
            in_flight: BTreeMap::new(),
            gone: false,
        };
        Self {
            rows: [(row.id.clone(), row.clone())].into(),
            versions: [(row.id.clone(), DRAINED)].into(),
            listed: [(row.id.clone(), listed(row, Phase::Live, 1))].into(),
            checks: BTreeMap::new(),
            marks: BTreeMap::new(),
            entries: vec![at(DRAINED), at(Seq(9))],
            now: Instant(1_000),
        }
    }

    fn step(&self) -> Vec<Action> {
        step(&Input {
            rows: &self.rows,
            versions: &self.versions,
            listed: &self.listed,
            checks: &self.checks,
            marks: &self.marks,
            entries: &self.entries,
            limits: Limits::default(),
            now: self.now,
        })
    }

    fn check(mut self, good: u32, bad: u32) -> Self {
        let results = |id: &id::Instance| (id.clone(), Checks { good, bad });
        self.checks = self.rows.keys().map(results).collect();
        self
    }

    fn list(mut self, phase: Phase, boots: u64) -> Self {
        let lines = self.rows.values().map(|row| listed(row, phase, boots));
        self.listed = lines.map(|line| (line.id.clone(), line)).collect();
        self
    }

    fn mark(mut self, boots: u64) -> Self {
        let marks = self.rows.keys().map(|id| (id.clone(), boots));
        self.marks = marks.collect();
        self
    }
}

fn one() -> Row {
    serving("i0", "a", "r", "z")
}

fn moving() -> Row {
    draining(one(), Purpose::Move(name("b")))
}

fn in_wave() -> Row {
    draining(one(), Purpose::Wave(name("w")))
}

fn with(row: Row, state: State) -> Row {
    Row { state, ..row }
}

/// State and pool of the first written row, if any.
fn first_written(actions: &[Action]) -> Option<(State, Option<&str>)> {
    actions.iter().find_map(|action| match action {
        Action::Put { row, .. } => Some((row.state, row.pool.as_ref().map(id::Pool::as_str))),
        _ => None,
    })
}

fn check_move(change: impl FnOnce(&mut Entry), moves: bool) {
    let mut fixture = Fixture::of(&moving());
    change(&mut fixture.entries[0]);
    let expected = moves.then_some((State::Serving, Some("b")));
    assert_eq!(first_written(&fixture.step()), expected);
}

fn busy(entry: &mut Entry) {
    entry.in_flight = [(name("i0"), 1)].into();
}

/// The registration rows could not be read, so the list of entries is empty. Treating this as an
/// acknowledgement by all would move the instance with requests in flight; it must block the move.
fn no_entries_stop_the_move() {
    let mut fixture = Fixture::of(&moving());
    fixture.entries.clear();
    assert_eq!(fixture.step(), []);
}

/// A controller requested a reboot and died. Its successor has the row, the mark and a list that
/// may be older than the reboot. It may repeat the request with the same boot count, for which the
/// platform reboots once. Once the count has grown, the instance is checked and not rebooted again.
fn reboot_is_asked_under_one_count() {
    let row = with(in_wave(), State::Maintenance);
    let ask = Action::Reboot {
        id: name("i0"),
        boots: 4,
    };
    let fixture = || Fixture::of(&row).mark(4);
    assert_eq!(fixture().list(Phase::Live, 4).step(), [ask]);
    assert_eq!(fixture().list(Phase::Rebooting, 4).step(), []);
    let back = fixture().list(Phase::Live, 5).step();
    assert_eq!(first_written(&back), Some((State::Probation, Some("a"))));
}

fn drained_wave_marks_before_it_reboots() {
    let actions = Fixture::of(&in_wave()).list(Phase::Live, 4).step();
    assert_eq!(
        first_written(&actions),
        Some((State::Maintenance, Some("a")))
    );
    let mark = Action::Mark {
        id: name("i0"),
        boots: 4,
    };
    assert_eq!(actions[1..], [mark]);
}

/// A draining instance fails before its reboot, while the mark of an earlier reboot still exists
/// and the list shows a higher boot count. If the mark were kept, the instance would count as
/// maintained once it recovers, and the wave would end without having rebooted it.
fn stale_mark_does_not_count_as_maintained() {
    let failed = Fixture::of(&in_wave())
        .check(0, 3)
        .mark(1)
        .list(Phase::Live, 2);
    let actions = failed.step();
    assert_eq!(
        first_written(&actions),
        Some((State::Quarantined, Some("a")))
    );
    assert!(actions.contains(&Action::Unmark { id: name("i0") }));
    let quarantined = with(in_wave(), State::Quarantined);
    let well = Fixture::of(&quarantined)
        .check(3, 0)
        .list(Phase::Live, 2)
        .step();
    let Action::Put { row, .. } = &well[0] else {
        panic!("{well:?}")
    };
    assert_eq!((row.state, row.maintained), (State::Probation, None));
}

fn late_reboot_is_quarantined_and_counted_when_back() {
    let row = with(in_wave(), State::Maintenance);
    let mut late = Fixture::of(&row).mark(4).list(Phase::Rebooting, 4);
    late.now = Instant(1_201_000);
    assert_eq!(
        first_written(&late.step()),
        Some((State::Quarantined, Some("a")))
    );
    let quarantined = with(row, State::Quarantined);
    let back = Fixture::of(&quarantined)
        .mark(4)
        .check(3, 0)
        .list(Phase::Live, 5);
    let actions = back.step();
    let Action::Put { row, .. } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(row.maintained, Some(back.now));
}

/// The controller is partitioned from the workers: every check fails at once while callers are
/// served. Quarantining all workers would refuse every caller. A single failure is still taken out.
fn common_failure_makes_checks_unreliable() {
    let rows: Vec<_> = (0..6)
        .map(|i| serving(&format!("i{i}"), "a", "r", "z"))
        .collect();
    let mut fixture = Fixture::of(&rows[0]);
    fixture.rows = rows
        .iter()
        .map(|row| (row.id.clone(), row.clone()))
        .collect();
    let mut partitioned = fixture.check(0, 9);
    assert_eq!(partitioned.step(), []);
    partitioned.checks.retain(|id, _| id.as_str() == "i3");
    assert_eq!(partitioned.step().len(), 1);
}

/// An instance is gone while one entry still has an old view that sends to its address. The row
/// must stay until that entry has seen it leave, or the name could be reused in another pool while
/// the old view is in use.
fn gone_row_stays_until_all_entries_acknowledge() {
    let row = with(draining(one(), Purpose::Leave), State::Leaving);
    let mut fixture = Fixture::of(&row).list(Phase::Gone, 1);
    assert_eq!(fixture.step(), [Action::Delete { id: name("i0") }]);
    fixture.entries[0].seen = Seq(6);
    assert_eq!(fixture.step(), []);
}

fn next_is(fixture: &Fixture, state: State) {
    assert_eq!(
        first_written(&fixture.step()).map(|(state, _)| state),
        Some(state)
    );
}

fn stays(fixture: &Fixture) {
    assert_eq!(fixture.step(), []);
}

fn arrival_is_checked_first() {
    let mut fixture = Fixture::of(&one());
    fixture.rows.clear();
    next_is(&fixture, State::Arriving);
    let arriving = with(spare("i0", "r", "z"), State::Arriving);
    next_is(&Fixture::of(&arriving), State::Probation);
    let in_probation = with(one(), State::Probation);
    stays(&Fixture::of(&in_probation).check(2, 0));
    next_is(&Fixture::of(&in_probation).check(3, 0), State::Serving);
    next_is(&Fixture::of(&in_probation).check(0, 3), State::Quarantined);
    stays(&Fixture::of(&spare("i0", "r", "z")).check(3, 0));
}

/// A wave also reboots spares. A spare has no pool in which to serve again, so passing its checks
/// must end its maintenance. Otherwise a wave that covers a spare never ends.
fn spare_is_done_when_its_checks_are_good() {
    let spare = spare("i0", "r", "z");
    let purpose = Some(Purpose::Wave(name("w")));
    let fixture = Fixture::of(&Row {
        purpose,
        ..spare.clone()
    })
    .check(3, 0);
    let actions = fixture.step();
    let Action::Put { row, .. } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(*row, spare);
}

/// A spare goes into maintenance without a drain, so no new mark is written on the way. If the mark
/// of an earlier reboot remained, the list would show a higher boot count at once, and the wave
/// would count a reboot that did not happen. So the mark is deleted when the maintenance is over.
fn mark_ends_with_its_maintenance() {
    let row = with(one(), State::Probation);
    let back = Fixture::of(&row).mark(4).list(Phase::Live, 5).check(3, 0);
    assert_eq!(back.step(), [Action::Unmark { id: name("i0") }]);
}

/// A reboot was marked, the instance was quarantined before it happened, and its checks pass again.
/// A paused controller may still request that reboot, so it must happen before the instance serves.
fn marked_reboot_comes_before_serving() {
    let quarantined = with(in_wave(), State::Quarantined);
    let pending = Fixture::of(&quarantined).check(5, 0).mark(1);
    let id = quarantined.id.clone();
    assert_eq!(pending.step(), [Action::Reboot { id, boots: 1 }]);
    let rebooted = pending.list(Phase::Live, 2);
    assert_eq!(
        first_written(&rebooted.step()),
        Some((State::Probation, Some("a")))
    );
}

fn operators_quarantine_stays() {
    let well = |purpose| {
        let row = with(one(), State::Quarantined);
        Fixture::of(&Row { purpose, ..row }).check(9, 0)
    };
    next_is(&well(None), State::Probation);
    stays(&well(Some(Purpose::Operator)));
}

fn leaving_instance_drains_first() {
    next_is(
        &Fixture::of(&one()).list(Phase::Leaving, 1),
        State::Draining,
    );
    let leaving = draining(one(), Purpose::Leave);
    next_is(
        &Fixture::of(&leaving).list(Phase::Leaving, 1),
        State::Leaving,
    );
    let mut waits = Fixture::of(&leaving).list(Phase::Leaving, 1);
    busy(&mut waits.entries[1]);
    stays(&waits);
    next_is(&Fixture::of(&one()).list(Phase::Gone, 1), State::Leaving);
}

fn orders_are_refused_with_their_codes() {
    let rows = (0..3).map(|i| serving(&format!("i{i}"), "a", &format!("r{i}"), "z"));
    let spare = spare("s", "r9", "z");
    let rows = rows.chain([spare]).collect();
    let fleet = fleet(rows, vec![("a", budget(2, 1, Survive::Rack))]);
    let code = |id: &str, given: Command| {
        apply_command(&fleet, &name(id), &given, Instant(1)).map_err(|refusal| refusal.code)
    };
    assert_eq!(code("i0", Command::Drain), Err(Code::BudgetForbids));
    assert_eq!(code("i0", Command::Quarantine), Err(Code::BudgetForbids));
    assert_eq!(code("i0", Command::Move(name("b"))), Err(Code::NotFound));
    assert_eq!(code("i0", Command::Release), Err(Code::IllegalTransition));
    assert_eq!(
        code("i0", Command::Assign(name("a"))),
        Err(Code::IllegalTransition)
    );
    assert_eq!(code("i9", Command::Drain), Err(Code::NotFound));
    let placed = code("s", Command::Assign(name("a"))).expect("a spare is given");
    assert_eq!(placed.pool, Some(name("a")));
}

cases! {
    empty_drain_moves: check_move(|_| {}, true);
    unresponsive_entry_stops_the_move: check_move(|entry| entry.seen = Seq(6), false);
    request_in_flight_stops_the_move: check_move(busy, false);
    gone_entry_does_not_stop_the_move: check_move(
        |entry| { entry.seen = Seq(6); entry.gone = true; }, true);
    unread_registrations_stop_the_move: no_entries_stop_the_move();
    restarted_controller_reboots_once: reboot_is_asked_under_one_count();
    reboot_is_marked_first: drained_wave_marks_before_it_reboots();
    old_mark_is_deleted: stale_mark_does_not_count_as_maintained();
    late_reboot_is_a_failure_until_it_is_back: late_reboot_is_quarantined_and_counted_when_back();
    partitioned_checker_quarantines_nothing: common_failure_makes_checks_unreliable();
    gone_row_waits_for_entries: gone_row_stays_until_all_entries_acknowledge();
    arrival_passes_probation: arrival_is_checked_first();
    mark_is_deleted_after_its_reboot: mark_ends_with_its_maintenance();
    spare_ends_its_maintenance: spare_is_done_when_its_checks_are_good();
    pending_reboot_comes_before_serving: marked_reboot_comes_before_serving();
    quarantine_by_an_operator_lasts: operators_quarantine_stays();
    platform_takes_an_instance: leaving_instance_drains_first();
    orders_have_numbered_refusals: orders_are_refused_with_their_codes();
}
