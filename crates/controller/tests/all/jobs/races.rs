//! Narrow races: between a decision and its call, and between two controllers.

use super::{
    cases,
    lifecycle::{all_done, open},
    simulation::{SECOND, Simulation, WORKERS, name, names, quarter, script, small},
};
use primroseroute_domain::instance::{self, Purpose};
use primroseroute_jobs::State;
use primroseroute_ledger::{Versioned, key};
use primroseroute_platform::task::Resources;
use primroseroute_standin::platform::{fault::Outage, tally::Kind, task::Ending};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

cases! {
    resumed_controller_renews_nothing => resumed();
    calls_queued_for_too_long_are_dropped => queued();
    start_that_hangs_may_still_take_effect => hanging();
    commit_with_unknown_outcome_is_taken_over => unknown();
    unread_registrations_complete_no_drain => unread_registrations();
    refused_starts_write_few_rows => refused();
    starts_are_batched => batches();
    stale_observation_quarantines_nothing => stale_observation();
}

/// Starts six long runs and nothing else, so that plans contain no rows.
async fn start_long_runs(sim: &Simulation) {
    sim.prove("k", quarter()).await;
    let jobs = names("j", 6);
    for job in &jobs {
        let script = script(400 * SECOND, Ending::Done);
        sim.platform.tasks().script_job(name(job), script);
    }
    sim.submit(&jobs, "k", quarter()).await;
    sleep(20 * SECOND).await;
}

/// The holder is suspended until another has taken over, and resumes while renewals of its runs are
/// due. Its plan has no rows, so no commit reveals that its epoch is outdated.
async fn resumed() {
    let mut sim = open().await;
    start_long_runs(&sim).await;
    sim.start("c1");
    let client = sim.client("c0", "tasks");
    for pause in [14, 16, 18, 20] {
        sim.pause("c0", 30 * SECOND);
        sleep(Duration::from_secs(pause)).await;
        let renewals = client.tally().of(Kind::RenewTask).calls;
        // The lease renewal still hangs, as if the job driver were the first task to resume.
        sim.client("c0", "tasks").faults().clear();
        sim.client("c0", "table").faults().clear();
        sleep(SECOND).await;
        assert_eq!(client.tally().of(Kind::RenewTask).calls, renewals);
        sim.resume("c0");
        sleep(20 * SECOND).await;
    }
    all_done(&sim, 7).await;
}

/// Calls take 4 s each while the renewals of 700 runs are due, so that starts are queued behind
/// them. A start that was decided long ago may come from a controller that has been replaced, so it
/// must be dropped.
async fn queued() {
    let sim = open().await;
    let size = Resources {
        cores: 0.5,
        ..small()
    };
    sim.prove_workers("k", size).await;
    let jobs = names("j", 700);
    for job in &jobs {
        let script = script(400 * SECOND, Ending::Done);
        sim.platform.tasks().script_job(name(job), script);
    }
    sim.submit(&jobs, "k", size).await;
    sleep(25 * SECOND).await;
    let client = sim.client("c0", "tasks");
    client.faults().set_latency(4 * SECOND, Duration::ZERO);
    sleep(5 * SECOND).await;
    sim.submit(&names("m", 80), "k", size).await;
    sleep(60 * SECOND).await;
    client.faults().set_latency(Duration::ZERO, Duration::ZERO);
    let mut committed = BTreeMap::new();
    for record in sim.records().await {
        for edit in &record.edits {
            let row = edit
                .after
                .as_ref()
                .filter(|_| edit.key.starts_with(key::JOBS));
            let row =
                row.map(|json| serde_json::from_str::<Versioned<primroseroute_jobs::Row>>(json));
            if let Some(Ok(row)) = row {
                let start = (row.value.id, row.value.token);
                committed.entry(start).or_insert(record.at);
            }
        }
    }
    for run in sim.platform.tasks().runs() {
        let began =
            sim.platform.now().0 - u64::try_from(run.began.elapsed().as_millis()).expect("short");
        let waited = began - committed[&(run.job.clone(), run.token)].0;
        assert!(
            waited <= 13_000,
            "{} began {waited} ms after its commit",
            run.job
        );
    }
    all_done(&sim, 799).await;
}

