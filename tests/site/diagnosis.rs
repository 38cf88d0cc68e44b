//! Diagnosis from logs: given only the id of a job that a caller complains about, the log lines show the cause.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, task},
    log_capture::{Line, capture, captured},
};
use eyre::{Result, ensure, eyre};
use http::StatusCode;
use primroseroute_domain::work::{JobId, State};
use primroseroute_standin::site::Reach;
use std::{collections::BTreeSet, time::Duration};

cases! {
    rejected_because_the_store_rejected_calls => refused();
    late_because_a_worker_crashed => late();
    failed_by_its_own_fault => failed();
    long_running_task_unavailable_because_its_worker_crashed => unavailable();
    cancelled_while_it_ran => cancelled();
    cancelled_and_learned_late => learned_late();
    cancelled_while_its_start_is_pending => cancelled_before_its_start();
    cancelled_before_a_takeover => found_at_takeover();
    many_terminated_workers_give_few_lines => many_terminated();
    many_failed_runs_give_few_lines => many_failed_runs();
}

/// Lines whose fields contain the id of a job or of one of its tasks.
fn about(lines: &[Line], id: &JobId) -> Vec<Line> {
    let id = id.as_str();
    let of = lines.iter().filter(|line| {
        let job = line.field("job") == Some(id);
        job || line.field("task").is_some_and(|task| task.starts_with(id))
    });
    of.cloned().collect()
}

fn with<'a>(lines: &'a [Line], text: &str) -> Vec<&'a Line> {
    lines.iter().filter(|line| line.text == text).collect()
}

fn number(line: &Line, field: &str) -> Result<u64> {
    Ok(line.field(field).unwrap_or_default().parse()?)
}

/// The line that reports the termination of a worker.
fn termination_line<'a>(lines: &'a [Line], worker: Option<&str>) -> Result<&'a Line> {
    let worker = worker.ok_or_else(|| eyre!("no worker"))?;
    let over = with(lines, "worker incarnations ended").into_iter();
    let mut over = over.filter(|line| line.lists("workers", worker));
    let found = over.next();
    found.ok_or_else(|| eyre!("no line reports the termination of {worker:?}"))
}

fn first<'a>(lines: &'a [Line], text: &str) -> Result<&'a Line> {
    let found = with(lines, text);
    let first = found.first().copied();
    first.ok_or_else(|| eyre!("no line {text:?}"))
}

// A job is rejected while the store rejects all calls, for a second. The rejection's line has the result code, and
// the failed heartbeats of all entries at that time show that the store rejected everyone's calls.
async fn refused() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(91, 3, 3).await?;
    fixture.update_all_faults(|faults| faults.store = Reach::Refused);
    sleep_secs(1).await;
    let id = fixture.next_job_id();
    let status = fixture.send("e-0", &id, &job("500", 1)).await;
    ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    sleep_secs(1).await;
    let lines = captured();
    let own = about(&lines, &id);
    let refusal = first(&own, "job not accepted")?;
    ensure!(refusal.field("code") == Some("601"), "{refusal:?}");
    ensure!(refusal.field("queue") == Some("holds"));
    let before: Vec<Line> = lines
        .iter()
        .filter(|line| line.at < refusal.at)
        .cloned()
        .collect();
    ensure!(with(&before, "heartbeats fail").len() == 3);
    let after: Vec<Line> = lines
        .iter()
        .filter(|line| line.at > refusal.at)
        .cloned()
        .collect();
    ensure!(with(&after, "heartbeats work again").len() == 3);
    Ok(())
}

// A job is late because the worker of its first run crashed. The job's lines show a second run and the worker of
// the first, and a line with that worker's id shows that it terminated in between.
async fn late() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(92, 2, 3).await?;
    let id = fixture.submit("e-0", &job("2000", 1)).await?;
    sleep_secs(1).await;
    let on = fixture.running(&task(&id, 0, 0));
    fixture.world.crash(&on[0]);
    fixture
        .wait_for_state("e-0", &id, State::Completed, 15)
        .await?;
    let lines = captured();
    let own = about(&lines, &id);
    let placed = with(&own, "task placed");
    ensure!(placed.len() == 2, "{placed:?}");
    ensure!(placed[1].field("run") == Some("2"));
    let worker = placed[0].field("worker");
    let over = termination_line(&lines, worker)?;
    ensure!(placed[0].at < over.at && over.at <= placed[1].at);
    let lost = first(&lines, "runs lost with their worker")?;
    ensure!(lost.field("worker") == worker, "{lost:?}");
    ensure!(lost.field("cause") == Some("Crash"), "{lost:?}");
    let run = format!("{}/1", task(&id, 0, 0));
    ensure!(lost.lists("tasks", &run), "{lost:?}");
    let ended = first(&own, "job ended")?;
    ensure!(ended.field("state") == Some("Completed"), "{ended:?}");
    Ok(())
}

