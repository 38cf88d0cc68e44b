//! Turning decisions into one change, and into calls to the platform.

use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    lifecycle::{self, Action, Checks, Limits},
    placement::{self, Weights},
    wave,
};
use primroseroute_ledger::{Draft, key};
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_view::Snapshot;
use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs,
    roster::{Voice, acknowledgements},
};

/// What a cycle has read besides the snapshot.
#[derive(Debug)]
pub(crate) struct Seen {
    pub listed: BTreeMap<id::Instance, Listed>,
    pub checks: BTreeMap<id::Instance, Checks>,
    /// Whether planned work may take instances out; before that, losses could be unknown.
    pub may_plan: bool,
    pub voices: Vec<Voice>,
    pub now: Instant,
    pub limits: Limits,
    pub weights: Weights,
}

/// A reboot that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reboot {
    pub instance: id::Instance,
    pub boots: u64,
}

/// The fleet of a snapshot as the decisions read it.
#[derive(Debug)]
pub(crate) struct Table {
    pub fleet: Fleet,
    pub versions: BTreeMap<id::Instance, Seq>,
    pub marks: BTreeMap<id::Instance, u64>,
}

impl Table {
    pub(crate) fn read(snapshot: &Snapshot, seen: &Seen) -> Result<Self, Refusal> {
        let rows = snapshot.instance_rows();
        let versions = snapshot
            .instances()
            .iter()
            .map(|(name, row)| (name.clone(), row.version))
            .collect();
        let marks = snapshot
            .under::<id::Instance, u64>(key::MARKS)
            .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
        let fleet = Fleet {
            budgets: Fleet::budgets(snapshot.templates()),
            absent: absent(&rows, seen),
            rows,
        };
        let marks = marks
            .into_iter()
            .map(|(name, row)| (name, row.value))
            .collect();
        Ok(Self {
            fleet,
            versions,
            marks,
        })
    }

    /// Puts `row` into the change, and into the table that later decisions of the cycle read.
    fn put(&mut self, row: Row, draft: &mut Draft) {
        draft.put(
            key::instance(&row.id),
            self.versions.get(&row.id).copied(),
            &row,
        );
        self.fleet.rows.insert(row.id.clone(), row);
    }
}

/// Serving instances that are known not to serve.
pub(crate) fn absent(rows: &BTreeMap<id::Instance, Row>, seen: &Seen) -> BTreeSet<id::Instance> {
    let absent = rows.values().filter(|row| is_absent(row, seen));
    absent.map(|row| row.id.clone()).collect()
}

/// Whether a serving instance is known not to serve, before its row says so.
fn is_absent(row: &Row, seen: &Seen) -> bool {
    let failing = seen
        .checks
        .get(&row.id)
        .is_some_and(|checks| checks.bad >= seen.limits.bad_checks);
    let phase = seen.listed.get(&row.id).map(|listed| listed.phase);
    row.state == State::Serving && (failing || phase.is_some_and(|phase| phase != Phase::Live))
}

/// The list without the instances that the entries run on: they take no backend work.
fn workers(seen: &Seen) -> BTreeMap<id::Instance, Listed> {
    let is_entry = |name: &id::Instance| {
        seen.voices
            .iter()
            .any(|voice| voice.entry.as_str() == name.as_str())
    };
    let listed = seen.listed.iter().filter(|(name, _)| !is_entry(name));
    listed
        .map(|(name, line)| (name.clone(), line.clone()))
        .collect()
}

/// Decides the next step of every instance and puts it into `draft`.
///
/// # Errors
/// [`Code::ViewStale`] where a row of the snapshot cannot be read.
pub(crate) fn decide(
    snapshot: &Snapshot,
    seen: &Seen,
    draft: &mut Draft,
) -> Result<Vec<Reboot>, Refusal> {
    let mut table = Table::read(snapshot, seen)?;
    let mut entries = acknowledgements(
        &seen.voices,
        &seen.listed,
        &table.fleet.rows,
        &table.versions,
    );
    // No entries at all is a failed read, and the tasks' word must not make an answer of it.
    if !entries.is_empty() {
        entries.extend(jobs::voice(snapshot)?);
    }
    let workers = workers(seen);
    let actions = lifecycle::step(&lifecycle::Input {
        rows: &table.fleet.rows,
        versions: &table.versions,
        listed: &workers,
        checks: &seen.checks,
        marks: &table.marks,
        entries: &entries,
        limits: seen.limits,
        now: seen.now,
    });
    let reboots = write(actions, &mut table, draft);
    if seen.may_plan {
        step_waves(snapshot, &mut table, seen, draft)?;
        place(&table, seen, draft);
    }
    Ok(reboots)
}

/// Puts the lifecycle's rows into `draft`, and into `table` so that placement sees them.
fn write(actions: Vec<Action>, table: &mut Table, draft: &mut Draft) -> Vec<Reboot> {
    let mut reboots = Vec::new();
    for action in actions {
        match action {
            Action::Put { row, reason } => {
                log::info!("instance {} becomes {}: {reason}", row.id, row.state);
                table.put(row, draft);
            }
            Action::Delete { id } => {
                draft.delete(key::instance(&id), table.versions.get(&id).copied());
                if table.marks.remove(&id).is_some() {
                    draft.delete(key::mark(&id), None);
                }
                table.fleet.rows.remove(&id);
            }
            Action::Mark { id, boots } => draft.put(key::mark(&id), None, &boots),
            Action::Unmark { id } => draft.delete(key::mark(&id), None),
            Action::Reboot { id, boots } => reboots.push(Reboot {
                instance: id,
                boots,
            }),
        }
    }
    reboots
}

/// Takes the next step of every wave; each sees what the ones before it have taken out.
fn step_waves(
    snapshot: &Snapshot,
    table: &mut Table,
    seen: &Seen,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let waves = snapshot
        .under::<id::Wave, wave::Row>(key::WAVES)
        .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
    for (name, found) in waves {
        for action in wave::step(&table.fleet, &found.value, seen.now) {
            match action {
                wave::Action::Put(row) => {
                    log::info!("instance {} becomes {} by wave {name}", row.id, row.state);
                    table.put(row, draft);
                }
                wave::Action::Wave(row) => {
                    let reason = row.reason.as_deref().unwrap_or("");
                    log::info!("wave {name} is {}: {reason}", row.state);
                    draft.put(key::wave(&name), Some(found.version), &row);
                }
            }
        }
    }
    Ok(())
}

/// Gives spares to pools and begins moves, as far as the budgets allow now.
fn place(table: &Table, seen: &Seen, draft: &mut Draft) {
    let plan = placement::plan(&table.fleet, seen.weights);
    for row in placement::start_moves(&table.fleet, &plan, seen.now) {
        log::info!(
            "instance {} is placed: {} in {:?}",
            row.id,
            row.state,
            row.pool
        );
        draft.put(
            key::instance(&row.id),
            table.versions.get(&row.id).copied(),
            &row,
        );
    }
}
