//! Reading committed changes.

use crate::{cases, draft, open};
use primroseroute_domain::change::Seq;

cases! {
    records_after_a_seq_are_in_order => records();
    scan_crosses_pages => pages();
    deleted_row_is_absent_and_its_record_remains => deleted();
}

async fn records() {
    let (_platform, ledger) = open();
    for value in 1..=12 {
        ledger
            .commit(&draft(&ledger, "account/a", value).await)
            .await
            .expect("no concurrent change");
    }
    let found = ledger
        .records_after(Seq(9), 100)
        .await
        .expect("the store answers");
    let seqs: Vec<u64> = found.iter().map(|record| record.seq.0).collect();
    assert_eq!(seqs, [10, 11, 12]);
    assert_eq!(
        ledger
            .records_after(Seq(0), 5)
            .await
            .expect("the store answers")
            .len(),
        5
    );
}

async fn pages() {
    const ROWS: u32 = 1100;
    let (platform, ledger) = open();
    platform.faults().set_rates(None);
    let head = ledger.head().await.expect("the store answers");
    let now = primroseroute_domain::time::Instant(1);
    let id = uuid::Uuid::from_u128(1);
    let mut change = primroseroute_ledger::Draft::new(head, now, "operator:test", "many", id);
    for value in 0..ROWS {
        change.put(format!("account/a{value:04}").into(), None, &value);
    }
    ledger.commit(&change).await.expect("no concurrent change");
    let found = ledger
        .scan::<primroseroute_ledger::Versioned<u32>>("account/")
        .await;
    let values: Vec<u32> = found
        .expect("the store answers")
        .iter()
        .map(|(_, row)| row.value)
        .collect();
    assert_eq!(values, (0..ROWS).collect::<Vec<_>>());
}

async fn deleted() {
    let (_platform, ledger) = open();
    ledger
        .commit(&draft(&ledger, "account/a", 1).await)
        .await
        .expect("no concurrent change");
    let mut change = draft(&ledger, "account/b", 2).await;
    change.delete("account/a".into(), Some(Seq(1)));
    ledger.commit(&change).await.expect("no concurrent change");
    assert_eq!(crate::value(&ledger, "account/a").await, None);
    let record = ledger
        .records_after(Seq(1), 1)
        .await
        .expect("the store answers")
        .remove(0);
    let edit = record
        .edits
        .iter()
        .find(|edit| &*edit.key == "account/a")
        .expect("the record contains the edit");
    assert_eq!((edit.before, edit.after.as_deref()), (Some(Seq(1)), None));
}
