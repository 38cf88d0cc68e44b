//! Updating a view from the ledger.

use crate::{cases, template};
use primroseroute_domain::{change::Seq, time::Instant};
use primroseroute_ledger::{Draft, Ledger, key};
use primroseroute_standin::platform::{Options, Platform, tally::Kind};
use primroseroute_view::{SnapshotCell, load, poll};
use std::{sync::Arc, time::Duration};
use uuid::Uuid;

cases! {
    poll_without_change_reads_one_row => unchanged_poll();
    poll_applies_new_records => poll_applies();
    poll_with_a_large_lag_loads_the_rows => poll_loads();
    poll_over_archived_records_loads_the_rows => poll_over_archived();
    load_during_writes_is_consistent => load_during_writes();
}

fn open() -> (Platform, Ledger) {
    let platform = Platform::open(
        3,
        Options {
            rates: None,
            ..Options::default()
        },
    );
    let ledger = Ledger::open(Arc::new(platform.client("reader")));
    (platform, ledger)
}

async fn write(ledger: &Ledger, account: &str, share: u32) {
    let head = ledger.head().await.expect("the store answers");
    let id = Uuid::from_u128(u128::from(head.seq.0) + 1);
    let mut change = Draft::new(head, Instant(1), "operator:test", "test", id);
    let template = template(account, share);
    change.put(key::account(&template.account), None, &template);
    ledger.commit(&change).await.expect("no concurrent change");
}

fn shares(cell: &SnapshotCell) -> Vec<u32> {
    cell.current()
        .accounts()
        .values()
        .map(|row| row.value.share)
        .collect()
}

async fn unchanged_poll() {
    let (platform, ledger) = open();
    write(&ledger, "a", 1).await;
    let cell = SnapshotCell::default();
    poll(&ledger, &cell).await.expect("the store answers");
    let before = platform.tally();
    poll(&ledger, &cell).await.expect("the store answers");
    let after = platform.tally();
    assert_eq!(after.of(Kind::Read).calls - before.of(Kind::Read).calls, 1);
    assert_eq!(after.of(Kind::Scan).calls, before.of(Kind::Scan).calls);
}

async fn poll_applies() {
    let (_platform, ledger) = open();
    let cell = SnapshotCell::default();
    write(&ledger, "a", 1).await;
    assert_eq!(poll(&ledger, &cell).await, Ok(Seq(1)));
    write(&ledger, "a", 2).await;
    write(&ledger, "b", 3).await;
    assert_eq!(poll(&ledger, &cell).await, Ok(Seq(3)));
    assert_eq!(shares(&cell), [2, 3]);
}

async fn poll_loads() {
    let (_platform, ledger) = open();
    for share in 1..=300 {
        write(&ledger, "a", share).await;
    }
    let cell = SnapshotCell::default();
    assert_eq!(poll(&ledger, &cell).await, Ok(Seq(300)));
    assert_eq!(shares(&cell), [300]);
}

/// The records that the reader lacks have been archived and deleted, so only the rows contain the
/// state. A reader that waited for the records would never catch up.
async fn poll_over_archived() {
    use primroseroute_platform::table::{Txn, Write};
    let (_platform, ledger) = open();
    for share in 1..=5 {
        write(&ledger, "a", share).await;
    }
    let writes = (1..=5)
        .map(|seq| Write::Delete(key::change(Seq(seq))))
        .collect();
    let trim = Txn {
        conditions: Vec::new(),
        writes,
    };
    ledger
        .table()
        .commit(trim)
        .await
        .expect("the commit has no conditions");
    let cell = SnapshotCell::default();
    assert_eq!(poll(&ledger, &cell).await, Ok(Seq(5)));
    assert_eq!((cell.current().seq(), shares(&cell)), (Seq(5), vec![5]));
}

/// Rows are loaded while a writer keeps setting two accounts to the same share. A load that mixed
/// two states would see different shares.
async fn load_during_writes() {
    let (platform, ledger) = open();
    platform
        .faults()
        .set_latency(Duration::from_millis(5), Duration::from_millis(20));
    let writing = ledger.clone();
    let both = move |share: u32| {
        let ledger = writing.clone();
        async move {
            let head = ledger.head().await.expect("the store answers");
            let id = Uuid::from_u128(u128::from(share));
            let mut change = Draft::new(head, Instant(1), "operator:test", "test", id);
            for account in ["a", "b"] {
                let template = template(account, share);
                change.put(key::account(&template.account), None, &template);
            }
            ledger
                .commit(&change)
                .await
                .expect("there is only one writer");
        }
    };
    both(1).await;
    let writer = tokio::spawn(async move {
        for share in 2..60 {
            both(share).await;
        }
    });
    while !writer.is_finished() {
        let snapshot = load(&ledger).await.expect("the store answers");
        let shares: Vec<u32> = snapshot
            .accounts()
            .values()
            .map(|row| row.value.share)
            .collect();
        assert_eq!(shares.len(), 2);
        assert_eq!(shares[0], shares[1], "at {}", snapshot.seq());
        assert_eq!(u64::from(shares[0]), snapshot.seq().0);
    }
    writer.await.expect("the writer does not panic");
}
