//! Counts of the entries' calls to the platform and messages to each other.

use primroseroute_peer::memory;
use primroseroute_testbed::platform::tally::{Kind, Tally};
use serde::Serialize;
use std::ops::Sub;

/// Counts over all entries, since the start or over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Count {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Rows returned by reads and scans.
    pub rows_read: u64,
    /// Commits.
    pub writes: u64,
    /// Rows written by commits.
    pub rows_written: u64,
    /// Reads of the platform's list of instances.
    pub lists: u64,
    /// Exchanges of reports between two entries, each a request and a response.
    pub exchanges: u64,
    /// Pushes of records from one entry to another.
    pub pushes: u64,
    /// Pulls of records or of a snapshot.
    pub pulls: u64,
}

impl Count {
    pub(crate) fn of(tally: &Tally, messages: memory::MessageCounts) -> Self {
        let (read, scan) = (tally.of(Kind::Read), tally.of(Kind::Scan));
        let commit = tally.of(Kind::Commit);
        Self {
            reads: read.calls + scan.calls,
            rows_read: read.rows + scan.rows,
            writes: commit.calls,
            rows_written: commit.rows,
            lists: tally.of(Kind::ListInstances).calls,
            exchanges: messages.exchanges,
            pushes: messages.pushes,
            pulls: messages.record_pulls + messages.snapshot_pulls,
        }
    }
}

impl Sub for Count {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            reads: self.reads - rhs.reads,
            rows_read: self.rows_read - rhs.rows_read,
            writes: self.writes - rhs.writes,
            rows_written: self.rows_written - rhs.rows_written,
            lists: self.lists - rhs.lists,
            exchanges: self.exchanges - rhs.exchanges,
            pushes: self.pushes - rhs.pushes,
            pulls: self.pulls - rhs.pulls,
        }
    }
}
