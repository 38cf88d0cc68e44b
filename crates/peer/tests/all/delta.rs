//! Delta-encoded reports reproduce the original reports.

use crate::{
    cases,
    fake::{identity, instance},
    runner,
};
use primroseroute_domain::change::Seq;
use primroseroute_peer::{
    delta::{Decoder, Delta, Encoder, Error, LoadChange, MAX_NAMES},
    report::{Drain, Load, Report},
};
use proptest::prelude::*;

type Loads = Vec<(usize, u16, u16)>;
type Drains = Vec<(usize, u64, u32)>;

fn report(number: u64, loads: &Loads, drains: &Drains) -> Report {
    let mut report = Report::new(identity("a", 1));
    report.number = number;
    for &(at, in_flight, demand) in loads {
        let load = Load { in_flight, demand };
        if !load.is_zero() {
            report.loads.insert(instance(at), load);
        }
    }
    for &(at, seq, in_flight) in drains {
        let seq = Seq(seq);
        report.drains.insert(instance(at), Drain { seq, in_flight });
    }
    report
}

/// The reference implementation sends the full report. With a sufficient budget the receiver must
/// hold exactly that; with a small one, drains are still complete, and loads are complete after
/// enough further deltas.
fn reproduces_reports() {
    let loads = prop::collection::vec((0_usize..30, 0_u16..4, 0_u16..4), 0..30);
    let drains = prop::collection::vec((0_usize..30, 1_u64..9, 0_u32..3), 0..5);
    let steps = prop::collection::vec((loads, drains, 1_usize..40), 1..8);
    runner()
        .run(&steps, |steps| {
            let mut encoder = Encoder::default();
            let mut decoder = Decoder::new(identity("a", 1));
            let mut number = 0;
            for (loads, drains, load_budget) in &steps {
                let full = report(number, loads, drains);
                let delta = encoder.encode(&full, *load_budget);
                prop_assert!(delta.loads.len() <= *load_budget);
                let got = decoder.apply(delta).unwrap();
                prop_assert_eq!(&got.drains, &full.drains);
                number += 1;
            }
            let (loads, drains, load_budget) = steps.last().unwrap();
            for _ in 0..30 {
                number += 1;
                let delta = encoder.encode(&report(number, loads, drains), *load_budget);
                decoder.apply(delta).unwrap();
            }
            let last = report(number + 1, loads, drains);
            let delta = encoder.encode(&last, 1);
            prop_assert!(delta.loads.is_empty() && delta.drains.is_empty());
            prop_assert_eq!(decoder.apply(delta).unwrap(), &last);
            Ok(())
        })
        .unwrap();
}

fn largest_first() {
    let mut encoder = Encoder::default();
    let full = report(1, &vec![(0, 1, 0), (1, 8, 8), (2, 3, 0)], &vec![]);
    // Naming an instance with 21 bytes costs 4 loads, and its load 1.
    let delta = encoder.encode(&full, 10);
    assert_eq!(delta.names, [instance(1), instance(2)]);
    let delta = encoder.encode(
        &report(2, &vec![(0, 1, 0), (1, 8, 10), (2, 5, 0)], &vec![]),
        2,
    );
    assert_eq!((delta.names.len(), delta.loads.len()), (0, 2));
}

/// A peer sends an index that it never named, or an unbounded number of names. The delta must be
/// rejected, so that the session ends, instead of attributing the load to some instance or
/// exhausting memory.
fn rejected() {
    let mut decoder = Decoder::new(identity("a", 1));
    let load = Load::default();
    let unknown = Delta {
        loads: vec![LoadChange { index: 0, load }],
        ..Delta::default()
    };
    assert_eq!(decoder.apply(unknown), Err(Error::UnknownIndex(0)));
    let endless = Delta {
        names: (0..=MAX_NAMES).map(instance).collect(),
        ..Delta::default()
    };
    assert_eq!(decoder.apply(endless), Err(Error::TooManyNames));
}

cases! {
    deltas_reproduce_the_report => reproduces_reports();
    largest_changes_go_first => largest_first();
    invalid_deltas_are_rejected => rejected();
}
