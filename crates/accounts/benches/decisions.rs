//! Durations of the decisions about client accounts, with 20 accounts.

use criterion::{Criterion, criterion_group, criterion_main};
use primroseroute_accounts::{
    budget::{Budget, Usage, User},
    entitlement::Entitlements,
    key::{Digest, Ring},
    meter::{Charge, Limit, Meter},
};
use primroseroute_domain::work::{Demand, Name};
use std::hint::black_box;

const ACCOUNTS: usize = 20;

const KEYS_PER_ACCOUNT: usize = 2;

const POOLS: u64 = 4;

const RUNNING_TASKS: u64 = 2_000;

fn names() -> Vec<Name> {
    let names = (0..ACCOUNTS).map(|number| format!("account-{number}").into());
    names.collect()
}

fn demand(cores: u64) -> Demand {
    Demand {
        cpu: cores * 1_000,
        memory: cores * 4_096,
        accelerators: 0,
    }
}

fn key(criterion: &mut Criterion) {
    let mut ring = Ring::default();
    for name in names() {
        for number in 0..KEYS_PER_ACCOUNT {
            let key = format!("{name}-key-{number}-0123456789abcdef");
            ring.add(Digest::of(key.as_bytes()), Name::clone(&name));
        }
    }
    let key = "account-13-key-1-0123456789abcdef";
    criterion.bench_function("key", |bencher| {
        bencher.iter(|| ring.find(&Digest::of(black_box(key).as_bytes())).is_some());
    });
}

/// A pool that needs more than it holds, while another one wants more as well.
fn budget(criterion: &mut Criterion) {
    let pools: Vec<Name> = (0..POOLS)
        .map(|number| format!("pool-{number}").into())
        .collect();
    let maximum = demand(400);
    let user = |pool| User {
        pool,
        token: 7,
        configuration: 1,
        maximum,
    };
    let usage = |used, refused| Usage {
        used: demand(used),
        refused: demand(refused),
    };
    let mut row = Budget::new(&user(&pools[0]), pools.iter());
    for (pool, refused) in pools.iter().zip([0, 0, 0, 90]) {
        let next = row.decide(&user(pool), usage(60, refused));
        row = next.unwrap_or(row);
    }
    let user = user(&pools[0]);
    let usage = usage(150, 50);
    criterion.bench_function("budget", |bencher| {
        bencher.iter(|| {
            let room = black_box(&row).room(&user);
            (room, row.decide(&user, black_box(usage)))
        });
    });
}

/// A round counts what runs and decides on the budgets of all accounts.
fn meter(criterion: &mut Criterion) {
    let names = names();
    let mut meter = Meter::default();
    meter.set_weights(names.iter().zip((1..).map(f64::from)));
    let limit = Limit {
        room: demand(400),
        maximum: demand(800),
    };
    let limits = names.iter().map(|name| (Name::clone(name), limit));
    meter.set_limits(&limits.collect());
    let charges = (0..RUNNING_TASKS).zip(names.iter().cycle());
    let charges = charges.map(|(number, name)| Charge {
        account: meter.index(name),
        demand: demand(1 + number % 8),
    });
    let charges: Vec<Charge> = charges.collect();
    criterion.bench_function("meter", |bencher| {
        bencher.iter(|| {
            meter.recount(demand(20_000), black_box(&charges).iter().copied());
            meter.is_beyond_share(charges[0].account)
        });
    });
}

fn entitlement(criterion: &mut Criterion) {
    let names = names();
    let mut accounts = Entitlements::default();
    accounts.set_weights(names.iter().zip((1..).map(f64::from)));
    let mut at_ms = 0;
    criterion.bench_function("entitlement", |bencher| {
        bencher.iter(|| {
            at_ms += 5;
            accounts.mark(black_box(&names[13]), at_ms)
        });
    });
}

criterion_group!(benches, key, budget, meter, entitlement);
criterion_main!(benches);
