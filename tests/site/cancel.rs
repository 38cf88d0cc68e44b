//! Cancels: an acknowledged cancel is stored, and all tasks of its job stop.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, task},
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
    cancel_prevents_a_late_start => late_start();
    cancel_after_the_end_changes_nothing => after_the_end();
    cancel_stops_runs_while_commits_get_no_response => commits_wait();
    cancel_stops_runs_while_a_commit_is_in_flight => commit_in_flight();
    cancel_of_a_job_whose_start_awaits_its_commit => start_waits();
    cancel_whose_feed_gets_no_response_for_seconds => learns_late(|faults| faults.feeds = Reach::Silent);
    cancel_that_the_owner_can_neither_follow_nor_read => learns_late(|faults| faults.jobs = Reach::Silent);
    cancel_is_read_while_the_feed_gets_no_response => reads_instead(Reach::Silent);
    cancel_is_read_while_the_feed_is_rejected => reads_instead(Reach::Refused);
    cancel_while_a_successor_reads_the_pool => successor_reads();
    cancel_after_a_successor_has_read_the_pool => successor_has_read();
    cancel_whose_stop_is_late_prevents_the_pending_start => stop_is_late();
    cancel_while_the_start_is_queued_behind_others => queued_behind_others();
}

async fn stops() -> Result<()> {
    let mut fixture = Fixture::open(51, 2, 4).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    ensure!(fixture.cancel("e-1", &id).await == StatusCode::OK);
    fixture
        .wait_for_state("e-0", &id, State::Cancelled, 2)
        .await?;
    sleep_secs(1).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    fixture.check_invariants()
}

// All entries are killed right after the cancel was acknowledged. The next one finds the cancel in the store, and
// stops the runs that the previous entries left behind.
async fn all_killed() -> Result<()> {
    let mut fixture = Fixture::open(52, 2, 4).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    ensure!(fixture.cancel("e-1", &id).await == StatusCode::OK);
    fixture.kill("e-0");
    fixture.kill("e-1");
    sleep_secs(1).await;
    fixture.start("e-0");
    fixture
        .wait_for_state("e-0", &id, State::Cancelled, 6)
        .await?;
    sleep_secs(2).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    fixture.check_invariants()
}

// Guards against late starts of a cancelled job. Its starts are in flight, without a response, when it is
// cancelled. They arrive seconds later, and their workers reject them: their deadline has passed, or a stop of the
// run arrived first.
async fn late_start() -> Result<()> {
    let mut fixture = Fixture::open(53, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.late_orders = 1.0);
    let id = fixture.submit(&owner, &job("lasts", 3)).await?;
    sleep_secs(1).await;
    ensure!(fixture.cancel(&owner, &id).await == StatusCode::OK);
    fixture.update_faults(&owner, |faults| faults.late_orders = 0.0);
    sleep_secs(14).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    Ok(())
}

async fn after_the_end() -> Result<()> {
    let mut fixture = Fixture::open(54, 2, 4).await?;
    let id = fixture.submit("e-0", &job("200", 2)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 3)
        .await?;
    ensure!(fixture.cancel("e-1", &id).await == StatusCode::OK);
    sleep_secs(2).await;
    ensure!(fixture.state("e-1", &id).await == Ok(State::Completed));
    Ok(())
}

// Guards against stops that wait for a commit. The owner's commits get no response for seconds, while it still
// learns of a cancel. The job's runs stop all the same: the cancel is stored, and a stop requires nothing else.
async fn commits_wait() -> Result<()> {
    let mut fixture = Fixture::open(55, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &long_running(3)).await?;
    sleep_secs(2).await;
    fixture.update_faults(&owner, |faults| faults.late_commits = 1.0);
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    fixture.check_invariants()
}

// Guards against stops that wait for another job's commit. The owner waits for the response to it when the cancel
// arrives. The runs of the cancelled job stop at once, since the control loop applies cancels while it waits.
async fn commit_in_flight() -> Result<()> {
    let mut fixture = Fixture::open(56, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &long_running(3)).await?;
    sleep_secs(2).await;
    fixture.update_faults(&owner, |faults| faults.late_commits = 1.0);
    fixture.submit(&other, &job("500", 4)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    fixture.check_invariants()
}

// A job is cancelled while the commit of its first start gets no response. Its stop is sent before the start, so
// that the worker rejects the start.
async fn start_waits() -> Result<()> {
    let mut fixture = Fixture::open(57, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.late_commits = 1.0);
    let id = fixture.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.late_commits = 0.0);
    sleep_secs(8).await;
    for index in 0..2 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.is_empty(), "{starts:?}");
    }
    ensure!(fixture.state(&other, &id).await == Ok(State::Cancelled));
    fixture.check_invariants()
}

