//! Whole entries over sockets, in front of stand-ins: what callers and operators see.

mod acknowledge;
mod ctl;
mod demo;
mod docs;
mod fleet;
mod input;
mod jobs;
mod lend;
mod once;
mod process;
mod regions;
mod report;
mod stop;
mod thin;
mod told;
mod truth;
mod views;
mod wave;

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

/// Longest wait of a caller for an answer that must come; only a hung test gets there.
pub(crate) const LIMIT: std::time::Duration = std::time::Duration::from_secs(30);
