//! Backoff delays between the attempts of one caller.

use primroseroute_backoff::{Retry, backoff_delay};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::BTreeSet, time::Duration};

const INITIAL: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_millis(400);

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
        .run(&input, |(initial, max, failures, unit)| {
            let mut reference = initial;
            for _ in 0..failures.min(6) {
                reference *= 2;
            }
            let reference = Duration::from_millis(reference.min(max));
            let (initial, max) = (Duration::from_millis(initial), Duration::from_millis(max));
            let delay = backoff_delay(initial, max, failures, unit);
            prop_assert!(reference / 2 <= delay && delay <= reference);
            prop_assert!(unit < 0.5 || delay >= reference.mul_f64(0.75));
            Ok(())
        })
        .unwrap();
}

/// Without growing delays, a store that recovers would be called as often as before its outage.
#[test]
fn delays_grow_while_attempts_fail() {
    let mut retry = Retry::new(INITIAL, MAX, 1);
    for max in [100, 200, 400, 400, 400] {
        let max = Duration::from_millis(max);
        let delay = retry.next_delay();
        assert!(max / 2 <= delay && delay <= max, "{delay:?} {max:?}");
    }
    retry.reset();
    assert!(retry.next_delay() <= INITIAL);
}

/// Without jitter, callers that fail together would retry together.
#[test]
fn callers_retry_at_different_times() {
    let delays = (0..50).map(|seed| Retry::new(INITIAL, MAX, ("jobs", seed)).next_delay());
    let delays: BTreeSet<Duration> = delays.collect();
    assert!(delays.len() > 45, "{delays:?}");
}
