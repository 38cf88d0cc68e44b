//! Rows that jobs have in the store: their locations and values.
//!
//! | table | partition | key | value | written by |
//! |---|---|---|---|---|
//! | `ids` | hash of the id | id | [`Claim`] | the gateway that accepts the job, once; or, as a [`tombstone`], the gateway that cancels or rejects an unknown job |
//! | `jobs-N` | hash of the id | id | [`Accepted`] | the same transaction |
//! | `jobs-N` | hash of the id | id `.cancel` | empty | the gateway that accepts the cancel |
//! | `jobs-N` | hash of the id | id `.tombstone` | [`tombstone::Marker`] | the same transaction as the tombstone |
//! | `work` | pool | id | [`Progress`] | the pool's owner |
//! | `work` | pool | id `.overflow` and more | [`overflow`] | the pool's owner, if the row before is too long |
//! | `work` | pool | `.batch` | [`CommitRecord`] | the pool's owner, with each commit |
//! | `work` | pool | `.batch.` and a former pool | [`FormerPool`] | the owner of the former pool of queues of this pool |
//! | `control` | pool | `owner` | [`Owner`] | the entry that takes over or releases the pool |
//! | `control` | pool | `wanted` | [`DesiredWorkers`] | the pool's owner, with a commit |
//! | `control` | pool | `orders` | [`Orders`] | the pool's owner, to request orders to its instances |
//! | `control` | pool | `answer` and a group | [`Answer`] | the holder of the group, before and after it gives the orders |
//! | `control` | group | `owner` | [`Owner`] | the entry that takes over or releases the group of instances |
//! | `control` | `.members-` and a hash of the entry | entry | [`Member`] | the entry while it is active, as its heartbeat |
//! | `presence` | hash of the entry | entry | [`Presence`] | the entry |
//! | `active-set` | `active-set` | `active-set` | [`ActiveSet`] | one of the active entries |
//! | `accounts` | `accounts` | account | [`Budget`](primroseroute_accounts::budget::Budget) | owners of pools that run its tasks |
//! | `admission` | pool | `load` | [`PoolLoad`](primroseroute_admission::PoolLoad) | the pool's owner, with a commit |
//! | `waves` | `waves` | number | [`WaveProgress`] | owners of pools with instances of the wave |
//!
//! `N` is a hash of the pool, so that an owner's feed shows few jobs of other pools. Ids are
//! partitioned independently of pools: a queue may be reassigned to another pool between two
//! attempts of one submission, and both must meet the same row.

mod membership;
mod orders;
pub mod overflow;
pub mod tombstone;

pub use membership::{
    ActiveSet, PRESENCE, Presence, active_set, presence, presence_part, presence_parts,
};
pub use orders::{Answer, Order, OrderResult, Orders, answer, group, groups, is_group, orders};

use orders::{ANSWER, ORDERS};
use primroseroute_domain::work::{Job, JobId, Name, State};
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Partitions of `ids` and `jobs-N`. A partition processes transactions one after another and
/// rejects them once a second of them waits: with 40 submissions a second and a store that takes 50
/// times as long as usual (0.4 s each), 48 partitions have a third of a second waiting; 16 had a
/// whole one, and 4 had four. More partitions cost a new owner more reads.
pub const ID_PARTS: u64 = 48;

/// Number of tables that the jobs of pools are distributed over; the store allows 100 tables.
const JOB_TABLES: u64 = 32;

/// Suffix of the key of a cancel.
const CANCEL: &str = ".cancel";

/// Key of the row that every commit of an owner writes.
pub const COMMIT_RECORD: &str = ".batch";

/// Table of owners and heartbeats: one feed shows both.
pub const CONTROL: &str = "control";

/// Prefix of the partitions of heartbeats; no pool's name begins with a dot.
const MEMBERS: &str = ".members-";

/// Partitions of heartbeats. With the heartbeats of a few entries in one partition, a store that
/// took 40 times as long as usual rejected them; with 8 partitions they don't wait for each other.
const MEMBER_PARTS: u64 = 8;

