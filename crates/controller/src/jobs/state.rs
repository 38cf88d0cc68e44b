//! The scheduler beside the rows of the table, and how it follows them.

use super::{Settings, mirror::Mirror, quarantine::Accused};
use primroseroute_domain::outcome::Refusal;
use primroseroute_jobs::{Row, Scheduler, State as Job};
use primroseroute_platform::task::{Phase, Report};
use primroseroute_view::Snapshot;
use std::time::Duration;

/// Ends of runs that one plan takes in; the others are reported again.
const ENDS: usize = 100;

/// The scheduler, the rows that it has taken in, and the instances that it found faulty.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) scheduler: Scheduler,
    pub(super) mirror: Mirror,
    pub(super) accused: Accused,
}

/// What a row of the table means for the scheduler.
enum Means {
    /// What the scheduler has already.
    Nothing,
    /// A job to add, or to put back into the queue.
    Add,
    /// An operator cancelled it.
    Cancel,
    /// Something that the scheduler should have written itself and does not know.
    Lost,
}

impl State {
    /// Takes the rows of `snapshot` over at `now`.
    pub(super) fn open(
        snapshot: &Snapshot,
        settings: &Settings,
        now: Duration,
    ) -> Result<Self, Refusal> {
        let mut mirror = Mirror::default();
        mirror.look(snapshot)?;
        let scheduler = Scheduler::restore(settings.limits, mirror.rows().cloned(), now);
        Ok(Self {
            scheduler,
            mirror,
            accused: Accused::default(),
        })
    }

    /// Takes in what others wrote since.
    ///
    /// A row that nobody else can have written comes of a commit whose answer was lost. The scheduler
    /// without it could start a job beside its run, so it is opened anew.
    pub(super) fn follow(
        &mut self,
        snapshot: &Snapshot,
        settings: &Settings,
        now: Duration,
    ) -> Result<(), Refusal> {
        let found = self.mirror.look(snapshot)?;
        for job in &found.gone {
            self.scheduler.remove(job);
        }
        let left = found
            .gone
            .iter()
            .any(|job| self.scheduler.row(job).is_some());
        let lost = left || !found.written.into_iter().all(|row| self.take_in(row));
        if lost {
            log::warn!("a change of the jobs was committed unseen; their rows are taken over");
            self.scheduler = Scheduler::restore(settings.limits, self.mirror.rows().cloned(), now);
        }
        Ok(())
    }

    /// Takes in one row; says whether the scheduler can go on.
    fn take_in(&mut self, row: Row) -> bool {
        match self.means(&row) {
            Means::Nothing => {}
            Means::Add => {
                self.scheduler.remove(&row.id);
                self.scheduler.add(row);
            }
            Means::Cancel => self.scheduler.cancel([&row.id]),
            Means::Lost => return false,
        }
        true
    }

    fn means(&self, row: &Row) -> Means {
        let is_new = || match row.state.instance() {
            Some(_) => Means::Lost,
            None => Means::Add,
        };
        let Some(own) = self.scheduler.row(&row.id) else {
            return is_new();
        };
        let same_start = own.token == row.token;
        match (&own.state, &row.state) {
            (own, theirs) if own == theirs && same_start => Means::Nothing,
            // The scheduler knows that the start had no effect; the row says so with the next change.
            (Job::Queued, Job::Running(_)) | (Job::Cancelled, Job::Cancelling(_)) if same_start => {
                Means::Nothing
            }
            (Job::Queued | Job::Running(_), Job::Cancelled | Job::Cancelling(_)) if same_start => {
                Means::Cancel
            }
            // Released, cancelled while parked, or submitted again under the same name.
            (Job::Parked(_) | Job::Cancelled | Job::Done, _) => is_new(),
            _ => Means::Lost,
        }
    }

    /// Takes in one reading of the reports.
    pub(super) fn report(&mut self, reports: &[Report], now: Duration) {
        let mut ends = 0;
        let is_current = |report: &Report| {
            let row = self.scheduler.row(&report.job);
            row.is_some_and(|row| row.token == report.token && row.state.instance().is_some())
        };
        let mut within = |report: &&Report| {
            if report.phase == Phase::Running {
                return true;
            }
            ends += usize::from(is_current(report));
            is_current(report) && ends <= ENDS
        };
        let taken: Vec<Report> = reports.iter().filter(&mut within).cloned().collect();
        self.scheduler.apply_reports(&taken, now);
    }
}