// A job fails by its own fault on every worker. Its lines show as many failed runs as its queue allows, on more
// than one worker, whose other runs succeed.
async fn failed() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(93, 2, 3).await?;
    let sound = fixture.submit("e-0", &job("1500", 9)).await?;
    let id = fixture.submit("e-0", &job("300 fails", 1)).await?;
    fixture.wait_for_state("e-0", &id, State::Failed, 9).await?;
    fixture
        .wait_for_state("e-0", &sound, State::Completed, 9)
        .await?;
    let lines = captured();
    let own = about(&lines, &id);
    let ends = with(&own, "run ended without completing its work");
    ensure!(ends.len() == 3, "{ends:?}");
    ensure!(ends.iter().all(|end| end.field("how") == Some("Failed")));
    ensure!(first(&own, "job ended")?.field("state") == Some("Failed"));
    let others = about(&lines, &sound);
    ensure!(with(&others, "run ended without completing its work").is_empty());
    Ok(())
}

// A long-running task is unavailable because its worker crashed. The lines from the worker's termination to the
// next placement show for how long, and why.
async fn unavailable() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(94, 2, 4).await?;
    let id = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(2).await;
    let task = task(&id, 0, 0);
    let on = fixture.running(&task);
    let crashed_at = fixture.world.now();
    fixture.world.crash(&on[0]);
    sleep_secs(12).await;
    let lines = captured();
    let own = about(&lines, &id);
    let name = task.to_string();
    let placed = with(&own, "task placed").into_iter();
    let placed: Vec<&Line> = placed
        .filter(|line| line.field("task") == Some(&name))
        .collect();
    ensure!(placed.len() == 2, "{placed:?}");
    let worker = placed[0].field("worker");
    ensure!(worker == Some(&*on[0]));
    let over = termination_line(&lines, worker)?;
    ensure!(over.at >= crashed_at && over.at <= placed[1].at);
    ensure!(
        placed[1].at < crashed_at + 6_000,
        "away for {}",
        placed[1].at - crashed_at
    );
    Ok(())
}

// A caller asks why its job stopped. The line of the cancel precedes those of the stops.
async fn cancelled() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(95, 2, 3).await?;
    let id = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(2).await;
    let other = fixture.non_owner(POOL).await?;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    let own = about(&captured(), &id);
    let cancel = first(&own, "cancel accepted")?;
    let stops = with(&own, "stopping run");
    ensure!(stops.len() == 2, "{stops:?}");
    ensure!(stops.iter().all(|stop| stop.at >= cancel.at));
    ensure!(first(&own, "job ended")?.field("state") == Some("Cancelled"));
    let taken = first(&own, "cancel received")?;
    ensure!(taken.field("pool") == Some(POOL) && taken.field("runs") == Some("2"));
    ensure!(taken.at >= cancel.at && taken.at - cancel.at <= number(taken, "stored_within_ms")?);
    ensure!(number(taken, "waited_ms")? <= 50, "{taken:?}");
    let over = first(&own, "all runs of cancelled job ended")?;
    ensure!(number(over, "took_ms")? == over.at - taken.at, "{over:?}");
    ensure!(stops.iter().all(|stop| stop.at <= over.at));
    Ok(())
}

// Tasks of a cancelled job run on for a while because responses to its pool's owner are delayed, so that it learns
// of the cancel late. Its line bounds the age of the cancel when it was applied, and shows that it was applied as
// soon as the response arrived, so that the control loop didn't contribute to the delay.
async fn learned_late() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(98, 2, 3).await?;
    let id = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(2).await;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.frozen = true);
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.frozen = false);
    sleep_secs(1).await;
    let own = about(&captured(), &id);
    let cancel = first(&own, "cancel accepted")?;
    let taken = first(&own, "cancel received")?;
    let late = taken.at - cancel.at;
    ensure!(late >= 800, "{late}");
    ensure!(late <= number(taken, "stored_within_ms")?, "{taken:?}");
    ensure!(number(taken, "waited_ms")? <= 50, "{taken:?}");
    ensure!(with(&own, "cancel found at takeover").is_empty());
    Ok(())
}

