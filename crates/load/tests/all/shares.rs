//! What accounts are due, against a naive twin that pours capacity out drop by drop.

use primroseroute_domain::id;
use primroseroute_load::share::{Claim, due};
use proptest::{
    collection::vec,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::collections::BTreeMap;

const DROPS: u32 = 20_000;

/// Gives each drop to the account that has least by its share and still asks for more.
fn poured(capacity: f64, claims: &BTreeMap<id::Account, Claim>) -> BTreeMap<id::Account, f64> {
    let drop = capacity / f64::from(DROPS);
    let mut got: BTreeMap<id::Account, f64> = claims.keys().map(|n| (n.clone(), 0.0)).collect();
    for _ in 0..DROPS {
        let thirsty = claims.iter().filter(|(name, c)| got[*name] < c.asked);
        let least =
            thirsty.min_by(|(a, c), (b, d)| (got[*a] / c.share).total_cmp(&(got[*b] / d.share)));
        if let Some((name, _)) = least {
            *got.get_mut(name).expect("every account is there") += drop;
        }
    }
    got
}

#[test]
fn as_a_naive_twin_pours_it() {
    let config = Config {
        failure_persistence: None,
        cases: 40,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let accounts = vec((1_u32..20, 0_u32..200), 1..6);
    let verdict = runner.run(&accounts, |accounts| {
        let claims: BTreeMap<id::Account, Claim> = accounts
            .iter()
            .enumerate()
            .map(|(number, (share, asked))| {
                let name = format!("account-{number}").parse().expect("a name");
                let claim = Claim {
                    share: f64::from(*share),
                    asked: f64::from(*asked),
                };
                (name, claim)
            })
            .collect();
        let exact = due(100.0, &claims);
        for (name, poured) in poured(100.0, &claims) {
            let difference = (exact[&name] - poured).abs();
            proptest::prop_assert!(difference < 0.1, "{name}: {} and {poured}", exact[&name]);
        }
        Ok(())
    });
    verdict.expect("both agree");
}
