//! Request slots of one worker are lent between entries by demand, and its limit is never exceeded.

use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Layout, Site, backend, caller_token, platform, wait_until};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::task::JoinSet;

cases! {
    entry_with_all_callers_borrows_slots_of_the_other => borrows();
}

/// Two entries share one worker of eight slots, four each. All callers connect to one entry: it
/// must borrow slots beyond its own four, or half of the worker would idle while callers wait. The
/// worker must never run more than eight requests at a time.
async fn borrows() -> Result<()> {
    let layout = Layout {
        pools: vec![("stay".to_owned(), 1)],
        ..Layout::small()
    };
    let worker = backend::Options {
        delay: Duration::from_millis(20),
        ..Default::default()
    };
    let mut site = Site::open_with(layout, platform::Options::default(), worker).await?;
    site.converge().await?;
    let end = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..24 {
        let to = site.entry("entry-0").callers;
        let end = Arc::clone(&end);
        callers.spawn(async move {
            let caller = Caller::open(caller_token("stay"));
            while !end.load(Ordering::SeqCst) {
                caller
                    .send(to, Method::GET, "/stay/a", &[], "", TIMEOUT)
                    .await;
            }
        });
    }
    let worker = Arc::clone(site.worker("stay-0"));
    wait_until("the entry borrows slots", || worker.count().running > 4).await?;
    end.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    let count = worker.count();
    assert!(count.max_running <= 8, "{count:?}");
    assert_eq!(count.overruns, 0, "{count:?}");
    Ok(())
}
