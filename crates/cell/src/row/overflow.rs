//! Rows for the part of a job's progress that its own row can't hold.
//!
//! A value in the store has at most [`MAX_VALUE_BYTES`]. The [`Progress`] row of a job holds its first
//! unfinished occurrences, as many as fit. The others are stored as *segments*, each with a fixed
//! range of the tasks of one occurrence, so that the longest segment fits into a row whatever the
//! state of its tasks. An [`Index`] row lists these occurrences.
//!
//! Segments are independent of each other and may be committed by several transactions, before the
//! job's own row and the index, which are written together. A segment that is missing belongs to
//! tasks that were never placed. Rows that are no longer needed are deleted last.
//!
//! The job's own row decides: an occurrence before its `next` is never looked up elsewhere. An
//! entry of a version without segments reads the occurrences after that as not begun.

use super::{Accepted, Progress, Steps, Task, WORK};
use bytes::Bytes;
use primroseroute_domain::work::{JobId, Name, Step};
use primroseroute_platform::rows::{Place, Range};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum length of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 65_536;

/// Maximum number of failed runs that a queue may allow a task: a segment holds at least one task
/// with all of them.
pub const MAX_ATTEMPTS: u32 = 5_000;

/// Maximum length of a stored checkpoint in bytes, each of which may be escaped.
const MAX_CHECKPOINT_BYTES: usize = 256;

/// Maximum length of a run number in a list, in bytes.
const RUN_BYTES: usize = 11;

/// Length of an escaped byte of a text.
const ESCAPED_BYTES: usize = 6;

/// Maximum length of a task in bytes, without its failed runs: the id of its worker, which is a key
/// of the store of at most 200 bytes, its checkpoint, eight crashed runs, and 60 bytes for the rest.
const TASK_BYTES: usize = (200 + MAX_CHECKPOINT_BYTES) * ESCAPED_BYTES + 8 * RUN_BYTES + 60;

const _: () = assert!(TASK_BYTES + MAX_ATTEMPTS as usize * RUN_BYTES < MAX_VALUE_BYTES);

/// Maximum length of an occurrence's key in a map, with its punctuation.
const KEY_BYTES: usize = 14;

/// Suffix of the key of an index; segments append their numbers to it.
const SUFFIX: &str = ".overflow";

/// Kind of a row in `work`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkKey {
    /// A job's own row.
    Progress(JobId),
    /// The index of a job's segments.
    Index(JobId),
    /// A segment.
    Segment(JobId, SegmentId),
}

impl WorkKey {
    /// Parses a key; `None` if it isn't that of a job's row.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(id) = JobId::parse(key) {
            return Some(Self::Progress(id));
        }
        let (id, rest) = key.split_once(SUFFIX)?;
        let id = JobId::parse(id)?;
        if rest.is_empty() {
            return Some(Self::Index(id));
        }
        let (occurrence, number) = rest.strip_prefix('.')?.split_once('.')?;
        let segment = SegmentId {
            occurrence: occurrence.parse().ok()?,
            number: number.parse().ok()?,
        };
        Some(Self::Segment(id, segment))
    }
}

/// A segment of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentId {
    /// The occurrence.
    pub occurrence: u32,
    /// Its number within the occurrence.
    pub number: u16,
}

/// The occurrences whose tasks are in segments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// Number of the next occurrence to begin.
    pub next: u32,
    /// Occurrences that have begun and aren't done.
    pub open: BTreeSet<u32>,
}

/// A job's rows besides its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overflow {
    /// The index, if there is one.
    pub index: Option<Bytes>,
    /// The segments.
    pub segments: BTreeMap<SegmentId, Bytes>,
}

impl Overflow {
    /// Records that it isn't known which of the writes of `change`, which led to this state, have
    /// taken effect: all rows are written again, or deleted.
    pub(crate) fn record_uncertain(&mut self, change: Option<&Change>) {
        let unneeded = change.into_iter().flat_map(|change| &change.unneeded);
        let unneeded = unneeded.map(|id| (*id, Bytes::new()));
        self.segments.extend(unneeded);
        for value in self.segments.values_mut() {
            *value = Bytes::new();
        }
        if self.index.is_some() || change.is_some_and(|change| change.drop_index) {
            self.index = Some(Bytes::new());
        }
    }

    /// The writes that replace `self`, which is stored, by `wanted`.
    pub(crate) fn change_to(&self, wanted: &Self) -> Change {
        let segments = wanted.segments.iter();
        let segments = segments.filter(|(id, value)| self.segments.get(id) != Some(value));
        let unneeded = self.segments.keys();
        let unneeded = unneeded.filter(|id| !wanted.segments.contains_key(id));
        Change {
            segments: segments.map(|(id, value)| (*id, value.clone())).collect(),
            index: wanted.index.clone().filter(|_| self.index != wanted.index),
            unneeded: unneeded.copied().collect(),
            drop_index: self.index.is_some() && wanted.index.is_none(),
        }
    }
}

