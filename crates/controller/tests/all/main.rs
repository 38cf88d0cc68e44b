//! Which reports of entries count as acknowledgements.

mod jobs;
mod waves;

use primroseroute_controller::{RegisteredEntry, acknowledgements};
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_fleet::lifecycle::{acknowledged_by_all, drained_by_all};
use primroseroute_peer::report::{Drain, Identity, Report};
use primroseroute_platform::fleet::{Listed, Phase};
use std::collections::BTreeMap;
use uuid::Uuid;

/// Version of the draining instance's row.
const DRAINED: Seq = Seq(7);

fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn row() -> Row {
    Row {
        id: name("i"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name("z"),
        rack: name("r"),
        pool: Some(name("a")),
        state: State::Draining,
        purpose: None,
        since: Instant(1),
        maintained: None,
    }
}

/// The report of an entry whose dispatchers have applied `seq`, with the drain that it acknowledges.
fn report(seq: u64, drain: Option<(u64, u32)>) -> Report {
    let identity = Identity {
        entry: name("e"),
        incarnation: Uuid::nil(),
    };
    let mut report = Report {
        seq: Seq(seq),
        ..Report::new(identity)
    };
    if let Some((seq, in_flight)) = drain {
        report.drains.insert(
            name("i"),
            Drain {
                seq: Seq(seq),
                in_flight,
            },
        );
    }
    report
}

fn listed(phase: Phase) -> BTreeMap<id::Instance, Listed> {
    let line = Listed {
        id: name("e"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name("z"),
        rack: name("r"),
        phase,
        boots: 1,
    };
    BTreeMap::from([(name("e"), line)])
}

/// Whether the drain is acknowledged, and whether the instance counts as drained.
fn evaluate(reports: Vec<Option<Report>>, listed: &BTreeMap<id::Instance, Listed>) -> (bool, bool) {
    let registered_entries: Vec<RegisteredEntry> = reports
        .into_iter()
        .map(|report| RegisteredEntry {
            entry: name("e"),
            report,
        })
        .collect();
    let rows = BTreeMap::from([(name("i"), row())]);
    let versions = BTreeMap::from([(name("i"), DRAINED)]);
    let entries = acknowledgements(&registered_entries, listed, &rows, &versions);
    (
        acknowledged_by_all(&entries, DRAINED),
        drained_by_all(&entries, &name("i"), DRAINED),
    )
}

macro_rules! evaluation_cases {
    ($($(#[$doc:meta])* $name:ident: $reports:expr, $listed:expr => $want:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(evaluate($reports, &$listed), $want);
        }
    )*};
}

evaluation_cases! {
    drain_in_effect_and_empty: vec![Some(report(7, Some((7, 0))))], BTreeMap::new() => (true, true);
    drain_in_effect_with_one_in_flight: vec![Some(report(7, Some((7, 1))))], BTreeMap::new()
        => (true, false);
    view_before_the_drain: vec![Some(report(6, None))], BTreeMap::new() => (false, false);
    /// The instance was drained, released and drained again. The entry's acknowledgement is of the
    /// first drain; it may have sent requests between the two.
    drain_of_an_earlier_version: vec![Some(report(7, Some((4, 0))))], BTreeMap::new()
        => (true, false);
    /// The entry has the view but does not confirm the drain: it is isolated, or the report had no
    /// space left. A missing drain does not mean that no requests are in flight.
    view_without_the_drain: vec![Some(report(9, None))], BTreeMap::new() => (true, false);
    entry_that_never_reported: vec![None], BTreeMap::new() => (false, false);
    one_unresponsive_entry_among_many: vec![Some(report(7, Some((7, 0)))), None], BTreeMap::new()
        => (false, false);
    entry_listed_as_terminated: vec![None], listed(Phase::Gone) => (true, true);
    entry_listed_as_leaving: vec![None], listed(Phase::Leaving) => (false, false);
    no_registrations_do_not_count_as_consent: vec![], BTreeMap::new() => (false, false);
}