/// Key of a pool's owner.
const OWNER: &str = "owner";

/// Key of the number of workers that a pool can use.
const DESIRED_WORKERS: &str = "wanted";

/// Table of what the owners of pools publish for the admission of jobs.
pub const ADMISSION: &str = "admission";

/// Key of a pool's load.
const LOAD: &str = "load";

/// Table of progress.
pub const WORK: &str = "work";

/// Table and partition of waves.
pub const WAVES: &str = "waves";

/// Table and partition of accounts' budgets.
pub const ACCOUNTS: &str = "accounts";

/// FNV-1a: stable across processes and versions, unlike the standard library's hashers.
pub fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |state, byte| {
        (state ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// The partition of an id.
pub fn id_part(id: &JobId) -> String {
    (hash(id.as_str()) % ID_PARTS).to_string()
}

/// All partitions of ids.
pub fn id_parts() -> impl Iterator<Item = String> {
    (0..ID_PARTS).map(|part| part.to_string())
}

/// The table of a pool's accepted jobs.
pub fn jobs_table(pool: &str) -> String {
    format!("jobs-{}", hash(pool) % JOB_TABLES)
}

/// Location of the claim of an id.
pub fn claim(id: &JobId) -> Place {
    Place::new("ids", &id_part(id), id.as_str())
}

/// Location of an accepted job.
pub fn accepted(pool: &str, id: &JobId) -> Place {
    Place::new(&jobs_table(pool), &id_part(id), id.as_str())
}

/// Location of the cancel of a job.
pub fn cancel(pool: &str, id: &JobId) -> Place {
    let key = format!("{id}{CANCEL}");
    Place::new(&jobs_table(pool), &id_part(id), &key)
}

/// Location of a job's progress.
pub fn progress(pool: &str, id: &JobId) -> Place {
    Place::new(WORK, pool, id.as_str())
}

/// Location of the commit record of a pool.
pub fn commit_record(pool: &str) -> Place {
    Place::new(WORK, pool, COMMIT_RECORD)
}

/// Location of what `former`, which was the pool of queues of `pool`, tells of them.
///
/// It lies beside the commit record of `pool`, so that one read of a range shows both.
pub fn former_pool(pool: &str, former: &str) -> Place {
    Place::new(WORK, pool, &format!("{COMMIT_RECORD}.{former}"))
}

/// The former pool that a key of [`former_pool`] names.
pub fn former_pool_name(key: &str) -> Option<Name> {
    let former = key.strip_prefix(COMMIT_RECORD)?.strip_prefix('.')?;
    Some(former.into())
}

/// First key after the commit record of a pool and the rows of former pools beside it.
pub const COMMIT_RECORD_END: &str = ".batch/";

/// Location of a pool's owner.
pub fn owner(pool: &str) -> Place {
    Place::new(CONTROL, pool, OWNER)
}

/// Location of the number of workers that a pool can use.
pub fn desired_workers(pool: &str) -> Place {
    Place::new(CONTROL, pool, DESIRED_WORKERS)
}

/// Location of a pool's load.
pub fn pool_load(pool: &str) -> Place {
    Place::new(ADMISSION, pool, LOAD)
}

/// Location of an entry's heartbeat.
pub fn member(entry: &str) -> Place {
    let part = hash(entry) % MEMBER_PARTS;
    Place::new(CONTROL, &format!("{MEMBERS}{part}"), entry)
}

/// Location of an account's budget.
pub fn budget(account: &str) -> Place {
    Place::new(ACCOUNTS, ACCOUNTS, account)
}

/// Location of a wave's progress.
pub fn wave(number: u64) -> Place {
    Place::new(WAVES, WAVES, &number.to_string())
}

/// Kind of a row in `control`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlKey {
    /// The owner of this pool, or the holder of this group.
    Owner(Name),
    /// The heartbeat of this entry.
    Member(Name),
    /// The number of workers that this pool can use.
    DesiredWorkers(Name),
    /// The orders that the owner of this pool requests.
    Orders(Name),
    /// The answer of a group's holder to the owner of a pool.
    Answer {
        /// The pool.
        pool: Name,
        /// The group.
        group: Name,
    },
}

impl ControlKey {
    /// Parses a location; `None` if this system didn't write it.
    pub fn of(place: &Place) -> Option<Self> {
        if place.partition.starts_with(MEMBERS) {
            Some(Self::Member(Name::clone(&place.key)))
        } else if &*place.key == OWNER {
            Some(Self::Owner(Name::clone(&place.partition)))
        } else if &*place.key == DESIRED_WORKERS {
            Some(Self::DesiredWorkers(Name::clone(&place.partition)))
        } else if &*place.key == ORDERS {
            Some(Self::Orders(Name::clone(&place.partition)))
        } else {
            let group = place.key.strip_prefix(ANSWER)?;
            Some(Self::Answer {
                pool: Name::clone(&place.partition),
                group: group.into(),
            })
        }
    }
}

/// Partitions of `control` that a full read covers.
pub fn control_parts<'a>(pools: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut parts: Vec<Name> = pools.map(Name::clone).collect();
    parts.extend(groups());
    parts.extend((0..MEMBER_PARTS).map(|part| format!("{MEMBERS}{part}").into()));
    parts
}

