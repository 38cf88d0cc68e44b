//! Backoff delays between the attempts of one caller.

use primroseroute_backoff::{Retry, pause};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::BTreeSet, time::Duration};

const FIRST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_millis(400);

/// Creates a property test runner with a fixed seed, so that every run has the same cases.
fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        cases: 256,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Compares with a reference that doubles in a loop: the delay lies in the upper half of its result.
#[test]
fn delay_doubles_with_equal_jitter() {
    let input = (1_u64..500, 1_u64..10_000, 0_u32..2000, 0.0..1.0);
    runner()
        .run(&input, |(first, longest, failures, unit)| {
            let mut reference = first;
            for _ in 0..failures.min(6) {
                reference *= 2;
            }
            let reference = Duration::from_millis(reference.min(longest));
            let (first, longest) = (Duration::from_millis(first), Duration::from_millis(longest));
            let pause = pause(first, longest, failures, unit);
            prop_assert!(reference / 2 <= pause && pause <= reference);
            prop_assert!(unit < 0.5 || pause >= reference.mul_f64(0.75));
            Ok(())
        })
        .unwrap();
}

/// Without growing delays, a store that recovers would be called as often as before its outage.
#[test]
fn delays_grow_while_attempts_fail() {
    let mut retry = Retry::new(FIRST, LONGEST, 1);
    for most in [100, 200, 400, 400, 400] {
        let most = Duration::from_millis(most);
        let pause = retry.failed();
        assert!(most / 2 <= pause && pause <= most, "{pause:?} {most:?}");
    }
    retry.succeeded();
    assert!(retry.failed() <= FIRST);
}

/// Without jitter, callers that fail together would retry together.
#[test]
fn callers_retry_at_different_times() {
    let pauses = (0..50).map(|seed| Retry::new(FIRST, LONGEST, ("jobs", seed)).failed());
    let pauses: BTreeSet<Duration> = pauses.collect();
    assert!(pauses.len() > 45, "{pauses:?}");
}
