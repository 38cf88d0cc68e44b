//! Secrets: where they are, and what they turn out to be.
//!
//! Settings name a file or an environment variable. The hash of an operator's token is no secret
//! and may be written as it is.

use crate::reader::{A_MAP, Map, Reader};
use primroseroute_domain::account::TokenHash;
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    path::PathBuf,
    sync::Arc,
};

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

/// A person or program that may operate through the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name that the audit trail shows.
    pub name: Arc<str>,
    /// Its token.
    pub token: Token,
}

/// Where the secrets of an entry are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Operators; with none, nobody may operate through this entry.
    pub operators: Vec<Operator>,
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
    /// Hashes of the operators' tokens, by the operators' names.
    pub operators: BTreeMap<Arc<str>, TokenHash>,
    /// The key that entries show each other.
    pub peer_key: Secret,
}

/// A secret that cannot be had, is too short, or that another operator has too.
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

/// Bytes of a peer key that the peer link asks for at least.
const LEAST_KEY: usize = 16;

const SOURCE: &str = "`file: PATH` or `env: NAME`; a secret is never written here";

const OPERATOR: &str = "`name: NAME` and one of `hash: SHA-256`, `file: PATH`, `env: NAME`; \
                        a secret is never written here";

/// An operator's name where the file has none; with a fault, so nobody gets it.
const NAMELESS: &str = "operator";

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

impl Operator {
    fn take(reader: &mut Reader, mut map: Map<'_>) -> Option<Self> {
        let name = reader.scalar(&mut map, "name", true, NAMELESS);
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
                reader.fault_of(map, "a SHA-256 as 64 lower-case hexadecimal digits");
            }
            all.push(Self::Hash(TokenHash(hash)));
        }
        one(reader, map, all, OPERATOR)
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
        let operators = reader.list(&mut map, "operators", OPERATOR);
        let operators = operators
            .into_iter()
            .filter_map(|operator| Operator::take(reader, operator))
            .collect();
        let mut key = reader.child(&mut map, "peer-key", SOURCE);
        let keys = Source::take(reader, &mut key);
        let peer_key = one(reader, &key, keys, SOURCE);
        reader.finish(&map);
        Self {
            operators,
            peer_key: peer_key.unwrap_or_else(|| Source::Environment(PEER_KEY.into())),
        }
    }

    /// Reads every secret.
    ///
    /// # Errors
    /// Each secret that cannot be had, a peer key that is too short, and each operator's token that another one has too: the
    /// audit trail could not tell the two apart.
    pub fn resolve(&self, environment: &Environment<'_>) -> Result<Resolved, Vec<Missing>> {
        let mut missing = Vec::new();
        let mut operators = BTreeMap::new();
        let mut taken = BTreeSet::new();
        for (index, operator) in self.operators.iter().enumerate() {
            let hash = operator.token.hash(environment).and_then(|hash| {
                let own = taken.insert(Arc::clone(&hash.0));
                own.then_some(hash)
                    .ok_or_else(|| "a token that no other operator has".to_owned())
            });
            match hash {
                Ok(hash) => {
                    operators.insert(Arc::clone(&operator.name), hash);
                }
                Err(expected) => missing.push(Missing {
                    path: format!("secrets.operators[{index}]"),
                    expected,
                }),
            }
        }
        let key = self.peer_key.read(environment).and_then(|key| {
            let long = key.expose().len() >= LEAST_KEY;
            long.then_some(key)
                .ok_or_else(|| format!("a key of at least {LEAST_KEY} bytes"))
        });
        match key {
            Ok(peer_key) if missing.is_empty() => Ok(Resolved {
                operators,
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
