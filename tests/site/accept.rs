//! An accepted job is stored once; a refused one never runs.

use crate::{
    bed::{Bed, OTHER, POOL, configuration, job, seconds, step, task},
    cases,
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_domain::work::{Job, JobId, State, Step};
use primroseroute_platform::site::Instruction;
use primroseroute_standin::site::Reach;

cases! {
    job_of_two_steps_completes => two_steps();
    same_id_at_two_entries_is_one_job => two_entries();
    same_id_after_its_queue_moved_is_one_job => moved_queue();
    lost_commit_answer_is_settled => lost_answer();
    late_commit_is_not_refused => late_commit();
    refusal_by_a_store_that_is_away_is_true => refused();
    malformed_job_is_refused_for_good => malformed();
    unknown_job_is_gone => unknown();
    queue_counts_jobs_that_have_not_begun => counted();
    /// Jobs count as begun while their starts are on their way.
    queue_counts_jobs_whose_starts_are_on_their_way => on_their_way();
    /// A job stays counted as queued while it runs and its pool commits nothing else.
    queue_does_not_count_a_job_that_runs => not_counted();
}

async fn two_steps() -> Result<()> {
    let mut bed = Bed::open(1, 3, 3).await?;
    let later = Step {
        after: vec![0],
        ..step(4)
    };
    let job = Job {
        steps: vec![step(3), later],
        ..job("400", 3)
    };
    let id = bed.submit("e-0", &job).await?;
    bed.until("e-1", &id, State::Completed, 3).await?;
    bed.judge()
}

// The caller sends the same job twice at the same time, at two entries, as after a broken
// connection. Both commits are conditional on the same absent row: one writes it, the other meets
// it. Both callers are told that the job is accepted, and it runs once.
async fn two_entries() -> Result<()> {
    let mut bed = Bed::open(2, 3, 3).await?;
    let id = bed.id();
    let job = job("300", 2);
    let body = serde_json::to_vec(&job)?;
    bed.sent.jobs.insert(id.clone(), job.clone());
    let gateways = ["e-0", "e-1"].map(|name| std::sync::Arc::clone(&bed.nodes[name].gateway));
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
    bed.until("e-2", &id, State::Completed, 3).await?;
    ensure!(bed.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    bed.judge()
}

// The caller's first attempt is accepted for one pool, and its answer is lost. A configuration
// sends the queue to another pool; the caller sends the same id again. The id's row doesn't depend
// on the pool, so the second attempt meets the first one's row, and the job stays one job.
async fn moved_queue() -> Result<()> {
    let mut bed = Bed::open(3, 3, 2).await?;
    let id = bed.id();
    let job = job("300", 1);
    ensure!(bed.send("e-0", &id, &job).await.is_success());
    bed.world
        .instruct(Instruction::Configuration(configuration(2, OTHER)));
    seconds(1).await;
    ensure!(bed.send("e-1", &id, &job).await.is_success());
    bed.until("e-2", &id, State::Completed, 5).await?;
    ensure!(bed.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    bed.judge()
}

// Half of all commits are done and not answered. The caller must be told that the job is accepted,
// or nothing certain: never that it was refused, since it runs.
async fn lost_answer() -> Result<()> {
    let mut bed = Bed::open(4, 2, 3).await?;
    bed.conduct_all(|conduct| conduct.lost_commits = 0.5);
    let mut ids = Vec::new();
    for _job in 0..12 {
        let id = bed.id();
        let status = bed.send("e-0", &id, &job("100", 1)).await;
        ensure!(
            status.is_success() || status == StatusCode::GATEWAY_TIMEOUT,
            "{id} got {status}"
        );
        ids.push(id);
    }
    bed.conduct_all(|conduct| conduct.lost_commits = 0.0);
    for id in ids {
        bed.until("e-1", &id, State::Completed, 10).await?;
    }
    bed.judge()
}

// The store takes a commit seconds after the entry has given up on it. The job runs in the end, so
// the caller must not have been told that it never will.
async fn late_commit() -> Result<()> {
    let mut bed = Bed::open(5, 2, 3).await?;
    let name = bed.bystander(POOL).await?;
    bed.conduct(&name, |conduct| conduct.late_commits = 1.0);
    let id = bed.id();
    let status = bed.send(&name, &id, &job("100", 1)).await;
    ensure!(status == StatusCode::GATEWAY_TIMEOUT, "{status}");
    bed.conduct(&name, |conduct| conduct.late_commits = 0.0);
    bed.until(&name, &id, State::Completed, 12).await?;
    bed.judge()
}

// The store turns the entry away, which proves that nothing was written: the caller is refused with
// a time to come back. The job must never run.
async fn refused() -> Result<()> {
    let mut bed = Bed::open(6, 2, 3).await?;
    bed.conduct("e-0", |conduct| conduct.store = Reach::Refused);
    let id = bed.id();
    let status = bed.send("e-0", &id, &job("100", 1)).await;
    ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
    bed.sent.refused.insert(id.clone());
    bed.conduct("e-0", |conduct| conduct.store = Reach::Fine);
    seconds(10).await;
    ensure!(bed.state("e-1", &id).await == Err(StatusCode::GONE));
    bed.judge()
}

async fn malformed() -> Result<()> {
    let mut bed = Bed::open(7, 2, 1).await?;
    let ahead = Step {
        after: vec![1],
        ..step(1)
    };
    // 300 steps of 300 bytes stay under the limit of the body.
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
        let id = bed.id();
        let status = bed.send("e-0", &id, &job).await;
        ensure!(status == StatusCode::BAD_REQUEST, "{status}");
        ensure!(bed.state("e-0", &id).await == Err(StatusCode::GONE));
    }
    Ok(())
}

async fn unknown() -> Result<()> {
    let mut bed = Bed::open(8, 2, 1).await?;
    let id = JobId::parse("00000000000000ff").expect("16 digits");
    ensure!(bed.state("e-0", &id).await == Err(StatusCode::GONE));
    ensure!(bed.cancel("e-0", &id).await == StatusCode::GONE);
    Ok(())
}

async fn counted() -> Result<()> {
    let mut bed = Bed::open(9, 2, 1).await?;
    // One worker has room for eight tasks; the third job and those after it wait.
    for _job in 0..6 {
        bed.submit("e-0", &job("4000", 4)).await?;
    }
    seconds(2).await;
    let queued = bed.queued("e-1").await;
    ensure!(queued == 4, "{queued} are said to wait");
    Ok(())
}

async fn on_their_way() -> Result<()> {
    let mut bed = Bed::open(11, 2, 1).await?;
    let starts_take = std::time::Duration::from_secs(2);
    bed.conduct_all(|conduct| conduct.orders = starts_take);
    let mut jobs = Vec::new();
    for _job in 0..2 {
        jobs.push(bed.submit("e-0", &job("4000", 4)).await?);
    }
    seconds(1).await;
    let journal = bed.world.journal();
    let has_begun = |id: &JobId| !journal.starts(&task(id, 0, 0)).is_empty();
    ensure!(!jobs.iter().any(has_begun));
    let queued = bed.queued("e-1").await;
    ensure!(queued == 2, "{queued} are said to wait");
    Ok(())
}

async fn not_counted() -> Result<()> {
    let mut bed = Bed::open(10, 2, 1).await?;
    let id = bed.submit("e-0", &job("9000", 1)).await?;
    seconds(3).await;
    ensure!(bed.state("e-1", &id).await == Ok(State::Running));
    let queued = bed.queued("e-1").await;
    ensure!(queued == 0, "{queued} are said to wait");
    Ok(())
}
