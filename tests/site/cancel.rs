//! A cancel that was acknowledged is stored, and everything of its job stops.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, State};
use primroseroute_standin::site::{CallerFaults, Reach};
use std::time::Duration;

cases! {
    cancelled_job_stops_and_stays_cancelled => stops();
    cancel_survives_the_loss_of_all_entries => all_killed();
    cancel_stops_a_start_that_lands_late => late_start();
    cancel_after_the_end_changes_nothing => after_the_end();
    cancel_stops_while_commits_wait => commits_wait();
    cancel_stops_while_a_commit_is_under_way => commit_under_way();
    cancel_of_a_job_whose_start_waits_for_its_commit => start_waits();
    cancel_that_the_owner_hears_of_seconds_late => hears_late(|faults| faults.feeds = Reach::Silent);
    cancel_that_the_owner_can_neither_follow_nor_read => hears_late(|faults| faults.jobs = Reach::Silent);
    cancel_that_an_owner_without_a_feed_reads => reads_in_place(Reach::Silent);
    cancel_that_an_owner_whose_feed_is_refused_reads => reads_in_place(Reach::Refused);
    cancel_while_a_successor_reads_the_pool => successor_reads();
    cancel_after_a_successor_has_read_the_pool => successor_has_read();
    cancel_whose_stop_is_late_stops_the_start_that_waits => stop_is_late();
    cancel_while_the_start_waits_behind_others => behind_others();
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
    bed.update_faults(&owner, |faults| faults.late_orders = 1.0);
    let id = bed.submit(&owner, &job("lasts", 3)).await?;
    seconds(1).await;
    ensure!(bed.cancel(&owner, &id).await == StatusCode::OK);
    bed.update_faults(&owner, |faults| faults.late_orders = 0.0);
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
    bed.update_faults(&owner, |faults| faults.late_commits = 1.0);
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
    bed.update_faults(&owner, |faults| faults.late_commits = 1.0);
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
    bed.update_faults(&owner, |faults| faults.late_commits = 1.0);
    let id = bed.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    bed.update_faults(&owner, |faults| faults.late_commits = 0.0);
    seconds(8).await;
    for index in 0..2 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.is_empty(), "{starts:?}");
    }
    ensure!(bed.state(&other, &id).await == Ok(State::Cancelled));
    bed.judge()
}

