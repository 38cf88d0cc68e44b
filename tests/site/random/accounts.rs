//! Client accounts in histories: the queue and the account of each job are drawn, and maximums and
//! keys change.

use super::History;
use crate::fixture::{self, POOL, REVOCATION_BOUND, with_accounts, with_standby};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_platform::site::Configuration;
use std::collections::BTreeMap;

/// An account without a maximum.
pub(super) const UNLIMITED: &str = "unlimited";

/// An account whose maximum changes.
const LIMITED: &str = "limited";

/// An account whose key is taken away and added again.
const REVOKED: &str = "revoked";

/// Maximum of the limited account, in thousandths of a core, at the beginning and at the end.
pub(super) const MAXIMUM: u64 = 40_000;

/// Prefixes of the queues.
const QUEUES: [&str; 2] = ["/stay/", "/rest/"];

/// What the operators have changed.
#[derive(Debug)]
pub(super) struct Accounts {
    configuration: u64,
    maximum: u64,
    /// Keys that are taken away, with the time.
    revoked: BTreeMap<&'static str, u64>,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            configuration: 1,
            maximum: MAXIMUM,
            revoked: BTreeMap::new(),
        }
    }
}

/// A configuration in which the accounts in `without_keys` have none.
pub(super) fn configuration(number: u64, maximum: u64, without_keys: &[&str]) -> Configuration {
    let maximums = [(LIMITED, maximum), (UNLIMITED, 0), (REVOKED, 64_000)];
    let base = with_standby(fixture::configuration(number, POOL));
    let mut configuration = with_accounts(base, &maximums);
    for account in &mut configuration.accounts {
        if without_keys.contains(&&*account.name) {
            account.keys.clear();
        }
    }
    configuration
}

impl History {
    fn publish_accounts(&mut self) {
        let Some(accounts) = &mut self.accounts else {
            return;
        };
        accounts.configuration += 1;
        let revoked: Vec<&str> = accounts.revoked.keys().copied().collect();
        let changed = configuration(accounts.configuration, accounts.maximum, &revoked);
        self.fixture.publish(changed);
    }

    /// Draws whether a maximum or a key changes.
    pub(super) fn change_accounts(&mut self) {
        if self.accounts.is_none() {
            return;
        }
        let (drawn, maximum) = (self.draw(8), 2_000 * self.draw(24));
        let now = self.fixture.world.now();
        let Some(accounts) = &mut self.accounts else {
            return;
        };
        match drawn {
            0 => accounts.maximum = maximum,
            1 => {
                if accounts.revoked.remove(REVOKED).is_none() {
                    accounts.revoked.insert(REVOKED, now);
                }
            }
            _ => return,
        }
        self.publish_accounts();
    }

    /// Gives all accounts their keys, and the limited one its first maximum.
    pub(super) fn restore_accounts(&mut self) {
        if let Some(accounts) = &mut self.accounts {
            accounts.revoked.clear();
            accounts.maximum = MAXIMUM;
        }
        self.publish_accounts();
    }

    /// Draws the queue and the account of the next request.
    pub(super) fn draw_account(&mut self) {
        if self.accounts.is_none() {
            return;
        }
        let accounts = [UNLIMITED, LIMITED, LIMITED, REVOKED];
        self.fixture.key = self.choose(&accounts).map(|name| (*name).to_owned());
        if let Some(queue) = self.choose(&QUEUES).copied() {
            self.fixture.queue = queue;
        }
    }

    /// Checks the status of a submission that was sent at `sent_at`. Returns whether it was rejected
    /// for its key, which may be taken away.
    pub(super) fn check_key(&self, sent_at: u64, status: StatusCode) -> Result<bool> {
        let key = self.fixture.key.as_deref();
        let accounts = self.accounts.as_ref();
        let Some((accounts, key)) = accounts.zip(key) else {
            return Ok(false);
        };
        let bound = u64::try_from(REVOCATION_BOUND.as_millis())?;
        if let Some(revoked_at) = accounts.revoked.get(key) {
            ensure!(
                !status.is_success() || sent_at <= revoked_at + bound,
                "a key that was taken away at {revoked_at} was accepted at {sent_at}"
            );
        }
        let is_rejected = status == StatusCode::UNAUTHORIZED;
        ensure!(
            !is_rejected || key == REVOKED,
            "the key of {key} was rejected"
        );
        Ok(is_rejected)
    }
}
