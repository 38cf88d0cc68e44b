//! One worker in memory: what it has, what may run on it, and how far it can be trusted.

use crate::{
    limits::{Limits, Millis},
    order::TakenIn,
    row::Life,
};
use primroseroute_domain::work::{Demand, JobId, Name, TaskId};
use primroseroute_platform::site;
use std::collections::{BTreeMap, BTreeSet};

/// How old the platform's list of instances may be at most.
const LIST_LAG: Millis = 2_000;

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// It isn't answered yet.
    Sent,
    /// It was answered, or a look has shown the run, at this time.
    Runs(Millis),
    /// It may run, or may later.
    Unsure,
}

/// How an owner knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It has started it.
    Started,
    /// It has started it apart from others, since its task may crash its worker.
    Tried,
    /// It has found it, started by a predecessor.
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
    /// What it occupies.
    pub reserved: Demand,
    pub known: Known,
    /// From then on a start that hasn't taken effect never will.
    pub sure_after: Millis,
    /// Share of its work that is done.
    pub percent: u32,
    /// Tail of its response time, or thousandths of a core in use.
    pub load: u64,
    /// Whether it is to be stopped, and when the stop was last sent.
    pub stop: Stop,
    /// When a stop of it may last have left while its job went on; `None` if none has.
    pub stop_left_at: Option<Millis>,
    /// When the worker took the stop: from then on it refuses a start that comes late.
    pub stopped_at: Option<Millis>,
    /// Share of its speed that it was last given.
    pub pace: u32,
    /// Whether it serves until it is stopped.
    pub lasting: bool,
    /// How this owner knows of it.
    pub origin: Origin,
    /// Of one that was found: the life that it was placed in, as far as the row tells.
    pub life: Option<Life>,
    /// Where the life that it was sent to is over and it got no answer: until when it may still reach the next one.
    pub doubtful_until: Option<Millis>,
    /// Whether a look was asked for that may acquit its task.
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

    /// Whether its start may reach the next life of its worker, or has reached it, where the one before was over by `over_by`.
    ///
    /// A successor's token keeps starts of its predecessor out, once it has looked at that life. An answer to a start doesn't tell
    /// which life has taken it.
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

/// Whether the life of a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Gone {
    /// It isn't known to be.
    No,
    /// It is, and another one may follow under the same id.
    ItsLife,
    /// It is, and another worker has its place.
    ForGood,
}

/// Why a worker is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Its instance is due for maintenance, and stays in the pool.
    Maintenance,
    /// Its instance is to move to another pool.
    Move,
}

/// Runs that were lost with a lapsed lease.
#[derive(Clone, Debug)]
pub(crate) struct Lapsed {
    pub at: Millis,
    pub runs: Vec<(TaskId, u32)>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Its registration; the last one for a worker that is no longer registered.
    pub info: Option<site::Worker>,
    pub registered: bool,
    /// When the life that looks have shown last began, by the worker's own clock; 0 before the first look.
    pub born: u64,
    /// The same of the life before, of which looks may still come in.
    pub born_before: u64,
    /// When its newest look came.
    pub looked_at: Option<Millis>,
    /// Up to when what its looks have shown surely was so.
    pub shown_at: Option<Millis>,
    /// When it was last to be looked at at once for a trial.
    pub asked_at: Option<Millis>,
    /// While it is silent: when the platform was asked last that named it, without a gap in which its life could have ended.
    pub named_at: Option<Millis>,
    /// Whether fillers were paced after that look.
    pub paced: bool,
    /// From then on its lease has surely lapsed, if it isn't renewed.
    pub lapses_at: Millis,
    /// Whether this life of it is over.
    pub gone: Gone,
    /// Where this life is over: it was by then.
    pub over_by: Millis,
    /// Highest number of this life's ends that was taken in.
    pub seen: u64,
    /// What may run on it.
    pub runs: BTreeMap<TaskId, Run>,
    /// Runs that were new when its lease lapsed, while it isn't known whether it has crashed.
    pub lapsed: Option<Lapsed>,
    /// Whether it is being emptied for planned work.
    pub emptying: Option<Purpose>,
    /// It gets nothing new before then.
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

    /// The tasks and numbers of the runs for which `holds`.
    pub(crate) fn runs_where(&self, holds: impl Fn(&TaskId, &Run) -> bool) -> Vec<(TaskId, u32)> {
        let runs = self.runs.iter().filter(|(task, run)| holds(task, run));
        runs.map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Up to where its ends are taken in.
    pub(crate) fn taken_in(&self) -> TakenIn {
        TakenIn {
            born: self.born,
            number: self.seen,
        }
    }

    /// What isn't occupied; what is being stopped still counts.
    pub(crate) fn room(&self) -> Demand {
        let capacity = self.info.as_ref().map(|info| info.capacity);
        let used = self.runs.values().map(|run| run.reserved);
        let used = used.fold(Demand::default(), Demand::plus);
        capacity.unwrap_or_default().minus(used)
    }

    /// Whether its life is over.
    pub(crate) fn is_gone(&self) -> bool {
        self.gone > Gone::No
    }

    /// Whether its newest look is recent.
    pub(crate) fn is_fresh(&self, now: Millis, limits: &Limits) -> bool {
        let looked = self.looked_at.is_some_and(|at| now < at + limits.fresh);
        looked && !self.is_gone()
    }

    /// Whether what its looks show of its runs is recent.
    pub(crate) fn is_shown(&self, now: Millis, limits: &Limits) -> bool {
        let shown = self.shown_at.is_some_and(|at| now < at + limits.fresh);
        shown && !self.is_gone()
    }

    /// Whether one of its runs hasn't been shown for `settle` since its start, nor its worker to be alive since then: it may be
    /// what crashes the worker.
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

    /// Up to when the platform has surely shown that it is alive while it is silent.
    pub(crate) fn alive_at(&self) -> Option<Millis> {
        self.named_at.map(|at| at.saturating_sub(LIST_LAG))
    }

    /// Whether it leaves by itself.
    pub(crate) fn is_leaving(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.draining)
    }

    /// Whether it may get something new.
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
