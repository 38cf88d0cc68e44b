//! Random entries, faults, crashes, pauses and callers; executions are counted for each key.

use crate::{
    bench::{Paused, answer, entry, request, word},
    fake::Fake,
};
use parking_lot::Mutex;
use primroseroute_claims::{Claim, Claims, Permit};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::sleep};

const SEEDS: u64 = 150;
const KEYS: usize = 5;
const CALLERS: usize = 3;
const TRIES: usize = 5;

/// What a run of one seed came to.
#[derive(Debug, Default)]
struct Total {
    executions: u32,
    /// Attempts whose entry crashed, or that lost the backend server's answer.
    accidents: u32,
}

#[derive(Debug)]
struct World {
    fake: Fake,
    clock: Arc<Paused>,
    entries: Mutex<Vec<Claims>>,
    starts: Mutex<u8>,
    executions: Mutex<BTreeMap<String, u32>>,
    /// Whether entries crash and backend servers' answers are lost.
    accidents: bool,
    happened: Mutex<u32>,
}

impl World {
    /// Kills the entry at `index` and starts another in its place.
    fn replace(&self, index: usize) {
        let mut starts = self.starts.lock();
        *starts = starts.wrapping_add(1);
        let fresh = entry(&self.fake, &self.clock, *starts);
        std::mem::replace(&mut self.entries.lock()[index], fresh).abort();
    }

    fn execute(&self, key: &str) {
        *self.executions.lock().entry(key.to_owned()).or_default() += 1;
    }

    fn executions(&self, key: &str) -> u32 {
        self.executions.lock().get(key).copied().unwrap_or(0)
    }

    /// One attempt of a caller; whether it is content.
    async fn attempt(&self, key: &str, random: &mut ChaCha12Rng) -> bool {
        let index = random.random_range(0..3);
        let claims = self.entries.lock()[index].clone();
        let within = Duration::from_millis(random.random_range(10..3000));
        let permit = match claims.claim(&request(key), within).await {
            Claim::Granted(permit) => permit,
            Claim::Repeat(first) => {
                assert_eq!(first, answer(key.as_bytes()), "another request's answer");
                assert_eq!(self.executions(key), 1, "an answer to nothing");
                return true;
            }
            Claim::InProgress | Claim::OutcomeUnknown | Claim::Unavailable => return false,
            other => panic!("no request of this test is answered {other:?}"),
        };
        let pause = Duration::from_millis(random.random_range(0..4000));
        match random.random_range(0..10) {
            0..3 if self.accidents => {
                *self.happened.lock() += 1;
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
                permit.completed(answer(key.as_bytes()));
                true
            }
        }
    }

    /// The entry crashes before or after the send, or the backend server's answer is lost.
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

async fn call(world: Arc<World>, key: String, mut random: ChaCha12Rng) {
    for _ in 0..TRIES {
        if world.attempt(&key, &mut random).await {
            return;
        }
        sleep(Duration::from_millis(random.random_range(0..2000))).await;
    }
}

async fn run(seed: u64) -> Total {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let (fake, clock) = (Fake::default(), Paused::start());
    let entries = (0..3).map(|number| entry(&fake, &clock, number)).collect();
    let world = Arc::new(World {
        fake: fake.clone(),
        clock,
        entries: Mutex::new(entries),
        starts: Mutex::new(10),
        executions: Mutex::default(),
        accidents: seed % 2 == 1,
        happened: Mutex::default(),
    });
    fake.random(Some(ChaCha12Rng::from_rng(&mut random)));
    let mut callers = JoinSet::new();
    for number in 0..KEYS * CALLERS {
        let key = format!("k{}", number % KEYS);
        let own = ChaCha12Rng::from_rng(&mut random);
        callers.spawn(call(Arc::clone(&world), key, own));
    }
    for _ in 0..3 {
        sleep(Duration::from_millis(random.random_range(500..4000))).await;
        fake.down(true);
        sleep(Duration::from_millis(random.random_range(100..4000))).await;
        fake.down(false);
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no caller panics");
    }
    heal(&world, seed).await
}

/// Ends the faults and asks for every key once more.
async fn heal(world: &World, seed: u64) -> Total {
    world.fake.random(None);
    sleep(Duration::from_secs(30)).await;
    let mut total = Total {
        executions: 0,
        accidents: *world.happened.lock(),
    };
    for number in 0..KEYS {
        let key = format!("k{number}");
        let claims = world.entries.lock()[0].clone();
        let last = claims.claim(&request(&key), Duration::from_secs(10)).await;
        let executions = world.executions(&key);
        let known = match word(&last) {
            "granted" => executions == 0,
            "repeat" => executions == 1,
            // Without accidents every outcome is known in the end: "not run" was proven, so the
            // key is free again, and what ran has its answer.
            _ => world.accidents && executions <= 1,
        };
        assert!(
            known,
            "seed {seed}: {key} ran {executions} times, and is {}",
            word(&last)
        );
        total.executions += executions;
    }
    total
}

// Three entries, five keys, three callers a key who retry at random entries; half of the commits
// are refused, lost before or after their effect, or late by up to five seconds; outages; entries
// crash after the grant or are paused before the send. No key runs twice, no answer is another's,
// and a key whose attempts were all "not run" runs when it is sent again.
#[tokio::test(start_paused = true)]
async fn no_key_runs_twice() {
    let mut total = Total::default();
    for seed in 0..SEEDS {
        let ended = run(seed).await;
        total.executions += ended.executions;
        total.accidents += ended.accidents;
    }
    // Enough ran, and enough went wrong, for the assertions above to mean something.
    assert!(total.executions > 500, "{total:?}");
    assert!(total.accidents > 100, "{total:?}");
}
