//! In-memory state of one worker: its capacity, the runs it may have, and how current that
//! information is.

use crate::{
    crash::NewRun,
    limits::{Limits, MAX_LIST_AGE_MS, Millis},
    order::EndsCursor,
    row::IncarnationTag,
    speed::{Speed, Trace},
};
use primroseroute_accounts::meter::Charge;
use primroseroute_domain::work::{Demand, JobId, Name, TaskId};
use primroseroute_platform::site;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartState {
    /// Not answered yet.
    Sent,
    /// Answered, or listed by a status, at this time.
    Confirmed(Millis),
    /// It may be active, or may become so later.
    Uncertain,
}

/// How an owner knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This owner has started it.
    Started,
    /// This owner has started it isolated, since its task may crash its worker.
    Isolated,
    /// This owner has discovered it, started by a previous owner.
    Discovered,
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
    /// What it counts against its account, if it has one and that is known.
    pub charge: Option<Charge>,
    pub start_state: StartState,
    /// When this owner's start of it was answered; `None` if its run time can't be told from that,
    /// or has counted already.
    pub started_at: Option<Millis>,
    /// A start that hasn't taken effect by this time never will.
    pub start_expires_at: Millis,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency of its responses in milliseconds, or thousandths of a core in use.
    pub load: u64,
    /// Whether it is to be stopped, and when the stop was last sent.
    pub stop: StopState,
    /// When a stop of it may last have been sent while its job went on; `None` if none was.
    pub last_stop_sent_at: Option<Millis>,
    /// When the worker accepted the stop: from then on it refuses a start that arrives late.
    pub stop_accepted_at: Option<Millis>,
    /// Its speed in percent, as last ordered.
    pub speed_percent: u32,
    /// Whether it serves until it is stopped.
    pub lasting: bool,
    /// How this owner knows of it.
    pub origin: Origin,
    /// Whether it started before more urgent ones since its step had waited for long.
    pub is_aged: bool,
    /// For a discovered run: the incarnation that it was placed in, if the row tells.
    pub incarnation_tag: Option<IncarnationTag>,
    /// If the incarnation that it was sent to has terminated and there was no answer: until when
    /// its start may still reach the next one.
    pub late_start_until: Option<Millis>,
    /// Whether a status poll was requested that may clear the crash record of its task.
    pub clearing_poll_requested: bool,
    /// What lists have shown of its progress.
    pub trace: Trace,
}

impl Run {
    /// A run whose start is about to be sent.
    pub(crate) fn new(run: u32, reserved: Demand, lasting: bool) -> Self {
        Self {
            run,
            reserved,
            charge: None,
            start_state: StartState::Sent,
            started_at: None,
            start_expires_at: Millis::MAX,
            percent: 0,
            load: 0,
            stop: StopState::No,
            last_stop_sent_at: None,
            stop_accepted_at: None,
            speed_percent: 100,
            lasting,
            origin: Origin::Started,
            is_aged: false,
            incarnation_tag: None,
            late_start_until: None,
            clearing_poll_requested: false,
            trace: Trace::default(),
        }
    }

    /// A worker that is alive at this time has survived it.
    pub(crate) fn survived_at(&self, settle_time: Millis) -> Millis {
        let started = match self.start_state {
            StartState::Confirmed(at) => at,
            StartState::Sent | StartState::Uncertain => self.start_expires_at,
        };
        started.saturating_add(settle_time)
    }

    /// Whether its start may reach or have reached the next incarnation of its worker, where the
    /// previous one terminated before `terminated_before`.
    ///
    /// The token of a new owner keeps out starts of the previous owner once it has polled that
    /// incarnation. An answer to a start doesn't tell which incarnation has accepted it.
    pub(crate) fn may_be_in_next_incarnation(&self, terminated_before: Millis) -> bool {
        let answered =
            matches!(self.start_state, StartState::Confirmed(at) if at < terminated_before);
        self.origin != Origin::Discovered && !answered
    }

