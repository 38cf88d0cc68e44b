//! Expired rows are deleted in bounded steps, and no others.

use crate::{
    fake_table::{FakeTable, Fault},
    fixture::{PausedClock, claim, entry, grant, outcome_name, response, wait_for_outcomes},
};
use primroseroute_claims::{Sweeper, sweeper};
use std::{sync::Arc, time::Duration};
use tokio::time::advance;

const MINUTE: Duration = Duration::from_secs(60);

async fn sweep_all(sweep: &mut Sweeper) -> usize {
    let mut deleted = 0;
    loop {
        let step = sweep.step().await.expect("the table answers");
        assert!(
            step.read <= 100 && step.deleted <= step.read,
            "steps are bounded"
        );
        deleted += step.deleted;
        if step.wrapped {
            return deleted;
        }
    }
}

// A completed request is not retried after a day, so its row is deleted. A claim without an outcome
// may belong to an entry that is suspended before the send: if its row were deleted, a retry would
// run and then the suspended entry would resume and run it again.
#[tokio::test(start_paused = true)]
async fn open_claims_outlive_settled_ones() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "settled").await.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    let suspended = grant(&a, "open").await;
    let mut sweep = Sweeper::new(Arc::new(fake.clone()), Arc::clone(&clock) as _);
    advance(sweeper::SETTLED_RETENTION.saturating_sub(MINUTE)).await;
    assert_eq!(sweep_all(&mut sweep).await, 0);
    advance(2 * MINUTE).await;
    assert_eq!(sweep_all(&mut sweep).await, 1);
    assert_eq!(outcome_name(&claim(&b, "open").await), "unknown");
    advance(sweeper::OPEN_RETENTION).await;
    assert_eq!(sweep_all(&mut sweep).await, 1);
    assert!(fake.rows().is_empty());
    suspended.unknown();
}

// More rows than one step deletes: all are deleted step by step, even if the commit of a step is
// refused or its result is lost.
#[tokio::test(start_paused = true)]
async fn many_rows_are_deleted_step_by_step() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    for number in 0..250 {
        grant(&a, &format!("k{number}")).await.unknown();
    }
    wait_for_outcomes(&a).await;
    advance(sweeper::OPEN_RETENTION + MINUTE).await;
    fake.inject([Fault::Refused, Fault::LostAfter]);
    let mut sweep = Sweeper::new(Arc::new(fake.clone()), Arc::clone(&clock) as _);
    assert!(sweep.step().await.is_err());
    assert!(sweep.step().await.is_err());
    assert_eq!(sweep_all(&mut sweep).await, 150);
    assert!(fake.rows().is_empty());
}
