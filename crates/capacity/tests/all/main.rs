//! Growth of the control traffic with the size of the deployment, and behaviour after failures. Only
//! counts and virtual time are checked, so results are deterministic.

mod fit;
mod growth;
mod loss;

/// Declares one test per case; a case that returns an error fails.
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
