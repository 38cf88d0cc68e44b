//! Random combinations of faults, by seed.

use super::{
    cases,
    simulation::{SECOND, Simulation, WORKERS, name, names, quarter, script},
};
use primroseroute_domain::instance::{self, Purpose};
use primroseroute_jobs::State;
use primroseroute_standin::platform::{fault::Outage, tally::Kind, task::Ending};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::time::Duration;
use tokio::time::sleep;

/// Number of seeds tested by default.
const SEEDS: u64 = 16;

/// Disturbances per seed.
const STEPS: usize = 40;

const JOBS: usize = 80;

cases! {
    never_two_runs_of_one_job => all_seeds();
}

/// State of the run of one seed.
struct Run {
    sim: Simulation,
    rng: ChaCha8Rng,
    started: usize,
}

impl Run {
    fn below(&mut self, bound: u32) -> u32 {
        self.rng.random_range(0..bound)
    }

    fn worker(&mut self) -> String {
        format!("w{}", self.below(WORKERS))
    }

    fn controller(&mut self) -> String {
        let running = self.sim.running();
        let count = u32::try_from(running.len()).expect("few");
        running[self.below(count) as usize].clone()
    }

    /// Starts one disturbance, or ends all.
    async fn disturb(&mut self) {
        let faults = self.sim.platform.faults().clone();
        let count = self.below(8) as usize;
        let delay = Duration::from_secs(u64::from(self.below(10)));
        match self.below(18) {
            0 | 1 => {
                let crashed = self.controller();
                self.sim.kill(&crashed);
                self.started += 1;
                self.sim.start(&format!("c{}", self.started));
            }
            2 => faults.set_outage(Some(Outage::Refuse)),
            3 => {
                let paused = self.controller();
                let hang = Duration::from_secs(u64::from(10 + self.below(120)));
                self.sim.pause(&paused, hang);
            }
            4 => self.clear_faults(),
            5 => faults.lose_answers(Kind::StartTask, count),
            6 => faults.delay_effects(Kind::StartTask, count, delay),
            7 => faults.lose_requests(Kind::StartTask, count),
            8 => faults.delay_effects(Kind::RenewTask, 4 * count, delay),
            9 => faults.lose_requests(Kind::RenewTask, 8 * count),
            10 => faults.lose_answers(Kind::Commit, count),
            11 => faults.lose_requests(Kind::StopTask, count),
            12 => {
                let worker = name(&self.worker());
                let ending = (count > 3).then_some(Ending::Failed);
                self.sim.platform.tasks().script_instance(worker, ending);
            }
            13 => self.sim.platform.tasks().set_lag(4 * delay),
            14 => self.drain().await,
            15 | 16 => {
                let partitioned = self.controller();
                let part = if count > 3 { "table" } else { "tasks" };
                let client = self.sim.client(&partitioned, part);
                client.faults().set_outage(Some(Outage::Hang(8 * delay)));
            }
            _ => self.cancel().await,
        }
    }

    fn clear_faults(&self) {
        self.sim.platform.faults().clear();
        for name in self.sim.running() {
            self.sim.resume(&name);
        }
    }

    async fn drain(&mut self) {
        self.clear_faults();
        let at = self.worker();
        let row = self.sim.instance(&at).await;
        match row.state {
            instance::State::Serving => {
                let purpose = Some(Purpose::Operator);
                self.sim.put(&at, instance::State::Draining, purpose).await;
            }
            instance::State::Draining => self.sim.put(&at, instance::State::Serving, None).await,
            instance::State::Quarantined => {
                self.sim.put(&at, instance::State::Probation, None).await;
            }
            _ => {}
        }
    }

    async fn cancel(&mut self) {
        self.clear_faults();
        let from = self.below(60) as usize;
        let jobs = names("j", JOBS);
        self.sim.cancel(&jobs[from..from + 5]).await;
    }

    /// Clears all faults and puts all workers back in service.
    async fn restore_workers(&mut self) {
        self.clear_faults();
        self.sim.platform.tasks().set_lag(5 * SECOND);
        for number in 0..WORKERS {
            let at = format!("w{number}");
            self.sim.platform.tasks().script_instance(name(&at), None);
            match self.sim.instance(&at).await.state {
                instance::State::Draining => {
                    self.sim.put(&at, instance::State::Serving, None).await;
                }
                instance::State::Quarantined => {
                    self.sim.put(&at, instance::State::Probation, None).await;
                }
                _ => {}
            }
        }
    }
}

async fn run_seed(seed: u64) {
    let mut run = Run {
        sim: Simulation::open(seed, 1).await,
        rng: ChaCha8Rng::seed_from_u64(seed),
        started: 2,
    };
    for name in ["c0", "c1", "c2"] {
        run.sim.start(name);
    }
    for job in names("j", JOBS) {
        let length = Duration::from_secs(u64::from(5 + run.below(150)));
        let script = script(length, Ending::Done);
        run.sim.platform.tasks().script_job(name(&job), script);
    }
    run.sim.prove("k", quarter()).await;
    run.sim.prove("l", quarter()).await;
    run.sim.submit(&names("j", JOBS / 2), "k", quarter()).await;
    let later = names("j", JOBS).split_off(JOBS / 2);
    run.sim.submit(&later, "l", quarter()).await;
    for _ in 0..STEPS {
        run.disturb().await;
        let pause = Duration::from_secs(u64::from(1 + run.below(25)));
        sleep(pause).await;
    }
    run.restore_workers().await;
    let open = run.sim.until_ended(3600 * SECOND).await;
    run.sim.assert_single();
    assert!(open.is_empty(), "seed {seed}: {open:#?}");
    let rows = run.sim.jobs().await;
    let count =
        |wanted: fn(&State) -> bool| rows.values().filter(|row| wanted(&row.value.state)).count();
    println!(
        "seed {seed}: {} starts, {} done, {} cancelled, {} parked",
        run.sim.starts(),
        count(|state| *state == State::Done),
        count(|state| *state == State::Cancelled),
        count(|state| matches!(state, State::Parked(_))),
    );
    assert!(count(|state| *state == State::Done) > 0);
}

async fn all_seeds() {
    let first = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seeds = first.map_or(0..SEEDS, |seed: u64| seed..seed + 1);
    for seed in seeds {
        run_seed(seed).await;
    }
}