    /// Whether a stop of it may be on its way, or may have reached its worker without an answer.
    pub(crate) fn may_be_stopping(&self, now: Millis, limits: &Limits) -> bool {
        let lately = |at| now < at + limits.late_order_window;
        self.stop != StopState::No && self.last_stop_sent_at.is_none_or(lately)
    }
}

/// Whether a run is to be stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StopState {
    #[default]
    No,
    Requested,
    SentAt(Millis),
}

/// Whether a worker has terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Termination {
    /// Not known to have terminated.
    NotKnown,
    /// Its incarnation has terminated; another one may follow under the same id.
    Incarnation,
    /// It has terminated, and another worker has its place.
    Permanent,
}

/// Why a worker is being evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationReason {
    /// Its instance is due for maintenance, and stays in the pool.
    Maintenance,
    /// Its instance is to move to another pool.
    Move,
}

/// Runs that were lost by an expired lease.
#[derive(Clone, Debug)]
pub(crate) struct ExpiredLease {
    pub at: Millis,
    pub runs: Vec<NewRun>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Its last registration, also after it is no longer registered.
    pub registration: Option<site::Worker>,
    pub registered: bool,
    /// The incarnation that the newest status came from, by its start time on the worker's clock; 0
    /// before the first status.
    pub incarnation: u64,
    /// The previous incarnation, of which statuses may still arrive.
    pub previous_incarnation: u64,
    /// Since when it has had no status, or no registration of the incarnation that answers, as far
    /// as it has none now.
    pub unready_since: Millis,
    /// When its newest status arrived.
    pub status_at: Option<Millis>,
    /// Up to this time its statuses certainly held.
    pub status_as_of: Option<Millis>,
    /// When an immediate status poll was last requested for an isolated run.
    pub poll_requested_at: Option<Millis>,
    /// While it is unresponsive: when the platform was last asked and listed it, without a gap in
    /// which its incarnation could have ended.
    pub listed_at: Option<Millis>,
    /// While it is unresponsive: when the platform was asked and listed it after such a gap, so that
    /// this incarnation or the next one may have been listed. An earlier list that arrives later may
    /// close the gap.
    pub relisted_at: BTreeSet<Millis>,
    /// Whether the throttling of fillers was decided after the newest status.
    pub throttle_checked: bool,
    /// Its lease has certainly expired after this time, if it isn't renewed.
    pub lease_expires_at: Millis,
    /// Whether this incarnation has terminated.
    pub termination: Termination,
    /// If this incarnation has terminated: it had by this time.
    pub terminated_before: Millis,
    /// Highest number of an ended run of this incarnation that is recorded.
    pub last_end: u64,
    /// Numbers and jobs of its ended runs that aren't committed, in ascending order.
    pub uncommitted_ends: Vec<(u64, JobId)>,
    /// Runs that may be under way.
    pub runs: BTreeMap<TaskId, Run>,
    /// Runs that were new when its lease expired, while it isn't known whether it has crashed.
    pub expired_lease: Option<ExpiredLease>,
    /// Whether it is being evacuated for planned work.
    pub evacuating: Option<EvacuationReason>,
    /// It gets no new runs before this time.
    pub cordoned_until: Millis,
    /// Jobs whose tasks have failed on it since the last success.
    pub failures: BTreeSet<JobId>,
    /// Its observed speed.
    pub speed: Speed,
}

impl Worker {
    pub(crate) fn new(lease_expires_at: Millis, now: Millis) -> Self {
        Self {
            registration: None,
            registered: false,
            incarnation: 0,
            previous_incarnation: 0,
            unready_since: now,
            status_at: None,
            status_as_of: None,
            poll_requested_at: None,
            listed_at: None,
            relisted_at: BTreeSet::new(),
            throttle_checked: true,
            lease_expires_at,
            termination: Termination::NotKnown,
            terminated_before: 0,
            last_end: 0,
            uncommitted_ends: Vec::new(),
            runs: BTreeMap::new(),
            expired_lease: None,
            evacuating: None,
            cordoned_until: 0,
            failures: BTreeSet::new(),
            speed: Speed::default(),
        }
    }

