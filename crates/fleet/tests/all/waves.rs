//! Complete waves over both deployments in the in-memory cluster, with and without faults.

use crate::{
    cluster::{Cluster, Faults, Policy},
    deployment::{self, BOTH},
    fixture::name,
};
use primroseroute_domain::instance::State;
use primroseroute_fleet::{
    budget, measure,
    wave::{Command, Limits, Order, Row, State as WaveState, Window},
};
use std::time::Duration;

/// Number of seeds in each test with faults.
const SEEDS: u64 = 40;

/// Ticks after which a wave over 52 workers counts as stuck; an instance is out for about ten.
const STUCK_TICKS: u64 = 500;

fn order(limits: Limits) -> Order {
    Order {
        id: name("w"),
        scope: primroseroute_fleet::wave::Scope::default(),
        window: Window::default(),
        limits,
    }
}

fn settled(cluster: &Cluster) -> bool {
    let availability_by_pool = budget::availability_by_pool(&cluster.fleet);
    cluster.fleet.rows.len() == 52
        && cluster.fleet.budgets.iter().all(|(pool, budget)| {
            availability_by_pool[pool].deficit(budget) == 0
                && cluster
                    .fleet
                    .rows
                    .values()
                    .all(|row| row.state == State::Serving || row.pool.is_none())
        })
}

fn ended(cluster: &Cluster) -> bool {
    cluster
        .wave
        .as_ref()
        .is_some_and(|wave| wave.state.has_ended())
}

fn has_halted(cluster: &Cluster) -> bool {
    cluster
        .wave
        .as_ref()
        .is_some_and(|wave| wave.state == WaveState::Halted)
}

/// Runs a cluster until its fleet is placed, then a wave until it has ended.
fn full_wave(folder: &str, policy: Policy, faults: Faults, limits: Limits, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(&deployment::read(folder), policy, faults, seed);
    assert!(
        cluster.run(200, settled),
        "seed {seed}: the fleet is placed"
    );
    cluster.meter = measure::Meter::new(deployment::read(folder).weights);
    cluster.wave = Some(Row::begin(order(limits), cluster.now()));
    for _ in 0..10 {
        let is_still = |cluster: &Cluster| {
            cluster
                .wave
                .as_ref()
                .is_some_and(|wave| wave.state != WaveState::Running)
        };
        cluster.run(STUCK_TICKS, is_still);
        if ended(&cluster) {
            break;
        }
        // An operator repairs the failed instances and resumes the wave.
        cluster.repair();
        let wave = cluster.wave.take().expect("it was begun");
        let resumed = wave.command(Command::Resume, cluster.now());
        cluster.wave = Some(resumed.unwrap_or(wave));
        cluster.run(20, |_| false);
    }
    cluster
}

fn minutes(cluster: &Cluster) -> f64 {
    let wave = cluster.wave.as_ref().expect("it was begun");
    measure::rollout_duration(wave, cluster.now()).as_secs_f64() / 60.0
}

/// Without faults, every instance is rebooted once, nothing moves, and time and buffer are within
/// bounds. Compared with one instance at a time and with the whole fleet at once.
fn compare_with_baseline_policies(folder: &str) {
    let calm = Faults {
        lag: 2,
        ..Faults::default()
    };
    let product = full_wave(folder, Policy::Product, calm, Limits::default(), 1);
    let single = Limits {
        max_out: Some(1),
        ..Limits::default()
    };
    let one = full_wave(folder, Policy::Product, calm, single, 1);
    let whole_fleet = full_wave(folder, Policy::WholeFleet, calm, Limits::default(), 1);
    for (label, run) in [
        ("product", &product),
        ("one at a time", &one),
        ("whole fleet", &whole_fleet),
    ] {
        let cost = run.meter.report().total();
        println!(
            "{folder}, {label}: {:.0} min, buffer {:.0} slot-hours, bound {:.0}, {} moves, {} reboots, {} breaches",
            minutes(run),
            cost.buffer_slot_hours,
            cost.bound_slot_hours,
            cost.moves,
            run.reboots,
            run.breaches.len(),
        );
    }
    let cost = product.meter.report().total();
    assert_eq!((product.breaches.len(), one.breaches.len()), (0, 0));
    assert!(
        !whole_fleet.breaches.is_empty(),
        "the checker finds that the whole-fleet policy breaks budgets"
    );
    assert_eq!((product.reboots, cost.moves), (52, 0));
    assert!(minutes(&one) >= 4.0 * minutes(&product));
    assert!(cost.buffer_slot_hours <= 1.1 * cost.bound_slot_hours);
}

