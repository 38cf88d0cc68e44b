//! Digests of keys, and what each key belongs to.

use sha2::{Digest as _, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

/// Bytes of a digest word.
const WORD_BYTES: usize = 8;

/// The SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest([u64; 4]);

impl std::fmt::Debug for Digest {
    /// Omits the hash, against which a key could be guessed offline.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Digest")
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        let word = |at: usize| std::array::from_fn(|byte| bytes[at * WORD_BYTES + byte]);
        Self(std::array::from_fn(|at| u64::from_be_bytes(word(at))))
    }
}

impl Digest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash: [u8; 32] = Sha256::digest(key).into();
        hash.into()
    }

    /// Parses the hexadecimal form; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.as_bytes();
        if text.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, digits) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let digits = std::str::from_utf8(digits).ok()?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(bytes.into())
    }

    /// Zero if and only if the digests are equal.
    fn difference(&self, other: &Self) -> u64 {
        let words = self.0.iter().zip(&other.0);
        words.fold(0, |all, (one, other)| all | (one ^ other))
    }
}

/// Digests of keys, each with what it belongs to.
#[derive(Clone, Debug)]
pub struct Ring<T>(Vec<(Digest, T)>);

impl<T> Default for Ring<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Ring<T> {
    /// Adds a key.
    pub fn add(&mut self, digest: Digest, holder: T) {
        self.0.push((digest, holder));
    }

    /// What the key with this digest belongs to.
    ///
    /// Every digest is compared in full and in constant time, so the duration reveals nothing about
    /// how close a guess was. Comparing whole words keeps that cheap: a site has hundreds of keys.
    pub fn find(&self, digest: &Digest) -> Option<&T> {
        let mut found = u64::MAX;
        for (index, (known, _)) in (0_u64..).zip(&self.0) {
            let is_same = known.difference(digest).ct_eq(&0);
            found.conditional_assign(&index, is_same);
        }
        let found = usize::try_from(found).ok()?;
        self.0.get(found).map(|(_, holder)| holder)
    }
}
