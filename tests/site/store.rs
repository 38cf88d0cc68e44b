//! A store that is unavailable or slow, loses responses, or compacts its history.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, configuration, job, long_running, sleep_secs, task},
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
    running_tasks_survive_an_outage => outage();
    recovery_from_unresponsive_store_takes_seconds => unresponsive();
    lost_and_late_commits_start_nothing_twice => lost_and_late();
    compacted_history_is_read_anew => history_compacted();
    configuration_never_goes_back => newest_configuration();
    lost_response_costs_a_fraction_of_the_timeout => lost_response();
    commits_to_a_slow_store_succeed => slow();
    many_lost_responses_cost_no_more_each_than_one => repeated_losses();
}

// The store rejects all calls for four seconds. Leases outlast that, so long-running tasks keep running, and the
// end of a task in that time is acknowledged afterwards.
async fn outage() -> Result<()> {
    let mut fixture = Fixture::open(31, 3, 4).await?;
    let long_running_job = fixture.submit("e-0", &long_running(3)).await?;
    let short = fixture.submit("e-0", &job("1500", 4)).await?;
    sleep_secs(1).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Refused);
    sleep_secs(4).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    fixture
        .wait_for_state("e-1", &short, State::Completed, 3)
        .await?;
    for index in 0..3 {
        let starts = fixture
            .world
            .journal()
            .starts(&task(&long_running_job, 0, index))
            .len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    fixture.check_invariants()
}

async fn unresponsive() -> Result<()> {
    let mut fixture = Fixture::open(32, 3, 3).await?;
    fixture.update_all_faults(|faults| faults.store = Reach::Silent);
    sleep_secs(4).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    sleep_secs(2).await;
    let id = fixture.submit("e-0", &job("300", 4)).await?;
    fixture
        .wait_for_state("e-1", &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// Guards against runs that start twice. Almost a third of all commits are applied without a response, and some are
// applied seconds later. An owner continues only once it knows the outcome of a commit, and a late one conflicts
// with the row of the next one.
async fn lost_and_late() -> Result<()> {
    let mut fixture = Fixture::open(33, 3, 4).await?;
    let mut ids = Vec::new();
    for _job in 0..6 {
        ids.push(fixture.submit("e-0", &job("400", 4)).await?);
    }
    fixture.update_all_faults(|faults| {
        faults.lost_commits = 0.3;
        faults.late_commits = 0.1;
    });
    sleep_secs(10).await;
    fixture.update_all_faults(|faults| {
        faults.lost_commits = 0.0;
        faults.late_commits = 0.0;
    });
    for id in ids {
        fixture
            .wait_for_state("e-1", &id, State::Completed, 20)
            .await?;
    }
    fixture.check_invariants()
}

// Guards against jobs and cancels that are missed because the history is compacted after they were written, so
// that feeds can't show them. Owners read the full tables instead: the job runs, and the cancelled one stops.
async fn history_compacted() -> Result<()> {
    let mut fixture = Fixture::open(34, 2, 3).await?;
    let cancelled_job = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(2).await;
    let status = fixture.cancel("e-0", &cancelled_job).await;
    ensure!(status == StatusCode::OK, "{status}");
    let id = fixture.submit("e-0", &job("300", 2)).await?;
    fixture.world.compact();
    fixture
        .wait_for_state("e-1", &id, State::Completed, 5)
        .await?;
    fixture
        .wait_for_state("e-1", &cancelled_job, State::Cancelled, 5)
        .await?;
    sleep_secs(1).await;
    ensure!(fixture.running(&task(&cancelled_job, 0, 0)).is_empty());
    fixture.check_invariants()
}

// A newer configuration assigns the queue to another pool; then an older one is written again, as by a delayed
// call of an operator. Entries keep the newer one, before and after a restart.
async fn newest_configuration() -> Result<()> {
    let mut fixture = Fixture::open(35, 2, 2).await?;
    fixture
        .world
        .instruct(Instruction::Configuration(configuration(3, OTHER)));
    sleep_secs(1).await;
    fixture
        .world
        .instruct(Instruction::Configuration(configuration(2, POOL)));
    sleep_secs(1).await;
    let other = fixture.owner(OTHER).await?;
    let id = fixture.submit(&other, &job("200", 1)).await?;
    fixture
        .wait_for_state(&other, &id, State::Completed, 5)
        .await?;
    let starts = fixture.world.journal().starts(&task(&id, 0, 0));
    let worker = fixture
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

// Guards against commits that wait too long for a lost response: a call would wait 1.5 s. As commits usually take
// 4 ms, the sender learns after a quarter of a second that the outcome is unknown.
async fn lost_response() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    for _commit in 0..20 {
        rows.commit(put()).await?;
    }
    world.update_faults("e-0", |faults| faults.lost_commits = 1.0);
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

// Guards against a timeout that grows with each lost response. A third of all responses are lost for a few
// seconds, and the others take 4 ms. Each loss doubled the timeout, and the two successes in between took back a
// quarter of that: from the fifth loss on, each one delayed the owner's jobs by 1.1 s, and most jobs of five
// seconds were late.
async fn repeated_losses() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    for loss in 0..8 {
        world.update_faults("e-0", |faults| faults.lost_commits = 0.0);
        rows.commit(put()).await?;
        rows.commit(put()).await?;
        world.update_faults("e-0", |faults| faults.lost_commits = 1.0);
        let begin = Instant::now();
        let error = rows.commit(put()).await.err();
        ensure!(error.is_some_and(|error| error.may_have_applied()));
        let took = begin.elapsed();
        ensure!(took < Duration::from_millis(300), "loss {loss}: {took:?}");
    }
    Ok(())
}

// Guards against commits that all time out once the store becomes more than a hundred times slower. A few time
// out, and each doubles the timeout, so that the next ones succeed.
async fn slow() -> Result<()> {
    let world = World::open(Options::default());
    let rows = AdaptiveTimeout::new(Arc::new(world.caller("e-0")));
    rows.commit(put()).await?;
    world.update_faults("e-0", |faults| faults.delay = Duration::from_millis(700));
    let mut answered = 0;
    for _commit in 0..6 {
        answered += usize::from(matches!(rows.commit(put()).await, Ok(Commit::Committed(_))));
    }
    ensure!(answered >= 4, "{answered} of 6 commits got a response");
    Ok(())
}
