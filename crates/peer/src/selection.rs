//! Selects which of the received records may be applied.

use primroseroute_domain::change::{Record, Seq};

/// Classification of received records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// All are already applied.
    Stale,
    /// Records that follow the applied seq without a gap.
    Contiguous(Vec<Record>),
    /// Records between the applied seq and the first newer one are missing.
    Gap,
}

/// Selects from `records` those that follow `applied`, in order and without a gap.
///
/// Records at or below `applied` are dropped regardless of the sender. A push can be lost or
/// overtaken by a later one; applying the later one would skip a change permanently, so all records
/// after a gap are discarded and fetched again by a pull.
pub fn select(applied: Seq, mut records: Vec<Record>) -> Selection {
    records.sort_by_key(|record| record.seq);
    records.dedup_by_key(|record| record.seq);
    records.retain(|record| record.seq > applied);
    let Some(first) = records.first() else {
        return Selection::Stale;
    };
    if first.seq != applied.next() {
        return Selection::Gap;
    }
    let contiguous = records
        .windows(2)
        .position(|pair| pair[1].seq != pair[0].seq.next())
        .map_or(records.len(), |last| last + 1);
    records.truncate(contiguous);
    Selection::Contiguous(records)
}
