//! Submission of jobs: an accepted job is stored once, and a rejected one never runs.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, configuration, job, sleep_secs, step, task},
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_domain::work::{Job, JobId, State, Step};
use primroseroute_platform::site::Instruction;
use primroseroute_standin::site::Reach;

cases! {
    job_of_two_steps_completes => two_steps();
    same_id_at_two_entries_is_one_job => two_entries();
    same_id_after_its_queue_moved_is_one_job => reassigned_queue();
    commit_with_a_lost_response_is_resolved => lost_answer();
    late_commit_is_not_rejected => late_commit();
    job_rejected_during_an_outage_never_runs => refused();
    /// A job that runs after a 503, since an earlier submission of it is carried out late.
    job_rejected_after_an_unanswered_submission_never_runs => refused_after_unanswered();
    malformed_job_is_rejected_permanently => malformed();
    unknown_job_is_gone => unknown();
    queue_counts_jobs_that_have_not_begun => counted();
    /// Jobs that count as begun while their starts are in flight.
    queue_counts_jobs_whose_starts_are_in_flight => starts_in_flight();
    /// A job that stays counted as queued while it runs, since its pool commits nothing else.
    queue_does_not_count_a_job_that_runs => running_not_counted();
    /// A count that stays as the last owner left it, however many jobs are accepted since.
    queue_counts_jobs_that_no_owner_has_seen => no_owner();
    /// The same in a pool that was quiet for longer than the store keeps its history.
    queue_counts_jobs_of_a_quiet_pool_that_no_owner_has_seen => no_owner_after_quiet_time();
    /// Jobs that are counted twice, or for good, once an owner commits again.
    queue_counts_are_the_owners_once_it_commits => commits_again();
}

