//! The next step of one instance under what entries, the list and checks say.

use crate::fixture::{budget, draining, fleet, listed, name, serving, spare};
use primroseroute_domain::{
    account::Survive,
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    outcome::Code,
    time::Instant,
};
use primroseroute_fleet::lifecycle::{Action, Checks, Entry, Input, Limits, Order, order, step};
use primroseroute_platform::fleet::{Listed, Phase};
use std::collections::BTreeMap;

/// The drain under test was written by this change.
const DRAINED: Seq = Seq(7);

/// Everything that a step reads, owned.
struct World {
    rows: BTreeMap<id::Instance, Row>,
    versions: BTreeMap<id::Instance, Seq>,
    listed: BTreeMap<id::Instance, Listed>,
    checks: BTreeMap<id::Instance, Checks>,
    marks: BTreeMap<id::Instance, u64>,
    entries: Vec<Entry>,
    now: Instant,
}

impl World {
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

/// Where the only written row goes, if one is written.
fn goes(actions: &[Action]) -> Option<(State, Option<&str>)> {
    actions.iter().find_map(|action| match action {
        Action::Put { row, .. } => Some((row.state, row.pool.as_ref().map(id::Pool::as_str))),
        _ => None,
    })
}

fn move_needs(change: impl FnOnce(&mut Entry), moves: bool) {
    let mut world = World::of(&moving());
    change(&mut world.entries[0]);
    let expected = moves.then_some((State::Serving, Some("b")));
    assert_eq!(goes(&world.step()), expected);
}

fn busy(entry: &mut Entry) {
    entry.in_flight = [(name("i0"), 1)].into();
}

/// The registration rows could not be read, so the list of entries is empty. Taken as "everybody
/// acknowledges" it would move the instance under live requests; it must stop the move instead.
fn no_entries_stop_the_move() {
    let mut world = World::of(&moving());
    world.entries.clear();
    assert_eq!(world.step(), []);
}

/// The controller asked for a reboot, and dies. Its successor has the row, the mark and a list
/// that may be older than the reboot. It may ask again, under the same count of boots, and the
/// platform reboots once; when the count has grown the instance is checked, not rebooted again.
fn reboot_is_asked_under_one_count() {
    let row = with(in_wave(), State::Maintenance);
    let ask = Action::Reboot {
        id: name("i0"),
        boots: 4,
    };
    let world = || World::of(&row).mark(4);
    assert_eq!(world().list(Phase::Live, 4).step(), [ask]);
    assert_eq!(world().list(Phase::Rebooting, 4).step(), []);
    let back = world().list(Phase::Live, 5).step();
    assert_eq!(goes(&back), Some((State::Probation, Some("a"))));
}

fn drained_wave_marks_before_it_reboots() {
    let actions = World::of(&in_wave()).list(Phase::Live, 4).step();
    assert_eq!(goes(&actions), Some((State::Maintenance, Some("a"))));
    let mark = Action::Mark {
        id: name("i0"),
        boots: 4,
    };
    assert_eq!(actions[1..], [mark]);
}

/// A draining instance fails before its reboot. A mark of last month's reboot is still there and
/// the list shows more boots than it says. Were the mark kept, the instance would count as
/// maintained when it is well again, and the wave would end without having rebooted it.
fn stale_mark_does_not_count_as_maintained() {
    let failed = World::of(&in_wave())
        .check(0, 3)
        .mark(1)
        .list(Phase::Live, 2);
    let actions = failed.step();
    assert_eq!(goes(&actions), Some((State::Quarantined, Some("a"))));
    assert!(actions.contains(&Action::Unmark { id: name("i0") }));
    let quarantined = with(in_wave(), State::Quarantined);
    let well = World::of(&quarantined)
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
    let mut late = World::of(&row).mark(4).list(Phase::Rebooting, 4);
    late.now = Instant(1_201_000);
    assert_eq!(goes(&late.step()), Some((State::Quarantined, Some("a"))));
    let quarantined = with(row, State::Quarantined);
    let back = World::of(&quarantined)
        .mark(4)
        .check(3, 0)
        .list(Phase::Live, 5);
    let actions = back.step();
    let Action::Put { row, .. } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(row.maintained, Some(back.now));
}

/// The controller is cut off from the workers: every check fails at once while callers are served
/// well. Quarantining them would refuse every caller; one failing alone is still taken out.
fn all_failing_together_doubts_the_checks() {
    let rows: Vec<_> = (0..6)
        .map(|i| serving(&format!("i{i}"), "a", "r", "z"))
        .collect();
    let mut world = World::of(&rows[0]);
    world.rows = rows
        .iter()
        .map(|row| (row.id.clone(), row.clone()))
        .collect();
    let mut cut_off = world.check(0, 9);
    assert_eq!(cut_off.step(), []);
    cut_off.checks.retain(|id, _| id.as_str() == "i3");
    assert_eq!(cut_off.step().len(), 1);
}

/// An instance is gone while one entry still has an old view that sends to its address. The row
/// stays until that entry has seen it leave; else the name could return in another pool while the
/// old view is in use.
fn gone_row_stays_until_everybody_knows() {
    let row = with(draining(one(), Purpose::Leave), State::Leaving);
    let mut world = World::of(&row).list(Phase::Gone, 1);
    assert_eq!(world.step(), [Action::Delete { id: name("i0") }]);
    world.entries[0].seen = Seq(6);
    assert_eq!(world.step(), []);
}

fn next_is(world: &World, state: State) {
    assert_eq!(goes(&world.step()).map(|(state, _)| state), Some(state));
}

fn stays(world: &World) {
    assert_eq!(world.step(), []);
}

fn arrival_is_checked_first() {
    let mut world = World::of(&one());
    world.rows.clear();
    next_is(&world, State::Arriving);
    let arriving = with(spare("i0", "r", "z"), State::Arriving);
    next_is(&World::of(&arriving), State::Probation);
    let in_probation = with(one(), State::Probation);
    stays(&World::of(&in_probation).check(2, 0));
    next_is(&World::of(&in_probation).check(3, 0), State::Serving);
    next_is(&World::of(&in_probation).check(0, 3), State::Quarantined);
    stays(&World::of(&spare("i0", "r", "z")).check(3, 0));
}

/// A wave reboots a spare too. The spare has no pool to serve again in, so nothing but its good
/// checks can end its maintenance; before they did, a wave that covered a spare never ended.
fn spare_is_done_when_its_checks_are_good() {
    let spare = spare("i0", "r", "z");
    let purpose = Some(Purpose::Wave(name("w")));
    let world = World::of(&Row {
        purpose,
        ..spare.clone()
    })
    .check(3, 0);
    let actions = world.step();
    let Action::Put { row, .. } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(*row, spare);
}

/// A spare goes into maintenance without a drain, so nothing marks it anew on the way. With last
/// month's mark still there, the list would at once show more boots than the mark and the wave
/// would count a reboot that never was. The mark goes when the maintenance is over.
fn mark_ends_with_its_maintenance() {
    let row = with(one(), State::Probation);
    let back = World::of(&row).mark(4).list(Phase::Live, 5).check(3, 0);
    assert_eq!(back.step(), [Action::Unmark { id: name("i0") }]);
}

/// A reboot was marked, the instance was quarantined before it happened, and its checks are good
/// again. A paused controller may still ask for that reboot, so the instance must not serve first.
fn marked_reboot_comes_before_serving() {
    let quarantined = with(in_wave(), State::Quarantined);
    let owed = World::of(&quarantined).check(5, 0).mark(1);
    let id = quarantined.id.clone();
    assert_eq!(owed.step(), [Action::Reboot { id, boots: 1 }]);
    let rebooted = owed.list(Phase::Live, 2);
    assert_eq!(goes(&rebooted.step()), Some((State::Probation, Some("a"))));
}

fn operators_quarantine_stays() {
    let well = |purpose| {
        let row = with(one(), State::Quarantined);
        World::of(&Row { purpose, ..row }).check(9, 0)
    };
    next_is(&well(None), State::Probation);
    stays(&well(Some(Purpose::Operator)));
}

fn leaving_instance_drains_first() {
    next_is(&World::of(&one()).list(Phase::Leaving, 1), State::Draining);
    let leaving = draining(one(), Purpose::Leave);
    next_is(&World::of(&leaving).list(Phase::Leaving, 1), State::Leaving);
    let mut waits = World::of(&leaving).list(Phase::Leaving, 1);
    busy(&mut waits.entries[1]);
    stays(&waits);
    next_is(&World::of(&one()).list(Phase::Gone, 1), State::Leaving);
}

fn orders_are_refused_with_their_codes() {
    let rows = (0..3).map(|i| serving(&format!("i{i}"), "a", &format!("r{i}"), "z"));
    let spare = spare("s", "r9", "z");
    let rows = rows.chain([spare]).collect();
    let fleet = fleet(rows, vec![("a", budget(2, 1, Survive::Rack))]);
    let code = |id: &str, given: Order| {
        order(&fleet, &name(id), &given, Instant(1)).map_err(|refusal| refusal.code)
    };
    assert_eq!(code("i0", Order::Drain), Err(Code::BudgetForbids));
    assert_eq!(code("i0", Order::Quarantine), Err(Code::BudgetForbids));
    assert_eq!(code("i0", Order::Move(name("b"))), Err(Code::NotFound));
    assert_eq!(code("i0", Order::Release), Err(Code::IllegalTransition));
    assert_eq!(
        code("i0", Order::Assign(name("a"))),
        Err(Code::IllegalTransition)
    );
    assert_eq!(code("i9", Order::Drain), Err(Code::NotFound));
    let placed = code("s", Order::Assign(name("a"))).expect("a spare is given");
    assert_eq!(placed.pool, Some(name("a")));
}

cases! {
    empty_drain_moves: move_needs(|_| {}, true);
    silent_entry_stops_the_move: move_needs(|entry| entry.seen = Seq(6), false);
    request_in_flight_stops_the_move: move_needs(busy, false);
    gone_entry_does_not_stop_the_move: move_needs(
        |entry| { entry.seen = Seq(6); entry.gone = true; }, true);
    unread_registrations_stop_the_move: no_entries_stop_the_move();
    restarted_controller_reboots_once: reboot_is_asked_under_one_count();
    reboot_is_marked_first: drained_wave_marks_before_it_reboots();
    old_mark_is_forgotten: stale_mark_does_not_count_as_maintained();
    late_reboot_is_a_failure_until_it_is_back: late_reboot_is_quarantined_and_counted_when_back();
    cut_off_checker_quarantines_nothing: all_failing_together_doubts_the_checks();
    gone_row_waits_for_entries: gone_row_stays_until_everybody_knows();
    arrival_passes_probation: arrival_is_checked_first();
    mark_is_forgotten_after_its_reboot: mark_ends_with_its_maintenance();
    spare_ends_its_maintenance: spare_is_done_when_its_checks_are_good();
    owed_reboot_comes_before_serving: marked_reboot_comes_before_serving();
    quarantine_by_an_operator_lasts: operators_quarantine_stays();
    platform_takes_an_instance: leaving_instance_drains_first();
    orders_have_numbered_refusals: orders_are_refused_with_their_codes();
}
