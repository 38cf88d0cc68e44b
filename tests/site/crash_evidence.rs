//! Crashes whose time isn't known: tasks that didn't cause them go on, and tasks that did are abandoned.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, step, task},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Job, JobId, Name, State, Step, TaskId};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::{Event, Options, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// A long-running task abandoned because one list of instances took too long while its worker was partitioned.
    long_running_task_survives_crashes_after_a_late_list => outlived(314, &long_running(1), LATE_LIST);
    /// A long-running task abandoned because all lists of instances were late while its worker was partitioned.
    long_running_task_survives_crashes_beside_late_lists => outlived(315, &long_running(1), LATE_LISTS);
    /// A long-running task abandoned because one list of instances took longer than a lease while its worker was partitioned.
    long_running_task_survives_crashes_after_an_overdue_list => outlived(316, &long_running(1), OVERDUE_LIST);
    /// A long-running task abandoned by successors of owners that had lost the store.
    long_running_task_survives_crashes_as_owners_lose_the_store => outlived(317, &long_running(1), Disruption::Store);
    /// A long-running task abandoned by successors that never reached the partitioned workers.
    long_running_task_survives_crashes_after_takeovers => outlived(318, &long_running(1), Disruption::Takeover);
    /// A long-running task abandoned because instances weren't listed while orders to them got no answer.
    long_running_task_survives_crashes_as_orders_to_instances_fail => outlived(327, &long_running(1), Disruption::Orders);
    /// A job failed because one list of instances took too long while its worker was partitioned.
    job_survives_crashes_after_a_late_list => outlived(319, &job(BATCH_PAYLOAD, 1), LATE_LIST);
    /// A job failed because one list of instances took half a lease while its worker was partitioned.
    job_survives_crashes_after_a_very_late_list => outlived(330, &job(BATCH_PAYLOAD, 1), VERY_LATE_LIST);
    /// A job failed because one list of instances took longer than a lease while its worker was partitioned.
    job_survives_crashes_after_an_overdue_list => outlived(320, &job(BATCH_PAYLOAD, 1), OVERDUE_LIST);
    /// A job failed by successors that never reached the partitioned workers.
    job_survives_crashes_after_takeovers => outlived(321, &job(BATCH_PAYLOAD, 1), Disruption::Takeover);
    /// A gang failed because one list of instances took too long while the worker of a member was partitioned.
    gang_survives_crashes_after_a_late_list => outlived(322, &gang(BATCH_PAYLOAD), LATE_LIST);
    /// A gang failed because one list of instances took longer than a lease while the worker of a member was partitioned.
    gang_survives_crashes_after_an_overdue_list => outlived(323, &gang(BATCH_PAYLOAD), OVERDUE_LIST);
    /// A long-running task abandoned for a crash right after its start, after another that its worker had outlived.
    long_running_task_survives_a_crash_that_its_worker_outlived_among_others => among_others();
    /// Unbounded restarts of a task that crashes its workers, as crashes are found late.
    crashing_task_is_abandoned_beside_late_lists => crashing(324, &job(CRASHES, 1), (Duration::from_millis(2_500), NEW_IDS));
    /// Unbounded restarts of a task that crashes its workers, as crashes are found after their leases have expired.
    crashing_task_is_abandoned_beside_very_late_lists => crashing(325, &job(CRASHES, 1), (Duration::from_secs(9), NEW_IDS));
    /// Unbounded restarts of a gang that crashes its workers, as crashes are found late.
    crashing_gang_is_abandoned_beside_late_lists => crashing(326, &gang(CRASHES), (Duration::from_millis(2_500), NEW_IDS));
    /// Unbounded restarts of a task that crashes its workers, as their next incarnations are listed under the same ids.
    crashing_task_is_abandoned_beside_late_lists_and_reused_ids => crashing(328, &job(CRASHES, 1), (Duration::from_millis(2_500), SAME_IDS));
    /// Unbounded restarts of a gang that crashes its workers, as their next incarnations are listed under the same ids.
    crashing_gang_is_abandoned_beside_very_late_lists_and_reused_ids => crashing(329, &gang(CRASHES), (Duration::from_secs(9), SAME_IDS));
}

