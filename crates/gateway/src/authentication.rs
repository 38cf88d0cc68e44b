//! Which account a request is from.
//!
//! A key that an operator has taken away must not be accepted once the platform's bound has passed,
//! also by an entry that no longer reaches the store. A request with a key is therefore answered only
//! while the entry knows that its configuration was the newest one within that bound.

use primroseroute_accounts::key::{Digest, Ring};
use primroseroute_domain::{outcome::Code, work::Name};
use primroseroute_platform::site::{Account, Configuration, Queue};
use std::time::Duration;

/// Share of the bound, in percent, for which a configuration is relied on: clocks of entries may be
/// slow.
const USABLE_PERCENT: u32 = 90;

/// Who a request is from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Anybody: the queue is public.
    Anyone,
    /// The account whose key the request carries.
    Account(Name),
}

impl Caller {
    /// The account, if the caller showed one.
    pub fn account(&self) -> Option<&Name> {
        match self {
            Self::Anyone => None,
            Self::Account(account) => Some(account),
        }
    }

    /// Whether the caller may see and change a job of `account`; a job without one belongs to
    /// everybody.
    pub fn may_access(&self, account: Option<&Name>) -> bool {
        account.is_none() || self.account() == account
    }
}

/// Tells how current an entry's configuration is.
pub trait Currency: Send + Sync + std::fmt::Debug {
    /// How long ago the configuration was certainly the newest one; `None` before the first.
    fn configuration_age(&self) -> Option<Duration>;

    /// Time after which a key that was taken away must not be accepted any more; `None` for none.
    fn revocation_bound(&self) -> Option<Duration>;
}

/// The keys of a configuration.
#[derive(Debug, Default)]
pub struct Keys(Ring<Name>);

impl Keys {
    /// The keys of a configuration.
    pub fn of(configuration: &Configuration) -> Self {
        let mut ring = Ring::default();
        for Account { name, keys, .. } in &configuration.accounts {
            for key in keys {
                ring.add(*key, Name::clone(name));
            }
        }
        Self(ring)
    }

    /// Who a request to `queue` with `key` is from.
    ///
    /// # Errors
    /// The code of the rejection and what is wrong.
    pub fn authenticate(
        &self,
        queue: &Queue,
        key: Option<&[u8]>,
        currency: &dyn Currency,
    ) -> Result<Caller, (Code, &'static str)> {
        if queue.public {
            return Ok(Caller::Anyone);
        }
        if let Some(bound) = currency.revocation_bound() {
            let usable = bound * USABLE_PERCENT / 100;
            let age = currency.configuration_age();
            if age.is_none_or(|age| age >= usable) {
                return Err((
                    Code::ViewStale,
                    "keys can't be checked now; another entry may",
                ));
            }
        }
        let key = key.ok_or((Code::UnknownApiKey, "the request carries no key"))?;
        let account = self.0.find(&Digest::of(key));
        let account = account.ok_or((Code::UnknownApiKey, "the key belongs to no account"))?;
        Ok(Caller::Account(Name::clone(account)))
    }
}
