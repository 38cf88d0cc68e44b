//! Two entries with the same key; entries that crash or are suspended.

use crate::{
    fake_table::FakeTable,
    fixture::{
        PausedClock, TIMEOUT, claim, entry, grant, outcome_name, request, request_with_body,
        response, wait_for_outcomes,
    },
};
use primroseroute_claims::ClaimOutcome;
use std::time::Duration;
use tokio::{join, time::sleep};

// A caller's connection breaks and it sends the same key to a second entry while the first is
// still processing it. Both entries insert the row at the same time; the table accepts one insert.
#[tokio::test(start_paused = true)]
async fn same_key_at_two_entries_at_once() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let (first, second) = join!(claim(&a, "k"), claim(&b, "k"));
    let mut outcome_names = [outcome_name(&first), outcome_name(&second)];
    outcome_names.sort_unstable();
    assert_eq!(outcome_names, ["granted", "in progress"]);
}

// The same key twice at one entry at the same time: both go through one batcher, and in a
// transaction with the same row twice the second write would overwrite the first.
#[tokio::test(start_paused = true)]
async fn same_key_twice_at_one_entry() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    let (first, second) = join!(claim(&a, "k"), claim(&a, "k"));
    assert_eq!(
        [outcome_name(&first), outcome_name(&second)],
        ["granted", "in progress"]
    );
}

// An entry crashes between the grant and the send, or after the send; the two cases cannot be
// distinguished. The caller repeats at another entry, before the request's deadline and after it.
#[tokio::test(start_paused = true)]
async fn entry_crashes_after_the_grant() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    a.abort();
    drop(permit);
    assert_eq!(outcome_name(&claim(&b, "k").await), "in progress");
    sleep(TIMEOUT + Duration::from_secs(6)).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "unknown");
    assert_eq!(outcome_name(&claim(&b, "k").await), "unknown");
}

// An entry is suspended for an hour between the grant and the send. Meanwhile the caller repeats
// at another entry, which must not run the request, since the suspended one resumes and sends it.
#[tokio::test(start_paused = true)]
async fn entry_is_suspended_between_grant_and_send() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    sleep(Duration::from_secs(3600)).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "unknown");
    permit.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    let ClaimOutcome::Replay(first) = claim(&b, "k").await else {
        panic!("the outcome has been written");
    };
    assert_eq!(first, response(b"held"));
}

// The connection to the backend server failed, so nothing was sent. The caller is told "not run",
// and its retry must run at any entry, exactly once.
#[tokio::test(start_paused = true)]
async fn retry_runs_after_not_run() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.not_run();
    wait_for_outcomes(&a).await;
    let (first, second) = join!(claim(&a, "k"), claim(&b, "k"));
    let mut outcome_names = [outcome_name(&first), outcome_name(&second)];
    outcome_names.sort_unstable();
    assert_eq!(outcome_names, ["granted", "in progress"]);
}

// A caller sends a different request under a key that was already used. It must not receive the
// first request's response, and it must not run as if the key were new.
#[tokio::test(start_paused = true)]
async fn key_was_used_for_another_request() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    let other = b.claim(&request_with_body("k", "bed 5"), TIMEOUT).await;
    assert_eq!(outcome_name(&other), "key reused");
    let mut elsewhere = request("k");
    elsewhere.account = "safelift".parse().expect("a name");
    assert_eq!(outcome_name(&b.claim(&elsewhere, TIMEOUT).await), "granted");
}

// The caller disconnects while its claim is committed: the future is dropped, the row exists, and
// nothing is sent. A retry must run and not be told "unknown".
#[tokio::test(start_paused = true)]
async fn caller_disconnects_during_the_commit() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    fake.set_latency(Duration::from_millis(100));
    let timed_out = tokio::time::timeout(Duration::from_millis(50), claim(&a, "k")).await;
    assert!(
        timed_out.is_err(),
        "the commit takes longer than the caller waits"
    );
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&a, "k").await), "granted");
}
