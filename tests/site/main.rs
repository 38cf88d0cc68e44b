//! End-to-end tests of job submission and execution: complete entries on a simulated in-memory platform, judged by
//! the responses that callers get and by what workers observe.
//!
//! Tokio's clock is paused and every source of randomness is seeded, so runs are reproducible.

mod accept;
mod advice;
mod bed;
mod cancel;
mod crash;
mod figures;
mod forget;
mod herd;
mod inspect;
mod lines;
mod lives;
mod maintain;
mod moves;
mod random;
mod reborn;
mod room;
mod store;
mod stories;
mod takeover;
mod worker;

/// Declares one test per case; a case fails by returning an error.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() -> eyre::Result<()> {
            $body.await
        }
    )*};
}
pub(crate) use cases;
