//! Run times of tasks, learned from runs that this owner has observed from their start.
//!
//! Estimates of callers are off by a factor. For each queue and step number, an online regression
//! of the logarithm of the run time on the logarithm of the estimate, with exponential forgetting,
//! tells how much of an estimate to believe: all of it where estimates are exact, and nothing where
//! they carry no information. Tasks of one step differ far less than jobs do, so the known run times
//! of two siblings tell more than the regression.
//!
//! A run counts once: when it has ended, or before that when a list shows enough of its progress to
//! derive its whole time. If only ended runs counted, the first observations of a queue would all
//! be of its short tasks.

use crate::{cell::Cell, limits::Millis, worker::Run};
use primroseroute_domain::work::{Name, Step, TaskId};
use std::collections::BTreeMap;

/// Number of observations below which the caller's estimate applies. The tasks of one step are one
/// observation together: they differ far less than those of two jobs.
const MIN_OBSERVATIONS: f64 = 10.0;

/// Weight that earlier observations keep at each new one, so that the last 200 or so count.
const FORGETTING: f64 = 0.995;

/// Variance that is added to that of the logarithms of estimates, as of exact ones: as long as all
/// estimates are equal, one that is larger stands for a longer task.
const EXACT_VARIANCE: f64 = 0.02;

/// Number of standard deviations beyond which a logarithm counts as this far off, so that a single
/// absurd estimate or run time doesn't decide the regression.
const MAX_DEVIATIONS: f64 = 3.0;

/// Minimum standard deviation of a logarithm for that bound: run times that have been alike may
/// change by a factor.
const MIN_SPREAD: f64 = 1.0;

/// Maximum variance of the logarithms of run times in the ratio of their mean to their median.
const MAX_VARIANCE: f64 = 2.0;

/// Longest run time and estimate that are believed: a day.
const MAX_MS: u64 = 86_400_000;

/// Maximum number of learned steps.
const MAX_ENTRIES: usize = 256;

/// Time without an observation after which a learned step is dropped.
const MAX_AGE_MS: Millis = 600_000;

/// Minimum time between two updates of the predictions for all jobs.
const UPDATE_INTERVAL_MS: Millis = 250;

/// Progress in percent from which the whole time of a run is derived from it. Progress has steps of
/// one percent, so the result is exact to a twentieth.
const MIN_PERCENT: u32 = 20;

/// Minimum time since its start for that: a list takes some milliseconds to arrive.
const MIN_ELAPSED_MS: Millis = 100;

/// Maximum number of run times that are kept for a step of a job.
const MAX_SIBLINGS: usize = 15;

/// The predicted run time of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunTime {
    /// Median, for the time until a task ends.
    pub typical_ms: u64,
    /// Mean, for the work of many tasks; long tasks weigh more in it.
    pub mean_ms: u64,
}

impl RunTime {
    /// A run time that is known, or that a caller has estimated.
    pub(crate) fn exactly(ms: u64) -> Self {
        Self {
            typical_ms: ms,
            mean_ms: ms,
        }
    }
}

/// Exponentially weighted regression of the logarithm of run times on that of estimates.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    /// Number of observations, without forgetting.
    observations: f64,
    weight: f64,
    mean: f64,
    variance: f64,
    /// Weight of the observations with an estimate.
    estimate_weight: f64,
    estimate_mean: f64,
    estimate_variance: f64,
    covariance: f64,
    observed_at: Millis,
}

/// The logarithm of a time; `None` for a missing estimate.
fn logarithm(ms: u64) -> Option<f64> {
    (ms > 0).then(|| (ms.min(MAX_MS) as f64).ln())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a positive range"
)]
fn milliseconds(logarithm: f64) -> u64 {
    logarithm.exp().clamp(1.0, MAX_MS as f64).round() as u64
}

/// The deviation of a logarithm from its mean, bounded.
fn deviation(value: f64, mean: f64, variance: f64) -> f64 {
    let bound = MAX_DEVIATIONS * variance.sqrt().max(MIN_SPREAD);
    (value - mean).clamp(-bound, bound)
}

impl Regression {
    /// Whether it has enough observations to predict.
    fn is_reliable(&self) -> bool {
        // A third, three times, may be less than one.
        self.observations >= MIN_OBSERVATIONS - 1e-6
    }

