//! What control asks for by size, and what it does when parts are lost: counts and virtual time, so
//! that the verdict is the same each time.

mod fit;
mod growth;
mod loss;

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
