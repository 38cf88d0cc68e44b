//! Configurations: how long until in force everywhere, and never backwards.

use super::{
    event::{Event, InForce, Ordered},
    report::{Breach, Quantiles, Views},
};
use hdrhistogram::Histogram;
use primroseroute_domain::{change::Seq, id};
use std::{collections::BTreeMap, time::Duration};

/// Significant digits of the distribution.
const DIGITS: u8 = 3;

/// One entry's life.
#[derive(Debug, Default)]
struct Life {
    started: Duration,
    retired: Option<Duration>,
    seen: Vec<InForce>,
}

pub(super) fn judge(events: &[Event], breaches: &mut Vec<Breach>) -> Views {
    let lives = lives(events);
    let mut found = Views::default();
    for life in lives.values() {
        found.reverted += check_forward(life, breaches);
    }
    let mut times = Histogram::<u64>::new(DIGITS).expect("three digits are allowed");
    for event in events {
        if let Event::Ordered(ordered) = event {
            match everywhere(ordered, &lives) {
                Some(at) => times.saturating_record(millis(at.saturating_sub(ordered.sent))),
                None => found.never += 1,
            }
        }
    }
    found.orders = times.len();
    found.in_force = Quantiles {
        p50_ms: times.value_at_quantile(0.5),
        p99_ms: times.value_at_quantile(0.99),
        max_ms: times.max(),
    };
    found
}

/// Rounded up: a time under the resolution is not zero.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

fn lives(events: &[Event]) -> BTreeMap<id::Entry, Life> {
    let mut lives: BTreeMap<id::Entry, Life> = BTreeMap::new();
    for event in events {
        match event {
            Event::Started(presence) => {
                lives.entry(presence.entry.clone()).or_default().started = presence.at;
            }
            Event::Retired(presence) => {
                lives.entry(presence.entry.clone()).or_default().retired = Some(presence.at);
            }
            Event::InForce(seen) => {
                let life = lives.entry(seen.entry.clone()).or_default();
                life.seen.push(seen.clone());
            }
            Event::Ended(_) | Event::Executed(_) | Event::Ordered(_) | Event::Changed(_) => {}
        }
    }
    lives
}

fn check_forward(life: &Life, breaches: &mut Vec<Breach>) -> u64 {
    let mut reverted = 0;
    let mut newest = Seq(0);
    for seen in &life.seen {
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

/// When every entry that ran at the order's sending had it in force, or had gone.
fn everywhere(ordered: &Ordered, lives: &BTreeMap<id::Entry, Life>) -> Option<Duration> {
    let there = |life: &&Life| {
        life.started <= ordered.sent && life.retired.is_none_or(|at| at > ordered.sent)
    };
    let mut latest = ordered.sent;
    for life in lives.values().filter(there) {
        let seen = life.seen.iter().find(|seen| seen.seq >= ordered.seq);
        let at = seen.map(|seen| seen.at).or(life.retired)?;
        latest = latest.max(at);
    }
    Some(latest)
}