    /// Records a run time, one of `siblings` of its step.
    fn observe(&mut self, estimate_ms: u64, whole_ms: u64, siblings: u16, now: Millis) {
        let Some(time) = logarithm(whole_ms.max(1)) else {
            return;
        };
        let weight = 1.0 / f64::from(siblings.max(1));
        let keep = FORGETTING.powf(weight);
        let off = if self.observations > 0.0 {
            deviation(time, self.mean, self.variance)
        } else {
            self.mean = time;
            0.0
        };
        self.observations += weight;
        self.weight = self.weight * keep + weight;
        let part = weight / self.weight;
        self.mean += part * off;
        self.variance = (1.0 - part) * (self.variance + part * off * off);
        self.observed_at = self.observed_at.max(now);
        let Some(estimate) = logarithm(estimate_ms) else {
            return;
        };
        let estimate_off = if self.estimate_weight > 0.0 {
            deviation(estimate, self.estimate_mean, self.estimate_variance)
        } else {
            self.estimate_mean = estimate;
            0.0
        };
        self.estimate_weight = self.estimate_weight * keep + weight;
        let part = weight / self.estimate_weight;
        self.estimate_mean += part * estimate_off;
        let variance = self.estimate_variance + part * estimate_off * estimate_off;
        self.estimate_variance = (1.0 - part) * variance;
        self.covariance = (1.0 - part) * (self.covariance + part * estimate_off * off);
    }

    fn predict(&self, estimate_ms: u64) -> RunTime {
        let (covariance, variance) = (
            self.covariance + EXACT_VARIANCE,
            self.estimate_variance + EXACT_VARIANCE,
        );
        let slope = (covariance / variance).clamp(0.0, 1.0);
        let estimate = logarithm(estimate_ms).filter(|_estimate| self.estimate_weight > 0.0);
        let off = estimate.map_or(0.0, |estimate| {
            deviation(estimate, self.estimate_mean, self.estimate_variance)
        });
        let typical = self.mean + slope * off;
        let explained = slope * (2.0 * self.covariance - slope * self.estimate_variance);
        let rest = (self.variance - explained).clamp(0.0, MAX_VARIANCE);
        RunTime {
            typical_ms: milliseconds(typical),
            mean_ms: milliseconds(typical + rest / 2.0),
        }
    }
}

/// Learned run times by queue and step number.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    entries: BTreeMap<Name, BTreeMap<u16, Regression>>,
    /// Whether anything was observed since the last update.
    changed: bool,
    updated_at: Millis,
    /// Number of updates; jobs keep their predictions between two of them.
    updates: u64,
}

impl RunTimes {
    /// Records the run time of a task of a queue's job.
    pub(crate) fn observe(
        &mut self,
        queue: &Name,
        number: u16,
        step: &Step,
        whole_ms: u64,
        now: Millis,
    ) {
        let known = self.entries.get(queue);
        if known.is_none_or(|steps| !steps.contains_key(&number)) {
            self.make_room();
        }
        let steps = self.entries.entry(Name::clone(queue)).or_default();
        let entry = steps.entry(number).or_default();
        entry.observe(step.estimate_ms, whole_ms, step.count, now);
        self.changed = true;
    }

    /// Drops the entry without an observation for the longest time if there are too many.
    fn make_room(&mut self) {
        let all = self.entries.iter().flat_map(|(queue, steps)| {
            let steps = steps.iter();
            steps.map(move |(&number, entry)| (entry.observed_at, queue, number))
        });
        let (count, oldest) = all.fold((0, None), |(count, oldest), entry| {
            let oldest = oldest.map_or(entry, |oldest| entry.min(oldest));
            (count + 1, Some(oldest))
        });
        let oldest = oldest.map(|(_at, queue, number)| (Name::clone(queue), number));
        if count >= MAX_ENTRIES
            && let Some((queue, number)) = oldest
            && let Some(steps) = self.entries.get_mut(&queue)
        {
            steps.remove(&number);
            if steps.is_empty() {
                self.entries.remove(&queue);
            }
        }
    }

    /// The run time of a task, given its caller's estimate.
    pub(crate) fn predict(&self, queue: &str, number: u16, estimate_ms: u64) -> RunTime {
        let steps = self.entries.get(queue);
        let entry = steps.and_then(|steps| steps.get(&number));
        let entry = entry.filter(|entry| entry.is_reliable());
        entry.map_or(RunTime::exactly(estimate_ms), |entry| {
            entry.predict(estimate_ms)
        })
    }

    /// Updates the predictions if something was observed, and drops expired entries.
    fn update(&mut self, now: Millis) {
        if now < self.updated_at + UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_at = now;
        let is_current = |entry: &Regression| now < entry.observed_at + MAX_AGE_MS;
        for steps in self.entries.values_mut() {
            let count = steps.len();
            steps.retain(|_number, entry| is_current(entry));
            self.changed |= steps.len() < count;
        }
        self.entries.retain(|_queue, steps| !steps.is_empty());
        if std::mem::take(&mut self.changed) {
            self.updates += 1;
        }
    }
}

/// Predictions for the steps of one job, and the run times of its tasks that are known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prediction {
    /// The update of [`RunTimes`] that they stem from; `None` if they are outdated.
    update: Option<u64>,
    steps: Vec<RunTime>,
    /// Known run times by step number.
    known: BTreeMap<u16, Vec<u64>>,
    /// The objective that follows from them; `None` if the terms of the queue aren't known.
    objective_ms: Option<u64>,
}

