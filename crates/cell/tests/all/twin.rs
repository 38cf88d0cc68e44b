//! Placement against a naive twin: one that looks at every worker for every task, again and again.
//!
//! Both must agree on what is left waiting: a task waits only if no worker that takes something new
//! has room for it. And no worker is ever over its capacity, whatever is drawn.

use crate::bed::{Bed, CAPACITY, job, starts, step};
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
        let mut bed = Bed::new(&ids);
        let mut demands = BTreeMap::new();
        for (count, cpu) in &tasks {
            let id = bed.accept(job(vec![step(*count, *cpu)]));
            demands.insert(id, (*count, *cpu));
        }
        let mut rooms: BTreeMap<Name, Demand> =
            ids.iter().map(|id| (Name::from(*id), CAPACITY)).collect();
        let mut started: BTreeMap<_, u16> = BTreeMap::new();
        for (task, worker) in starts(&bed.tick()) {
            let (_count, cpu) = demands[&task.job];
            let room = rooms.get_mut(&worker).expect("a known worker");
            let demand = step(1, cpu).demand;
            prop_assert!(demand.fits(*room), "{worker} is over its capacity");
            *room = room.minus(demand);
            *started.entry(task.job).or_default() += 1;
        }
        for (id, (count, cpu)) in &demands {
            let waiting = count - started.get(id).copied().unwrap_or(0);
            let demand = step(1, *cpu).demand;
            let fits = rooms.values().any(|room| demand.fits(*room));
            prop_assert!(waiting == 0 || !fits, "a task of {cpu} waits beside {rooms:?}");
        }
    }

    // A turn of short tasks over many workers: wide room is left for wide tasks.
    #[test]
    fn each_task_takes_the_tightest_room(
        tasks in prop::collection::vec((1_u16..9, 200_u64..5_000, 50_u64..4_000), 1..20),
        workers in 1_usize..9,
    ) {
        let names: Vec<String> = (0..workers).map(|number| format!("w-{number}")).collect();
        let ids: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut bed = Bed::new(&ids);
        let mut demands = BTreeMap::new();
        for (count, cpu, memory) in &tasks {
            let mut step = step(*count, *cpu);
            step.demand.memory = *memory;
            demands.insert(bed.accept(job(vec![step.clone()])), step.demand);
        }
        let mut rooms: BTreeMap<Name, Demand> =
            ids.iter().map(|id| (Name::from(*id), CAPACITY)).collect();
        for (task, worker) in starts(&bed.tick()) {
            let demand = demands[&task.job];
            let fitting = rooms.iter().filter(|(_id, room)| demand.fits(**room));
            let tightest = fitting.min_by_key(|(_id, room)| room.cpu);
            let tightest = tightest.map(|(id, _room)| Name::clone(id));
            prop_assert_eq!(Some(&worker), tightest.as_ref());
            let room = rooms.get_mut(&worker).expect("a known worker");
            *room = room.minus(demand);
        }
    }
}
