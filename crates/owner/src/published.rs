//! What an owner has published beside its rows, and when a change of it is due.
//!
//! Both figures go out with any commit. For their own sake a commit is made at once, or soon, where one
//! has risen, and later where they have only fallen: a pool at work commits something else by then.

use primroseroute_cell::{Millis, row::DesiredWorkers};
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Time after a publication before a smaller number of wanted workers is due.
const NEED_FALLS_AFTER: Millis = 300;

/// Time after a publication before a larger count of queued jobs is due.
const COUNTS_RISE_AFTER: Millis = 500;

/// The same for smaller counts.
const COUNTS_FALL_AFTER: Millis = 1_000;

/// The need that was published last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Need {
    known: Option<DesiredWorkers>,
    at: Millis,
}

impl Need {
    /// Takes in that `wanted` is published.
    pub(crate) fn put(&mut self, wanted: DesiredWorkers, now: Millis) {
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
        risen || (wanted != known && now >= self.at + NEED_FALLS_AFTER)
    }
}

/// The counts of queued jobs that were published last, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    known: Option<BTreeMap<Name, u64>>,
    at: Millis,
}

impl Counts {
    /// Takes in that `counts` are published.
    pub(crate) fn put(&mut self, counts: BTreeMap<Name, u64>, now: Millis) {
        self.known = Some(counts);
        self.at = now;
    }

    /// Whether `counts` are due.
    pub(crate) fn is_due(&self, counts: &BTreeMap<Name, u64>, now: Millis) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        let has_risen = |(queue, jobs): (&Name, &u64)| known.get(queue).is_none_or(|at| jobs > at);
        let after = if counts.iter().any(has_risen) {
            COUNTS_RISE_AFTER
        } else {
            COUNTS_FALL_AFTER
        };
        counts != known && now >= self.at + after
    }
}
