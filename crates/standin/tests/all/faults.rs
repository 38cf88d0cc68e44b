//! Faults of the platform: the result that the caller gets, and the actual effect of its call.

use crate::{
    cases,
    table::{open, put, value, writes},
};
use primroseroute_platform::{
    error::Error,
    object::Store,
    table::{Commit, Condition, Scan, Table, Txn},
};
use primroseroute_standin::platform::{
    fault::{Outage, Rates},
    tally::Kind,
};
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

async fn answer_lost() {
    // The caller gets `Unknown`. The commit took effect; only its response was lost.
    let platform = open();
    platform.faults().lose_answers(Kind::Commit, 1);
    let lost = platform.commit(writes(vec![put("a", "1")])).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert_eq!(value(&platform, "a").await.as_deref(), Some("1"));
}

async fn request_lost() {
    // The caller gets the same error, but the commit never arrives.
    let platform = open();
    platform.faults().lose_requests(Kind::Commit, 1);
    let lost = platform.commit(writes(vec![put("a", "1")])).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    tokio::time::sleep(60 * SECOND).await;
    assert_eq!(value(&platform, "a").await, None);
}

async fn late_effect() {
    // Two commits are delayed, each on the condition that its row is absent. Meanwhile another commit
    // writes one of the rows, so one delayed commit takes effect and the other must not.
    let platform = open();
    platform.faults().delay_effects(Kind::Commit, 2, 5 * SECOND);
    for key in ["a", "b"] {
        let txn = Txn {
            conditions: vec![Condition::Absent(key.into())],
            writes: vec![put(key, "late")],
        };
        let lost = platform.commit(txn).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    }
    assert_eq!(value(&platform, "a").await, None);
    platform
        .commit(writes(vec![put("b", "early")]))
        .await
        .expect("no fault is set");
    tokio::time::sleep(6 * SECOND).await;
    assert_eq!(value(&platform, "a").await.as_deref(), Some("late"));
    assert_eq!(value(&platform, "b").await.as_deref(), Some("early"));
}

async fn abandoned() {
    // The caller drops its commit while the request is in flight. The commit still arrives and takes
    // effect.
    let platform = open();
    platform.faults().set_latency(2 * SECOND, Duration::ZERO);
    let commit = platform.commit(writes(vec![put("a", "1")]));
    assert!(tokio::time::timeout(SECOND / 2, commit).await.is_err());
    assert_eq!(value(&platform, "a").await.as_deref(), Some("1"));
}

async fn outage_of_one() {
    // One entry has an outage: its calls fail without effect, while those of others succeed.
    let platform = open();
    let (one, two) = (platform.client("entry-1"), platform.client("entry-2"));
    one.faults().set_outage(Some(Outage::Refuse));
    let refused = one.commit(writes(vec![put("a", "1")])).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert_eq!(value(&two, "a").await, None);
    assert!(two.commit(writes(vec![put("a", "2")])).await.is_ok());
    platform.client("entry-1").faults().set_outage(None);
    assert_eq!(value(&one, "a").await.as_deref(), Some("2"));
}

async fn hanging() {
    // Calls hang for the configured time. A read fails as unavailable; the outcome of a write is unknown.
    let platform = open();
    platform.faults().set_outage(Some(Outage::Hang(3 * SECOND)));
    let start = Instant::now();
    let read = platform.read(&"a".into()).await;
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    assert_eq!(start.elapsed(), 3 * SECOND);
    let write = platform.commit(writes(vec![put("a", "1")])).await;
    assert!(matches!(write, Err(Error::Unknown(_))), "{write:?}");
    platform.faults().clear();
    assert_eq!(value(&platform, "a").await, None);
}

