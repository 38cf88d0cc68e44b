//! The input of a claim: an account's idempotency key and the fingerprint of the request.

use primroseroute_domain::id;
use primroseroute_ledger::key::CLAIMS;
use primroseroute_platform::table;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{fmt, sync::Arc};

/// Longest idempotency key in bytes: a UUID has 36, and header size limits are far above this.
pub const MAX_KEY_BYTES: usize = 255;

/// A caller's idempotency key: 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Arc<str>);

/// Error for a string that is not an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key has 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct InvalidKey;

impl Key {
    /// Parses `text` as a key.
    ///
    /// # Errors
    /// [`InvalidKey`] if it is empty, too long or contains other characters.
    pub fn parse(text: &str) -> Result<Self, InvalidKey> {
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
            return Err(InvalidKey);
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for Key {
    /// Hides the key: anyone who knows it and the account's token can read the first response.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({} bytes)", self.0.len())
    }
}

/// SHA-256 of a request, to distinguish a repeat from another request under the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(Arc<str>);

impl Fingerprint {
    /// The fingerprint of a request with a buffered body.
    pub fn of(method: &str, service: &id::Service, path: &str, body: &[u8]) -> Self {
        Self::with_digest(method, service, path, &Sha256::digest(body).into())
    }

    /// The fingerprint of a request, from the SHA-256 digest of its body.
    pub fn with_digest(method: &str, service: &id::Service, path: &str, body: &[u8; 32]) -> Self {
        let fields = [
            method.as_bytes(),
            service.as_str().as_bytes(),
            path.as_bytes(),
            body,
        ];
        Self(digest(&fields).into())
    }
}

/// A request to be run at most once.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The calling account; each account has its own key space.
    pub account: id::Account,
    /// The caller's idempotency key.
    pub key: Key,
    /// Identifies the request's content.
    pub fingerprint: Fingerprint,
    /// Whether the caller states that it has sent this key before.
    ///
    /// It has no effect while the store is available. While the store is down, an earlier attempt
    /// may have run, so the caller is told `unknown` instead of `not-run`.
    pub repeat: bool,
}

impl ClaimRequest {
    /// Key of the claim's row: `claim/<shard>/<hash>`.
    ///
    /// The hash hides the idempotency key from readers of the table. Its first digit is the shard,
    /// so that rows are spread evenly over 16 prefixes and a sweep scans one prefix at a time.
    pub(crate) fn row_key(&self) -> table::Key {
        let hash = digest(&[self.account.as_str().as_bytes(), self.key.0.as_bytes()]);
        format!("{CLAIMS}{}/{hash}", &hash[..1]).into()
    }
}

/// SHA-256 over `fields`, each prefixed with its length, so that different lists of fields never
/// produce the same input.
fn digest(fields: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hex(&hash.finalize())
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    bytes
        .iter()
        .flat_map(|b| [b >> 4, b & 15])
        .map(|digit| char::from(DIGITS[usize::from(digit)]))
        .collect()
}
