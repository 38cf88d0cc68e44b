//! Rows whose time is over are deleted, in bounded steps, and no others.

use crate::{
    bench::{Paused, answer, claim, entry, grant, settle, word},
    fake::{Fake, Fault},
};
use primroseroute_claims::{Sweep, sweep};
use std::{sync::Arc, time::Duration};
use tokio::time::advance;

const MINUTE: Duration = Duration::from_secs(60);

async fn sweep_all(sweep: &mut Sweep) -> usize {
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

// A day after a hold nobody retries it, and its row goes. A claim without an outcome may belong to
// an entry that is paused before the send: were its row gone, a retry would run and then the
// paused entry would wake and run it again.
#[tokio::test(start_paused = true)]
async fn open_claims_outlive_settled_ones() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let (a, b) = (entry(&fake, &clock, 1), entry(&fake, &clock, 2));
    grant(&a, "settled").await.completed(answer(b"held"));
    settle(&a).await;
    let paused = grant(&a, "open").await;
    let mut sweep = Sweep::open(Arc::new(fake.clone()), Arc::clone(&clock) as _);
    advance(sweep::KEEP_SETTLED.saturating_sub(MINUTE)).await;
    assert_eq!(sweep_all(&mut sweep).await, 0);
    advance(2 * MINUTE).await;
    assert_eq!(sweep_all(&mut sweep).await, 1);
    assert_eq!(word(&claim(&b, "open").await), "unknown");
    advance(sweep::KEEP_OPEN).await;
    assert_eq!(sweep_all(&mut sweep).await, 1);
    assert!(fake.rows().is_empty());
    paused.unknown();
}

// More rows than one step: all go, a step at a time, also when a step's commit is lost or refused.
#[tokio::test(start_paused = true)]
async fn many_rows_go_step_by_step() {
    let (fake, clock) = (Fake::default(), Paused::start());
    let a = entry(&fake, &clock, 1);
    for number in 0..250 {
        grant(&a, &format!("k{number}")).await.unknown();
    }
    settle(&a).await;
    advance(sweep::KEEP_OPEN + MINUTE).await;
    fake.script([Fault::Refused, Fault::LostAfter]);
    let mut sweep = Sweep::open(Arc::new(fake.clone()), Arc::clone(&clock) as _);
    assert!(sweep.step().await.is_err());
    assert!(sweep.step().await.is_err());
    assert_eq!(sweep_all(&mut sweep).await, 150);
    assert!(fake.rows().is_empty());
}
