//! Which jobs of an account are within its entitlement of `weight` jobs per second.
//!
//! Each account has a token bucket; times are those at which its jobs were accepted.

use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Whether a job is within the entitlement of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// The account was entitled to it.
    Within,
    /// The account has submitted more than it is entitled to, or is entitled to nothing.
    Beyond,
}

/// What a job takes from a bucket: levels are whole numbers, so that rounding never denies an
/// account a job that it is entitled to.
const JOB: u64 = 1_000_000_000;

/// What a weight of 1 adds per millisecond.
const UNIT_RATE: f64 = 1_000_000.0;

/// Largest weight that makes a difference; the level of a bucket of this weight can't overflow.
const MAX_WEIGHT: f64 = 1_000_000_000.0;

/// Difference up to which a time before the newest one is a job that is counted late. A larger one
/// means that the clock was set back: time then counts on from there, since an account would
/// otherwise get nothing until the clock has caught up.
const MAX_LATE_MS: u64 = 3_000;

/// The bucket of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// What is added per millisecond.
    rate: u64,
    level: u64,
    /// Time up to which `level` counts; `None` before the first job.
    filled_at: Option<u64>,
}

/// What a weight adds per millisecond; 0 for a weight that entitles to nothing.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "from 0 to 1e15"
)]
fn rate(weight: f64) -> u64 {
    if weight.is_finite() {
        (weight.clamp(0.0, MAX_WEIGHT) * UNIT_RATE).round() as u64
    } else {
        0
    }
}

impl Bucket {
    /// A full bucket; `None` if `weight` isn't a positive number.
    pub fn new(weight: f64) -> Option<Self> {
        let mut bucket = Self {
            rate: rate(weight),
            level: 0,
            filled_at: None,
        };
        bucket.level = bucket.capacity();
        (bucket.rate > 0).then_some(bucket)
    }

    /// The entitlement of a second, and at least one job.
    fn capacity(&self) -> u64 {
        (self.rate * 1_000).max(JOB)
    }

    /// Changes the rate; the level stays, as far as the new capacity allows it.
    fn change_rate(&mut self, rate: u64) {
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Marks a job that was accepted at `at_ms`.
    pub fn mark(&mut self, at_ms: u64) -> Mark {
        let filled_at = self.filled_at.unwrap_or(at_ms);
        if at_ms >= filled_at || filled_at - at_ms > MAX_LATE_MS {
            let added = self.rate.saturating_mul(at_ms.saturating_sub(filled_at));
            self.level = self.level.saturating_add(added).min(self.capacity());
            self.filled_at = Some(at_ms);
        }
        match self.level.checked_sub(JOB) {
            Some(left) => {
                self.level = left;
                Mark::Within
            }
            None => Mark::Beyond,
        }
    }
}

/// The buckets of all accounts that are entitled to anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entitlements(BTreeMap<Name, Bucket>);

impl Entitlements {
    /// Sets the weights of accounts; those that aren't named are entitled to nothing.
    ///
    /// An account that is new has a full bucket. Others keep what they have: a burst doesn't get
    /// its allowance again with a new configuration.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a Name, f64)>) {
        let mut before = std::mem::take(&mut self.0);
        for (name, weight) in weights {
            let Some(new) = Bucket::new(weight) else {
                continue;
            };
            let bucket = match before.remove(name) {
                Some(mut known) => {
                    known.change_rate(new.rate);
                    known
                }
                None => new,
            };
            self.0.insert(Name::clone(name), bucket);
        }
    }

    /// Whether an account is entitled to anything.
    pub fn includes(&self, account: &Name) -> bool {
        self.0.contains_key(account)
    }

    /// Marks a job of an account that was accepted at `at_ms`.
    pub fn mark(&mut self, account: &Name, at_ms: u64) -> Mark {
        let bucket = self.0.get_mut(account);
        bucket.map_or(Mark::Beyond, |bucket| bucket.mark(at_ms))
    }
}
