//! The store is down: what callers are told, and that the entry stays bounded.

use crate::{
    bench::{Paused, WITHIN, answer, claim, entry, entry_with, grant, request, settle, word},
    fake::Fake,
};
use futures::future::join_all;
use primroseroute_claims::{Claim, Options};
use std::time::Duration;
use tokio::{join, time::sleep};

const MINUTES: Duration = Duration::from_secs(5 * 60);

// The store goes down for five minutes. New keys are refused as "not run" after a short wait, and
// run when the store is back. Outcomes of requests sent before are kept and written then.
#[tokio::test(start_paused = true)]
async fn down_for_minutes() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "before").await;
    fake.down(true);
    permit.completed(answer(b"held"));
    assert_eq!(word(&claim(&a, "during").await), "not run");
    sleep(MINUTES).await;
    assert_eq!(word(&claim(&b, "during").await), "not run");
    fake.down(false);
    settle(&a).await;
    assert_eq!(word(&claim(&b, "before").await), "repeat");
    assert_eq!(word(&claim(&b, "during").await), "granted");
}

// The store is down for less than the patience: the caller sees a late answer and no refusal.
#[tokio::test(start_paused = true)]
async fn down_for_a_moment() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    fake.down(true);
    let back = async {
        sleep(Duration::from_millis(900)).await;
        fake.down(false);
    };
    let (outcome, ()) = join!(claim(&a, "k"), back);
    assert_eq!(word(&outcome), "granted");
}

// A request ran, its answer was lost, and the caller repeats the key while the store is down. This
// attempt does not run, but "not run" would tell the caller that its hold does not exist. Entries
// that remember the key, and all entries where the caller marks the repeat, say "unknown".
#[tokio::test(start_paused = true)]
async fn repeat_while_down_is_not_called_not_run() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.unknown();
    settle(&a).await;
    fake.down(true);
    assert_eq!(word(&claim(&a, "k").await), "unknown");
    let mut marked = request("k");
    marked.repeat = true;
    assert_eq!(word(&b.claim(&marked, WITHIN).await), "unknown");
}

// A request ran, and the caller repeats the key at an entry whose reads fail while its commits are
// answered. The conflict shows that a row stands, so "not run" would be a guess. The retry of a
// released key meets the same and runs once reads are back.
#[tokio::test(start_paused = true)]
async fn row_stands_and_cannot_be_read() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "ran").await.completed(answer(b"held"));
    grant(&a, "released").await.not_run();
    settle(&a).await;
    fake.reads_down(true);
    assert_eq!(word(&claim(&b, "ran").await), "unknown");
    assert_eq!(word(&claim(&b, "released").await), "unknown");
    fake.reads_down(false);
    assert_eq!(word(&claim(&b, "ran").await), "repeat");
    assert_eq!(word(&claim(&b, "released").await), "granted");
}

// Callers keep sending into an outage. The claims that wait are bounded, those above are refused
// at once, and no memory of refused ones is left.
#[tokio::test(start_paused = true)]
async fn waiting_claims_are_bounded() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let options = Options {
        waiting: 10,
        ..Options::default()
    };
    let a = entry_with(&fake, &clock, 1, options);
    fake.down(true);
    let later = async |number: u32| {
        sleep(Duration::from_millis(5) * number).await;
        claim(&a, &format!("k{number}")).await
    };
    let claims = join_all((0..100).map(later));
    let seen = async {
        sleep(Duration::from_millis(550)).await;
        a.counts().claims_waiting
    };
    let (outcomes, waiting) = join!(claims, seen);
    assert!(outcomes.iter().all(|outcome| word(outcome) == "not run"));
    assert!(
        waiting <= 20,
        "a full channel and a full queue, not {waiting}"
    );
    sleep(Duration::from_secs(5)).await;
    assert_eq!(a.counts().claims_waiting, 0);
}

// The commit hangs and neither answers nor fails. The caller is told "not run" in time, the row
// that the hanging commit writes in the end is released, and the retry runs.
#[tokio::test(start_paused = true)]
async fn commit_hangs() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    fake.latency(Duration::from_secs(30));
    assert_eq!(word(&claim(&a, "k").await), "not run");
    fake.latency(Duration::ZERO);
    settle(&a).await;
    assert_eq!(word(&claim(&a, "k").await), "granted");
}

// So many commits hang for good that no further transaction may start. Each counts as lost after a
// while, so that a claim that comes when the store is well again is not stuck behind them.
#[tokio::test(start_paused = true)]
async fn hanging_commits_do_not_block_the_next() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    fake.latency(Duration::from_secs(3600));
    for number in 0..4 {
        assert_eq!(word(&claim(&a, &format!("k{number}")).await), "not run");
    }
    fake.latency(Duration::ZERO);
    assert_eq!(word(&claim(&a, "k").await), "granted");
}

// An entry is stopped while outcomes wait. The stop must wait for them, and say what is left.
#[tokio::test(start_paused = true)]
async fn stop_waits_for_outcomes() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.down(true);
    permit.completed(answer(b"held"));
    assert_eq!(a.drain(Duration::from_secs(5)).await, 1);
    fake.down(false);
    assert_eq!(a.drain(Duration::from_secs(5)).await, 0);
    assert!(matches!(claim(&b, "k").await, Claim::Repeat(_)));
}
