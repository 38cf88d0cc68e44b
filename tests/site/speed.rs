//! Workers that become slow while they run on.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, sleep_secs, step, task},
    log_capture::{capture, captured},
};
use eyre::{Result, ensure, eyre};
use primroseroute_cell::Limits;
use primroseroute_domain::work::{Job, JobId, Name, State, Step};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::sleep;

cases! {
    slow_workers_get_nothing_new_and_jobs_end_soon => avoided();
    workers_that_are_all_slow_are_used_as_before => all_slow();
    owner_that_takes_over_finds_the_slow_workers => taken_over();
    worker_that_is_fast_again_is_used_again => fast_again();
    slow_workers_are_used_if_speed_is_switched_off => switched_off();
}

const WORKERS: usize = 24;

/// How many times slower a slow worker is.
const SLOWDOWN: u64 = 7;

/// Time that a task takes on a worker that isn't slow.
const TASK_MS: u64 = 2_000;

/// A job with so many tasks on each worker.
fn spread(per_worker: u16) -> Job {
    let step = Step {
        count: per_worker * 24,
        most_per_worker: per_worker,
        ..step(1)
    };
    Job {
        steps: vec![step],
        ..job(&TASK_MS.to_string(), 1)
    }
}

/// A site whose workers have all been seen to be normal.
async fn open(seed: u64) -> Result<Fixture> {
    capture();
    let mut fixture = Fixture::open(seed, 3, WORKERS).await?;
    let id = fixture.submit("e-0", &spread(3)).await?;
    fixture
        .wait_for_state("e-1", &id, State::Completed, 10)
        .await?;
    Ok(fixture)
}

/// Makes a twelfth of the workers slow.
fn slow_down(fixture: &Fixture, slowdown: u64) -> BTreeSet<Name> {
    let workers = fixture.workers_of(POOL).into_iter();
    let slow: BTreeSet<Name> = workers.step_by(12).collect();
    for worker in &slow {
        fixture.world.set_slowdown(worker, slowdown);
    }
    slow
}

fn lines(text: &str) -> usize {
    let lines = captured();
    lines.iter().filter(|line| line.text == text).count()
}

/// Number of the job's runs that were started on `workers` from `from` on.
fn started_on(fixture: &Fixture, id: &JobId, workers: &BTreeSet<Name>, from: u64) -> usize {
    let tasks = fixture.sent.jobs[id].steps[0].count;
    let journal = fixture.world.journal();
    let starts = (0..tasks).flat_map(|index| journal.starts(&task(id, 0, index)));
    let there = starts.filter(|(worker, at)| workers.contains(worker) && *at >= from);
    there.count()
}

// Tasks on two of 24 workers become seven times slower in mid-run. The job would take 13 s.
async fn avoided() -> Result<()> {
    let mut fixture = open(301).await?;
    let first = fixture.submit("e-0", &spread(3)).await?;
    sleep(Duration::from_millis(200)).await;
    let slow = slow_down(&fixture, SLOWDOWN);
    let from = fixture.world.now();
    fixture
        .wait_for_state("e-1", &first, State::Completed, 7)
        .await?;
    let took = fixture.world.now() - from;
    ensure!(took < 3 * TASK_MS, "{took} ms");
    ensure!(lines("worker is slow") == 2, "{}", lines("worker is slow"));
    ensure!(lines("moving run off slow worker") > 0);
    let from = fixture.world.now();
    let second = fixture.submit("e-0", &job("500", 40)).await?;
    fixture
        .wait_for_state("e-1", &second, State::Completed, 5)
        .await?;
    let there = started_on(&fixture, &second, &slow, from);
    ensure!(there == 0, "{there} runs were started on slow workers");
    fixture.check_invariants()
}

async fn all_slow() -> Result<()> {
    let mut fixture = open(302).await?;
    let id = fixture.submit("e-0", &spread(3)).await?;
    sleep(Duration::from_millis(200)).await;
    for worker in fixture.workers_of(POOL) {
        fixture.world.set_slowdown(&worker, SLOWDOWN);
    }
    fixture
        .wait_for_state("e-1", &id, State::Completed, 16)
        .await?;
    ensure!(lines("worker is slow") == 0 && lines("moving run off slow worker") == 0);
    let journal = fixture.world.journal();
    for index in 0..fixture.sent.jobs[&id].steps[0].count {
        let starts = journal.starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "{starts:?}");
    }
    fixture.check_invariants()
}

async fn taken_over() -> Result<()> {
    let mut fixture = open(303).await?;
    let id = fixture.submit("e-0", &spread(3)).await?;
    let slow = slow_down(&fixture, SLOWDOWN);
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    let from = fixture.world.now();
    let (entry, _node) = fixture
        .nodes
        .first_key_value()
        .ok_or_else(|| eyre!("no entry is left"))?;
    let entry = entry.clone();
    fixture
        .wait_for_state(&entry, &id, State::Completed, 13)
        .await?;
    // The long tasks alone take 14 s.
    ensure!(fixture.world.now() - from < 12_000);
    ensure!(lines("moving run off slow worker") > 0);
    let last = fixture.submit(&entry, &job("500", 40)).await?;
    sleep_secs(1).await;
    ensure!(started_on(&fixture, &last, &slow, from) == 0);
    sleep_secs(4).await;
    fixture.check_invariants()
}

async fn fast_again() -> Result<()> {
    let mut fixture = open(304).await?;
    fixture.submit("e-0", &spread(3)).await?;
    sleep(Duration::from_millis(200)).await;
    let slow = slow_down(&fixture, SLOWDOWN);
    sleep_secs(3).await;
    ensure!(lines("worker is slow") == 2);
    slow_down(&fixture, 1);
    sleep_secs(8).await;
    let from = fixture.world.now();
    let mut there = 0;
    for _job in 0..3 {
        let id = fixture.submit("e-0", &job("1500", 192)).await?;
        sleep_secs(3).await;
        there += started_on(&fixture, &id, &slow, from);
    }
    ensure!(lines("worker is no longer slow") == 2);
    ensure!(
        there > 8,
        "{there} runs were started on workers that are fast again"
    );
    sleep_secs(4).await;
    fixture.check_invariants()
}

async fn switched_off() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(305, 3, WORKERS).await?;
    fixture.bounds.send_modify(|bounds| {
        bounds.limits = Limits {
            worker_speed: false,
            ..bounds.limits
        };
    });
    // Bounds are in force from the next takeover on.
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.stop(&owner);
    sleep_secs(4).await;
    let id = fixture.submit(&other, &spread(3)).await?;
    sleep(Duration::from_millis(200)).await;
    slow_down(&fixture, SLOWDOWN);
    fixture
        .wait_for_state(&other, &id, State::Completed, 16)
        .await?;
    ensure!(lines("worker is slow") == 0 && lines("moving run off slow worker") == 0);
    fixture.check_invariants()
}