/// Kind of a row in `jobs-N`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// An accepted job.
    Accepted(JobId),
    /// The cancel of a job.
    Cancel(JobId),
    /// The marker of a tombstone.
    Tombstone(JobId),
}

impl JobKey {
    /// Parses a key; `None` if this system didn't write it.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(id) = key.strip_suffix(CANCEL) {
            return JobId::parse(id).map(Self::Cancel);
        }
        match key.strip_suffix(tombstone::MARKER) {
            Some(id) => JobId::parse(id).map(Self::Tombstone),
            None => JobId::parse(key).map(Self::Accepted),
        }
    }
}

/// The claim of an id, by a job or as a [`tombstone`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The pool that the job was accepted for.
    pub pool: Name,
    /// Its queue.
    pub queue: Name,
    /// The account that submitted it; none on a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
}

/// A job as it was accepted, with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Its queue.
    pub queue: Name,
    /// The pool that runs it, whatever its queue is reassigned to later.
    pub pool: Name,
    /// The job.
    pub job: Job,
    /// Wall-clock time of the acceptance in milliseconds since 1970; used for ordering only.
    pub at_ms: u64,
    /// Lower values come first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Time from its acceptance within which it should be done, in milliseconds.
    pub objective_ms: u64,
    /// The account that submitted it; none on a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Task {
    /// Whether it waits, is placed, or is done.
    pub phase: Phase,
    /// Its highest run number; 0 if it was never started.
    pub run: u32,
    /// Runs that ended as failed.
    pub failed: BTreeSet<u32>,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<Name>,
    /// Runs that may have crashed their workers, since a run last went on for a while.
    pub crashed: BTreeSet<u32>,
    /// For a task with such runs: the incarnation of the worker that it was placed on.
    pub incarnation_tag: Option<IncarnationTag>,
}

/// Distinguishes a worker's incarnation from most others of it: a single digit, so that the largest
/// job still fits into a row.
///
/// Incarnations that begin less than [`Self::DIGITS`] spans apart always have different values, and
/// the incarnations of a worker that crashes repeatedly are shorter than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationTag(u8);

impl IncarnationTag {
    /// Minimum time in milliseconds between the starts of two incarnations: a worker takes longer
    /// than that to come back.
    pub(crate) const SPAN: u64 = 2_000;

    /// Number of values.
    const DIGITS: u64 = 10;

    /// The tag of an incarnation, which is identified by its start time on the worker's clock.
    pub fn of(incarnation: u64) -> Self {
        Self(u8::try_from(incarnation / Self::SPAN % Self::DIGITS).unwrap_or(0))
    }
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It has no run under way.
    #[default]
    Waiting,
    /// Its highest run may be under way on this worker.
    Placed(Name),
    /// The same, and it is to stop there while its job goes on.
    Leaving(Name),
    /// It is completed.
    Done,
}

