//! Placement, compared with exhaustive search on small fleets, and on the example deployments.

use crate::{
    deployment::{self, BOTH},
    fixture::{budget, fleet, name, serving, spare},
};
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet, budget as budgets, lifecycle,
    placement::{Plan, Weights, plan, start_moves, target},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The pool of each instance, in the reference implementation.
type Assignment = BTreeMap<id::Instance, Option<id::Pool>>;

/// Score of the reference implementation, in the order of the objectives, without the spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReferenceScore {
    unmet: usize,
    short: usize,
    cost: usize,
    moves: usize,
}

fn reference_survivors(members: &[&Row], survive: Survive) -> usize {
    let domain = |row: &Row| match survive {
        Survive::Nothing => String::new(),
        Survive::Rack => row.rack.to_string(),
        Survive::Zone => row.zone.to_string(),
    };
    let domains: BTreeSet<_> = members.iter().map(|row| domain(row)).collect();
    let sizes = domains
        .iter()
        .map(|lost| members.iter().filter(|row| domain(row) == *lost).count());
    let lost = if survive == Survive::Nothing {
        0
    } else {
        sizes.max().unwrap_or(0)
    };
    members.len() - lost
}

fn reference_score(
    fleet: &Fleet,
    assignment: &Assignment,
    targets: &BTreeMap<id::Pool, u32>,
    weights: Weights,
) -> ReferenceScore {
    let mut total = ReferenceScore {
        unmet: 0,
        short: 0,
        cost: 0,
        moves: 0,
    };
    for (pool, budget) in &fleet.budgets {
        let members: Vec<_> = fleet
            .rows
            .values()
            .filter(|row| assignment[&row.id].as_ref() == Some(pool))
            .collect();
        let left = reference_survivors(&members, budget.survive);
        total.unmet += (budget.promised as usize).saturating_sub(left);
        total.short += (targets[pool] as usize).saturating_sub(members.len());
        total.cost += weights.buffer as usize * members.len();
    }
    let moved = |row: &&Row| row.pool.is_some() && assignment[&row.id] != row.pool;
    total.moves = fleet.rows.values().filter(moved).count();
    total.cost += weights.moves as usize * total.moves;
    total
}

fn targets(fleet: &Fleet, weights: Weights) -> BTreeMap<id::Pool, u32> {
    let mut racks = BTreeMap::<_, u32>::new();
    let mut zones = BTreeMap::<_, u32>::new();
    for row in fleet.rows.values() {
        *racks.entry(&row.rack).or_default() += 1;
        *zones.entry(&row.zone).or_default() += 1;
    }
    let racks: Vec<_> = racks.into_values().collect();
    let zones: Vec<_> = zones.into_values().collect();
    let members = |budget: &Budget| target(budget, weights, &racks, &zones).members;
    let budgets = fleet.budgets.iter();
    budgets
        .map(|(pool, budget)| (pool.clone(), members(budget)))
        .collect()
}

/// Score of the best of all assignments. A serving member may move but never becomes a spare.
fn exhaustive(fleet: &Fleet, weights: Weights) -> ReferenceScore {
    let targets = targets(fleet, weights);
    let rows: Vec<_> = fleet.rows.values().collect();
    let pools: Vec<_> = fleet.budgets.keys().cloned().collect();
    let choices = pools.len() + 1;
    let all = 0..choices.pow(u32::try_from(rows.len()).expect("a small fleet"));
    let assignments = all.filter_map(|mut code| {
        let mut assignment = Assignment::new();
        for row in &rows {
            let pool = pools.get(code % choices).cloned();
            code /= choices;
            if pool.is_none() && row.pool.is_some() {
                return None;
            }
            assignment.insert(row.id.clone(), pool);
        }
        Some(reference_score(fleet, &assignment, &targets, weights))
    });
    assignments.min().expect("at least one assignment")
}

fn after(fleet: &Fleet, plan: &Plan) -> Assignment {
    let mut assignment: Assignment = fleet
        .rows
        .values()
        .map(|row| (row.id.clone(), row.pool.clone()))
        .collect();
    for step in &plan.moves {
        assignment.insert(step.instance.clone(), Some(step.to.clone()));
    }
    assignment
}

fn random_fleet(rng: &mut ChaCha8Rng, size: usize, racks: usize, pools: usize) -> Fleet {
    let rows = (0..size).map(|i| {
        let rack = rng.random_range(0..racks);
        let at = (
            format!("i{i}"),
            format!("r{rack}"),
            format!("z{}", rack % 3),
        );
        match rng.random_range(0..=pools) {
            0 => spare(&at.0, &at.1, &at.2),
            pool => serving(&at.0, &format!("p{}", pool - 1), &at.1, &at.2),
        }
    });
    let rows = rows.collect();
    let most = u32::try_from(size / pools).expect("a small fleet");
    let mut fleet = fleet(rows, vec![]);
    for pool in 0..pools {
        let survive = if rng.random_bool(0.7) {
            Survive::Rack
        } else {
            Survive::Zone
        };
        let promised = rng.random_range(1..=most.max(2) - 1);
        let budget = budget(promised, rng.random_range(1..=2), survive);
        fleet.budgets.insert(name(&format!("p{pool}")), budget);
    }
    fleet
}