// A job is cancelled while the commit of its first starts is pending. The owner's lines have this order: the
// cancel with the number of runs that were already decided, their stops, and only then the starts, which the
// workers reject.
async fn cancelled_before_its_start() -> Result<()> {
    capture();
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
    let own = about(&captured(), &id);
    let taken = first(&own, "cancel received")?;
    ensure!(taken.field("runs") == Some("2"), "{taken:?}");
    let stop = first(&own, "stopping run")?;
    let over = first(&own, "all runs of cancelled job ended")?;
    ensure!(taken.at <= stop.at && stop.at <= over.at);
    let placed = with(&own, "task placed");
    ensure!(placed.iter().all(|placed| placed.at > taken.at));
    Ok(())
}

// The owner is killed, and the job is cancelled before another entry takes the pool over. The successor's line
// shows that it found the cancel, and how many of its predecessor's runs it has to stop.
async fn found_at_takeover() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(99, 2, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &long_running(2)).await?;
    sleep_secs(2).await;
    fixture.kill(&owner);
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    fixture
        .wait_for_state(&other, &id, State::Cancelled, 9)
        .await?;
    sleep_secs(2).await;
    let own = about(&captured(), &id);
    let found = first(&own, "cancel found at takeover")?;
    ensure!(found.field("pool") == Some(POOL) && found.field("runs") == Some("2"));
    ensure!(with(&own, "cancel received").is_empty());
    let over = first(&own, "all runs of cancelled job ended")?;
    ensure!(found.at <= over.at);
    Ok(())
}

// Guards against a flood of log lines: twelve workers, each with a long-running task, crash at once. The list of
// instances shows all of them together, so one or two lines report them, each worker once, and not one line per
// worker.
async fn many_terminated() -> Result<()> {
    const WORKERS: usize = 12;
    capture();
    let mut fixture = Fixture::open(96, 2, WORKERS).await?;
    let id = fixture.submit("e-0", &long_running(12)).await?;
    sleep_secs(2).await;
    let mut terminated = BTreeSet::new();
    for index in 0..12 {
        terminated.extend(fixture.running(&task(&id, 0, index)));
    }
    ensure!(terminated.len() == WORKERS, "{terminated:?}");
    for worker in &terminated {
        fixture.world.crash(worker);
    }
    sleep_secs(12).await;
    let lines = captured();
    let over = with(&lines, "worker incarnations ended");
    ensure!((1..=2).contains(&over.len()), "{over:?}");
    for field in ["count", "busy"] {
        let reported = over
            .iter()
            .map(|line| line.field(field)?.parse::<usize>().ok());
        let reported: Option<usize> = reported.sum();
        ensure!(reported == Some(WORKERS), "{over:?}");
    }
    for worker in &terminated {
        let line = termination_line(&lines, Some(worker))?;
        ensure!(line.field("pool") == Some(POOL), "{line:?}");
    }
    Ok(())
}

// Guards against a flood of log lines: many tasks of a job fail at once. Where a round has many such ends, a
// single line lists the tasks, and every end is still reported.
async fn many_failed_runs() -> Result<()> {
    capture();
    let mut fixture = Fixture::open(97, 2, 1).await?;
    let id = fixture.submit("e-0", &job("500 fails", 8)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Failed, 20)
        .await?;
    let lines = captured();
    let many = with(&lines, "runs ended without completing their work");
    let single = with(&lines, "run ended without completing its work");
    ensure!(!many.is_empty(), "{single:?}");
    let mut reported = single.len();
    for line in &many {
        ensure!(line.field("pool") == Some(POOL) && line.field("how").is_some());
        let count: usize = line.field("count").unwrap_or_default().parse()?;
        let tasks = line.field("tasks").unwrap_or_default();
        ensure!(tasks.split(',').count() == count, "{line:?}");
        ensure!(tasks.split(',').all(|task| task.starts_with(id.as_str())));
        reported += count;
    }
    ensure!(reported >= 8, "{reported} ends, {many:?} {single:?}");
    Ok(())
}
