//! Concurrent commits and lost responses.

use crate::{cases, draft, open, value};
use primroseroute_domain::{
    change::Seq,
    outcome::{Code, Refusal},
};
use primroseroute_ledger::Error;
use primroseroute_platform::table::{Commit, Condition, Txn, Write};
use primroseroute_standin::platform::tally::Kind;
use std::time::Duration;

cases! {
    second_commit_on_the_same_head_conflicts => conflicting();
    lost_response_of_a_committed_change_is_success => lost_response();
    lost_request_is_retried => lost_request();
    late_effect_of_an_ambiguous_commit_applies_once => late_effect();
    lost_request_and_concurrent_commit_conflicts => lost_request_and_concurrent_commit();
    outage_after_a_lost_response_is_unknown => lost_response_then_outage();
    changed_guard_commits_nothing => changed_guard();
}

async fn conflicting() {
    let (_platform, ledger) = open();
    let first = draft(&ledger, "account/a", 1).await;
    let second = draft(&ledger, "account/a", 2).await;
    ledger.commit(&first).await.expect("no concurrent change");
    let error = ledger
        .commit(&second)
        .await
        .expect_err("the head has changed");
    assert_eq!(error, Error::Conflict("head".into()));
    assert_eq!(Refusal::from(error).code, Code::VersionConflict);
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 1)));
}

/// The store commits and the response is lost. The commit must be reported as successful; reporting
/// a failure would make the operator apply the change again.
async fn lost_response() {
    let (platform, ledger) = open();
    platform.faults().lose_answers(Kind::Commit, 1);
    let record = ledger.commit(&draft(&ledger, "account/a", 1).await).await;
    assert_eq!(record.expect("the change is committed").seq, Seq(1));
    assert_eq!(
        ledger
            .records_after(Seq(0), 10)
            .await
            .expect("the store answers")
            .len(),
        1
    );
}

async fn lost_request() {
    let (platform, ledger) = open();
    platform.faults().lose_requests(Kind::Commit, 1);
    let record = ledger.commit(&draft(&ledger, "account/a", 1).await).await;
    assert_eq!(record.expect("the change is committed").seq, Seq(1));
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 1)));
}

/// The response is lost and the commit takes effect only seconds later, after the writer has sent
/// it again. The second attempt commits; the late one must change nothing although it is the same
/// change.
async fn late_effect() {
    let (platform, ledger) = open();
    platform
        .faults()
        .delay_effects(Kind::Commit, 1, Duration::from_secs(5));
    ledger
        .commit(&draft(&ledger, "account/a", 1).await)
        .await
        .expect("the second attempt commits");
    ledger
        .commit(&draft(&ledger, "account/a", 2).await)
        .await
        .expect("no concurrent change");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(2), 2)));
    assert_eq!(ledger.head().await.expect("the store answers").seq, Seq(2));
}

/// The writer's request is lost, and another writer commits before the retry. The record with that
/// sequence number belongs to the other writer and must not be mistaken for the writer's own.
async fn lost_request_and_concurrent_commit() {
    let (platform, ledger) = open();
    let other_ledger =
        primroseroute_ledger::Ledger::open(std::sync::Arc::new(platform.client("rival")));
    let own = draft(&ledger, "account/a", 1).await;
    let other = draft(&other_ledger, "account/a", 2).await;
    platform
        .client("writer")
        .faults()
        .lose_requests(Kind::Commit, 1);
    let (own, other) = tokio::join!(ledger.commit(&own), other_ledger.commit(&other));
    other.expect("no concurrent change");
    assert_eq!(
        own.expect_err("the other writer committed first"),
        Error::Conflict("head".into())
    );
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 2)));
}

/// The response is lost and the store then fails for longer than the writer retries. The change may
/// have been committed, so the outcome must be reported as unknown, neither success nor failure.
async fn lost_response_then_outage() {
    let (platform, ledger) = open();
    let change = draft(&ledger, "account/a", 1).await;
    platform.faults().lose_answers(Kind::Commit, 1);
    platform.faults().lose_requests(Kind::Commit, 10);
    let error = ledger
        .commit(&change)
        .await
        .expect_err("the outcome is unknown");
    assert_eq!(Refusal::from(error).code, Code::StoreUnknown);
}

/// A suspended controller resumes after another has taken over. Its guard row has changed, so its
/// change is rejected as a whole although it is based on the newest head.
async fn changed_guard() {
    let (_platform, ledger) = open();
    let epoch = |value: &'static [u8]| Txn {
        conditions: Vec::new(),
        writes: vec![Write::Put("epoch/controller".into(), value.into())],
    };
    let Ok(Commit::Committed(revision)) = ledger.table().commit(epoch(b"1")).await else {
        panic!("the commit has no conditions");
    };
    let mut change = draft(&ledger, "account/a", 1).await;
    change.guard(Condition::At("epoch/controller".into(), revision));
    ledger
        .table()
        .commit(epoch(b"2"))
        .await
        .expect("the successor takes over");
    let error = ledger
        .commit(&change)
        .await
        .expect_err("the epoch has changed");
    assert_eq!(error, Error::Conflict("epoch/controller".into()));
    assert_eq!(value(&ledger, "account/a").await, None);
    assert_eq!(ledger.head().await.expect("the store answers").seq, Seq(0));
}
