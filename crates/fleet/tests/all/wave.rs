//! Plan, steps, commands and refusals of a single wave.

use crate::{
    deployment::{self, BOTH},
    fixture::{budget, draining, fleet, name, serving, spare},
};
use primroseroute_domain::{
    account::Survive,
    id,
    instance::{Purpose, Row as Instance, State},
    outcome::Code,
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    check::{self, FleetSnapshot},
    placement::{self, Weights},
    wave::{Action, Command, Limits, Order, Row, Scope, State as WaveState, Window, plan, step},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Start time of the waves in these tests.
const START: Instant = Instant(1_000_000);

fn order(scope: Scope) -> Order {
    Order {
        id: name("w"),
        scope,
        window: Window::default(),
        limits: Limits::default(),
    }
}

fn running() -> Row {
    Row::begin(order(Scope::default()), START)
}

fn pool_of(size: usize, promised: u32, max_absent: u32) -> Fleet {
    let rows = (0..size).map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"));
    let budget = budget(promised, max_absent, Survive::Rack);
    fleet(rows.collect(), vec![("p", budget)])
}

fn row<'a>(fleet: &'a mut Fleet, id: &str) -> &'a mut Instance {
    fleet
        .rows
        .get_mut(&name::<id::Instance>(id))
        .expect("a member")
}

fn wave_after(actions: &[Action]) -> Option<WaveState> {
    actions.iter().find_map(|action| match action {
        Action::Wave(row) => Some(row.state),
        Action::Put(_) => None,
    })
}

fn put(actions: &[Action]) -> Vec<&Instance> {
    let rows = actions.iter().filter_map(|action| match action {
        Action::Put(row) => Some(row),
        Action::Wave(_) => None,
    });
    rows.collect()
}

fn refused(fleet: &Fleet, order: &Order, others: &[Row]) -> String {
    let refusal = plan(fleet, Weights::default(), order, others, START).expect_err("a refusal");
    refusal.to_string()
}

/// Dry run of a wave over a newly placed deployment.
fn dry_run(folder: &str) -> String {
    let deployment = deployment::read(folder);
    let mut fleet = deployment.fleet;
    let placed = placement::plan(&fleet, deployment.weights);
    for row in placement::start_moves(&fleet, &placed, START) {
        let row = Instance {
            state: State::Serving,
            ..row
        };
        fleet.rows.insert(row.id.clone(), row);
    }
    let order = order(Scope::default());
    let plan = plan(&fleet, deployment.weights, &order, &[], START).expect("it can finish");
    let sizes: Vec<_> = plan
        .batches
        .iter()
        .map(|batch| batch.instances.len())
        .collect();
    assert_eq!(sizes.iter().sum::<usize>(), fleet.rows.len());
    format!(
        "batches {sizes:?}, {} s, {:.1} slot-hours, {} moves",
        plan.rollout_seconds, plan.buffer_slot_hours, plan.moves
    )
}

fn impossible_waves_say_what_would_allow_them() {
    let all = order(Scope::default());

    expect_test::expect!["802 a budget never allows some instances of the wave to leave: pool `p` never lets `i0` leave: 2 would serve after the loss of the worst rack, and 3 are promised; a promise of 2, or 1 more in another rack would allow it"].assert_eq(&refused(&pool_of(4, 3, 1), &all, &[]));

    expect_test::expect!["802 a budget never allows some instances of the wave to leave: pool `p` never lets `i0` leave: planned work holds 0 absent, and at most 0 may be; a max-absent of at least 1 would allow it"].assert_eq(&refused(&pool_of(4, 2, 0), &all, &[]));
    let scope = Scope {
        pools: [name("q")].into(),
        ..Scope::default()
    };
    expect_test::expect!["503 no such row: the wave covers no instance"].assert_eq(&refused(
        &pool_of(4, 2, 1),
        &order(scope),
        &[],
    ));
}

fn overlapping_waves_are_refused() {
    let fleet = pool_of(4, 2, 1);
    let other = Order {
        id: name("v"),
        scope: Scope {
            racks: [name("r1")].into(),
            ..Scope::default()
        },
        ..order(Scope::default())
    };
    let mut other = Row::begin(other, START);
    let all = order(Scope::default());
    expect_test::expect![
        "801 another wave covers some of these instances: `v` covers `i1` and is running"
    ]
    .assert_eq(&refused(&fleet, &all, std::slice::from_ref(&other)));
    let apart = order(Scope {
        racks: [name("r2")].into(),
        ..Scope::default()
    });
    assert!(plan(&fleet, Weights::default(), &apart, &[other.clone()], START).is_ok());
    other.state = WaveState::Done;
    assert!(plan(&fleet, Weights::default(), &all, &[other], START).is_ok());
}

