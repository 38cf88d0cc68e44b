//! Time that a pool's scheduling takes per second of a burst: thousands of batch tasks that start and end on hundreds of workers.

mod fixture;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fixture::join;
use primroseroute_cell::{Cell, Limits, Order, Outcome, row::Accepted};
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};
use std::collections::BTreeMap;

/// Numbers of workers of a large pool today, and of one that has borrowed workers from its neighbours.
const WORKERS: [u64; 2] = [270, 430];

/// Arrival rate; each job has two steps of eight tasks.
const JOBS_PER_SECOND: u64 = 300;

/// Time from one round to the next, commit included.
const ROUND_INTERVAL_MS: u64 = 40;

const TASK_DURATION_MS: u64 = 640;

/// A simulated worker.
#[derive(Clone, Default)]
struct Host {
    next: u64,
    running: BTreeMap<TaskId, (u32, u64)>,
    ended: Vec<Ended>,
}

impl Host {
    fn advance(&mut self, now: u64) {
        let finished = self
            .running
            .iter()
            .filter(|(_task, (_run, ends))| *ends <= now);
        let finished: Vec<(TaskId, u32)> = finished
            .map(|(task, (run, _ends))| (task.clone(), *run))
            .collect();
        for (task, run) in finished {
            self.running.remove(&task);
            self.next += 1;
            self.ended.push(Ended {
                number: self.next,
                task,
                run,
                how: End::Done,
                checkpoint: None,
            });
        }
    }

    fn response(&self, now: u64) -> WorkerStatus {
        let running = self.running.iter().map(|(task, (run, _ends))| Running {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: 50,
            load: 0,
        });
        WorkerStatus {
            born: 1,
            clock_ms: now,
            running: running.collect(),
            ended: self.ended.clone(),
            foreign_ends: Vec::new(),
        }
    }
}

/// A pool during a burst.
#[derive(Clone)]
struct Burst {
    cell: Cell,
    hosts: BTreeMap<Name, Host>,
    jobs: u64,
    starts: u64,
    now: u64,
}

fn step(after: Vec<u16>) -> Step {
    Step {
        count: 8,
        demand: Demand {
            cpu: 8_900,
            memory: 33_000,
            accelerators: 0,
        },
        estimate_ms: TASK_DURATION_MS,
        after,
        ..Step::default()
    }
}

impl Burst {
    fn new(workers: u64) -> Self {
        let mut cell = Cell::new(Limits::new(6_000, 120_000), 0);
        let mut hosts = BTreeMap::new();
        for number in 0..workers {
            let id: Name = format!("habesha-stay-{number:04}").into();
            let capacity = Demand {
                cpu: 64_000,
                memory: 262_144,
                accelerators: 0,
            };
            let labels = ["a".into(), format!("r-{}", number / 8).into()].into();
            join(&mut cell, &id, capacity, labels);
            hosts.insert(id, Host::default());
        }
        Self {
            cell,
            hosts,
            jobs: 0,
            starts: 0,
            now: 0,
        }
    }

    fn accept(&mut self) {
        let due = self.now * JOBS_PER_SECOND / 1_000;
        while self.jobs < due {
            self.jobs += 1;
            let mixed = self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let id = JobId::parse(&format!("{mixed:016x}")).expect("16 digits");
            let job = Job {
                payload: "text".into(),
                steps: vec![step(Vec::new()), step(vec![0])],
                schedule: None,
            };
            let accepted = Accepted {
                queue: "queue".into(),
                pool: "pool".into(),
                at_ms: self.now,
                priority: 0,
                max_attempts: 3,
                account: None,
                objective_ms: 2_600,
                job,
            };
            self.cell.accept(id, accepted);
        }
    }

    /// Polls the workers with ended runs; each response is processed on its own, as during a commit.
    fn poll_all(&mut self) {
        let now = self.now;
        for (id, host) in &mut self.hosts {
            host.advance(now);
            if host.ended.is_empty() {
                continue;
            }
            self.cell
                .apply_status(id, &host.response(now), now, now, now);
            host.ended.clear();
            self.cell.immediate_stops(now);
        }
    }

    fn round(&mut self) {
        self.now += ROUND_INTERVAL_MS;
        let now = self.now;
        self.accept();
        self.cell.advance_feed_watermark(now);
        self.poll_all();
        let mut output = self.cell.run_round(now, now);
        self.cell.record_commit(&output, now);
        let orders = std::mem::take(&mut output.orders);
        let (orders, _withdrawn) = self.cell.revalidate(orders, now);
        for order in orders {
            let Order::Start {
                worker, task, run, ..
            } = order
            else {
                continue;
            };
            self.starts += 1;
            self.cell
                .record_start_outcome(&worker, &task, run, Outcome::Started, now);
            let host = self.hosts.get_mut(&worker).expect("a known worker");
            host.running.insert(task, (run, now + TASK_DURATION_MS));
        }
    }
}

fn turn(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("turn");
    group.sample_size(10);
    for workers in WORKERS {
        let mut busy = Burst::new(workers);
        while busy.now < 2_000 {
            busy.round();
        }
        let second = |mut burst: Burst| {
            let until = burst.now + 1_000;
            while burst.now < until {
                burst.round();
            }
            burst
        };
        let starts = second(busy.clone()).starts - busy.starts;
        group.throughput(criterion::Throughput::Elements(starts));
        group.bench_with_input(
            BenchmarkId::new("second", workers),
            &busy,
            |bencher, busy| {
                bencher.iter_batched(|| busy.clone(), second, BatchSize::LargeInput);
            },
        );
    }
    group.finish();
}

criterion_group!(benches, turn);
criterion_main!(benches);
