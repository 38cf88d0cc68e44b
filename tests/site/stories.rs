//! A caller complains about a job. From its id alone, the log lines tell the cause.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, task},
    cases,
    lines::{Line, capture, captured},
};
use eyre::{Result, ensure, eyre};
use http::StatusCode;
use primroseroute_domain::work::{JobId, State};
use primroseroute_standin::site::Reach;
use std::{collections::BTreeSet, time::Duration};

cases! {
    refused_because_the_store_turned_calls_away => refused();
    late_because_a_worker_died => late();
    failed_by_its_own_fault => failed();
    lasting_task_away_because_its_worker_died => away();
    cancelled_while_it_ran => cancelled();
    cancelled_and_heard_of_late => heard_late();
    cancelled_while_its_start_waits => cancelled_before_its_start();
    cancelled_before_a_takeover => found_at_takeover();
    many_lives_end_in_few_lines => many_lives();
    many_runs_end_in_few_lines => many_ends();
}

/// Lines that carry the id of a job or of one of its tasks.
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

/// The line of the end of a worker's life.
fn life_over<'a>(lines: &'a [Line], worker: Option<&str>) -> Result<&'a Line> {
    let worker = worker.ok_or_else(|| eyre!("no worker"))?;
    let over = with(lines, "worker incarnations ended").into_iter();
    let mut over = over.filter(|line| line.lists("workers", worker));
    let found = over.next();
    found.ok_or_else(|| eyre!("nothing tells of {worker:?}"))
}

fn first<'a>(lines: &'a [Line], text: &str) -> Result<&'a Line> {
    let found = with(lines, text);
    let first = found.first().copied();
    first.ok_or_else(|| eyre!("no line {text:?}"))
}

