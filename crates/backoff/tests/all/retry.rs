//! Pauses between the tries of one caller.

use primroseroute_backoff::{Retry, pause};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::BTreeSet, time::Duration};

const FIRST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_millis(400);

/// A property runner with a fixed seed: the same cases on every run.
fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        cases: 256,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// The naive twin doubles in a loop; the pause lies in the upper half of what that gives.
#[test]
fn pause_doubles_with_half_jitter() {
    let input = (1_u64..500, 1_u64..10_000, 0_u32..2000, 0.0..1.0);
    runner()
        .run(&input, |(first, longest, failures, unit)| {
            let mut whole = first;
            for _ in 0..failures.min(6) {
                whole *= 2;
            }
            let whole = Duration::from_millis(whole.min(longest));
            let (first, longest) = (Duration::from_millis(first), Duration::from_millis(longest));
            let pause = pause(first, longest, failures, unit);
            prop_assert!(whole / 2 <= pause && pause <= whole);
            prop_assert!(unit < 0.5 || pause >= whole.mul_f64(0.75));
            Ok(())
        })
        .unwrap();
}

/// A store that comes back meets calls as dense as those before it went.
#[test]
fn pauses_grow_while_tries_fail() {
    let mut retry = Retry::new(FIRST, LONGEST, 1);
    for most in [100, 200, 400, 400, 400] {
        let most = Duration::from_millis(most);
        let pause = retry.failed();
        assert!(most / 2 <= pause && pause <= most, "{pause:?} {most:?}");
    }
    retry.succeeded();
    assert!(retry.failed() <= FIRST);
}

/// Callers that fail together come back together.
#[test]
fn callers_come_back_at_different_times() {
    let pauses = (0..50).map(|seed| Retry::new(FIRST, LONGEST, ("jobs", seed)).failed());
    let pauses: BTreeSet<Duration> = pauses.collect();
    assert!(pauses.len() > 45, "{pauses:?}");
}
