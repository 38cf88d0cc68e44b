//! Maps bearer tokens to accounts.

use primroseroute_domain::{account::TokenHash, id};
use subtle::{ConditionallySelectable, ConstantTimeEq};

/// Bytes of a digest word.
const WORD_BYTES: usize = 8;

/// The SHA-256 of a bearer token.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Digest([u64; 4]);

impl std::fmt::Debug for Digest {
    /// Omits the hash, against which a token could be guessed offline.
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
    /// Parses the hexadecimal hash of a template; `None` if it is malformed, so it matches no
    /// token.
    fn parse(hash: &TokenHash) -> Option<Self> {
        let text = hash.0.as_bytes();
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

/// The hashes of all bearer tokens and their accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tokens(Vec<(Digest, id::Account)>);

impl Tokens {
    pub(crate) fn add(&mut self, hash: &TokenHash, account: &id::Account) {
        let digest = Digest::parse(hash);
        self.0
            .extend(digest.map(|digest| (digest, account.clone())));
    }

    /// The account whose token has this digest.
    ///
    /// Every hash is compared in full and in constant time, so the duration reveals nothing about
    /// how close a guess was. Comparing whole words keeps that cheap: a site has hundreds of
    /// tokens.
    pub(crate) fn find(&self, digest: &Digest) -> Option<&id::Account> {
        let mut found = u64::MAX;
        for (index, (known, _)) in (0_u64..).zip(&self.0) {
            let is_same = known.difference(digest).ct_eq(&0);
            found.conditional_assign(&index, is_same);
        }
        let found = usize::try_from(found).ok()?;
        self.0.get(found).map(|(_, account)| account)
    }
}
