//! Jobs as callers submit them: steps of tasks with resource demands, dependencies and placement
//! constraints.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{borrow::Cow, fmt, sync::Arc};

/// A shared immutable name.
pub type Name = Arc<str>;

/// Number of hexadecimal digits of a job id.
const ID_DIGITS: usize = 16;

/// Maximum size of a job's payload in bytes; workers accept no more.
pub const MAX_PAYLOAD: usize = 4_000;

/// Maximum number of steps of a job: far above any chain that can meet a deadline, and a bound on the
/// size of its row.
pub const MAX_STEPS: usize = 200;

/// Maximum number of tasks of one occurrence.
pub const MAX_TASKS: u64 = 1_000;

/// Maximum number of tasks of a job's unfinished occurrences, which bounds the memory that a job takes while its
/// occurrences become due faster than they are completed.
pub const MAX_OPEN_TASKS: u64 = 10_000;

/// Maximum number of a job's unfinished occurrences.
pub const MAX_OPEN_OCCURRENCES: u64 = 1_000;

/// A job id: 16 hexadecimal digits chosen by the caller.
///
/// The digits are stored inline, since owners sort thousands of tasks by id many times a second and a comparison must not
/// follow a pointer.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId([u8; ID_DIGITS]);

impl JobId {
    /// Parses an id; `None` if `text` is not exactly 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; ID_DIGITS] = text.as_bytes().try_into().ok()?;
        let valid = digits.iter().all(u8::is_ascii_hexdigit);
        valid.then_some(Self(digits))
    }

    /// The id as text.
    ///
    /// # Panics
    /// Never: an id consists of ASCII digits only.
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
    /// The step that the task belongs to.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }

    /// Parses `JOB.OCCURRENCE.STEP.INDEX`.
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

/// Resources that a task uses, or that a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Demand {
    /// Whether `self` fits into `capacity`.
    pub fn fits(self, capacity: Self) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Componentwise sum, saturating at the maximum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Componentwise product, saturating at the maximum.
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Componentwise maximum.
    pub fn larger(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Componentwise minimum.
    pub fn smaller(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Componentwise difference, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A group of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent option of the caller"
)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Resource demand of each task.
    pub demand: Demand,
    /// Estimated duration of a task in milliseconds.
    pub estimate_ms: u64,
    /// Indices of earlier steps that must have ended before this one starts.
    pub after: Vec<u16>,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether its tasks can only run together, all at the same time (gang scheduling).
    pub gang: bool,
    /// Whether its tasks are slower when spread over several racks.
    pub same_rack: bool,
    /// Label that its workers must have.
    pub label: Option<Name>,
    /// Rack that holds the input data.
    pub rack: Option<Name>,
    /// Maximum number of its tasks on one worker; 0 for no limit.
    pub most_per_worker: u16,
    /// Whether several copies of a task may run at the same time (speculative execution).
    pub speculative: bool,
    /// Whether its tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// Image that its tasks run; tasks of the same image are expected to behave alike.
    pub image: Option<Name>,
    /// Tail latency in milliseconds that a long-running task must stay below; 0 for no target.
    pub target_ms: u64,
    /// Whether its tasks use only processor time that other tasks leave idle.
    pub filler: bool,
    /// How many of its tasks planned work may make unavailable at a time; 0 where nothing was promised.
    pub may_miss: u16,
}

impl Step {
    /// Resources reserved on a worker for each task; a filler reserves no processor time.
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
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between occurrences in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Due time of `occurrence`, in milliseconds since the Unix epoch.
    pub fn due_ms(self, occurrence: u32) -> u64 {
        let offset = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_ms.saturating_add(offset)
    }
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Text passed to each of its tasks at start.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Schedule of a recurring job.
    pub schedule: Option<Schedule>,
}

/// Why a job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The payload is too long.
    #[error("the payload has {0} bytes; at most {MAX_PAYLOAD} are accepted")]
    Payload(usize),
    /// The job has no steps, or too many.
    #[error("{0} steps; from 1 to {MAX_STEPS} are accepted")]
    Steps(usize),
    /// The job has too many tasks.
    #[error("{0} tasks; at most {MAX_TASKS} are accepted")]
    Tasks(u64),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    Empty(usize),
    /// A step depends on one that does not precede it; rejecting this also rules out cycles.
    #[error("step {0} waits for step {1}, which doesn't come before it")]
    Order(usize, u16),
}

impl Job {
    /// Whether any of its steps is long-running, that is, runs until the job is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Maximum number of unfinished occurrences; later ones begin once earlier ones are done.
    pub fn max_open_occurrences(&self) -> usize {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let most = (MAX_OPEN_TASKS / tasks.max(1)).clamp(1, MAX_OPEN_OCCURRENCES);
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Validates everything that does not depend on the configuration.
    ///
    /// # Errors
    /// The first [`Fault`] found.
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
            let not_earlier = |dependency: &&u16| usize::from(**dependency) >= number;
            if let Some(dependency) = step.after.iter().find(not_earlier) {
                return Err(Fault::Order(number, *dependency));
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Fault::Tasks(tasks));
        }
        Ok(())
    }

    /// Length of the critical path in milliseconds, by the estimated durations.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends = step
                .after
                .iter()
                .map(|dependency| ends[usize::from(*dependency)]);
            let start = dependency_ends.max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// State of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepted, and no task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks have completed successfully.
    Completed,
    /// A task has used up the attempts that its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl State {
    /// Whether the state is terminal.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The run completed successfully.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The run timed out waiting for the other members of its gang.
    Alone,
}
