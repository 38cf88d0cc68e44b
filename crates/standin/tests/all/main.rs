//! Tests of the simulated platform, backend server and history checker, above all of their faults.

mod backend;
mod checker;
mod client;
mod faults;
mod fleet;
mod table;
mod tasks;

/// Declares a test per case, which runs under paused time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}
pub(crate) use cases;
