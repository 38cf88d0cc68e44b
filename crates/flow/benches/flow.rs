//! CPU cost of the pool's decisions: choosing a worker, handling a request, applying reports and views.

use criterion::{Criterion, criterion_group, criterion_main};
use primroseroute_domain::{account::Class, instance::State};
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    request::{Arrival, AttemptOutcome},
    view::{Member, View},
    worker::{Preferences, Set},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{fmt::Debug, hint::black_box, str::FromStr, time::Duration};

const WORKERS: [usize; 4] = [50, 300, 1_200, 5_000];

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("benchmark names are valid")
}

fn view(workers: usize, entries: usize) -> View {
    let member = |at: usize| Member {
        state: State::Serving,
        zone: name(&format!("zone-{}", at % 3)),
        rack: name(&format!("rack-{}", at / 4)),
    };
    View {
        members: (0..workers)
            .map(|at| (name(&format!("w{at}")), member(at)))
            .collect(),
        entries: (0..entries).map(|at| name(&format!("e{at}"))).collect(),
        ..View::default()
    }
}

/// Chooses a worker and occupies one of its slots, which is released before the next iteration.
fn choose_worker(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice");
    for workers in WORKERS {
        let mut set = Set::default();
        for (id, member) in view(workers, 7).members {
            let index = set.upsert(&id, member);
            set.change(index, |worker| worker.quota = 2);
        }
        let mut random = ChaCha8Rng::seed_from_u64(7);
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                let preferences = Preferences {
                    idempotent: true,
                    tried: &[],
                };
                let index = set
                    .choose(preferences, &mut random)
                    .expect("a slot is free");
                set.change(index, |worker| worker.in_flight += 1);
                set.change(index, |worker| worker.in_flight -= 1);
                black_box(index)
            });
        });
    }
}

fn build_pool(workers: usize) -> Pool {
    let mut pool = Pool::new(name("e0"), 1, Limits::default(), 7);
    pool.apply_view(Duration::ZERO, &view(workers, 7));
    pool
}

fn arrival(request: u64, now: Duration) -> Arrival {
    Arrival {
        request,
        account: name("gojo"),
        service: name("stay"),
        class: Class::Urgent,
        deadline: now + Duration::from_secs(1),
        idempotent: true,
    }
}

const SUCCESS: AttemptOutcome = AttemptOutcome::Responded {
    latency: Duration::from_millis(5),
    failure: false,
};

/// A request arrives and finishes while a third of the slots are in use.
fn arrive_and_finish(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrive-and-finish");
    for workers in WORKERS {
        let mut pool = build_pool(workers);
        let mut request = 0;
        for _ in 0..workers / 3 {
            request += 1;
            pool.arrive(Duration::ZERO, arrival(request, Duration::ZERO));
        }
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                request += 1;
                let now = Duration::from_micros(request);
                black_box(pool.arrive(now, arrival(request, now)));
                black_box(pool.finish(now, request, SUCCESS))
            });
        });
    }
}

/// A request arrives and queues, and is sent when another one finishes.
fn arrive_wait_finish(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrive-wait-finish");
    for workers in WORKERS {
        let mut pool = build_pool(workers);
        let mut request = 0;
        while pool.waiting() < 20 {
            request += 1;
            pool.arrive(Duration::ZERO, arrival(request, Duration::ZERO));
        }
        let mut oldest = 0;
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                request += 1;
                oldest += 1;
                let now = Duration::from_nanos(request);
                black_box(pool.arrive(now, arrival(request, now)));
                black_box(pool.finish(now, oldest, SUCCESS))
            });
        });
    }
}

/// Applies a peer's report and makes an own one.
fn exchange_reports(c: &mut Criterion) {
    let mut group = c.benchmark_group("peer-and-report");
    for workers in WORKERS {
        let mut pool = build_pool(workers);
        let mut peer = Pool::new(name("e1"), 1, Limits::default(), 7);
        peer.apply_view(Duration::ZERO, &view(workers, 7));
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                let report = peer.report(Duration::ZERO);
                black_box(pool.apply_reports(Duration::ZERO, &[report]));
                black_box(pool.report(Duration::ZERO))
            });
        });
    }
}

/// Applies a view in which one instance has changed.
fn apply_views(c: &mut Criterion) {
    let mut group = c.benchmark_group("sync");
    for workers in WORKERS {
        let mut pool = build_pool(workers);
        let serving = view(workers, 7);
        let mut draining = serving.clone();
        let first = draining
            .members
            .values_mut()
            .next()
            .expect("the view has members");
        first.state = State::Draining;
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                pool.apply_view(Duration::ZERO, &draining);
                pool.apply_view(Duration::ZERO, &serving);
            });
        });
    }
}

criterion_group!(
    benches,
    choose_worker,
    arrive_and_finish,
    arrive_wait_finish,
    exchange_reports,
    apply_views
);
criterion_main!(benches);
