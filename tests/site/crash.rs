//! Tasks that crash the workers that start them, and tasks that only lose their workers.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, step, task},
    cases,
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Job, JobId, Name, State, Step};
use primroseroute_standin::site::{Event, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// Unbounded retries of a task that crashes its workers.
    task_that_crashes_its_workers_is_given_up => given_up();
    /// Jobs that fail because they shared workers with a task that crashed them.
    neighbours_of_a_crashing_task_complete => neighbours();
    /// A pool whose workers are all down because of a few tasks that crash them.
    several_crashing_tasks_leave_the_pool_to_others => several();
    /// A count of crashes that a successor restarts from zero.
    count_of_crashes_outlasts_takeovers => takeovers();
    /// A count of crashes that is lost when all entries are killed.
    count_of_crashes_outlasts_all_entries => all_entries();
    /// A crash that goes unnoticed because the owner was killed at the same time.
    crash_beside_its_owner_counts => with_its_owner();
    /// A task abandoned because of workers that were only partitioned.
    task_whose_workers_are_cut_off_is_not_given_up => cut_off();
    /// Partitioned workers that hide a crashing task, or are mistaken for crashed ones beside it.
    cut_workers_beside_crashed_ones => cut_beside_crashed();
    /// A task abandoned because of crashes of its workers that had other causes.
    task_whose_workers_crash_by_themselves_is_not_given_up => unlucky();
    /// Unbounded restarts of a gang that crashes its workers.
    gang_that_crashes_its_workers_is_given_up => gang();
    /// Unbounded restarts of a long-running task that crashes its workers, or loss of the other tasks of its step.
    lasting_task_that_crashes_its_workers_is_given_up => lasting_task();
    /// A long-running task abandoned because of crashes of partitioned workers that had outlived its runs.
    lasting_task_serves_on_after_crashes_of_workers_that_outlived_it => outlived_behind_cuts();
    /// A crash that isn't counted because the start arrived late, from a former owner.
    late_starts_of_a_crashing_task_count => late_starts();
}

/// Payload of tasks that crash their workers right after they start.
const CRASHES: &str = "5 crashes";

/// Seconds within which a task that crashes its workers has to be abandoned.
const GIVEN_UP: u64 = 60;

/// Number of crashes that a job's tasks have caused so far.
fn crashes(bed: &Bed, id: &JobId) -> usize {
    bed.count(|event| matches!(event, Event::Crashed { task, .. } if task.job == *id))
}

/// Waits until a job's tasks have caused `count` crashes.
async fn until_crashes(bed: &Bed, id: &JobId, count: usize) -> Result<()> {
    let crashed = |bed: &Bed| (crashes(bed, id) >= count).then_some(());
    bed.wait_for("a crash", 60, crashed).await
}

async fn given_up() -> Result<()> {
    let mut bed = Bed::open(301, 3, 5).await?;
    let id = bed.submit("e-0", &job(CRASHES, 1)).await?;
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    ensure!(
        crashes(&bed, &id) >= 2,
        "too few crashes for the test to be conclusive"
    );
    seconds(20).await;
    bed.judge()
}

async fn neighbours() -> Result<()> {
    let mut bed = Bed::open(302, 3, 3).await?;
    let mut others = Vec::new();
    for _job in 0..3 {
        others.push(bed.submit("e-0", &job("3000", 6)).await?);
    }
    let culprit = bed.submit("e-1", &job(CRASHES, 1)).await?;
    for _second in 0..15 {
        others.push(bed.submit("e-0", &job("1500", 5)).await?);
        seconds(1).await;
    }
    bed.until("e-0", &culprit, State::Failed, GIVEN_UP).await?;
    for id in &others {
        bed.until("e-0", id, State::Completed, 60).await?;
    }
    bed.judge()
}

async fn several() -> Result<()> {
    let mut bed = Bed::open(303, 3, 6).await?;
    let mut culprits = Vec::new();
    let mut others = Vec::new();
    for _second in 0..8 {
        culprits.push(bed.submit("e-1", &job(CRASHES, 1)).await?);
        others.push(bed.submit("e-0", &job("800", 12)).await?);
        seconds(1).await;
    }
    for id in &culprits {
        bed.until("e-0", id, State::Failed, GIVEN_UP).await?;
    }
    for id in &others {
        bed.until("e-0", id, State::Completed, GIVEN_UP).await?;
    }
    bed.judge()
}

async fn takeovers() -> Result<()> {
    let mut bed = Bed::open(304, 4, 6).await?;
    let id = bed.submit("e-0", &job(CRASHES, 1)).await?;
    let mut others = Vec::new();
    for count in 1..=2 {
        until_crashes(&bed, &id, count).await?;
        sleep(Duration::from_millis(count as u64 * 700)).await;
        others.push(bed.submit("e-0", &job("2000", 8)).await?);
        let owner = bed.owner(POOL).await?;
        bed.kill(&owner);
        seconds(1).await;
        bed.start(&owner);
    }
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    for id in &others {
        bed.until("e-0", id, State::Completed, GIVEN_UP).await?;
    }
    seconds(20).await;
    bed.judge()
}

async fn all_entries() -> Result<()> {
    let mut bed = Bed::open(305, 3, 6).await?;
    let id = bed.submit("e-0", &job(CRASHES, 1)).await?;
    for count in 1..=2 {
        until_crashes(&bed, &id, count).await?;
        let names: Vec<String> = bed.nodes.keys().cloned().collect();
        for name in &names {
            bed.kill(name);
        }
        seconds(1).await;
        for name in &names {
            bed.start(name);
        }
        seconds(3).await;
    }
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    seconds(20).await;
    bed.judge()
}

