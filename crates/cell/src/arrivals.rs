//! How much work comes in, and how much will in a moment.
//!
//! Work that waits shows a rise of the demand only after the rise, by the time that it has waited. What has
//! been accepted shows it at once: jobs a second times the work of a job is the number of cores that they
//! will occupy, whether or not there are so many. Demand that rises goes on to rise for a while, and an
//! instance that is asked for now works a lead time later, so the rise is taken to go on for that long.

use crate::limits::Millis;
use primroseroute_domain::work::{Demand, Job, Step};
use std::collections::VecDeque;

/// Span over which the newest rate is taken. Ten jobs or so come in within it where a queue is busy;
/// shorter, and the rate of a few jobs is chance; longer, and a rise is seen that much later.
const NEAR_MS: Millis = 600;

/// Span before that, with which the newest rate is compared.
const BEFORE_MS: Millis = 1_200;

/// Time from a rise until an instance that comes for it works: publishing, the order, the move, the
/// registration and the first look.
const LEAD_MS: Millis = 2_000;

/// Number of jobs whose work tells the rate well. A queue in which so many come in within half of the near span shows its rise as
/// it is, and nothing has to be guessed of how it goes on.
const ENOUGH: u64 = 50;

/// Times the near rate that the newest jobs' has to be, in percent, to be taken for a rise and not for chance.
const CLEAR_PERCENT: u64 = 125;

/// Most that a rise is taken to multiply the newest rate by: few jobs after none look like a steep rise.
const MOST_RISE: u64 = 3;

/// Least time between two sums that are remembered.
const SAMPLE_MS: Millis = 20;

/// Work of some jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    jobs: u64,
    all: Demand,
    /// The most that one of them has, in each respect.
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

/// Work that was accepted lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// Accepted since the last round.
    fresh: Sum,
    /// Sums of work by the time of the round that took them in.
    recent: VecDeque<(Millis, Sum)>,
    /// Whether a round has been held: what was there before that has not just come in.
    begun: bool,
    /// Whether anything that ends by itself was ever taken in.
    any: bool,
}

/// What a job occupies, times the milliseconds that it takes; nothing for what lasts or is scheduled.
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
    /// Takes in a job that was accepted.
    pub(crate) fn accept(&mut self, job: &Job) {
        let work = work(job);
        self.any |= work != Demand::default();
        if self.begun {
            self.fresh = self.fresh.plus(Sum {
                jobs: u64::from(work != Demand::default()),
                all: work,
                largest: work,
            });
        }
    }

    /// Takes in a job that a predecessor has worked on.
    pub(crate) fn found(&mut self, job: &Job) {
        self.any |= work(job) != Demand::default();
    }

    /// Whether any work was ever taken in, a predecessor's included.
    pub(crate) fn any(&self) -> bool {
        self.any
    }

    /// Takes in that a round is held at `now`.
    pub(crate) fn round(&mut self, now: Millis) {
        self.begun = true;
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

    /// What would be occupied by the work that came in between two ages, if it went on to come in so: all of
    /// it, and without its largest job.
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

    /// What would be occupied by the work of the newest jobs, if it went on to come in so; `None` where too few have come.
    fn newest(&self, now: Millis) -> Option<Demand> {
        let mut sum = Sum::default();
        for (at, earlier) in self.recent.iter().rev() {
            let span = now.saturating_sub(*at);
            if span > NEAR_MS / 2 {
                return None;
            }
            // What a round has taken in came after the round before it.
            if sum.jobs >= ENOUGH && span > 0 {
                return Some(per_millisecond(sum.all, span));
            }
            sum = sum.plus(*earlier);
        }
        None
    }

    /// What will be occupied a lead time from now, if the demand goes on as it has begun.
    ///
    /// A rise needs more than one job, however large it is. To leave the largest out of the rate as well would keep
    /// a queue of few large jobs from its instances for a second.
    pub(crate) fn expected(&self, now: Millis) -> Demand {
        let (near, several) = self.rate(now, 0, NEAR_MS);
        if let Some(newest) = self.newest(now) {
            let rises = newest.cpu * 100 >= near.cpu * CLEAR_PERCENT;
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

/// The rate a lead time after now, where it was `before` and is `near`, or `several` without its largest job.
fn ahead(near: u64, several: u64, before: u64) -> u64 {
    // The rates stand for the middles of their spans.
    const APART: Millis = Millis::midpoint(NEAR_MS, BEFORE_MS);
    const AHEAD: Millis = LEAD_MS + NEAR_MS / 2;
    let rise = several.saturating_sub(before) * AHEAD / APART;
    (near + rise).min(near * MOST_RISE)
}
