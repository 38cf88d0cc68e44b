//! Observed speed of workers, from the progress of their runs.
//!
//! A slow worker, or *straggler*, is distinguished from a long task by the siblings of the task:
//! the rate of a run is compared with the rates of runs of the same step on other workers. On a
//! slow worker most runs are slow; a long task is slow alone. The comparison is pure and keeps a
//! bounded record for each step and each worker.
//!
//! * A run whose step shows progress in percent is compared by the percent that it completes
//!   between two lists of its worker. Where a step shows none, a run is compared by its age with
//!   the time that its siblings have taken.
//! * Percents are whole numbers. A run counts as slow only if it would be slow with one percent
//!   more, and as normal only if it would be with one percent less.
//! * A list may arrive late. Its time is that of its arrival, or an earlier one if the worker's
//!   clock shows that it was delayed: a late list must not make all runs of its worker look slow.

use crate::limits::Millis;
use primroseroute_domain::work::{Name, TaskId};

/// Shortest interval between two lists that is evaluated. The time that a list held is between the
/// sending of its poll and its arrival; in a shorter interval this matters too much.
const MIN_INTERVAL_MS: Millis = 100;

/// Progress in percent from which an interval is precise enough to be compared with.
const MIN_PROGRESS: u64 = 4;

/// Age up to which observations of a worker's runs count together.
const RECENT_MS: Millis = 1_500;

/// Time without an observation after which a slow worker gets a task as a probe.
pub(crate) const EXPIRY_MS: Millis = 6_000;

/// Minimum number of observed runs of a slow worker: one may be a long task.
const MIN_RUNS: usize = 2;

/// Speed of a worker whose runs progress like their siblings.
pub(crate) const NORMAL: u64 = 1_000;

/// Speed below which a run or a worker is slow.
pub(crate) const SLOW_BELOW: u64 = NORMAL / 2;

/// Share of its earlier rate, in thousandths, below which a run has become slower.
const SLOWED_BELOW: u64 = 850;

/// Time after which a worker whose runs have become slower is polled again: the interval that shows
/// it may have begun before.
const RECHECK_MS: Millis = 250;

/// Maximum number of rates that are kept for a step.
const MAX_RATES: usize = 16;

/// Maximum number of observations that are kept for a worker.
const MAX_OBSERVATIONS: usize = 16;

/// Largest rate error of a worker's clock, as a divisor of the time passed (2 %).
const CLOCK_DRIFT_DIVISOR: Millis = 50;

/// Delay of a list from which the clock of its worker is taken to have jumped: a poll takes half as
/// long.
const MAX_DELAY_MS: Millis = 3_000;

/// Thousandths of a percent per second for one percent per millisecond.
const RATE_SCALE: u64 = 1_000_000;

/// Progress rate in thousandths of a percent per second.
pub(crate) type Rate = u64;

fn rate(percent: u64, millis: Millis) -> Rate {
    percent * RATE_SCALE / millis.max(1)
}

/// Progress of a run in one interval between lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interval {
    pub began: Millis,
    pub at: Millis,
    pub progress: u64,
}

impl Interval {
    /// Progress rate; at least one percent, since progress below that isn't shown.
    pub(crate) fn rate(self) -> Rate {
        rate(self.progress.max(1), self.at - self.began)
    }

    fn highest(self) -> Rate {
        rate(self.progress + 1, self.at - self.began)
    }

    fn lowest(self) -> Rate {
        rate(self.progress.saturating_sub(1), self.at - self.began)
    }
}

/// What lists have shown of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trace {
    /// Whether the run began without a checkpoint, so that its percent began at 0.
    pub began_at_zero: bool,
    /// When its start was confirmed, if it began at 0.
    started_at: Option<Millis>,
    /// Time and percent from which the next interval counts.
    base: Option<(Millis, u64)>,
    /// Last interval that could be compared, or is precise enough for that.
    pub last: Option<Interval>,
    /// Percent at which its newest checkpoint was listed.
    pub checkpoint_percent: u64,
}