/// Payload of tasks that outlast the partitions of a test.
const BATCH_PAYLOAD: &str = "90000";

/// Payload of tasks that crash their workers right after they start.
const CRASHES: &str = "5 crashes";

/// Number of workers that a task loses in a test: more than the crashes for which it is abandoned.
const LOST_WORKERS: usize = 6;

/// Share of workers that restart under the same id after a crash: none, and all.
const NEW_IDS: f64 = 0.0;
const SAME_IDS: f64 = 1.0;

/// Seconds within which a task that crashes its workers has to be abandoned.
const ABANDONED_WITHIN_SECS: u64 = 120;

/// Number of starts of a task that crashes its workers: three crashes, and two starts after them.
const MAX_STARTS: usize = 5;

/// What goes wrong while a worker is partitioned.
#[derive(Clone, Copy)]
enum Disruption {
    /// Lists of instances that are requested in this time take long.
    Lists {
        after: Duration,
        lasts: Duration,
        delay: Duration,
    },
    /// The store doesn't answer the owner for a while, and another entry takes over.
    Store,
    /// The owner dies.
    Takeover,
    /// Maintenance of an instance is due, while the owner gets no answers from the store.
    Orders,
}

const LATE_LIST: Disruption = Disruption::Lists {
    after: Duration::from_millis(2_500),
    lasts: Duration::from_secs(1),
    delay: Duration::from_millis(2_500),
};

const VERY_LATE_LIST: Disruption = Disruption::Lists {
    after: Duration::from_millis(1_500),
    lasts: Duration::from_secs(1),
    delay: Duration::from_millis(3_200),
};

const LATE_LISTS: Disruption = Disruption::Lists {
    after: Duration::ZERO,
    lasts: Duration::from_secs(6),
    delay: Duration::from_millis(2_500),
};

const OVERDUE_LIST: Disruption = Disruption::Lists {
    after: Duration::ZERO,
    lasts: Duration::from_millis(1_700),
    delay: Duration::from_secs(8),
};

const NO_LISTS: Disruption = Disruption::Lists {
    after: Duration::ZERO,
    lasts: Duration::from_secs(6),
    delay: Duration::from_secs(8),
};

/// A job of two tasks that run at the same time.
fn gang(payload: &str) -> Job {
    let gang = Step {
        gang: true,
        ..step(2)
    };
    Job {
        steps: vec![gang],
        ..job(payload, 2)
    }
}

/// Starts of a job's tasks that the workers have accepted.
fn starts(fixture: &Fixture, id: &JobId) -> usize {
    fixture.count(|event| matches!(event, Event::Started { task, .. } if task.job == *id))
}

/// Partitions the worker of a job's first task [`LOST_WORKERS`] times, and crashes it once the task runs elsewhere.
async fn outlived(seed: u64, job: &Job, disruption: Disruption) -> Result<()> {
    let mut fixture = Fixture::open(seed, 3, 16).await?;
    let id = fixture.submit("e-0", job).await?;
    let first = task(&id, 0, 0);
    let running = |fixture: &Fixture| fixture.running(&first).pop();
    let mut on = fixture.wait_for("a run", 30, running).await?;
    for number in 0..LOST_WORKERS {
        fixture.world.set_partitioned(&on, true);
        disrupt(&mut fixture, disruption, number).await?;
        let next = run_elsewhere(&fixture, &first, &on).await?;
        fixture.world.crash(&on);
        on = next;
    }
    let is_long_running = job.steps[0].lasting;
    if is_long_running {
        sleep_secs(20).await;
        let running = fixture.running(&first);
        ensure!(running.len() == 1, "the task runs on {running:?}");
    } else {
        let done = State::Completed;
        fixture.wait_for_state("e-0", &id, done, 120).await?;
    }
    fixture.check_invariants()
}

