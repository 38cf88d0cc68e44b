//! Races and lost answers.

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
    second_of_two_on_one_head_is_raced => raced();
    lost_answer_of_an_own_commit_is_success => lost_answer();
    lost_request_is_sent_again => lost_request();
    late_effect_of_a_lost_commit_counts_once => late_effect();
    lost_answer_and_a_faster_rival_is_raced => lost_and_overtaken();
    outage_after_a_lost_answer_is_unknown => lost_then_outage();
    moved_guard_commits_nothing => moved_guard();
}

async fn raced() {
    let (_platform, ledger) = open();
    let first = draft(&ledger, "account/a", 1).await;
    let second = draft(&ledger, "account/a", 2).await;
    ledger.commit(&first).await.expect("nothing is in the way");
    let error = ledger
        .commit(&second)
        .await
        .expect_err("the head has moved");
    assert_eq!(error, Error::Raced("head".into()));
    assert_eq!(Refusal::from(error).code, Code::VersionConflict);
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 1)));
}

/// The store commits and the answer is lost. The writer must learn that its change stands; taking
/// the loss for a failure would make the operator apply it again.
async fn lost_answer() {
    let (platform, ledger) = open();
    platform.faults().lose_answers(Kind::Commit, 1);
    let record = ledger.commit(&draft(&ledger, "account/a", 1).await).await;
    assert_eq!(record.expect("it stands").seq, Seq(1));
    assert_eq!(ledger.after(Seq(0), 10).await.expect("it answers").len(), 1);
}

async fn lost_request() {
    let (platform, ledger) = open();
    platform.faults().lose_requests(Kind::Commit, 1);
    let record = ledger.commit(&draft(&ledger, "account/a", 1).await).await;
    assert_eq!(record.expect("it stands").seq, Seq(1));
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 1)));
}

/// The answer is lost and the commit takes effect only seconds later, after the writer has sent it
/// again. The second try commits; the late one must change nothing, though it is the same change.
async fn late_effect() {
    let (platform, ledger) = open();
    platform
        .faults()
        .delay_effects(Kind::Commit, 1, Duration::from_secs(5));
    ledger
        .commit(&draft(&ledger, "account/a", 1).await)
        .await
        .expect("the second try commits");
    ledger
        .commit(&draft(&ledger, "account/a", 2).await)
        .await
        .expect("nothing is in the way");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(2), 2)));
    assert_eq!(ledger.head().await.expect("it answers").seq, Seq(2));
}

/// The writer's request is lost, and before it tries again a rival commits. The record at that
/// place is the rival's: the writer must not take it for its own.
async fn lost_and_overtaken() {
    let (platform, ledger) = open();
    let rival_ledger =
        primroseroute_ledger::Ledger::open(std::sync::Arc::new(platform.client("rival")));
    let own = draft(&ledger, "account/a", 1).await;
    let rival = draft(&rival_ledger, "account/a", 2).await;
    platform
        .client("writer")
        .faults()
        .lose_requests(Kind::Commit, 1);
    let (own, rival) = tokio::join!(ledger.commit(&own), rival_ledger.commit(&rival));
    rival.expect("nothing is in the way");
    assert_eq!(
        own.expect_err("the rival was first"),
        Error::Raced("head".into())
    );
    assert_eq!(value(&ledger, "account/a").await, Some((Seq(1), 2)));
}

/// The answer is lost and the store then goes down for longer than the writer tries. It may have
/// been committed, so the operator must be told "unknown", neither success nor "not written".
async fn lost_then_outage() {
    let (platform, ledger) = open();
    let change = draft(&ledger, "account/a", 1).await;
    platform.faults().lose_answers(Kind::Commit, 1);
    platform.faults().lose_requests(Kind::Commit, 10);
    let error = ledger.commit(&change).await.expect_err("nobody can know");
    assert_eq!(Refusal::from(error).code, Code::StoreUnknown);
}

/// A paused controller wakes up after another took over: its guard row has moved, so its change,
/// made on the newest head, is refused whole.
async fn moved_guard() {
    let (_platform, ledger) = open();
    let epoch = |value: &'static [u8]| Txn {
        conditions: Vec::new(),
        writes: vec![Write::Put("epoch/controller".into(), value.into())],
    };
    let Ok(Commit::Committed(revision)) = ledger.table().commit(epoch(b"1")).await else {
        panic!("nothing is in the way");
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
        .expect_err("the epoch has moved");
    assert_eq!(error, Error::Raced("epoch/controller".into()));
    assert_eq!(value(&ledger, "account/a").await, None);
    assert_eq!(ledger.head().await.expect("it answers").seq, Seq(0));
}