impl Trace {
    /// Records that the start of the run was confirmed.
    pub(crate) fn confirm(&mut self, now: Millis) {
        if self.began_at_zero && self.base.is_none() {
            self.started_at = Some(now);
            self.base = Some((now, 0));
        }
    }

    /// The interval that ends with a list; `None` if it tells nothing.
    fn interval(&mut self, at: Millis, percent: u64) -> Option<Interval> {
        if percent > 100 {
            return None;
        }
        let Some((began, from)) = self.base.filter(|base| at >= base.0 && percent >= base.1) else {
            // The first list, a clock that was set back, or a percent that has fallen.
            self.base = Some((at, percent));
            return None;
        };
        (at >= began + MIN_INTERVAL_MS).then_some(Interval {
            began,
            at,
            progress: percent - from,
        })
    }

    /// Whether the run is slower in `interval` than it was before.
    fn has_slowed(&self, interval: Interval) -> bool {
        let is_slower = |last: Interval| interval.highest() * NORMAL < last.lowest() * SLOWED_BELOW;
        self.last.is_some_and(is_slower)
    }

    /// Ends `interval`: the next one begins with it.
    fn finish(&mut self, interval: Interval) {
        let from = self.base.map_or(0, |base| base.1);
        self.base = Some((interval.at, from + interval.progress));
        self.last = Some(interval);
    }
}

/// Recent progress rates of a step's runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    /// Index of the task, worker and rate; the newest of each task.
    recent: Vec<(u16, Name, Rate)>,
    /// Where the next entry is written when all places are taken.
    next: usize,
    /// Whether a run has shown progress.
    shows_progress: bool,
}

impl Rates {
    fn record(&mut self, task: u16, worker: &Name, rate: Rate) {
        let mut known = self.recent.iter_mut();
        if let Some(known) = known.find(|known| known.0 == task) {
            if known.1 != *worker {
                known.1 = Name::clone(worker);
            }
            known.2 = rate;
            return;
        }
        let entry = (task, Name::clone(worker), rate);
        if self.recent.len() < MAX_RATES {
            self.recent.push(entry);
        } else {
            self.recent[self.next] = entry;
            self.next = (self.next + 1) % MAX_RATES;
        }
    }

    /// The median rate of runs on workers other than `worker`; of two, the lower one.
    pub(crate) fn normal(&self, worker: &Name) -> Option<Rate> {
        let mut rates = [0; MAX_RATES];
        let mut count = 0;
        for (_task, _worker, rate) in self.recent.iter().filter(|known| known.1 != *worker) {
            rates[count] = *rate;
            count += 1;
        }
        let rates = &mut rates[..count];
        rates.sort_unstable();
        rates.get(count.checked_sub(1)? / 2).copied()
    }

    /// Whether a run has shown progress in percent.
    pub(crate) fn shows_progress(&self) -> bool {
        self.shows_progress
    }

    /// Evaluates a run on `worker` that is listed with `percent`.
    pub(crate) fn listed(
        &mut self,
        trace: &mut Trace,
        task: u16,
        worker: &Name,
        (at, percent): (Millis, u64),
    ) -> Option<Listed> {
        let interval = trace.interval(at, percent)?;
        let has_slowed = trace.has_slowed(interval);
        self.shows_progress |= interval.progress > 0;
        let is_precise = interval.progress >= MIN_PROGRESS;
        if is_precise {
            self.record(task, worker, interval.lowest());
        }
        let normal = self.normal(worker);
        let speed = normal.and_then(|normal| {
            let relative = |rate: Rate| rate * NORMAL / normal.max(1);
            let (highest, probable) = if self.shows_progress {
                (interval.highest(), interval.rate())
            } else {
                let age = at.saturating_sub(trace.started_at?);
                (rate(100, age), rate(100, age))
            };
            let lowest = relative(interval.lowest());
            if relative(highest) < SLOW_BELOW {
                Some(relative(probable))
            } else {
                (lowest >= SLOW_BELOW).then_some(lowest)
            }
        });
        if speed.is_some() || is_precise {
            trace.finish(interval);
        }
        Some(Listed {
            speed: speed.map(|speed| (interval, speed)),
            has_slowed,
        })
    }

