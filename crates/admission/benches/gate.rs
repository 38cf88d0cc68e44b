//! Time of one decision of a gateway, with 20 accounts and four pools.

use criterion::{Criterion, criterion_group, criterion_main};
use primroseroute_admission::{
    Gate, PoolLoad,
    gate::{Figures, Published, Size, Submission},
};
use primroseroute_domain::work::{Demand, JobId, Name};
use std::hint::black_box;

const ACCOUNTS: usize = 20;

const POOLS: usize = 4;

fn names(prefix: &str, count: usize) -> Vec<Name> {
    let numbers = 0..count;
    numbers
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}

/// Decides about jobs of all accounts and pools in turn, with figures of this age.
fn decide(criterion: &mut Criterion, name: &str, age_ms: u64) {
    let accounts = names("account", ACCOUNTS);
    let pools = names("pool", POOLS);
    let load = PoolLoad {
        format: PoolLoad::FORMAT,
        owner: 1,
        rate_cpu: 500_000,
        within_wait_ms: 700,
        beyond_wait_ms: 2_000,
        within_permille: accounts
            .iter()
            .map(|name| (Name::clone(name), 500))
            .collect(),
        largest_worker: Demand {
            cpu: 64_000,
            memory: 256_000,
            accelerators: 8,
        },
    };
    let size = Size {
        chain_ms: 1_000,
        objective_ms: 2_200,
        work_core_ms: 1,
        largest_task: Demand {
            cpu: 2_000,
            ..Demand::default()
        },
    };
    let ids = (0..1_000_u64).map(|number| JobId::parse(&format!("{number:016x}")));
    let ids: Vec<JobId> = ids.map(|id| id.expect("16 digits")).collect();
    let mut gate = Gate::default();
    let mut turn = 0_usize;
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            turn += 1;
            let submission = Submission {
                account: Some(&accounts[turn % ACCOUNTS]),
                weight: 100.0,
                pool: &pools[turn % POOLS],
                id: &ids[turn % ids.len()],
            };
            let published = Published {
                load: &load,
                version: 1,
                age_ms,
            };
            let figures = Figures {
                published: Some(published),
                confirmed_ms: Some(0),
            };
            gate.decide(black_box(&submission), &size, figures, turn as u64)
        });
    });
}

fn benchmark(criterion: &mut Criterion) {
    decide(criterion, "decision/fresh", 100);
    decide(criterion, "decision/old", 6_000);
}

criterion_group!(benches, benchmark);
criterion_main!(benches);
