//! One fault at a time.

use super::{
    cases,
    world::{SECOND, WORKERS, World, name, names, quarter, script, small},
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
    jobs_run_and_cost_three_rows_each => rows_of_a_life();
    controller_that_dies_is_succeeded => dies();
    controller_that_hangs_and_wakes_changes_nothing => wakes();
    starts_whose_answers_are_lost_run_once => lost_answers();
    starts_that_take_effect_late_run_once => late_starts();
    commits_whose_answers_are_lost_run_once => lost_commits();
    outage_of_the_store_lets_leases_lapse => store_outage();
    renewals_that_never_arrive_let_leases_lapse => lost_renewals();
    burst_of_cancellations_stops_each => cancellations();
    worker_that_fails_everything_is_quarantined => bad_worker();
    worker_that_fails_everything_serves_where_promised => bad_and_promised();
    job_that_can_never_run_is_parked => hopeless();
    released_job_runs_again => released();
    drain_waits_for_checkpoint_and_stop => drained();
    move_waits_for_the_end_of_runs => moved();
    pressure_throttles_and_lets_go => pressure();
    old_rows_go => swept();
}

pub async fn open() -> World {
    let mut world = World::open(1, WORKERS - 1).await;
    world.start("c0");
    world
}

pub async fn all_done(world: &World, count: usize) {
    let open = world.until_ended(1200 * SECOND).await;
    assert!(open.is_empty(), "{open:#?}");
    let rows = world.jobs().await;
    assert_eq!(rows.len(), count);
    for row in rows.values() {
        assert_eq!(row.value.state, State::Done, "{:?}", row.value);
    }
    world.assert_single();
}

async fn rows_of_a_life() {
    let world = open().await;
    let jobs = names("j", 200);
    world.submit(&jobs, "k", quarter()).await;
    all_done(&world, 200).await;
    let rows: usize = world.edits().await.values().sum();
    println!("{rows} rows for 200 jobs, {} starts", world.starts());
    assert_eq!(rows, 600, "submitted, started, done");
    assert_eq!(world.starts(), 200);
}

/// The holder dies with runs under way. Its successor knows them from the rows alone; it must take
/// them on and start none beside them.
async fn dies() {
    let mut world = open().await;
    world.prove("k", quarter()).await;
    world.submit(&names("j", 40), "k", quarter()).await;
    sleep(20 * SECOND).await;
    assert!(world.starts() > 0);
    world.start("c1");
    world.kill("c0");
    all_done(&world, 41).await;
}

/// The holder hangs in all its calls for two minutes, and another takes over. When it wakes, its
/// epoch has moved: it must start nothing, renew nothing, and leave the rows alone.
async fn wakes() {
    let mut world = open().await;
    let jobs = names("j", 60);
    world.submit(&jobs, "k", quarter()).await;
    sleep(12 * SECOND).await;
    world.start("c1");
    let client = world.client("c0", "tasks");
    world.pause("c0", 120 * SECOND);
    sleep(130 * SECOND).await;
    let starts = client.tally().of(Kind::StartTask).calls;
    let renewals = client.tally().of(Kind::RenewTask).calls;
    world.wake("c0");
    all_done(&world, 60).await;
    assert_eq!(client.tally().of(Kind::StartTask).calls, starts);
    assert_eq!(client.tally().of(Kind::RenewTask).calls, renewals);
}

async fn lost_answers() {
    let world = open().await;
    world.platform.faults().lose_answers(Kind::StartTask, 20);
    world.submit(&names("j", 24), "k", quarter()).await;
    all_done(&world, 24).await;
    assert_eq!(world.starts(), 24, "a lost answer is no failed start");
}

/// The platform carries starts out after the caller has given them up. Whoever starts the job anew
/// at once runs it twice.
async fn late_starts() {
    let world = open().await;
    let faults = world.platform.faults();
    faults.delay_effects(Kind::StartTask, 10, 12 * SECOND);
    faults.lose_requests(Kind::StartTask, 10);
    world.submit(&names("j", 24), "k", quarter()).await;
    all_done(&world, 24).await;
}

async fn lost_commits() {
    let world = open().await;
    let jobs = names("j", 24);
    world.submit(&jobs, "k", quarter()).await;
    for _ in 0..30 {
        world
            .client("c0", "table")
            .faults()
            .lose_answers(Kind::Commit, 2);
        sleep(2 * SECOND).await;
    }
    all_done(&world, 24).await;
}