/// Waits until a task runs on another worker than `on`; returns that worker.
async fn run_elsewhere(fixture: &Fixture, task: &TaskId, on: &Name) -> Result<Name> {
    let elsewhere = |fixture: &Fixture| {
        let mut running = fixture.running(task).into_iter();
        running.find(|worker| worker != on)
    };
    fixture.wait_for("a run elsewhere", 40, elsewhere).await
}

/// Crashes the worker of a long-running task right after its starts, and once after a partition without lists.
async fn among_others() -> Result<()> {
    let mut fixture = Fixture::open(331, 3, 16).await?;
    let id = fixture.submit("e-0", &long_running(1)).await?;
    let first = task(&id, 0, 0);
    let running = |fixture: &Fixture| fixture.running(&first).pop();
    let mut on = fixture.wait_for("a run", 30, running).await?;
    for is_partitioned in [false, false, true, false] {
        if is_partitioned {
            fixture.world.set_partitioned(&on, true);
            disrupt(&mut fixture, NO_LISTS, 0).await?;
            let next = run_elsewhere(&fixture, &first, &on).await?;
            fixture.world.crash(&on);
            on = next;
        } else {
            fixture.world.crash(&on);
            on = run_elsewhere(&fixture, &first, &on).await?;
        }
    }
    sleep_secs(20).await;
    let running = fixture.running(&first);
    ensure!(running.len() == 1, "the task runs on {running:?}");
    fixture.check_invariants()
}

async fn disrupt(fixture: &mut Fixture, disruption: Disruption, number: usize) -> Result<()> {
    match disruption {
        Disruption::Lists {
            after,
            lasts,
            delay,
        } => {
            sleep(after).await;
            fixture.update_all_faults(|faults| faults.list_delay = delay);
            sleep(lasts).await;
            fixture.update_all_faults(|faults| faults.list_delay = Duration::ZERO);
        }
        Disruption::Store => {
            let owner = fixture.owner(POOL).await?;
            sleep(Duration::from_millis(1_500)).await;
            fixture.update_faults(&owner, |faults| faults.store = Reach::Silent);
            sleep(Duration::from_millis(2_500)).await;
            fixture.update_faults(&owner, |faults| faults.store = Reach::Fine);
        }
        Disruption::Takeover => {
            sleep_secs(1).await;
            let owner = fixture.owner(POOL).await?;
            fixture.kill(&owner);
            sleep_secs(1).await;
            fixture.start(&owner);
        }
        Disruption::Orders => {
            let owner = fixture.owner(POOL).await?;
            sleep(Duration::from_millis(1_500)).await;
            fixture.update_faults(&owner, |faults| {
                faults.lost_commits = 1.0;
                faults.read_delay = Duration::from_secs(5);
            });
            fixture.world.instruct(Instruction::Wave(Wave {
                number: number as u64 + 1,
                instances: vec![format!("i-{number}").into()],
                duration: Duration::from_secs(40),
                maximum: 1,
            }));
            sleep(Duration::from_secs(3)).await;
            fixture.update_faults(&owner, |faults| {
                faults.lost_commits = 0.0;
                faults.read_delay = Duration::ZERO;
            });
        }
    }
    Ok(())
}

/// Submits a job whose tasks crash their workers, while all lists of instances are late. This share of the workers
/// restarts under the same id.
async fn crashing(seed: u64, job: &Job, (delay, same_id): (Duration, f64)) -> Result<()> {
    let options = Options {
        seed,
        same_id,
        ..Options::default()
    };
    let mut fixture = Fixture::open_as(options, 3, 8).await?;
    fixture.update_all_faults(|faults| faults.list_delay = delay);
    let id = fixture.submit("e-0", job).await?;
    fixture
        .wait_for_state("e-0", &id, State::Failed, ABANDONED_WITHIN_SECS)
        .await?;
    sleep_secs(20).await;
    let runs = starts(&fixture, &id).div_ceil(job.steps[0].count.into());
    ensure!(runs <= MAX_STARTS, "the job was started {runs} times");
    fixture.check_invariants()
}
