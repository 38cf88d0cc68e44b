//! Random trails: compares the replay with the reference implementation.

use crate::{
    fixture::{
        Trail, account, delete, instance, name, near, period, rolled_out, row, template, wave,
        wave_row,
    },
    reference::{Sums, sums},
};
use primroseroute_domain::{
    change::Edit,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_ledger::key;
use primroseroute_report::Report;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

cases! {
    replay_agrees_with_a_naive_one => agree();
}

/// Number of random trails. They take less than a second in total and contain each kind of step
/// hundreds of times.
const CASES: u32 = 400;

const POOLS: [&str; 3] = ["p", "q", "r"];

const STATES: [State; 7] = [
    State::Arriving,
    State::Probation,
    State::Serving,
    State::Draining,
    State::Maintenance,
    State::Quarantined,
    State::Leaving,
];

/// Content of one change.
#[derive(Clone, Debug)]
enum Step {
    PutInstance {
        row: usize,
        pool: usize,
        state: usize,
        purpose: usize,
        maintained: bool,
    },
    DeleteInstance(usize),
    PutAccount {
        pool: usize,
        promised: u32,
        account: usize,
    },
    DeleteAccount(usize),
    /// Starts the wave, or ends it if it is running.
    ToggleWave {
        wave: usize,
        pool: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let put = (0..4usize, 0..4usize, 0..7usize, 0..4usize, any::<bool>());
    let put = put.prop_map(
        |(row, pool, state, purpose, maintained)| Step::PutInstance {
            row,
            pool,
            state,
            purpose,
            maintained,
        },
    );
    let put_account = (0..3usize, 1..3u32, 0..2usize);
    prop_oneof![
        6 => put,
        1 => (0..4usize).prop_map(Step::DeleteInstance),
        3 => put_account.prop_map(|(pool, promised, account)| Step::PutAccount {
            pool,
            promised,
            account,
        }),
        1 => (0..2usize).prop_map(Step::DeleteAccount),
        3 => (0..2usize, 0..4usize).prop_map(|(wave, pool)| Step::ToggleWave { wave, pool }),
    ]
}

fn edit(step: &Step, at: u64, running: &mut [Option<primroseroute_fleet::wave::Row>; 2]) -> Edit {
    match *step {
        Step::PutInstance {
            row: number,
            pool,
            state,
            purpose,
            maintained,
        } => {
            let purpose = [
                None,
                Some(Purpose::Wave(name("w0"))),
                Some(Purpose::Move(name("q"))),
                Some(Purpose::Leave),
            ][purpose]
                .clone();
            let put = row(
                &format!("i{number}"),
                POOLS.get(pool).copied(),
                STATES[state],
                purpose,
            );
            let maintained = maintained.then_some(Instant(at));
            instance(&Row { maintained, ..put })
        }
        Step::DeleteInstance(number) => delete(key::instance(&name(&format!("i{number}")))),
        Step::PutAccount {
            pool,
            promised,
            account: number,
        } => account(&template(["a", "b"][number], POOLS[pool], promised)),
        Step::DeleteAccount(number) => delete(key::account(&name(["a", "b"][number]))),
        Step::ToggleWave { wave: number, pool } => {
            let next = match running[number].take() {
                Some(row) => rolled_out(row, at),
                None => wave_row(
                    &format!("w{number}"),
                    POOLS.get(pool..=pool).unwrap_or(&[]),
                    at,
                ),
            };
            running[number] = next.ended.is_none().then(|| next.clone());
            wave(&next)
        }
    }
}

/// Builds a trail in which some records have equal times and some are older than the one before.
fn trail(steps: &[(i64, Step)]) -> Trail {
    let mut at = 10_u64;
    let mut running = [None, None];
    steps.iter().fold(Trail::default(), |trail, (later, step)| {
        at = at.saturating_add_signed(*later);
        trail.at(at, vec![edit(step, at, &mut running)])
    })
}

fn compare(report: &Report, sums: &Sums) {
    assert_eq!(report.changes, sums.changes);
    near(report.spare_slot_hours, sums.spare);
    for (pool, line) in &report.pools {
        let buffer = sums.buffer.get(pool).copied().unwrap_or_default();
        near(line.cost.buffer_slot_hours, buffer);
        let moves = sums.moves.get(pool).copied().unwrap_or_default();
        assert_eq!(line.cost.moves, moves, "{pool}");
        let seconds = sums.pool_seconds.get(pool).copied().unwrap_or_default();
        near(line.rollout_seconds, seconds);
    }
    let missing = sums
        .buffer
        .iter()
        .find(|(pool, cost)| **cost > 0.0 && !report.pools.contains_key(*pool));
    assert_eq!(missing, None);
    for (account, line) in &report.accounts {
        let pools = report
            .pools
            .iter()
            .filter(|(pool, _)| report.owners.get(*pool) == Some(account));
        let buffer: f64 = pools.map(|(_, line)| line.cost.buffer_slot_hours).sum();
        near(line.cost.buffer_slot_hours, buffer);
        let seconds = sums
            .account_seconds
            .get(account)
            .copied()
            .unwrap_or_default();
        near(line.rollout_seconds, seconds);
    }
    compare_waves(report, sums);
}

fn compare_waves(report: &Report, sums: &Sums) {
    let names: Vec<_> = report
        .waves
        .iter()
        .map(|wave| (wave.started.0, wave.id.to_string()))
        .collect();
    assert_eq!(names, sums.wave_pools.keys().cloned().collect::<Vec<_>>());
    for (name, wave) in names.iter().zip(&report.waves) {
        assert_eq!(wave.pools, sums.wave_pools[name]);
        let buffers = sums.wave_buffer.get(name);
        let of_pool = |pool| {
            buffers
                .and_then(|found| found.get(pool))
                .copied()
                .unwrap_or_default()
        };
        let buffer: f64 = wave.pools.iter().map(of_pool).sum();
        near(wave.cost.buffer_slot_hours, buffer);
        let moves = sums.wave_moves.get(name);
        let of_pool = |pool| {
            moves
                .and_then(|found| found.get(pool))
                .copied()
                .unwrap_or_default()
        };
        assert_eq!(
            wave.cost.moves,
            wave.pools.iter().map(of_pool).sum::<u32>(),
            "{wave:?}"
        );
    }
}

fn agree() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let given = (vec((-1..4i64, step()), 0..30), 5..25u64, 0..40u64);
    let result = runner.run(&given, |(steps, from, length)| {
        let trail = trail(&steps);
        let found = trail
            .replay(from, from + length)
            .expect("the trail has no gap");
        compare(&found.report, &sums(&trail.0, period(from, from + length)));
        Ok(())
    });
    result.expect("the replay agrees with the reference");
}
