//! Time that a list of a worker's runs takes with and without the observation of their speed, and that of a round while
//! some workers are slow.

mod fixture;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fixture::join;
use primroseroute_cell::{Cell, Limits, Order, Outcome, row::Accepted};
use primroseroute_domain::work::{Demand, Job, JobId, Name, Step, TaskId};
use primroseroute_platform::worker::{Running, WorkerStatus};
use std::collections::BTreeMap;

const WORKERS: u64 = 350;

/// Number of runs on each worker; each list shows all of them.
const RUNS_PER_WORKER: u64 = 10;

/// Number of tasks per job.
const TASKS_PER_JOB: u16 = 50;

/// One worker in this many is slow.
const WORKERS_PER_SLOW: u64 = 12;

/// Progress in percent from one list to the next, on a normal and on a slow worker.
const PROGRESS: [u32; 2] = [20, 3];

/// A pool whose workers are full.
struct Pool {
    cell: Cell,
    runs: BTreeMap<Name, Vec<(TaskId, u32)>>,
}

fn pool(worker_speed: bool) -> Pool {
    let limits = Limits {
        worker_speed,
        ..Limits::new(6_000, 120_000)
    };
    let mut cell = Cell::new(limits, 0);
    let capacity = Demand {
        cpu: 1_000 * RUNS_PER_WORKER,
        memory: 64_000,
        accelerators: 0,
    };
    for number in 0..WORKERS {
        let id: Name = format!("w-{number}").into();
        join(&mut cell, &id, capacity, ["a".into()].into());
    }
    for number in 0..WORKERS * RUNS_PER_WORKER / u64::from(TASKS_PER_JOB) {
        let id = JobId::parse(&format!("{number:016x}")).expect("16 digits");
        let step = Step {
            count: TASKS_PER_JOB,
            demand: Demand {
                cpu: 1_000,
                memory: 100,
                accelerators: 0,
            },
            estimate_ms: 5_000,
            ..Step::default()
        };
        let accepted = Accepted {
            queue: "queue".into(),
            pool: "pool".into(),
            at_ms: 0,
            priority: 0,
            max_attempts: 3,
            account: None,
            objective_ms: 20_000,
            job: Job {
                payload: "text".into(),
                steps: vec![step],
                schedule: None,
            },
        };
        cell.accept(id, accepted);
    }
    cell.advance_feed_watermark(1);
    let output = cell.run_round(1, 1);
    cell.record_commit(&output, 1);
    let mut runs: BTreeMap<Name, Vec<(TaskId, u32)>> = BTreeMap::new();
    for order in output.orders {
        if let Order::Start {
            worker, task, run, ..
        } = order
        {
            cell.record_start_outcome(&worker, &task, run, Outcome::Started, 1);
            runs.entry(worker).or_default().push((task, run));
        }
    }
    Pool { cell, runs }
}

/// The `number`th list of each worker, with its time.
fn lists(pool: &Pool, number: u32) -> Vec<(Name, WorkerStatus, u64)> {
    let lists = (0..).zip(&pool.runs).map(|(worker, (id, runs))| {
        let is_slow = worker % WORKERS_PER_SLOW == 0;
        let running = runs.iter().map(|(task, run)| Running {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: number * PROGRESS[usize::from(is_slow)],
            load: 0,
        });
        let at = u64::from(number) * 1_000 + worker;
        let list = WorkerStatus {
            born: 1,
            clock_ms: at,
            running: running.collect(),
            ended: Vec::new(),
            foreign_ends: Vec::new(),
        };
        (Name::clone(id), list, at)
    });
    lists.collect()
}

fn apply(cell: &mut Cell, lists: &[(Name, WorkerStatus, u64)]) {
    for (worker, list, at) in lists {
        cell.apply_status(worker, list, at - 1, *at, *at);
    }
}

fn speed(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("speed");
    group.sample_size(20);
    for worker_speed in [false, true] {
        let mut pool = pool(worker_speed);
        for number in 1..=2 {
            let lists = lists(&pool, number);
            apply(&mut pool.cell, &lists);
        }
        let third = lists(&pool, 3);
        let label = if worker_speed { "observed" } else { "off" };
        group.throughput(criterion::Throughput::Elements(WORKERS * RUNS_PER_WORKER));
        group.bench_function(BenchmarkId::new("lists", label), |bencher| {
            let apply = |mut cell: Cell| {
                apply(&mut cell, &third);
                cell
            };
            bencher.iter_batched(|| pool.cell.clone(), apply, BatchSize::LargeInput);
        });
        apply(&mut pool.cell, &third);
        pool.cell.run_round(3_500, 3_500);
        group.bench_function(BenchmarkId::new("round", label), |bencher| {
            let round = |mut cell: Cell| (cell.run_round(3_600, 3_600), cell);
            bencher.iter_batched(|| pool.cell.clone(), round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, speed);
criterion_main!(benches);
