//! Workers that crash, are partitioned while they run on, fail tasks, drain, or execute orders late.

use crate::{
    cases,
    fixture::{ATTEMPTS, Fixture, POOL, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure, eyre};
use primroseroute_domain::work::{Name, State};
use primroseroute_standin::site::Options;
use std::time::Duration;
use tokio::time::sleep;

cases! {
    crashed_worker_is_detected_in_seconds => crashed();
    partitioned_worker_causes_no_overlap => partitioned();
    /// Guards against a worker that refuses its pool's owner for good after a cut in one direction, since the owner
    /// has forgotten which token it has sent.
    worker_is_used_again_after_its_responses_were_lost => responses_lost(Duration::from_millis(5_500));
    /// The same after the owner has dropped what it knew of the worker's token.
    worker_is_used_again_long_after_its_responses_were_lost => responses_lost(Duration::from_secs(30));
    late_orders_start_nothing_twice => late_orders();
    start_without_a_response_costs_half_a_second => unanswered();
    start_without_a_response_on_a_replaced_worker_costs_no_late_order_window => unanswered_and_replaced();
    job_that_always_fails_ends_as_failed_after_its_attempts => fails();
    draining_worker_gets_no_new_tasks => draining();
}

// Guards against slow recovery from a crash. The platform's list no longer shows a worker on the crashed one's
// instance, so its long-running task starts elsewhere long before the lease would have expired.
async fn crashed() -> Result<()> {
    let mut fixture = Fixture::open(41, 2, 5).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    let first = fixture.running(&task(&id, 0, 0));
    fixture.world.crash(&first[0]);
    sleep_secs(4).await;
    let now = fixture.running(&task(&id, 0, 0));
    ensure!(now.len() == 1 && now != first, "{first:?}, then {now:?}");
    fixture.check_invariants()
}

// Guards against overlapping runs: a worker is partitioned from all entries and runs on. The platform still lists
// it, so its tasks count as running until its lease has certainly expired; then they start elsewhere.
async fn partitioned() -> Result<()> {
    let mut fixture = Fixture::open(42, 2, 5).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    let first = fixture.running(&task(&id, 0, 0));
    fixture.world.set_partitioned(&first[0], true);
    sleep_secs(4).await;
    ensure!(fixture.running(&task(&id, 0, 0)) == first);
    sleep_secs(6).await;
    let now = fixture.running(&task(&id, 0, 0));
    ensure!(now.len() == 1 && now != first, "{first:?}, then {now:?}");
    fixture.world.set_partitioned(&first[0], false);
    sleep_secs(5).await;
    fixture.check_invariants()
}

/// The only worker of a pool, which reports no start time, can't respond for `cut`. Calls reach it all the while.
async fn responses_lost(cut: Duration) -> Result<()> {
    let options = Options {
        seed: 48,
        reports_born: false,
        ..Options::default()
    };
    let mut fixture = Fixture::open_as(options, 2, 1).await?;
    let worker = fixture.workers_of(POOL).pop();
    let worker = worker.ok_or_else(|| eyre!("no worker"))?;
    for _cut in 0..3 {
        fixture.world.set_responses_lost(&worker, true);
        sleep(cut).await;
        fixture.world.set_responses_lost(&worker, false);
        let id = fixture.submit("e-0", &job("200", 2)).await?;
        fixture
            .wait_for_state("e-0", &id, State::Completed, 10)
            .await?;
    }
    fixture.check_invariants()
}

// Guards against runs that start twice. Almost a third of the orders get no response and are executed seconds
// later, when the task runs elsewhere or is done. The worker rejects them, since their deadline has passed or a
// stop of that run arrived first.
async fn late_orders() -> Result<()> {
    let mut fixture = Fixture::open(43, 2, 4).await?;
    fixture.update_all_faults(|faults| faults.late_orders = 0.3);
    let mut ids = Vec::new();
    for _job in 0..6 {
        ids.push(fixture.submit("e-0", &job("600", 4)).await?);
        sleep_secs(1).await;
    }
    for id in ids {
        fixture
            .wait_for_state("e-1", &id, State::Completed, 30)
            .await?;
    }
    sleep_secs(13).await;
    fixture.check_invariants()
}

// Guards against a slow restart after a start without a response. Once its stop is confirmed, the run can't begin
// any more, but only a status poll sent after that shows that it hasn't begun before. The poll in flight waited a
// second for the end of a run, and the next one another second, so that the task waited up to two seconds for its
// next start although workers were idle.
async fn unanswered() -> Result<()> {
    let mut fixture = Fixture::open(46, 2, 4).await?;
    for round in 0..4 {
        sleep(Duration::from_millis(1_000 + round * 230)).await;
        fixture.update_all_faults(|faults| faults.late_orders = 1.0);
        let from = fixture.world.now();
        let id = fixture.submit("e-0", &job("200", 1)).await?;
        sleep(Duration::from_millis(200)).await;
        fixture.update_all_faults(|faults| faults.late_orders = 0.0);
        fixture
            .wait_for_state("e-1", &id, State::Completed, 4)
            .await?;
        let starts = fixture.world.journal().starts(&task(&id, 0, 0));
        let waited = starts.first().map(|(_worker, at)| at - from);
        ensure!(
            waited.is_some_and(|waited| waited < 700),
            "round {round}: {waited:?} ms"
        );
    }
    sleep_secs(13).await;
    fixture.check_invariants()
}

// Guards against a task that waits for 15 s until no start can come late, although the instance of the crashed worker
// has another worker: the crashed one never comes back, so nothing can reach it.
async fn unanswered_and_replaced() -> Result<()> {
    let mut fixture = Fixture::open(47, 2, 1).await?;
    let worker = Name::clone(&fixture.workers_of(POOL)[0]);
    let instance = fixture.instance_of(&worker);
    let instance = instance.ok_or_else(|| eyre!("{worker} has no instance"))?;
    fixture.update_all_faults(|faults| faults.late_orders = 1.0);
    let id = fixture.submit("e-0", &job("200", 1)).await?;
    sleep(Duration::from_millis(100)).await;
    fixture.world.crash(&worker);
    fixture.update_all_faults(|faults| faults.late_orders = 0.0);
    sleep_secs(2).await;
    fixture.world.restart(&instance);
    fixture
        .wait_for_state("e-1", &id, State::Completed, 4)
        .await?;
    sleep_secs(13).await;
    fixture.check_invariants()
}

async fn fails() -> Result<()> {
    let mut fixture = Fixture::open(44, 2, 4).await?;
    let id = fixture.submit("e-0", &job("200 fails", 1)).await?;
    fixture
        .wait_for_state("e-1", &id, State::Failed, 15)
        .await?;
    let starts = fixture.world.journal().starts(&task(&id, 0, 0)).len();
    ensure!(starts == ATTEMPTS as usize, "{starts} starts");
    fixture.check_invariants()
}

async fn draining() -> Result<()> {
    let mut fixture = Fixture::open(45, 2, 3).await?;
    let draining_worker = Name::clone(&fixture.world.workers()[0]);
    fixture.world.drain(&draining_worker);
    sleep_secs(1).await;
    let from = fixture.world.now();
    for _job in 0..3 {
        let id = fixture.submit("e-0", &job("300", 6)).await?;
        fixture
            .wait_for_state("e-1", &id, State::Completed, 10)
            .await?;
        for index in 0..6 {
            let starts = fixture.world.journal().starts(&task(&id, 0, index));
            let there = starts
                .iter()
                .any(|(worker, at)| *worker == draining_worker && *at > from);
            ensure!(
                !there,
                "a task was started on {draining_worker}, which is draining"
            );
        }
    }
    fixture.check_invariants()
}
