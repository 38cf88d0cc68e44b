//! Whether a gateway accepts a job.

use crate::PoolLoad;
use primroseroute_domain::work::{Demand, Job, JobId, Name};
use std::collections::BTreeMap;

/// Age from which a pool's waits are no longer used: an owner repeats them every 500 ms while they
/// are above zero.
pub const FRESH_MS: u64 = 5_000;

/// Age from which a confirmation of the feed doesn't count: a call of the feed takes up to 10 s, and
/// one without an answer 11.5 s.
pub const CONFIRMED_MS: u64 = 15_000;

/// Wait from which a job beyond its account's entitlement is rejected whatever its size.
const HOPELESS_WAIT_MS: u64 = 30_000;

/// A job that ends after this multiple of its objective counts for nothing.
const LATE_FACTOR: u64 = 3;

/// Bounds of the delay before jitter; the jitter adds up to half, so that a caller is told to come
/// back after 1 to 30 s.
const DELAY_MS: [u64; 2] = [1_000, 20_000];

/// Wait up to which jobs within their account's entitlement are accepted. Short jobs go first, so
/// most wait for less than the expected time.
const WITHIN_WAIT_MS: u64 = 10_000;

/// Minimum jobs per second of a local bucket: without figures, an account of weight 0 and callers of
/// public queues aren't shut out altogether.
const MIN_RATE: f64 = 0.2;

/// Maximum jobs per second of a local bucket, so that the arithmetic stays finite.
const MAX_RATE: f64 = 1e9;

/// Buckets from which full ones are dropped: names of accounts that were removed would stay.
const MAX_BUCKETS: usize = 256;

/// Jobs within the entitlement are counted in parts of this many.
pub(crate) const PARTS: u64 = 1_000;

/// What a gateway knows of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures<'a> {
    /// What the pool's owner published last, if anything.
    pub published: Option<Published<'a>>,
    /// How long ago the feed was confirmed; `None` if it never was.
    pub confirmed_ms: Option<u64>,
}

/// A published load as received.
#[derive(Clone, Copy, Debug)]
pub struct Published<'a> {
    /// The load.
    pub load: &'a PoolLoad,
    /// The row's version.
    pub version: u64,
    /// Time since its arrival in milliseconds.
    pub age_ms: u64,
}

/// A submission, as far as its head tells.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// The account; none on a public queue.
    pub account: Option<&'a Name>,
    /// The account's weight, its entitlement in jobs per second.
    pub weight: f64,
    /// The pool.
    pub pool: &'a Name,
    /// The job's id.
    pub id: &'a JobId,
}

/// What a job needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Length of its critical path in milliseconds.
    pub chain_ms: u64,
    /// Time within which it should be done, in milliseconds.
    pub objective_ms: u64,
    /// Work of its tasks in core-milliseconds.
    pub work_core_ms: u64,
    /// Largest demand of a task, for each resource.
    pub largest_task: Demand,
}

impl Size {
    /// The size of a job with an objective.
    pub fn of(job: &Job, objective_ms: u64) -> Self {
        let mut size = Self {
            chain_ms: job.chain_ms(),
            objective_ms,
            ..Self::default()
        };
        for step in &job.steps {
            let cpu = u128::from(step.reserved().cpu) * u128::from(step.count);
            let work = cpu * u128::from(step.estimate_ms) / 1_000;
            let work = u64::try_from(work).unwrap_or(u64::MAX);
            size.work_core_ms = size.work_core_ms.saturating_add(work);
            size.largest_task = size.largest_task.larger(step.reserved());
        }
        size
    }
}

/// A decision about a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job may be accepted.
    Accept,
    /// The job is rejected.
    Reject(Rejection),
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// The wait that was expected for it, in milliseconds.
    pub wait_ms: u64,
    /// When to try again, in milliseconds; 0 if that is pointless.
    pub retry_after_ms: u64,
}