    /// Evaluates what is left of a run that has completed its task. Returns its speed if that is
    /// normal: the end may have been earlier, so it doesn't show that the run was slow.
    pub(crate) fn completed(
        &mut self,
        trace: &Trace,
        task: u16,
        worker: &Name,
        at: Millis,
    ) -> Option<(Interval, u64)> {
        let (began, from) = trace.base?;
        let interval = Interval {
            began,
            at,
            progress: 100_u64.checked_sub(from)?,
        };
        if at < began + MIN_INTERVAL_MS || interval.progress < MIN_PROGRESS {
            return None;
        }
        let normal = self.normal(worker);
        self.record(task, worker, interval.lowest());
        let speed = interval.lowest() * NORMAL / normal?.max(1);
        (speed >= SLOW_BELOW).then_some((interval, speed))
    }
}

/// What a list shows of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listed {
    /// Its speed relative to its siblings, if that is certain enough.
    pub speed: Option<(Interval, u64)>,
    /// Whether it has become slower.
    pub has_slowed: bool,
}

/// Speed of a run relative to its siblings.
#[derive(Clone, Debug)]
struct Observation {
    task: TaskId,
    interval: Interval,
    speed: u64,
}

/// What the recent runs of a worker show of its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    /// Median speed of the runs.
    pub speed: u64,
    /// Number of runs.
    pub runs: usize,
    /// The interval of theirs that began last.
    pub newest: Interval,
    /// When the newest list arrived.
    pub at: Millis,
}

impl Verdict {
    /// Whether enough runs are slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.speed < SLOW_BELOW && self.runs >= MIN_RUNS
    }

    /// Whether the runs progress normally, in an interval of which two thirds are later than
    /// `since`: with less, the worker may have become slow then.
    pub(crate) fn is_normal_since(&self, since: Millis) -> bool {
        let Interval { began, at, .. } = self.newest;
        self.speed >= SLOW_BELOW && at.saturating_sub(since) * 3 >= (at - began) * 2
    }

    /// Whether it is based on recent lists.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        now < self.at + RECENT_MS
    }
}

/// Whether a worker is used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// It isn't known to be slow.
    #[default]
    Normal,
    /// It is slow, at this speed, as an interval that began at this time has shown.
    Slow(Millis, u64),
    /// It was slow, and nothing was observed of it for a while: it gets one task.
    Probing(Option<TaskId>),
}

/// Observed speed of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speed {
    pub state: State,
    pub verdict: Option<Verdict>,
    /// Beginning of the first interval of those that have all shown it slow.
    pub slow_since: Option<Millis>,
    /// Number of runs that the newest list has shown to have become slower.
    slowed_runs: usize,
    /// When the worker is to be polled to see whether it has become slow.
    recheck_at: Option<Millis>,
    recent: Vec<Observation>,
    /// Least difference between this clock and the worker's, and when a list was last received.
    clock: Option<(i64, Millis)>,
}

impl Speed {
    /// The time that a list held whose poll was sent at `sent_at`, which arrived at `now` and shows
    /// the time `clock_ms` of its worker.
    ///
    /// The list that took least shows the difference of the clocks; a worker's clock may be 2 %
    /// slow.
    pub(crate) fn held_at(&mut self, sent_at: Millis, now: Millis, clock_ms: u64) -> Millis {
        let difference = signed(now).saturating_sub(signed(clock_ms));
        let least = self.clock.map_or(difference, |(least, last)| {
            let drift = now.saturating_sub(last) / CLOCK_DRIFT_DIVISOR;
            difference.min(least.saturating_add(signed(drift)))
        });
        let delay = difference.saturating_sub(least).unsigned_abs();
        if delay > MAX_DELAY_MS {
            self.clock = Some((difference, now));
            return now;
        }
        self.clock = Some((least, now));
        now.saturating_sub(delay).max(sent_at)
    }

