//! Plans out of bounds are rejected, and random choices follow the seed and the weights.

use primroseroute_load::{
    Arrivals, InvalidPlan, Loop, MAX_REQUESTS, MAX_TIME, Plan, Profile, Target,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

pub(crate) fn profile(account: &str, weight: f64) -> Profile {
    Profile {
        account: account.parse().expect("an account's name"),
        token: "secret".into(),
        method: http::Method::POST,
        path: "/beds".into(),
        body: "bed".into(),
        keyed: false,
        weight,
    }
}

pub(crate) fn plan(address: &str) -> Plan {
    Plan {
        pace: Loop::Closed { callers: 4 },
        warm_up: Duration::ZERO,
        measured: Duration::from_secs(30),
        requests: 200,
        in_flight: 64,
        targets: vec![Target {
            address: address.parse().expect("an address"),
            weight: 1.0,
        }],
        mix: vec![profile("stay", 1.0)],
        timeout: Duration::from_secs(30),
        seed: 7,
    }
}

macro_rules! rejected {
    ($($name:ident: $change:expr => $invalid:pat,)*) => {$(
        #[test]
        fn $name() {
            let mut changed = plan("127.0.0.1:9");
            assert_eq!(changed.check(), Ok(()));
            let change: fn(&mut Plan) = $change;
            change(&mut changed);
            assert!(matches!(changed.check(), Err($invalid)), "{:?}", changed.check());
        }
    )*};
}

rejected! {
    targets_must_be_loopback_addresses: |plan| plan.targets[0].address = "192.0.2.1:80".parse().unwrap()
        => InvalidPlan::NotLoopback(_),
    time_is_bounded: |plan| plan.measured = MAX_TIME + Duration::from_secs(1)
        => InvalidPlan::TooLong,
    requests_are_bounded: |plan| plan.requests = MAX_REQUESTS + 1 => InvalidPlan::TooMany,
    callers_are_bounded: |plan| plan.pace = Loop::Closed { callers: 5000 } => InvalidPlan::TooMany,
    requests_in_flight_are_bounded: |plan| {
        plan.pace = Loop::Open { rate: 1.0 };
        plan.in_flight = 5000;
    } => InvalidPlan::TooMany,
    rate_must_be_above_zero: |plan| plan.pace = Loop::Open { rate: 0.0 } => InvalidPlan::Rate,
    weights_must_be_above_zero: |plan| plan.mix[0].weight = 0.0 => InvalidPlan::Weights,
    plan_must_have_a_profile: |plan| plan.mix.clear() => InvalidPlan::Weights,
}

#[test]
fn arrivals_follow_the_seed_and_the_rate() {
    let arrivals = |seed| {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Arrivals::open(1000.0, random)
            .take(20_000)
            .collect::<Vec<_>>()
    };
    let first = arrivals(1);
    assert_eq!(first, arrivals(1));
    assert_ne!(first, arrivals(2));
    assert!(first.is_sorted());
    // The standard error of the mean of 20,000 exponential gaps is 0.7%.
    let last = first.last().expect("there are arrivals").as_secs_f64();
    assert!(
        (last - 20.0).abs() < 0.6,
        "{last} s for 20,000 arrivals at 1,000 per second"
    );
}
