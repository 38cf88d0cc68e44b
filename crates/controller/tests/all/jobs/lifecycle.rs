//! Job life cycles with at most one fault at a time.

use super::{
    cases,
    simulation::{SECOND, Simulation, WORKERS, name, names, quarter, script, small},
};
use primroseroute_domain::instance::{self, Purpose};
use primroseroute_jobs::{Reason, State};

use primroseroute_standin::platform::{
    fault::Outage,
    tally::Kind,
    task::{Ending, Script},
};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    jobs_run_and_cost_three_rows_each => rows_per_job();
    crashed_controller_is_replaced => crash();
    paused_controller_changes_nothing_after_resuming => resumes();
    starts_with_lost_responses_run_once => lost_responses();
    starts_that_take_effect_late_run_once => late_starts();
    commits_with_lost_responses_run_once => lost_commits();
    leases_expire_during_store_outage => store_outage();
    leases_expire_if_renewals_are_lost => lost_renewals();
    burst_of_cancellations_stops_each => cancellations();
    worker_that_fails_all_jobs_is_quarantined => faulty_worker();
    worker_that_fails_all_jobs_serves_if_promised => faulty_and_promised();
    job_that_can_never_run_is_parked => always_failing();
    released_job_runs_again => released();
    drain_waits_for_checkpoint_and_stop => drained();
    move_waits_for_the_end_of_runs => moved();
    jobs_are_throttled_under_pressure => pressure();
    old_rows_are_deleted => old_rows();
}

pub async fn open() -> Simulation {
    let mut sim = Simulation::open(1, WORKERS - 1).await;
    sim.start("c0");
    sim
}

pub async fn all_done(sim: &Simulation, count: usize) {
    let open = sim.until_ended(1200 * SECOND).await;
    assert!(open.is_empty(), "{open:#?}");
    let rows = sim.jobs().await;
    assert_eq!(rows.len(), count);
    for row in rows.values() {
        assert_eq!(row.value.state, State::Done, "{:?}", row.value);
    }
    sim.assert_single();
}

async fn rows_per_job() {
    let sim = open().await;
    let jobs = names("j", 200);
    sim.submit(&jobs, "k", quarter()).await;
    all_done(&sim, 200).await;
    let rows: usize = sim.edits().await.values().sum();
    println!("{rows} rows for 200 jobs, {} starts", sim.starts());
    assert_eq!(rows, 600, "one row each when submitted, started and done");
    assert_eq!(sim.starts(), 200);
}

/// The holder crashes while jobs run. Its successor knows the runs only from the rows; it must take
/// them over and start no second run of any job.
async fn crash() {
    let mut sim = open().await;
    sim.prove("k", quarter()).await;
    sim.submit(&names("j", 40), "k", quarter()).await;
    sleep(20 * SECOND).await;
    assert!(sim.starts() > 0);
    sim.start("c1");
    sim.kill("c0");
    all_done(&sim, 41).await;
}

/// All calls of the holder hang for two minutes, and another takes over. When the holder resumes,
/// its epoch is outdated: it must start nothing, renew nothing, and write no rows.
async fn resumes() {
    let mut sim = open().await;
    let jobs = names("j", 60);
    sim.submit(&jobs, "k", quarter()).await;
    sleep(12 * SECOND).await;
    sim.start("c1");
    let client = sim.client("c0", "tasks");
    sim.pause("c0", 120 * SECOND);
    sleep(130 * SECOND).await;
    let starts = client.tally().of(Kind::StartTask).calls;
    let renewals = client.tally().of(Kind::RenewTask).calls;
    sim.resume("c0");
    all_done(&sim, 60).await;
    assert_eq!(client.tally().of(Kind::StartTask).calls, starts);
    assert_eq!(client.tally().of(Kind::RenewTask).calls, renewals);
}

async fn lost_responses() {
    let sim = open().await;
    sim.platform.faults().lose_answers(Kind::StartTask, 20);
    sim.submit(&names("j", 24), "k", quarter()).await;
    all_done(&sim, 24).await;
    assert_eq!(
        sim.starts(),
        24,
        "a lost response does not count as a failed start"
    );
}

/// The platform executes starts after the calls have timed out. Starting the jobs again immediately
/// would run them twice.
async fn late_starts() {
    let sim = open().await;
    let faults = sim.platform.faults();
    faults.delay_effects(Kind::StartTask, 10, 12 * SECOND);
    faults.lose_requests(Kind::StartTask, 10);
    sim.submit(&names("j", 24), "k", quarter()).await;
    all_done(&sim, 24).await;
}

async fn lost_commits() {
    let sim = open().await;
    let jobs = names("j", 24);
    sim.submit(&jobs, "k", quarter()).await;
    for _ in 0..30 {
        sim.client("c0", "table")
            .faults()
            .lose_answers(Kind::Commit, 2);
        sleep(2 * SECOND).await;
    }
    all_done(&sim, 24).await;
}

