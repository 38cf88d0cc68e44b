//! Mutual challenge-response authentication that opens a session; the shared key is never sent.
//!
//! The caller sends HMAC-SHA-256 (RFC 2104), under the key, of a label for its direction, the
//! callee's nonce, its own nonce and its identity. The callee responds with the same over its own
//! identity, so that the caller discloses nothing to an entry without the key. The label prevents
//! one side's proof from being reflected as the other's. A nonce is valid for one call on one
//! connection, so a recorded proof cannot be replayed.

use crate::report::Identity;
use sha2::{Digest, Sha256};
use std::{fmt, sync::Arc};
use subtle::ConstantTimeEq;
use uuid::Uuid;

/// Block length of SHA-256 in bytes (FIPS 180-4).
const BLOCK_BYTES: usize = 64;

/// Length of a SHA-256 digest in bytes (FIPS 180-4).
const DIGEST_BYTES: usize = 32;

/// Minimum key length in bytes: recorded proofs allow offline guessing of the key, which 128 bits
/// make infeasible.
pub const MIN_KEY_BYTES: usize = 16;

/// The key shared by all entries.
#[derive(Clone)]
pub struct Key(Arc<[u8]>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The shared key is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the shared key has {0} bytes; at least {MIN_KEY_BYTES} are needed")]
pub struct KeyTooShort(pub usize);

impl Key {
    /// Creates a key from `bytes`.
    ///
    /// # Errors
    /// [`KeyTooShort`] if there are fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyTooShort(bytes.len()));
        }
        Ok(Self(bytes.into()))
    }

    /// HMAC-SHA-256 of the concatenated `parts`.
    pub fn hmac(&self, parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
        let mut block = [0; BLOCK_BYTES];
        if self.0.len() > BLOCK_BYTES {
            block[..DIGEST_BYTES].copy_from_slice(&Sha256::digest(&self.0));
        } else {
            block[..self.0.len()].copy_from_slice(&self.0);
        }
        let mut inner = Sha256::new();
        inner.update(block.map(|byte| byte ^ 0x36));
        for part in parts {
            inner.update(part);
        }
        let mut outer = Sha256::new();
        outer.update(block.map(|byte| byte ^ 0x5c));
        outer.update(inner.finalize());
        outer.finalize().into()
    }
}

/// Unpredictable bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Nonce(pub [u8; 16]);

impl Nonce {
    /// Generates a nonce from the system's random source.
    pub fn random() -> Self {
        Self(Uuid::new_v4().into_bytes())
    }

    /// Parses a received nonce; `None` if its length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

/// The side of the connection that makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The entry that opened the connection.
    Caller,
    /// The entry that accepted the connection.
    Callee,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"primroseroute peer caller\0",
            Self::Callee => b"primroseroute peer callee\0",
        }
    }
}

/// What a proof covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement<'a> {
    /// The side that makes the proof.
    pub side: Side,
    /// The callee's nonce.
    pub callee: Nonce,
    /// The caller's nonce.
    pub caller: Nonce,
    /// The identity claimed by that side.
    pub identity: &'a Identity,
}

impl Statement<'_> {
    /// Computes the proof of this statement under `key`.
    pub fn prove(&self, key: &Key) -> [u8; DIGEST_BYTES] {
        key.hmac(&[
            self.side.label(),
            &self.callee.0,
            &self.caller.0,
            self.identity.incarnation.as_bytes(),
            self.identity.entry.as_str().as_bytes(),
        ])
    }

    /// Verifies `proof` against this statement in constant time.
    pub fn verify(&self, key: &Key, proof: &[u8]) -> bool {
        self.prove(key).ct_eq(proof).into()
    }
}