fn commands_follow_the_state() {
    use Command::{Abort, Pause, Resume};
    use WaveState::{Aborted, Done, Halted, Paused, Running};
    let after = |state, command| {
        let row = Row { state, ..running() };
        row.command(command, START)
            .map(|row| row.state)
            .map_err(|refusal| refusal.code)
    };
    let no = Err(Code::WaveStateForbids);
    let table = [Running, Paused, Halted, Done, Aborted]
        .map(|state| [Pause, Resume, Abort].map(|command| after(state, command)));
    let expected = [
        [Ok(Paused), no, Ok(Aborted)],
        [no, Ok(Running), Ok(Aborted)],
        [no, Ok(Running), Ok(Aborted)],
        [no, no, no],
        [no, no, no],
    ];
    assert_eq!(table, expected);
}

fn window_bounds_the_wave() {
    let fleet = pool_of(6, 2, 2);
    let at = |window, now| {
        let mut wave = running();
        wave.order.window = window;
        step(&fleet, &wave, now)
    };
    let window = Window {
        opens: Some(Instant(2_000_000)),
        closes: Some(Instant(3_000_000)),
    };
    assert_eq!(at(window, Instant(1_999_999)), []);
    assert_eq!(put(&at(window, Instant(2_000_000))).len(), 1);
    assert_eq!(
        wave_after(&at(window, Instant(3_000_000))),
        Some(WaveState::Paused)
    );
}

/// A wave stops while one of its instances drains and another reboots. The draining instance has
/// not been rebooted and serves again; the rebooting instance comes back through its own lifecycle.
fn stopped_wave_releases_drains(state: WaveState) {
    let mut fleet = pool_of(6, 2, 2);
    let ours = Purpose::Wave(name("w"));
    *row(&mut fleet, "i0") = draining(row(&mut fleet, "i0").clone(), ours.clone());
    *row(&mut fleet, "i1") = draining(row(&mut fleet, "i1").clone(), ours);
    row(&mut fleet, "i1").state = State::Maintenance;
    let actions = step(&fleet, &Row { state, ..running() }, START);
    let [back] = put(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(
        (back.id.as_str(), back.state, &back.purpose),
        ("i0", State::Serving, &None)
    );
}

/// State of a wave after `failed` instances failed and `well` came back at the same time, with many
/// still pending.
fn after_failures(failed: usize, well: usize) -> Option<WaveState> {
    let mut fleet = pool_of(60, 2, 50);
    for index in 0..failed + well {
        let member = row(&mut fleet, &format!("i{index}"));
        member.since = START;
        if index < failed {
            member.state = State::Quarantined;
            member.purpose = Some(Purpose::Wave(name("w")));
        } else {
            member.maintained = Some(START);
        }
    }
    wave_after(&step(&fleet, &running(), START))
}

/// Two failures eleven hours apart are unrelated and must not halt the wave.
fn failures_far_apart_do_not_halt() {
    let mut fleet = pool_of(60, 2, 50);
    for (index, since) in [(0, 1_000_000), (1, 40_000_000)] {
        let member = row(&mut fleet, &format!("i{index}"));
        member.state = State::Quarantined;
        member.purpose = Some(Purpose::Wave(name("w")));
        member.since = Instant(since);
    }
    row(&mut fleet, "i2").maintained = Some(START);
    let state = wave_after(&step(&fleet, &running(), Instant(40_000_000)));
    assert_ne!(state, Some(WaveState::Halted));
}

/// A controller may die after any step. Its successor reads the wave's row from JSON and must take
/// the same step.
fn row_alone_is_enough() {
    let mut fleet = pool_of(9, 3, 3);
    row(&mut fleet, "i0").maintained = Some(START);
    let wave = running();
    let json = serde_json::to_string(&wave).expect("it serializes");
    let read: Row = serde_json::from_str(&json).expect("it reads back");
    assert_eq!(step(&fleet, &wave, START), step(&fleet, &read, START));
    assert_eq!(put(&step(&fleet, &read, START)).len(), 2);
}

fn stuck_wave_stores_its_reason_once() {
    let fleet = pool_of(4, 3, 1);
    let actions = step(&fleet, &running(), START);
    let [Action::Wave(wave)] = &*actions else {
        panic!("{actions:?}")
    };
    let reason = wave.reason.as_deref().unwrap_or_default();
    assert!(reason.starts_with("802"), "{reason}");
    assert_eq!(step(&fleet, wave, START), []);
}

fn random_fleet(rng: &mut ChaCha8Rng) -> Fleet {
    let mut rows = Vec::new();
    let mut absent = BTreeSet::new();
    for index in 0..18 {
        let rack = rng.random_range(0..7);
        let (id, rack, zone) = (
            format!("i{index}"),
            format!("r{rack}"),
            format!("z{}", rack % 3),
        );
        let pool = format!("p{}", rng.random_range(0..2));
        let row = serving(&id, &pool, &rack, &zone);
        rows.push(match rng.random_range(0..10) {
            0 => draining(row, Purpose::Operator),
            1 => spare(&id, &rack, &zone),
            2 => {
                absent.insert(row.id.clone());
                row
            }
            _ => row,
        });
    }
    let mut any = || {
        let survive = [Survive::Nothing, Survive::Rack, Survive::Zone][rng.random_range(0..3)];
        budget(rng.random_range(1..6), rng.random_range(1..4), survive)
    };
    let budgets = vec![("p0", any()), ("p1", any())];
    Fleet {
        absent,
        ..fleet(rows, budgets)
    }
}

fn breaches(fleet: &Fleet, leaving: &[&Instance]) -> usize {
    let snapshot = |rows: Vec<Instance>| FleetSnapshot {
        rows,
        budgets: fleet.budgets.clone(),
        down: fleet.absent.clone(),
        known: fleet.absent.clone(),
        ..FleetSnapshot::default()
    };
    let mut after = fleet.rows.clone();
    for row in leaving {
        after.insert(row.id.clone(), (*row).clone());
    }
    let before = snapshot(fleet.rows.values().cloned().collect());
    check::history([&before, &snapshot(after.into_values().collect())]).len()
}

/// By the independent checker, a step's batch breaks no budget, and no further instance could
/// leave.
fn batches_are_safe_and_full() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut left = 0;
    for case in 0..400 {
        let fleet = random_fleet(&mut rng);
        let mut wave = running();
        wave.order.limits.first = 100;
        let actions = step(&fleet, &wave, START);
        let leaving = put(&actions);
        left += leaving.len();
        assert_eq!(breaches(&fleet, &leaving), 0, "case {case}");
        let gone: BTreeSet<_> = leaving.iter().map(|row| &row.id).collect();
        let stays = fleet.rows.values().filter(|row| {
            row.state == State::Serving
                && !gone.contains(&row.id)
                && !fleet.absent.contains(&row.id)
        });
        for row in stays {
            let more = draining(row.clone(), Purpose::Wave(name("w")));
            let all: Vec<_> = leaving.iter().copied().chain([&more]).collect();
            assert!(
                breaches(&fleet, &all) > 0,
                "case {case}: {} could leave too",
                row.id
            );
        }
    }
    assert!(left > 400, "only {left} instances left their pools");
}

