//! Records that arrive late, duplicated, out of order or with gaps.

use crate::{cases, fake::record, runner};
use primroseroute_domain::change::Seq;
use primroseroute_peer::intake::{self, Intake};
use proptest::prelude::*;

/// Reference implementation: search for the next record until there is none.
fn naive(in_force: u64, seqs: &[u64]) -> Intake {
    if seqs.iter().all(|seq| *seq <= in_force) {
        return Intake::Old;
    }
    let mut run = Vec::new();
    let mut next = in_force + 1;
    while seqs.contains(&next) {
        run.push(record(next));
        next += 1;
    }
    if run.is_empty() {
        Intake::Gap
    } else {
        Intake::Accept(run)
    }
}

fn same_as_naive() {
    let input = (0_u64..12, prop::collection::vec(1_u64..20, 0..12));
    runner()
        .run(&input, |(in_force, seqs)| {
            let records = seqs.iter().copied().map(record).collect();
            prop_assert_eq!(
                intake::choose(Seq(in_force), records),
                naive(in_force, &seqs)
            );
            Ok(())
        })
        .unwrap();
}

cases! {
    choice_is_the_naive_one => same_as_naive();
}