async fn with_its_owner() -> Result<()> {
    let mut bed = Bed::open(306, 3, 5).await?;
    let id = bed.submit("e-0", &job("300 crashes", 1)).await?;
    for count in 1..=3 {
        until_crashes(&bed, &id, count).await?;
        let owner = bed.owner(POOL).await?;
        bed.kill(&owner);
        seconds(2).await;
        bed.start(&owner);
        seconds(1).await;
    }
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    seconds(20).await;
    bed.judge()
}

async fn cut_off() -> Result<()> {
    let mut bed = Bed::open(307, 3, 6).await?;
    let id = bed.submit("e-0", &job("12000", 1)).await?;
    for _cut in 0..5 {
        let on = until_running(&bed, &id).await?;
        bed.world.cut(&on, true);
        seconds(9).await;
        bed.world.cut(&on, false);
    }
    bed.until("e-0", &id, State::Completed, GIVEN_UP).await?;
    bed.judge()
}

/// Waits until the first task of a job runs; returns its worker.
async fn until_running(bed: &Bed, id: &JobId) -> Result<Name> {
    let task = task(id, 0, 0);
    bed.wait_for("a run", 30, |bed| bed.running(&task).pop())
        .await
}

async fn cut_beside_crashed() -> Result<()> {
    let mut bed = Bed::open(308, 3, 8).await?;
    let other = bed.submit("e-0", &job("4000", 8)).await?;
    let id = bed.submit("e-0", &job(CRASHES, 1)).await?;
    for _cut in 0..4 {
        let workers = bed.world.workers();
        let index = usize::try_from(bed.world.random(workers.len() as u64))?;
        let worker = Name::clone(&workers[index]);
        bed.world.cut(&worker, true);
        seconds(4).await;
        if bed.world.workers().contains(&worker) {
            bed.world.cut(&worker, false);
        }
    }
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    bed.until("e-0", &other, State::Completed, GIVEN_UP).await?;
    bed.judge()
}

async fn unlucky() -> Result<()> {
    let mut bed = Bed::open(309, 3, 12).await?;
    let id = bed.submit("e-0", &job("4000", 1)).await?;
    let others = bed.submit("e-0", &job("3000", 12)).await?;
    for _crash in 0..2 {
        let on = until_running(&bed, &id).await?;
        bed.world.crash(&on);
        seconds(1).await;
    }
    bed.until("e-0", &id, State::Completed, GIVEN_UP).await?;
    bed.until("e-0", &others, State::Completed, GIVEN_UP)
        .await?;
    bed.judge()
}

async fn gang() -> Result<()> {
    let mut bed = Bed::open(310, 3, 8).await?;
    let gang = Step {
        gang: true,
        ..step(2)
    };
    let gang = Job {
        steps: vec![gang],
        ..job(CRASHES, 2)
    };
    let id = bed.submit("e-0", &gang).await?;
    bed.until("e-0", &id, State::Failed, 2 * GIVEN_UP).await?;
    seconds(20).await;
    bed.judge()
}

async fn lasting_task() -> Result<()> {
    let mut bed = Bed::open(311, 3, 6).await?;
    let sound = bed.submit("e-0", &lasting(3)).await?;
    let culprit = Job {
        payload: "lasts first-crashes".into(),
        ..lasting(3)
    };
    let id = bed.submit("e-0", &culprit).await?;
    seconds(GIVEN_UP).await;
    ensure!(
        crashes(&bed, &id) >= 2,
        "too few crashes for the test to be conclusive"
    );
    let before = crashes(&bed, &id);
    seconds(20).await;
    ensure!(crashes(&bed, &id) == before, "the task is started again");
    ensure!(bed.running(&task(&id, 0, 0)).is_empty());
    for (job, indexes) in [(&sound, 0..3), (&id, 1..3)] {
        let state = bed.state("e-0", job).await;
        ensure!(state == Ok(State::Running), "{state:?}");
        for index in indexes {
            let on = bed.running(&task(job, 0, index));
            ensure!(on.len() == 1, "{index} runs on {on:?}");
        }
    }
    bed.judge()
}

async fn outlived_behind_cuts() -> Result<()> {
    let mut bed = Bed::open(313, 3, 12).await?;
    let id = bed.submit("e-0", &lasting(1)).await?;
    let mut on = until_running(&bed, &id).await?;
    for _cut in 0..5 {
        bed.world.cut(&on, true);
        let elsewhere = |bed: &Bed| {
            let mut running = bed.running(&task(&id, 0, 0)).into_iter();
            running.find(|worker| *worker != on)
        };
        let next = bed.wait_for("a run elsewhere", 30, elsewhere).await?;
        bed.world.crash(&on);
        on = next;
    }
    seconds(20).await;
    let running = bed.running(&task(&id, 0, 0));
    ensure!(running.len() == 1, "the task runs on {running:?}");
    bed.judge()
}

async fn late_starts() -> Result<()> {
    let mut bed = Bed::open(312, 3, 6).await?;
    bed.conduct_all(|conduct| conduct.late_orders = 0.5);
    let id = bed.submit("e-0", &job(CRASHES, 1)).await?;
    until_crashes(&bed, &id, 1).await?;
    let owner = bed.owner(POOL).await?;
    bed.conduct(&owner, |conduct| conduct.store = Reach::Silent);
    seconds(6).await;
    bed.conduct(&owner, |conduct| conduct.store = Reach::Fine);
    seconds(6).await;
    bed.conduct_all(|conduct| conduct.late_orders = 0.0);
    bed.until("e-0", &id, State::Failed, GIVEN_UP).await?;
    seconds(20).await;
    bed.judge()
}