/// Losses have left a pool with five members in one zone and three in each of two others. Its
/// promise of six survives the loss of a zone, but none of the six outside the fullest zone can
/// ever leave. A spare is available in another zone. The wave must assign it to the pool instead of
/// waiting.
fn badly_spread() {
    let zones = [
        "z0", "z0", "z0", "z0", "z0", "z1", "z1", "z1", "z2", "z2", "z2",
    ];
    let rows = (0..).zip(zones).map(|(i, zone)| {
        let maintained = (zone == "z0").then_some(START);
        let row = serving(&format!("i{i}"), "p", &format!("r{i}"), zone);
        Instance { maintained, ..row }
    });
    let ready = spare("s", "r99", "z2");
    let rows = rows.chain([ready]).collect();
    let fleet = fleet(rows, vec![("p", budget(6, 2, Survive::Zone))]);
    let pools = BTreeSet::from([name("p")]);
    let wave = Row::begin(
        order(Scope {
            pools,
            ..Scope::default()
        }),
        START,
    );
    let actions = step(&fleet, &wave, Instant(START.0 + 1));
    let put = put(&actions);
    assert_eq!(put.len(), 1, "{actions:?}");
    assert_eq!(
        (put[0].id.as_str(), put[0].pool.clone()),
        ("s", Some(name("p")))
    );
    plan(&fleet, Weights::default(), &wave.order, &[], START).expect("the spare lets it finish");
}

cases! {
    badly_spread_pool_gets_a_spare: badly_spread();
    gojo_beds_dry_run: expect_test::expect!["batches [1, 2, 4, 8, 13, 10, 10, 4], 4800 s, 160.0 slot-hours, 0 moves"].assert_eq(&dry_run(BOTH[0]));
    ikeoluwa_dry_run: expect_test::expect!["batches [1, 2, 4, 8, 16, 13, 6, 1, 1], 5400 s, 252.0 slot-hours, 0 moves"].assert_eq(&dry_run(BOTH[1]));
    impossible_wave: impossible_waves_say_what_would_allow_them();
    overlapping_wave: overlapping_waves_are_refused();
    commands: commands_follow_the_state();
    window: window_bounds_the_wave();
    aborted_wave_lets_drains_serve: stopped_wave_releases_drains(WaveState::Aborted);
    halted_wave_lets_drains_serve: stopped_wave_releases_drains(WaveState::Halted);
    first_failure_halts: assert_eq!(after_failures(1, 0), Some(WaveState::Halted));
    failures_together_halt: assert_eq!(after_failures(2, 8), Some(WaveState::Halted));
    few_among_many_do_not_halt: assert_eq!(after_failures(2, 9), None);
    failures_apart_do_not_halt: failures_far_apart_do_not_halt();
    successor_needs_only_the_row: row_alone_is_enough();
    stuck_wave_stores_its_reason: stuck_wave_stores_its_reason_once();
    batches_against_the_checker: batches_are_safe_and_full();
}
