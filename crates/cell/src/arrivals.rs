//! Rate of incoming work, and a short-term forecast of it.
//!
//! The backlog shows a rise of the demand only after jobs have waited. The arrival rate shows it at
//! once: jobs per second times the work per job is the number of cores that they will occupy,
//! whether or not so many exist. Demand that rises goes on rising for a while, and an instance that
//! is requested now becomes available a lead time later, so the rise is extrapolated over that
//! time.

use crate::limits::Millis;
use primroseroute_domain::work::{Demand, Job, Step};
use std::collections::VecDeque;

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

/// Minimum time between two recorded sums.
const SAMPLE_MS: Millis = 20;

/// Total work of a number of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    jobs: u64,
    all: Demand,
    /// Maximum over the jobs, for each resource.
    largest: Demand,
}

impl Sum {
    fn plus(self, other: Self) -> Self {
        Self {
            jobs: self.jobs + other.jobs,
            all: self.all.plus(other.all),
            largest: self.largest.larger(other.largest),
        }
    }
}

/// Recently accepted work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// Accepted since the last round.
    fresh: Sum,
    /// Sums of work by the time of the round that recorded them.
    recent: VecDeque<(Millis, Sum)>,
    /// Whether there was a round: jobs known before the first one have not just arrived.
    had_round: bool,
    /// Whether any work that ends by itself was ever recorded.
    any_work: bool,
}

/// A job's demand times its estimated duration in milliseconds; zero for long-running and scheduled
/// jobs.
fn work(job: &Job) -> Demand {
    if job.schedule.is_some() || job.lasting() {
        return Demand::default();
    }
    let of = |step: &Step| {
        let times = u64::from(step.count) * step.estimate_ms;
        let reserved = step.reserved();
        Demand {
            cpu: reserved.cpu * times,
            memory: reserved.memory * times,
            accelerators: reserved.accelerators * times,
        }
    };
    job.steps
        .iter()
        .map(of)
        .fold(Demand::default(), Demand::plus)
}

impl Arrivals {
    /// Records an accepted job.
    pub(crate) fn accept(&mut self, job: &Job) {
        let work = work(job);
        self.any_work |= work != Demand::default();
        if self.had_round {
            self.fresh = self.fresh.plus(Sum {
                jobs: u64::from(work != Demand::default()),
                all: work,
                largest: work,
            });
        }
    }

    /// Records a job that a previous owner has worked on.
    pub(crate) fn add_restored(&mut self, job: &Job) {
        self.any_work |= work(job) != Demand::default();
    }

    /// Whether any work was ever recorded, including that of a previous owner.
    pub(crate) fn any_work(&self) -> bool {
        self.any_work
    }

    /// Records a round at `now`.
    pub(crate) fn round(&mut self, now: Millis) {
        self.had_round = true;
        let fresh = std::mem::take(&mut self.fresh);
        match self.recent.back_mut() {
            Some((at, sum)) if now < *at + SAMPLE_MS => *sum = sum.plus(fresh),
            _ => self.recent.push_back((now, fresh)),
        }
        let old = |(at, _sum): &(Millis, Sum)| now >= at + NEAR_MS + BEFORE_MS;
        while self.recent.front().is_some_and(old) {
            self.recent.pop_front();
        }
    }

    /// Demand that the work of a range of ages would cause if it kept arriving at that rate: in
    /// total, and without its largest job.
    fn rate(&self, now: Millis, from: Millis, until: Millis) -> (Demand, Demand) {
        let within = self.recent.iter().filter(|(at, _sum)| {
            let age = now.saturating_sub(*at);
            from <= age && age < until
        });
        let sum = within.fold(Sum::default(), |all, (_at, sum)| all.plus(*sum));
        let span = until - from;
        let several = sum.all.minus(sum.largest);
        (
            per_millisecond(sum.all, span),
            per_millisecond(several, span),
        )
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
        let (near, several) = self.rate(now, 0, NEAR_MS);
        if let Some(newest) = self.newest(now) {
            let rises = newest.cpu * 100 >= near.cpu * RISE_PERCENT;
            return if rises { newest } else { near };
        }
        let (before, _several) = self.rate(now, NEAR_MS, NEAR_MS + BEFORE_MS);
        Demand {
            cpu: ahead(near.cpu, several.cpu, before.cpu),
            memory: ahead(near.memory, several.memory, before.memory),
            accelerators: ahead(near.accelerators, several.accelerators, before.accelerators),
        }
    }
}

fn per_millisecond(work: Demand, span: Millis) -> Demand {
    Demand {
        cpu: work.cpu / span,
        memory: work.memory / span,
        accelerators: work.accelerators.div_ceil(span),
    }
}

/// The rate a lead time from now, given the rates `before` and `near`, and `several`, which is
/// `near` without its largest job.
fn ahead(near: u64, several: u64, before: u64) -> u64 {
    // Each rate stands for the middle of its window.
    const APART: Millis = Millis::midpoint(NEAR_MS, BEFORE_MS);
    const AHEAD: Millis = LEAD_MS + NEAR_MS / 2;
    let rise = several.saturating_sub(before) * AHEAD / APART;
    (near + rise).min(near * MAX_RISE_FACTOR)
}
