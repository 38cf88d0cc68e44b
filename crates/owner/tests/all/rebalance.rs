//! Moves that the owners of all pools decide on independently, compared with a planner that sees
//! them all.

use primroseroute_cell::row::DesiredWorkers;
use primroseroute_domain::work::Name;
use primroseroute_owner::rebalance::{Move, MoveInputs, Pool, moves};
use primroseroute_platform::site::{Instance, InstanceState};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const STANDBY: &str = "off";

/// A fleet in which every instance is up and may be ordered; nothing runs anywhere.
struct Fleet {
    pools: BTreeMap<Name, Pool>,
    instances: Vec<Instance>,
    blocked: BTreeSet<Name>,
    refused: BTreeSet<(Name, Name)>,
    lasting: BTreeMap<Name, usize>,
    runs: BTreeMap<Name, usize>,
    /// Number of its instances below which a pool switches none off.
    scale_down_floor: u64,
}

impl Fleet {
    /// Pools with what they have and what they want; the standby pool has `off`.
    fn new(pools: &[(u64, u64)], off: u64) -> Self {
        let mut fleet = Self {
            pools: BTreeMap::new(),
            instances: Vec::new(),
            blocked: BTreeSet::new(),
            refused: BTreeSet::new(),
            lasting: BTreeMap::new(),
            runs: BTreeMap::new(),
            scale_down_floor: 0,
        };
        for (number, &(has, wanted)) in pools.iter().enumerate() {
            let name = format!("p-{number}");
            fleet.add(&name, has, Some(wanted), false);
        }
        fleet.add(STANDBY, off, None, true);
        fleet
    }

    fn add(&mut self, pool: &str, has: u64, wanted: Option<u64>, standby: bool) {
        let need = wanted.map(|workers| DesiredWorkers {
            workers,
            now: workers,
            soon: workers,
            late: 0,
        });
        self.pools.insert(pool.into(), Pool { need, standby });
        for number in 0..has {
            let name = format!("{pool}-{number}");
            let worker = (!standby).then(|| Name::from(format!("w-{name}")));
            if let Some(worker) = &worker {
                self.lasting.insert(Name::clone(worker), 0);
            }
            self.instances.push(Instance {
                name: name.into(),
                pool: pool.into(),
                state: InstanceState::Up,
                worker,
                capacity: None,
                labels: Vec::new(),
            });
        }
    }

    fn moves_of(&self, pool: &str) -> Vec<Move> {
        moves(&MoveInputs {
            pool: &pool.into(),
            pools: &self.pools,
            instances: &self.instances,
            blocked: &self.blocked,
            refused: &self.refused,
            evacuating: &BTreeSet::new(),
            runs: &self.runs,
            lasting: &self.lasting,
            scale_down_floor: self.scale_down_floor,
        })
    }

    fn all_moves(&self) -> Vec<Move> {
        let pools = self.pools.keys();
        pools.flat_map(|pool| self.moves_of(pool)).collect()
    }

    fn count(&self, pool: &str) -> u64 {
        let own = self.instances.iter().filter(|known| &*known.pool == pool);
        own.count() as u64
    }
}

/// Number of moves by target.
fn targets(moves: &[Move]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for wanted in moves {
        *counts.entry(&*wanted.to).or_default() += 1;
    }
    counts
}

#[test]
fn pool_with_the_largest_missing_part_comes_first() {
    let fleet = Fleet::new(&[(8, 10), (1, 3)], 2);
    let moves = fleet.moves_of(STANDBY);
    assert_eq!(targets(&moves), BTreeMap::from([("p-1", 2)]));
}