/// The table can't be reached for two minutes. A controller that may have been replaced must not
/// renew runs, so their leases expire, and the jobs continue from their checkpoints afterwards.
async fn store_outage() {
    let sim = open().await;
    sim.prove("k", quarter()).await;
    sim.submit(&names("j", 24), "k", quarter()).await;
    sleep(15 * SECOND).await;
    sim.platform.faults().set_outage(Some(Outage::Refuse));
    sleep(120 * SECOND).await;
    let running: usize = (0..WORKERS).map(|n| sim.running_at(&format!("w{n}"))).sum();
    assert_eq!(
        running, 0,
        "a run continues although its lease must not be renewed"
    );
    sim.platform.faults().clear();
    all_done(&sim, 25).await;
}

async fn lost_renewals() {
    let sim = open().await;
    sim.platform
        .tasks()
        .script_job(name("j0"), script(100 * SECOND, Ending::Done));
    sim.submit(&names("j", 1), "k", quarter()).await;
    sleep(10 * SECOND).await;
    sim.platform.faults().lose_requests(Kind::RenewTask, 8);
    all_done(&sim, 1).await;
    assert!(sim.starts() > 1, "the lease has not expired");
}

/// Most of the cancelled jobs are queued, at least 18 run, and the first stop calls are lost. Each
/// run must end by a stop and not by lease expiry, and the cancellation must take only a few
/// changes.
async fn cancellations() {
    let sim = open().await;
    let jobs = names("j", 200);
    for job in &jobs {
        let script = script(300 * SECOND, Ending::Done);
        sim.platform.tasks().script_job(name(job), script);
    }
    sim.prove("k", quarter()).await;
    sim.submit(&jobs, "k", quarter()).await;
    sleep(60 * SECOND).await;
    let before = sim.snapshot().await.seq();
    // A worker gets at most three jobs of a kind that is not proven.
    assert!(sim.starts() > 18, "only {} run", sim.starts());
    sim.platform.faults().lose_requests(Kind::StopTask, 5);
    sim.cancel(&jobs).await;
    sleep(20 * SECOND).await;
    let after = sim.snapshot().await.seq();
    let edits = sim.edits().await;
    for job in &jobs {
        assert_eq!(sim.state(job).await, State::Cancelled, "{job}");
        assert!(edits[job] <= 4, "{job} was written {} times", edits[job]);
    }
    let changes = after.0 - before.0;
    assert!(changes <= 8, "{changes} changes: not batched");
    sim.assert_single();
}

/// A worker passes its health checks but fails every job. The jobs must run on other workers, and
/// the worker must stay out of service until an operator puts it back.
async fn faulty_worker() {
    let sim = open().await;
    sim.platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    sim.submit(&names("j", 60), "k", quarter()).await;
    all_done(&sim, 60).await;
    let row = sim.instance("w2").await;
    assert_eq!(row.state, instance::State::Quarantined);
    sleep(300 * SECOND).await;
    assert_eq!(sim.instance("w2").await.state, instance::State::Quarantined);

    sim.platform.tasks().script_instance(name("w2"), None);
    sim.put("w2", instance::State::Probation, None).await;
    let more = names("m", 60);
    sim.submit(&more, "k", quarter()).await;
    all_done(&sim, 120).await;
    let on_it = sim.platform.tasks().runs();
    let good = on_it.iter().filter(|run| {
        run.instance == name("w2")
            && run
                .ended
                .is_some_and(|(_, phase)| phase == primroseroute_platform::task::Phase::Done)
    });
    assert!(good.count() > 0, "a repaired worker gets no jobs");
}

/// The same where the pool promises every one of its workers.
async fn faulty_and_promised() {
    let mut sim = Simulation::open(1, WORKERS).await;
    sim.start("c0");
    sim.platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    sim.submit(&names("j", 60), "k", quarter()).await;
    all_done(&sim, 60).await;
    assert_eq!(sim.instance("w2").await.state, instance::State::Serving);
    let runs = sim.platform.tasks().runs();
    let on_it = runs.iter().filter(|run| run.instance == name("w2")).count();
    assert!(on_it <= 6, "{on_it} jobs were started on the faulty worker");
}

async fn always_failing() {
    let sim = open().await;
    let job = names("bad", 1);
    sim.platform
        .tasks()
        .script_job(name("bad0"), script(5 * SECOND, Ending::Failed));
    sim.submit(&names("j", 24), "k", quarter()).await;
    sim.submit(&job, "k", quarter()).await;
    let open = sim.until_ended(1200 * SECOND).await;
    assert!(open.is_empty(), "{open:#?}");
    let state = sim.state("bad0").await;
    assert!(matches!(state, State::Parked(_)), "{state:?}");
    let runs = sim.platform.tasks().runs();
    let attempts = runs.iter().filter(|run| run.job == name("bad0")).count();
    assert!(attempts <= 6, "{attempts} attempts");
    for n in 0..WORKERS {
        let row = sim.instance(&format!("w{n}")).await;
        assert_eq!(row.state, instance::State::Serving, "{row:?}");
    }
    sim.assert_single();
}

