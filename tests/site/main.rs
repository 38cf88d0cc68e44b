//! End-to-end tests of job submission and execution: complete entries on a simulated in-memory platform, checked against
//! the responses that callers get and what workers observe.
//!
//! Tokio's clock is paused and every source of randomness is seeded, so runs are reproducible.

mod accept;
mod accounts;
mod advice;
mod cancel;
mod cancel_unknown;
mod capacity;
mod crash;
mod crash_evidence;
mod diagnosis;
mod elections;
mod fixture;
mod inspect;
mod log_capture;
mod long_rows;
mod maintain;
mod membership;
mod metrics;
mod moves;
mod overload;
mod published_load;
mod random;
mod reassigned;
mod retention;
mod reused_ids;
mod speed;
mod store;
mod store_overload;
mod store_unreachable;
mod takeover;
mod termination;
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
