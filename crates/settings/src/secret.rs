//! Sources of secrets, and the secrets read from them.
//!
//! Settings refer to a file or an environment variable. The hash of an operator's token is not secret
//! and may be given literally.

use crate::reader::{A_MAP, Map, Reader};
use primroseroute_domain::account::TokenHash;
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    path::PathBuf,
    sync::Arc,
};

/// Source of a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A file; trailing white space is ignored.
    File(PathBuf),
    /// An environment variable.
    Environment(Arc<str>),
}

/// Reference to an operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// SHA-256 of the token.
    Hash(TokenHash),
    /// Source of the token itself.
    At(Source),
}

/// A person or program that may operate through the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name that the audit trail shows.
    pub name: Arc<str>,
    /// The operator's token.
    pub token: Token,
}

/// Sources of an entry's secrets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Operators; if empty, nobody may operate through this entry.
    pub operators: Vec<Operator>,
    /// Shared key by which entries authenticate to each other.
    pub peer_key: Source,
}

/// Bytes of a secret; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Returns the bytes, for the one place that needs them.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    /// Prints nothing of the secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// The resolved secrets of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// Hashes of the operators' tokens by operator name.
    pub operators: BTreeMap<Arc<str>, TokenHash>,
    /// Shared key by which entries authenticate to each other.
    pub peer_key: Secret,
}

/// A secret that cannot be read, is too short, or is shared with another operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: expected {expected}")]
pub struct SecretFault {
    /// Path of the setting that refers to it.
    pub path: String,
    /// What was expected.
    pub expected: String,
}

/// Looks up an environment variable.
pub type Environment<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Environment variable of the peer key in the documented settings.
pub(crate) const PEER_KEY: &str = "PRIMROSEROUTE_PEER_KEY";

/// Minimum length of a peer key in bytes, as required by the peer link.
const MIN_KEY_BYTES: usize = 16;

const SOURCE: &str = "`file: PATH` or `env: NAME`; a secret is never written here";

const OPERATOR: &str = "`name: NAME` and one of `hash: SHA-256`, `file: PATH`, `env: NAME`; \
                        a secret is never written here";

/// Placeholder for a missing operator name; a fault is reported with it, so it is never used.
const PLACEHOLDER_NAME: &str = "operator";

/// Number of hexadecimal digits of a SHA-256.
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

    /// Takes all sources in `map`; a valid one has exactly one.
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Vec<Self> {
        let file: Option<Arc<str>> = reader.optional(map, "file");
        let variable: Option<Arc<str>> = reader.optional(map, "env");
        let file = file.map(|path| Self::File(path.as_ref().into()));
        file.into_iter()
            .chain(variable.map(Self::Environment))
            .collect()
    }
}

impl Operator {
    fn take(reader: &mut Reader, mut map: Map<'_>) -> Option<Self> {
        let name = reader.scalar(&mut map, "name", true, PLACEHOLDER_NAME);
        let token = Token::take(reader, &mut map)?;
        Some(Self { name, token })
    }
}

impl Token {
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Option<Self> {
        let hash: Option<Arc<str>> = reader.optional(map, "hash");
        let mut all: Vec<Self> = Source::take(reader, map)
            .into_iter()
            .map(Self::At)
            .collect();
        if let Some(hash) = hash {
            let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            if hash.len() != HASH_DIGITS || !hash.bytes().all(digit) {
                reader.map_fault(map, "a SHA-256 as 64 lower-case hexadecimal digits");
            }
            all.push(Self::Hash(TokenHash(hash)));
        }
        exactly_one(reader, map, all, OPERATOR)
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

/// Returns the SHA-256 of a token.
fn hash_of(token: &[u8]) -> TokenHash {
    let digits = Sha256::digest(token)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect::<Vec<_>>();
    TokenHash(digits.concat().into())
}

/// Returns the only element of `all`, or reports a fault if there is not exactly one.
fn exactly_one<T>(
    reader: &mut Reader,
    map: &Map<'_>,
    mut all: Vec<T>,
    expected: &str,
) -> Option<T> {
    if all.len() != 1 {
        reader.map_fault(map, expected);
    }
    reader.finish(map);
    all.pop()
}

impl Secrets {
    pub(crate) fn take(reader: &mut Reader, map: &mut Map<'_>) -> Self {
        let mut map = reader.child(map, "secrets", A_MAP);
        let operators = reader.list(&mut map, "operators", OPERATOR);
        let operators = operators
            .into_iter()
            .filter_map(|operator| Operator::take(reader, operator))
            .collect();
        let mut key = reader.child(&mut map, "peer-key", SOURCE);
        let keys = Source::take(reader, &mut key);
        let peer_key = exactly_one(reader, &key, keys, SOURCE);
        reader.finish(&map);
        Self {
            operators,
            peer_key: peer_key.unwrap_or_else(|| Source::Environment(PEER_KEY.into())),
        }
    }

    /// Reads all secrets.
    ///
    /// # Errors
    /// Each secret that cannot be read, a peer key that is too short, and each operator's token that another operator has
    /// too, since the audit trail could not tell the two operators apart.
    pub fn resolve(&self, environment: &Environment<'_>) -> Result<Resolved, Vec<SecretFault>> {
        let mut faults = Vec::new();
        let mut operators = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (index, operator) in self.operators.iter().enumerate() {
            let hash = operator.token.hash(environment).and_then(|hash| {
                let unique = seen.insert(Arc::clone(&hash.0));
                unique
                    .then_some(hash)
                    .ok_or_else(|| "a token that no other operator has".to_owned())
            });
            match hash {
                Ok(hash) => {
                    operators.insert(Arc::clone(&operator.name), hash);
                }
                Err(expected) => faults.push(SecretFault {
                    path: format!("secrets.operators[{index}]"),
                    expected,
                }),
            }
        }
        let key = self.peer_key.read(environment).and_then(|key| {
            let long_enough = key.expose().len() >= MIN_KEY_BYTES;
            long_enough
                .then_some(key)
                .ok_or_else(|| format!("a key of at least {MIN_KEY_BYTES} bytes"))
        });
        match key {
            Ok(peer_key) if faults.is_empty() => Ok(Resolved {
                operators,
                peer_key,
            }),
            Ok(_) => Err(faults),
            Err(expected) => {
                faults.push(SecretFault {
                    path: "secrets.peer-key".to_owned(),
                    expected,
                });
                Err(faults)
            }
        }
    }
}
