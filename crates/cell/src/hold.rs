//! Jobs whose rows the store refuses.
//!
//! The state of such a job can't be stored, so nothing of it may start: a later owner wouldn't know
//! of the run. The job is *held* while the pool's other jobs go on. Its runs go on as well. Their
//! ends are not acknowledged to the workers, so that a later owner learns of them. The rows are
//! tried again from time to time, and at once when the job ends, since its last row is short.

use crate::{
    cell::Cell,
    limits::Millis,
    order::{EndsCursor, RoundOutput},
    worker::Worker,
};
use bytes::Bytes;
use primroseroute_domain::work::{JobId, Name};
use std::collections::BTreeSet;

/// Time after which refused rows are tried again.
const RETRY_AFTER: Millis = 5_000;

/// A job that is held.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    /// When its rows are tried again.
    retry_at: Millis,
    /// The last row of a job that has ended.
    last: Option<Bytes>,
}

impl Cell {
    /// Records that the store has refused rows of these jobs in the commit of `output`. Call this
    /// before [`Self::record_commit`].
    pub fn record_refused(
        &mut self,
        output: &mut RoundOutput,
        refused: &BTreeSet<JobId>,
        now: Millis,
    ) {
        for id in refused {
            let put = output.puts.iter().find(|(of, _row)| of == id);
            let change = output.overflow.get(id);
            let last = match (self.jobs.get_mut(id), put) {
                (Some(job), _) => {
                    job.overflow.record_uncertain(change);
                    self.dirty.insert(id.clone());
                    None
                }
                (None, Some((_id, row))) => Some(row.clone()),
                // Rows that were left over from an ended job; a successor deletes them.
                (None, None) => continue,
            };
            let retry_at = now + RETRY_AFTER;
            self.holds.insert(id.clone(), Hold { retry_at, last });
        }
        output.puts.retain(|(id, _row)| !refused.contains(id));
        output.ended.retain(|(id, _state)| !refused.contains(id));
        for (id, cursor) in &mut output.ends_committed {
            if let Some(worker) = self.workers.get(id) {
                cursor.number = cursor.number.min(self.committable_end(worker));
            }
        }
    }

    /// Releases the jobs whose rows are committed now, and forgets the ends that are.
    pub(crate) fn settle(&mut self, output: &RoundOutput) {
        for (id, _row) in &output.puts {
            self.holds.remove(id);
        }
        for (id, cursor) in &output.ends_committed {
            if let Some(worker) = self.workers.get_mut(id)
                && worker.incarnation == cursor.incarnation
            {
                let holds = &self.holds;
                worker
                    .uncommitted_ends
                    .retain(|(number, job)| *number > cursor.number || holds.contains_key(job));
            }
        }
    }

    /// Number of jobs whose rows are refused.
    pub fn held_jobs(&self) -> usize {
        self.holds.len()
    }

    /// Whether nothing of a job may start since its rows are refused.
    pub(crate) fn is_held(&self, id: &JobId) -> bool {
        self.holds.contains_key(id)
    }

    /// Whether a job's rows are to be left out of the next commit.
    pub(crate) fn is_put_off(&self, id: &JobId, now: Millis) -> bool {
        let hold = self.holds.get(id);
        let job = self.jobs.get(id);
        let has_ended = job.is_some_and(|job| job.progress.state.is_final());
        hold.is_some_and(|hold| now < hold.retry_at && !has_ended)
    }

    /// The last rows of ended jobs that are to be tried again.
    pub(crate) fn due_last_rows(&self, now: Millis) -> Vec<(JobId, Bytes)> {
        let due = self.holds.iter();
        let due = due.filter(|(_id, hold)| now >= hold.retry_at);
        due.filter_map(|(id, hold)| Some((id.clone(), hold.last.clone()?)))
            .collect()
    }

    /// For each worker, the position up to which its ended runs can be committed.
    pub(crate) fn ends_cursors(&self) -> Vec<(Name, EndsCursor)> {
        let workers = self.workers.iter();
        let cursors = workers.map(|(id, worker)| {
            let mut cursor = worker.ends_cursor();
            cursor.number = cursor.number.min(self.committable_end(worker));
            (Name::clone(id), cursor)
        });
        cursors.collect()
    }

    /// The highest number of an ended run of a worker before the first one whose job is held.
    fn committable_end(&self, worker: &Worker) -> u64 {
        let mut ends = worker.uncommitted_ends.iter();
        let first = ends.find(|(_number, job)| self.is_held(job));
        first.map_or(u64::MAX, |(number, _job)| number.saturating_sub(1))
    }
}
