//! Jobs end to end over the platform stand-in: no failure may cause two concurrent runs of one job.

mod lifecycle;
mod operator;
mod races;
mod random_faults;
mod row_writes;
mod simulation;

/// Defines a named test per case; all run with paused time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}
use cases;