/// The table can't be reached for two minutes and nothing may be renewed by a controller that may
/// have been succeeded. The runs lapse, and go on from their checkpoints afterwards.
async fn store_outage() {
    let world = open().await;
    world.prove("k", quarter()).await;
    world.submit(&names("j", 24), "k", quarter()).await;
    sleep(15 * SECOND).await;
    world.platform.faults().set_outage(Some(Outage::Refuse));
    sleep(120 * SECOND).await;
    let running: usize = (0..WORKERS)
        .map(|n| world.running_at(&format!("w{n}")))
        .sum();
    assert_eq!(
        running, 0,
        "a lease outlives what the controller can vouch for"
    );
    world.platform.faults().clear();
    all_done(&world, 25).await;
}

async fn lost_renewals() {
    let world = open().await;
    world
        .platform
        .tasks()
        .script_job(name("j0"), script(100 * SECOND, Ending::Done));
    world.submit(&names("j", 1), "k", quarter()).await;
    sleep(10 * SECOND).await;
    world.platform.faults().lose_requests(Kind::RenewTask, 8);
    all_done(&world, 1).await;
    assert!(world.starts() > 1, "the lease has not lapsed");
}

/// Most of the cancelled jobs wait, 18 run or more, and the first stops are lost. Each run must end by a stop
/// and not by its lease, and all of it must cost a few changes.
async fn cancellations() {
    let world = open().await;
    let jobs = names("j", 200);
    for job in &jobs {
        let script = script(300 * SECOND, Ending::Done);
        world.platform.tasks().script_job(name(job), script);
    }
    world.prove("k", quarter()).await;
    world.submit(&jobs, "k", quarter()).await;
    sleep(60 * SECOND).await;
    let before = world.snapshot().await.seq();
    // Without proof a worker gets three.
    assert!(world.starts() > 18, "only {} run", world.starts());
    world.platform.faults().lose_requests(Kind::StopTask, 5);
    world.cancel(&jobs).await;
    sleep(20 * SECOND).await;
    let after = world.snapshot().await.seq();
    let edits = world.edits().await;
    for job in &jobs {
        assert_eq!(world.state(job).await, State::Cancelled, "{job}");
        assert!(edits[job] <= 4, "{job} was written {} times", edits[job]);
    }
    let changes = after.0 - before.0;
    assert!(changes <= 8, "{changes} changes: not batched");
    world.assert_single();
}

/// A worker passes its health checks and fails every job. The jobs must go elsewhere, and the
/// worker out of service until an operator puts it back.
async fn bad_worker() {
    let world = open().await;
    world
        .platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    world.submit(&names("j", 60), "k", quarter()).await;
    all_done(&world, 60).await;
    let row = world.instance("w2").await;
    assert_eq!(row.state, instance::State::Quarantined);
    sleep(300 * SECOND).await;
    assert_eq!(
        world.instance("w2").await.state,
        instance::State::Quarantined
    );

    world.platform.tasks().script_instance(name("w2"), None);
    world.put("w2", instance::State::Probation, None).await;
    let more = names("m", 60);
    world.submit(&more, "k", quarter()).await;
    all_done(&world, 120).await;
    let on_it = world.platform.tasks().runs();
    let good = on_it.iter().filter(|run| {
        run.instance == name("w2")
            && run
                .ended
                .is_some_and(|(_, phase)| phase == primroseroute_platform::task::Phase::Done)
    });
    assert!(good.count() > 0, "a repaired worker gets no jobs");
}

/// The same where the pool promises every one of its workers.
async fn bad_and_promised() {
    let mut world = World::open(1, WORKERS).await;
    world.start("c0");
    world
        .platform
        .tasks()
        .script_instance(name("w2"), Some(Ending::Failed));
    world.submit(&names("j", 60), "k", quarter()).await;
    all_done(&world, 60).await;
    assert_eq!(world.instance("w2").await.state, instance::State::Serving);
    let runs = world.platform.tasks().runs();
    let on_it = runs.iter().filter(|run| run.instance == name("w2")).count();
    assert!(on_it <= 6, "{on_it} jobs were given to it");
}

async fn hopeless() {
    let world = open().await;
    let job = names("bad", 1);
    world
        .platform
        .tasks()
        .script_job(name("bad0"), script(5 * SECOND, Ending::Failed));
    world.submit(&names("j", 24), "k", quarter()).await;
    world.submit(&job, "k", quarter()).await;
    let open = world.until_ended(1200 * SECOND).await;
    assert!(open.is_empty(), "{open:#?}");
    let state = world.state("bad0").await;
    assert!(matches!(state, State::Parked(_)), "{state:?}");
    let runs = world.platform.tasks().runs();
    let tries = runs.iter().filter(|run| run.job == name("bad0")).count();
    assert!(tries <= 6, "{tries} tries");
    for n in 0..WORKERS {
        let row = world.instance(&format!("w{n}")).await;
        assert_eq!(row.state, instance::State::Serving, "{row:?}");
    }
    world.assert_single();
}

