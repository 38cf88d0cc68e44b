//! Deletion of a finished job's rows after the retention time; the job never runs again.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, sleep_secs, task},
};
use eyre::{Result, ensure};
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, State};
use primroseroute_platform::rows::read_row;
use primroseroute_standin::site::Reach;
use std::time::Duration;
use tokio::time::sleep;

cases! {
    job_whose_rows_could_not_be_deleted_stays_finished => delete_fails();
    job_that_is_removed_during_a_read_stays_finished => removed_while_read();
    /// A job that never runs, since its owner remembers the deleted rows of another one of the same id.
    id_submitted_again_after_its_deletion_is_a_new_job => submitted_again();
}

/// Runs a job, and waits until `millis` milliseconds before its rows are due to be deleted.
async fn finished(fixture: &mut Fixture, id: JobId, millis: u64) -> Result<JobId> {
    const DUE: u64 = 150_000;
    ensure!(fixture.send("e-0", &id, &job("300", 1)).await.is_success());
    fixture
        .wait_for_state("e-0", &id, State::Completed, 3)
        .await?;
    sleep(Duration::from_millis(DUE - millis)).await;
    Ok(id)
}

// Guards against a finished job that runs again. The owner removes the job from memory and then fails to delete
// its rows. Later the history of its feed has been compacted, and it reads everything anew: the job looks as if it
// had just been accepted.
async fn delete_fails() -> Result<()> {
    let mut fixture = Fixture::open(71, 2, 2).await?;
    let id = fixture.next_job_id();
    let id = finished(&mut fixture, id, 500).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.commits = Reach::Refused);
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.commits = Reach::Fine);
    sleep_secs(2).await;
    fixture.update_faults(&owner, |faults| faults.feeds = Reach::Refused);
    sleep_secs(1).await;
    let other = fixture.submit("e-0", &job("300", 1)).await?;
    fixture.world.compact();
    fixture.update_faults(&owner, |faults| faults.feeds = Reach::Fine);
    fixture
        .wait_for_state("e-1", &other, State::Completed, 5)
        .await?;
    sleep_secs(3).await;
    ensure!(fixture.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    fixture.check_invariants()
}

// Guards against a finished job that runs again. The owner reads everything anew, slowly, after its feed's history
// was compacted. It has read the job's rows when they are deleted, and removes the job from memory before it
// processes what it has read: the job looks new.
async fn removed_while_read() -> Result<()> {
    let mut fixture = Fixture::open(72, 2, 2).await?;
    let id = loop {
        let id = fixture.next_job_id();
        if row::id_part(&id) == "0" {
            break id;
        }
    };
    let id = finished(&mut fixture, id, 1_000).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.feeds = Reach::Refused);
    sleep(Duration::from_millis(800)).await;
    fixture.submit("e-0", &job("300", 1)).await?;
    fixture.world.compact();
    fixture.update_faults(&owner, |faults| {
        faults.feeds = Reach::Fine;
        faults.read_delay = Duration::from_millis(900);
    });
    sleep_secs(12).await;
    fixture.update_faults(&owner, |faults| faults.read_delay = Duration::ZERO);
    sleep_secs(3).await;
    ensure!(fixture.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    fixture.check_invariants()
}

async fn submitted_again() -> Result<()> {
    let mut fixture = Fixture::open(73, 2, 2).await?;
    let id = fixture.next_job_id();
    let id = finished(&mut fixture, id, 0).await?;
    sleep_secs(6).await;
    let reader = fixture.world.caller("reader");
    ensure!(read_row(&reader, row::claim(&id)).await?.is_none());
    ensure!(fixture.send("e-0", &id, &job("300", 1)).await.is_success());
    sleep_secs(5).await;
    let starts = fixture.world.journal().starts(&task(&id, 0, 0)).len();
    ensure!(starts == 2, "{starts} starts");
    Ok(())
}
