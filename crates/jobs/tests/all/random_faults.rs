//! Random combinations of faults: partitioned and failing instances, lost calls, takeovers, drains.

use crate::simulation::{Profile, Simulation, cores, name, profile};
use primroseroute_jobs::{Availability, Limits, State};
use proptest::test_runner::{RngAlgorithm, TestRng};
use rand::Rng;
use std::time::Duration;

const JOBS: u32 = 60;

fn pick(rng: &mut TestRng, below: u32) -> u32 {
    rng.next_u32() % below
}

/// Injects or ends one fault.
fn change_fault(sim: &mut Simulation, rng: &mut TestRng) {
    let id = name(&format!("w{}", pick(rng, 6)));
    match pick(rng, 12) {
        0 => sim.take_over(),
        1 => sim.calls_lost = true,
        2 | 3 => sim.calls_lost = false,
        4 => drop(sim.partitioned.insert(id)),
        5 | 6 => sim.partitioned.clear(),
        7 => {
            let end = Duration::from_secs(sim.now + 60);
            sim.worker(id.as_str()).availability = Availability::Draining(end);
        }
        8 => sim.worker(id.as_str()).availability = Availability::Open,
        9 => sim.worker(id.as_str()).pressure = 0.9,
        10 => sim.worker(id.as_str()).pressure = 0.1,
        _ => {}
    }
}

fn end_faults(sim: &mut Simulation) {
    sim.calls_lost = false;
    sim.partitioned.clear();
    for worker in sim.workers.values_mut() {
        worker.availability = Availability::Open;
        worker.pressure = 0.0;
    }
}

fn run_case(rng: &mut TestRng) {
    let mut sim = Simulation::start(6);
    let failing = name(&format!("w{}", pick(rng, 6)));
    sim.failing.insert(failing);
    for number in 0..JOBS {
        let size = cores(f64::from(1 + pick(rng, 8)));
        let declared = cores(size.cores * [0.1, 1.0, 10.0][pick(rng, 3) as usize]);
        let broken = pick(rng, 15) == 0;
        let profile = Profile {
            broken,
            ..profile(size, u64::from(5 + pick(rng, 200)))
        };
        let (account, kind) = (format!("a{}", pick(rng, 3)), format!("k{}", pick(rng, 4)));
        sim.submit(&format!("j{number}"), &account, &kind, declared, profile);
    }
    for _ in 0..150 {
        change_fault(&mut sim, rng);
        sim.tick();
    }
    end_faults(&mut sim);
    sim.run_ticks(1500);
    for number in 0..JOBS {
        let job = format!("j{number}");
        let broken = sim.profiles[&name(&job)].broken;
        let state = sim.state(&job);
        let ended = if broken {
            matches!(state, State::Parked(_))
        } else {
            *state == State::Done
        };
        assert!(ended, "{job}, broken: {broken}, is {state:?}");
        let failures = sim.scheduler.row(&name(&job)).expect("known").failures;
        assert!(
            failures <= Limits::default().tries,
            "{job} failed {failures} times"
        );
    }
}

// Sixty jobs, some of them broken, on six instances of which one fails every job, while calls are
// lost, instances are partitioned, drained and under pressure, and controllers take over from each
// other. The simulation panics on a second concurrent run of a job; in the end every job that can
// succeed is done, the others are parked, and none exceeds the limit on failures.
#[test]
fn every_runnable_job_finishes() {
    let mut rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    for _ in 0..60 {
        run_case(&mut rng);
    }
}
