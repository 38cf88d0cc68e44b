//! Aggregated log lines of a pool's loop for events that may come by the hundred at once: one line
//! per round and kind.

use log::{debug, info};
use primroseroute_domain::work::{End, Name, TaskId};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Maximum number of workers that the line of a round names. Incarnations end by the hundred if an
/// availability zone is lost or a pool gives its instances away; this many names are as long as two
/// or three lines.
const MAX_NAMES: usize = 32;

/// Maximum run ends of one kind in a round that get a line each: an ordinary round has no more. A
/// line is ten times as long as the name of its task.
const MAX_SINGLE_LINES: usize = 4;

/// Longest time that lines wait for the end of a round: a round whose commit gets no answer takes
/// seconds, and the lines would show a wrong time.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// The end of a run.
#[derive(Debug)]
struct EndedRun {
    worker: Name,
    task: TaskId,
    run: u32,
}

/// What has happened since the last round.
#[derive(Debug)]
pub(crate) struct LogDigest {
    written_at: Instant,
    /// Workers whose incarnations are over, with how many runs they had.
    ended_workers: Vec<(Name, usize)>,
    /// Runs that ended without completing their work, by how.
    ended_runs: BTreeMap<String, Vec<EndedRun>>,
}

/// The first of these names, as a log line lists them.
pub(crate) fn first_names(names: impl Iterator<Item = String>) -> String {
    names.take(MAX_NAMES).collect::<Vec<String>>().join(",")
}

impl LogDigest {
    pub(crate) fn new() -> Self {
        Self {
            written_at: Instant::now(),
            ended_workers: Vec::new(),
            ended_runs: BTreeMap::new(),
        }
    }

    /// Records that a worker's incarnation is over, on which there were `runs` runs.
    pub(crate) fn worker_ended(&mut self, worker: Name, runs: usize) {
        self.ended_workers.push((worker, runs));
    }

    /// Records that a run ended without completing its work.
    pub(crate) fn run_ended(&mut self, worker: &Name, task: &TaskId, run: u32, how: End) {
        let ended = EndedRun {
            worker: Name::clone(worker),
            task: task.clone(),
            run,
        };
        self.ended_runs
            .entry(format!("{how:?}"))
            .or_default()
            .push(ended);
    }

    /// Writes the lines and starts over.
    pub(crate) fn write(&mut self, pool: &str) {
        self.written_at = Instant::now();
        self.write_ended_workers(pool);
        for (how, ended) in std::mem::take(&mut self.ended_runs) {
            write_ended_runs(pool, &how, &ended);
        }
    }

    /// Writes the lines within a round that takes long.
    pub(crate) fn write_if_due(&mut self, pool: &str) {
        if self.written_at.elapsed() >= MAX_DELAY {
            self.write(pool);
        }
    }

    fn write_ended_workers(&mut self, pool: &str) {
        let mut workers_ended = std::mem::take(&mut self.ended_workers);
        if workers_ended.is_empty() {
            return;
        }
        for (worker, runs) in &workers_ended {
            debug!(pool, worker = &**worker, runs; "worker incarnation ended");
        }
        // Busy workers first: whoever traces a task searches for the worker that it ran on.
        workers_ended.sort_by_key(|(_worker, runs)| *runs == 0);
        let busy = workers_ended
            .iter()
            .filter(|(_worker, runs)| *runs > 0)
            .count();
        let workers = first_names(
            workers_ended
                .iter()
                .map(|(worker, _runs)| worker.to_string()),
        );
        info!(pool, count = workers_ended.len(), busy, workers = &*workers; "worker incarnations ended");
    }
}

fn write_ended_runs(pool: &str, how: &str, all: &[EndedRun]) {
    let many = all.len() > MAX_SINGLE_LINES;
    for EndedRun { worker, task, run } in all {
        if many {
            debug!(worker = &**worker, task:% = task, run, how; "run ended without completing its work");
        } else {
            info!(worker = &**worker, task:% = task, run, how; "run ended without completing its work");
        }
    }
    if many {
        let tasks = first_names(all.iter().map(|ended| ended.task.to_string()));
        info!(pool, how, count = all.len(), tasks = &*tasks; "runs ended without completing their work");
    }
}
