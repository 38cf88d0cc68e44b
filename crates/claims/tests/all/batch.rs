//! Batching: claims share transactions, and a conflict on one does not affect the others.

use crate::{
    fake_table::{FakeTable, Load},
    fixture::{
        PausedClock, claim, entry, entry_with, grant, outcome_name, response, wait_for_outcomes,
    },
};
use expect_test::expect;
use futures::future::join_all;
use primroseroute_claims::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

async fn claim_all(fake: &FakeTable, keys: impl Iterator<Item = u32>) -> (Vec<&'static str>, Load) {
    let clock = PausedClock::start();
    let claims = entry(fake, &clock, 9);
    let keys: Vec<String> = keys.map(|n| format!("k{n}")).collect();
    let before = fake.load();
    let outcomes = join_all(keys.iter().map(|key| claim(&claims, key))).await;
    let load = fake.load();
    let spent = Load {
        commits: load.commits - before.commits,
        rows_written: load.rows_written - before.rows_written,
        rows_read: load.rows_read - before.rows_read,
    };
    (outcomes.iter().map(outcome_name).collect(), spent)
}

// Forty claims that arrive together take one transaction of forty rows and no read.
#[tokio::test(start_paused = true)]
async fn claims_share_a_transaction() {
    let fake = FakeTable::default();
    fake.set_latency(Duration::from_millis(5));
    let (outcome_names, load) = claim_all(&fake, 0..40).await;
    assert!(
        outcome_names
            .iter()
            .all(|outcome_name| *outcome_name == "granted")
    );
    assert_eq!(
        load,
        Load {
            commits: 1,
            rows_written: 40,
            rows_read: 0
        }
    );
}

// Of forty claims that share a transaction, some keys are already taken. The whole transaction
// conflicts; the others must still be granted with few further transactions.
async fn check_conflicts(taken: u32, commits: usize, rows_read: usize) {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let other = entry(&fake, &clock, 1);
    for number in 0..taken {
        grant(&other, &format!("k{number}"))
            .await
            .completed(response(b"held"));
    }
    wait_for_outcomes(&other).await;
    let (outcome_names, load) = claim_all(&fake, 0..40).await;
    let repeats = usize::try_from(taken).expect("fits");
    assert!(
        outcome_names[..repeats]
            .iter()
            .all(|outcome_name| *outcome_name == "repeat")
    );
    assert!(
        outcome_names[repeats..]
            .iter()
            .all(|outcome_name| *outcome_name == "granted")
    );
    let rows_written = 40 - repeats;
    assert_eq!(
        load,
        Load {
            commits,
            rows_written,
            rows_read
        }
    );
}

cases! { check_conflicts:
    one_repeat_of_forty(1, 2, 1);
    five_repeats_of_forty(5, 3, 40);
}

/// Transactions and rows per second for `rate` requests with keys per second over `entries`.
async fn measure_load(entries: u8, rate: u64, window: u64) -> String {
    const SECONDS: u64 = 4;
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    fake.set_latency(Duration::from_millis(5));
    let options = Options {
        batch_window: Duration::from_millis(window),
        ..Options::default()
    };
    let all: Vec<_> = (0..entries)
        .map(|n| entry_with(&fake, &clock, n, options.clone()))
        .collect();
    let mut random = ChaCha12Rng::seed_from_u64(1);
    let mut callers = JoinSet::new();
    for (number, claims) in (0..rate * SECONDS).zip(all.iter().cycle()) {
        let claims = claims.clone();
        let at = random.random_range(0..SECONDS * 1_000_000);
        callers.spawn(async move {
            sleep(Duration::from_micros(at)).await;
            let permit = grant(&claims, &format!("k{number}")).await;
            sleep(Duration::from_millis(50)).await;
            permit.completed(response(b"held"));
        });
    }
    callers.join_all().await;
    for claims in &all {
        wait_for_outcomes(claims).await;
    }
    let Load {
        commits,
        rows_written,
        rows_read,
    } = fake.load();
    let per_second = |count: usize| count as u64 / SECONDS;
    format!(
        "{} transactions, {} rows written, {} read a second",
        per_second(commits),
        per_second(rows_written),
        per_second(rows_read),
    )
}

// Load of requests with keys on the store: two rows each, regardless of batching. The number of
// transactions falls only if one entry has many requests per window. Counts, not timings.
#[tokio::test(start_paused = true)]
async fn load_on_the_store() {
    let mut table = Vec::new();
    for (entries, rate, window) in [
        (7, 40, 1),
        (7, 400, 1),
        (28, 960, 1),
        (28, 960, 20),
        (4, 960, 20),
        (4, 960, 50),
    ] {
        let load = measure_load(entries, rate, window).await;
        table.push(format!("{entries} entries, {rate}/s, {window} ms: {load}"));
    }
    table.push(String::new());
    expect![[r"
        7 entries, 40/s, 1 ms: 79 transactions, 80 rows written, 0 read a second
        7 entries, 400/s, 1 ms: 735 transactions, 800 rows written, 0 read a second
        28 entries, 960/s, 1 ms: 1832 transactions, 1920 rows written, 0 read a second
        28 entries, 960/s, 20 ms: 1111 transactions, 1920 rows written, 0 read a second
        4 entries, 960/s, 20 ms: 406 transactions, 1920 rows written, 0 read a second
        4 entries, 960/s, 50 ms: 227 transactions, 1920 rows written, 0 read a second
    "]]
    .assert_eq(&table.join("\n"));
}