/// The reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is within its account's entitlement, and would end too late to count.
    Within,
    /// It is beyond its account's entitlement, and would be late.
    Beyond,
    /// Figures are old or missing, and the account is over its weight at this entry.
    Local,
    /// One of its tasks fits no worker.
    Size,
}

/// Decides which jobs a gateway accepts.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// Accepted by pool since the row of a version was published.
    accepted: BTreeMap<Name, Accepted>,
    /// Used while figures are old or missing.
    buckets: BTreeMap<Option<Name>, Bucket>,
}

/// Work in core-milliseconds that was accepted since a row was published.
#[derive(Clone, Copy, Debug, Default)]
struct Accepted {
    version: u64,
    within: u64,
    total: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    jobs: f64,
    at_ms: u64,
}

impl Bucket {
    /// Adds what has accrued until `now_ms`; a clock that went back adds nothing.
    fn refill(&mut self, rate: f64, now_ms: u64) {
        let seconds = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.jobs = (self.jobs + seconds * rate).min(rate.max(1.0));
        self.at_ms = now_ms;
    }
}

impl Gate {
    /// Decides about a job, and counts it if it is accepted.
    pub fn decide(
        &mut self,
        submission: &Submission<'_>,
        size: &Size,
        figures: Figures<'_>,
        now_ms: u64,
    ) -> Decision {
        let confirmed = figures.confirmed_ms.is_some_and(|age| age < CONFIRMED_MS);
        if !confirmed {
            return self.decide_locally(submission, now_ms);
        }
        let Some(published) = figures.published else {
            return Decision::Accept;
        };
        let load = published.load;
        let largest = load.largest_worker;
        if largest != Demand::default() && !size.largest_task.fits(largest) {
            return Decision::Reject(Rejection {
                reason: Reason::Size,
                wait_ms: 0,
                retry_after_ms: 0,
            });
        }
        if load.within_wait_ms == 0 && load.beyond_wait_ms == 0 {
            return Decision::Accept;
        }
        if published.age_ms >= FRESH_MS {
            return self.decide_locally(submission, now_ms);
        }
        let accepted = self.accepted(submission.pool, published.version);
        let within = is_within(submission, load);
        let wait_ms = wait(load, accepted, within);
        let (limit_ms, reason) = if within {
            let limit = size.objective_ms.saturating_mul(LATE_FACTOR);
            let least = size.chain_ms.saturating_add(WITHIN_WAIT_MS);
            (limit.max(least), Reason::Within)
        } else {
            (size.objective_ms, Reason::Beyond)
        };
        let end_ms = wait_ms.saturating_add(size.chain_ms);
        // A job whose path alone is longer than its limit is accepted once it needn't wait.
        if wait_ms > 0 && end_ms > limit_ms {
            let excess_ms = (end_ms - limit_ms).min(wait_ms);
            return reject(reason, wait_ms, excess_ms, submission.id);
        }
        let after = accepted.plus(size.work_core_ms, within);
        self.accepted.insert(Name::clone(submission.pool), after);
        Decision::Accept
    }

    /// The rejection of a job that would be rejected whatever its size: it is beyond its account's
    /// entitlement and the wait alone is hopeless.
    pub fn reject_any_size(
        &self,
        submission: &Submission<'_>,
        figures: Figures<'_>,
    ) -> Option<Rejection> {
        let confirmed = figures.confirmed_ms.is_some_and(|age| age < CONFIRMED_MS);
        let published = figures.published.filter(|_known| confirmed)?;
        if published.age_ms >= FRESH_MS || is_within(submission, published.load) {
            return None;
        }
        let accepted = self.accepted(submission.pool, published.version);
        let wait_ms = wait(published.load, accepted, false);
        (wait_ms > HOPELESS_WAIT_MS).then(|| Rejection {
            reason: Reason::Beyond,
            wait_ms,
            retry_after_ms: with_jitter(wait_ms, submission.id),
        })
    }

