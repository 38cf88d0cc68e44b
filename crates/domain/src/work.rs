//! Jobs as callers describe them: steps of tasks with demands, order and placement wishes.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{borrow::Cow, fmt, sync::Arc};

/// A shared immutable name.
pub type Name = Arc<str>;

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// Longest payload of a job in bytes; what workers accept.
pub const MAX_PAYLOAD: usize = 4_000;

/// Most steps of a job: far over any chain that can meet a deadline, and a bound on its row.
pub const MAX_STEPS: usize = 200;

/// Most tasks of one occurrence: a progress row of 64 KiB holds about 1,000 entries of 60 bytes.
pub const MAX_TASKS: u64 = 1_000;

/// A job's id: 16 hexadecimal digits that its caller chose.
///
/// Owners order thousands of tasks by it, many times a second: the digits lie in the id itself, so that comparing two reads no
/// other memory.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId([u8; ID_DIGITS]);

impl JobId {
    /// Reads an id; `None` where `text` isn't 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; ID_DIGITS] = text.as_bytes().try_into().ok()?;
        let valid = digits.iter().all(u8::is_ascii_hexdigit);
        valid.then_some(Self(digits))
    }

    /// The id as text.
    ///
    /// # Panics
    /// Never: an id holds nothing but digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).expect("hexadecimal digits are ASCII")
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("JobId").field(&self.as_str()).finish()
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        let id = Self::parse(&text);
        id.ok_or_else(|| de::Error::custom(format!("`{text}` isn't of 16 hexadecimal digits")))
    }
}

/// One task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step within the job.
    pub step: u16,
    /// Number of the task within the step.
    pub index: u16,
}

/// One step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepId {
    /// Its job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step within the job.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl TaskId {
    /// The step that the task is one of.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }

    /// Reads `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let task = Self {
            job: JobId::parse(parts.next()?)?,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(task)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// What a task occupies, or what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Demand {
    /// Whether `self` fits into `room`.
    pub fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The larger of both, in each respect.
    pub fn larger(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// What is left of `self` without `other`, at least nothing.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A group of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a wish of the caller's, independent of the others"
)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// What each occupies.
    pub demand: Demand,
    /// Rough duration of a task in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must have ended first.
    pub after: Vec<u16>,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// Whether its tasks are slower when spread over racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Name>,
    /// Rack where the data is.
    pub rack: Option<Name>,
    /// Most of its tasks on one worker; 0 for any number.
    pub most_per_worker: u16,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub lasting: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Response time in milliseconds that the tail of a lasting task must stay under; 0 for none.
    pub target_ms: u64,
    /// Whether its tasks use only the processor time that others leave.
    pub filler: bool,
    /// How many of its tasks planned work may keep away at a time; 0 where nothing was promised.
    pub may_miss: u16,
}

impl Step {
    /// What a task occupies of a worker's capacity: the processor share of a filler isn't counted.
    pub fn reserved(&self) -> Demand {
        let cpu = if self.filler { 0 } else { self.demand.cpu };
        Demand { cpu, ..self.demand }
    }
}

/// When the occurrences of a scheduled job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of occurrences.
    pub times: u32,
    /// Due time of the first, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time from one to the next in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Due time of `occurrence`, in milliseconds since 1970.
    pub fn due_ms(self, occurrence: u32) -> u64 {
        let offset = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_ms.saturating_add(offset)
    }
}

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Text that its tasks are started with.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Its schedule, for a job that runs several times.
    pub schedule: Option<Schedule>,
}

/// Why a job cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The payload is too long.
    #[error("the payload has {0} bytes; at most {MAX_PAYLOAD} are accepted")]
    Payload(usize),
    /// There are no steps, or too many.
    #[error("{0} steps; from 1 to {MAX_STEPS} are accepted")]
    Steps(usize),
    /// There are too many tasks.
    #[error("{0} tasks; at most {MAX_TASKS} are accepted")]
    Tasks(u64),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    Empty(usize),
    /// A step waits for one that doesn't come before it; this rules out cycles too.
    #[error("step {0} waits for step {1}, which doesn't come before it")]
    Order(usize, u16),
}

impl Job {
    /// Whether its tasks run until it is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Checks what can be checked without a configuration.
    ///
    /// # Errors
    /// The first [`Fault`].
    pub fn check(&self) -> Result<(), Fault> {
        if self.payload.len() > MAX_PAYLOAD {
            return Err(Fault::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Fault::Steps(self.steps.len()));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Fault::Empty(number));
            }
            let late = |earlier: &&u16| usize::from(**earlier) >= number;
            if let Some(later) = step.after.iter().find(late) {
                return Err(Fault::Order(number, *later));
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Fault::Tasks(tasks));
        }
        Ok(())
    }

    /// Longest chain of estimates in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|earlier| ends[usize::from(*earlier)]);
            let start = ready.max().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// What is shown of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepted, and no task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Whether nothing more will happen to the job.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited for the other members of its gang for too long.
    Alone,
}
