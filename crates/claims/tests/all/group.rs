//! Claims share transactions, and a conflict on one does not fail its neighbours.

use crate::{
    bench::{Paused, answer, claim, entry, grant, settle, word},
    fake::{Fake, Load},
};
use futures::future::join_all;
use std::time::Duration;

async fn claim_all(fake: &Fake, keys: impl Iterator<Item = u32>) -> (Vec<&'static str>, Load) {
    let clock = Paused::start();
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
    (outcomes.iter().map(word).collect(), spent)
}

// Forty claims that arrive together cost one transaction of forty rows, and no read.
#[tokio::test(start_paused = true)]
async fn claims_share_a_transaction() {
    let fake = Fake::default();
    fake.latency(Duration::from_millis(5));
    let (words, load) = claim_all(&fake, 0..40).await;
    assert!(words.iter().all(|word| *word == "granted"));
    assert_eq!(
        load,
        Load {
            commits: 1,
            rows_written: 40,
            rows_read: 0
        }
    );
}

// Of forty claims that share a transaction, some keys are taken. The whole transaction conflicts;
// the others must still be granted, at the cost of few further transactions.
async fn conflicts_stay_alone(taken: u32, commits: usize, rows_read: usize) {
    let (fake, clock) = (Fake::default(), Paused::start());
    let other = entry(&fake, &clock, 1);
    for number in 0..taken {
        grant(&other, &format!("k{number}"))
            .await
            .completed(answer(b"held"));
    }
    settle(&other).await;
    let (words, load) = claim_all(&fake, 0..40).await;
    let repeats = usize::try_from(taken).expect("fits");
    assert!(words[..repeats].iter().all(|word| *word == "repeat"));
    assert!(words[repeats..].iter().all(|word| *word == "granted"));
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

cases! { conflicts_stay_alone:
    one_repeat_of_forty(1, 2, 1);
    five_repeats_of_forty(5, 3, 40);
}
