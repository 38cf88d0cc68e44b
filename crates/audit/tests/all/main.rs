//! Tests the trail on the simulated platform while records move to the archive.

use primroseroute_audit::{Keep, Trail, archive_batch};
use primroseroute_domain::{change::Seq, time::Instant};
use primroseroute_ledger::{Draft, Ledger, key};
use primroseroute_platform::table::{Condition, Txn, Write};
use primroseroute_standin::platform::{Options, Platform, tally::Kind};
use std::sync::Arc;
use uuid::Uuid;

const KEEP: Keep = Keep {
    newest: 10,
    batch: 4,
};

/// Declares one test per line, each with paused time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}

cases! {
    table_stays_bounded_and_the_trail_whole => bounded();
    crash_between_object_and_delete_loses_nothing => crash_between();
    succeeded_controller_deletes_nothing => superseded();
    limit_cuts_inside_the_archive => limited();
}

struct Fixture {
    platform: Platform,
    ledger: Ledger,
    trail: Trail,
}

async fn open(changes: u64) -> Fixture {
    let platform = Platform::open(
        1,
        Options {
            rates: None,
            ..Options::default()
        },
    );
    let ledger = Ledger::open(Arc::new(platform.client("a")));
    let trail = Trail::new(ledger.clone(), Arc::new(platform.client("a")));
    for number in 1..=changes {
        let head = ledger.head().await.expect("the store responds");
        let id = Uuid::from_u128(u128::from(number));
        let mut draft = Draft::new(head, Instant(number), "operator:test", "test", id);
        draft.put("account/a".into(), None, &number);
        ledger.commit(&draft).await.expect("no conflict");
    }
    Fixture {
        platform,
        ledger,
        trail,
    }
}

impl Fixture {
    async fn archive_batch(&self) -> u32 {
        let guard = Condition::Absent("epoch/none".into());
        archive_batch(&self.ledger, &self.platform, guard, KEEP)
            .await
            .expect("the platform responds")
    }

    async fn sequence_numbers(&self, after: u64, limit: u32) -> Vec<u64> {
        let records = self
            .trail
            .records_after(Seq(after), limit)
            .await
            .expect("the platform responds");
        records.iter().map(|record| record.seq.0).collect()
    }

    async fn rows(&self) -> usize {
        self.ledger
            .records_after(Seq(0), 1000)
            .await
            .expect("the platform responds")
            .len()
    }
}

async fn bounded() {
    let fixture = open(50).await;
    while fixture.archive_batch().await > 0 {}
    assert!(
        fixture.rows().await < 14,
        "{} rows stay",
        fixture.rows().await
    );
    assert_eq!(
        fixture.sequence_numbers(0, 1000).await,
        (1..=50).collect::<Vec<_>>()
    );
    assert_eq!(
        fixture.sequence_numbers(17, 1000).await,
        (18..=50).collect::<Vec<_>>()
    );
}

/// The controller stores a batch and crashes before it deletes the rows; the response to its
/// successor's delete is lost, too. At every point the trail must contain each change exactly once.
async fn crash_between() {
    let fixture = open(20).await;
    fixture.platform.faults().lose_requests(Kind::Commit, 1);
    let guard = Condition::Absent("epoch/none".into());
    archive_batch(&fixture.ledger, &fixture.platform, guard.clone(), KEEP)
        .await
        .expect_err("the request is lost");
    assert_eq!(
        fixture.sequence_numbers(0, 1000).await,
        (1..=20).collect::<Vec<_>>()
    );
    fixture.platform.faults().lose_answers(Kind::Commit, 1);
    archive_batch(&fixture.ledger, &fixture.platform, guard, KEEP)
        .await
        .expect_err("the response is lost");
    assert_eq!(
        fixture.sequence_numbers(0, 1000).await,
        (1..=20).collect::<Vec<_>>()
    );
    while fixture.archive_batch().await > 0 {}
    assert_eq!(
        fixture.sequence_numbers(0, 1000).await,
        (1..=20).collect::<Vec<_>>()
    );
}

async fn superseded() {
    let fixture = open(20).await;
    let write = Write::Put("epoch/controller".into(), "2".into());
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    fixture
        .ledger
        .table()
        .commit(txn)
        .await
        .expect("no conflict");
    let old = Condition::Absent("epoch/controller".into());
    assert_eq!(
        archive_batch(&fixture.ledger, &fixture.platform, old, KEEP).await,
        Ok(0)
    );
    let first = fixture
        .ledger
        .table()
        .read(&key::change(Seq(1)))
        .await
        .expect("the store responds");
    assert!(first.is_some());
}

async fn limited() {
    let fixture = open(30).await;
    while fixture.archive_batch().await > 0 {}
    assert_eq!(
        fixture.sequence_numbers(0, 6).await,
        (1..=6).collect::<Vec<_>>()
    );
    assert_eq!(
        fixture.sequence_numbers(6, 20).await,
        (7..=26).collect::<Vec<_>>()
    );
}
