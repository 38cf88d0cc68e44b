//! Targets under overload and faults, in a simulation of seven entries and twenty workers.

use crate::{
    fixture::cases,
    sim::{Outcome, Scenario, Strategy, flood, run, single},
};

fn small() -> Scenario {
    Scenario {
        workers: 20,
        ..Scenario::default()
    }
}

/// Goodput of at least 95% of capacity, at least 90% of its reachable fair part for each account,
/// less than 1% overruns, and a total quota of at most the slots.
fn meets_the_targets(scenario: &Scenario) {
    let outcome = run(scenario);
    let Outcome {
        goodput,
        reachable,
        overruns,
        max_quota_sum,
        ..
    } = outcome;
    assert!(goodput >= 0.95, "{outcome:?}");
    assert!(reachable >= 0.9, "{outcome:?}");
    assert!(overruns < 0.01, "{outcome:?}");
    assert!(max_quota_sum <= 8, "{outcome:?}");
}

cases! {
    meets_the_targets:
    half_load(&Scenario { load: 0.5, ..small() });
    near_capacity(&Scenario { load: 0.9, ..small() });
    over_capacity(&Scenario { load: 1.2, ..small() });
    twice_capacity(&Scenario { load: 2.0, ..small() });
    one_entry_has_most_callers(&Scenario { hot: 0.7, load: 0.9, ..small() });
    one_entry_has_most_callers_over_capacity(&Scenario { hot: 0.7, load: 2.0, ..small() });
    one_account_floods(&Scenario { accounts: flood(), hot: 0.7, load: 2.0, ..small() });
    one_account_calls_at_one_entry(&Scenario { accounts: single(), load: 2.0, ..small() });
    one_worker_is_slow(&Scenario { slow: true, load: 1.2, ..small() });
    one_worker_fails(&Scenario { failing: true, load: 0.9, ..small() });
}

#[test]
fn a_failing_worker_receives_little_of_the_load() {
    let outcome = run(&Scenario {
        failing: true,
        load: 0.9,
        ..small()
    });
    assert!(outcome.failing_worker_share < 0.02, "{outcome:?}");
}

/// Confirms the design note's comparison with the rejected alternatives: lending avoids the overruns
/// of least load, and serves callers that subsets and fixed slots refuse.
#[test]
fn the_alternatives_do_worse_if_one_entry_has_most_callers() {
    let of = |strategy| {
        run(&Scenario {
            strategy,
            hot: 0.7,
            load: 0.9,
            ..small()
        })
    };
    assert!(of(Strategy::LeastLoad).overruns > 0.05);
    assert!(of(Strategy::Subset).goodput < 0.7);
    assert!(of(Strategy::Own).goodput < 0.7);
}
