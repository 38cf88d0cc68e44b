//! End-to-end smoke tests: a template, two entries, a request, a drain.

use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_api::Order;
use primroseroute_domain::id;
use primroseroute_testbed::{Caller, Layout, Said, Site, caller_token, platform};

cases! {
    request_goes_through_either_entry => request_through_either();
    drained_worker_gets_no_new_requests => drained_worker();
    pool_with_a_long_name_is_served => long_name();
}

async fn request_through_either() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let caller = Caller::open(caller_token("stay"));
    for name in ["entry-0", "entry-1"] {
        let to = site.entry(name).callers;
        let headers = [("x-request-id", name), ("x-echo", "yes")];
        let answer = caller
            .send(to, Method::POST, "/stay/beds", &headers, "bed 7", TIMEOUT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        assert_eq!(answer.headers["x-request-id"], name);
    }
    let executed: u64 = site
        .workers
        .values()
        .map(|worker| worker.count().executions)
        .sum();
    assert_eq!(executed, 2);
    Ok(())
}

/// All of the caller's requests complete. An operator drains one worker through one entry; once
/// both entries have applied the change, neither sends the worker anything.
async fn drained_worker() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: false,
    };
    let drained = "stay-0".parse()?;
    let accepted = site.entry("entry-0").admin.drain(&drained, &order).await?;
    site.wait_until_applied(accepted.version).await?;
    let before = site.worker("stay-0").count().executions;

    let caller = Caller::open(caller_token("stay"));
    for number in 0..60 {
        let to = site.entry(["entry-0", "entry-1"][number % 2]).callers;
        let answer = caller
            .send(to, Method::GET, "/stay/beds", &[], "", TIMEOUT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
    assert_eq!(site.worker("stay-0").count().executions, before);
    let others =
        site.worker("stay-1").count().executions + site.worker("stay-2").count().executions;
    assert_eq!(others, 60);
    Ok(())
}

/// A pool's name seeds the random choices of its dispatcher. When the sum for that seed overflowed,
/// the task that applies views panicked, and the entry kept its old configuration forever.
async fn long_name() -> Result<()> {
    let name = "z".repeat(id::MAX_LEN - "-0".len()); // Worker names append a number.
    let layout = Layout {
        pools: vec![(name.clone(), 2)],
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    let caller = Caller::open(caller_token(&name));
    let to = site.any_entry().callers;
    let path = format!("/{name}/beds");
    let answer = caller.send(to, Method::GET, &path, &[], "", TIMEOUT).await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    Ok(())
}
