//! Costs of the decisions.

use criterion::{Criterion, criterion_group, criterion_main};
use primroseroute_domain::{account::Class, instance::State};
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    request::{Arrival, Ending},
    view::{Member, View},
};
use std::{fmt::Debug, hint::black_box, str::FromStr, time::Duration};

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("test names are valid")
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

fn turnover(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrive-and-finish");
    for workers in [50, 300, 1_200, 5_000] {
        let mut pool = Pool::new(name("e0"), 1, Limits::default(), 7);
        pool.sync(Duration::ZERO, &view(workers, 7));
        let mut request = 0;
        group.bench_function(workers.to_string(), |b| {
            b.iter(|| {
                request += 1;
                let now = Duration::from_micros(request);
                let arrival = Arrival {
                    request,
                    account: name("gojo"),
                    service: name("stay"),
                    class: Class::Urgent,
                    deadline: now + Duration::from_secs(1),
                    idempotent: true,
                };
                black_box(pool.arrive(now, arrival));
                let latency = Duration::from_millis(5);
                let ending = Ending::Answered {
                    latency,
                    failure: false,
                };
                black_box(pool.finish(now, request, ending));
            });
        });
    }
}

criterion_group!(benches, turnover);
criterion_main!(benches);
