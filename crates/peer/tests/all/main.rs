//! Tests of the communication between entries.

mod cost;
mod delta;
mod fake;
mod hostile;
mod membership;
mod memory;
mod node;
mod peer_table;
mod proof;
mod rpc;
mod selection;

/// Declares tests, one per line; `async` ones run on a paused clock.
macro_rules! cases {
    ($($(#[$doc:meta])* async $name:ident => $body:expr;)+) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)] async fn $name() { $body.await; })+
    };
    ($($(#[$doc:meta])* $name:ident => $body:expr;)+) => {
        $($(#[$doc])* #[test] fn $name() { $body; })+
    };
}
pub(crate) use cases;

/// Declares tests that use real sockets, in a `LocalSet` for tasks that are not `Send`.
macro_rules! local_cases {
    ($($name:ident => $body:expr;)+) => {
        $(#[tokio::test] async fn $name() {
            tokio::task::LocalSet::new().run_until($body).await;
        })+
    };
}
pub(crate) use local_cases;

/// A property test runner with a fixed seed, for the same cases in every run.
pub(crate) fn runner() -> proptest::test_runner::TestRunner {
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let config = Config {
        failure_persistence: None,
        cases: 256,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}
