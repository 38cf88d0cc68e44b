//! Tests of the link between entries.

mod board;
mod delta;
mod fake;
mod intake;
mod membership;
mod memory;
mod proof;

/// Names a case: one line a test, run on a paused clock where it is `async`.
macro_rules! cases {
    ($($(#[$doc:meta])* async $name:ident => $body:expr;)+) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)] async fn $name() { $body.await; })+
    };
    ($($(#[$doc:meta])* $name:ident => $body:expr;)+) => {
        $($(#[$doc])* #[test] fn $name() { $body; })+
    };
}
pub(crate) use cases;

/// A property runner with a fixed seed: the same cases on every run.
pub(crate) fn runner() -> proptest::test_runner::TestRunner {
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let config = Config {
        failure_persistence: None,
        cases: 256,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}
