//! Rate of incoming work, and a short-term forecast of it.
//!
//! The backlog shows a rise of the demand only after jobs have waited. The arrival rate shows it at
//! once: jobs per second times the work per job is the number of cores that they will occupy,
//! whether or not so many exist. Demand that rises goes on rising for a while, and an instance that
//! is requested now becomes available a lead time later, so the rise is extrapolated over that
//! time.

use crate::{
    inventory::Capability, limits::Millis, run_times::RunTimes, unplaceable::placeable_steps,
};
use primroseroute_domain::work::{Demand, Job, Name, Step};
use std::collections::{BTreeMap, VecDeque};

/// Window of the current rate. About ten jobs arrive within it where a queue is busy; with a
/// shorter one the rate is dominated by chance, and with a longer one a rise is seen that much
/// later.
const NEAR_MS: Millis = 600;

/// Window before that, with which the current rate is compared.
const BEFORE_MS: Millis = 1_200;

/// Time from a rise until an instance that is requested for it is available: publishing, the order,
/// the move, the registration and the first status poll.
const LEAD_MS: Millis = 2_000;

/// Number of jobs from which the rate is reliable. A queue in which so many arrive within half of
/// the near window shows its rise directly, without extrapolation.
const RELIABLE_JOBS: u64 = 50;

/// Rate of the newest jobs, in percent of the near rate, from which it counts as a rise and not as
/// noise.
const RISE_PERCENT: u64 = 125;

/// Maximum factor by which a rise multiplies the current rate: a few jobs after none look like a
/// steep rise.
const MAX_RISE_FACTOR: u64 = 3;

/// Number of jobs of a queue from which its mean work is reliable. Until then each of its jobs
/// counts for its own work.
const MIN_JOBS: u64 = 20;

/// Number of jobs that the mean work of a queue stands for; older ones are forgotten exponentially.
const MEAN_JOBS: u64 = 200;

/// Multiple of the mean beyond which the work of a job counts as this much, so that an absurd
/// estimate doesn't stay in the mean for hundreds of jobs.
const MAX_JOB_FACTOR: u64 = 20;

/// Part of the variance that is held against a rise. With all of it, instances for a queue of
/// small jobs are asked for 0.1 s later at the start of a rise than without; with half of it no
/// later, and with nearly the same reduction of what chance asks for.
const NOISE_PART: f64 = 0.5;

/// Maximum number of queues whose jobs are counted.
const MAX_QUEUES: usize = 256;

/// Time without a job after which a queue is forgotten.
const MAX_AGE_MS: Millis = 600_000;

/// Minimum time between two recorded sums.
const SAMPLE_MS: Millis = 20;

/// Total work of a number of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    jobs: u64,
    all: Demand,
    /// Maximum over the jobs, for each resource.
    largest: Demand,
    /// Sum of the squares of the processor work of jobs that count for the mean of their queue.
    squares: f64,
}

impl Sum {
    fn plus(self, other: Self) -> Self {
        Self {
            jobs: self.jobs + other.jobs,
            all: self.all.plus(other.all),
            largest: self.largest.larger(other.largest),
            squares: self.squares + other.squares,
        }
    }
}

/// What arrives in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inflow {
    /// The queue.
    pub queue: Name,
    /// Accepted jobs per second.
    pub jobs_per_second: u64,
    /// Mean work of its jobs in core-milliseconds; 0 if too few are known.
    pub job_core_ms: u64,
}

/// Recent jobs of a queue, and their mean work.
#[derive(Clone, Debug, Default)]
struct Queue {
    /// Work of its first jobs, until there are enough for a mean.
    first: Vec<Demand>,
    mean: Option<Demand>,
    /// Times of the jobs within the near window.
    recent: VecDeque<Millis>,
    seen_at: Millis,
}

impl Queue {
    /// Adds a job, and returns the mean if it is known.
    fn add(&mut self, work: Demand, now: Millis) -> Option<Demand> {
        self.seen_at = now;
        self.recent.push_back(now);
        if let Some(mean) = self.mean {
            let work = bounded(work, mean);
            let towards = |mean: u64, work: u64| {
                let change = work.abs_diff(mean) / MEAN_JOBS;
                if work > mean {
                    mean + change
                } else {
                    mean - change
                }
            };
            self.mean = Some(Demand {
                cpu: towards(mean.cpu, work.cpu),
                memory: towards(mean.memory, work.memory),
                accelerators: towards(mean.accelerators, work.accelerators),
            });
            return self.mean;
        }
        self.first.push(work);
        if self.first.len() as u64 >= MIN_JOBS {
            let mut first = std::mem::take(&mut self.first);
            first.sort_unstable_by_key(|work| work.cpu);
            let median = first[first.len() / 2];
            let count = first.len() as u64;
            let parts = first.iter().map(|work| {
                let work = bounded(*work, median);
                Demand {
                    cpu: work.cpu / count,
                    memory: work.memory / count,
                    accelerators: work.accelerators / count,
                }
            });
            self.mean = Some(parts.fold(Demand::default(), Demand::plus));
        }
        self.mean
    }