// Guards against starts after an acknowledged cancel: a task was started four seconds after it. The job waits for
// free capacity; the owner's feed gets no response for seconds, while its commits succeed; then capacity is
// available, and the owner starts the job without knowing of the cancel. Only the age of the commit was limited,
// not the age of the data on which it is based.
async fn learns_late(inject: impl FnOnce(&mut CallerFaults)) -> Result<()> {
    let mut fixture = Fixture::open(58, 2, 1).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.submit(&other, &job("5000", 8)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waits = fixture.submit(&other, &job("500", 4)).await?;
    fixture.update_faults(&owner, inject);
    // By then the feed call in flight has returned.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let goes_on = fixture.submit(&other, &job("500", 4)).await?;
    ensure!(fixture.cancel(&other, &waits).await == StatusCode::OK);
    sleep_secs(8).await;
    fixture.update_faults(&owner, |faults| *faults = CallerFaults::default());
    sleep_secs(2).await;
    fixture.check_invariants()?;
    ensure!(fixture.state(&other, &waits).await == Ok(State::Cancelled));
    ensure!(fixture.state(&other, &goes_on).await == Ok(State::Completed));
    Ok(())
}

// Guards against tasks of a cancelled job that run on for as long as their owner's feed fails. Its commits and
// status polls succeeded, so that no entry took its pool over, and it waited for the feed alone. Now it reads what
// it can't follow, every second or two.
async fn reads_instead(feeds: Reach) -> Result<()> {
    let mut fixture = Fixture::open(63, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &long_running(3)).await?;
    sleep_secs(2).await;
    fixture.update_faults(&owner, |faults| faults.feeds = feeds);
    sleep_secs(3).await;
    let later = fixture.submit(&other, &job("300", 2)).await?;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(3).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    ensure!(fixture.state(&other, &later).await == Ok(State::Completed));
    ensure!(fixture.owner(POOL).await? == owner);
    fixture.check_invariants()
}

// Guards against a start of a cancelled job during a takeover. A successor with a small CPU share takes seconds to
// read the pool's jobs; the cancel is stored just after it has read the job's partition, and it then reads
// everything once more before it follows the feed. It started the job as soon as it had read it, and learned of
// the cancel seconds later.
async fn successor_reads() -> Result<()> {
    let mut fixture = Fixture::open(59, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    // All tasks wait, since no worker accepts starts before the takeover.
    fixture.update_faults(&owner, |faults| faults.workers = Reach::Refused);
    let id = id_in_first_partition(&mut fixture);
    ensure!(fixture.send(&other, &id, &job("500", 4)).await.is_success());
    sleep_secs(1).await;
    let before = fixture.token(POOL).await?;
    fixture.kill(&owner);
    fixture.start(&owner);
    fixture.update_all_faults(|faults| faults.read_delay = Duration::from_millis(800));
    while fixture.token(POOL).await? == before {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // By then it has read the job's partition, but not all of them.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let non_owner = fixture.non_owner(POOL).await?;
    ensure!(fixture.cancel(&non_owner, &id).await == StatusCode::OK);
    sleep_secs(14).await;
    fixture.check_invariants()
}

// Guards against long-running tasks that run on for seconds after their cancel was acknowledged. A successor with
// a small CPU share has read the pool and owns it, and its status polls and commits succeed, but it reads
// everything once more before it follows the feed, and learned of nothing until then.
async fn successor_has_read() -> Result<()> {
    let mut fixture = Fixture::open(62, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let id = fixture.submit(&owner, &long_running(3)).await?;
    sleep_secs(2).await;
    let before = fixture.token(POOL).await?;
    fixture.kill(&owner);
    fixture.start(&owner);
    fixture.update_all_faults(|faults| faults.read_delay = Duration::from_millis(350));
    while fixture.token(POOL).await? == before {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Loading the pool takes seven sequential reads.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let non_owner = fixture.non_owner(POOL).await?;
    ensure!(fixture.running(&task(&id, 0, 0)).len() == 1);
    ensure!(fixture.cancel(&non_owner, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    for index in 0..3 {
        ensure!(fixture.running(&task(&id, 0, index)).is_empty());
    }
    fixture.check_invariants()
}

/// A job id in the partition that a successor reads first.
fn id_in_first_partition(fixture: &mut Fixture) -> JobId {
    loop {
        let id = fixture.next_job_id();
        if row::id_part(&id) == "0" {
            return id;
        }
    }
}

// Guards against starts that follow late stops. A job is cancelled while the commit of its starts is pending. Its
// stops are sent at once and arrive late, as calls on other connections may; then the commit succeeds, and the
// starts must not be sent.
async fn stop_is_late() -> Result<()> {
    let mut fixture = Fixture::open(60, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.update_faults(&owner, |faults| {
        faults.commits = Reach::Refused;
        faults.late_stops = 1.0;
    });
    let id = fixture.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.commits = Reach::Fine);
    sleep_secs(8).await;
    for index in 0..2 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.is_empty(), "{starts:?}");
    }
    ensure!(fixture.state(&other, &id).await == Ok(State::Cancelled));
    fixture.check_invariants()
}

// Guards against starts that are sent after a cancel. A worker responds slowly, so that starts queue for its few
// connections. The job is cancelled; starts that are still queued must not be sent, as the stops would queue
// behind them.
async fn queued_behind_others() -> Result<()> {
    let mut fixture = Fixture::open(61, 2, 1).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let slow = Duration::from_millis(800);
    fixture.update_faults(&owner, |faults| faults.order_delay = slow);
    let id = fixture.submit(&other, &job("500", 8)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(6).await;
    let journal = fixture.world.journal();
    let started = (0..8).filter(|&index| !journal.starts(&task(&id, 0, index)).is_empty());
    // An entry sends at most three orders to one worker concurrently.
    let started = started.count();
    ensure!(started <= 3, "{started} tasks were started");
    fixture.check_invariants()
}
