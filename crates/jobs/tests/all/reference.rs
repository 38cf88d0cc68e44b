//! Fair assignment compared with a naive reference implementation that recomputes every share for
//! every start.

use crate::simulation::name;
use primroseroute_domain::{id, time::Instant};
use primroseroute_jobs::{Action, Availability, Kind, Limits, Row, Scheduler, Worker};
use primroseroute_platform::task::Resources;
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
struct Case {
    /// Cores and memory of each instance.
    workers: Vec<(u8, u8)>,
    weights: Vec<u8>,
    /// Account, cores, memory and submission time of each job.
    jobs: Vec<(u8, u8, u8, u8)>,
    closed: Vec<bool>,
}

fn case() -> impl Strategy<Value = Case> {
    let workers = vec((1..12_u8, 1..12_u8), 1..6);
    let weights = vec(1..5_u8, 4);
    let jobs = vec((0..4_u8, 0..10_u8, 0..10_u8, any::<u8>()), 0..40);
    let closed = vec(any::<bool>(), 6);
    (workers, weights, jobs, closed).prop_map(|(workers, weights, jobs, closed)| Case {
        workers,
        weights,
        jobs,
        closed,
    })
}

fn amount(cores: u8, memory: u8) -> Resources {
    Resources {
        cores: cores.into(),
        memory: memory.into(),
        accelerators: 0.0,
    }
}

fn workers(case: &Case) -> BTreeMap<id::Instance, Worker> {
    let worker = |(n, (cores, memory)): (usize, &(u8, u8))| Worker {
        id: name(&format!("w{n}")),
        pool: name("pool"),
        capacity: amount(*cores, *memory),
        availability: if case.closed[n] {
            Availability::Closed
        } else {
            Availability::Open
        },
        pressure: 0.0,
    };
    let workers = case.workers.iter().enumerate().map(worker);
    workers.map(|worker| (worker.id.clone(), worker)).collect()
}

/// Each job has a kind of its own and the limits on faults are wide, so that only fairness and free
/// capacity decide.
fn rows(case: &Case) -> Vec<Row> {
    let row = |(n, job): (usize, &(u8, u8, u8, u8))| {
        let (account, cores, memory, submitted) = *job;
        Row::submit(
            name(&format!("j{n:03}")),
            name(&format!("a{account}")),
            name("pool"),
            Kind(format!("k{n}").into()),
            amount(cores, memory),
            Instant(submitted.into()),
        )
    };
    case.jobs.iter().enumerate().map(row).collect()
}

fn limits() -> Limits {
    Limits {
        faults: 1000,
        ..Limits::default()
    }
}

fn weights(case: &Case) -> BTreeMap<id::Account, u32> {
    let weight = |(n, weight): (usize, &u8)| (name(&format!("a{n}")), u32::from(*weight));
    case.weights.iter().enumerate().map(weight).collect()
}

fn scheduled(case: &Case) -> Vec<(String, String)> {
    let mut scheduler = Scheduler::restore(limits(), rows(case), Duration::ZERO);
    let plan = scheduler.plan(Duration::ZERO, Instant(300), &workers(case), &weights(case));
    let start = |action: &Action| match action {
        Action::Start(start) => (start.job.to_string(), start.instance.to_string()),
        other => panic!("unexpected {other:?}"),
    };
    plan.actions.iter().map(start).collect()
}

type Resource = fn(&Resources) -> f64;

fn cores(amount: &Resources) -> f64 {
    amount.cores
}

fn memory(amount: &Resources) -> f64 {
    amount.memory
}

/// For every start anew: considers all accounts by current share, all their jobs by age and all
/// instances by the capacity that would be left, and takes the first match.
fn reference(case: &Case) -> Vec<(String, String)> {
    let workers = workers(case);
    let weights = weights(case);
    let mut rows = rows(case);
    rows.sort_by(|a, b| (a.submitted, &a.id).cmp(&(b.submitted, &b.id)));
    let mut placed: Vec<(Row, Resources, id::Instance)> = Vec::new();
    let most = |f: Resource| workers.values().map(|w| f(&w.capacity)).fold(0.0, f64::max);
    let sum = |f: Resource| workers.values().map(|w| f(&w.capacity)).sum::<f64>();
    loop {
        let used = |by: &dyn Fn(&Row, &id::Instance) -> bool, f: Resource| {
            let mine = placed.iter().filter(|(row, _, at)| by(row, at));
            mine.map(|(_, size, _)| f(size))
                .fold(0.0, |sum, size| sum + size)
        };
        let share = |account: &id::Account| {
            let by = |row: &Row, _: &id::Instance| row.account == *account;
            let part = (used(&by, cores) / sum(cores)).max(used(&by, memory) / sum(memory));
            part / f64::from(weights[account])
        };
        let mut accounts: Vec<&id::Account> = weights.keys().collect();
        accounts.sort_by(|a, b| share(a).total_cmp(&share(b)).then(a.cmp(b)));
        let fit = |row: &Row| {
            let (c, m) = (
                row.declared.cores.min(most(cores)),
                row.declared.memory.min(most(memory)),
            );
            let left = |worker: &Worker| {
                let by = |_: &Row, at: &id::Instance| *at == worker.id;
                let c = worker.capacity.cores - used(&by, cores) - c;
                let m = worker.capacity.memory - used(&by, memory) - m;
                (c >= 0.0 && m >= 0.0)
                    .then(|| (c / worker.capacity.cores).max(m / worker.capacity.memory))
            };
            let open = workers
                .values()
                .filter(|w| w.availability == Availability::Open);
            let candidates = open.filter_map(|w| left(w).map(|left| (left, w)));
            let best = candidates.min_by(|a, b| a.0.total_cmp(&b.0));
            best.map(|(_, w)| {
                (
                    Resources {
                        cores: c,
                        memory: m,
                        accelerators: 0.0,
                    },
                    w.id.clone(),
                )
            })
        };
        let next = accounts.iter().find_map(|account| {
            let mut mine = rows.iter().filter(|row| row.account == **account);
            mine.find_map(|row| fit(row).map(|(size, at)| (row.clone(), size, at)))
        });
        let Some((row, size, at)) = next else {
            return placed
                .iter()
                .map(|(row, _, at)| (row.id.to_string(), at.to_string()))
                .collect();
        };
        rows.retain(|other| other.id != row.id);
        placed.push((row, size, at));
    }
}

#[test]
fn assignment_matches_the_reference_implementation() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&case(), |case| {
        proptest::prop_assert_eq!(scheduled(&case), reference(&case));
        Ok(())
    });
    run.expect("the assignment matches the reference implementation");
}
