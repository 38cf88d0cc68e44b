//! Converts decisions of the `fleet` crate into one change and into calls to the platform.

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
    roster::{RegisteredEntry, acknowledgements},
};

/// Input of a cycle besides the snapshot.
#[derive(Debug)]
pub(crate) struct CycleInput {
    pub listed: BTreeMap<id::Instance, Listed>,
    pub checks: BTreeMap<id::Instance, Checks>,
    /// Whether planned work may take instances out of service; false while losses may be
    /// undetected.
    pub may_plan: bool,
    pub registered_entries: Vec<RegisteredEntry>,
    pub now: Instant,
    pub limits: Limits,
    pub weights: Weights,
}

/// A reboot to request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reboot {
    pub instance: id::Instance,
    pub boots: u64,
}

/// The fleet state that decisions read, as of a snapshot and the changes decided so far.
#[derive(Debug)]
pub(crate) struct FleetState {
    pub fleet: Fleet,
    pub versions: BTreeMap<id::Instance, Seq>,
    pub marks: BTreeMap<id::Instance, u64>,
}

impl FleetState {
    pub(crate) fn read(snapshot: &Snapshot, input: &CycleInput) -> Result<Self, Refusal> {
        let rows = snapshot.instance_rows();
        let versions = snapshot
            .instances()
            .iter()
            .map(|(name, row)| (name.clone(), row.version))
            .collect();
        let marks = snapshot
            .rows_with_prefix::<id::Instance, u64>(key::MARKS)
            .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
        let fleet = Fleet {
            budgets: Fleet::budgets(snapshot.templates()),
            absent: unavailable_instances(&rows, input),
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

    /// Adds `row` to the change, and to the state that later decisions of the cycle read.
    fn put_row(&mut self, row: Row, draft: &mut Draft) {
        draft.put(
            key::instance(&row.id),
            self.versions.get(&row.id).copied(),
            &row,
        );
        self.fleet.rows.insert(row.id.clone(), row);
    }
}

/// Instances whose row says serving but that are known to be unavailable.
pub(crate) fn unavailable_instances(
    rows: &BTreeMap<id::Instance, Row>,
    input: &CycleInput,
) -> BTreeSet<id::Instance> {
    let unavailable = rows.values().filter(|row| is_unavailable(row, input));
    unavailable.map(|row| row.id.clone()).collect()
}

/// Whether an instance is known to be unavailable although its row still says serving.
fn is_unavailable(row: &Row, input: &CycleInput) -> bool {
    let failing = input
        .checks
        .get(&row.id)
        .is_some_and(|checks| checks.bad >= input.limits.bad_checks);
    let phase = input.listed.get(&row.id).map(|listed| listed.phase);
    row.state == State::Serving && (failing || phase.is_some_and(|phase| phase != Phase::Live))
}

/// The listed instances except those that entries run on, which are not backend servers.
fn workers(input: &CycleInput) -> BTreeMap<id::Instance, Listed> {
    let is_entry = |name: &id::Instance| {
        input
            .registered_entries
            .iter()
            .any(|registered| registered.entry.as_str() == name.as_str())
    };
    let listed = input.listed.iter().filter(|(name, _)| !is_entry(name));
    listed
        .map(|(name, line)| (name.clone(), line.clone()))
        .collect()
}

/// Decides the next step of every instance and adds it to `draft`.
///
/// # Errors
/// [`Code::ViewStale`] if a row of the snapshot cannot be decoded.
pub(crate) fn decide(
    snapshot: &Snapshot,
    input: &CycleInput,
    draft: &mut Draft,
) -> Result<Vec<Reboot>, Refusal> {
    let mut fleet_state = FleetState::read(snapshot, input)?;
    let mut entries = acknowledgements(
        &input.registered_entries,
        &input.listed,
        &fleet_state.fleet.rows,
        &fleet_state.versions,
    );
    // An empty list of entries means a failed read. The tasks' acknowledgement alone must not make
    // it look like a complete set.
    if !entries.is_empty() {
        entries.extend(jobs::drain_acknowledgement(snapshot)?);
    }
    let workers = workers(input);
    let actions = lifecycle::step(&lifecycle::Input {
        rows: &fleet_state.fleet.rows,
        versions: &fleet_state.versions,
        listed: &workers,
        checks: &input.checks,
        marks: &fleet_state.marks,
        entries: &entries,
        limits: input.limits,
        now: input.now,
    });
    let reboots = apply_lifecycle_actions(actions, &mut fleet_state, draft);
    if input.may_plan {
        step_waves(snapshot, &mut fleet_state, input, draft)?;
        start_placement_moves(&fleet_state, input, draft);
    }
    Ok(reboots)
}

/// Adds the lifecycle's rows to `draft`, and to `fleet_state` so that placement sees them.
fn apply_lifecycle_actions(
    actions: Vec<Action>,
    fleet_state: &mut FleetState,
    draft: &mut Draft,
) -> Vec<Reboot> {
    let mut reboots = Vec::new();
    for action in actions {
        match action {
            Action::Put { row, reason } => {
                log::info!("instance {} changes to {}: {reason}", row.id, row.state);
                fleet_state.put_row(row, draft);
            }
            Action::Delete { id } => {
                draft.delete(key::instance(&id), fleet_state.versions.get(&id).copied());
                if fleet_state.marks.remove(&id).is_some() {
                    draft.delete(key::mark(&id), None);
                }
                fleet_state.fleet.rows.remove(&id);
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

/// Takes the next step of every wave. Each wave sees the instances that previous ones took out.
fn step_waves(
    snapshot: &Snapshot,
    fleet_state: &mut FleetState,
    input: &CycleInput,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let waves = snapshot
        .rows_with_prefix::<id::Wave, wave::Row>(key::WAVES)
        .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
    for (name, found) in waves {
        for action in wave::step(&fleet_state.fleet, &found.value, input.now) {
            match action {
                wave::Action::Put(row) => {
                    log::info!(
                        "instance {} changes to {} by wave {name}",
                        row.id,
                        row.state
                    );
                    fleet_state.put_row(row, draft);
                }
                wave::Action::Wave(row) => {
                    let reason = row.reason.as_deref().unwrap_or("");
                    log::info!("wave {name} changes to {}: {reason}", row.state);
                    draft.put(key::wave(&name), Some(found.version), &row);
                }
            }
        }
    }
    Ok(())
}

/// Assigns spares to pools and starts moves, as far as the budgets currently allow.
fn start_placement_moves(fleet_state: &FleetState, input: &CycleInput, draft: &mut Draft) {
    let plan = placement::plan(&fleet_state.fleet, input.weights);
    for row in placement::start_moves(&fleet_state.fleet, &plan, input.now) {
        log::info!(
            "instance {} placed: {} in {:?}",
            row.id,
            row.state,
            row.pool
        );
        draft.put(
            key::instance(&row.id),
            fleet_state.versions.get(&row.id).copied(),
            &row,
        );
    }
}
