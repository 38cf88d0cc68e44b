//! How much work arrives: slots that each account's callers would keep busy.

use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Time in which old arrivals lose most of their weight, in seconds: long enough that a hundred
/// arrivals a second are known to a tenth, short enough to follow callers that move to an entry.
const WINDOW: f64 = 2.0;

/// Demand below this is noise of an account that no longer calls.
const NEGLIGIBLE: f64 = 1e-3;

/// Service time of recent arrivals, older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    seconds: f64,
    at: Duration,
}

impl Work {
    fn at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * (-age / WINDOW).exp()
    }
}

/// Measures the demand of each account, refused requests included.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    accounts: BTreeMap<id::Account, Work>,
}

impl Meter {
    /// Takes in an arrival that would take `cost` seconds of a slot.
    pub fn add(&mut self, now: Duration, account: &id::Account, cost: f64) {
        if let Some(work) = self.accounts.get_mut(account) {
            *work = Work {
                seconds: work.at(now) + cost,
                at: now,
            };
            return;
        }
        let work = Work {
            seconds: cost,
            at: now,
        };
        self.accounts.insert(account.clone(), work);
    }

    /// The demand in slots; accounts that no longer call are forgotten.
    pub fn read(&mut self, now: Duration) -> BTreeMap<id::Account, f64> {
        self.accounts.retain(|_, work| work.at(now) > NEGLIGIBLE);
        let accounts = self.accounts.iter();
        accounts
            .map(|(name, work)| (name.clone(), work.at(now) / WINDOW))
            .collect()
    }
}
