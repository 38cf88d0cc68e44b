//! Pauses between tries.

use crate::{cases, runner};
use primroseroute_peer::backoff;
use proptest::prelude::*;
use std::time::Duration;

/// The naive twin doubles in a loop; the pause lies in the upper half of what that gives.
fn same_as_naive() {
    let input = (1_u64..500, 1_u64..10_000, 0_u32..2000, 0.0..1.0);
    runner()
        .run(&input, |(first, longest, failures, unit)| {
            let mut whole = first;
            for _ in 0..failures.min(6) {
                whole *= 2;
            }
            let whole = Duration::from_millis(whole.min(longest));
            let (first, longest) = (Duration::from_millis(first), Duration::from_millis(longest));
            let pause = backoff::pause(first, longest, failures, unit);
            prop_assert!(whole / 2 <= pause && pause <= whole);
            prop_assert!(unit < 0.5 || pause >= whole.mul_f64(0.75));
            Ok(())
        })
        .unwrap();
}

cases! {
    pause_doubles_with_half_jitter => same_as_naive();
}
