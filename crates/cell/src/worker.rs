//! In-memory state of one worker: its capacity, the runs it may have, and how current that
//! information is.

use crate::{
    limits::{Limits, Millis},
    order::TakenIn,
    row::Life,
};
use primroseroute_domain::work::{Demand, JobId, Name, TaskId};
use primroseroute_platform::site;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum age of the platform's list of instances.
const LIST_LAG: Millis = 2_000;

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// Not answered yet.
    Sent,
    /// Answered, or listed by a status, at this time.
    Runs(Millis),
    /// It may be active, or may become so later.
    Unsure,
}

/// How an owner knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This owner has started it.
    Started,
    /// This owner has started it isolated, since its task may crash its worker.
    Tried,
    /// This owner has discovered it, started by a previous owner.
    Found,
}

/// A run that may be under way.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "`run` is the number of a run everywhere, in rows and in calls"
)]
pub(crate) struct Run {
    pub run: u32,
    /// Reserved resources.
    pub reserved: Demand,
    pub known: Known,
    /// A start that hasn't taken effect by this time never will.
    pub sure_after: Millis,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency of its responses in milliseconds, or thousandths of a core in use.
    pub load: u64,
    /// Whether it is to be stopped, and when the stop was last sent.
    pub stop: Stop,
    /// When a stop of it may last have been sent while its job went on; `None` if none was.
    pub stop_left_at: Option<Millis>,
    /// When the worker accepted the stop: from then on it refuses a start that arrives late.
    pub stopped_at: Option<Millis>,
    /// Its speed in percent, as last ordered.
    pub pace: u32,
    /// Whether it serves until it is stopped.
    pub lasting: bool,
    /// How this owner knows of it.
    pub origin: Origin,
    /// For a discovered run: the incarnation that it was placed in, if the row tells.
    pub life: Option<Life>,
    /// If the incarnation that it was sent to has terminated and there was no answer: until when
    /// its start may still reach the next one.
    pub doubtful_until: Option<Millis>,
    /// Whether a status poll was requested that may clear the crash record of its task.
    pub glanced: bool,
}

impl Run {
    /// A run whose start is about to be sent.
    pub(crate) fn new(run: u32, reserved: Demand, lasting: bool) -> Self {
        Self {
            run,
            reserved,
            known: Known::Sent,
            sure_after: Millis::MAX,
            percent: 0,
            load: 0,
            stop: Stop::No,
            stop_left_at: None,
            stopped_at: None,
            pace: 100,
            lasting,
            origin: Origin::Started,
            life: None,
            doubtful_until: None,
            glanced: false,
        }
    }

    /// Whether its start may reach or have reached the next incarnation of its worker, where the
    /// previous one terminated before `over_by`.
    ///
    /// The token of a new owner keeps out starts of the previous owner once it has polled that
    /// incarnation. An answer to a start doesn't tell which incarnation has accepted it.
    pub(crate) fn may_be_of_next_life(&self, over_by: Millis) -> bool {
        let answered = matches!(self.known, Known::Runs(at) if at < over_by);
        self.origin != Origin::Found && !answered
    }

    /// Whether a stop of it may be on its way, or may have reached its worker without an answer.
    pub(crate) fn may_be_stopping(&self, now: Millis, limits: &Limits) -> bool {
        let lately = |at| now < at + limits.late_order;
        self.stop != Stop::No && self.stop_left_at.is_none_or(lately)
    }
}

/// Whether a run is to be stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stop {
    #[default]
    No,
    Wanted,
    SentAt(Millis),
}

/// Whether a worker has terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Gone {
    /// Not known to have terminated.
    No,
    /// Its incarnation has terminated; another one may follow under the same id.
    ItsLife,
    /// It has terminated, and another worker has its place.
    ForGood,
}

/// Why a worker is being evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Its instance is due for maintenance, and stays in the pool.
    Maintenance,
    /// Its instance is to move to another pool.
    Move,
}