async fn released() {
    let world = open().await;
    let script_of = |ending| script(5 * SECOND, ending);
    let tasks = world.platform.tasks();
    tasks.script_job(name("bad0"), script_of(Ending::Failed));
    world.submit(&names("bad", 1), "k", quarter()).await;
    world.until_ended(1200 * SECOND).await;
    let state = world.state("bad0").await;
    assert_eq!(state, State::Parked(Reason::FailsEverywhere));
    tasks.script_job(name("bad0"), script_of(Ending::Done));
    world
        .change(|snapshot, draft| {
            let rows =
                snapshot.under::<primroseroute_domain::id::Job, primroseroute_jobs::Row>("job/");
            let found = &rows.expect("readable")[&name("bad0")];
            let mut row = found.value.clone();
            row.release().expect("it is parked");
            draft.put(
                primroseroute_ledger::key::job(&row.id),
                Some(found.version),
                &row,
            );
        })
        .await;
    all_done(&world, 1).await;
}

/// An operator drains a worker with long runs. Each is asked for a checkpoint, stopped once that is
/// written, and goes on elsewhere from there.
async fn drained() {
    let world = open().await;
    let tasks = world.platform.tasks();
    for job in names("j", 24) {
        tasks.script_job(name(&job), script(200 * SECOND, Ending::Done));
    }
    world.submit(&names("j", 20), "k", quarter()).await;
    sleep(100 * SECOND).await;
    let at = (0..WORKERS).map(|n| format!("w{n}"));
    let at = at.max_by_key(|at| world.running_at(at)).expect("workers");
    assert!(world.running_at(&at) > 0);
    world
        .put(&at, instance::State::Draining, Some(Purpose::Operator))
        .await;
    sleep(30 * SECOND).await;
    assert_eq!(
        world.running_at(&at),
        0,
        "stopped well before the drain's end"
    );
    let rows = world.jobs().await;
    assert!(
        rows.values().any(|row| row.value.checkpoint > 0.1),
        "no checkpoint is known"
    );
    all_done(&world, 20).await;
}

/// An instance moves to another pool while a job runs there that can't be stopped: every stop is
/// lost. It must not serve in the other pool before the run has surely ended.
async fn moved() {
    let world = open().await;
    let tasks = world.platform.tasks();
    tasks.script_job(name("j0"), script(2000 * SECOND, Ending::Never));
    world.submit(&names("j", 1), "k", quarter()).await;
    sleep(20 * SECOND).await;
    let at = (0..WORKERS).map(|n| format!("w{n}"));
    let at = at.max_by_key(|at| world.running_at(at)).expect("workers");
    world.platform.faults().lose_requests(Kind::StopTask, 1000);
    let purpose = Purpose::Move(name("b"));
    world
        .put(&at, instance::State::Draining, Some(purpose))
        .await;
    let mut waited = 0;
    while world.instance(&at).await.pool == Some(name("a")) {
        sleep(SECOND).await;
        waited += 1;
        assert!(waited < 300, "it never moves");
    }
    assert!(waited > 20, "it moved after {waited} s");
    assert_eq!(world.running_at(&at), 0, "it moved under a run");
    world.assert_single();
}

async fn pressure() {
    let world = open().await;
    let long = Script {
        length: 100 * SECOND,
        usage: Some(quarter()),
        ending: Ending::Done,
    };
    world.platform.tasks().script_job(name("j0"), long);
    world.submit(&names("j", 1), "k", quarter()).await;
    sleep(20 * SECOND).await;
    let press = |slots: u16| {
        let loads = (0..WORKERS).map(|n| (name(&format!("w{n}")), slots));
        *world.loads.lock() = loads.collect();
    };
    press(8);
    sleep(200 * SECOND).await;
    assert!(
        matches!(world.state("j0").await, State::Running(_)),
        "a tenth of the speed"
    );
    assert_eq!(world.platform.tally().of(Kind::ThrottleTask).calls, 1);
    world.submit(&names("m", 1), "k", quarter()).await;
    sleep(30 * SECOND).await;
    assert_eq!(
        world.state("m0").await,
        State::Queued,
        "nothing starts under pressure"
    );
    press(1);
    all_done(&world, 2).await;
}

async fn swept() {
    let world = open().await;
    for batch in 0..12 {
        let jobs = names(&format!("b{batch}-"), 100);
        world.submit(&jobs, "k", small()).await;
        world.cancel(&jobs).await;
        sleep(Duration::from_secs(3)).await;
    }
    sleep(60 * SECOND).await;
    assert_eq!(
        world.jobs().await.len(),
        1000,
        "the newest rows of ended jobs are kept"
    );
    // A name comes back: its first start must have a token that the platform takes for newer.
    world.submit(&names("b0-", 1), "k", small()).await;
    sleep(90 * SECOND).await;
    assert_eq!(world.state("b0-0").await, State::Done);
}