async fn released() {
    let sim = open().await;
    let script_of = |ending| script(5 * SECOND, ending);
    let tasks = sim.platform.tasks();
    tasks.script_job(name("bad0"), script_of(Ending::Failed));
    sim.submit(&names("bad", 1), "k", quarter()).await;
    sim.until_ended(1200 * SECOND).await;
    let state = sim.state("bad0").await;
    assert_eq!(state, State::Parked(Reason::FailsEverywhere));
    tasks.script_job(name("bad0"), script_of(Ending::Done));
    sim.change(|snapshot, draft| {
        let rows = snapshot
            .rows_with_prefix::<primroseroute_domain::id::Job, primroseroute_jobs::Row>("job/");
        let found = &rows.expect("rows can be decoded")[&name("bad0")];
        let mut row = found.value.clone();
        row.release().expect("the job is parked");
        draft.put(
            primroseroute_ledger::key::job(&row.id),
            Some(found.version),
            &row,
        );
    })
    .await;
    all_done(&sim, 1).await;
}

/// An operator drains a worker with long runs. Each run must write a checkpoint, be stopped after
/// that, and continue from the checkpoint on another worker.
async fn drained() {
    let sim = open().await;
    let tasks = sim.platform.tasks();
    for job in names("j", 24) {
        tasks.script_job(name(&job), script(200 * SECOND, Ending::Done));
    }
    sim.submit(&names("j", 20), "k", quarter()).await;
    sleep(100 * SECOND).await;
    let at = (0..WORKERS).map(|n| format!("w{n}"));
    let at = at.max_by_key(|at| sim.running_at(at)).expect("workers");
    assert!(sim.running_at(&at) > 0);
    sim.put(&at, instance::State::Draining, Some(Purpose::Operator))
        .await;
    sleep(30 * SECOND).await;
    assert_eq!(
        sim.running_at(&at),
        0,
        "all runs are stopped well before the drain times out"
    );
    let rows = sim.jobs().await;
    assert!(
        rows.values().any(|row| row.value.checkpoint > 0.1),
        "no checkpoint is known"
    );
    all_done(&sim, 20).await;
}

/// An instance moves to another pool while a job runs on it whose stop calls are all lost. It must
/// not serve in the other pool before the run has certainly ended.
async fn moved() {
    let sim = open().await;
    let tasks = sim.platform.tasks();
    tasks.script_job(name("j0"), script(2000 * SECOND, Ending::Never));
    sim.submit(&names("j", 1), "k", quarter()).await;
    sleep(20 * SECOND).await;
    let at = (0..WORKERS).map(|n| format!("w{n}"));
    let at = at.max_by_key(|at| sim.running_at(at)).expect("workers");
    sim.platform.faults().lose_requests(Kind::StopTask, 1000);
    let purpose = Purpose::Move(name("b"));
    sim.put(&at, instance::State::Draining, Some(purpose)).await;
    let mut waited = 0;
    while sim.instance(&at).await.pool == Some(name("a")) {
        sleep(SECOND).await;
        waited += 1;
        assert!(waited < 300, "the instance never moves");
    }
    assert!(waited > 20, "the instance moved after {waited} s");
    assert_eq!(
        sim.running_at(&at),
        0,
        "the instance moved while a job ran on it"
    );
    sim.assert_single();
}

async fn pressure() {
    let sim = open().await;
    let long = Script {
        length: 100 * SECOND,
        usage: Some(quarter()),
        ending: Ending::Done,
    };
    sim.platform.tasks().script_job(name("j0"), long);
    sim.submit(&names("j", 1), "k", quarter()).await;
    sleep(20 * SECOND).await;
    let set_load = |slots: u16| {
        let loads = (0..WORKERS).map(|n| (name(&format!("w{n}")), slots));
        *sim.loads.lock() = loads.collect();
    };
    set_load(8);
    sleep(200 * SECOND).await;
    assert!(
        matches!(sim.state("j0").await, State::Running(_)),
        "the job is throttled to a tenth of its speed"
    );
    assert_eq!(sim.platform.tally().of(Kind::ThrottleTask).calls, 1);
    sim.submit(&names("m", 1), "k", quarter()).await;
    sleep(30 * SECOND).await;
    assert_eq!(
        sim.state("m0").await,
        State::Queued,
        "nothing starts under pressure"
    );
    set_load(1);
    all_done(&sim, 2).await;
}

async fn old_rows() {
    let sim = open().await;
    for batch in 0..12 {
        let jobs = names(&format!("b{batch}-"), 100);
        sim.submit(&jobs, "k", small()).await;
        sim.cancel(&jobs).await;
        sleep(Duration::from_secs(3)).await;
    }
    sleep(60 * SECOND).await;
    assert_eq!(
        sim.jobs().await.len(),
        1000,
        "the newest rows of ended jobs are retained"
    );
    // A name is reused: its first start must have a token that the platform accepts as newer.
    sim.submit(&names("b0-", 1), "k", small()).await;
    sleep(90 * SECOND).await;
    assert_eq!(sim.state("b0-0").await, State::Done);
}
