//! Figures that an owner has published beside its rows, and when a change of them is due.
//!
//! Both figures go out with any commit. A commit is made for a figure alone at once, or soon, if it
//! has risen, and later if it has only fallen: a busy pool commits something else by then. Counts
//! that stay the same are committed again at long intervals.

use primroseroute_cell::{Millis, row::DesiredWorkers};
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Delay after a publication before a smaller number of wanted workers is due.
const SCALE_DOWN_DELAY: Millis = 300;

/// Delay after a publication before a larger count of queued jobs is due.
const COUNT_INCREASE_DELAY: Millis = 500;

/// The same for smaller counts.
const COUNT_DECREASE_DELAY: Millis = 1_000;

/// Delay after a publication before the same counts are due again. Readers count the jobs accepted
/// since the last commit from the store's history, which keeps a commit for longer than this.
const COUNT_REFRESH_DELAY: Millis = 10_000;

/// The number of wanted workers that was published last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PublishedScaling {
    known: Option<DesiredWorkers>,
    at: Millis,
}

impl PublishedScaling {
    /// Records that `wanted` is published.
    pub(crate) fn record(&mut self, wanted: DesiredWorkers, now: Millis) {
        self.known = Some(wanted);
        self.at = now;
    }

    /// Whether `wanted` is due.
    pub(crate) fn is_due(&self, wanted: DesiredWorkers, now: Millis) -> bool {
        let Some(known) = self.known else {
            return true;
        };
        let risen =
            wanted.workers > known.workers || wanted.now > known.now || wanted.late > known.late;
        risen || (wanted != known && now >= self.at + SCALE_DOWN_DELAY)
    }
}

/// The counts of queued jobs that were published last, by queue.
///
/// They are due as well if they are the same again with other jobs: readers add the jobs that were
/// accepted since.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedCounts {
    known: Option<BTreeMap<Name, u64>>,
    /// Number of jobs received by then.
    received: u64,
    at: Millis,
}

impl PublishedCounts {
    /// Records that `counts` are published, which include the first `received` jobs.
    pub(crate) fn record(&mut self, counts: BTreeMap<Name, u64>, received: u64, now: Millis) {
        self.known = Some(counts);
        self.received = received;
        self.at = now;
    }

    /// Whether `counts`, which include the first `received` jobs, are due.
    pub(crate) fn is_due(&self, counts: &BTreeMap<Name, u64>, received: u64, now: Millis) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        let has_risen = |(queue, jobs): (&Name, &u64)| known.get(queue).is_none_or(|at| jobs > at);
        let after = if counts.iter().any(has_risen) {
            COUNT_INCREASE_DELAY
        } else if counts != known || received != self.received {
            COUNT_DECREASE_DELAY
        } else {
            COUNT_REFRESH_DELAY
        };
        now >= self.at + after
    }
}
