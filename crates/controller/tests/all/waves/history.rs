//! Replays the history of a run, state by state, through the independent checker.

use primroseroute_domain::{
    account::{Budget, Template},
    id,
    instance::Row,
    time,
};
use primroseroute_fleet::{
    Fleet,
    check::{self, Breach, FleetSnapshot, View},
};
use primroseroute_ledger::{Versioned, key};
use primroseroute_platform::table::Write;
use primroseroute_standin::platform::table::Entry as Commit;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Time until the controller must have detected a loss: three bad checks of a serving instance, one
/// every 10 s, and a cycle.
const DETECTED_AFTER: std::time::Duration = std::time::Duration::from_secs(45);

/// An event of the history. At equal times entries act before the table changes, since a commit
/// takes time to propagate.
enum Event<'a> {
    View(&'a id::Entry, &'a View),
    Lost(&'a BTreeSet<id::Instance>),
    Commit(&'a Commit),
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    templates: BTreeMap<String, Template>,
    views: BTreeMap<id::Entry, View>,
    lost: BTreeMap<id::Instance, Instant>,
}

impl State {
    fn commit(&mut self, commit: &Commit) {
        for write in &commit.writes {
            match write {
                Write::Put(key, value) => {
                    if key.starts_with(key::INSTANCES) {
                        let row: Versioned<Row> = serde_json::from_slice(value).expect("a row");
                        self.rows.insert(key.to_string(), row.value);
                    } else if key.starts_with(key::ACCOUNTS) {
                        let row: Versioned<Template> =
                            serde_json::from_slice(value).expect("a row");
                        self.templates.insert(key.to_string(), row.value);
                    }
                }
                Write::Delete(key) => {
                    self.rows.remove(key.as_ref());
                }
            }
        }
    }

    fn set_lost(&mut self, at: Instant, lost: &BTreeSet<id::Instance>) {
        self.lost.retain(|id, _| lost.contains(id));
        for id in lost {
            self.lost.entry(id.clone()).or_insert(at);
        }
    }

    fn fleet_snapshot(&self, at: Instant, epoch: Instant) -> FleetSnapshot {
        let since = at.saturating_duration_since(epoch);
        let budgets: BTreeMap<id::Pool, Budget> = Fleet::budgets(self.templates.values());
        let known = self
            .lost
            .iter()
            .filter(|(_, since)| at.duration_since(**since) > DETECTED_AFTER);
        FleetSnapshot {
            at: time::Instant::default().after(since),
            rows: self.rows.values().cloned().collect(),
            budgets,
            down: self.lost.keys().cloned().collect(),
            known: known.map(|(id, _)| id.clone()).collect(),
            views: self.views.clone(),
        }
    }
}

/// Every breach of I1 and I2 in a run.
pub fn check_history(
    journal: &[Commit],
    views: &BTreeMap<id::Entry, Vec<(Instant, View)>>,
    losses: &[(Instant, BTreeSet<id::Instance>)],
    epoch: Instant,
) -> Vec<Breach> {
    let mut events: Vec<(Instant, u8, Event<'_>)> = Vec::new();
    for (entry, log) in views {
        events.extend(
            log.iter()
                .map(|(at, view)| (*at, 0, Event::View(entry, view))),
        );
    }
    events.extend(losses.iter().map(|(at, lost)| (*at, 1, Event::Lost(lost))));
    events.extend(
        journal
            .iter()
            .map(|commit| (commit.at, 2, Event::Commit(commit))),
    );
    events.sort_by_key(|(at, rank, _)| (*at, *rank));

    let mut state = State::default();
    let mut before: Option<FleetSnapshot> = None;
    let mut breaches = Vec::new();
    for (at, _, event) in events {
        match event {
            Event::View(entry, view) => {
                state.views.insert(entry.clone(), view.clone());
            }
            Event::Lost(lost) => state.set_lost(at, lost),
            Event::Commit(commit) => state.commit(commit),
        }
        let fleet_snapshot = state.fleet_snapshot(at, epoch);
        let found = check::step(before.as_ref(), &fleet_snapshot);
        breaches.extend(found);
        before = Some(fleet_snapshot);
    }
    breaches
}