async fn two_steps() -> Result<()> {
    let mut fixture = Fixture::open(1, 3, 3).await?;
    let later = Step {
        after: vec![0],
        ..step(4)
    };
    let job = Job {
        steps: vec![step(3), later],
        ..job("400", 3)
    };
    let id = fixture.submit("e-0", &job).await?;
    fixture
        .wait_for_state("e-1", &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// Guards against a job that runs twice because its caller sends it to two entries at the same time, as after a
// broken connection. Both commits are conditional on the absence of the same row: one writes it, and the other
// conflicts with it. Both calls are told that the job is accepted.
async fn two_entries() -> Result<()> {
    let mut fixture = Fixture::open(2, 3, 3).await?;
    let id = fixture.next_job_id();
    let job = job("300", 2);
    let body = serde_json::to_vec(&job)?;
    fixture.sent.jobs.insert(id.clone(), job.clone());
    let gateways = ["e-0", "e-1"].map(|name| std::sync::Arc::clone(&fixture.nodes[name].gateway));
    let send = |gateway: std::sync::Arc<primroseroute_gateway::Gateway>| {
        let mut headers = http::HeaderMap::new();
        headers.insert(http::header::HOST, "stay.example".parse().expect("a host"));
        let uri = format!("/stay/{id}").parse().expect("a path");
        let body = primroseroute_front::problem::full_body(body.clone());
        async move {
            gateway
                .serve(http::Method::POST, uri, headers, body)
                .await
                .status()
        }
    };
    let [first, second] = gateways;
    let statuses = tokio::join!(send(first), send(second));
    ensure!(statuses == (StatusCode::OK, StatusCode::OK), "{statuses:?}");
    fixture
        .wait_for_state("e-2", &id, State::Completed, 3)
        .await?;
    ensure!(fixture.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    fixture.check_invariants()
}

// Guards against a job that runs in two pools. The first attempt is accepted for one pool, and its response is
// lost. A new configuration assigns the queue to another pool, and the caller sends the same id again. The row of
// an id doesn't depend on the pool, so the second attempt conflicts with the row of the first.
async fn reassigned_queue() -> Result<()> {
    let mut fixture = Fixture::open(3, 3, 2).await?;
    let id = fixture.next_job_id();
    let job = job("300", 1);
    ensure!(fixture.send("e-0", &id, &job).await.is_success());
    fixture
        .world
        .instruct(Instruction::Configuration(configuration(2, OTHER)));
    sleep_secs(1).await;
    ensure!(fixture.send("e-1", &id, &job).await.is_success());
    fixture
        .wait_for_state("e-2", &id, State::Completed, 5)
        .await?;
    ensure!(fixture.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    fixture.check_invariants()
}

// Guards against a rejection of a job that runs. Half of all commits are applied without a response. The caller
// may be told that the job is accepted, or that the outcome is unknown, but never that it is rejected.
async fn lost_answer() -> Result<()> {
    let mut fixture = Fixture::open(4, 2, 3).await?;
    fixture.update_all_faults(|faults| faults.lost_commits = 0.5);
    let mut ids = Vec::new();
    for _job in 0..12 {
        let id = fixture.next_job_id();
        let status = fixture.send("e-0", &id, &job("100", 1)).await;
        ensure!(
            status.is_success() || status == StatusCode::GATEWAY_TIMEOUT,
            "{id} got {status}"
        );
        ids.push(id);
    }
    fixture.update_all_faults(|faults| faults.lost_commits = 0.0);
    for id in ids {
        fixture
            .wait_for_state("e-1", &id, State::Completed, 10)
            .await?;
    }
    fixture.check_invariants()
}

// Guards against a rejection of a job that runs. The store applies a commit seconds after the entry has timed out,
// and the job runs in the end, so the caller must not have been told that it never will.
async fn late_commit() -> Result<()> {
    let mut fixture = Fixture::open(5, 2, 3).await?;
    let name = fixture.non_owner(POOL).await?;
    fixture.update_faults(&name, |faults| faults.late_commits = 1.0);
    let id = fixture.next_job_id();
    let status = fixture.send(&name, &id, &job("100", 1)).await;
    ensure!(status == StatusCode::GATEWAY_TIMEOUT, "{status}");
    fixture.update_faults(&name, |faults| faults.late_commits = 0.0);
    fixture
        .wait_for_state(&name, &id, State::Completed, 12)
        .await?;
    fixture.check_invariants()
}

// The store rejects the entry's calls, which proves that nothing was written: the caller gets a rejection that
// invites a retry, and the job must never run.
async fn refused() -> Result<()> {
    let mut fixture = Fixture::open(6, 2, 3).await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Refused);
    let id = fixture.next_job_id();
    let status = fixture.send("e-0", &id, &job("100", 1)).await;
    ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
    fixture.sent.refused.insert(id.clone());
    fixture.update_faults("e-0", |faults| faults.store = Reach::Fine);
    sleep_secs(10).await;
    ensure!(fixture.state("e-1", &id).await == Err(StatusCode::GONE));
    fixture.check_invariants()
}

// The first submission is carried out seconds after its caller has left; the second is sent to an entry whose calls
// the store refuses.
async fn refused_after_unanswered() -> Result<()> {
    let mut fixture = Fixture::open(15, 2, 3).await?;
    fixture.update_faults("e-0", |faults| faults.late_commits = 1.0);
    let id = fixture.next_job_id();
    let job = job("100", 1);
    fixture.send_and_leave("e-0", &id, &job).await?;
    fixture.update_faults("e-1", |faults| faults.store = Reach::Refused);
    let status = fixture.send("e-1", &id, &job).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        fixture.sent.refused.insert(id);
    }
    sleep_secs(10).await;
    fixture.check_invariants()
}

async fn malformed() -> Result<()> {
    let mut fixture = Fixture::open(7, 2, 1).await?;
    let ahead = Step {
        after: vec![1],
        ..step(1)
    };
    // 300 steps of 300 bytes are below the limit of the body size.
    let faulty = [
        Job {
            steps: vec![ahead, step(1)],
            ..job("100", 1)
        },
        Job {
            steps: Vec::new(),
            ..job("100", 1)
        },
        Job {
            steps: vec![step(1); 300],
            ..job("100", 1)
        },
        job(&"x".repeat(4_001), 1),
        job("100", 0),
    ];
    for job in faulty {
        let id = fixture.next_job_id();
        let status = fixture.send("e-0", &id, &job).await;
        ensure!(status == StatusCode::BAD_REQUEST, "{status}");
        ensure!(fixture.state("e-0", &id).await == Err(StatusCode::GONE));
    }
    Ok(())
}

async fn unknown() -> Result<()> {
    let mut fixture = Fixture::open(8, 2, 1).await?;
    let id = JobId::parse("00000000000000ff").expect("16 digits");
    ensure!(fixture.state("e-0", &id).await == Err(StatusCode::GONE));
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    Ok(())
}

async fn counted() -> Result<()> {
    let mut fixture = Fixture::open(9, 2, 1).await?;
    // One worker has capacity for eight tasks, so the third job and later ones wait.
    for _job in 0..6 {
        fixture.submit("e-0", &job("4000", 4)).await?;
    }
    sleep_secs(2).await;
    let queued = fixture.queued("e-1").await;
    ensure!(queued == 4, "{queued} jobs are reported as queued");
    Ok(())
}

async fn starts_in_flight() -> Result<()> {
    let mut fixture = Fixture::open(11, 2, 1).await?;
    let starts_take = std::time::Duration::from_secs(2);
    fixture.update_all_faults(|faults| faults.order_delay = starts_take);
    let mut jobs = Vec::new();
    for _job in 0..2 {
        jobs.push(fixture.submit("e-0", &job("4000", 4)).await?);
    }
    sleep_secs(1).await;
    let journal = fixture.world.journal();
    let has_begun = |id: &JobId| !journal.starts(&task(id, 0, 0)).is_empty();
    ensure!(!jobs.iter().any(has_begun));
    let queued = fixture.queued("e-1").await;
    ensure!(queued == 2, "{queued} jobs are reported as queued");
    Ok(())
}

async fn running_not_counted() -> Result<()> {
    let mut fixture = Fixture::open(10, 2, 1).await?;
    let id = fixture.submit("e-0", &job("9000", 1)).await?;
    sleep_secs(3).await;
    ensure!(fixture.state("e-1", &id).await == Ok(State::Running));
    let queued = fixture.queued("e-1").await;
    ensure!(queued == 0, "{queued} jobs are reported as queued");
    Ok(())
}

/// Cuts all entries off from the rows of owners: no owner commits, and nobody takes a pool over.
fn suspend_owners(fixture: &Fixture) {
    fixture.update_all_faults(|faults| faults.control = Reach::Refused);
}

async fn no_owner() -> Result<()> {
    let mut fixture = Fixture::open(12, 2, 1).await?;
    // One worker has capacity for eight tasks, so the third job waits.
    for _job in 0..3 {
        fixture.submit("e-0", &job("30000", 4)).await?;
    }
    sleep_secs(2).await;
    suspend_owners(&fixture);
    let cancelled = fixture.submit("e-1", &job("100", 1)).await?;
    for _job in 0..4 {
        fixture.submit("e-0", &job("100", 1)).await?;
    }
    ensure!(fixture.cancel("e-0", &cancelled).await == StatusCode::OK);
    for entry in ["e-0", "e-1", "e-0"] {
        sleep_secs(2).await;
        let queued = fixture.queued(entry).await;
        ensure!(queued == 5, "{queued} jobs are reported as queued");
    }
    Ok(())
}

async fn no_owner_after_quiet_time() -> Result<()> {
    let mut fixture = Fixture::open(13, 2, 1).await?;
    sleep_secs(30).await;
    fixture.world.compact();
    // The store keeps its history for longer than this.
    sleep_secs(12).await;
    suspend_owners(&fixture);
    for _job in 0..4 {
        fixture.submit("e-0", &job("100", 1)).await?;
    }
    sleep_secs(2).await;
    let queued = fixture.queued("e-1").await;
    ensure!(queued == 4, "{queued} jobs are reported as queued");
    Ok(())
}

async fn commits_again() -> Result<()> {
    let mut fixture = Fixture::open(14, 2, 1).await?;
    suspend_owners(&fixture);
    for _job in 0..4 {
        fixture.submit("e-0", &job("2000", 4)).await?;
    }
    sleep_secs(2).await;
    ensure!(fixture.queued("e-1").await == 4);
    fixture.update_all_faults(|faults| faults.control = Reach::Fine);
    sleep_secs(10).await;
    for entry in ["e-0", "e-1"] {
        let queued = fixture.queued(entry).await;
        ensure!(
            queued == 0,
            "{queued} jobs are reported as queued by {entry}"
        );
    }
    fixture.check_invariants()
}