impl Phase {
    /// The worker on which the highest run may be under way.
    pub fn worker(&self) -> Option<&Name> {
        match self {
            Self::Placed(worker) | Self::Leaving(worker) => Some(worker),
            Self::Waiting | Self::Done => None,
        }
    }
}

/// The stored form of a task: a list takes half of the bytes of an object.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Packed(
    Phase,
    u32,
    BTreeSet<u32>,
    Option<Name>,
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")] BTreeSet<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")] Option<IncarnationTag>,
);

impl From<Packed> for Task {
    fn from(Packed(phase, run, failed, checkpoint, crashed, incarnation_tag): Packed) -> Self {
        Self {
            phase,
            run,
            failed,
            checkpoint,
            crashed,
            incarnation_tag,
        }
    }
}

impl From<Task> for Packed {
    fn from(task: Task) -> Self {
        Self(
            task.phase,
            task.run,
            task.failed,
            task.checkpoint,
            task.crashed,
            task.incarnation_tag,
        )
    }
}

/// The tasks of one occurrence, step by step.
pub type Steps = Vec<Vec<Task>>;

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The visible state.
    pub state: State,
    /// Occurrences that have begun and aren't done; empty once the state is final.
    pub steps: BTreeMap<u32, Steps>,
    /// Number of the next occurrence.
    pub next: u32,
    /// Wall-clock time of its end, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
    /// The account that submitted the job, so that a gateway can tell whose state it shows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
}

/// Record that each commit of an owner writes in addition to progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommitRecord {
    /// Fencing token of the owner that wrote it. Together with the commit's number it identifies a
    /// commit whose answer was lost.
    pub owner: u64,
    /// The commit's number with that owner.
    pub number: u64,
    /// For each queue, the number of jobs of which no task has started.
    pub queued: BTreeMap<Name, u64>,
}

/// The owner of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The entry.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of the attempt within the incarnation, which identifies a commit whose answer was
    /// lost.
    pub attempt: u64,
    /// Whether it has released the pool.
    pub released: bool,
    /// The last other entry that owned it before; none if there was none but this entry. The
    /// instances of a group rest for a while after another entry's orders.
    #[serde(default)]
    pub after: Option<Name>,
    /// For a group: the instances that others may not order yet, with the milliseconds left from
    /// the time this row was written; `None` if it isn't known, and all of them rest.
    #[serde(default)]
    pub resting: Option<BTreeMap<Name, u64>>,
}

/// Queues that were assigned to another pool while jobs of theirs waited in this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormerPool {
    /// Those of which no task of some job has started. The counts are in the pool's commit record.
    pub queues: BTreeSet<Name>,
}

/// The number of workers that a pool can use, as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredWorkers {
    /// What it uses and expects to use, with headroom.
    pub workers: u64,
    /// What it can use now, without overdue work.
    pub now: u64,
    /// What it will be able to use when an instance that is requested now becomes available, from
    /// the rate of incoming work; at least `now`.
    pub soon: u64,
    /// What it can use beyond `now` for overdue work.
    pub late: u64,
}

impl DesiredWorkers {
    /// What it can use now, with overdue work.
    pub fn with_late(&self) -> u64 {
        self.now.saturating_add(self.late)
    }
}

/// An entry's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Incremented with each heartbeat.
    pub beat: u64,
    /// Whether it is about to stop, and takes over nothing.
    pub leaving: bool,
    /// Its processor share in thousandths of a core.
    #[serde(default = "usual_strength")]
    pub strength: u32,
}

/// Strength of an entry that doesn't state it: all such entries count alike.
fn usual_strength() -> u32 {
    250
}

/// Progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveProgress {
    /// Instances that may be in maintenance, each with the worker that it had before.
    pub active: BTreeMap<Name, Option<Name>>,
    /// Instances whose maintenance is done.
    pub done: BTreeSet<Name>,
}
