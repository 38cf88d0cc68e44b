//! Tasks that crash the workers that start them, and tasks that only lose their workers.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, step, task},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Job, JobId, Name, State, Step};
use primroseroute_standin::site::{Event, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// Unbounded retries of a task that crashes its workers.
    task_that_crashes_its_workers_is_abandoned => abandoned();
    /// Jobs that fail because they shared workers with a task that crashed them.
    neighbours_of_a_crashing_task_complete => neighbours();
    /// A pool whose workers are all down because of a few tasks that crash them.
    several_crashing_tasks_leave_the_pool_to_others => several();
    /// A count of crashes that a successor restarts from zero.
    crash_count_survives_takeovers => takeovers();
    /// A count of crashes that is lost when all entries are killed.
    crash_count_survives_the_loss_of_all_entries => all_entries();
    /// A crash that goes unnoticed because the owner was killed at the same time.
    crash_at_the_same_time_as_its_owner_counts => with_its_owner();
    /// A task abandoned because of workers that were only partitioned.
    task_whose_workers_are_partitioned_is_not_abandoned => partitioned();
    /// Partitioned workers that hide a crashing task, or are mistaken for crashed ones beside it.
    partitioned_workers_beside_crashed_ones => partitioned_beside_crashed();
    /// A task abandoned because of crashes of its workers that had other causes.
    task_whose_workers_crash_for_other_causes_is_not_abandoned => unrelated_crashes();
    /// Unbounded restarts of a gang that crashes its workers.
    gang_that_crashes_its_workers_is_abandoned => gang();
    /// Unbounded restarts of a long-running task that crashes its workers, or loss of the other tasks of its step.
    long_running_task_that_crashes_its_workers_is_abandoned => long_running_task();
    /// A long-running task abandoned because of crashes of partitioned workers that had outlived its runs.
    long_running_task_survives_crashes_of_workers_that_outlived_it => outlived_behind_partitions();
    /// A crash that isn't counted because the start arrived late, from a former owner.
    late_starts_of_a_crashing_task_count => late_starts();
}

/// Payload of tasks that crash their workers right after they start.
const CRASHES: &str = "5 crashes";

/// Seconds within which a task that crashes its workers has to be abandoned.
const ABANDONED_WITHIN_SECS: u64 = 60;

/// Number of crashes that a job's tasks have caused so far.
fn crashes(fixture: &Fixture, id: &JobId) -> usize {
    fixture.count(|event| matches!(event, Event::Crashed { task, .. } if task.job == *id))
}

/// Waits until a job's tasks have caused `count` crashes.
async fn until_crashes(fixture: &Fixture, id: &JobId, count: usize) -> Result<()> {
    let crashed = |fixture: &Fixture| (crashes(fixture, id) >= count).then_some(());
    fixture.wait_for("a crash", 60, crashed).await
}

