//! What lies in the store for jobs: places and values of rows.
//!
//! | table | partition | key | value | written by |
//! |---|---|---|---|---|
//! | `ids` | hash of the id | id | [`Claim`] | the gateway that accepts, once |
//! | `jobs-N` | hash of the id | id | [`Accepted`] | the same transaction |
//! | `jobs-N` | hash of the id | id `.cancel` | empty | the gateway that takes the cancel |
//! | `work` | pool | id | [`Progress`] | the pool's owner |
//! | `work` | pool | `.batch` | [`Batch`] | the pool's owner, with each commit |
//! | `control` | pool | `owner` | [`Owner`] | whoever takes the pool over, or gives it up |
//! | `control` | pool | `wanted` | [`Wanted`] | the pool's owner, with a commit |
//! | `control` | pool | `orders` | [`Orders`] | the pool's owner, as it asks for orders to its instances |
//! | `control` | pool | `answer` and a group | [`Answer`] | the holder of the group, before and after it orders |
//! | `control` | group | `owner` | [`Owner`] | whoever takes the group of instances, or gives it up |
//! | `control` | `.members-` and a hash of the entry | entry | [`Member`] | the entry, as its heartbeat |
//! | `waves` | `waves` | number | [`Wave`] | owners of pools with instances of the wave |
//!
//! `N` is a hash of the pool, so that an owner's feed shows few jobs of other pools. Ids lie apart
//! from pools: a queue may be sent to another pool between two attempts of one submission, and both
//! must meet the same row.

mod orders;

pub use orders::{Answer, Given, Order, Orders, answer, group, groups, is_group, orders};

use orders::{ANSWER, ORDERS};
use primroseroute_domain::work::{Job, JobId, Name, State};
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Partitions of `ids` and `jobs-N`. A partition takes transactions one after another and turns
/// them away once a second of them waits: with 40 submissions a second and a store that takes 50 times
/// as long as usual (0.4 s each), 48 partitions have a third of a second waiting; 16 had a whole one,
/// and 4 had four. More of them cost a new owner more reads.
pub const ID_PARTS: u64 = 48;

/// Tables over which pools' jobs are spread; the store allows 100 tables.
const JOB_TABLES: u64 = 32;

/// End of the key of a cancel.
const CANCEL: &str = ".cancel";

/// Key of the row that every commit of an owner writes.
pub const BATCH: &str = ".batch";

/// Table of owners and heartbeats: one feed shows both.
pub const CONTROL: &str = "control";

/// Start of the names of the partitions of heartbeats; no pool's name begins with a dot.
const MEMBERS: &str = ".members-";

/// Partitions of heartbeats. All of a few entries' heartbeats in one partition were turned away by a
/// store that took 40 times as long as usual; in 8 partitions each waits for itself alone.
const MEMBER_PARTS: u64 = 8;

/// Key of a pool's owner.
const OWNER: &str = "owner";

/// Key of the number of workers that a pool can use.
const WANTED: &str = "wanted";

/// Table of progress.
pub const WORK: &str = "work";

/// Table and partition of waves.
pub const WAVES: &str = "waves";

/// FNV-1a: equal in every process and version, unlike the standard library's hashers.
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

/// Where an id is claimed.
pub fn claim(id: &JobId) -> Place {
    Place::new("ids", &id_part(id), id.as_str())
}

/// Where an accepted job lies.
pub fn accepted(pool: &str, id: &JobId) -> Place {
    Place::new(&jobs_table(pool), &id_part(id), id.as_str())
}

/// Where the cancel of a job lies.
pub fn cancel(pool: &str, id: &JobId) -> Place {
    let key = format!("{id}{CANCEL}");
    Place::new(&jobs_table(pool), &id_part(id), &key)
}

/// Where a job's progress lies.
pub fn progress(pool: &str, id: &JobId) -> Place {
    Place::new(WORK, pool, id.as_str())
}

/// Where the row of a pool's commits lies.
pub fn batch(pool: &str) -> Place {
    Place::new(WORK, pool, BATCH)
}

/// Where a pool's owner lies.
pub fn owner(pool: &str) -> Place {
    Place::new(CONTROL, pool, OWNER)
}

/// Where the number of workers that a pool can use lies.
pub fn wanted(pool: &str) -> Place {
    Place::new(CONTROL, pool, WANTED)
}

/// Where an entry's heartbeat lies.
pub fn member(entry: &str) -> Place {
    let part = hash(entry) % MEMBER_PARTS;
    Place::new(CONTROL, &format!("{MEMBERS}{part}"), entry)
}

/// Where a wave's progress lies.
pub fn wave(number: u64) -> Place {
    Place::new(WAVES, WAVES, &number.to_string())
}

/// What a place in `control` stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlKey {
    /// The owner of this pool, or the holder of this group.
    Owner(Name),
    /// The heartbeat of this entry.
    Member(Name),
    /// The number of workers that this pool can use.
    Wanted(Name),
    /// The orders that the owner of this pool asks for.
    Orders(Name),
    /// What the holder of a group answers the owner of a pool.
    Answer {
        /// The pool.
        pool: Name,
        /// The group.
        group: Name,
    },
}

impl ControlKey {
    /// Reads a place; `None` for one that this system didn't write.
    pub fn of(place: &Place) -> Option<Self> {
        if place.part.starts_with(MEMBERS) {
            Some(Self::Member(Name::clone(&place.key)))
        } else if &*place.key == OWNER {
            Some(Self::Owner(Name::clone(&place.part)))
        } else if &*place.key == WANTED {
            Some(Self::Wanted(Name::clone(&place.part)))
        } else if &*place.key == ORDERS {
            Some(Self::Orders(Name::clone(&place.part)))
        } else {
            let group = place.key.strip_prefix(ANSWER)?;
            Some(Self::Answer {
                pool: Name::clone(&place.part),
                group: group.into(),
            })
        }
    }
}