/// Guards against an owner that is killed for its memory, or a plan that is wrong, because another
/// pool's published need is far larger than the fleet.
#[test]
fn published_need_beyond_the_fleet_is_served_like_a_small_one() {
    let with_need = |need: u64| {
        let mut fleet = Fleet::new(&[(2, 2), (6, 2), (2, 6)], 1);
        fleet.pools.get_mut("p-0").expect("a pool").need = Some(DesiredWorkers {
            workers: need,
            now: need,
            soon: need,
            late: need,
        });
        fleet
    };
    let huge = with_need(u64::MAX);
    assert_eq!(targets(&huge.moves_of(STANDBY)), [("p-0", 1)].into());
    assert_eq!(targets(&huge.moves_of("p-1")), [("p-0", 4)].into());
    assert!(huge.moves_of("p-2").is_empty());
    for pool in ["p-1", "p-2", STANDBY] {
        let large = with_need(1_000).moves_of(pool);
        assert_eq!(huge.moves_of(pool), large, "{pool}");
    }
}

#[test]
fn standby_gives_before_pools_that_serve() {
    let fleet = Fleet::new(&[(4, 6), (5, 2)], 2);
    assert_eq!(targets(&fleet.moves_of(STANDBY)), [("p-0", 2)].into());
    assert_eq!(targets(&fleet.moves_of("p-1")), [(STANDBY, 3)].into());
}

/// Tasks wait in a pool that has two instances and needs six now. Its neighbour has six, needs two
/// now and wants six: it gives four away, and keeps them if nobody is short.
#[test]
fn headroom_goes_where_tasks_wait() {
    let mut fleet = Fleet::new(&[(2, 6), (6, 6)], 0);
    let reserved = DesiredWorkers {
        workers: 6,
        now: 2,
        soon: 2,
        late: 0,
    };
    fleet.pools.get_mut("p-1").expect("a pool").need = Some(reserved);
    assert_eq!(targets(&fleet.moves_of("p-1")), [("p-0", 4)].into());
    let short = DesiredWorkers {
        workers: 6,
        now: 2,
        soon: 2,
        late: 0,
    };
    fleet.pools.get_mut("p-0").expect("a pool").need = Some(short);
    assert_eq!(fleet.all_moves(), []);
}

/// One pool has six instances, of which late work uses five; its neighbour has one and needs four
/// for work that can be in time. Three go there, and none comes back for the late work while they
/// are needed.
#[test]
fn late_work_gives_way_to_work_in_time_elsewhere() {
    let mut fleet = Fleet::new(&[(6, 1), (1, 4)], 0);
    fleet.pools.get_mut("p-0").expect("a pool").need = Some(DesiredWorkers {
        workers: 1,
        now: 1,
        soon: 1,
        late: 5,
    });
    assert_eq!(targets(&fleet.all_moves()), [("p-1", 3)].into());
}

/// Nobody else needs them: late work gets what is switched off, and keeps what it has.
#[test]
fn late_work_gets_what_nobody_else_needs() {
    let mut fleet = Fleet::new(&[(2, 1), (1, 1)], 3);
    fleet.pools.get_mut("p-0").expect("a pool").need = Some(DesiredWorkers {
        workers: 1,
        now: 1,
        soon: 1,
        late: 4,
    });
    assert_eq!(targets(&fleet.all_moves()), [("p-0", 3)].into());
}

/// A burst has ended in one pool: it uses two of eight instances and keeps all for a while. In the
/// other a burst begins: one is used, and five will be. Four go there at once.
#[test]
fn what_will_be_needed_comes_before_what_is_kept() {
    let mut fleet = Fleet::new(&[(8, 8), (1, 5)], 0);
    let needs = [("p-0", 8, 2, 2), ("p-1", 5, 1, 5)];
    for (pool, workers, now, soon) in needs {
        fleet.pools.get_mut(pool).expect("a pool").need = Some(DesiredWorkers {
            workers,
            now,
            soon,
            late: 0,
        });
    }
    assert_eq!(targets(&fleet.all_moves()), [("p-1", 4)].into());
}