    fn inflow(&self, name: &Name) -> Inflow {
        Inflow {
            queue: Name::clone(name),
            jobs_per_second: self.recent.len() as u64 * 1_000 / NEAR_MS,
            job_core_ms: self.mean.unwrap_or_default().cpu / 1_000,
        }
    }
}

/// The work of a job, at most [`MAX_JOB_FACTOR`] times that of a typical one.
fn bounded(work: Demand, typical: Demand) -> Demand {
    let most = typical.cpu.saturating_mul(MAX_JOB_FACTOR);
    if work.cpu <= most || most == 0 {
        return work;
    }
    let part = |all: u64| {
        let part = u128::from(all) * u128::from(most) / u128::from(work.cpu);
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    Demand {
        cpu: most,
        memory: part(work.memory),
        accelerators: part(work.accelerators),
    }
}

/// Work per time.
#[derive(Clone, Copy, Debug)]
struct Rate {
    all: Demand,
    /// Without the largest job.
    several: Demand,
    /// Variance of its processor share that the random times of jobs alone cause, as far as jobs
    /// count for the mean of their queue.
    variance: f64,
}

/// Recently accepted work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// Accepted since the last round.
    fresh: Sum,
    /// Sums of work by the time of the round that recorded them.
    recent: VecDeque<(Millis, Sum)>,
    /// Time of the last round.
    round_at: Millis,
    queues: BTreeMap<Name, Queue>,
    /// Whether there was a round: jobs known before the first one have not just arrived.
    had_round: bool,
    /// Whether any work that ends by itself was ever recorded.
    any_work: bool,
}

/// A job's demand times its predicted duration in milliseconds, without steps that no instance can
/// run; zero for long-running and scheduled jobs.
fn work(queue: &str, job: &Job, run_times: &RunTimes, capability: &Capability) -> Demand {
    if job.schedule.is_some() || job.lasting() {
        return Demand::default();
    }
    let of = |(number, step): (u16, &Step)| {
        let run_time = run_times.predict(queue, number, step.estimate_ms);
        let times = u64::from(step.count).saturating_mul(run_time.mean_ms);
        let reserved = step.reserved();
        Demand {
            cpu: reserved.cpu.saturating_mul(times),
            memory: reserved.memory.saturating_mul(times),
            accelerators: reserved.accelerators.saturating_mul(times),
        }
    };
    placeable_steps(capability, &job.steps)
        .map(of)
        .fold(Demand::default(), Demand::plus)
}

impl Arrivals {
    /// Records an accepted job.
    ///
    /// Jobs that are known before the first round have waited, and those that wait are the larger
    /// ones: the mean work of a queue isn't learned from them.
    pub(crate) fn accept(
        &mut self,
        queue: &Name,
        job: &Job,
        run_times: &RunTimes,
        capability: &Capability,
    ) {
        let work = work(queue, job, run_times, capability);
        if work == Demand::default() {
            return;
        }
        self.any_work = true;
        if self.had_round {
            let mean = self.mean(queue, work);
            let counted = mean.unwrap_or(work);
            let cpu = mean.map_or(0.0, |mean| mean.cpu as f64);
            self.fresh = self.fresh.plus(Sum {
                jobs: 1,
                all: counted,
                largest: counted,
                squares: cpu * cpu,
            });
        }
    }

