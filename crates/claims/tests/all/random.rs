//! Randomized test with faults, crashes, suspended entries and retrying callers; executions are
//! counted for each key.

use crate::{
    fake_table::FakeTable,
    fixture::{PausedClock, entry, outcome_name, request, response},
};
use parking_lot::Mutex;
use primroseroute_claims::{ClaimOutcome, Claims, Permit};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::sleep};

const SEEDS: u64 = 150;
const KEYS: usize = 5;
const CALLERS: usize = 3;
const TRIES: usize = 5;

/// Result of a run with one seed.
#[derive(Debug, Default)]
struct Summary {
    executions: u32,
    /// Attempts whose entry crashed or whose response was lost.
    accidents: u32,
}

#[derive(Debug)]
struct Simulation {
    fake: FakeTable,
    clock: Arc<PausedClock>,
    entries: Mutex<Vec<Claims>>,
    start_count: Mutex<u8>,
    executions: Mutex<BTreeMap<String, u32>>,
    /// Whether entries crash and responses of backend servers are lost.
    accidents: bool,
    accident_count: Mutex<u32>,
}

impl Simulation {
    /// Kills the entry at `index` and starts a new one in its place.
    fn replace(&self, index: usize) {
        let mut start_count = self.start_count.lock();
        *start_count = start_count.wrapping_add(1);
        let replacement = entry(&self.fake, &self.clock, *start_count);
        std::mem::replace(&mut self.entries.lock()[index], replacement).abort();
    }

    fn execute(&self, key: &str) {
        *self.executions.lock().entry(key.to_owned()).or_default() += 1;
    }

    fn executions(&self, key: &str) -> u32 {
        self.executions.lock().get(key).copied().unwrap_or(0)
    }

    /// One attempt of a caller; returns whether it got a response.
    async fn attempt(&self, key: &str, random: &mut ChaCha12Rng) -> bool {
        let index = random.random_range(0..3);
        let claims = self.entries.lock()[index].clone();
        let within = Duration::from_millis(random.random_range(10..3000));
        let permit = match claims.claim(&request(key), within).await {
            ClaimOutcome::Granted(permit) => permit,
            ClaimOutcome::Replay(first) => {
                assert_eq!(
                    first,
                    response(key.as_bytes()),
                    "response to another request"
                );
                assert_eq!(
                    self.executions(key),
                    1,
                    "response without exactly one execution"
                );
                return true;
            }
            ClaimOutcome::InProgress | ClaimOutcome::OutcomeUnknown | ClaimOutcome::Unavailable => {
                return false;
            }
            other => panic!("unexpected result of a claim: {other:?}"),
        };
        let pause = Duration::from_millis(random.random_range(0..4000));
        match random.random_range(0..10) {
            0..3 if self.accidents => {
                *self.accident_count.lock() += 1;
                self.accident(index, permit, key, pause, random).await;
                false
            }
            3..5 => {
                permit.not_run();
                false
            }
            _ => {
                sleep(pause).await;
                self.execute(key);
                permit.completed(response(key.as_bytes()));
                true
            }
        }
    }

    /// The entry crashes before or after the send, or the backend server's response is lost.
    async fn accident(
        &self,
        index: usize,
        permit: Permit,
        key: &str,
        pause: Duration,
        random: &mut ChaCha12Rng,
    ) {
        match random.random_range(0..3) {
            0 => self.replace(index),
            1 => {
                self.execute(key);
                self.replace(index);
            }
            _ => {
                sleep(pause).await;
                self.execute(key);
            }
        }
        drop(permit);
    }
}

async fn run_caller(sim: Arc<Simulation>, key: String, mut random: ChaCha12Rng) {
    for _ in 0..TRIES {
        if sim.attempt(&key, &mut random).await {
            return;
        }
        sleep(Duration::from_millis(random.random_range(0..2000))).await;
    }
}

async fn run(seed: u64) -> Summary {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let entries = (0..3).map(|number| entry(&fake, &clock, number)).collect();
    let sim = Arc::new(Simulation {
        fake: fake.clone(),
        clock,
        entries: Mutex::new(entries),
        start_count: Mutex::new(10),
        executions: Mutex::default(),
        accidents: seed % 2 == 1,
        accident_count: Mutex::default(),
    });
    fake.set_random_faults(Some(ChaCha12Rng::from_rng(&mut random)));
    let mut callers = JoinSet::new();
    for number in 0..KEYS * CALLERS {
        let key = format!("k{}", number % KEYS);
        let own = ChaCha12Rng::from_rng(&mut random);
        callers.spawn(run_caller(Arc::clone(&sim), key, own));
    }
    for _ in 0..3 {
        sleep(Duration::from_millis(random.random_range(500..4000))).await;
        fake.set_down(true);
        sleep(Duration::from_millis(random.random_range(100..4000))).await;
        fake.set_down(false);
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no caller panics");
    }
    verify(&sim, seed).await
}

/// Disables the faults and claims every key once more.
async fn verify(sim: &Simulation, seed: u64) -> Summary {
    sim.fake.set_random_faults(None);
    sleep(Duration::from_secs(30)).await;
    let mut summary = Summary {
        executions: 0,
        accidents: *sim.accident_count.lock(),
    };
    for number in 0..KEYS {
        let key = format!("k{number}");
        let claims = sim.entries.lock()[0].clone();
        let last = claims.claim(&request(&key), Duration::from_secs(10)).await;
        let executions = sim.executions(&key);
        let known = match outcome_name(&last) {
            "granted" => executions == 0,
            "repeat" => executions == 1,
            // Without accidents every outcome is finally known: after "not run" the key is free
            // again, and requests that ran have a stored response.
            _ => sim.accidents && executions <= 1,
        };
        assert!(
            known,
            "seed {seed}: {key} ran {executions} times, and is {}",
            outcome_name(&last)
        );
        summary.executions += executions;
    }
    summary
}

// Three entries, five keys, three callers per key who retry at random entries; half of the commits
// are refused, lost before or after they are applied, or late by up to five seconds; there are
// outages; entries crash after the grant or are suspended before the send. No key runs twice, no
// caller receives another request's response, and a key whose attempts were all "not run" runs when
// it is sent again.
#[tokio::test(start_paused = true)]
async fn no_key_runs_twice() {
    let mut summary = Summary::default();
    for seed in 0..SEEDS {
        let ended = run(seed).await;
        summary.executions += ended.executions;
        summary.accidents += ended.accidents;
    }
    // Ensure that enough executions and accidents occurred for the test to be meaningful.
    assert!(summary.executions > 500, "{summary:?}");
    assert!(summary.accidents > 100, "{summary:?}");
}
