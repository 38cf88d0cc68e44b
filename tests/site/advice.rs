//! Queues whose placement policy only the advice service knows: starts of their tasks carry its tickets.

use crate::{
    cases,
    fixture::{Fixture, POOL, configuration, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Job, JobId, State};
use primroseroute_platform::site::Instruction;
use primroseroute_standin::site::{Reach, is_allowed};
use std::time::Duration;

cases! {
    tasks_start_only_where_the_policy_allows => allowed_only();
    expired_ticket_is_requested_again => asked_again();
    jobs_wait_while_the_advice_service_is_unavailable => no_advice();
    successor_requests_advice_again => successor();
    queue_that_starts_to_need_tickets => newly_required();
}

/// Opens a site whose queue needs tickets, and waits until its configuration is in effect.
async fn open(seed: u64) -> Result<Fixture> {
    let fixture = Fixture::open(seed, 3, 4).await?;
    require_tickets(&fixture);
    sleep_secs(1).await;
    Ok(fixture)
}

fn require_tickets(fixture: &Fixture) {
    let mut newer = configuration(2, POOL);
    newer.queues[0].needs_ticket = true;
    fixture.world.instruct(Instruction::Configuration(newer));
}

/// A job whose workers reject starts without a valid ticket.
fn advised(millis: &str, count: u16) -> Job {
    job(&format!("{millis} advised"), count)
}

/// Checks that each task of a single-step job has started, and only on workers that the policy allows.
fn check_policy(fixture: &Fixture, id: &JobId, count: u16) -> Result<()> {
    for index in 0..count {
        let starts = fixture.world.journal().starts(&task(id, 0, index));
        ensure!(!starts.is_empty(), "task {index} never started");
        for (worker, _at) in starts {
            ensure!(is_allowed(&worker), "task {index} started on {worker}");
        }
    }
    Ok(())
}

// The policy allows two of four workers. The job runs there, and nowhere else.
async fn allowed_only() -> Result<()> {
    let mut fixture = open(81).await?;
    let id = fixture.submit("e-0", &advised("500", 12)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 4)
        .await?;
    check_policy(&fixture, &id, 12)?;
    fixture.check_invariants()
}

// Guards against starts with expired tickets: tasks for three rounds on two workers take longer than a ticket is
// valid, so later ones start with new tickets.
async fn asked_again() -> Result<()> {
    let mut fixture = open(82).await?;
    let id = fixture.submit("e-0", &advised("2500", 48)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 12)
        .await?;
    check_policy(&fixture, &id, 48)?;
    fixture.check_invariants()
}

// The advice service is unavailable for seconds. Jobs of the queue wait, and proceed when it is back; running
// tasks are not disturbed.
async fn no_advice() -> Result<()> {
    let mut fixture = open(83).await?;
    let two_tasks = long_running(2);
    let steady = Job {
        payload: "lasts advised".into(),
        ..two_tasks
    };
    let steady = fixture.submit("e-0", &steady).await?;
    sleep_secs(1).await;
    fixture.update_all_faults(|faults| faults.advice = Reach::Refused);
    let id = fixture.submit("e-0", &advised("500", 4)).await?;
    sleep_secs(5).await;
    ensure!(fixture.state("e-0", &id).await == Ok(State::Pending));
    ensure!(fixture.queued("e-0").await == 1);
    fixture.update_all_faults(|faults| faults.advice = Reach::Fine);
    fixture
        .wait_for_state("e-0", &id, State::Completed, 2)
        .await?;
    check_policy(&fixture, &steady, 2)?;
    for index in 0..2 {
        let starts = fixture.world.journal().starts(&task(&steady, 0, index));
        ensure!(starts.len() == 1, "{starts:?}");
    }
    fixture.check_invariants()
}

// The owner is killed between its request for advice and the response. Tickets are not stored in any row, so its
// successor requests advice again.
async fn successor() -> Result<()> {
    let mut fixture = open(84).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &advised("500", 4)).await?;
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.kill(&owner);
    fixture
        .wait_for_state(&other, &id, State::Completed, 9)
        .await?;
    check_policy(&fixture, &id, 4)?;
    fixture.check_invariants()
}

// A new configuration makes the queue need tickets while one of its jobs waits for free capacity. From then on the
// workers reject starts without a ticket; the owner learns that tickets are needed, and requests advice.
async fn newly_required() -> Result<()> {
    let mut fixture = Fixture::open(85, 2, 4).await?;
    let filling = fixture.submit("e-0", &job("2000", 32)).await?;
    sleep_secs(1).await;
    let id = fixture.submit("e-0", &advised("500", 4)).await?;
    require_tickets(&fixture);
    fixture
        .wait_for_state("e-0", &filling, State::Completed, 4)
        .await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 4)
        .await?;
    check_policy(&fixture, &id, 4)?;
    fixture.check_invariants()
}
