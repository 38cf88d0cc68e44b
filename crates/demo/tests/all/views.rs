//! Checks of how configuration changes take effect.

use primroseroute_demo::checker::{
    AcceptedCommand, Breach, EntryEvent, Event, ObservedVersion, Report, check_history,
};
use primroseroute_domain::{change::Seq, id};
use std::time::Duration;

cases! {
    slowest_entry_decides_when_a_change_is_in_force => slowest();
    entry_that_goes_is_not_waited_for => retired();
    entry_that_comes_later_is_not_waited_for => started_later();
    entry_that_stays_without_the_change_shows => never();
    version_that_goes_back_is_a_breach => reverted();
    same_version_again_is_no_breach => repeated();
}

fn entry(name: &str) -> id::Entry {
    name.parse().expect("valid name")
}

fn entry_event(name: &str, at: u64) -> EntryEvent {
    EntryEvent {
        entry: entry(name),
        at: Duration::from_millis(at),
    }
}

fn started(name: &str, at: u64) -> Event {
    Event::EntryStarted(entry_event(name, at))
}

fn seen(name: &str, seq: u64, at: u64) -> Event {
    Event::VersionObserved(ObservedVersion {
        entry: entry(name),
        seq: Seq(seq),
        at: Duration::from_millis(at),
    })
}

/// The command that becomes change 5 is sent after 100 ms, while `a` and `b` run.
fn report_with_command(more: &[Event]) -> Report {
    let command = Event::CommandAccepted(AcceptedCommand {
        seq: Seq(5),
        sent: Duration::from_millis(100),
    });
    let start = [
        started("a", 0),
        started("b", 0),
        seen("a", 4, 1),
        seen("b", 4, 1),
        command,
    ];
    check_history(&[&start[..], more].concat())
}

fn slowest() {
    let report = report_with_command(&[seen("a", 5, 110), seen("b", 6, 350)]);
    assert_eq!(report.breaches, []);
    assert_eq!((report.views.orders, report.views.never), (1, 0));
    assert_eq!(report.views.in_force.max_ms, 250);
}

fn retired() {
    let gone = Event::EntryRetired(entry_event("b", 130));
    let report = report_with_command(&[seen("a", 5, 110), gone]);
    assert_eq!((report.views.orders, report.views.never), (1, 0));
    assert_eq!(report.views.in_force.max_ms, 30);
}

fn started_later() {
    let report = report_with_command(&[seen("a", 5, 110), seen("b", 5, 120), started("c", 101)]);
    assert_eq!((report.views.orders, report.views.never), (1, 0));
    assert_eq!(report.views.in_force.max_ms, 20);
}

fn never() {
    let report = report_with_command(&[seen("a", 5, 110)]);
    assert_eq!((report.views.orders, report.views.never), (0, 1));
}

fn reverted() {
    let report = report_with_command(&[seen("a", 5, 110), seen("b", 5, 120), seen("a", 4, 130)]);
    let breach = Breach::Reverted {
        entry: entry("a"),
        from: Seq(5),
        to: Seq(4),
    };
    assert_eq!(report.breaches, [breach]);
    assert_eq!(report.views.reverted, 1);
}

fn repeated() {
    let report = report_with_command(&[seen("a", 5, 110), seen("b", 5, 120), seen("a", 5, 130)]);
    assert_eq!(report.breaches, []);
    assert_eq!(report.views.reverted, 0);
}