fn small_cases_are_near_the_best() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut plan_moves, mut best_moves, mut optimal, mut optimal_deficits) = (0, 0, 0, 0);
    let cases = 400;
    for case in 0..cases {
        let weights = Weights {
            buffer: 1 + case % 2,
            moves: 1 + case / 2 % 4,
            rollout: 1,
        };
        let fleet = random_fleet(&mut rng, 7, 4, 2);
        let best = exhaustive(&fleet, weights);
        let plan = plan(&fleet, weights);
        let actual = reference_score(
            &fleet,
            &after(&fleet, &plan),
            &targets(&fleet, weights),
            weights,
        );
        assert!(
            actual >= best,
            "better than exhaustive search: {actual:?} {best:?}"
        );
        if plan.held_back == 0 {
            let planned = (plan.score.unmet as usize, plan.score.short as usize);
            assert_eq!(
                (actual.unmet, actual.short),
                planned,
                "the plan's score matches its moves"
            );
        }
        optimal += u32::from(actual == best);
        if (actual.unmet, actual.short) == (best.unmet, best.short) {
            optimal_deficits += 1;
            plan_moves += actual.moves;
            best_moves += best.moves;
        }
    }
    println!(
        "placement: {optimal} of {cases} optimal, {optimal_deficits} with optimal deficits, {plan_moves} moves against {best_moves}"
    );
    assert!(
        optimal * 100 >= cases * 97,
        "{optimal} of {cases} are optimal"
    );
    assert!(
        plan_moves * 10 <= best_moves * 11,
        "{plan_moves} moves against {best_moves}"
    );
}

/// Applies a plan one move at a time and checks the budget before each.
fn no_step_breaks_a_budget() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut drains = 0;
    for _ in 0..300 {
        let mut fleet = random_fleet(&mut rng, 30, 8, 4);
        let plan = plan(
            &fleet,
            Weights {
                buffer: 3,
                moves: 1,
                rollout: 1,
            },
        );
        drains += plan.drains();
        for step in &plan.moves {
            if let Some(from) = &step.from {
                assert!(budgets::allowed_disruptions(&fleet, from).len() <= 2);
                let availability = &budgets::availability_by_pool(&fleet)[from];
                let row = &fleet.rows[&step.instance];
                assert_eq!(
                    availability.check_disruption(row, &fleet.budgets[from]),
                    Ok(())
                );
            }
            let row = fleet
                .rows
                .get_mut(&step.instance)
                .expect("a known instance");
            assert_eq!(row.pool, step.from);
            row.pool = Some(step.to.clone());
            row.state = State::Serving;
        }
    }
    assert!(drains > 100, "only {drains} moves were tried");
}

fn steps_that_begin_together_keep_budgets() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..300 {
        let mut fleet = random_fleet(&mut rng, 30, 8, 4);
        let plan = plan(
            &fleet,
            Weights {
                buffer: 3,
                moves: 1,
                rollout: 1,
            },
        );
        let survivors = |fleet: &Fleet, pool: &id::Pool| {
            let members: Vec<_> = fleet
                .rows
                .values()
                .filter(|row| row.pool.as_ref() == Some(pool) && row.state == State::Serving)
                .collect();
            reference_survivors(&members, fleet.budgets[pool].survive)
        };
        let sources: BTreeSet<_> = plan
            .moves
            .iter()
            .filter_map(|step| step.from.clone())
            .collect();
        let started = start_moves(&fleet, &plan, Instant(1));
        let drained: BTreeSet<_> = started
            .iter()
            .filter(|row| row.state == State::Draining)
            .filter_map(|row| row.pool.clone())
            .collect();
        for row in started {
            fleet.rows.insert(row.id.clone(), row);
        }
        for pool in sources.intersection(&drained) {
            assert!(survivors(&fleet, pool) >= fleet.budgets[pool].promised as usize);
        }
    }
}

/// Places all workers of the deployment in `folder`, starting with spares only.
fn initial_placement(folder: &str) -> String {
    let deployment = deployment::read(folder);
    let mut fleet = deployment.fleet;
    let plan = plan(&fleet, deployment.weights);
    assert_eq!(plan.unmet, BTreeMap::new());
    for row in start_moves(&fleet, &plan, Instant(1)) {
        let row = Row {
            state: State::Serving,
            ..row
        };
        fleet.rows.insert(row.id.clone(), row);
    }
    let availability_by_pool = budgets::availability_by_pool(&fleet);
    let lines = availability_by_pool.iter().map(|(pool, availability)| {
        let budget = fleet.budgets[pool];
        let left = availability.survivors(budget.survive);
        format!(
            "{pool}: {} members, {left} after the worst loss, {} promised\n",
            availability.present(),
            budget.promised
        )
    });
    lines.collect()
}

