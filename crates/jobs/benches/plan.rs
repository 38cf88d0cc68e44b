//! Duration of one plan by the number of instances: `cargo bench -p primroseroute-jobs`.

use criterion::{BatchSize, BenchmarkId, Criterion};
use primroseroute_domain::{id, time::Instant};
use primroseroute_jobs::{Availability, Kind, Limits, Row, Scheduler, Worker};
use primroseroute_platform::task::{Phase, Report, Resources};
use std::{collections::BTreeMap, hint::black_box, time::Duration};

/// Numbers of accounts and pools expected in two years, for 1,200 workers.
const ACCOUNTS: u32 = 140;
const WORKERS_PER_POOL: u32 = 5;
const JOBS_PER_WORKER: u32 = 8;
const SIZES: [u32; 4] = [50, 300, 1_200, 5_000];

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn workers(count: u32) -> BTreeMap<id::Instance, Worker> {
    let worker = |n: u32| Worker {
        id: name(&format!("w{n}")),
        pool: name(&format!("p{}", n / WORKERS_PER_POOL)),
        capacity: Resources {
            cores: 64.0,
            memory: 256e9,
            accelerators: 2.0,
        },
        availability: Availability::Open,
        pressure: 0.2,
    };
    (0..count)
        .map(worker)
        .map(|worker| (worker.id.clone(), worker))
        .collect()
}

fn scheduler(count: u32) -> Scheduler {
    let row = |n: u32| {
        Row::submit(
            name(&format!("j{n}")),
            name(&format!("a{}", n % ACCOUNTS)),
            name(&format!("p{}", n % count / WORKERS_PER_POOL)),
            Kind(format!("k{}", n % 3).into()),
            Resources {
                cores: f64::from(4 + n % 9),
                memory: 20e9,
                accelerators: 0.0,
            },
            Instant(u64::from(n)),
        )
    };
    // No limit on unproven kinds, so that one plan fills all instances.
    let limits = Limits {
        faults: u32::MAX,
        ..Limits::default()
    };
    Scheduler::restore(
        limits,
        (0..count * JOBS_PER_WORKER).map(row),
        Duration::ZERO,
    )
}

/// Reports on every run, so that the next plan has to renew, update and check all of them.
fn reports(scheduler: &Scheduler) -> Vec<Report> {
    let report = |row: &Row| {
        let instance = row.state.instance()?.clone();
        Some(Report {
            job: row.id.clone(),
            instance,
            token: row.token,
            phase: Phase::Running,
            usage: row.declared,
            checkpoint: 0.0,
            as_of: Instant(1),
        })
    };
    scheduler.rows().filter_map(report).collect()
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    let weights = BTreeMap::new();
    let at = Instant(1_000);
    for count in SIZES {
        let workers = workers(count);
        let empty = scheduler(count);
        criterion.bench_with_input(BenchmarkId::new("fill", count), &count, |bench, _| {
            let plan = |mut scheduler: Scheduler| {
                black_box(scheduler.plan(Duration::ZERO, at, &workers, &weights))
            };
            bench.iter_batched(|| empty.clone(), plan, BatchSize::LargeInput);
        });
        let mut busy = empty.clone();
        let started = busy.plan(Duration::ZERO, at, &workers, &weights);
        let reports = reports(&busy);
        println!(
            "{count} workers: {} starts of {} jobs",
            started.actions.len(),
            reports.len()
        );
        let later = Duration::from_secs(5);
        criterion.bench_with_input(BenchmarkId::new("steady", count), &count, |bench, _| {
            let plan = |mut scheduler: Scheduler| {
                scheduler.apply_reports(&reports, later);
                black_box(scheduler.plan(later, at, &workers, &weights))
            };
            bench.iter_batched(|| busy.clone(), plan, BatchSize::LargeInput);
        });
    }
    criterion.final_summary();
}
