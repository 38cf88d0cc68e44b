//! End-to-end tests of entries over sockets, in front of a simulated platform and backend servers.

mod acknowledge;
mod check;
mod ctl;
mod demo;
mod docs;
mod end_to_end;
mod fleet;
mod idempotency;
mod input;
mod inspect;
mod jobs;
mod lines;
mod planned_stop;
mod process;
mod regions;
mod report;
mod responses;
mod slot_lending;
mod telemetry;
mod views;
mod wave;

use primroseroute_testbed::{Caller, Layout, Said, Site, caller_token, platform};

/// Defines one multi-threaded tokio test per case; a case that returns an error fails.
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

/// Timeout of a request whose response must arrive; only a hung test reaches it.
pub(crate) const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Starts a site of two entries and one pool, `stay`, of `workers` workers; every entry has applied
/// the configuration.
pub(crate) async fn site_with_workers(workers: usize) -> eyre::Result<Site> {
    let layout = Layout {
        pools: vec![("stay".to_owned(), workers)],
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    Ok(site)
}

/// Sends `count` reads to `stay` through the entry at `to` and asserts that each completes.
pub(crate) async fn assert_reads_complete(to: std::net::SocketAddr, count: usize) {
    let caller = Caller::open(caller_token("stay"));
    for _ in 0..count {
        let answer = caller
            .send(to, http::Method::GET, "/stay/a", &[], "", TIMEOUT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
}
