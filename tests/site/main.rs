//! Whole entries of the job path over a site in memory: what callers are told and workers see.
//!
//! Time is paused and every source of randomness has a seed, so a run repeats.

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

/// Names each case; a case that returns an error fails.
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