    /// Adds the speed of a run that a list has shown. Returns whether the worker was slow and has
    /// become normal.
    pub(crate) fn observe(&mut self, task: &TaskId, (interval, speed): (Interval, u64)) -> bool {
        let is_normal = speed >= SLOW_BELOW;
        let was_slow = match &self.state {
            State::Normal => false,
            // An earlier interval may contain the time before it became slow.
            State::Slow(began, _speed) => interval.began >= *began,
            State::Probing(_) => true,
        };
        if was_slow && is_normal {
            self.clear();
        } else if matches!(self.state, State::Probing(_)) {
            self.state = State::Slow(interval.began, speed);
        }
        self.recent
            .retain(|known| known.task != *task && interval.at < known.interval.at + RECENT_MS);
        if self.recent.len() < MAX_OBSERVATIONS {
            self.recent.push(Observation {
                task: task.clone(),
                interval,
                speed,
            });
        }
        self.verdict = self.judge(|known| known.speed);
        match self.verdict.filter(Verdict::is_slow) {
            Some(verdict) => {
                self.slow_since.get_or_insert(verdict.newest.began);
            }
            None => self.slow_since = None,
        }
        was_slow && is_normal
    }

    /// Records that a list is being applied.
    pub(crate) fn begin_list(&mut self) {
        self.slowed_runs = 0;
    }

    /// Records that the list which held at `at` shows that a run has become slower.
    pub(crate) fn run_slowed(&mut self, at: Millis) {
        self.slowed_runs += 1;
        if self.slowed_runs >= MIN_RUNS && self.state == State::Normal {
            self.recheck_at.get_or_insert(at + RECHECK_MS);
        }
    }

    /// Whether the worker is to be polled now. Not if it has already shown that it is slow.
    pub(crate) fn take_recheck(&mut self, now: Millis) -> bool {
        let is_due = self.recheck_at.take_if(|at| now >= *at).is_some();
        is_due && !self.verdict.is_some_and(|verdict| verdict.is_slow())
    }

    /// Records that a batch run is started on the worker.
    pub(crate) fn record_start(&mut self, task: &TaskId) {
        if let State::Probing(probe) = &mut self.state {
            probe.get_or_insert_with(|| task.clone());
        }
    }

    /// Forgets that the worker was slow.
    pub(crate) fn clear(&mut self) {
        self.state = State::Normal;
        self.recent.clear();
        self.verdict = None;
        self.slow_since = None;
    }

    /// Whether the runs that have shown it slow still are, compared with the present rates of
    /// their siblings. Siblings may have become slow as well since then.
    pub(crate) fn is_still_slow<'a>(
        &self,
        worker: &Name,
        rates: impl Fn(&TaskId) -> Option<&'a Rates>,
    ) -> bool {
        let speed = |known: &Observation| {
            let rates = rates(&known.task).filter(|rates| rates.shows_progress);
            let normal = rates.and_then(|rates| rates.normal(worker));
            let relative = |normal: Rate| known.interval.highest() * NORMAL / normal.max(1);
            normal.map_or(known.speed, |normal| known.speed.max(relative(normal)))
        };
        self.judge(speed).is_some_and(|verdict| verdict.is_slow())
    }

    fn judge(&self, speed: impl Fn(&Observation) -> u64) -> Option<Verdict> {
        let mut speeds = [0; MAX_OBSERVATIONS];
        for (place, known) in speeds.iter_mut().zip(&self.recent) {
            *place = speed(known);
        }
        let speeds = &mut speeds[..self.recent.len()];
        speeds.sort_unstable();
        let intervals = || self.recent.iter().map(|known| known.interval);
        Some(Verdict {
            // Of two, the higher one: the other may be a long task.
            speed: *speeds.get(speeds.len() / 2)?,
            runs: speeds.len(),
            newest: intervals().max_by_key(|interval| interval.began)?,
            at: intervals().map(|interval| interval.at).max()?,
        })
    }

    /// Speed at which its capacity counts.
    pub(crate) fn capacity_permille(&self) -> u64 {
        match self.state {
            State::Slow(_began, speed) => speed.min(NORMAL),
            State::Normal | State::Probing(_) => NORMAL,
        }
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
