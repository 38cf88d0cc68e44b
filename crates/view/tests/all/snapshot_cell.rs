//! The published sequence number only increases.

use crate::record;
use primroseroute_domain::change::Seq;
use primroseroute_view::{ApplyError, Snapshot, SnapshotCell};

/// Defines a named test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

cases! {
    lower_snapshot_is_ignored => lower_snapshot();
    lower_record_is_ignored => lower_record();
    gap_is_reported_and_earlier_records_are_published => gap();
    records_before_a_loaded_snapshot_are_not_offered => after_loaded_snapshot();
    retained_records_are_bounded => bounded();
    subscriber_sees_each_advance => subscriber();
    unreadable_row_changes_nothing => corrupt();
}

fn share(cell: &SnapshotCell) -> u32 {
    cell.current()
        .accounts()
        .values()
        .next()
        .expect("there is an account")
        .value
        .share
}

fn snapshot(seq: u64, share: u32) -> Snapshot {
    let row = record(seq, share).edits.remove(0);
    let rows = [(row.key, row.after.expect("the edit sets a row"))];
    Snapshot::from_rows(Seq(seq), rows).expect("the row is readable")
}

/// A snapshot built by a slow poll arrives after a faster push from a peer. It must not revert the
/// entry to the older configuration.
fn lower_snapshot() {
    let cell = SnapshotCell::default();
    assert!(cell.publish_if_newer(snapshot(7, 70)));
    assert!(!cell.publish_if_newer(snapshot(5, 50)));
    assert!(!cell.publish_if_newer(snapshot(7, 71)));
    assert_eq!((cell.current().seq(), share(&cell)), (Seq(7), 70));
}

fn lower_record() {
    let cell = SnapshotCell::default();
    cell.apply(&[record(1, 10), record(2, 20)])
        .expect("the records are consecutive");
    assert_eq!(cell.apply(&[record(1, 11)]), Ok(false));
    assert_eq!((cell.current().seq(), share(&cell)), (Seq(2), 20));
}

fn gap() {
    let cell = SnapshotCell::default();
    let error = cell.apply(&[record(1, 10), record(3, 30)]);
    assert_eq!(
        error,
        Err(ApplyError::Gap {
            have: Seq(1),
            got: Seq(3)
        })
    );
    assert_eq!((cell.current().seq(), share(&cell)), (Seq(1), 10));
}

/// A peer that is at 3 requests the records after it. Those between 3 and the snapshot are not
/// retained, so it must get the snapshot instead of a list with a gap.
fn after_loaded_snapshot() {
    let cell = SnapshotCell::default();
    cell.apply(&[record(1, 10), record(2, 20)])
        .expect("the records are consecutive");
    cell.publish_if_newer(snapshot(7, 70));
    cell.apply(&[record(8, 80)])
        .expect("the record is the next one");
    assert_eq!(cell.records_after(Seq(2)), None);
    let after = cell.records_after(Seq(7)).expect("the record is retained");
    assert_eq!(after.iter().map(|r| r.seq.0).collect::<Vec<_>>(), [8]);
    assert_eq!(cell.records_after(Seq(8)), Some(Vec::new()));
}

fn bounded() {
    let cell = SnapshotCell::default();
    for seq in 1..=1000 {
        cell.apply(&[record(seq, 1)])
            .expect("the records are consecutive");
    }
    assert_eq!(cell.records_after(Seq(0)), None);
    assert_eq!(
        cell.records_after(Seq(900)).map(|records| records.len()),
        Some(100)
    );
}

fn subscriber() {
    let cell = SnapshotCell::default();
    let mut newest = cell.subscribe();
    cell.apply(&[record(1, 10)])
        .expect("the record is the first one");
    assert!(newest.has_changed().expect("the cell exists"));
    assert_eq!(*newest.borrow_and_update(), Seq(1));
    cell.apply(&[record(1, 10)])
        .expect("a known record is ignored");
    assert!(!newest.has_changed().expect("the cell exists"));
}

fn corrupt() {
    let cell = SnapshotCell::default();
    cell.apply(&[record(1, 10)])
        .expect("the record is the first one");
    let mut bad = record(2, 20);
    bad.edits[0].after = Some("{}".into());
    assert!(matches!(
        cell.apply(&[bad]),
        Err(ApplyError::Corrupt { .. })
    ));
    assert_eq!((cell.current().seq(), share(&cell)), (Seq(1), 10));
}
