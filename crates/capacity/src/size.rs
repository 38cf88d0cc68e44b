//! How large a deployment is.

use primroseroute_domain::instance::SLOTS;
use serde::Serialize;

/// Workers in the users' letter on the size of two years from now.
const LETTER_WORKERS: usize = 1200;

/// Pools there.
const LETTER_POOLS: usize = 270;

/// Accounts there: the letter's teams.
const LETTER_ACCOUNTS: usize = 140;

/// Sizes of one deployment; pools and accounts grow with the workers as in the users' letter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Workers.
    pub workers: usize,
}

impl Size {
    /// Pools, at least one.
    pub fn pools(self) -> usize {
        (self.workers * LETTER_POOLS / LETTER_WORKERS).max(1)
    }

    /// Accounts, at least one.
    pub fn accounts(self) -> usize {
        (self.workers * LETTER_ACCOUNTS / LETTER_WORKERS).max(1)
    }

    /// Workers on which one entry has a request in flight when all slots are taken evenly.
    pub fn loads(self) -> usize {
        let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
        self.workers.min(self.workers * slots / self.entries)
    }
}
