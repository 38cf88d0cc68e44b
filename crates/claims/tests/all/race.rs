//! Two entries, one key; entries that die or are paused.

use crate::{
    bench::{Paused, WITHIN, answer, claim, entry, grant, request, settle, with_body, word},
    fake::Fake,
};
use primroseroute_claims::Claim;
use std::time::Duration;
use tokio::{join, time::sleep};

// A caller's connection breaks and it sends the same key to a second entry while the first is
// still at it. Both entries insert the row at the same moment; the table takes one of them.
#[tokio::test(start_paused = true)]
async fn same_key_at_two_entries_at_once() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let (first, second) = join!(claim(&a, "k"), claim(&b, "k"));
    let mut words = [word(&first), word(&second)];
    words.sort_unstable();
    assert_eq!(words, ["granted", "in progress"]);
}

// The same key twice at one entry at once: both are in one lane, and a transaction with the same
// row twice would let the second overwrite the first.
#[tokio::test(start_paused = true)]
async fn same_key_twice_at_one_entry() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    let (first, second) = join!(claim(&a, "k"), claim(&a, "k"));
    assert_eq!([word(&first), word(&second)], ["granted", "in progress"]);
}

// An entry dies between the grant and the send, or after the send: nobody can tell. The caller
// repeats at another entry, first within the request's time and then after it.
#[tokio::test(start_paused = true)]
async fn entry_dies_after_the_grant() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    a.abort();
    drop(permit);
    assert_eq!(word(&claim(&b, "k").await), "in progress");
    sleep(WITHIN + Duration::from_secs(6)).await;
    assert_eq!(word(&claim(&b, "k").await), "unknown");
    assert_eq!(word(&claim(&b, "k").await), "unknown");
}

// An entry is paused for an hour between the grant and the send. Meanwhile the caller repeats at
// another entry, which must not run the request, since the paused one wakes and sends it.
#[tokio::test(start_paused = true)]
async fn entry_is_paused_between_grant_and_send() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    sleep(Duration::from_secs(3600)).await;
    assert_eq!(word(&claim(&b, "k").await), "unknown");
    permit.completed(answer(b"held"));
    settle(&a).await;
    let Claim::Repeat(first) = claim(&b, "k").await else {
        panic!("the outcome is known by now");
    };
    assert_eq!(first, answer(b"held"));
}

// The connection to the backend server could not be made: proven not sent. The caller is told
// "not run" and its retry, at any entry, must run; once.
#[tokio::test(start_paused = true)]
async fn retry_runs_after_not_run() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.not_run();
    settle(&a).await;
    let (first, second) = join!(claim(&a, "k"), claim(&b, "k"));
    let mut words = [word(&first), word(&second)];
    words.sort_unstable();
    assert_eq!(words, ["granted", "in progress"]);
}

// A caller sends another request under a key that stands for a first one. Its answer must not be
// the first one's, and it must not run as if the key were new.
#[tokio::test(start_paused = true)]
async fn key_stands_for_another_request() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.completed(answer(b"held"));
    settle(&a).await;
    let other = b.claim(&with_body("k", "bed 5"), WITHIN).await;
    assert_eq!(word(&other), "key reused");
    let mut elsewhere = request("k");
    elsewhere.account = "safelift".parse().expect("a name");
    assert_eq!(word(&b.claim(&elsewhere, WITHIN).await), "granted");
}

// The caller hangs up while its claim is committed: the future is dropped, the row stands, and
// nothing is sent. A retry must run and not be told "unknown".
#[tokio::test(start_paused = true)]
async fn caller_hangs_up_during_the_commit() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    fake.latency(Duration::from_millis(100));
    let hung_up = tokio::time::timeout(Duration::from_millis(50), claim(&a, "k")).await;
    assert!(
        hung_up.is_err(),
        "the commit takes longer than the caller waits"
    );
    settle(&a).await;
    assert_eq!(word(&claim(&a, "k").await), "granted");
}
