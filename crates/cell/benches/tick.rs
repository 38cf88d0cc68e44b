//! Duration of one scheduling round by the number of workers, with 2,000 tasks that wait for capacity:
//! of jobs without an account, and of 20 accounts, some of them waiting for long.

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

/// Time of the round: half of the jobs of accounts have waited for more than 5 s.
const ROUND_AT_MS: u64 = 5_125;

/// A cell with a long queue, in which one worker in ten has free capacity.
fn cell(workers: u64, accounts: u64) -> Cell {
    let mut cell = Cell::new(Limits::new(6_000, 120_000), 0);
    let names: Vec<Name> = (0..accounts)
        .map(|number| format!("a-{number}").into())
        .collect();
    cell.set_account_weights(names.iter().zip(std::iter::repeat(20.0)));
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
    let mut account_names = names.iter().cycle();
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
            account: account_names.next().cloned(),
            objective_ms: if accounts > 0 { 20_000 } else { 2_000 },
            job,
        };
        cell.accept(id, accepted);
    }
    cell
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    group.sample_size(20);
    let kinds = [("full", 0, 2), ("accounts", 20, ROUND_AT_MS)];
    let sizes = |kind| WORKERS.map(|workers| (kind, workers));
    for ((name, accounts, at), workers) in kinds.into_iter().flat_map(sizes) {
        let full = {
            let mut cell = cell(workers, accounts);
            let output = cell.run_round(at - 1, at - 1);
            cell.record_commit(&output, at - 1);
            cell
        };
        group.bench_with_input(BenchmarkId::new(name, workers), &full, |bencher, full| {
            let round = |mut cell: Cell| cell.run_round(at, at);
            bencher.iter_batched(|| full.clone(), round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, tick);
criterion_main!(benches);
