//! The narrow cases: what lies between a decision and its call, and between two controllers.

use super::{
    cases,
    life::{all_done, open},
    world::{SECOND, WORKERS, World, name, names, quarter, script, small},
};
use primroseroute_domain::instance::{self, Purpose};
use primroseroute_jobs::State;
use primroseroute_ledger::{Versioned, key};
use primroseroute_platform::task::Resources;
use primroseroute_standin::platform::{fault::Outage, tally::Kind, task::Ending};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

cases! {
    woken_controller_renews_nothing => woken();
    calls_that_queue_up_are_dropped => queued();
    start_that_hangs_may_still_take_effect => hanging();
    commit_of_unknown_fate_is_taken_over => unknown();
    unread_registrations_move_nothing => unread();
    refused_starts_cost_few_rows => refused();
    starts_come_in_batches => batches();
    old_sight_takes_nothing_out => stale();
}

/// Six long runs and nothing else to do, so that plans have no rows.
async fn long(world: &World) {
    world.prove("k", quarter()).await;
    let jobs = names("j", 6);
    for job in &jobs {
        let script = script(400 * SECOND, Ending::Done);
        world.platform.tasks().script_job(name(job), script);
    }
    world.submit(&jobs, "k", quarter()).await;
    sleep(20 * SECOND).await;
}

/// The holder is paused until another has taken over, and wakes while its runs are due. Its plan has
/// no rows, so no commit tells it that its epoch is over.
async fn woken() {
    let mut world = open().await;
    long(&world).await;
    world.start("c1");
    let client = world.client("c0", "tasks");
    for pause in [14, 16, 18, 20] {
        world.pause("c0", 30 * SECOND);
        sleep(Duration::from_secs(pause)).await;
        let renewals = client.tally().of(Kind::RenewTask).calls;
        // The lease's renewal hangs on, as if the jobs' task were the first to wake.
        world.client("c0", "tasks").faults().clear();
        world.client("c0", "table").faults().clear();
        sleep(SECOND).await;
        assert_eq!(client.tally().of(Kind::RenewTask).calls, renewals);
        world.wake("c0");
        sleep(20 * SECOND).await;
    }
    all_done(&world, 7).await;
}

/// Calls take 4 s each while the renewals of 700 runs are due, so that starts wait behind them. A
/// start that was decided long ago may belong to a controller that has been succeeded; it must be
/// dropped.
async fn queued() {
    let world = open().await;
    let size = Resources {
        cores: 0.5,
        ..small()
    };
    world.prove_workers("k", size).await;
    let jobs = names("j", 700);
    for job in &jobs {
        let script = script(400 * SECOND, Ending::Done);
        world.platform.tasks().script_job(name(job), script);
    }
    world.submit(&jobs, "k", size).await;
    sleep(25 * SECOND).await;
    let client = world.client("c0", "tasks");
    client.faults().set_latency(4 * SECOND, Duration::ZERO);
    sleep(5 * SECOND).await;
    world.submit(&names("m", 80), "k", size).await;
    sleep(60 * SECOND).await;
    client.faults().set_latency(Duration::ZERO, Duration::ZERO);
    let mut committed = BTreeMap::new();
    for record in world.records().await {
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
    for run in world.platform.tasks().runs() {
        let began =
            world.platform.now().0 - u64::try_from(run.began.elapsed().as_millis()).expect("short");
        let waited = began - committed[&(run.job.clone(), run.token)].0;
        assert!(
            waited <= 13_000,
            "{} began {waited} ms after its commit",
            run.job
        );
    }
    all_done(&world, 799).await;
}

/// Starts take effect 7 s after they were sent, when the caller has given them up.
async fn hanging() {
    let world = open().await;
    world.prove("k", quarter()).await;
    let client = world.client("c0", "tasks");
    client.faults().set_latency(14 * SECOND, Duration::ZERO);
    world.submit(&names("j", 18), "k", quarter()).await;
    while client.tally().of(Kind::StartTask).calls < 19 {
        sleep(SECOND).await;
    }
    sleep(SECOND).await;
    client.faults().set_latency(Duration::ZERO, Duration::ZERO);
    all_done(&world, 19).await;
    assert_eq!(
        world.starts(),
        19,
        "a call that was given up is no failed start"
    );
}

/// The rows of starts are committed, the answer is lost and the store goes down. No start was sent;
/// then nothing can start for long. The rows must not go on saying that the jobs run.
async fn unknown() {
    let world = open().await;
    world.prove("k", quarter()).await;
    let client = world.client("c0", "table");
    world.submit(&names("j", 18), "k", quarter()).await;
    let rows = client.tally().of(Kind::Commit).rows;
    while client.tally().of(Kind::Commit).rows < rows + 18 {
        sleep(Duration::from_millis(1)).await;
    }
    client.faults().set_outage(Some(Outage::Refuse));
    sleep(SECOND).await;
    let loads = (0..WORKERS).map(|n| (name(&format!("w{n}")), 8));
    *world.loads.lock() = loads.collect();
    sleep(5 * SECOND).await;
    client.faults().clear();
    sleep(5 * SECOND).await;
    assert_eq!(world.starts(), 1, "the commit went through with its answer");
    sleep(180 * SECOND).await;
    for job in names("j", 18) {
        assert_eq!(world.state(&job).await, State::Queued, "{job}");
    }
    world.loads.lock().clear();
    all_done(&world, 19).await;
}

/// The registrations read as empty, which is no consent of anybody. The tasks' word alone must not
/// empty an instance.
async fn unread() {
    let world = open().await;
    sleep(5 * SECOND).await;
    world.mute.store(true, std::sync::atomic::Ordering::Relaxed);
    let purpose = Some(Purpose::Move(name("b")));
    world.put("w0", instance::State::Draining, purpose).await;
    sleep(60 * SECOND).await;
    assert_eq!(world.instance("w0").await.state, instance::State::Draining);
}

/// The platform refuses every start for two minutes. Each try writes a row, so there must be few.
async fn refused() {
    let world = open().await;
    world.prove("k", quarter()).await;
    let faults = world.client("c0", "tasks").faults().clone();
    faults.set_outage(Some(Outage::Refuse));
    world.submit(&names("j", 24), "k", quarter()).await;
    sleep(120 * SECOND).await;
    faults.clear();
    let most = world.edits().await.into_values().max().unwrap_or(0);
    assert!(most <= 45, "a row was written {most} times in 120 s");
    all_done(&world, 25).await;
}

async fn batches() {
    let world = open().await;
    world.prove_workers("k", small()).await;
    world.submit(&names("j", 300), "k", small()).await;
    all_done(&world, 319).await;
    let own = world
        .records()
        .await
        .into_iter()
        .filter(|record| record.actor.starts_with("controller"));
    let most = own.map(|record| record.edits.len()).max().unwrap_or(0);
    assert!(most <= 200, "one change has {most} rows");
    assert_eq!(world.starts(), 319);
}

/// The list of instances can't be read, so nobody knows which serve. A worker on which all jobs fail
/// stays in service until it can.
async fn stale() {
    let world = open().await;
    sleep(5 * SECOND).await;
    let list = world.client("c0", "list").faults().clone();
    list.set_outage(Some(Outage::Refuse));
    sleep(15 * SECOND).await;
    world
        .platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    world.submit(&names("j", 60), "k", quarter()).await;
    all_done(&world, 60).await;
    assert_eq!(world.instance("w2").await.state, instance::State::Serving);
    list.clear();
    sleep(10 * SECOND).await;
    assert_eq!(
        world.instance("w2").await.state,
        instance::State::Quarantined
    );
}