/// How the objective of a queue's jobs follows from their critical path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Factor on the length of the critical path.
    pub stretch: f64,
    /// Constant term in milliseconds.
    pub target_ms: u64,
}

impl Terms {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "clamped to a positive range"
    )]
    fn objective_ms(self, chain_ms: u64) -> u64 {
        let stretched = chain_ms as f64 * self.stretch.max(0.0);
        (stretched.round() as u64).saturating_add(self.target_ms)
    }
}

/// Length of the critical path of a job.
fn chain_ms(steps: &[Step], times: &[RunTime]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (step, time) in steps.iter().zip(times) {
        let before = step
            .after
            .iter()
            .filter_map(|&earlier| ends.get(usize::from(earlier)));
        let before = before.max().copied().unwrap_or(0);
        ends.push(before.saturating_add(time.typical_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}

impl Prediction {
    /// The run time of a task of a step; its caller's estimate before the first round.
    pub(crate) fn of(&self, number: u16, step: &Step) -> RunTime {
        let predicted = self.steps.get(usize::from(number));
        predicted.map_or(RunTime::exactly(step.estimate_ms), |predicted| *predicted)
    }

    /// The objective that follows from the predictions; `None` before the first round and where the
    /// terms of the queue aren't known.
    pub(crate) fn objective_ms(&self) -> Option<u64> {
        self.objective_ms
    }

    fn record(&mut self, number: u16, whole_ms: u64) {
        let known = self.known.entry(number).or_default();
        if known.len() == MAX_SIBLINGS {
            known.remove(0);
        }
        known.push(whole_ms);
        self.update = None;
    }

    /// The median of the known run times of a step, if there are two or more.
    fn median(&self, number: u16) -> Option<u64> {
        let mut known = self.known.get(&number)?.clone();
        known.sort_unstable();
        known
            .get(known.len() / 2)
            .copied()
            .filter(|_median| known.len() > 1)
    }

    fn update(&mut self, queue: &str, steps: &[Step], learned: &RunTimes, terms: Option<Terms>) {
        if self.update == Some(learned.updates) {
            return;
        }
        self.update = Some(learned.updates);
        let predictions = (0..).zip(steps).map(|(number, step)| {
            let median = self.median(number).map(RunTime::exactly);
            median.unwrap_or_else(|| learned.predict(queue, number, step.estimate_ms))
        });
        self.steps = predictions.collect();
        self.objective_ms = terms.map(|terms| terms.objective_ms(chain_ms(steps, &self.steps)));
    }
}

/// Brings the predictions of all jobs up to date.
pub(crate) fn update(cell: &mut Cell, now: Millis) {
    cell.run_times.update(now);
    for job in cell.jobs.values_mut() {
        let accepted = &job.accepted;
        let prediction = &mut job.prediction;
        let terms = cell.queue_terms.get(&accepted.queue).copied();
        prediction.update(&accepted.queue, &accepted.job.steps, &cell.run_times, terms);
    }
}

/// Records the run time of a task of an unfinished job.
pub(crate) fn observe(cell: &mut Cell, task: &TaskId, whole_ms: u64, now: Millis) {
    let Some(job) = cell.jobs.get_mut(&task.job) else {
        return;
    };
    let Some(step) = job.accepted.job.steps.get(usize::from(task.step)) else {
        return;
    };
    // Neither do long-running tasks end by themselves, nor do fillers run at full speed.
    if step.lasting || step.filler {
        return;
    }
    let queue = &job.accepted.queue;
    cell.run_times
        .observe(queue, task.step, step, whole_ms, now);
    job.prediction.record(task.step, whole_ms);
}

/// The run time of a run that has ended now, if it was observed from its start and hasn't counted
/// yet.
pub(crate) fn measured(run: &Run, now: Millis) -> Option<u64> {
    let started_at = run.started_at.filter(|_at| run.speed_percent == 100)?;
    now.checked_sub(started_at)
}

/// The run time of a run whose progress has just been listed as `percent`, if that is enough to
/// tell. The run has counted then.
pub(crate) fn projected(run: &mut Run, percent: u32, now: Millis) -> Option<u64> {
    let started_at = run.started_at?;
    // Progress that falls or exceeds the whole isn't that of this run.
    if percent < run.percent || percent > 100 {
        run.started_at = None;
        return None;
    }
    let elapsed = now.checked_sub(started_at)?;
    if !(MIN_PERCENT..100).contains(&percent)
        || elapsed < MIN_ELAPSED_MS
        || run.speed_percent != 100
    {
        return None;
    }
    run.started_at = None;
    Some(elapsed * 100 / u64::from(percent))
}
