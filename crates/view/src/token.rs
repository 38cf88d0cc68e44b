//! Maps bearer tokens to accounts.

use primroseroute_accounts::key::{Digest, Ring};
use primroseroute_domain::{account::TokenHash, id};

/// The hashes of all bearer tokens and their accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tokens(Ring<id::Account>);

impl Tokens {
    /// Adds a token; a malformed hash matches none.
    pub(crate) fn add(&mut self, hash: &TokenHash, account: &id::Account) {
        if let Some(digest) = Digest::parse(&hash.0) {
            self.0.add(digest, account.clone());
        }
    }

    /// The account whose token has this digest.
    pub(crate) fn find(&self, digest: &Digest) -> Option<&id::Account> {
        self.0.find(digest)
    }
}