    /// What was accepted in a pool since the row with `version` was published.
    fn accepted(&self, pool: &Name, version: u64) -> Accepted {
        let known = self.accepted.get(pool).copied();
        let known = known.filter(|accepted| accepted.version == version);
        known.unwrap_or(Accepted {
            version,
            ..Accepted::default()
        })
    }

    /// Accepts what the account is entitled to at this entry alone.
    fn decide_locally(&mut self, submission: &Submission<'_>, now_ms: u64) -> Decision {
        let rate = weight(submission).clamp(MIN_RATE, MAX_RATE);
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets
                .retain(|_account, bucket| now_ms.saturating_sub(bucket.at_ms) < FRESH_MS);
        }
        let account = submission.account.cloned();
        let bucket = self.buckets.entry(account).or_insert(Bucket {
            jobs: rate.max(1.0),
            at_ms: now_ms,
        });
        bucket.refill(rate, now_ms);
        if bucket.jobs >= 1.0 {
            bucket.jobs -= 1.0;
            return Decision::Accept;
        }
        let delay = (1.0 - bucket.jobs) / rate;
        let delay = std::time::Duration::from_secs_f64(delay).as_millis();
        let delay = u64::try_from(delay).unwrap_or(u64::MAX);
        reject(Reason::Local, 0, delay, submission.id)
    }
}

impl Accepted {
    fn plus(self, work_core_ms: u64, within: bool) -> Self {
        let within_work = if within { work_core_ms } else { 0 };
        Self {
            version: self.version,
            within: self.within.saturating_add(within_work),
            total: self.total.saturating_add(work_core_ms),
        }
    }
}

/// The account's weight; 0 for none and for one that is no number.
fn weight(submission: &Submission<'_>) -> f64 {
    if submission.account.is_none() || submission.weight.is_nan() {
        return 0.0;
    }
    submission.weight.max(0.0)
}

/// Whether a submission counts as within its account's entitlement: the same at each entry and for
/// each try.
fn is_within(submission: &Submission<'_>, load: &PoolLoad) -> bool {
    let Some(account) = submission.account.filter(|_name| weight(submission) > 0.0) else {
        return false;
    };
    let permille = load.within_permille.get(account);
    permille.is_none_or(|permille| share_place(submission.id) < u64::from(*permille))
}

/// The expected wait in milliseconds. A job within its account's entitlement doesn't wait for work
/// beyond it, whatever a row says.
fn wait(load: &PoolLoad, accepted: Accepted, within: bool) -> u64 {
    let (published, work) = if within {
        let shorter = load.within_wait_ms.min(load.beyond_wait_ms);
        (shorter, accepted.within)
    } else {
        (load.beyond_wait_ms, accepted.total)
    };
    let added = (u128::from(work) * 1_000).checked_div(u128::from(load.rate_cpu));
    let added = u64::try_from(added.unwrap_or(0)).unwrap_or(u64::MAX);
    published.saturating_add(added)
}

fn reject(reason: Reason, wait_ms: u64, delay_ms: u64, id: &JobId) -> Decision {
    Decision::Reject(Rejection {
        reason,
        wait_ms,
        retry_after_ms: with_jitter(delay_ms, id),
    })
}

/// A delay within its bounds, with jitter of up to half of it by the id.
fn with_jitter(delay_ms: u64, id: &JobId) -> u64 {
    let [shortest, longest] = DELAY_MS;
    let delay = delay_ms.clamp(shortest, longest);
    // Other digits than those of the place: jobs of one share would have alike jitter.
    let part = hash(id) / PARTS % PARTS;
    delay + delay / 2 * part / PARTS
}

/// The place of a job among the submissions of its account, in thousandths.
pub fn share_place(id: &JobId) -> u64 {
    hash(id) % PARTS
}

/// FNV-1a with a final mix, so that consecutive ids are spread evenly over few values. Stable across
/// processes and versions.
fn hash(id: &JobId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = id.as_str().bytes();
    let folded = bytes.fold(OFFSET, |state, byte| {
        (state ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (folded ^ (folded >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
