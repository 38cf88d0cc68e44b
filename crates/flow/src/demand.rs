//! Demand estimation: the number of slots that each account's callers would keep busy.

use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Time constant of the exponential decay: long enough to measure a hundred arrivals per second
/// to within a tenth, short enough to follow callers that move to another entry.
const DECAY_SECONDS: f64 = 2.0;

/// Accounts with less decayed work than this no longer call and are dropped.
const MIN_WORK_SECONDS: f64 = 1e-3;

/// Exponentially decayed sum of the expected service times of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedSum {
    seconds: f64,
    updated_at: Duration,
}

impl DecayedSum {
    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.seconds * (-age / DECAY_SECONDS).exp()
    }
}

/// Measures the demand of each account, including refused requests.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    accounts: BTreeMap<id::Account, DecayedSum>,
}

impl Meter {
    /// Records an arrival that would occupy a slot for `cost` seconds.
    pub fn add(&mut self, now: Duration, account: &id::Account, cost: f64) {
        if let Some(work) = self.accounts.get_mut(account) {
            *work = DecayedSum {
                seconds: work.decayed(now) + cost,
                updated_at: now,
            };
            return;
        }
        let work = DecayedSum {
            seconds: cost,
            updated_at: now,
        };
        self.accounts.insert(account.clone(), work);
    }

    /// Returns the demand in slots and drops accounts that no longer call.
    pub fn read(&mut self, now: Duration) -> BTreeMap<id::Account, f64> {
        self.accounts
            .retain(|_, work| work.decayed(now) > MIN_WORK_SECONDS);
        let accounts = self.accounts.iter();
        accounts
            .map(|(name, work)| (name.clone(), work.decayed(now) / DECAY_SECONDS))
            .collect()
    }
}
