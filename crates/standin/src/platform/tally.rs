//! Counts calls, rows and bytes by kind of call.

use std::collections::BTreeMap;

/// A kind of call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// `table::Table::read`.
    Read,
    /// `table::Table::scan`.
    Scan,
    /// `table::Table::commit`.
    Commit,
    /// `object::Store::put`.
    PutObject,
    /// `object::Store::get`.
    GetObject,
    /// `object::Store::list`.
    ListObjects,
    /// `fleet::Instances::list`.
    ListInstances,
    /// `fleet::Instances::reboot`.
    Reboot,
    /// `task::Tasks::start`.
    StartTask,
    /// `task::Tasks::renew`.
    RenewTask,
    /// `task::Tasks::checkpoint`.
    CheckpointTask,
    /// `task::Tasks::throttle`.
    ThrottleTask,
    /// `task::Tasks::stop`.
    StopTask,
    /// `task::Tasks::reports`.
    TaskReports,
}

impl Kind {
    /// Whether the call can have an effect, so that a lost response leaves its outcome unknown.
    pub fn mutates(self) -> bool {
        !matches!(
            self,
            Self::Read
                | Self::Scan
                | Self::GetObject
                | Self::ListObjects
                | Self::ListInstances
                | Self::TaskReports
        )
    }
}

/// Counts for one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All calls, successful or not.
    pub calls: u64,
    /// Calls that returned an error.
    pub failed: u64,
    /// Rows read or written by calls that took effect.
    pub rows: u64,
    /// Bytes of keys and values in those rows.
    pub bytes: u64,
}

/// Counts by kind of call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    counts: BTreeMap<Kind, Count>,
}

impl Tally {
    /// The counts of `kind`.
    pub fn of(&self, kind: Kind) -> Count {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// Every kind that was called, with its counts.
    pub fn kinds(&self) -> impl Iterator<Item = (Kind, Count)> + '_ {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }

    pub(super) fn call(&mut self, kind: Kind) {
        self.counts.entry(kind).or_default().calls += 1;
    }

    pub(super) fn fail(&mut self, kind: Kind) {
        self.counts.entry(kind).or_default().failed += 1;
    }

    pub(super) fn effect(&mut self, kind: Kind, rows: u64, bytes: u64) {
        let count = self.counts.entry(kind).or_default();
        count.rows += rows;
        count.bytes += bytes;
    }
}
