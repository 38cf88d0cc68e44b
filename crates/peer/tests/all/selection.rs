//! Records that arrive late, duplicated, out of order or with gaps.

use crate::{cases, fake::record, runner};
use primroseroute_domain::change::Seq;
use primroseroute_peer::selection::{self, Selection};
use proptest::prelude::*;

/// Reference implementation: search for the next record until there is none.
fn reference(applied: u64, seqs: &[u64]) -> Selection {
    if seqs.iter().all(|seq| *seq <= applied) {
        return Selection::Stale;
    }
    let mut contiguous = Vec::new();
    let mut next = applied + 1;
    while seqs.contains(&next) {
        contiguous.push(record(next));
        next += 1;
    }
    if contiguous.is_empty() {
        Selection::Gap
    } else {
        Selection::Contiguous(contiguous)
    }
}

fn same_as_reference() {
    let input = (0_u64..12, prop::collection::vec(1_u64..20, 0..12));
    runner()
        .run(&input, |(applied, seqs)| {
            let records = seqs.iter().copied().map(record).collect();
            prop_assert_eq!(
                selection::select(Seq(applied), records),
                reference(applied, &seqs)
            );
            Ok(())
        })
        .unwrap();
}

cases! {
    selection_matches_the_reference_implementation => same_as_reference();
}