// A task of a cancelled job was started four seconds after its caller was told that it is cancelled. The job waits for
// room; its owner's feed brings nothing for seconds, while its commits go through; then room comes, and the owner
// starts what it knows nothing against. Only the age of the commit was bound, not the age of what it rests on.
async fn hears_late(deafen: impl FnOnce(&mut CallerFaults)) -> Result<()> {
    let mut bed = Bed::open(58, 2, 1).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.submit(&other, &job("5000", 8)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waits = bed.submit(&other, &job("500", 4)).await?;
    bed.update_faults(&owner, deafen);
    // The call that was on its way has come back by then.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let goes_on = bed.submit(&other, &job("500", 4)).await?;
    ensure!(bed.cancel(&other, &waits).await == StatusCode::OK);
    seconds(8).await;
    bed.update_faults(&owner, |faults| *faults = CallerFaults::default());
    seconds(2).await;
    bed.judge()?;
    ensure!(bed.state(&other, &waits).await == Ok(State::Cancelled));
    ensure!(bed.state(&other, &goes_on).await == Ok(State::Completed));
    Ok(())
}

// Tasks of a cancelled job ran on for as long as their owner's feed failed, while its commits and its looks went through, so that
// nobody took its pool: the owner waited for the feed alone. It reads what it can't follow, once a second or two.
async fn reads_in_place(feeds: Reach) -> Result<()> {
    let mut bed = Bed::open(63, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let id = bed.submit(&other, &lasting(3)).await?;
    seconds(2).await;
    bed.update_faults(&owner, |faults| faults.feeds = feeds);
    seconds(3).await;
    let later = bed.submit(&other, &job("300", 2)).await?;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(3).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    ensure!(bed.state(&other, &later).await == Ok(State::Completed));
    ensure!(bed.owner(POOL).await? == owner);
    bed.judge()
}

// The same during a takeover. A weak successor takes seconds to read the pool's jobs; the cancel is stored just after
// it has read the job's partition, and it then reads everything once more before it follows the feed. It starts
// the job as soon as it has read it, and hears of the cancel seconds later.
async fn successor_reads() -> Result<()> {
    let mut bed = Bed::open(59, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    // Everything waits: none of the workers takes anything before the takeover.
    bed.update_faults(&owner, |faults| faults.workers = Reach::Refused);
    let id = first_part(&mut bed);
    ensure!(bed.send(&other, &id, &job("500", 4)).await.is_success());
    seconds(1).await;
    let before = bed.token(POOL).await?;
    bed.kill(&owner);
    bed.start(&owner);
    bed.update_all_faults(|faults| faults.read_delay = Duration::from_millis(800));
    while bed.token(POOL).await? == before {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // By then it has read the job's partition, and not all.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let bystander = bed.bystander(POOL).await?;
    ensure!(bed.cancel(&bystander, &id).await == StatusCode::OK);
    seconds(14).await;
    bed.judge()
}

// Lasting tasks ran on for seconds after their cancel was acknowledged. A weak successor has read the pool and owns it, with looks and
// commits in order, but reads everything once more before it follows the feed, and hears of nothing until then.
async fn successor_has_read() -> Result<()> {
    let mut bed = Bed::open(62, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let id = bed.submit(&owner, &lasting(3)).await?;
    seconds(2).await;
    let before = bed.token(POOL).await?;
    bed.kill(&owner);
    bed.start(&owner);
    bed.update_all_faults(|faults| faults.read_delay = Duration::from_millis(350));
    while bed.token(POOL).await? == before {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Seven reads, one after the other, load the pool.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let bystander = bed.bystander(POOL).await?;
    ensure!(bed.running(&task(&id, 0, 0)).len() == 1);
    ensure!(bed.cancel(&bystander, &id).await == StatusCode::OK);
    seconds(1).await;
    for index in 0..3 {
        ensure!(bed.running(&task(&id, 0, index)).is_empty());
    }
    bed.judge()
}

/// An id in the partition that a successor reads first.
fn first_part(bed: &mut Bed) -> JobId {
    loop {
        let id = bed.id();
        if row::id_part(&id) == "0" {
            return id;
        }
    }
}

// The commit of a job's starts waits, and the job is cancelled meanwhile. Its stops go out at once and come late, as
// calls on other connections may; then the commit is through, and the starts must not follow.
async fn stop_is_late() -> Result<()> {
    let mut bed = Bed::open(60, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.update_faults(&owner, |faults| {
        faults.commits = Reach::Refused;
        faults.late_stops = 1.0;
    });
    let id = bed.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    bed.update_faults(&owner, |faults| faults.commits = Reach::Fine);
    seconds(8).await;
    for index in 0..2 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.is_empty(), "{starts:?}");
    }
    ensure!(bed.state(&other, &id).await == Ok(State::Cancelled));
    bed.judge()
}

// A worker answers slowly, so that starts wait for their turn on its few connections. The job is cancelled; the starts that
// haven't left yet must not leave, as its stops would wait for the same turn.
async fn behind_others() -> Result<()> {
    let mut bed = Bed::open(61, 2, 1).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let slow = Duration::from_millis(800);
    bed.update_faults(&owner, |faults| faults.order_delay = slow);
    let id = bed.submit(&other, &job("500", 8)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(6).await;
    let journal = bed.world.journal();
    let started = (0..8).filter(|&index| !journal.starts(&task(&id, 0, index)).is_empty());
    // As many as an entry sends to one worker at the same time.
    let started = started.count();
    ensure!(started <= 3, "{started} tasks were started");
    bed.judge()
}
