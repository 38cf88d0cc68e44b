//! Shared test fixtures: names, views, arrivals.

use primroseroute_domain::{account::Class, id, instance::State};
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    request::{Action, Arrival, AttemptOutcome},
    view::{Member, View},
};
use proptest::{
    strategy::Strategy,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{fmt::Debug, str::FromStr, time::Duration};

/// Generates a named test for each case of a check function.
macro_rules! cases {
    ($check:ident: $($name:ident($($argument:expr),*);)+) => {
        $(#[test]
        fn $name() {
            $check($($argument),*);
        })+
    };
}
pub(crate) use cases;

pub fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("test names are valid")
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A view of `workers` serving instances, four per rack, with racks spread over three zones.
pub fn view(workers: usize, entries: usize) -> View {
    let member = |at: usize| Member {
        state: State::Serving,
        zone: name(&format!("zone-{}", at / 4 % 3)),
        rack: name(&format!("rack-{}", at / 4)),
    };
    View {
        members: (0..workers).map(|at| (worker(at), member(at))).collect(),
        entries: (0..entries).map(entry).collect(),
        ..View::default()
    }
}

pub fn worker(at: usize) -> id::Instance {
    name(&format!("w{at}"))
}

pub fn entry(at: usize) -> id::Entry {
    name(&format!("e{at}"))
}

/// A pool at the first of `entries` entries.
pub fn pool(workers: usize, entries: usize, limits: Limits) -> Pool {
    let mut pool = Pool::new(entry(0), 1, limits, 7);
    pool.apply_view(Duration::ZERO, &view(workers, entries));
    pool
}

pub fn arrival(request: u64, deadline: Duration) -> Arrival {
    Arrival {
        request,
        account: name("gojo"),
        service: name("stay"),
        class: Class::Urgent,
        deadline,
        idempotent: false,
    }
}

pub fn good(millis: u64) -> AttemptOutcome {
    AttemptOutcome::Responded {
        latency: ms(millis),
        failure: false,
    }
}

pub fn bad() -> AttemptOutcome {
    AttemptOutcome::Responded {
        latency: ms(0),
        failure: true,
    }
}

/// The request and instance of each `Send`, in order.
pub fn sent(actions: &[Action]) -> Vec<(u64, id::Instance)> {
    let send = |action: &Action| match action {
        Action::Send {
            request, instance, ..
        } => Some((*request, instance.clone())),
        Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The request and code number of each refusal, in order.
pub fn refused(actions: &[Action]) -> Vec<(u64, u16)> {
    let refuse = |action: &Action| match action {
        Action::Refuse { request, code, .. } => Some((*request, code.number())),
        Action::Send { .. } => None,
    };
    actions.iter().filter_map(refuse).collect()
}

/// Checks a property on `cases` deterministic inputs.
pub fn check<S: Strategy>(cases: u32, strategy: &S, test: impl Fn(S::Value)) {
    let config = Config {
        failure_persistence: None,
        cases,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let run = |value| {
        test(value);
        Ok(())
    };
    if let Err(fault) = TestRunner::new_with_rng(config, rng).run(strategy, run) {
        panic!("{fault}");
    }
}
