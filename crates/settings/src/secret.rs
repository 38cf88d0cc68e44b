//! Secrets: where they are, and what they turn out to be.
//!
//! Settings name a file or an environment variable. The hash of an operator's token is no secret
//! and may be written as it is.

use crate::reader::{A_MAP, Map, Reader};
use primroseroute_domain::account::TokenHash;
use sha2::{Digest, Sha256};
use std::{fmt, fs, path::PathBuf, sync::Arc};

/// Where a secret is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// In a file; white space at its end does not count.
    File(PathBuf),
    /// In an environment variable.
    Environment(Arc<str>),
}

/// How an operator's token is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// By its SHA-256.
    Hash(TokenHash),
    /// By where the token itself is.
    At(Source),
}

/// Where the secrets of an entry are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Tokens of operators; with none, nobody may operate through this entry.
    pub operator_tokens: Vec<Token>,
    /// The key that entries show each other.
    pub peer_key: Source,
}

/// A secret's bytes, which are never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The bytes, for the one place that needs them.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    /// Shows nothing of it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// The secrets of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// Hashes of the tokens of operators.
    pub operator_tokens: Vec<TokenHash>,
    /// The key that entries show each other.
    pub peer_key: Secret,
}

/// A secret that cannot be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: expected {expected}")]
pub struct Missing {
    /// The path of the setting that names it.
    pub path: String,
    /// What was expected.
    pub expected: String,
}

/// Looks an environment variable up.
pub type Environment<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Environment variable of the peer key in the documented settings.
pub(crate) const PEER_KEY: &str = "PRIMROSEROUTE_PEER_KEY";

const SOURCE: &str = "`file: PATH` or `env: NAME`; a secret is never written here";

const TOKEN: &str = "`hash: SHA-256`, `file: PATH` or `env: NAME`; a secret is never written here";

/// Digits of a SHA-256 in hexadecimal.
const HASH_DIGITS: usize = 64;

impl Source {
    fn read(&self, environment: &Environment<'_>) -> Result<Secret, String> {
        let (text, name) = match self {
            Self::File(path) => {
                let name = format!("the file {}", path.display());
                (fs::read(path).ok(), name)
            }
            Self::Environment(variable) => {
                let name = format!("the environment variable {variable}");
                (environment(variable).map(String::into_bytes), name)
            }
        };
        let text = text.ok_or_else(|| format!("{name} to be there and readable"))?;
        let text = text.trim_ascii_end();
        if text.is_empty() {
            return Err(format!("{name} to hold a secret"));
        }
        Ok(Secret(text.into()))
    }

    /// The one source that `map` names.
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Vec<Self> {
        let file: Option<Arc<str>> = reader.optional(map, "file");
        let variable: Option<Arc<str>> = reader.optional(map, "env");
        let file = file.map(|path| Self::File(path.as_ref().into()));
        file.into_iter()
            .chain(variable.map(Self::Environment))
            .collect()
    }
}

impl Token {
    fn take(reader: &mut Reader, mut map: Map<'_>) -> Option<Self> {
        let hash: Option<Arc<str>> = reader.optional(&mut map, "hash");
        let mut all: Vec<Self> = Source::take(reader, &mut map)
            .into_iter()
            .map(Self::At)
            .collect();
        if let Some(hash) = hash {
            let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            if hash.len() != HASH_DIGITS || !hash.bytes().all(digit) {
                reader.fault_of(&map, "a SHA-256 as 64 lower-case hexadecimal digits");
            }
            all.push(Self::Hash(TokenHash(hash)));
        }
        one(reader, &map, all, TOKEN)
    }

    fn hash(&self, environment: &Environment<'_>) -> Result<TokenHash, String> {
        match self {
            Self::Hash(hash) => Ok(hash.clone()),
            Self::At(source) => source
                .read(environment)
                .map(|secret| hash_of(secret.expose())),
        }
    }
}

/// The SHA-256 of a token.
fn hash_of(token: &[u8]) -> TokenHash {
    let digits = Sha256::digest(token)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect::<Vec<_>>();
    TokenHash(digits.concat().into())
}

/// The only one of `all`, or a fault.
fn one<T>(reader: &mut Reader, map: &Map<'_>, mut all: Vec<T>, expected: &str) -> Option<T> {
    if all.len() != 1 {
        reader.fault_of(map, expected);
    }
    reader.finish(map);
    all.pop()
}

impl Secrets {
    pub(crate) fn take(reader: &mut Reader, map: &mut Map<'_>) -> Self {
        let mut map = reader.child(map, "secrets", A_MAP);
        let tokens = reader.list(&mut map, "operator-tokens", TOKEN);
        let operator_tokens = tokens
            .into_iter()
            .filter_map(|token| Token::take(reader, token))
            .collect();
        let mut key = reader.child(&mut map, "peer-key", SOURCE);
        let keys = Source::take(reader, &mut key);
        let peer_key = one(reader, &key, keys, SOURCE);
        reader.finish(&map);
        Self {
            operator_tokens,
            peer_key: peer_key.unwrap_or_else(|| Source::Environment(PEER_KEY.into())),
        }
    }

    /// Reads every secret.
    ///
    /// # Errors
    /// Each secret that cannot be had.
    pub fn resolve(&self, environment: &Environment<'_>) -> Result<Resolved, Vec<Missing>> {
        let mut missing = Vec::new();
        let mut operator_tokens = Vec::new();
        for (index, token) in self.operator_tokens.iter().enumerate() {
            match token.hash(environment) {
                Ok(hash) => operator_tokens.push(hash),
                Err(expected) => missing.push(Missing {
                    path: format!("secrets.operator-tokens[{index}]"),
                    expected,
                }),
            }
        }
        match self.peer_key.read(environment) {
            Ok(peer_key) if missing.is_empty() => Ok(Resolved {
                operator_tokens,
                peer_key,
            }),
            Ok(_) => Err(missing),
            Err(expected) => {
                missing.push(Missing {
                    path: "secrets.peer-key".to_owned(),
                    expected,
                });
                Err(missing)
            }
        }
    }
}
