//! Random faults together: cut-off and failing instances, lost calls, take-overs, drains.

use crate::world::{Truth, World, cores, name, truth};
use primroseroute_jobs::{Availability, Limits, State};
use proptest::test_runner::{RngAlgorithm, TestRng};
use rand::Rng;
use std::time::Duration;

const JOBS: u32 = 60;

fn pick(rng: &mut TestRng, below: u32) -> u32 {
    rng.next_u32() % below
}

/// One disturbance of the world, or its end.
fn disturb(world: &mut World, rng: &mut TestRng) {
    let id = name(&format!("w{}", pick(rng, 6)));
    match pick(rng, 12) {
        0 => world.take_over(),
        1 => world.deaf = true,
        2 | 3 => world.deaf = false,
        4 => drop(world.cut.insert(id)),
        5 | 6 => world.cut.clear(),
        7 => {
            let end = Duration::from_secs(world.now + 60);
            world.worker(id.as_str()).availability = Availability::Draining(end);
        }
        8 => world.worker(id.as_str()).availability = Availability::Open,
        9 => world.worker(id.as_str()).pressure = 0.9,
        10 => world.worker(id.as_str()).pressure = 0.1,
        _ => {}
    }
}

fn heal(world: &mut World) {
    world.deaf = false;
    world.cut.clear();
    for worker in world.workers.values_mut() {
        worker.availability = Availability::Open;
        worker.pressure = 0.0;
    }
}

fn run(rng: &mut TestRng) {
    let mut world = World::start(6);
    let bad = name(&format!("w{}", pick(rng, 6)));
    world.bad.insert(bad);
    for number in 0..JOBS {
        let size = cores(f64::from(1 + pick(rng, 8)));
        let declared = cores(size.cores * [0.1, 1.0, 10.0][pick(rng, 3) as usize]);
        let broken = pick(rng, 15) == 0;
        let truth = Truth {
            broken,
            ..truth(size, u64::from(5 + pick(rng, 200)))
        };
        let (account, kind) = (format!("a{}", pick(rng, 3)), format!("k{}", pick(rng, 4)));
        world.submit(&format!("j{number}"), &account, &kind, declared, truth);
    }
    for _ in 0..150 {
        disturb(&mut world, rng);
        world.tick();
    }
    heal(&mut world);
    world.run(1500);
    for number in 0..JOBS {
        let job = format!("j{number}");
        let broken = world.truths[&name(&job)].broken;
        let state = world.state(&job);
        let ended = if broken {
            matches!(state, State::Parked(_))
        } else {
            *state == State::Done
        };
        assert!(ended, "{job}, broken: {broken}, is {state:?}");
        let failures = world.board.row(&name(&job)).expect("known").failures;
        assert!(
            failures <= Limits::default().tries,
            "{job} failed {failures} times"
        );
    }
}

// Sixty jobs, some of them broken, on six instances of which one fails everything, while calls are
// lost, instances are cut off, drained and under pressure, and controllers take over from each
// other. The fake panics on a second run of a job; in the end every job that can run has run, the
// others are parked, and none failed more often than is stated.
#[test]
fn every_runnable_job_finishes() {
    let mut rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    for _ in 0..60 {
        run(&mut rng);
    }
}
