//! The trail over the platform's stand-in, while records move to the archive.

use primroseroute_audit::{Keep, Trail, step};
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

/// Names each case, which runs under paused time.
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
    succeeded_controller_deletes_nothing => succeeded();
    limit_cuts_inside_the_archive => limited();
}

struct Bench {
    platform: Platform,
    ledger: Ledger,
    trail: Trail,
}

async fn open(changes: u64) -> Bench {
    let platform = Platform::open(
        1,
        Options {
            rates: None,
            ..Options::default()
        },
    );
    let ledger = Ledger::open(Arc::new(platform.client("a")));
    let trail = Trail::open(ledger.clone(), Arc::new(platform.client("a")));
    for number in 1..=changes {
        let head = ledger.head().await.expect("it answers");
        let id = Uuid::from_u128(u128::from(number));
        let mut draft = Draft::new(head, Instant(number), "operator:test", "test", id);
        draft.put("account/a".into(), None, &number);
        ledger.commit(&draft).await.expect("nothing is in the way");
    }
    Bench {
        platform,
        ledger,
        trail,
    }
}

impl Bench {
    async fn step(&self) -> u32 {
        let guard = Condition::Absent("epoch/none".into());
        step(&self.ledger, &self.platform, guard, KEEP)
            .await
            .expect("the platform answers")
    }

    async fn places(&self, after: u64, limit: u32) -> Vec<u64> {
        let records = self
            .trail
            .after(Seq(after), limit)
            .await
            .expect("the platform answers");
        records.iter().map(|record| record.seq.0).collect()
    }

    async fn rows(&self) -> usize {
        self.ledger
            .records_after(Seq(0), 1000)
            .await
            .expect("the platform answers")
            .len()
    }
}

async fn bounded() {
    let bench = open(50).await;
    while bench.step().await > 0 {}
    assert!(bench.rows().await < 14, "{} rows stay", bench.rows().await);
    assert_eq!(bench.places(0, 1000).await, (1..=50).collect::<Vec<_>>());
    assert_eq!(bench.places(17, 1000).await, (18..=50).collect::<Vec<_>>());
}

/// The controller stores a batch and dies before it deletes the rows; the answer of its successor's
/// delete is lost, too. The trail must show every change once all along.
async fn crash_between() {
    let bench = open(20).await;
    bench.platform.faults().lose_requests(Kind::Commit, 1);
    let guard = Condition::Absent("epoch/none".into());
    step(&bench.ledger, &bench.platform, guard.clone(), KEEP)
        .await
        .expect_err("it is lost");
    assert_eq!(bench.places(0, 1000).await, (1..=20).collect::<Vec<_>>());
    bench.platform.faults().lose_answers(Kind::Commit, 1);
    step(&bench.ledger, &bench.platform, guard, KEEP)
        .await
        .expect_err("its answer is lost");
    assert_eq!(bench.places(0, 1000).await, (1..=20).collect::<Vec<_>>());
    while bench.step().await > 0 {}
    assert_eq!(bench.places(0, 1000).await, (1..=20).collect::<Vec<_>>());
}

async fn succeeded() {
    let bench = open(20).await;
    let write = Write::Put("epoch/controller".into(), "2".into());
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    bench
        .ledger
        .table()
        .commit(txn)
        .await
        .expect("nothing is in the way");
    let old = Condition::Absent("epoch/controller".into());
    assert_eq!(step(&bench.ledger, &bench.platform, old, KEEP).await, Ok(0));
    let first = bench
        .ledger
        .table()
        .read(&key::change(Seq(1)))
        .await
        .expect("it answers");
    assert!(first.is_some());
}

async fn limited() {
    let bench = open(30).await;
    while bench.step().await > 0 {}
    assert_eq!(bench.places(0, 6).await, (1..=6).collect::<Vec<_>>());
    assert_eq!(bench.places(6, 20).await, (7..=26).collect::<Vec<_>>());
}
