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

cases! {
    refused_because_the_store_turned_calls_away => refused();
    late_because_a_worker_died => late();
    failed_by_its_own_fault => failed();
    lasting_task_away_because_its_worker_died => away();
    cancelled_while_it_ran => cancelled();
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
    let over = with(&lines, "a worker's life is over").into_iter();
    let mut over = over.filter(|line| line.field("worker") == worker);
    let over = over
        .next()
        .ok_or_else(|| eyre!("nothing tells of {worker:?}"))?;
    ensure!(placed[0].at < over.at && over.at <= placed[1].at);
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
    let ends = with(&own, "run ended without its work done");
    ensure!(ends.len() == 3, "{ends:?}");
    ensure!(ends.iter().all(|end| end.field("how") == Some("Failed")));
    ensure!(first(&own, "job ended")?.field("state") == Some("Failed"));
    let others = about(&lines, &sound);
    ensure!(with(&others, "run ended without its work done").is_empty());
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
    let over = with(&lines, "a worker's life is over").into_iter();
    let mut over = over.filter(|line| line.field("worker") == worker);
    let over = over
        .next()
        .ok_or_else(|| eyre!("nothing tells of {worker:?}"))?;
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
    let stops = with(&own, "run is to stop");
    ensure!(stops.len() == 2, "{stops:?}");
    ensure!(stops.iter().all(|stop| stop.at >= cancel.at));
    ensure!(first(&own, "job ended")?.field("state") == Some("Cancelled"));
    Ok(())
}