async fn abandoned() -> Result<()> {
    let mut fixture = Fixture::open(301, 3, 5).await?;
    let id = fixture.submit("e-0", &job(CRASHES, 1)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    ensure!(
        crashes(&fixture, &id) >= 2,
        "too few crashes for the test to be conclusive"
    );
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn neighbours() -> Result<()> {
    let mut fixture = Fixture::open(302, 3, 3).await?;
    let mut others = Vec::new();
    for _job in 0..3 {
        others.push(fixture.submit("e-0", &job("3000", 6)).await?);
    }
    let poison_job = fixture.submit("e-1", &job(CRASHES, 1)).await?;
    for _second in 0..15 {
        others.push(fixture.submit("e-0", &job("1500", 5)).await?);
        sleep_secs(1).await;
    }
    fixture
        .wait_for_state("e-0", &poison_job, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    for id in &others {
        fixture
            .wait_for_state("e-0", id, State::Completed, 60)
            .await?;
    }
    fixture.check_invariants()
}

async fn several() -> Result<()> {
    let mut fixture = Fixture::open(303, 3, 6).await?;
    let mut poison_jobs = Vec::new();
    let mut others = Vec::new();
    for _second in 0..8 {
        poison_jobs.push(fixture.submit("e-1", &job(CRASHES, 1)).await?);
        others.push(fixture.submit("e-0", &job("800", 12)).await?);
        sleep_secs(1).await;
    }
    for id in &poison_jobs {
        fixture
            .wait_for_state("e-0", id, State::Failed, ABANDONED_WITHIN_SECS)
            .await?;
    }
    for id in &others {
        fixture
            .wait_for_state("e-0", id, State::Completed, ABANDONED_WITHIN_SECS)
            .await?;
    }
    fixture.check_invariants()
}

async fn takeovers() -> Result<()> {
    let mut fixture = Fixture::open(304, 4, 6).await?;
    let id = fixture.submit("e-0", &job(CRASHES, 1)).await?;
    let mut others = Vec::new();
    for count in 1..=2 {
        until_crashes(&fixture, &id, count).await?;
        sleep(Duration::from_millis(count as u64 * 700)).await;
        others.push(fixture.submit("e-0", &job("2000", 8)).await?);
        let owner = fixture.owner(POOL).await?;
        fixture.kill(&owner);
        sleep_secs(1).await;
        fixture.start(&owner);
    }
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    for id in &others {
        fixture
            .wait_for_state("e-0", id, State::Completed, ABANDONED_WITHIN_SECS)
            .await?;
    }
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn all_entries() -> Result<()> {
    let mut fixture = Fixture::open(305, 3, 6).await?;
    let id = fixture.submit("e-0", &job(CRASHES, 1)).await?;
    for count in 1..=2 {
        until_crashes(&fixture, &id, count).await?;
        let names: Vec<String> = fixture.nodes.keys().cloned().collect();
        for name in &names {
            fixture.kill(name);
        }
        sleep_secs(1).await;
        for name in &names {
            fixture.start(name);
        }
        sleep_secs(3).await;
    }
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn with_its_owner() -> Result<()> {
    let mut fixture = Fixture::open(306, 3, 5).await?;
    let id = fixture.submit("e-0", &job("300 crashes", 1)).await?;
    for count in 1..=3 {
        until_crashes(&fixture, &id, count).await?;
        let owner = fixture.owner(POOL).await?;
        fixture.kill(&owner);
        sleep_secs(2).await;
        fixture.start(&owner);
        sleep_secs(1).await;
    }
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn partitioned() -> Result<()> {
    let mut fixture = Fixture::open(307, 3, 6).await?;
    let id = fixture.submit("e-0", &job("12000", 1)).await?;
    for _partition in 0..5 {
        let on = until_running(&fixture, &id).await?;
        fixture.world.set_partitioned(&on, true);
        sleep_secs(9).await;
        fixture.world.set_partitioned(&on, false);
    }
    fixture
        .wait_for_state("e-0", &id, State::Completed, ABANDONED_WITHIN_SECS)
        .await?;
    fixture.check_invariants()
}

/// Waits until the first task of a job runs; returns its worker.
async fn until_running(fixture: &Fixture, id: &JobId) -> Result<Name> {
    let task = task(id, 0, 0);
    fixture
        .wait_for("a run", 30, |fixture| fixture.running(&task).pop())
        .await
}

async fn partitioned_beside_crashed() -> Result<()> {
    let mut fixture = Fixture::open(308, 3, 8).await?;
    let other = fixture.submit("e-0", &job("4000", 8)).await?;
    let id = fixture.submit("e-0", &job(CRASHES, 1)).await?;
    for _partition in 0..4 {
        let workers = fixture.world.workers();
        let index = usize::try_from(fixture.world.random(workers.len() as u64))?;
        let worker = Name::clone(&workers[index]);
        fixture.world.set_partitioned(&worker, true);
        sleep_secs(4).await;
        if fixture.world.workers().contains(&worker) {
            fixture.world.set_partitioned(&worker, false);
        }
    }
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    fixture
        .wait_for_state("e-0", &other, State::Completed, ABANDONED_WITHIN_SECS)
        .await?;
    fixture.check_invariants()
}

async fn unrelated_crashes() -> Result<()> {
    let mut fixture = Fixture::open(309, 3, 12).await?;
    let id = fixture.submit("e-0", &job("4000", 1)).await?;
    let others = fixture.submit("e-0", &job("3000", 12)).await?;
    for _crash in 0..2 {
        let on = until_running(&fixture, &id).await?;
        fixture.world.crash(&on);
        sleep_secs(1).await;
    }
    fixture
        .wait_for_state("e-0", &id, State::Completed, ABANDONED_WITHIN_SECS)
        .await?;
    fixture
        .wait_for_state("e-0", &others, State::Completed, ABANDONED_WITHIN_SECS)
        .await?;
    fixture.check_invariants()
}

async fn gang() -> Result<()> {
    let mut fixture = Fixture::open(310, 3, 8).await?;
    let gang = Step {
        gang: true,
        ..step(2)
    };
    let gang = Job {
        steps: vec![gang],
        ..job(CRASHES, 2)
    };
    let id = fixture.submit("e-0", &gang).await?;
    fixture
        .wait_for_state("e-0", &id, State::Failed, 2 * ABANDONED_WITHIN_SECS)
        .await?;
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn long_running_task() -> Result<()> {
    let mut fixture = Fixture::open(311, 3, 6).await?;
    let sound = fixture.submit("e-0", &long_running(3)).await?;
    let poison_job = Job {
        payload: "lasts first-crashes".into(),
        ..long_running(3)
    };
    let id = fixture.submit("e-0", &poison_job).await?;
    sleep_secs(ABANDONED_WITHIN_SECS).await;
    ensure!(
        crashes(&fixture, &id) >= 2,
        "too few crashes for the test to be conclusive"
    );
    let before = crashes(&fixture, &id);
    sleep_secs(20).await;
    ensure!(
        crashes(&fixture, &id) == before,
        "the task is started again"
    );
    ensure!(fixture.running(&task(&id, 0, 0)).is_empty());
    for (job, indexes) in [(&sound, 0..3), (&id, 1..3)] {
        let state = fixture.state("e-0", job).await;
        ensure!(state == Ok(State::Running), "{state:?}");
        for index in indexes {
            let on = fixture.running(&task(job, 0, index));
            ensure!(on.len() == 1, "{index} runs on {on:?}");
        }
    }
    fixture.check_invariants()
}

async fn outlived_behind_partitions() -> Result<()> {
    let mut fixture = Fixture::open(313, 3, 12).await?;
    let id = fixture.submit("e-0", &long_running(1)).await?;
    let mut on = until_running(&fixture, &id).await?;
    for _partition in 0..5 {
        fixture.world.set_partitioned(&on, true);
        let elsewhere = |fixture: &Fixture| {
            let mut running = fixture.running(&task(&id, 0, 0)).into_iter();
            running.find(|worker| *worker != on)
        };
        let next = fixture.wait_for("a run elsewhere", 30, elsewhere).await?;
        fixture.world.crash(&on);
        on = next;
    }
    sleep_secs(20).await;
    let running = fixture.running(&task(&id, 0, 0));
    ensure!(running.len() == 1, "the task runs on {running:?}");
    fixture.check_invariants()
}

async fn late_starts() -> Result<()> {
    let mut fixture = Fixture::open(312, 3, 6).await?;
    fixture.update_all_faults(|faults| faults.late_orders = 0.5);
    let id = fixture.submit("e-0", &job(CRASHES, 1)).await?;
    until_crashes(&fixture, &id, 1).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.store = Reach::Silent);
    sleep_secs(6).await;
    fixture.update_faults(&owner, |faults| faults.store = Reach::Fine);
    sleep_secs(6).await;
    fixture.update_all_faults(|faults| faults.late_orders = 0.0);
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    sleep_secs(20).await;
    fixture.check_invariants()
}
