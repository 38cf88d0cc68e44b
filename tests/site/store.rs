//! The store is away, loses answers, or forgets its history.

use crate::{
    bed::{Bed, OTHER, POOL, configuration, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_domain::work::State;
use primroseroute_owner::AdaptiveTimeout;
use primroseroute_platform::{
    rows::{Commit, Place, Rows, Txn},
    site::Instruction,
};
use primroseroute_standin::site::{Options, Reach, World};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

cases! {
    outage_keeps_what_runs => outage();
    silent_outage_is_over_within_seconds => silent();
    lost_and_late_commits_start_nothing_twice => lost_and_late();
    dropped_history_is_read_anew => dropped();
    configuration_never_goes_back => forward();
    lost_answer_costs_a_fraction_of_the_timeout => adaptive_timeout();
    slow_store_is_waited_for => slow();
    many_lost_answers_cost_no_more_each_than_one => losses();
}

// The store turns everyone away for four seconds. Leases outlast that, so lasting tasks work on, and
// a task that ends meanwhile is acknowledged afterwards.
async fn outage() -> Result<()> {
    let mut bed = Bed::open(31, 3, 4).await?;
    let lasting = bed.submit("e-0", &lasting(3)).await?;
    let short = bed.submit("e-0", &job("1500", 4)).await?;
    seconds(1).await;
    bed.conduct_all(|conduct| conduct.store = Reach::Refused);
    seconds(4).await;
    bed.conduct_all(|conduct| conduct.store = Reach::Fine);
    bed.until("e-1", &short, State::Completed, 3).await?;
    for index in 0..3 {
        let starts = bed.world.journal().starts(&task(&lasting, 0, index)).len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    bed.judge()
}

async fn silent() -> Result<()> {
    let mut bed = Bed::open(32, 3, 3).await?;
    bed.conduct_all(|conduct| conduct.store = Reach::Silent);
    seconds(4).await;
    bed.conduct_all(|conduct| conduct.store = Reach::Fine);
    seconds(2).await;
    let id = bed.submit("e-0", &job("300", 4)).await?;
    bed.until("e-1", &id, State::Completed, 3).await?;
    bed.judge()
}

// A third of all commits are done without an answer, and some land seconds later. An owner goes on
// only once it knows what came of a commit, and a late one fails on the row of the one after it.
async fn lost_and_late() -> Result<()> {
    let mut bed = Bed::open(33, 3, 4).await?;
    let mut ids = Vec::new();
    for _job in 0..6 {
        ids.push(bed.submit("e-0", &job("400", 4)).await?);
    }
    bed.conduct_all(|conduct| {
        conduct.lost_commits = 0.3;
        conduct.late_commits = 0.1;
    });
    seconds(10).await;
    bed.conduct_all(|conduct| {
        conduct.lost_commits = 0.0;
        conduct.late_commits = 0.0;
    });
    for id in ids {
        bed.until("e-1", &id, State::Completed, 20).await?;
    }
    bed.judge()
}

// The history is dropped while a cancel and a job are written: feeds can't show them. Owners read
// the tables whole, so the job runs and the cancelled one stops.
async fn dropped() -> Result<()> {
    let mut bed = Bed::open(34, 2, 3).await?;
    let endless = bed.submit("e-0", &lasting(2)).await?;
    seconds(2).await;
    let status = bed.cancel("e-0", &endless).await;
    ensure!(status == StatusCode::OK, "{status}");
    let id = bed.submit("e-0", &job("300", 2)).await?;
    bed.world.compact();
    bed.until("e-1", &id, State::Completed, 5).await?;
    bed.until("e-1", &endless, State::Cancelled, 5).await?;
    seconds(1).await;
    ensure!(bed.running(&task(&endless, 0, 0)).is_empty());
    bed.judge()
}

// A newer configuration sends the queue to another pool; an older one is then written again, as by
// an operator whose call was delayed. Entries keep the newer one, before and after a restart.
async fn forward() -> Result<()> {
    let mut bed = Bed::open(35, 2, 2).await?;
    bed.world
        .instruct(Instruction::Configuration(configuration(3, OTHER)));
    seconds(1).await;
    bed.world
        .instruct(Instruction::Configuration(configuration(2, POOL)));
    seconds(1).await;
    let other = bed.owner(OTHER).await?;
    let id = bed.submit(&other, &job("200", 1)).await?;
    bed.until(&other, &id, State::Completed, 5).await?;
    let starts = bed.world.journal().starts(&task(&id, 0, 0));
    let worker = bed
        .world
        .instances()
        .into_iter()
        .find(|known| &*known.name == "j-0");
    let worker = worker.and_then(|known| known.worker);
    ensure!(
        starts.first().map(|(on, _at)| on) == worker.as_ref(),
        "{starts:?}"
    );
    Ok(())
}

fn put() -> Txn {
    Txn {
        puts: vec![(Place::new("my", "part", "key"), "value".into())],
        ..Txn::default()
    }
}

// An answer is lost, and a call would wait 1.5 s for it. Commits usually take 4 ms, so the sender hears
// after a quarter of a second that it isn't known what came of it.
async fn adaptive_timeout() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    for _commit in 0..20 {
        rows.commit(put()).await?;
    }
    world.conduct("e-0", |conduct| conduct.lost_commits = 1.0);
    let begin = Instant::now();
    let error = rows.commit(put()).await.err();
    ensure!(error.is_some_and(|error| error.may_have_applied()));
    ensure!(
        begin.elapsed() < Duration::from_millis(300),
        "{:?}",
        begin.elapsed()
    );
    Ok(())
}

// A third of all answers are lost for a few seconds, the others come in 4 ms. Each loss doubled the wait for the next
// one, and the two good answers between took back a quarter of that: from the fifth loss on each one held the owner's
// jobs up for 1.1 s, and most jobs that came in five seconds were late.
async fn losses() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    for loss in 0..8 {
        world.conduct("e-0", |conduct| conduct.lost_commits = 0.0);
        rows.commit(put()).await?;
        rows.commit(put()).await?;
        world.conduct("e-0", |conduct| conduct.lost_commits = 1.0);
        let begin = Instant::now();
        let error = rows.commit(put()).await.err();
        ensure!(error.is_some_and(|error| error.may_have_applied()));
        let took = begin.elapsed();
        ensure!(took < Duration::from_millis(300), "loss {loss}: {took:?}");
    }
    Ok(())
}

// The store becomes a hundred times slower. A few commits are given up; each doubles the wait, so the
// next ones are waited for and answered.
async fn slow() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    rows.commit(put()).await?;
    world.conduct("e-0", |conduct| conduct.delay = Duration::from_millis(700));
    let mut answered = 0;
    for _commit in 0..6 {
        answered += usize::from(matches!(rows.commit(put()).await, Ok(Commit::Committed(_))));
    }
    ensure!(answered >= 4, "{answered} of 6 were answered");
    Ok(())
}
