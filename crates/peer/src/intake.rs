//! Which of the records that arrive may be put in force.

use primroseroute_domain::change::{Record, Seq};

/// What to do with records that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intake {
    /// All are old; nothing to do.
    Old,
    /// These follow the seq in force without a gap.
    Accept(Vec<Record>),
    /// Records between the seq in force and the first newer one are missing.
    Gap,
}

/// Chooses from `records` those that follow `in_force`, in order and without a gap.
///
/// Records at or below `in_force` are dropped whoever sends them. A push can be lost or overtaken
/// by a later one; putting the later one in force would skip a change for good, so everything from
/// a gap on is left to a pull, which brings it again.
pub fn choose(in_force: Seq, mut records: Vec<Record>) -> Intake {
    records.sort_by_key(|record| record.seq);
    records.dedup_by_key(|record| record.seq);
    records.retain(|record| record.seq > in_force);
    let Some(first) = records.first() else {
        return Intake::Old;
    };
    if first.seq != in_force.next() {
        return Intake::Gap;
    }
    let run = records
        .windows(2)
        .position(|pair| pair[1].seq != pair[0].seq.next())
        .map_or(records.len(), |last| last + 1);
    records.truncate(run);
    Intake::Accept(records)
}
