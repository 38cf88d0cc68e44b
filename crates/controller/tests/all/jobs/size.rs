//! What the rows of jobs cost the store, by the number of workers.

use super::{
    cases,
    world::{SECOND, World, name, names, quarter, script},
};
use primroseroute_platform::task::Resources;
use primroseroute_standin::platform::{tally::Kind, task::Ending};
use std::time::Duration;
use tokio::time::sleep;

/// Workers of one company today; `WORKERS` asks for another number.
const TODAY: u32 = 50;

/// Jobs that one worker runs at a time.
const JOBS_A_WORKER: u32 = 8;

/// How long each job runs.
const LENGTH: Duration = Duration::from_secs(600);

/// Jobs of one order, as many as an operator may submit.
const ORDER: usize = 250;

cases! {
    rows_stay_few_at_todays_size => cost();
}

/// Twice as many jobs as run at a time: they start, and the second half follows the first. The store
/// writes 600 rows a second and has the requests' claims to write too.
async fn cost() {
    let wanted = std::env::var("WORKERS")
        .ok()
        .and_then(|count| count.parse().ok());
    let workers = wanted.unwrap_or(TODAY);
    let mut world = World::open_with(1, 1, workers).await;
    world.start("c0");
    let size = Resources {
        cores: 64.0 / f64::from(JOBS_A_WORKER),
        ..quarter()
    };
    world.prove("k", size).await;
    let jobs = names("j", 2 * (workers * JOBS_A_WORKER) as usize);
    for job in &jobs {
        world
            .platform
            .tasks()
            .script_job(name(job), script(LENGTH, Ending::Done));
    }
    for order in jobs.chunks(ORDER) {
        world.submit(order, "k", size).await;
        sleep(SECOND).await;
    }
    let client = world.client("c0", "table");
    let rows = || client.tally().of(Kind::Commit).rows;
    let (first, mut most, mut seconds) = (rows(), 0, 0_u64);
    let mut all = Vec::new();
    while world.starts() < jobs.len() + 1 {
        let before = rows();
        sleep(10 * SECOND).await;
        all.push(rows() - before);
        most = most.max(rows() - before);
        seconds += 10;
        assert!(
            seconds < 3600,
            "{} of {} started",
            world.starts(),
            jobs.len()
        );
    }
    let mean = (rows() - first) as f64 / seconds as f64;
    println!(
        "{workers} workers, {} jobs: {mean:.1} rows/s over {seconds} s, at most {:.1} over 10 s",
        jobs.len(),
        most as f64 / 10.0
    );
    assert!(most <= 1600, "{most} rows in 10 s: {all:?}");
    world.assert_single();
}
