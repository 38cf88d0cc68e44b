//! Commits whose results are lost, before or after they are applied, or that are applied late.

use crate::{
    fake_table::{FakeTable, Fault},
    fixture::{
        PausedClock, TIMEOUT, claim, entry, grant, outcome_name, request, response,
        wait_for_outcomes,
    },
};
use primroseroute_claims::{ClaimOutcome, ClaimState};
use std::time::Duration;
use tokio::time::sleep;

const BEFORE_THE_RETRY: Duration = Duration::from_millis(5);
const AFTER_THE_RETRY: Duration = Duration::from_millis(500);

// The results of the first commits of a claim are lost, before or after they are applied, or one is
// applied late. The entry must recognise its own row by the operation id: the claim is granted
// once, and an entry that claims the key later is refused.
async fn check_granted_once(faults: &[Fault]) {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.inject(faults.iter().copied());
    let permit = grant(&a, "k").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "in progress");
    permit.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "repeat");
    assert_eq!(fake.rows().len(), 1);
}

cases! { check_granted_once:
    lost_before_the_effect(&[Fault::LostBefore]);
    lost_after_the_effect(&[Fault::LostAfter]);
    lost_both_ways(&[Fault::LostBefore, Fault::LostAfter, Fault::Refused]);
    late_before_the_retry(&[Fault::Late(BEFORE_THE_RETRY)]);
    late_after_the_retry(&[Fault::Late(AFTER_THE_RETRY)]);
    late_twice(&[Fault::Late(AFTER_THE_RETRY), Fault::Late(BEFORE_THE_RETRY)]);
}

// The commit is delayed and the entry gives up on it: the caller is told "not run". Then the commit
// is applied. The caller's retry must still run, because the entry has written a released row.
async fn check_late_commit_after_not_run(fault: Fault) {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.inject([fault]);
    let first = a.claim(&request("k"), Duration::from_millis(15)).await;
    assert_eq!(outcome_name(&first), "not run");
    wait_for_outcomes(&a).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "granted");
}

cases! { check_late_commit_after_not_run:
    not_run_then_the_commit_is_applied(Fault::Late(Duration::from_secs(1)));
    not_run_though_the_row_existed(Fault::LostAfter);
    not_run_and_the_row_never_existed(Fault::LostBefore);
}

// A commit is delayed, the claim is granted by a second one, not sent and released. Then the
// delayed commit is applied. If the release had deleted the row, this commit would recreate it and
// block every retry.
#[tokio::test(start_paused = true)]
async fn late_commit_after_a_release() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.inject([Fault::Late(Duration::from_secs(3))]);
    grant(&a, "k").await.not_run();
    wait_for_outcomes(&a).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(outcome_name(&claim(&b, "k").await), "granted");
}

// The result of writing an outcome is lost, or the write is refused or late. The repeat must get
// the complete first response, and the late write must not overwrite the row.
async fn check_outcome_survives(faults: &[Fault]) {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.inject(faults.iter().copied());
    permit.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    sleep(Duration::from_secs(2)).await;
    let ClaimOutcome::Replay(first) = claim(&b, "k").await else {
        panic!("the first response is stored");
    };
    assert_eq!(first, response(b"held"));
}

cases! { check_outcome_survives:
    outcome_refused(&[Fault::Refused, Fault::Refused]);
    outcome_lost_before_the_effect(&[Fault::LostBefore]);
    outcome_lost_after_the_effect(&[Fault::LostAfter]);
    outcome_late(&[Fault::Late(AFTER_THE_RETRY)]);
}

// A released row is taken over, and then the release of the first attempt is applied a second time.
// It must not release the second attempt, which is being sent.
#[tokio::test(start_paused = true)]
async fn late_release_does_not_affect_the_next_attempt() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.inject([Fault::Late(AFTER_THE_RETRY)]);
    permit.not_run();
    wait_for_outcomes(&a).await;
    let second = grant(&b, "k").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fake.rows()[0].state, ClaimState::Claimed);
    assert_eq!(
        outcome_name(&a.claim(&request("k"), TIMEOUT).await),
        "in progress"
    );
    second.unknown();
}
