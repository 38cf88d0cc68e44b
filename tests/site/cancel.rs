//! A cancel that was acknowledged is stored, and everything of its job stops.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_domain::work::State;
use std::time::Duration;

cases! {
    cancelled_job_stops_and_stays_cancelled => stops();
    cancel_survives_the_loss_of_all_entries => all_killed();
    cancel_stops_a_start_that_lands_late => late_start();
    cancel_after_the_end_changes_nothing => after_the_end();
    cancel_stops_while_commits_wait => commits_wait();
    cancel_stops_while_a_commit_is_under_way => commit_under_way();
    cancel_of_a_job_whose_start_waits_for_its_commit => start_waits();
}

async fn stops() -> Result<()> {
    let mut bed = Bed::open(51, 2, 4).await?;
    let id = bed.submit("e-0", &lasting(3)).await?;
    seconds(2).await;
    ensure!(bed.cancel("e-1", &id).await == StatusCode::OK);
    bed.until("e-0", &id, State::Cancelled, 2).await?;
    seconds(1).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    bed.judge()
}

// All entries lose power right after the cancel was acknowledged. Those that start find the cancel
// in the store, and stop what the dead ones left running.
async fn all_killed() -> Result<()> {
    let mut bed = Bed::open(52, 2, 4).await?;
    let id = bed.submit("e-0", &lasting(3)).await?;
    seconds(2).await;
    ensure!(bed.cancel("e-1", &id).await == StatusCode::OK);
    bed.kill("e-0");
    bed.kill("e-1");
    seconds(1).await;
    bed.start("e-0");
    bed.until("e-0", &id, State::Cancelled, 6).await?;
    seconds(2).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    bed.judge()
}

// Starts of the job are on their way, unanswered, when it is cancelled. They land seconds later, and
// their workers refuse them: their deadline has passed, or a stop of the run came first.
async fn late_start() -> Result<()> {
    let mut bed = Bed::open(53, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    bed.conduct(&owner, |conduct| conduct.late_orders = 1.0);
    let id = bed.submit(&owner, &job("lasts", 3)).await?;
    seconds(1).await;
    ensure!(bed.cancel(&owner, &id).await == StatusCode::OK);
    bed.conduct(&owner, |conduct| conduct.late_orders = 0.0);
    seconds(14).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    Ok(())
}

async fn after_the_end() -> Result<()> {
    let mut bed = Bed::open(54, 2, 4).await?;
    let id = bed.submit("e-0", &job("200", 2)).await?;
    bed.until("e-0", &id, State::Completed, 3).await?;
    ensure!(bed.cancel("e-1", &id).await == StatusCode::OK);
    seconds(2).await;
    ensure!(bed.state("e-1", &id).await == Ok(State::Completed));
    Ok(())
}

// The owner's commits get no answer for seconds, while it still hears of a cancel. What runs of the
// job stops all the same: the cancel is stored, and stopping needs nothing more.
async fn commits_wait() -> Result<()> {
    let mut bed = Bed::open(55, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let id = bed.submit(&other, &lasting(3)).await?;
    seconds(2).await;
    bed.conduct(&owner, |conduct| conduct.late_commits = 1.0);
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    bed.judge()
}

// The owner has sent a commit for another job and waits for its answer when the cancel comes. What
// runs of the cancelled job stops at once: the loop takes the cancel in while it waits.
async fn commit_under_way() -> Result<()> {
    let mut bed = Bed::open(56, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let id = bed.submit(&other, &lasting(3)).await?;
    seconds(2).await;
    bed.conduct(&owner, |conduct| conduct.late_commits = 1.0);
    bed.submit(&other, &job("500", 4)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    bed.judge()
}

// A job is cancelled while the commit of its first start gets no answer. Its stop goes out before the
// start does, so that the worker refuses the start.
async fn start_waits() -> Result<()> {
    let mut bed = Bed::open(57, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.conduct(&owner, |conduct| conduct.late_commits = 1.0);
    let id = bed.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    bed.conduct(&owner, |conduct| conduct.late_commits = 0.0);
    seconds(8).await;
    for index in 0..2 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.is_empty(), "{starts:?}");
    }
    ensure!(bed.state(&other, &id).await == Ok(State::Cancelled));
    bed.judge()
}