/// Partitions of `control` that a whole read covers.
pub fn control_parts<'a>(pools: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut parts: Vec<Name> = pools.map(Name::clone).collect();
    parts.extend(groups());
    parts.extend((0..MEMBER_PARTS).map(|part| format!("{MEMBERS}{part}").into()));
    parts
}

/// What a key of `jobs-N` stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// An accepted job.
    Accepted(JobId),
    /// The cancel of a job.
    Cancel(JobId),
}

impl JobKey {
    /// Reads a key; `None` for one that this system didn't write.
    pub fn parse(key: &str) -> Option<Self> {
        match key.strip_suffix(CANCEL) {
            Some(id) => JobId::parse(id).map(Self::Cancel),
            None => JobId::parse(key).map(Self::Accepted),
        }
    }
}

/// Who has claimed an id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The pool that the job was accepted for.
    pub pool: Name,
    /// Its queue.
    pub queue: Name,
}

/// A job as it was accepted, with what its queue promised then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Its queue.
    pub queue: Name,
    /// The pool that runs it, whatever its queue is changed to later.
    pub pool: Name,
    /// The job.
    pub job: Job,
    /// Time of day of the acceptance in milliseconds since 1970; orders work, proves nothing.
    pub at_ms: u64,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Time from its acceptance in which it should be done, in milliseconds.
    pub objective_ms: u64,
}

/// What has become of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Task {
    /// Whether it waits, is placed, or is done.
    pub phase: Phase,
    /// Its highest run; 0 where it was never started.
    pub run: u32,
    /// The runs that ended as failed.
    pub failed: BTreeSet<u32>,
    /// Where the next run resumes from.
    pub checkpoint: Option<Name>,
    /// The runs that may have crashed their workers, since one has gone on for a while.
    pub crashed: BTreeSet<u32>,
    /// Of a task with such runs: the life of the worker that it was placed on.
    pub life: Option<Life>,
}

/// What tells a worker's life from most others of it: one digit, so that the largest job still fits into a row.
///
/// Lives that begin less than [`Self::DIGITS`] spans apart differ for sure, and a worker that crashes again and again lives for less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(u8);

impl Life {
    /// Shortest time in milliseconds between the births of two lives: a worker takes longer than that to come back.
    pub(crate) const SPAN: u64 = 2_000;

    /// Number of values.
    const DIGITS: u64 = 10;

    /// Of a life that began at `born` by the worker's clock.
    pub fn of(born: u64) -> Self {
        Self(u8::try_from(born / Self::SPAN % Self::DIGITS).unwrap_or(0))
    }
}

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No run of it is under way.
    #[default]
    Waiting,
    /// Its highest run may be under way on this worker.
    Placed(Name),
    /// The same, and it is to stop there while its job goes on.
    Leaving(Name),
    /// It has done its work.
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

/// A task as it is stored: a list takes half of the bytes of an object.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Packed(
    Phase,
    u32,
    BTreeSet<u32>,
    Option<Name>,
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")] BTreeSet<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")] Option<Life>,
);

impl From<Packed> for Task {
    fn from(Packed(phase, run, failed, checkpoint, crashed, life): Packed) -> Self {
        Self {
            phase,
            run,
            failed,
            checkpoint,
            crashed,
            life,
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
            task.life,
        )
    }
}

/// The tasks of one occurrence, step by step.
pub type Steps = Vec<Vec<Task>>;

/// What has become of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// What is shown.
    pub state: State,
    /// Occurrences that have begun and aren't done; empty once the state is final.
    pub steps: BTreeMap<u32, Steps>,
    /// Number of the next occurrence.
    pub next: u32,
    /// Time of day of its end, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
}

/// What each commit of an owner writes besides progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The owner that wrote it, by its fencing token, and the commit's number with that owner: a
    /// commit whose answer was lost is found by them.
    pub owner: u64,
    /// The commit's number.
    pub number: u64,
    /// For each queue, its jobs of which no task has started.
    pub queued: BTreeMap<Name, u64>,
}

/// Who owns a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The entry.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of the attempt within the incarnation, which tells a lost answer's commit apart.
    pub attempt: u64,
    /// Whether it has given the pool up.
    pub released: bool,
    /// The last other entry that had it before; none where nobody had but this entry. Orders to the instances of a group rest for a while after another entry's.
    #[serde(default)]
    pub after: Option<Name>,
    /// Of a group: the instances that others may not order yet, with the milliseconds that are left from the
    /// writing of this row on; none where it isn't known, and all of them rest.
    #[serde(default)]
    pub resting: Option<BTreeMap<Name, u64>>,
}

/// How many workers a pool can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wanted {
    /// What it uses, expects and wants to spare.
    pub workers: u64,
    /// What it has use for at this moment, work that is late already left out.
    pub now: u64,
    /// What it will have use for when an instance that is asked for now works, by what comes in; at least
    /// `now`.
    pub soon: u64,
    /// What it has use for beyond `now` for work that is late already.
    pub late: u64,
}

/// An entry's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Rises with each heartbeat.
    pub beat: u64,
    /// Whether it is about to stop, and takes over nothing.
    pub leaving: bool,
    /// Its processor's share of a core, in thousandths.
    #[serde(default = "usual_strength")]
    pub strength: u32,
}

/// Strength of an entry that doesn't say: all such entries count alike.
fn usual_strength() -> u32 {
    250
}

/// How far a wave is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Instances that may be in maintenance, each with the worker that it had before.
    pub active: BTreeMap<Name, Option<Name>>,
    /// Instances that have had theirs.
    pub done: BTreeSet<Name>,
}
