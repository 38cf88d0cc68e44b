//! Reports of restarted peers, and reports that arrive out of order.

use crate::{
    cases,
    fake::{entry, identity},
};
use primroseroute_peer::{
    peer_table::{PeerTable, Superseded},
    report::Report,
};
use std::time::Duration;

fn report(incarnation: u128, number: u64) -> Report {
    Report {
        number,
        ..Report::new(identity("a", incarnation))
    }
}

/// An entry restarts, and its previous process, suspended until now, resumes and reports outdated
/// drains. The restart must discard the previous reports at once, and later reports of the previous
/// process must be ignored, or an instance would move on an acknowledgement that is not honored.
fn restart() {
    let mut peer_table = PeerTable::default();
    assert!(
        !peer_table.store_report(report(1, 1), Duration::ZERO),
        "not admitted"
    );
    peer_table.admit(&identity("a", 1)).unwrap();
    assert!(peer_table.store_report(report(1, 9), Duration::ZERO));

    peer_table.admit(&identity("a", 2)).unwrap();
    assert!(peer_table.latest_reports(Duration::ZERO).is_empty());
    assert!(!peer_table.store_report(report(1, 10), Duration::ZERO));
    assert!(peer_table.store_report(report(2, 1), Duration::ZERO));
    let rejected = peer_table.admit(&identity("a", 1));
    assert_eq!(rejected, Err(Superseded(entry("a"))));
}

/// Two reports are reordered and the earlier arrives last. It must not replace the later one, or a
/// completed drain would appear to have requests in flight, and an incomplete one to have none.
fn late() {
    let mut peer_table = PeerTable::default();
    peer_table.admit(&identity("a", 1)).unwrap();
    assert!(peer_table.store_report(report(1, 2), Duration::from_secs(1)));
    assert!(!peer_table.store_report(report(1, 1), Duration::from_secs(2)));
    assert!(!peer_table.store_report(report(1, 2), Duration::from_secs(2)));
    let seen = peer_table.latest_reports(Duration::from_secs(4));
    assert_eq!(seen[0].report.number, 2);
    assert_eq!(seen[0].age, Duration::from_secs(3));
}

cases! {
    restarted_peer_replaces_its_previous_incarnation => restart();
    late_report_is_dropped => late();
}
