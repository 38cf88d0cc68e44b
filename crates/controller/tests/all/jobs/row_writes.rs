//! Row writes of jobs as a function of the number of workers.

use super::{
    cases,
    simulation::{SECOND, Simulation, name, names, quarter, script},
};
use primroseroute_platform::task::Resources;
use primroseroute_standin::platform::{tally::Kind, task::Ending};
use std::time::Duration;
use tokio::time::sleep;

/// Workers of one company today; the variable `WORKERS` sets another number.
const DEFAULT_WORKERS: u32 = 50;

/// Jobs that one worker runs concurrently.
const JOBS_PER_WORKER: u32 = 8;

/// Duration of each job.
const JOB_DURATION: Duration = Duration::from_secs(600);

/// Jobs submitted at a time, as many as an operator may submit.
const JOBS_PER_SUBMISSION: usize = 250;

cases! {
    rows_stay_few_at_todays_size => cost();
}

/// Runs twice as many jobs as fit at a time, so that the second half follows the first. The store
/// writes 600 rows/s and also has to write the claims of requests.
async fn cost() {
    let configured = std::env::var("WORKERS")
        .ok()
        .and_then(|count| count.parse().ok());
    let workers = configured.unwrap_or(DEFAULT_WORKERS);
    let mut sim = Simulation::open_with(1, 1, workers).await;
    sim.start("c0");
    let size = Resources {
        cores: 64.0 / f64::from(JOBS_PER_WORKER),
        ..quarter()
    };
    sim.prove("k", size).await;
    let jobs = names("j", 2 * (workers * JOBS_PER_WORKER) as usize);
    for job in &jobs {
        sim.platform
            .tasks()
            .script_job(name(job), script(JOB_DURATION, Ending::Done));
    }
    for submission in jobs.chunks(JOBS_PER_SUBMISSION) {
        sim.submit(submission, "k", size).await;
        sleep(SECOND).await;
    }
    let client = sim.client("c0", "table");
    let rows = || client.tally().of(Kind::Commit).rows;
    let (first, mut max_rows, mut seconds) = (rows(), 0, 0_u64);
    let mut rows_by_interval = Vec::new();
    while sim.starts() < jobs.len() + 1 {
        let before = rows();
        sleep(10 * SECOND).await;
        rows_by_interval.push(rows() - before);
        max_rows = max_rows.max(rows() - before);
        seconds += 10;
        assert!(seconds < 3600, "{} of {} started", sim.starts(), jobs.len());
    }
    let mean = (rows() - first) as f64 / seconds as f64;
    println!(
        "{workers} workers, {} jobs: {mean:.1} rows/s over {seconds} s, at most {:.1} over 10 s",
        jobs.len(),
        max_rows as f64 / 10.0
    );
    assert!(
        max_rows <= 1600,
        "{max_rows} rows in 10 s: {rows_by_interval:?}"
    );
    sim.assert_single();
}
