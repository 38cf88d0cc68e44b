//! Compares the allocation with a reference implementation that hands out capacity in small steps.

use primroseroute_domain::id;
use primroseroute_load::share::{AccountDemand, allocate};
use proptest::{
    collection::vec,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::collections::BTreeMap;

const STEPS: u32 = 20_000;

/// Gives each step to the account with the least allocation per share among those with unmet
/// demand.
fn reference_allocation(
    capacity: f64,
    demands: &BTreeMap<id::Account, AccountDemand>,
) -> BTreeMap<id::Account, f64> {
    let step = capacity / f64::from(STEPS);
    let mut got: BTreeMap<id::Account, f64> = demands.keys().map(|n| (n.clone(), 0.0)).collect();
    for _ in 0..STEPS {
        let unmet = demands.iter().filter(|(name, c)| got[*name] < c.demand);
        let least =
            unmet.min_by(|(a, c), (b, d)| (got[*a] / c.share).total_cmp(&(got[*b] / d.share)));
        if let Some((name, _)) = least {
            *got.get_mut(name).expect("every account is there") += step;
        }
    }
    got
}

#[test]
fn matches_the_reference_allocation() {
    let config = Config {
        failure_persistence: None,
        cases: 40,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let accounts = vec((1_u32..20, 0_u32..200), 1..6);
    let result = runner.run(&accounts, |accounts| {
        let demands: BTreeMap<id::Account, AccountDemand> = accounts
            .iter()
            .enumerate()
            .map(|(number, (share, demand))| {
                let name = format!("account-{number}").parse().expect("a name");
                let account_demand = AccountDemand {
                    share: f64::from(*share),
                    demand: f64::from(*demand),
                };
                (name, account_demand)
            })
            .collect();
        let exact = allocate(100.0, &demands);
        for (name, expected) in reference_allocation(100.0, &demands) {
            let difference = (exact[&name] - expected).abs();
            proptest::prop_assert!(difference < 0.1, "{name}: {} and {expected}", exact[&name]);
        }
        Ok(())
    });
    result.expect("the allocations agree");
}
