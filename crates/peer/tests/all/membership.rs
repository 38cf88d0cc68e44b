//! Liveness of entries, state of the view and writes of the registration row.

use crate::{cases, fake::entry, runner};
use primroseroute_domain::change::Seq;
use primroseroute_peer::membership::{
    Evidence, LastWrite, Limits, Liveness, PeerView, ViewState, WriteReason, liveness, view_state,
    write_due,
};
use primroseroute_platform::fleet::Phase;
use proptest::prelude::*;
use std::time::Duration;

/// An entry is suspended or partitioned for a day. Its peers receive no reports, and the platform's
/// list, which lags, shows it as running or not at all. It may resume and send according to its old
/// view, so its acknowledgement stays required until the platform or an operator reports it as gone.
fn unresponsive_is_not_gone() {
    let limits = Limits::default();
    let heard = [
        None,
        Some(Duration::ZERO),
        Some(Duration::from_secs(86_400)),
    ];
    let phases = [
        None,
        Some(Phase::Live),
        Some(Phase::Rebooting),
        Some(Phase::Leaving),
    ];
    for heard in heard {
        for phase in phases {
            let evidence = Evidence {
                heard,
                phase,
                removed: false,
            };
            assert!(
                liveness(evidence, &limits).must_acknowledge(),
                "{evidence:?}"
            );
            let gone = Evidence {
                phase: Some(Phase::Gone),
                ..evidence
            };
            assert_eq!(liveness(gone, &limits), Liveness::Gone);
            let removed = Evidence {
                removed: true,
                ..evidence
            };
            assert_eq!(liveness(removed, &limits), Liveness::Gone);
        }
    }
}

fn peers(seqs: &[u64]) -> Vec<PeerView> {
    let named = seqs.iter().enumerate();
    named
        .map(|(index, seq)| PeerView {
            entry: entry(&format!("entry-{index}")),
            seq: Seq(*seq),
        })
        .collect()
}

/// Reference implementation of the table in the design document.
fn reference(seq: u64, confirmed: Option<u64>, seqs: &[u64]) -> ViewState {
    let newest = seqs.iter().copied().max().unwrap_or(0);
    if newest > seq {
        let first = seqs.iter().position(|other| *other == newest).unwrap();
        return ViewState::Behind(entry(&format!("entry-{first}")));
    }
    if confirmed.is_some_and(|age| age <= 3) {
        return ViewState::Current;
    }
    if seq == 0 {
        return ViewState::Empty;
    }
    if seqs.is_empty() {
        ViewState::Alone
    } else {
        ViewState::Unconfirmed
    }
}

fn view_state_by_table() {
    let confirmed = prop::option::of(0_u64..6);
    let input = (0_u64..5, confirmed, prop::collection::vec(0_u64..6, 0..5));
    runner()
        .run(&input, |(seq, confirmed, seqs)| {
            let age = confirmed.map(Duration::from_secs);
            let got = view_state(Seq(seq), age, &peers(&seqs), &Limits::default());
            prop_assert_eq!(got, reference(seq, confirmed, &seqs));
            Ok(())
        })
        .unwrap();
}

/// The store is down and the entry is partitioned from all peers. It must continue to serve, since
/// its callers have no better entry, but must not acknowledge drains, since the acknowledgement could
/// reach the others an hour later.
fn isolated() {
    let old = Some(Duration::from_secs(3600));
    let view_state = view_state(Seq(5), old, &[], &Limits::default());
    assert_eq!(view_state, ViewState::Alone);
    assert!(view_state.may_serve() && !view_state.may_acknowledge() && !view_state.may_control());
}

/// Writes of `entries` entries in an hour, with a change every `change` seconds, in steps of 1 s.
fn writes(entries: u64, change: u64) -> u64 {
    let limits = Limits::default();
    let (mut count, mut last) = (0, None);
    for second in 0..3600 {
        let now = Duration::from_secs(second);
        let seq = Seq(second / change);
        if write_due(last, seq, now, &limits).is_some() {
            count += 1;
            last = Some(LastWrite {
                at: now,
                acked: seq,
            });
        }
    }
    count * entries
}

/// The figures of the design document: idle, at 4,700 changes per day, and in a burst.
fn write_counts() {
    let counts = [7, 28].map(|entries| {
        [
            writes(entries, 9999),
            writes(entries, 18),
            writes(entries, 1),
        ]
    });
    expect_test::expect![[r"
        [
            [
                1680,
                2800,
                12600,
            ],
            [
                6720,
                11200,
                50400,
            ],
        ]
    "]]
    .assert_debug_eq(&counts);
}

fn first_write() {
    let limits = Limits::default();
    assert_eq!(
        write_due(None, Seq(0), Duration::ZERO, &limits),
        Some(WriteReason::Start)
    );
    let last = Some(LastWrite {
        at: Duration::ZERO,
        acked: Seq(1),
    });
    let at = |seconds, seq| write_due(last, Seq(seq), Duration::from_secs(seconds), &limits);
    assert_eq!(at(1, 2), None);
    assert_eq!(at(2, 2), Some(WriteReason::Acked));
    assert_eq!(at(14, 1), None);
    assert_eq!(at(15, 1), Some(WriteReason::Heartbeat));
}

cases! {
    unresponsive_entry_is_never_assumed_gone => unresponsive_is_not_gone();
    view_state_matches_the_reference_implementation => view_state_by_table();
    isolated_entry_serves_but_acknowledges_nothing => isolated();
    registration_writes_are_counted => write_counts();
    registration_is_due_at_start_change_and_heartbeat => first_write();
}