/// Starts take effect 7 s after they were sent, when the call has already timed out.
async fn hanging() {
    let sim = open().await;
    sim.prove("k", quarter()).await;
    let client = sim.client("c0", "tasks");
    client.faults().set_latency(14 * SECOND, Duration::ZERO);
    sim.submit(&names("j", 18), "k", quarter()).await;
    while client.tally().of(Kind::StartTask).calls < 19 {
        sleep(SECOND).await;
    }
    sleep(SECOND).await;
    client.faults().set_latency(Duration::ZERO, Duration::ZERO);
    all_done(&sim, 19).await;
    assert_eq!(
        sim.starts(),
        19,
        "a call that timed out does not count as a failed start"
    );
}

/// The rows of starts are committed, the response is lost and the store goes down, so no start was
/// sent. Afterwards nothing can start for long. The rows must not keep saying that the jobs run.
async fn unknown() {
    let sim = open().await;
    sim.prove("k", quarter()).await;
    let client = sim.client("c0", "table");
    sim.submit(&names("j", 18), "k", quarter()).await;
    let rows = client.tally().of(Kind::Commit).rows;
    while client.tally().of(Kind::Commit).rows < rows + 18 {
        sleep(Duration::from_millis(1)).await;
    }
    client.faults().set_outage(Some(Outage::Refuse));
    sleep(SECOND).await;
    let loads = (0..WORKERS).map(|n| (name(&format!("w{n}")), 8));
    *sim.loads.lock() = loads.collect();
    sleep(5 * SECOND).await;
    client.faults().clear();
    sleep(5 * SECOND).await;
    assert_eq!(sim.starts(), 1, "the commit's response was not lost");
    sleep(180 * SECOND).await;
    for job in names("j", 18) {
        assert_eq!(sim.state(&job).await, State::Queued, "{job}");
    }
    sim.loads.lock().clear();
    all_done(&sim, 19).await;
}

/// The list of registrations is empty, which must not count as consent. The tasks' acknowledgement
/// alone must not complete a drain.
async fn unread_registrations() {
    let sim = open().await;
    sleep(5 * SECOND).await;
    sim.hide_entries
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let purpose = Some(Purpose::Move(name("b")));
    sim.put("w0", instance::State::Draining, purpose).await;
    sleep(60 * SECOND).await;
    assert_eq!(sim.instance("w0").await.state, instance::State::Draining);
}

/// The platform refuses every start for two minutes. Each attempt writes a row, so there must be
/// few.
async fn refused() {
    let sim = open().await;
    sim.prove("k", quarter()).await;
    let faults = sim.client("c0", "tasks").faults().clone();
    faults.set_outage(Some(Outage::Refuse));
    sim.submit(&names("j", 24), "k", quarter()).await;
    sleep(120 * SECOND).await;
    faults.clear();
    let max_count = sim.edits().await.into_values().max().unwrap_or(0);
    assert!(
        max_count <= 45,
        "a row was written {max_count} times in 120 s"
    );
    all_done(&sim, 25).await;
}

async fn batches() {
    let sim = open().await;
    sim.prove_workers("k", small()).await;
    sim.submit(&names("j", 300), "k", small()).await;
    all_done(&sim, 319).await;
    let own = sim
        .records()
        .await
        .into_iter()
        .filter(|record| record.actor.starts_with("controller"));
    let max_count = own.map(|record| record.edits.len()).max().unwrap_or(0);
    assert!(max_count <= 200, "one change has {max_count} rows");
    assert_eq!(sim.starts(), 319);
}

/// The list of instances can't be read, so it is unknown which instances serve. A worker on which
/// all jobs fail must stay in service until the list can be read again.
async fn stale_observation() {
    let sim = open().await;
    sleep(5 * SECOND).await;
    let list = sim.client("c0", "list").faults().clone();
    list.set_outage(Some(Outage::Refuse));
    sleep(15 * SECOND).await;
    sim.platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    sim.submit(&names("j", 60), "k", quarter()).await;
    all_done(&sim, 60).await;
    assert_eq!(sim.instance("w2").await.state, instance::State::Serving);
    list.clear();
    sleep(10 * SECOND).await;
    assert_eq!(sim.instance("w2").await.state, instance::State::Quarantined);
}