/// Combines all faults, different for each seed: reboots that never finish or end with failing
/// checks, a rack lost during the wave, stale lists, unresponsive entries, concurrent operator
/// commands, and a controller that restarts from the rows at random ticks. No invariant may break,
/// and the wave must end with every instance maintained that is not lost.
fn faulty(folder: &str) {
    let (mut reboots, mut halts) = (0, 0);
    for seed in 0..SEEDS {
        let faults = Faults {
            lost_reboot: 20,
            bad_reboot: 20,
            restart: 20,
            operator: 5,
            missed_view: 200,
            lag: usize::try_from(seed % 7).expect("small"),
            rack_lost: Some(40 + 3 * seed),
        };
        let cluster = full_wave(folder, Policy::Product, faults, Limits::default(), seed);
        assert_eq!(cluster.breaches, [], "seed {seed}");
        let wave = cluster.wave.as_ref().expect("it was begun");
        assert!(ended(&cluster), "seed {seed}: {wave:?}");
        halts += u32::from(wave.resumed > wave.started);
        reboots += cluster.reboots;
        for row in cluster
            .fleet
            .rows
            .values()
            .filter(|row| row.state == State::Serving)
        {
            assert!(row.maintained >= Some(wave.started), "seed {seed}: {row:?}");
        }
    }
    println!("{folder}: {reboots} reboots over {SEEDS} seeds, {halts} waves halted at least once");
}

/// With a bad image, every rebooted instance fails its checks. The wave halts at its first instance
/// and touches no other until an operator resumes it.
fn bad_image_halts_at_the_first(folder: &str) {
    let faults = Faults {
        bad_reboot: 1_000,
        ..Faults::default()
    };
    let mut cluster = Cluster::new(&deployment::read(folder), Policy::Product, faults, 1);
    assert!(cluster.run(200, settled));
    cluster.wave = Some(Row::begin(order(Limits::default()), cluster.now()));
    cluster.run(500, |_| false);
    let state = cluster.wave.as_ref().map(|wave| wave.state);
    assert_eq!((state, cluster.reboots), (Some(WaveState::Halted), 1));
    assert_eq!(cluster.breaches, []);
}

/// An image that fails in half of the reboots can pass the first batches by chance. The wave must
/// still halt long before every pool falls below its promise.
fn half_bad_image_halts_early(folder: &str) {
    for seed in 0..SEEDS {
        let faults = Faults {
            bad_reboot: 500,
            ..Faults::default()
        };
        let mut cluster = Cluster::new(&deployment::read(folder), Policy::Product, faults, seed);
        assert!(cluster.run(200, settled));
        cluster.wave = Some(Row::begin(order(Limits::default()), cluster.now()));
        cluster.run(STUCK_TICKS, has_halted);
        let state = cluster.wave.as_ref().map(|wave| wave.state);
        assert_eq!(state, Some(WaveState::Halted), "seed {seed}");
        assert!(
            cluster.reboots <= 16,
            "seed {seed}: {} reboots",
            cluster.reboots
        );
        assert_eq!(cluster.breaches, [], "seed {seed}");
    }
}

/// The entries never take a new view, so the first drain is never acknowledged. The wave must wait
/// for it while all other instances continue to serve.
fn unresponsive_entries_stop_the_wave_and_not_serving(folder: &str) {
    let mut cluster = Cluster::new(
        &deployment::read(folder),
        Policy::Product,
        Faults::default(),
        1,
    );
    assert!(cluster.run(200, settled));
    cluster.wave = Some(Row::begin(order(Limits::default()), cluster.now()));
    cluster.stop_view_updates();
    cluster.run(500, |_| false);
    let draining = cluster
        .fleet
        .rows
        .values()
        .filter(|row| row.state == State::Draining);
    assert!(draining.count() <= 1);
    assert!(cluster.reboots <= 1);
    assert_eq!(cluster.breaches, []);
    let wait = measure::rollout_duration(cluster.wave.as_ref().expect("begun"), cluster.now());
    assert!(wait > Duration::from_secs(4_000));
}

cases! {
    gojo_beds_against_baseline_policies: compare_with_baseline_policies(BOTH[0]);
    ikeoluwa_against_baseline_policies: compare_with_baseline_policies(BOTH[1]);
    gojo_beds_under_faults: faulty(BOTH[0]);
    ikeoluwa_under_faults: faulty(BOTH[1]);
    bad_image_stops_the_wave: bad_image_halts_at_the_first(BOTH[0]);
    half_bad_image_stops_the_wave: half_bad_image_halts_early(BOTH[1]);
    unresponsive_entries_stop_the_wave: unresponsive_entries_stop_the_wave_and_not_serving(BOTH[0]);
}
