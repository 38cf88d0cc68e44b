//! Whole entries over sockets, in front of stand-ins: what callers and operators see.

mod acknowledge;
mod check;
mod ctl;
mod demo;
mod docs;
mod fleet;
mod input;
mod inspect;
mod jobs;
mod lend;
mod lines;
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

use primroseroute_testbed::{Caller, Layout, Said, Site, caller_token, platform};

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

/// A site with two entries before one pool, `stay`, of `workers` workers, all in force.
pub(crate) async fn stay(workers: usize) -> eyre::Result<Site> {
    let layout = Layout {
        pools: vec![("stay".to_owned(), workers)],
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    Ok(site)
}

/// Sends `count` reads to `stay` through the entry at `to`; each must complete.
pub(crate) async fn reads_complete(to: std::net::SocketAddr, count: usize) {
    let caller = Caller::open(caller_token("stay"));
    for _ in 0..count {
        let answer = caller
            .send(to, http::Method::GET, "/stay/a", &[], "", LIMIT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
}
