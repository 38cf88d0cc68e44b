//! Delta encoding of reports: a session sends changes instead of a full report each time.
//!
//! A full report of 1,200 instances takes 48 KB on the wire (32 bytes for a 21-byte name, 8 for a
//! load), over three times the control traffic that a node may cause in a second. A session is
//! ordered and lossless while it lasts, so each side sends only what changed since its last report
//! on the session, the largest changes first and at most as many as the schedule allows; the rest
//! follows with later reports. Drains are never deferred. Names are sent once and then referenced by
//! index. A new session starts with empty state on both sides.

use crate::{
    report::{Drain, Identity, Load, Report},
    schedule::LOAD_BYTES,
};
use primroseroute_domain::{change::Seq, id};
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Maximum number of instances that one session can name; more is a protocol violation.
pub const MAX_NAMES: usize = 16_384;

/// A load that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// Index of the instance's name.
    pub index: u32,
    /// The current load; zero if there is none any more.
    pub load: Load,
}

/// A drain that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainChange {
    /// Index of the instance's name.
    pub index: u32,
    /// The current drain; `None` if it has ended.
    pub drain: Option<Drain>,
}

/// The changes from one report to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// The report's number.
    pub number: u64,
    /// The applied seq.
    pub seq: Seq,
    /// Time since the store confirmed the seq.
    pub confirmed: Option<Duration>,
    /// Instances named for the first time; each is assigned the next index.
    pub names: Vec<id::Instance>,
    /// Loads that changed.
    pub loads: Vec<LoadChange>,
    /// Drains that changed.
    pub drains: Vec<DrainChange>,
}

/// Why a delta cannot be applied. The session must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An index has no name.
    #[error("index {0} has no name")]
    UnknownIndex(u32),
    /// More names than [`MAX_NAMES`].
    #[error("more than {MAX_NAMES} instances are named")]
    TooManyNames,
}

/// The sending side of a session.
#[derive(Clone, Debug, Default)]
pub struct Encoder {
    indexes: BTreeMap<id::Instance, u32>,
    loads: BTreeMap<id::Instance, Load>,
    drains: BTreeMap<id::Instance, Drain>,
}

impl Encoder {
    /// Returns the changes from what was sent before to `report`.
    ///
    /// `load_budget` limits the cost of the loads: 1 for each, plus the equivalent of the name's bytes
    /// if the instance is named for the first time. At least one load is sent in any case.
    pub fn encode(&mut self, report: &Report, load_budget: usize) -> Delta {
        let mut delta = Delta {
            number: report.number,
            seq: report.seq,
            confirmed: report.confirmed,
            ..Delta::default()
        };
        self.add_drains(report, &mut delta);
        self.add_loads(report, load_budget, &mut delta);
        delta
    }

    fn index(&mut self, instance: &id::Instance, delta: &mut Delta) -> Option<u32> {
        if let Some(index) = self.indexes.get(instance) {
            return Some(*index);
        }
        let index = self.indexes.len();
        if index >= MAX_NAMES {
            return None;
        }
        let index = u32::try_from(index).ok()?;
        self.indexes.insert(instance.clone(), index);
        delta.names.push(instance.clone());
        Some(index)
    }

    fn add_drains(&mut self, report: &Report, delta: &mut Delta) {
        for instance in union(&self.drains, &report.drains) {
            let drain = report.drains.get(&instance).copied();
            if drain == self.drains.get(&instance).copied() {
                continue;
            }
            let Some(index) = self.index(&instance, delta) else {
                continue;
            };
            delta.drains.push(DrainChange { index, drain });
            match drain {
                Some(drain) => self.drains.insert(instance, drain),
                None => self.drains.remove(&instance),
            };
        }
    }

    fn add_loads(&mut self, report: &Report, load_budget: usize, delta: &mut Delta) {
        let mut changes = Vec::new();
        for instance in union(&self.loads, &report.loads) {
            let load = report.loads.get(&instance).copied().unwrap_or_default();
            let sent = self.loads.get(&instance).copied().unwrap_or_default();
            if load != sent {
                changes.push((Reverse(distance(load, sent)), instance, load));
            }
        }
        changes.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let mut remaining = load_budget;
        for (_, instance, load) in changes {
            let named = self.indexes.contains_key(&instance);
            let cost = if named { 1 } else { 1 + name_cost(&instance) };
            // The first is always sent, or a long name could never be sent with a small budget.
            if cost > remaining && !delta.loads.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(cost);
            let Some(index) = self.index(&instance, delta) else {
                continue;
            };
            delta.loads.push(LoadChange { index, load });
            if load.is_zero() {
                self.loads.remove(&instance);
            } else {
                self.loads.insert(instance, load);
            }
        }
    }
}

/// The cost of naming an instance, in loads: a pointer and the NUL-terminated text, both padded to
/// whole words, which are the size of a load.
fn name_cost(instance: &id::Instance) -> usize {
    1 + (instance.as_str().len() + 1).div_ceil(LOAD_BYTES)
}

fn distance(a: Load, b: Load) -> u32 {
    u32::from(a.in_flight.abs_diff(b.in_flight)) + u32::from(a.demand.abs_diff(b.demand))
}

fn union<T>(
    a: &BTreeMap<id::Instance, T>,
    b: &BTreeMap<id::Instance, T>,
) -> std::collections::BTreeSet<id::Instance> {
    a.keys().chain(b.keys()).cloned().collect()
}

/// The receiving side of a session.
#[derive(Clone, Debug)]
pub struct Decoder {
    names: Vec<id::Instance>,
    report: Report,
}

impl Decoder {
    /// A decoder of the reports of `from`.
    pub fn new(from: Identity) -> Self {
        Self {
            names: Vec::new(),
            report: Report::new(from),
        }
    }

    /// Applies `delta` and returns the updated report.
    ///
    /// # Errors
    /// [`Error`] if the delta is not one that an [`Encoder`] produces; the session must be closed.
    pub fn apply(&mut self, delta: Delta) -> Result<&Report, Error> {
        if self.names.len() + delta.names.len() > MAX_NAMES {
            return Err(Error::TooManyNames);
        }
        self.names.extend(delta.names);
        for change in delta.drains {
            let instance = self.name(change.index)?;
            match change.drain {
                Some(drain) => self.report.drains.insert(instance, drain),
                None => self.report.drains.remove(&instance),
            };
        }
        for change in delta.loads {
            let instance = self.name(change.index)?;
            if change.load.is_zero() {
                self.report.loads.remove(&instance);
            } else {
                self.report.loads.insert(instance, change.load);
            }
        }
        self.report.number = delta.number;
        self.report.seq = delta.seq;
        self.report.confirmed = delta.confirmed;
        Ok(&self.report)
    }

    fn name(&self, index: u32) -> Result<id::Instance, Error> {
        let position = usize::try_from(index).ok();
        position
            .and_then(|position| self.names.get(position))
            .cloned()
            .ok_or(Error::UnknownIndex(index))
    }
}
