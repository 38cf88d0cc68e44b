//! The scheduler and the job rows of the table, and how the scheduler is kept up to date with them.

use super::{Settings, quarantine::FaultyInstances, row_cache::JobRowCache};
use primroseroute_domain::outcome::Refusal;
use primroseroute_jobs::{Row, Scheduler, State as Job};
use primroseroute_platform::task::{Phase, Report};
use primroseroute_view::Snapshot;
use std::time::Duration;

/// Ended runs that one plan processes; the others are reported again.
const MAX_ENDS: usize = 100;

/// The scheduler, the rows that were applied to it, and the instances that it found faulty.
#[derive(Clone, Debug)]
pub(super) struct DriverState {
    pub(super) scheduler: Scheduler,
    pub(super) row_cache: JobRowCache,
    pub(super) faulty: FaultyInstances,
}

/// How a row of the table changes the scheduler.
enum RowChange {
    /// The scheduler already has it.
    Unchanged,
    /// A job to add, or to put back into the queue.
    Add,
    /// An operator cancelled the job.
    Cancel,
    /// Only the scheduler itself could have written the row, but it does not know it.
    Unknown,
}

impl DriverState {
    /// Restores the scheduler from the rows of `snapshot` as of `now`.
    pub(super) fn from_snapshot(
        snapshot: &Snapshot,
        settings: &Settings,
        now: Duration,
    ) -> Result<Self, Refusal> {
        let mut row_cache = JobRowCache::default();
        row_cache.refresh(snapshot)?;
        let scheduler = Scheduler::restore(settings.limits, row_cache.rows().cloned(), now);
        Ok(Self {
            scheduler,
            row_cache,
            faulty: FaultyInstances::default(),
        })
    }

    /// Applies what others have written since.
    ///
    /// A row that nobody else can have written comes from a commit whose response was lost. A
    /// scheduler without it could start a job that already runs, so it is restored from the rows.
    pub(super) fn apply_snapshot(
        &mut self,
        snapshot: &Snapshot,
        settings: &Settings,
        now: Duration,
    ) -> Result<(), Refusal> {
        let changes = self.row_cache.refresh(snapshot)?;
        for job in &changes.deleted {
            self.scheduler.remove(job);
        }
        let unknown_deletion = changes
            .deleted
            .iter()
            .any(|job| self.scheduler.row(job).is_some());
        let is_stale =
            unknown_deletion || !changes.written.into_iter().all(|row| self.apply_row(row));
        if is_stale {
            log::warn!("found job rows of a commit with a lost response; restoring the scheduler");
            self.scheduler =
                Scheduler::restore(settings.limits, self.row_cache.rows().cloned(), now);
        }
        Ok(())
    }

    /// Applies one row; returns whether the scheduler remains usable.
    fn apply_row(&mut self, row: Row) -> bool {
        match self.row_change(&row) {
            RowChange::Unchanged => {}
            RowChange::Add => {
                self.scheduler.remove(&row.id);
                self.scheduler.add(row);
            }
            RowChange::Cancel => self.scheduler.cancel([&row.id]),
            RowChange::Unknown => return false,
        }
        true
    }

    fn row_change(&self, row: &Row) -> RowChange {
        let if_new = || match row.state.instance() {
            Some(_) => RowChange::Unknown,
            None => RowChange::Add,
        };
        let Some(own) = self.scheduler.row(&row.id) else {
            return if_new();
        };
        let same_start = own.token == row.token;
        match (&own.state, &row.state) {
            (own, theirs) if own == theirs && same_start => RowChange::Unchanged,
            // The scheduler knows that the start had no effect; the next change will update the
            // row.
            (Job::Queued, Job::Running(_)) | (Job::Cancelled, Job::Cancelling(_)) if same_start => {
                RowChange::Unchanged
            }
            (Job::Queued | Job::Running(_), Job::Cancelled | Job::Cancelling(_)) if same_start => {
                RowChange::Cancel
            }
            // Released, cancelled while parked, or submitted again under the same name.
            (Job::Parked(_) | Job::Cancelled | Job::Done, _) => if_new(),
            _ => RowChange::Unknown,
        }
    }

    /// Applies task reports, at most [`MAX_ENDS`] of which are ended runs.
    pub(super) fn apply_task_reports(&mut self, reports: &[Report], now: Duration) {
        let mut ends = 0;
        let is_current = |report: &Report| {
            let row = self.scheduler.row(&report.job);
            row.is_some_and(|row| row.token == report.token && row.state.instance().is_some())
        };
        let mut accepted = |report: &&Report| {
            if report.phase == Phase::Running {
                return true;
            }
            ends += usize::from(is_current(report));
            is_current(report) && ends <= MAX_ENDS
        };
        let applied: Vec<Report> = reports.iter().filter(&mut accepted).cloned().collect();
        self.scheduler.apply_reports(&applied, now);
    }
}
