//! Leases, scripts, reports and fencing tokens of tasks.

use crate::{
    cases,
    fleet::{listed, name},
    table::open,
};
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet::Instances,
    task::{Phase, Resources, Start, Tasks, Token},
};
use primroseroute_standin::platform::{
    Platform,
    task::{Ending, Script},
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const DECLARED: Resources = Resources {
    cores: 4.0,
    memory: 1e9,
    accelerators: 0.0,
};

fn job() -> id::Job {
    "rebuild".parse().expect("the name is valid")
}

fn start(instance: &str, token: u64) -> Start {
    Start {
        job: job(),
        instance: name(instance),
        token: Token(token),
        resources: DECLARED,
        lease: 5 * SECOND,
    }
}

/// Token, phase and end (in seconds since the first start) of each run.
fn runs(platform: &Platform) -> String {
    let runs = platform.tasks().runs();
    let first = runs[0].began;
    let each = runs.iter().map(|run| match run.ended {
        Some((at, phase)) => format!("{} {phase:?} at {}", run.token.0, (at - first).as_secs()),
        None => format!("{} Running", run.token.0),
    });
    each.collect::<Vec<_>>().join(", ")
}

async fn leases() {
    // The holder renews once and then stops; the task stops when the lease expires.
    let platform = open();
    platform
        .start(start("w1", 1))
        .await
        .expect("no fault is set");
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(platform.renew(&job(), Token(1), 5 * SECOND).await, Ok(()));
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(runs(&platform), "1 Running");
    tokio::time::sleep(2 * SECOND).await;
    assert_eq!(runs(&platform), "1 Stopped at 9");
    let late = platform.renew(&job(), Token(1), 5 * SECOND).await;
    assert!(matches!(late, Err(Error::Invalid(_))), "{late:?}");
}

async fn tokens() {
    // A controller that resumes after a pause and starts the job with its old token is rejected. A
    // controller that starts the job again without waiting for the old lease causes two overlapping
    // runs, which are reported.
    let platform = open();
    assert_eq!(platform.start(start("w1", 2)).await, Ok(()));
    assert_eq!(platform.start(start("w1", 2)).await, Ok(()));
    let old = platform.start(start("w2", 1)).await;
    assert!(matches!(old, Err(Error::Invalid(_))), "{old:?}");
    assert_eq!(platform.tasks().runs().len(), 1);
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(platform.start(start("w2", 3)).await, Ok(()));
    assert_eq!(platform.tasks().overlaps().len(), 1);
    let fenced = platform.renew(&job(), Token(2), 5 * SECOND).await;
    assert!(matches!(fenced, Err(Error::Invalid(_))), "{fenced:?}");
    tokio::time::sleep(6 * SECOND).await;
    assert_eq!(platform.start(start("w1", 4)).await, Ok(()));
    assert_eq!(platform.tasks().overlaps().len(), 1);
    assert_eq!(runs(&platform), "2 Stopped at 5, 3 Stopped at 9, 4 Running");
}

async fn checkpoints() {
    // The task is stopped after a checkpoint at half of the work; the next start does the other half.
    let platform = open();
    assert_eq!(platform.start(start("w1", 1)).await, Ok(()));
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(platform.throttle(&job(), Token(1), 0.5).await, Ok(()));
    tokio::time::sleep(Duration::from_millis(800)).await;
    platform
        .renew(&job(), Token(1), 60 * SECOND)
        .await
        .expect("the task runs");
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(platform.checkpoint(&job(), Token(1)).await, Ok(()));
    let reports = platform.reports().await.expect("no fault is set");
    assert!((reports[0].checkpoint - 0.5).abs() < 1e-9, "{reports:?}");
    assert!((reports[0].usage.cores - 2.0).abs() < 1e-9, "{reports:?}");
    assert_eq!(platform.stop(&job(), Token(1)).await, Ok(()));
    assert_eq!(platform.start(start("w2", 2)).await, Ok(()));
    tokio::time::sleep(5 * SECOND).await;
    assert_eq!(runs(&platform), "1 Stopped at 6, 2 Done at 11");
}

async fn scripts_and_lag() {
    // The job uses four times the declared cores and fails; the reports show it only after the lag.
    let platform = open();
    let tasks = platform.tasks();
    tasks.set_lag(3 * SECOND);
    let usage = Resources {
        cores: 16.0,
        ..DECLARED
    };
    tasks.script_job(
        job(),
        Script {
            length: 2 * SECOND,
            usage: Some(usage),
            ending: Ending::Failed,
        },
    );
    assert_eq!(platform.start(start("w1", 1)).await, Ok(()));
    assert_eq!(platform.reports().await.expect("no fault is set"), []);
    tokio::time::sleep(4 * SECOND).await;
    let reports = platform.reports().await.expect("no fault is set");
    assert_eq!(
        (reports[0].phase, reports[0].usage),
        (Phase::Running, usage)
    );
    tokio::time::sleep(SECOND).await;
    let reports = platform.reports().await.expect("no fault is set");
    assert_eq!(reports[0].phase, Phase::Failed);
    tasks.script_instance(name("w2"), Some(Ending::Done));
    assert_eq!(platform.start(start("w2", 2)).await, Ok(()));
    tokio::time::sleep(2 * SECOND).await;
    assert_eq!(runs(&platform), "1 Failed at 2, 2 Done at 7");
}

async fn reboots() {
    let platform = open();
    platform.fleet().add(listed("w1"));
    assert_eq!(platform.start(start("w1", 1)).await, Ok(()));
    tokio::time::sleep(SECOND).await;
    assert_eq!(platform.reboot(&name("w1"), 1).await, Ok(()));
    assert_eq!(runs(&platform), "1 Stopped at 1");
    let refused = platform.start(start("w1", 2)).await;
    assert!(matches!(refused, Err(Error::Invalid(_))), "{refused:?}");
}

cases! {
    lease_expires_without_renewal => leases();
    tokens_fence_and_overlaps_show => tokens();
    next_start_goes_on_from_the_checkpoint => checkpoints();
    scripts_differ_from_declared_and_reports_lag => scripts_and_lag();
    reboot_stops_tasks => reboots();
}
