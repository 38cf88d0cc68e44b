//! Store outages: what callers are told, and that the entry's memory stays bounded.

use crate::{
    fake_table::FakeTable,
    fixture::{
        PausedClock, TIMEOUT, claim, entry, entry_with, grant, outcome_name, request, response,
        wait_for_outcomes,
    },
};
use futures::future::join_all;
use primroseroute_claims::{ClaimOutcome, Options};
use std::time::Duration;
use tokio::{join, time::sleep};

const OUTAGE: Duration = Duration::from_secs(5 * 60);

// The store is down for five minutes. New keys are refused as "not run" after a short wait, and
// run when the store has recovered. Outcomes of requests sent before are kept and written then.
#[tokio::test(start_paused = true)]
async fn down_for_minutes() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "before").await;
    fake.set_down(true);
    permit.completed(response(b"held"));
    assert_eq!(outcome_name(&claim(&a, "during").await), "not run");
    sleep(OUTAGE).await;
    assert_eq!(outcome_name(&claim(&b, "during").await), "not run");
    fake.set_down(false);
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&b, "before").await), "repeat");
    assert_eq!(outcome_name(&claim(&b, "during").await), "granted");
}

// The store is down for less than the claim timeout: the claim is delayed but not refused.
#[tokio::test(start_paused = true)]
async fn down_for_a_moment() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    fake.set_down(true);
    let recovery = async {
        sleep(Duration::from_millis(900)).await;
        fake.set_down(false);
    };
    let (outcome, ()) = join!(claim(&a, "k"), recovery);
    assert_eq!(outcome_name(&outcome), "granted");
}

// A request ran, its response was lost, and the caller repeats the key while the store is down.
// This attempt does not run, but "not run" would wrongly tell the caller that its request had no
// effect. Entries that remember the key answer "unknown", as does any entry if the caller marks
// the repeat.
#[tokio::test(start_paused = true)]
async fn repeat_while_down_is_not_called_not_run() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "k").await.unknown();
    wait_for_outcomes(&a).await;
    fake.set_down(true);
    assert_eq!(outcome_name(&claim(&a, "k").await), "unknown");
    let mut marked = request("k");
    marked.repeat = true;
    assert_eq!(outcome_name(&b.claim(&marked, TIMEOUT).await), "unknown");
}

// A request ran, and the caller repeats the key at an entry whose reads fail while its commits
// succeed. The conflict shows that a row exists, so "not run" might be wrong. The retry of a
// released key gets the same answer and runs once reads work again.
#[tokio::test(start_paused = true)]
async fn row_exists_and_cannot_be_read() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "ran").await.completed(response(b"held"));
    grant(&a, "released").await.not_run();
    wait_for_outcomes(&a).await;
    fake.set_reads_down(true);
    assert_eq!(outcome_name(&claim(&b, "ran").await), "unknown");
    assert_eq!(outcome_name(&claim(&b, "released").await), "unknown");
    fake.set_reads_down(false);
    assert_eq!(outcome_name(&claim(&b, "ran").await), "repeat");
    assert_eq!(outcome_name(&claim(&b, "released").await), "granted");
}

// Callers keep sending during an outage. The number of pending claims is limited, further ones are
// refused immediately, and no refused claim remains in memory.
#[tokio::test(start_paused = true)]
async fn pending_claims_are_bounded() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let options = Options {
        max_pending: 10,
        ..Options::default()
    };
    let a = entry_with(&fake, &clock, 1, options);
    fake.set_down(true);
    let claim_later = async |number: u32| {
        sleep(Duration::from_millis(5) * number).await;
        claim(&a, &format!("k{number}")).await
    };
    let claims = join_all((0..100).map(claim_later));
    let pending = async {
        sleep(Duration::from_millis(550)).await;
        a.counts().claims_waiting
    };
    let (outcomes, waiting) = join!(claims, pending);
    assert!(
        outcomes
            .iter()
            .all(|outcome| outcome_name(outcome) == "not run")
    );
    assert!(
        waiting <= 20,
        "a full channel and a full queue, not {waiting}"
    );
    sleep(Duration::from_secs(5)).await;
    assert_eq!(a.counts().claims_waiting, 0);
}

// The commit hangs and neither succeeds nor fails. The caller is told "not run" in time, the row
// that the hanging commit finally writes is released, and the retry runs.
#[tokio::test(start_paused = true)]
async fn commit_hangs() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    fake.set_latency(Duration::from_secs(30));
    assert_eq!(outcome_name(&claim(&a, "k").await), "not run");
    fake.set_latency(Duration::ZERO);
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&a, "k").await), "granted");
}

// So many commits hang forever that no further transaction may start. Each times out, so that they
// do not block a claim that arrives after the store has recovered.
#[tokio::test(start_paused = true)]
async fn hanging_commits_do_not_block_the_next() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    fake.set_latency(Duration::from_secs(3600));
    for number in 0..4 {
        assert_eq!(
            outcome_name(&claim(&a, &format!("k{number}")).await),
            "not run"
        );
    }
    fake.set_latency(Duration::ZERO);
    assert_eq!(outcome_name(&claim(&a, "k").await), "granted");
}

// An entry is stopped while outcomes are pending. The stop must wait for them and report how many
// are left.
#[tokio::test(start_paused = true)]
async fn stop_waits_for_outcomes() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.set_down(true);
    permit.completed(response(b"held"));
    assert_eq!(a.drain(Duration::from_secs(5)).await, 1);
    fake.set_down(false);
    assert_eq!(a.drain(Duration::from_secs(5)).await, 0);
    assert!(matches!(claim(&b, "k").await, ClaimOutcome::Replay(_)));
}
