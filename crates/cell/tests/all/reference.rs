//! Placement compared with a naive reference implementation that checks every worker for every task.
//!
//! Both must agree on which tasks are left waiting: a task waits only if no worker that accepts new
//! tasks has free capacity for it. No generated input may put a worker over its capacity.

use crate::fixture::{CAPACITY, Fixture, job, starts, step};
use primroseroute_domain::work::{Demand, Name};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_that_fits_is_left_waiting(
        tasks in prop::collection::vec((1_u16..5, 200_u64..9_000), 1..12),
        workers in 1_usize..5,
    ) {
        let names: Vec<String> = (0..workers).map(|number| format!("w-{number}")).collect();
        let ids: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut fixture = Fixture::new(&ids);
        let mut demands = BTreeMap::new();
        for (count, cpu) in &tasks {
            let id = fixture.accept(job(vec![step(*count, *cpu)]));
            demands.insert(id, (*count, *cpu));
        }
        let mut free_by_worker: BTreeMap<Name, Demand> =
            ids.iter().map(|id| (Name::from(*id), CAPACITY)).collect();
        let mut started: BTreeMap<_, u16> = BTreeMap::new();
        for (task, worker) in starts(&fixture.execute_round()) {
            let (_count, cpu) = demands[&task.job];
            let free = free_by_worker.get_mut(&worker).expect("a known worker");
            let demand = step(1, cpu).demand;
            prop_assert!(demand.fits(*free), "{worker} is over its capacity");
            *free = free.minus(demand);
            *started.entry(task.job).or_default() += 1;
        }
        for (id, (count, cpu)) in &demands {
            let waiting = count - started.get(id).copied().unwrap_or(0);
            let demand = step(1, *cpu).demand;
            let fits = free_by_worker.values().any(|free| demand.fits(*free));
            prop_assert!(waiting == 0 || !fits, "a task of {cpu} waits beside {free_by_worker:?}");
        }
    }

    // A burst of short tasks over many workers: the largest free capacity is left for large tasks.
    #[test]
    fn each_task_takes_the_tightest_fit(
        tasks in prop::collection::vec((1_u16..9, 200_u64..5_000, 50_u64..4_000), 1..20),
        workers in 1_usize..9,
    ) {
        let names: Vec<String> = (0..workers).map(|number| format!("w-{number}")).collect();
        let ids: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut fixture = Fixture::new(&ids);
        let mut demands = BTreeMap::new();
        for (count, cpu, memory) in &tasks {
            let mut step = step(*count, *cpu);
            step.demand.memory = *memory;
            demands.insert(fixture.accept(job(vec![step.clone()])), step.demand);
        }
        let mut free_by_worker: BTreeMap<Name, Demand> =
            ids.iter().map(|id| (Name::from(*id), CAPACITY)).collect();
        for (task, worker) in starts(&fixture.execute_round()) {
            let demand = demands[&task.job];
            let fitting = free_by_worker.iter().filter(|(_id, free)| demand.fits(**free));
            let tightest = fitting.min_by_key(|(_id, free)| free.cpu);
            let tightest = tightest.map(|(id, _room)| Name::clone(id));
            prop_assert_eq!(Some(&worker), tightest.as_ref());
            let free = free_by_worker.get_mut(&worker).expect("a known worker");
            *free = free.minus(demand);
        }
    }
}
