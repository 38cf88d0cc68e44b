//! Targets under overload and faults, in a simulation of seven entries and twenty workers.

use crate::{
    fixture::cases,
    sim::{Case, Outcome, Way, flood, run, single},
};

fn small() -> Case {
    Case {
        workers: 20,
        ..Case::default()
    }
}

/// Goodput of at least 95% of capacity, at least 90% of its reachable fair part for each account,
/// less than 1% overruns, and a total quota of at most the slots.
fn meets_the_targets(case: &Case) {
    let outcome = run(case);
    let Outcome {
        goodput,
        reachable,
        overruns,
        most_rights,
        ..
    } = outcome;
    assert!(goodput >= 0.95, "{outcome:?}");
    assert!(reachable >= 0.9, "{outcome:?}");
    assert!(overruns < 0.01, "{outcome:?}");
    assert!(most_rights <= 8, "{outcome:?}");
}

cases! {
    meets_the_targets:
    half_load(&Case { load: 0.5, ..small() });
    near_capacity(&Case { load: 0.9, ..small() });
    over_capacity(&Case { load: 1.2, ..small() });
    twice_capacity(&Case { load: 2.0, ..small() });
    one_entry_has_most_callers(&Case { hot: 0.7, load: 0.9, ..small() });
    one_entry_has_most_callers_over_capacity(&Case { hot: 0.7, load: 2.0, ..small() });
    one_account_floods(&Case { accounts: flood(), hot: 0.7, load: 2.0, ..small() });
    one_account_calls_at_one_entry(&Case { accounts: single(), load: 2.0, ..small() });
    one_worker_is_slow(&Case { slow: true, load: 1.2, ..small() });
    one_worker_fails(&Case { failing: true, load: 0.9, ..small() });
}

#[test]
fn a_failing_worker_receives_little_of_the_load() {
    let outcome = run(&Case {
        failing: true,
        load: 0.9,
        ..small()
    });
    assert!(outcome.drawn < 0.02, "{outcome:?}");
}

/// Confirms the design note's comparison with the rejected alternatives: lending avoids the overruns
/// of least load, and serves callers that subsets and fixed slots refuse.
#[test]
fn the_alternatives_do_worse_if_one_entry_has_most_callers() {
    let of = |way| {
        run(&Case {
            way,
            hot: 0.7,
            load: 0.9,
            ..small()
        })
    };
    assert!(of(Way::LeastLoad).overruns > 0.05);
    assert!(of(Way::Subset).goodput < 0.7);
    assert!(of(Way::Own).goodput < 0.7);
}
