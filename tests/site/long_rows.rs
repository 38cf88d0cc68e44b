//! Jobs whose progress is longer than a row of the store, and rows that the store refuses.

use crate::{
    cases,
    fixture::{self, Fixture, POOL, job, sleep_secs, task},
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_cell::row::overflow;
use primroseroute_domain::work::{Job, JobId, State, TaskId};
use primroseroute_platform::rows::read_all;
use primroseroute_standin::site::Reach;

cases! {
    /// Guards against a pool that runs nothing any more after a scheduled job has fallen behind while the store was down.
    scheduled_job_that_falls_behind_keeps_its_pool_going => falls_behind();
    /// Guards against tasks that are lost or run twice where a new owner finds progress in several rows.
    progress_in_several_rows_survives_a_takeover => taken_over();
    /// Guards against details of a job that leave out the tasks in other rows than its own.
    details_show_tasks_of_all_rows => details();
    /// Guards against a job whose rows the store refuses keeping the others of its pool from starting.
    refused_rows_hold_only_their_job => refused();
    /// Guards against a run that starts twice since its end was acknowledged and never stored.
    end_of_a_held_job_is_not_acknowledged => end_of_held();
    /// Guards against a job that can't be ended while the store refuses its rows.
    held_job_can_be_cancelled => cancelled();
}

/// A scheduled job whose first occurrence is due in a second.
fn scheduled(fixture: &Fixture, payload: &str, count: u16, times: u32) -> Job {
    let first_at = fixture.world.now() + 1_000;
    fixture::scheduled(payload, count, times, first_at)
}

async fn rows_of(fixture: &Fixture, id: &JobId) -> Result<usize> {
    let rows = fixture.world.caller("observer");
    Ok(read_all(&rows, overflow::range(POOL, id)).await?.rows.len())
}

async fn falls_behind() -> Result<()> {
    let mut fixture = Fixture::open(81, 3, 4).await?;
    let behind = scheduled(&fixture, "300", 700, 8);
    let behind = fixture.submit("e-0", &behind).await?;
    sleep_secs(2).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Refused);
    sleep_secs(4).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    sleep_secs(1).await;
    let other = fixture.submit("e-1", &job("300", 2)).await?;
    fixture
        .wait_for_state("e-1", &other, State::Completed, 5)
        .await?;
    fixture
        .wait_for_state("e-1", &behind, State::Completed, 15)
        .await?;
    let rows = rows_of(&fixture, &behind).await?;
    ensure!(rows == 1, "{rows} rows are left of a completed job");
    fixture.check_invariants()
}

async fn taken_over() -> Result<()> {
    let mut fixture = Fixture::open(82, 3, 4).await?;
    let id = scheduled(&fixture, "2500", 700, 6);
    let id = fixture.submit("e-0", &id).await?;
    sleep_secs(4).await;
    let rows = rows_of(&fixture, &id).await?;
    ensure!(rows > 2, "the progress is in {rows} rows");
    for _takeover in 0..2 {
        let owner = fixture.owner(POOL).await?;
        fixture.kill(&owner);
        sleep_secs(1).await;
        fixture.start(&owner);
        sleep_secs(4).await;
    }
    fixture
        .wait_for_state("e-1", &id, State::Completed, 60)
        .await?;
    fixture.check_invariants()
}

async fn details() -> Result<()> {
    let mut fixture = Fixture::open(83, 2, 4).await?;
    let id = scheduled(&fixture, "4000", 700, 3);
    let id = fixture.submit("e-0", &id).await?;
    sleep_secs(4).await;
    let rows = fixture.world.caller("operator");
    let details = primroseroute_inspect::job(&rows, &id).await?;
    let tasks = details.map(|details| details.tasks.len());
    ensure!(tasks == Some(3 * 700), "{tasks:?} tasks");
    Ok(())
}

async fn refused() -> Result<()> {
    let mut fixture = Fixture::open(84, 2, 3).await?;
    let held = fixture.next_job_id();
    fixture.world.refuse_rows(Some(held.as_str()));
    // The claim and the acceptance have the id as their keys as well.
    let status = fixture.send("e-0", &held, &job("300", 2)).await;
    ensure!(status == StatusCode::BAD_REQUEST, "{status}");
    fixture.world.refuse_rows(None);
    let status = fixture.send("e-0", &held, &job("300", 2)).await;
    ensure!(status == StatusCode::OK, "{status}");
    fixture.world.refuse_rows(Some(held.as_str()));
    let mut others = Vec::new();
    for _job in 0..4 {
        others.push(fixture.submit("e-1", &job("300", 2)).await?);
    }
    for other in &others {
        fixture
            .wait_for_state("e-1", other, State::Completed, 4)
            .await?;
    }
    let starts = fixture.world.journal().starts(&task(&held, 0, 0)).len();
    ensure!(starts == 0, "a task whose start isn't stored was started");
    fixture.world.refuse_rows(None);
    fixture
        .wait_for_state("e-1", &held, State::Completed, 8)
        .await?;
    fixture.check_invariants()
}

async fn end_of_held() -> Result<()> {
    let mut fixture = Fixture::open(85, 2, 3).await?;
    let held = fixture.submit("e-0", &job("1500", 2)).await?;
    sleep_secs(1).await;
    fixture.world.refuse_rows(Some(held.as_str()));
    let other = fixture.submit("e-1", &job("300", 2)).await?;
    fixture
        .wait_for_state("e-1", &other, State::Completed, 4)
        .await?;
    sleep_secs(2).await;
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    fixture.world.refuse_rows(None);
    let rest = fixture.nodes.keys().next().cloned().unwrap_or_default();
    fixture
        .wait_for_state(&rest, &held, State::Completed, 15)
        .await?;
    for index in 0..2 {
        let starts = fixture.world.journal().starts(&task(&held, 0, index)).len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    fixture.check_invariants()
}

async fn cancelled() -> Result<()> {
    let mut fixture = Fixture::open(86, 2, 4).await?;
    let long = scheduled(&fixture, "9000", 700, 6);
    let held = fixture.submit("e-0", &long).await?;
    fixture.world.refuse_rows(Some(&format!("{held}.overflow")));
    sleep_secs(7).await;
    let starts = fixture.world.journal().starts(&TaskId {
        occurrence: 5,
        ..task(&held, 0, 0)
    });
    ensure!(
        starts.is_empty(),
        "a task whose start isn't stored was started"
    );
    let status = fixture.cancel("e-0", &held).await;
    ensure!(status == StatusCode::OK, "{status}");
    fixture
        .wait_for_state("e-1", &held, State::Cancelled, 2)
        .await?;
    fixture.check_invariants()
}