    /// Adds a job to its queue, and returns the mean work of the queue if it is known. Jobs count
    /// for it, so that the rate follows the number of jobs and not the sizes of the last few.
    fn mean(&mut self, queue: &Name, work: Demand) -> Option<Demand> {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return None;
        }
        let now = self.round_at;
        let queue = self.queues.entry(Name::clone(queue)).or_default();
        queue.add(work, now)
    }

    /// What arrives in the queue that adds the most work.
    pub(crate) fn largest_inflow(&self) -> Option<Inflow> {
        let inflows = self.queues.iter();
        let inflows = inflows.map(|(name, queue)| queue.inflow(name));
        let busy = inflows.filter(|inflow| inflow.jobs_per_second > 0);
        busy.max_by_key(|inflow| inflow.jobs_per_second.saturating_mul(inflow.job_core_ms))
    }

    /// Records a job that a previous owner has worked on.
    pub(crate) fn add_restored(
        &mut self,
        queue: &Name,
        job: &Job,
        run_times: &RunTimes,
        capability: &Capability,
    ) {
        self.any_work |= work(queue, job, run_times, capability) != Demand::default();
    }

    /// Whether any work was ever recorded, including that of a previous owner.
    pub(crate) fn any_work(&self) -> bool {
        self.any_work
    }

    /// Records a round at `now`.
    pub(crate) fn round(&mut self, now: Millis) {
        self.had_round = true;
        self.round_at = now;
        let fresh = std::mem::take(&mut self.fresh);
        match self.recent.back_mut() {
            Some((at, sum)) if now < *at + SAMPLE_MS => *sum = sum.plus(fresh),
            _ => self.recent.push_back((now, fresh)),
        }
        let old = |(at, _sum): &(Millis, Sum)| now >= at + NEAR_MS + BEFORE_MS;
        while self.recent.front().is_some_and(old) {
            self.recent.pop_front();
        }
        self.queues.retain(|_name, queue| {
            // The time of a job is that of the round before it.
            let is_old = |at: &Millis| now > at + NEAR_MS;
            while queue.recent.front().is_some_and(is_old) {
                queue.recent.pop_front();
            }
            now < queue.seen_at + MAX_AGE_MS
        });
    }

    /// Demand that the work of a range of ages would cause if it kept arriving at that rate.
    fn rate(&self, now: Millis, from: Millis, until: Millis) -> Rate {
        let within = self.recent.iter().filter(|(at, _sum)| {
            let age = now.saturating_sub(*at);
            from <= age && age < until
        });
        let sum = within.fold(Sum::default(), |all, (_at, sum)| all.plus(*sum));
        let span = until - from;
        Rate {
            all: per_millisecond(sum.all, span),
            several: per_millisecond(sum.all.minus(sum.largest), span),
            variance: sum.squares / (span as f64 * span as f64),
        }
    }

    /// Demand that the newest jobs would cause if they kept arriving at that rate; `None` if too
    /// few have arrived.
    fn newest(&self, now: Millis) -> Option<Demand> {
        let mut sum = Sum::default();
        for (at, earlier) in self.recent.iter().rev() {
            let span = now.saturating_sub(*at);
            if span > NEAR_MS / 2 {
                return None;
            }
            // Work that a round has recorded arrived after the previous round.
            if sum.jobs >= RELIABLE_JOBS && span > 0 {
                return Some(per_millisecond(sum.all, span));
            }
            sum = sum.plus(*earlier);
        }
        None
    }

    /// Expected demand a lead time from now, if the trend continues.
    ///
    /// A rise needs more than one job, however large it is. Leaving the largest job out of the rate
    /// as well would withhold instances from a queue of few large jobs for a second.
    pub(crate) fn expected(&self, now: Millis) -> Demand {
        let near = self.rate(now, 0, NEAR_MS);
        if let Some(newest) = self.newest(now) {
            let rises =
                u128::from(newest.cpu) * 100 >= u128::from(near.all.cpu) * u128::from(RISE_PERCENT);
            return if rises { newest } else { near.all };
        }
        let before = self.rate(now, NEAR_MS, NEAR_MS + BEFORE_MS);
        let support = support_permille(&near, &before);
        let ahead = |of: fn(Demand) -> u64| {
            let rise = of(near.several).saturating_sub(of(before.all));
            ahead(of(near.all), rise.saturating_mul(support) / 1_000)
        };
        Demand {
            cpu: ahead(|demand| demand.cpu),
            memory: ahead(|demand| demand.memory),
            accelerators: ahead(|demand| demand.accelerators),
        }
    }
}

/// How much of the rise from `before` to `near` the number of jobs supports: little of one that
/// their random times explain, nearly all of one that is several times as large.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "from 0 to 1,000"
)]
fn support_permille(near: &Rate, before: &Rate) -> u64 {
    let rise = near.several.cpu.saturating_sub(before.all.cpu) as f64;
    let noise = NOISE_PART * (near.variance + before.variance);
    if noise > 0.0 {
        (1_000.0 * rise * rise / (rise * rise + noise)) as u64
    } else {
        1_000
    }
}

fn per_millisecond(work: Demand, span: Millis) -> Demand {
    Demand {
        cpu: work.cpu / span,
        memory: work.memory / span,
        accelerators: work.accelerators.div_ceil(span),
    }
}

/// The rate a lead time from now, given the rate `near` and its `rise` since the window before.
fn ahead(near: u64, rise: u64) -> u64 {
    // Each rate stands for the middle of its window.
    const APART: Millis = Millis::midpoint(NEAR_MS, BEFORE_MS);
    const AHEAD: Millis = LEAD_MS + NEAR_MS / 2;
    let rise = rise.saturating_mul(AHEAD) / APART;
    near.saturating_add(rise)
        .min(near.saturating_mul(MAX_RISE_FACTOR))
}