    /// The tasks and numbers of the runs for which `holds` is true.
    pub(crate) fn runs_where(&self, holds: impl Fn(&TaskId, &Run) -> bool) -> Vec<(TaskId, u32)> {
        let runs = self.runs.iter().filter(|(task, run)| holds(task, run));
        runs.map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Position up to which its ended runs are recorded.
    pub(crate) fn ends_cursor(&self) -> EndsCursor {
        EndsCursor {
            incarnation: self.incarnation,
            number: self.last_end,
        }
    }

    /// Unreserved capacity; runs that are being stopped still count.
    pub(crate) fn free_capacity(&self) -> Demand {
        let capacity = self.registration.as_ref().map(|info| info.capacity);
        let used = self.runs.values().map(|run| run.reserved);
        let used = used.fold(Demand::default(), Demand::plus);
        capacity.unwrap_or_default().minus(used)
    }

    /// Whether it has terminated.
    pub(crate) fn is_terminated(&self) -> bool {
        self.termination > Termination::NotKnown
    }

    /// Whether this incarnation has answered a poll.
    pub(crate) fn has_answered(&self) -> bool {
        self.status_as_of.is_some()
    }

    /// Whether its newest status is recent.
    pub(crate) fn is_responsive(&self, now: Millis, limits: &Limits) -> bool {
        let is_recent = self.status_at.is_some_and(|at| now < at + limits.fresh_for);
        is_recent && !self.is_terminated()
    }

    /// Whether what its statuses show of its runs is recent.
    pub(crate) fn has_current_status(&self, now: Millis, limits: &Limits) -> bool {
        let shown = self
            .status_as_of
            .is_some_and(|at| now < at + limits.fresh_for);
        shown && !self.is_terminated()
    }

    /// Whether a run may be what crashes the worker: neither has the run been listed for
    /// `settle_time` since its start, nor has the worker been seen alive that long after it.
    pub(crate) fn is_new(&self, run: &Run, settle_time: Millis) -> bool {
        let (alive_at, survived_at) = (self.alive_at(), run.survived_at(settle_time));
        match run.start_state {
            StartState::Confirmed(_) => {
                let lived_until = self.status_as_of.max(alive_at);
                run.origin != Origin::Discovered
                    && lived_until.is_none_or(|until| until < survived_at)
            }
            StartState::Sent | StartState::Uncertain => {
                alive_at.is_none_or(|until| until < survived_at)
            }
        }
    }

    /// Records that the platform, asked at `asked_at`, listed it while it was unresponsive.
    pub(crate) fn record_listing(&mut self, asked_at: Millis) {
        self.relisted_at.insert(asked_at);
        let mut last = self.listed_at.max(self.status_at);
        while let Some(known) = last
            && let Some(&next) = self.relisted_at.first()
            && next <= known + IncarnationTag::SPAN
        {
            self.relisted_at.pop_first();
            self.listed_at = self.listed_at.max(Some(next));
            last = last.max(Some(next));
        }
    }

    /// Up to this time the platform has certainly shown that it is alive while it is unresponsive.
    pub(crate) fn alive_at(&self) -> Option<Millis> {
        self.listed_at.map(|at| at.saturating_sub(MAX_LIST_AGE_MS))
    }

    /// Whether it has announced that it shuts down.
    pub(crate) fn is_draining(&self) -> bool {
        self.registration.as_ref().is_some_and(|info| info.draining)
    }

    /// Whether its registration is of the incarnation that answers polls, or may be. Otherwise its
    /// labels and capacity are those of another one, which may be of a different kind.
    pub(crate) fn is_described(&self) -> bool {
        self.registration.as_ref().is_some_and(|info| {
            info.born == self.incarnation || info.born == 0 || self.incarnation == 0
        })
    }

    /// Whether it accepts new runs.
    pub(crate) fn accepts_runs(&self, now: Millis, limits: &Limits) -> bool {
        self.registered
            && self.is_described()
            && self.is_responsive(now, limits)
            && !self.is_draining()
            && self.evacuating.is_none()
            && now >= self.cordoned_until
    }

    pub(crate) fn has_label(&self, label: &Name) -> bool {
        let info = self.registration.as_ref();
        info.is_some_and(|info| info.labels.contains(label))
    }
}