/// Writes to a job's rows besides its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Segments to write, before the job's own row.
    pub segments: Vec<(SegmentId, Bytes)>,
    /// The index, if it is to be written, together with the job's own row.
    pub index: Option<Bytes>,
    /// Segments to delete, after the job's own row is written.
    pub unneeded: Vec<SegmentId>,
    /// Whether the index is to be deleted after that as well.
    pub drop_index: bool,
}

impl Change {
    /// Whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Location of the index of a job's segments.
pub fn index(pool: &str, id: &JobId) -> Place {
    Place::new(WORK, pool, &format!("{id}{SUFFIX}"))
}

/// Location of a segment.
pub fn segment(pool: &str, id: &JobId, segment: SegmentId) -> Place {
    let SegmentId { occurrence, number } = segment;
    Place::new(WORK, pool, &format!("{id}{SUFFIX}.{occurrence}.{number}"))
}

/// All rows of a job: its own, and those besides.
pub fn range(pool: &str, id: &JobId) -> Range {
    // The character after the dot of the suffix.
    let end = format!("{id}/");
    Range {
        table: WORK.into(),
        partition: pool.into(),
        from: Some(id.as_str().into()),
        to: Some(end.into()),
    }
}

/// Whether a task's row has room for a checkpoint; without it, the task's next run starts over.
pub(crate) fn is_storable(checkpoint: &Name) -> bool {
    checkpoint.len() <= MAX_CHECKPOINT_BYTES
}

/// Encodes the progress of a job: its own row, and those besides it.
pub fn encode(accepted: &Accepted, progress: &Progress) -> (Bytes, Overflow) {
    let whole = to_json(progress);
    if whole.len() <= MAX_VALUE_BYTES {
        return (whole, Overflow::default());
    }
    let mut own = Progress {
        steps: BTreeMap::new(),
        account: progress.account.clone(),
        ..*progress
    };
    let mut bytes = to_json(&own).len();
    for (&occurrence, steps) in &progress.steps {
        bytes += to_json(steps).len() + KEY_BYTES;
        if bytes > MAX_VALUE_BYTES {
            own.next = occurrence;
            break;
        }
        own.steps.insert(occurrence, steps.clone());
    }
    let mut index = Index {
        next: progress.next,
        open: BTreeSet::new(),
    };
    let mut segments = BTreeMap::new();
    for (&occurrence, steps) in progress.steps.range(own.next..) {
        index.open.insert(occurrence);
        let tasks: Vec<&Task> = steps.iter().flatten().collect();
        for (number, tasks) in (0..).zip(tasks.chunks(segment_len(accepted))) {
            segments.insert(SegmentId { occurrence, number }, to_json(&tasks));
        }
    }
    let overflow = Overflow {
        index: Some(to_json(&index)),
        segments,
    };
    (to_json(&own), overflow)
}

/// The whole progress of a job from its own row and those besides it.
///
/// # Errors
/// The error of the first row that can't be parsed.
pub fn decode(
    accepted: &Accepted,
    mut own: Progress,
    overflow: &Overflow,
) -> Result<Progress, serde_json::Error> {
    let Some(index) = &overflow.index else {
        return Ok(own);
    };
    let index: Index = serde_json::from_slice(index)?;
    if index.next <= own.next || own.state.is_final() {
        return Ok(own);
    }
    for &occurrence in index.open.range(own.next..) {
        let steps = tasks(accepted, occurrence, overflow)?;
        own.steps.insert(occurrence, steps);
    }
    own.next = index.next;
    Ok(own)
}

/// The tasks of an occurrence that is in segments.
fn tasks(
    accepted: &Accepted,
    occurrence: u32,
    overflow: &Overflow,
) -> Result<Steps, serde_json::Error> {
    let steps = &accepted.job.steps;
    let count: usize = steps.iter().map(|step| usize::from(step.count)).sum();
    let segment_len = segment_len(accepted);
    let mut tasks: Vec<Task> = Vec::with_capacity(count);
    for (number, begin) in (0..).zip((0..count).step_by(segment_len)) {
        if let Some(segment) = overflow.segments.get(&SegmentId { occurrence, number }) {
            let stored: Vec<Task> = serde_json::from_slice(segment)?;
            tasks.extend(stored);
        }
        tasks.resize(count.min(begin + segment_len), Task::default());
    }
    let mut tasks = tasks.into_iter();
    let of_step = |step: &Step| tasks.by_ref().take(usize::from(step.count)).collect();
    Ok(steps.iter().map(of_step).collect())
}

/// Number of tasks of a segment. It depends on nothing that changes while a job exists.
fn segment_len(accepted: &Accepted) -> usize {
    let attempts = accepted.max_attempts.min(MAX_ATTEMPTS) as usize;
    // A list of tasks has a separator for each.
    (MAX_VALUE_BYTES / (TASK_BYTES + attempts * RUN_BYTES + 1)).max(1)
}

fn to_json(value: &impl Serialize) -> Bytes {
    let json = serde_json::to_vec(value).expect("progress has no map with complex keys");
    json.into()
}