// The store turns all calls away for two seconds. The refusal's line has the code of it, and that
// heartbeats of all entries fail at that time tells that it did so for everyone.
async fn refused() -> Result<()> {
    capture();
    let mut bed = Bed::open(91, 3, 3).await?;
    bed.conduct_all(|conduct| conduct.store = Reach::Refused);
    seconds(1).await;
    let id = bed.id();
    let status = bed.send("e-0", &id, &job("500", 1)).await;
    ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
    bed.conduct_all(|conduct| conduct.store = Reach::Fine);
    seconds(1).await;
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

// The worker of the first run dies. The job's lines show a second run, the first one's worker, and by
// that worker's id that its life was over in between.
async fn late() -> Result<()> {
    capture();
    let mut bed = Bed::open(92, 2, 3).await?;
    let id = bed.submit("e-0", &job("2000", 1)).await?;
    seconds(1).await;
    let on = bed.running(&task(&id, 0, 0));
    bed.world.crash(&on[0]);
    bed.until("e-0", &id, State::Completed, 15).await?;
    let lines = captured();
    let own = about(&lines, &id);
    let placed = with(&own, "task placed");
    ensure!(placed.len() == 2, "{placed:?}");
    ensure!(placed[1].field("run") == Some("2"));
    let worker = placed[0].field("worker");
    let over = life_over(&lines, worker)?;
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

// The job fails by itself wherever it runs. Its lines show as many failed runs as its queue allows, on
// more than one worker, whose other runs end well.
async fn failed() -> Result<()> {
    capture();
    let mut bed = Bed::open(93, 2, 3).await?;
    let sound = bed.submit("e-0", &job("1500", 9)).await?;
    let id = bed.submit("e-0", &job("300 fails", 1)).await?;
    bed.until("e-0", &id, State::Failed, 9).await?;
    bed.until("e-0", &sound, State::Completed, 9).await?;
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

// The worker of a lasting task dies. From the end of its worker's life to the next placement, the lines
// tell how long the task was away, and why.
async fn away() -> Result<()> {
    capture();
    let mut bed = Bed::open(94, 2, 4).await?;
    let id = bed.submit("e-0", &lasting(2)).await?;
    seconds(2).await;
    let task = task(&id, 0, 0);
    let on = bed.running(&task);
    let died_at = bed.world.now();
    bed.world.crash(&on[0]);
    seconds(12).await;
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
    let over = life_over(&lines, worker)?;
    ensure!(over.at >= died_at && over.at <= placed[1].at);
    ensure!(
        placed[1].at < died_at + 6_000,
        "away for {}",
        placed[1].at - died_at
    );
    Ok(())
}

// A caller asks why its job stopped. The cancel's line stands before those of the stops.
async fn cancelled() -> Result<()> {
    capture();
    let mut bed = Bed::open(95, 2, 3).await?;
    let id = bed.submit("e-0", &lasting(2)).await?;
    seconds(2).await;
    let other = bed.bystander(POOL).await?;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
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

// Work of a cancelled job goes on for a while: answers to its pool's owner are held up on their way, so that it
// hears of the cancel late. Its line bounds how old the cancel was when it was taken in, and that it was taken in
// as soon as the answer came tells that the loop had no part in it.
async fn heard_late() -> Result<()> {
    capture();
    let mut bed = Bed::open(98, 2, 3).await?;
    let id = bed.submit("e-0", &lasting(2)).await?;
    seconds(2).await;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.conduct(&owner, |conduct| conduct.frozen = true);
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    bed.conduct(&owner, |conduct| conduct.frozen = false);
    seconds(1).await;
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

// A job is cancelled while the commit of its first start waits. The owner's lines stand in this order: the cancel
// with the runs that were decided, their stops, and only then the starts, which the workers refuse.
async fn cancelled_before_its_start() -> Result<()> {
    capture();
    let mut bed = Bed::open(57, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.conduct(&owner, |conduct| conduct.late_commits = 1.0);
    let id = bed.submit(&other, &job("500", 2)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    seconds(1).await;
    bed.conduct(&owner, |conduct| conduct.late_commits = 0.0);
    seconds(8).await;
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

// The owner dies, and the job is cancelled before another takes the pool over. The successor's line tells that it
// found the cancel, and how many of its predecessor's runs it has to stop.
async fn found_at_takeover() -> Result<()> {
    capture();
    let mut bed = Bed::open(99, 2, 3).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let id = bed.submit(&other, &lasting(2)).await?;
    seconds(2).await;
    bed.kill(&owner);
    ensure!(bed.cancel(&other, &id).await == StatusCode::OK);
    bed.until(&other, &id, State::Cancelled, 9).await?;
    seconds(2).await;
    let own = about(&captured(), &id);
    let found = first(&own, "cancel found at takeover")?;
    ensure!(found.field("pool") == Some(POOL) && found.field("runs") == Some("2"));
    ensure!(with(&own, "cancel received").is_empty());
    let over = first(&own, "all runs of cancelled job ended")?;
    ensure!(found.at <= over.at);
    Ok(())
}

// Twelve workers with a lasting task each die at once. The list of instances tells of all of them together, and
// one line or two do, in place of one a worker: each life once.
async fn many_lives() -> Result<()> {
    const LIVES: usize = 12;
    capture();
    let mut bed = Bed::open(96, 2, LIVES).await?;
    let id = bed.submit("e-0", &lasting(12)).await?;
    seconds(2).await;
    let mut died = BTreeSet::new();
    for index in 0..12 {
        died.extend(bed.running(&task(&id, 0, index)));
    }
    ensure!(died.len() == LIVES, "{died:?}");
    for worker in &died {
        bed.world.crash(worker);
    }
    seconds(12).await;
    let lines = captured();
    let over = with(&lines, "worker incarnations ended");
    ensure!((1..=2).contains(&over.len()), "{over:?}");
    for field in ["count", "busy"] {
        let told = over
            .iter()
            .map(|line| line.field(field)?.parse::<usize>().ok());
        let told: Option<usize> = told.sum();
        ensure!(told == Some(LIVES), "{over:?}");
    }
    for worker in &died {
        let line = life_over(&lines, Some(worker))?;
        ensure!(line.field("pool") == Some(POOL), "{line:?}");
    }
    Ok(())
}

// A job of many tasks fails on all of its workers at once. Where a round brings many such ends, one line with
// the tasks' names stands for them, and each end is still told of.
async fn many_ends() -> Result<()> {
    capture();
    let mut bed = Bed::open(97, 2, 1).await?;
    let id = bed.submit("e-0", &job("500 fails", 8)).await?;
    bed.until("e-0", &id, State::Failed, 20).await?;
    let lines = captured();
    let many = with(&lines, "runs ended without completing their work");
    let single = with(&lines, "run ended without completing its work");
    ensure!(!many.is_empty(), "{single:?}");
    let mut told = single.len();
    for line in &many {
        ensure!(line.field("pool") == Some(POOL) && line.field("how").is_some());
        let count: usize = line.field("count").unwrap_or_default().parse()?;
        let tasks = line.field("tasks").unwrap_or_default();
        ensure!(tasks.split(',').count() == count, "{line:?}");
        ensure!(tasks.split(',').all(|task| task.starts_with(id.as_str())));
        told += count;
    }
    ensure!(told >= 8, "{told} ends, {many:?} {single:?}");
    Ok(())
}
