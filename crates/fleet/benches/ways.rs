//! Comparison of placement algorithms on the same fleets: time, unmet promises and changes.
//!
//! `cargo bench -p primroseroute-fleet --bench ways` prints a table. The members of each fleet are
//! placed at random at first, so that many pools are concentrated in one rack.

use microlp::{ComparisonOp, OptimizationDirection, Problem};
use primroseroute_domain::{
    account::{Budget, Survive},
    instance::{Row, State},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet, budget,
    placement::{self, Weights},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, net::SocketAddr, time::Instant as Clock};

/// Fleet sizes in workers. The linear program is skipped above the second, where it takes minutes.
const SIZES: [u32; 3] = [50, 300, 1_200];

/// Largest fleet for which the linear program is solved.
const LINEAR_MAX_WORKERS: u32 = 300;

const WORKERS_PER_RACK: u32 = 4;

fn crowded(workers: u32) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(workers));
    let pools = workers * 270 / 1_200;
    let mut row = |index: u32| {
        let pool = rng.random_range(0..pools * 11 / 10);
        let is_spare = pool >= pools;
        Row {
            id: format!("i{index:05}").parse().expect("a name"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: format!("z{}", index / WORKERS_PER_RACK % 5)
                .parse()
                .expect("a name"),
            rack: format!("r{}", index / WORKERS_PER_RACK)
                .parse()
                .expect("a name"),
            pool: (!is_spare).then(|| format!("p{pool:04}").parse().expect("a name")),
            state: if is_spare {
                State::Probation
            } else {
                State::Serving
            },
            purpose: None,
            since: Instant(0),
            maintained: None,
        }
    };
    let budget = |index: u32| Budget {
        promised: 1 + index % 3,
        max_absent: 1,
        survive: Survive::Rack,
    };
    Fleet {
        rows: (0..workers)
            .map(&mut row)
            .map(|row| (row.id.clone(), row))
            .collect(),
        budgets: (0..pools)
            .map(|index| {
                (
                    format!("p{index:04}").parse().expect("a name"),
                    budget(index),
                )
            })
            .collect(),
        ..Fleet::default()
    }
}

fn unmet(fleet: &Fleet) -> u32 {
    let availability_by_pool = budget::availability_by_pool(fleet);
    fleet
        .budgets
        .iter()
        .map(|(pool, budget)| availability_by_pool[pool].deficit(budget))
        .sum()
}

/// Baseline: fills each pool in turn to its target with the next spare or surplus member,
/// regardless of its rack.
fn baseline(fleet: &Fleet) -> (Fleet, usize) {
    let mut after = fleet.clone();
    let mut changes = 0;
    let target = |budget: &Budget| budget.promised as usize + 2;
    for (pool, budget) in &fleet.budgets {
        loop {
            let mut held: BTreeMap<_, usize> = BTreeMap::new();
            for row in after.rows.values() {
                *held.entry(row.pool.clone()).or_default() += 1;
            }
            if held.get(&Some(pool.clone())).copied().unwrap_or(0) >= target(budget) {
                break;
            }
            let gives = |row: &&mut Row| {
                row.pool
                    .as_ref()
                    .is_none_or(|from| held[&Some(from.clone())] > target(&fleet.budgets[from]))
            };
            let Some(row) = after.rows.values_mut().find(gives) else {
                break;
            };
            row.pool = Some(pool.clone());
            row.state = State::Serving;
            changes += 1;
        }
    }
    (after, changes)
}

/// Transportation problem: at most one member of pool p in rack r, where each new one costs a
/// change.
///
/// Its matrix is totally unimodular, so the solution is integral; the worst loss is one per pool.
fn linear(fleet: &Fleet) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let mut capacity: BTreeMap<_, f64> = BTreeMap::new();
    let mut members: BTreeMap<_, u32> = BTreeMap::new();
    for row in fleet.rows.values() {
        *capacity.entry(&row.rack).or_default() += 1.0;
        if let Some(pool) = &row.pool {
            *members.entry((&row.rack, pool)).or_default() += 1;
        }
    }
    let mut by_rack: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (pool, budget) in &fleet.budgets {
        let mut by_pool = Vec::new();
        for rack in capacity.keys() {
            let cost = if members.contains_key(&(*rack, pool)) {
                0.0
            } else {
                1.0
            };
            let variable = problem.add_var(cost, (0.0, 1.0));
            by_pool.push((variable, 1.0));
            by_rack.entry(*rack).or_default().push((variable, 1.0));
        }
        problem.add_constraint(&by_pool, ComparisonOp::Ge, f64::from(budget.promised + 2));
    }
    for (rack, variables) in by_rack {
        problem.add_constraint(&variables, ComparisonOp::Le, capacity[rack]);
    }
    problem.solve().ok().map(|solution| solution.objective())
}

fn main() {
    for workers in SIZES {
        let fleet = crowded(workers);
        println!(
            "{workers} workers, {} pools, {} unmet",
            fleet.budgets.len(),
            unmet(&fleet)
        );
        let clock = Clock::now();
        let (after, changes) = baseline(&fleet);
        println!(
            "  naive: {:?}, {changes} changes, {} unmet",
            clock.elapsed(),
            unmet(&after)
        );
        let clock = Clock::now();
        let plan = placement::plan(&fleet, Weights::default());
        let took = clock.elapsed();
        println!(
            "  greedy and local search: {took:?}, {} changes of which {} moves, {} unmet, {} short, {} held back",
            plan.moves.len(),
            plan.drains(),
            plan.score.unmet,
            plan.score.short,
            plan.held_back,
        );
        if workers <= LINEAR_MAX_WORKERS {
            let clock = Clock::now();
            let least = linear(&fleet);
            println!(
                "  linear program: {:?}, least changes {least:?}",
                clock.elapsed()
            );
        }
    }
}
