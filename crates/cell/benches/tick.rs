//! Duration of one scheduling round by the number of workers, with 2,000 tasks that wait for capacity.

mod fixture;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fixture::join;
use primroseroute_cell::{Cell, Limits, row::Accepted};
use primroseroute_domain::work::{Demand, Job, JobId, Name, Step};

/// Number of waiting tasks.
const WAITING_TASKS: u64 = 2_000;

/// Number of tasks per job.
const TASKS_PER_JOB: u64 = 8;

/// Numbers of workers up to those of the largest site planned today, and of the size expected in two years.
const WORKERS: [u64; 4] = [12, 50, 350, 1_200];

/// A cell with a long queue, in which one worker in ten has free capacity.
fn cell(workers: u64) -> Cell {
    let mut cell = Cell::new(Limits::new(6_000, 120_000), 0);
    for number in 0..workers {
        let id: Name = format!("w-{number}").into();
        let cpu = if number % 10 == 0 { 4_000 } else { 500 };
        let capacity = Demand {
            cpu,
            memory: 64_000,
            accelerators: 0,
        };
        join(&mut cell, &id, capacity, ["a".into()].into());
    }
    for number in 0..WAITING_TASKS / TASKS_PER_JOB {
        let id = JobId::parse(&format!("{number:016x}")).expect("16 digits");
        let step = Step {
            count: 8,
            demand: Demand {
                cpu: 1_000 + number,
                memory: 100,
                accelerators: 0,
            },
            estimate_ms: 800,
            ..Step::default()
        };
        let job = Job {
            payload: "text".into(),
            steps: vec![step],
            schedule: None,
        };
        let accepted = Accepted {
            queue: "queue".into(),
            pool: "pool".into(),
            at_ms: number,
            priority: 0,
            max_attempts: 3,
            account: None,
            objective_ms: 2_000,
            job,
        };
        cell.accept(id, accepted);
    }
    cell
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    group.sample_size(20);
    for workers in WORKERS {
        let full = {
            let mut cell = cell(workers);
            let output = cell.run_round(1, 1);
            cell.record_commit(&output, 1);
            cell
        };
        group.bench_with_input(BenchmarkId::new("full", workers), &full, |bencher, full| {
            let round = |mut cell: Cell| cell.run_round(2, 2);
            bencher.iter_batched(|| full.clone(), round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, tick);
criterion_main!(benches);