async fn outage_in_flight() {
    // The outage begins between the effect and the response, so the response is lost.
    let platform = open();
    platform.faults().set_latency(2 * SECOND, Duration::ZERO);
    let writer = platform.clone();
    let commit = tokio::spawn(async move { writer.commit(writes(vec![put("a", "1")])).await });
    tokio::time::sleep(3 * SECOND / 2).await;
    platform.faults().set_outage(Some(Outage::Refuse));
    let lost = commit.await.expect("the commit does not panic");
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    platform.faults().clear();
    assert_eq!(value(&platform, "a").await.as_deref(), Some("1"));
}

async fn rates() {
    // Writes beyond the rate limit are throttled until the bucket refills.
    let platform = open();
    platform.faults().set_rates(Some(Rates {
        writes: 10,
        reads: 4,
    }));
    let batch = |n: usize| writes((0..n).map(|row| put(&format!("r/{row}"), "x")).collect());
    assert!(platform.commit(batch(6)).await.is_ok());
    assert_eq!(platform.commit(batch(5)).await, Err(Error::Throttled));
    assert!(platform.put("o".into(), "x".into()).await.is_ok());
    tokio::time::sleep(SECOND / 2).await;
    assert!(platform.commit(batch(8)).await.is_ok());
    let scan = Scan {
        prefix: "r/".into(),
        after: None,
        limit: 3,
    };
    assert!(platform.scan(scan.clone()).await.is_ok());
    assert_eq!(platform.scan(scan).await, Err(Error::Throttled));
    assert!(platform.read(&"none".into()).await.is_ok());
    assert_eq!(platform.read(&"none".into()).await, Err(Error::Throttled));
}

async fn latency() {
    let platform = open();
    platform.faults().set_latency(SECOND, SECOND);
    let mut taken = Vec::new();
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(value(&platform, "a").await, None);
        taken.push(start.elapsed());
    }
    assert!(
        taken
            .iter()
            .all(|t| (SECOND..2 * SECOND + SECOND / 100).contains(t)),
        "{taken:?}"
    );
    taken.dedup();
    assert!(taken.len() > 10, "the latency does not vary: {taken:?}");
}

async fn tallies() {
    let platform = open();
    let one = platform.client("one");
    one.commit(writes(vec![put("ab", "123"), put("cd", "4")]))
        .await
        .expect("no fault is set");
    let conflict = Txn {
        conditions: vec![Condition::Absent("ab".into())],
        writes: vec![put("ab", "5")],
    };
    assert_eq!(
        one.commit(conflict).await,
        Ok(Commit::Conflict("ab".into()))
    );
    one.faults().set_outage(Some(Outage::Refuse));
    assert!(one.read(&"ab".into()).await.is_err());
    assert_eq!(
        value(&platform.client("two"), "ab").await.as_deref(),
        Some("123")
    );
    let shown = |tally: primroseroute_standin::platform::tally::Tally| {
        let kinds = tally.kinds().map(|(kind, c)| {
            format!(
                "{kind:?} {}/{} {} rows {} bytes\n",
                c.failed, c.calls, c.rows, c.bytes
            )
        });
        kinds.collect::<String>()
    };
    expect_test::expect![[r"
        Read 1/1 0 rows 0 bytes
        Commit 0/2 2 rows 8 bytes
    "]]
    .assert_eq(&shown(one.tally()));
    expect_test::expect![[r"
        Read 1/2 1 rows 5 bytes
        Commit 0/2 2 rows 8 bytes
    "]]
    .assert_eq(&shown(platform.tally()));
}

cases! {
    lost_answer_hides_an_effect => answer_lost();
    lost_request_has_no_effect => request_lost();
    late_commit_evaluates_conditions_when_it_lands => late_effect();
    abandoned_commit_takes_effect => abandoned();
    outage_of_one_client_spares_the_others => outage_of_one();
    hanging_outage_leaves_writes_unknown => hanging();
    outage_in_flight_loses_the_answer => outage_in_flight();
    rates_limit_rows => rates();
    latency_is_fixed_plus_jitter => latency();
    tallies_by_client_and_whole => tallies();
}