/// The instance with the fewest runs is empty soonest.
#[test]
fn instances_with_the_fewest_runs_go_first() {
    let mut fleet = Fleet::new(&[(3, 1), (0, 1)], 0);
    let runs = [("w-p-0-0", 5), ("w-p-0-1", 1), ("w-p-0-2", 2)];
    fleet.runs = runs.map(|(worker, runs)| (worker.into(), runs)).into();
    let moves = fleet.moves_of("p-0");
    let to_other: Vec<&str> = moves
        .iter()
        .filter(|wanted| &*wanted.to == "p-1")
        .map(|wanted| &*wanted.instance.name)
        .collect();
    assert_eq!(to_other, ["p-0-1"]);
}

#[test]
fn surplus_is_switched_off_only_beyond_what_was_needed_lately() {
    let mut fleet = Fleet::new(&[(6, 2)], 0);
    fleet.scale_down_floor = 5;
    assert_eq!(targets(&fleet.moves_of("p-0")), [(STANDBY, 1)].into());
}

#[test]
fn pool_without_a_published_need_keeps_what_it_has() {
    let mut fleet = Fleet::new(&[(2, 4)], 0);
    fleet.add("new", 6, None, false);
    assert_eq!(fleet.all_moves(), []);
}

#[test]
fn refused_pairs_are_skipped() {
    let mut fleet = Fleet::new(&[(1, 2)], 2);
    let pair = (Name::from("off-0"), Name::from("p-0"));
    fleet.refused.insert(pair);
    let moves = fleet.moves_of(STANDBY);
    assert_eq!(moves.len(), 1);
    assert_eq!(&*moves[0].instance.name, "off-1");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The independent decisions of the owners add up to those of one planner: as many moves to
    /// pools that miss instances as there are, no pool gets more than it misses, and none falls
    /// below its need.
    #[test]
    fn plans_of_all_owners_add_up(
        pools in prop::collection::vec((0_u64..8, 0_u64..8), 1..6),
        off in 0_u64..6,
    ) {
        let fleet = Fleet::new(&pools, off);
        let moves = fleet.all_moves();
        let names: BTreeSet<&Name> = moves.iter().map(|wanted| &wanted.instance.name).collect();
        prop_assert_eq!(names.len(), moves.len(), "an instance moves twice");
        let missing: u64 = pools.iter().map(|(has, wanted)| wanted.saturating_sub(*has)).sum();
        let extra: u64 = pools.iter().map(|(has, wanted)| has.saturating_sub(*wanted)).sum();
        let to = targets(&moves);
        let served: u64 = to.iter().filter(|(pool, _count)| **pool != STANDBY).map(|(_pool, count)| count).sum();
        prop_assert_eq!(served, missing.min(extra + off));
        prop_assert_eq!(to.get(STANDBY).copied().unwrap_or(0), extra.saturating_sub(missing.saturating_sub(off)));
        for (pool, known) in &fleet.pools {
            let gets = to.get(&**pool).copied().unwrap_or(0);
            let gives = fleet.moves_of(pool).len() as u64;
            let Some(DesiredWorkers { workers: wanted, .. }) = known.need else { continue };
            let has = fleet.count(pool);
            prop_assert!(gets <= wanted.saturating_sub(has), "{pool} gets {gets}");
            prop_assert!(gives <= has.saturating_sub(wanted), "{pool} gives {gives}");
        }
    }

    /// Instances that may not be ordered, and those with long-running tasks, stay.
    #[test]
    fn blocked_and_lasting_instances_stay(
        stays in prop::collection::btree_set(0_u64..6, 0..6),
        lasting in prop::collection::btree_set(0_u64..6, 0..6),
    ) {
        let mut fleet = Fleet::new(&[(6, 0)], 0);
        fleet.blocked = stays.iter().map(|number| format!("p-0-{number}").into()).collect();
        for number in &lasting {
            fleet.lasting.insert(format!("w-p-0-{number}").into(), 1);
        }
        let moved: BTreeSet<Name> = fleet.all_moves().into_iter().map(|wanted| wanted.instance.name).collect();
        let free = (0..6).filter(|number| !stays.contains(number) && !lasting.contains(number));
        let free: BTreeSet<Name> = free.map(|number| format!("p-0-{number}").into()).collect();
        prop_assert_eq!(moved, free);
    }
}