/// Runs that were lost by an expired lease.
#[derive(Clone, Debug)]
pub(crate) struct Lapsed {
    pub at: Millis,
    pub runs: Vec<(TaskId, u32)>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Its last registration, also after it is no longer registered.
    pub info: Option<site::Worker>,
    pub registered: bool,
    /// The incarnation that the newest status came from, by its start time on the worker's clock; 0
    /// before the first status.
    pub born: u64,
    /// The previous incarnation, of which statuses may still arrive.
    pub born_before: u64,
    /// When its newest status arrived.
    pub looked_at: Option<Millis>,
    /// Up to this time its statuses certainly held.
    pub shown_at: Option<Millis>,
    /// When an immediate status poll was last requested for an isolated run.
    pub asked_at: Option<Millis>,
    /// While it is unresponsive: when the platform was last asked and listed it, without a gap in
    /// which its incarnation could have ended.
    pub named_at: Option<Millis>,
    /// Whether fillers were throttled by the newest status.
    pub paced: bool,
    /// Its lease has certainly expired after this time, if it isn't renewed.
    pub lapses_at: Millis,
    /// Whether this incarnation has terminated.
    pub gone: Gone,
    /// If this incarnation has terminated: it had by this time.
    pub over_by: Millis,
    /// Highest number of an ended run of this incarnation that is recorded.
    pub seen: u64,
    /// Runs that may be under way.
    pub runs: BTreeMap<TaskId, Run>,
    /// Runs that were new when its lease expired, while it isn't known whether it has crashed.
    pub lapsed: Option<Lapsed>,
    /// Whether it is being evacuated for planned work.
    pub emptying: Option<Purpose>,
    /// It gets no new runs before this time.
    pub shunned_until: Millis,
    /// Jobs whose tasks have failed on it since the last success.
    pub failures: BTreeSet<JobId>,
}

impl Worker {
    pub(crate) fn new(lapses_at: Millis) -> Self {
        Self {
            info: None,
            registered: false,
            born: 0,
            born_before: 0,
            looked_at: None,
            shown_at: None,
            asked_at: None,
            named_at: None,
            paced: true,
            lapses_at,
            gone: Gone::No,
            over_by: 0,
            seen: 0,
            runs: BTreeMap::new(),
            lapsed: None,
            emptying: None,
            shunned_until: 0,
            failures: BTreeSet::new(),
        }
    }

    /// The tasks and numbers of the runs for which `holds` is true.
    pub(crate) fn runs_where(&self, holds: impl Fn(&TaskId, &Run) -> bool) -> Vec<(TaskId, u32)> {
        let runs = self.runs.iter().filter(|(task, run)| holds(task, run));
        runs.map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Position up to which its ended runs are recorded.
    pub(crate) fn taken_in(&self) -> TakenIn {
        TakenIn {
            born: self.born,
            number: self.seen,
        }
    }

    /// Unreserved capacity; runs that are being stopped still count.
    pub(crate) fn room(&self) -> Demand {
        let capacity = self.info.as_ref().map(|info| info.capacity);
        let used = self.runs.values().map(|run| run.reserved);
        let used = used.fold(Demand::default(), Demand::plus);
        capacity.unwrap_or_default().minus(used)
    }

    /// Whether it has terminated.
    pub(crate) fn is_gone(&self) -> bool {
        self.gone > Gone::No
    }

    /// Whether its newest status is recent.
    pub(crate) fn is_fresh(&self, now: Millis, limits: &Limits) -> bool {
        let looked = self.looked_at.is_some_and(|at| now < at + limits.fresh);
        looked && !self.is_gone()
    }

    /// Whether what its statuses show of its runs is recent.
    pub(crate) fn is_shown(&self, now: Millis, limits: &Limits) -> bool {
        let shown = self.shown_at.is_some_and(|at| now < at + limits.fresh);
        shown && !self.is_gone()
    }

    /// Whether a run may be what crashes the worker: neither has the run been listed for `settle`
    /// since its start, nor has the worker been seen alive that long after it.
    pub(crate) fn is_new(&self, run: &Run, settle: Millis) -> bool {
        let alive_at = self.alive_at();
        match run.known {
            Known::Runs(at) => {
                let lived_until = self.shown_at.max(alive_at);
                run.origin != Origin::Found && lived_until.is_none_or(|until| until < at + settle)
            }
            Known::Sent | Known::Unsure => {
                alive_at.is_none_or(|until| until < run.sure_after.saturating_add(settle))
            }
        }
    }

    /// Up to this time the platform has certainly shown that it is alive while it is unresponsive.
    pub(crate) fn alive_at(&self) -> Option<Millis> {
        self.named_at.map(|at| at.saturating_sub(LIST_LAG))
    }

    /// Whether it has announced that it shuts down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.draining)
    }

    /// Whether it accepts new runs.
    pub(crate) fn is_open(&self, now: Millis, limits: &Limits) -> bool {
        self.registered
            && self.is_fresh(now, limits)
            && !self.is_leaving()
            && self.emptying.is_none()
            && now >= self.shunned_until
    }

    pub(crate) fn has_label(&self, label: &Name) -> bool {
        let info = self.info.as_ref();
        info.is_some_and(|info| info.labels.contains(label))
    }
}
