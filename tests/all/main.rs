//! Whole entries over sockets, in front of stand-ins: what callers and operators see.

mod thin;

/// Names each case; a case that returns an error fails.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> eyre::Result<()> {
            $body.await
        }
    )*};
}
pub(crate) use cases;
