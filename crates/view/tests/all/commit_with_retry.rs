//! Changes with conflict retries: what was checked still holds at the commit.

use crate::{cases, template};
use primroseroute_domain::{
    outcome::{Code, Refusal},
    time::SystemClock,
};
use primroseroute_ledger::{Draft, Ledger, key};
use primroseroute_standin::platform::{Options, Platform};
use primroseroute_view::{Author, Snapshot, SnapshotCell, commit_with_retry};
use std::{sync::Arc, time::Duration};

cases! {
    concurrent_increments_are_all_counted => concurrent_increments();
    refusal_commits_nothing => refusal();
    empty_decision_commits_nothing => empty();
}

fn author() -> Author {
    Author {
        actor: "operator:test".into(),
        reason: "test".into(),
        guards: Vec::new(),
    }
}

fn increment(snapshot: &Snapshot, draft: &mut Draft) {
    let current = snapshot.accounts().values().next();
    let share = current.map_or(0, |row| row.value.share);
    let next = template("a", share + 1);
    draft.put(
        key::account(&next.account),
        current.map(|row| row.version),
        &next,
    );
}

/// Three entries concurrently increment a share ten times each. Committing a decision that was
/// based on an older state would lose increments.
async fn concurrent_increments() {
    let platform = Platform::open(5, Options::default());
    platform
        .faults()
        .set_latency(Duration::from_millis(1), Duration::from_millis(9));
    let mut running = tokio::task::JoinSet::new();
    for name in ["a", "b", "c"] {
        let ledger = Ledger::open(Arc::new(platform.client(name)));
        running.spawn(async move {
            let cell = SnapshotCell::default();
            let decide = |snapshot: &Snapshot, draft: &mut Draft| {
                increment(snapshot, draft);
                Ok(())
            };
            let mut accepted = 0;
            while accepted < 10 {
                match commit_with_retry(&ledger, &cell, &SystemClock, &author(), &decide).await {
                    Ok(done) => accepted += u32::from(done.is_some()),
                    Err(refusal) => assert_eq!(refusal.code, Code::VersionConflict),
                }
            }
        });
    }
    while let Some(done) = running.join_next().await {
        done.expect("no entry panics");
    }
    let ledger = Ledger::open(Arc::new(platform.client("reader")));
    let cell = SnapshotCell::default();
    primroseroute_view::poll(&ledger, &cell)
        .await
        .expect("the store answers");
    assert_eq!(
        cell.current()
            .accounts()
            .values()
            .next()
            .map(|row| row.value.share),
        Some(30)
    );
    assert_eq!(cell.current().seq().0, 30);
}

async fn refusal() {
    let platform = Platform::open(5, Options::default());
    let ledger = Ledger::open(Arc::new(platform.client("a")));
    let decide = |_: &Snapshot, draft: &mut Draft| {
        draft.put("account/a".into(), None, &template("a", 1));
        Err(Refusal::new(Code::BudgetForbids, "no"))
    };
    let done = commit_with_retry(
        &ledger,
        &SnapshotCell::default(),
        &SystemClock,
        &author(),
        &decide,
    )
    .await;
    assert_eq!(
        done.map_err(|refusal| refusal.code),
        Err(Code::BudgetForbids)
    );
    assert_eq!(ledger.head().await.expect("the store answers").seq.0, 0);
}

async fn empty() {
    let platform = Platform::open(5, Options::default());
    let ledger = Ledger::open(Arc::new(platform.client("a")));
    let decide = |_: &Snapshot, _: &mut Draft| Ok(());
    let done = commit_with_retry(
        &ledger,
        &SnapshotCell::default(),
        &SystemClock,
        &author(),
        &decide,
    )
    .await;
    assert_eq!(done, Ok(None));
    assert_eq!(ledger.head().await.expect("the store answers").seq.0, 0);
}
