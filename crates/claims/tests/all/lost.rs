//! Commits whose answers are lost, before or after their effect, or that land late.

use crate::{
    bench::{Paused, WITHIN, answer, claim, entry, grant, request, settle, word},
    fake::{Fake, Fault},
};
use primroseroute_claims::{Claim, State};
use std::time::Duration;
use tokio::time::sleep;

const SOON: Duration = Duration::from_millis(5);
const AFTER_THE_RETRY: Duration = Duration::from_millis(500);

// The store loses the answers to the first commits of a claim, before or after their effect, or
// takes one late. The entry must find out by its operation id whether the row is its own: it is
// granted once, and an entry that asks later is not.
async fn granted_once(faults: &[Fault]) {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.script(faults.iter().copied());
    let permit = grant(&a, "k").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(word(&claim(&b, "k").await), "in progress");
    permit.completed(answer(b"held"));
    settle(&a).await;
    assert_eq!(word(&claim(&b, "k").await), "repeat");
    assert_eq!(fake.rows().len(), 1);
}

cases! { granted_once:
    lost_before_the_effect(&[Fault::LostBefore]);
    lost_after_the_effect(&[Fault::LostAfter]);
    lost_both_ways(&[Fault::LostBefore, Fault::LostAfter, Fault::Refused]);
    late_before_the_retry(&[Fault::Late(SOON)]);
    late_after_the_retry(&[Fault::Late(AFTER_THE_RETRY)]);
    late_twice(&[Fault::Late(AFTER_THE_RETRY), Fault::Late(SOON)]);
}

// The commit is late and the entry gives up on it: the caller is told "not run". Then the commit
// lands. The caller's retry must run all the same: the entry has put a released row in its place.
async fn late_commit_after_not_run(fault: Fault) {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.script([fault]);
    let first = a.claim(&request("k"), Duration::from_millis(15)).await;
    assert_eq!(word(&first), "not run");
    settle(&a).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(word(&claim(&b, "k").await), "granted");
}

cases! { late_commit_after_not_run:
    not_run_then_the_commit_lands(Fault::Late(Duration::from_secs(1)));
    not_run_though_the_row_stood(Fault::LostAfter);
    not_run_and_the_row_never_stood(Fault::LostBefore);
}

// A commit is late, the claim is granted by a second one, proven not sent and released. Then the
// late commit lands. Had the release deleted the row, it would stand again and block every retry.
#[tokio::test(start_paused = true)]
async fn late_commit_after_a_release() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    fake.script([Fault::Late(Duration::from_secs(3))]);
    grant(&a, "k").await.not_run();
    settle(&a).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(word(&claim(&b, "k").await), "granted");
}

// The answer to the write-back of an outcome is lost, or the write-back is refused or late. The
// repeat must get the first answer, whole, and the row must not be written over by the late one.
async fn outcome_survives(faults: &[Fault]) {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.script(faults.iter().copied());
    permit.completed(answer(b"held"));
    settle(&a).await;
    sleep(Duration::from_secs(2)).await;
    let Claim::Repeat(first) = claim(&b, "k").await else {
        panic!("the first answer is kept");
    };
    assert_eq!(first, answer(b"held"));
}

cases! { outcome_survives:
    outcome_refused(&[Fault::Refused, Fault::Refused]);
    outcome_lost_before_the_effect(&[Fault::LostBefore]);
    outcome_lost_after_the_effect(&[Fault::LostAfter]);
    outcome_late(&[Fault::Late(AFTER_THE_RETRY)]);
}

// A released row is taken over, and then the release of the first attempt lands a second time. It
// must not release the second attempt, which is being sent.
#[tokio::test(start_paused = true)]
async fn late_release_leaves_the_next_attempt_alone() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    let permit = grant(&a, "k").await;
    fake.script([Fault::Late(AFTER_THE_RETRY)]);
    permit.not_run();
    settle(&a).await;
    let second = grant(&b, "k").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fake.rows()[0].state, State::Claimed);
    assert_eq!(word(&a.claim(&request("k"), WITHIN).await), "in progress");
    second.unknown();
}
