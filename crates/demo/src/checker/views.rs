//! Checks configuration changes: the time until each is in effect at every entry, and that no entry's
//! version goes backwards.

use super::{
    event::{AcceptedCommand, Event, ObservedVersion},
    report::{Breach, Quantiles, Views},
};
use hdrhistogram::Histogram;
use primroseroute_domain::{change::Seq, id};
use std::{collections::BTreeMap, time::Duration};

const SIGNIFICANT_DIGITS: u8 = 3;

/// The lifetime of one entry and the versions observed at it.
#[derive(Debug, Default)]
struct EntryHistory {
    started: Duration,
    retired: Option<Duration>,
    observed: Vec<ObservedVersion>,
}

pub(super) fn evaluate(events: &[Event], breaches: &mut Vec<Breach>) -> Views {
    let histories = entry_histories(events);
    let mut summary = Views::default();
    for history in histories.values() {
        summary.reverted += check_versions(history, breaches);
    }
    let mut times = Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("three digits are allowed");
    for event in events {
        if let Event::CommandAccepted(accepted) = event {
            match in_effect_at(accepted, &histories) {
                Some(at) => times.saturating_record(millis(at.saturating_sub(accepted.sent))),
                None => summary.never += 1,
            }
        }
    }
    summary.orders = times.len();
    summary.in_force = Quantiles {
        p50_ms: times.value_at_quantile(0.5),
        p99_ms: times.value_at_quantile(0.99),
        max_ms: times.max(),
    };
    summary
}

/// Rounds up, so that a time below one millisecond isn't zero.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

fn entry_histories(events: &[Event]) -> BTreeMap<id::Entry, EntryHistory> {
    let mut histories: BTreeMap<id::Entry, EntryHistory> = BTreeMap::new();
    for event in events {
        match event {
            Event::EntryStarted(entry_event) => {
                histories
                    .entry(entry_event.entry.clone())
                    .or_default()
                    .started = entry_event.at;
            }
            Event::EntryRetired(entry_event) => {
                histories
                    .entry(entry_event.entry.clone())
                    .or_default()
                    .retired = Some(entry_event.at);
            }
            Event::VersionObserved(seen) => {
                let history = histories.entry(seen.entry.clone()).or_default();
                history.observed.push(seen.clone());
            }
            Event::RequestEnded(_)
            | Event::KeyExecuted(_)
            | Event::CommandAccepted(_)
            | Event::Changed(_) => {}
        }
    }
    histories
}

fn check_versions(history: &EntryHistory, breaches: &mut Vec<Breach>) -> u64 {
    let mut reverted = 0;
    let mut newest = Seq(0);
    for seen in &history.observed {
        if seen.seq < newest {
            reverted += 1;
            breaches.push(Breach::Reverted {
                entry: seen.entry.clone(),
                from: newest,
                to: seen.seq,
            });
        }
        newest = newest.max(seen.seq);
    }
    reverted
}

/// The time at which each entry that ran when the command was sent had it in effect or was retired;
/// `None` if an entry that kept running never had.
fn in_effect_at(
    accepted: &AcceptedCommand,
    histories: &BTreeMap<id::Entry, EntryHistory>,
) -> Option<Duration> {
    let was_running = |history: &&EntryHistory| {
        history.started <= accepted.sent && history.retired.is_none_or(|at| at > accepted.sent)
    };
    let mut latest = accepted.sent;
    for history in histories.values().filter(was_running) {
        let seen = history
            .observed
            .iter()
            .find(|seen| seen.seq >= accepted.seq);
        let at = seen.map(|seen| seen.at).or(history.retired)?;
        latest = latest.max(at);
    }
    Some(latest)
}