/// An instance of a pool at its target is quarantined, and a spare replaces it without a drain.
/// When the instance is back, the pool keeps the surplus member: moving it would gain nothing.
fn lost_instance_is_replaced_by_a_spare() {
    let rows = (0..4).map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"));
    let rows: Vec<_> = rows
        .chain([spare("s", "r9", "z"), spare("t", "r8", "z")])
        .collect();
    let mut fleet = fleet(rows, vec![("p", budget(2, 1, Survive::Rack))]);
    assert_eq!(plan(&fleet, Weights::default()).moves, []);
    let lost = fleet.rows.get_mut(&name("i0")).expect("a member");
    lost.state = State::Quarantined;
    let replaced = plan(&fleet, Weights::default());
    assert_eq!(replaced.moves.len(), 1);
    assert_eq!(replaced.drains(), 0);
    for row in start_moves(&fleet, &replaced, Instant(1)) {
        fleet.rows.insert(row.id.clone(), row);
    }
    // The spare is still in probation; a second call must not assign another one to the pool.
    assert_eq!(plan(&fleet, Weights::default()).moves, []);
    let lost = fleet.rows.get_mut(&name("i0")).expect("a member");
    lost.state = State::Serving;
    assert_eq!(plan(&fleet, Weights::default()).moves, []);
}

/// A wave reboots an instance, and the platform lists it as rebooting. It is not lost. When it was
/// treated as lost, the pool got a spare or a member of another pool for each instance of a wave,
/// a move each time.
fn rebooting_instance_is_not_replaced() {
    let rows = (0..4).map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"));
    let rows = rows.chain([spare("s", "r9", "z")]).collect();
    let mut fleet = fleet(rows, vec![("p", budget(2, 1, Survive::Rack))]);
    let out = fleet.rows.get_mut(&name("i0")).expect("a member");
    out.state = State::Maintenance;
    fleet.absent = [name("i0")].into();
    assert_eq!(plan(&fleet, Weights::default()).moves, []);
}

/// A template is deleted while its instances serve. They keep their pool until they have drained
/// for another one, as in any move, and are not treated as spares that can be assigned at once.
fn pool_without_a_template_gives_by_moves() {
    let rows = (0..4).map(|i| serving(&format!("i{i}"), "old", &format!("r{i}"), "z"));
    let fleet = fleet(rows.collect(), vec![("p", budget(2, 1, Survive::Rack))]);
    let plan = plan(&fleet, Weights::default());
    assert_eq!(plan.drains(), 4);
    let started = start_moves(&fleet, &plan, Instant(1));
    assert!(started.iter().all(|row| row.state == State::Draining));
    assert!(started.iter().all(|row| row.pool == Some(name("old"))));
    let spare = lifecycle::assign(&fleet.rows[&name("i0")], &name("p"));
    assert!(spare.is_err());
}

/// Number of drains under `weights`, where a surplus member can move or a spare can be assigned.
fn weights_decide(weights: Weights) -> usize {
    let rows = (0..6).map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"));
    let other = (0..3).map(|i| serving(&format!("j{i}"), "q", &format!("r{i}"), "z"));
    let rows = rows.chain(other).chain([spare("s", "r9", "z")]).collect();
    let budgets = vec![
        ("p", budget(2, 1, Survive::Rack)),
        ("q", budget(2, 1, Survive::Rack)),
    ];
    let plan = plan(&fleet(rows, budgets), weights);
    assert_eq!(plan.moves.len(), 1);
    plan.drains()
}

cases! {
    small_fleets_against_exhaustive_search: small_cases_are_near_the_best();
    plan_breaks_no_budget_on_the_way: no_step_breaks_a_budget();
    steps_together_break_no_budget: steps_that_begin_together_keep_budgets();
    gojo_beds_initial_placement: expect_test::expect![[r"
        gojo-backoffice: 8 members, 7 after the worst loss, 5 promised
        gojo-core: 12 members, 11 after the worst loss, 9 promised
        habesha-stay: 9 members, 8 after the worst loss, 6 promised
        lalibela-rest: 9 members, 8 after the worst loss, 6 promised
        merkato-beds: 11 members, 10 after the worst loss, 8 promised
    "]].assert_eq(&initial_placement(BOTH[0]));
    ikeoluwa_initial_placement: expect_test::expect![[r"
        assess-hub: 9 members, 8 after the worst loss, 5 promised
        cert-office: 12 members, 11 after the worst loss, 8 promised
        gatepass: 11 members, 7 after the worst loss, 6 promised
        lookup-desk: 9 members, 8 after the worst loss, 5 promised
        staff-admin: 8 members, 7 after the worst loss, 4 promised
    "]].assert_eq(&initial_placement(BOTH[1]));
    spare_replaces_a_lost_instance: lost_instance_is_replaced_by_a_spare();
    reboot_causes_no_move: rebooting_instance_is_not_replaced();
    deleted_pool_gives_by_moves: pool_without_a_template_gives_by_moves();
    buffer_weight_moves_a_surplus: assert_eq!(
        weights_decide(Weights { buffer: 2, moves: 1, rollout: 1 }), 1);
    moves_weight_holds_a_spare: assert_eq!(
        weights_decide(Weights { buffer: 1, moves: 4, rollout: 4 }), 0);
}
