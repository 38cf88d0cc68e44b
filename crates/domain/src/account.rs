//! Templates of client accounts: the configuration that operators write and the system enforces.
//!
//! A template lists the account's pools, the services placed on each pool, the availability budget
//! of each pool, and the account's fair share. [`Template::check`] validates one template;
//! [`check_together`] validates all of them together (a service on two pools, a host name used
//! twice).

use crate::id;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// Maximum fair share. Shares are ratios, and a wider range would starve the smallest account.
pub const MAX_SHARE: u32 = 10_000;

/// The failure domain whose sudden loss must leave a pool's promised capacity intact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Survive {
    /// No loss beyond the instances that are already absent.
    Nothing,
    /// The loss of the worst rack.
    #[default]
    Rack,
    /// The loss of the worst availability zone.
    Zone,
}

/// An availability budget: how many instances of a pool must serve and how many may be absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Budget {
    /// Minimum number of serving instances at any time.
    pub promised: u32,
    /// Maximum number of instances that planned work may make unavailable at the same time.
    pub max_absent: u32,
    /// Additional loss after which `promised` instances must still be serving.
    #[serde(default)]
    pub survive: Survive,
}

/// Priority class of a service's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Interactive: a caller is waiting for the response.
    #[default]
    Urgent,
    /// May be delayed, but must complete.
    Deferrable,
}

/// A service: how requests are routed to it and who may call it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Name, unique across all accounts.
    pub name: id::Service,
    /// Host names that select it, unique across all accounts.
    #[serde(default)]
    pub hosts: Vec<Arc<str>>,
    /// Path prefix that selects it, such as `/lookup`; matches whole segments only.
    #[serde(default)]
    pub path_prefix: Option<Arc<str>>,
    /// Other accounts that may call it.
    #[serde(default)]
    pub callers: Vec<id::Account>,
    /// Priority class of its requests.
    #[serde(default)]
    pub class: Class,
}

/// A pool: the instances that serve its services, under one availability budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Name, unique across all accounts.
    pub name: id::Pool,
    /// Availability budget.
    pub budget: Budget,
    /// The services placed on it.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// SHA-256 of a bearer token, as 64 lower-case hexadecimal digits.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenHash(pub Arc<str>);

impl fmt::Debug for TokenHash {
    /// Prints only the first digits, which is enough to tell two hashes apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}…", self.0.get(..8).unwrap_or(""))
    }
}

impl TokenHash {
    const DIGITS: usize = 64;

    fn is_valid(&self) -> bool {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        self.0.len() == Self::DIGITS && self.0.bytes().all(digit)
    }
}

/// The template of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Template {
    /// The account's name.
    pub account: id::Account,
    /// Fair share relative to other accounts, 1 to [`MAX_SHARE`].
    pub share: u32,
    /// Hashes of the bearer tokens that authenticate the account's callers.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// The account's pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
}

/// One validation error in a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Path of the invalid value, such as `pools[1].budget.promised`.
    pub at: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.expected)
    }
}

fn fault(at: impl Into<String>, expected: impl Into<String>) -> Fault {
    Fault {
        at: at.into(),
        expected: expected.into(),
    }
}

impl Template {
    /// All validation errors of this template by itself; empty if it is valid.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !(1..=MAX_SHARE).contains(&self.share) {
            faults.push(fault(
                "share",
                format!("a whole number from 1 to {MAX_SHARE}"),
            ));
        }
        for (index, token) in self.tokens.iter().enumerate() {
            if !token.is_valid() {
                faults.push(fault(
                    format!("tokens[{index}]"),
                    "the SHA-256 of the token as 64 lower-case hexadecimal digits",
                ));
            }
        }
        for (index, pool) in self.pools.iter().enumerate() {
            pool.check(&format!("pools[{index}]"), &mut faults);
        }
        faults
    }
}

impl Pool {
    fn check(&self, at: &str, faults: &mut Vec<Fault>) {
        if self.budget.promised == 0 {
            faults.push(fault(
                format!("{at}.budget.promised"),
                "at least 1 instance",
            ));
        }
        if self.budget.max_absent == 0 {
            faults.push(fault(
                format!("{at}.budget.max-absent"),
                "at least 1, or no instance of the pool could ever be maintained",
            ));
        }
        if self.budget.max_absent > self.budget.promised {
            faults.push(fault(
                format!("{at}.budget.max-absent"),
                format!(
                    "no more than the {} instances promised",
                    self.budget.promised
                ),
            ));
        }
        for (index, service) in self.services.iter().enumerate() {
            service.check(&format!("{at}.services[{index}]"), faults);
        }
    }
}

impl Service {
    fn check(&self, at: &str, faults: &mut Vec<Fault>) {
        if self.hosts.is_empty() && self.path_prefix.is_none() {
            faults.push(fault(
                at,
                "a host or a path-prefix, or no caller can reach the service",
            ));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            if host.parse::<id::Service>().is_err() {
                faults.push(fault(
                    format!("{at}.hosts[{index}]"),
                    "a lower-case host name",
                ));
            }
        }
        if let Some(prefix) = &self.path_prefix
            && !is_valid_path_prefix(prefix)
        {
            faults.push(fault(
                format!("{at}.path-prefix"),
                "a path that starts with `/`, does not end with it and has no empty segment",
            ));
        }
    }
}

fn is_valid_path_prefix(text: &str) -> bool {
    text.strip_prefix('/').is_some_and(|rest| {
        rest.split('/').all(|segment| {
            !segment.is_empty()
                && segment
                    .bytes()
                    .all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#')
        })
    })
}

/// All conflicts between templates: duplicate names, hosts, prefixes and tokens, and unknown callers.
///
/// `templates` holds all accounts as they would be after the change. The paths of the faults begin
/// with the account, such as `gojo.pools[0].name`.
pub fn check_together(templates: &BTreeMap<id::Account, Template>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut seen = BTreeMap::new();
    let mut require_unique =
        |kind: &'static str, name: &str, at: String, faults: &mut Vec<Fault>| {
            let path = at.clone();
            if let Some(first) = seen.insert((kind, name.to_owned()), at) {
                faults.push(fault(
                    path,
                    format!("a {kind} of its own; `{name}` stands at {first}"),
                ));
            }
        };
    for (account, template) in templates {
        for (index, token) in template.tokens.iter().enumerate() {
            require_unique(
                "token",
                &token.0,
                format!("{account}.tokens[{index}]"),
                &mut faults,
            );
        }
        for (p, pool) in template.pools.iter().enumerate() {
            let at = format!("{account}.pools[{p}]");
            require_unique(
                "pool",
                pool.name.as_str(),
                format!("{at}.name"),
                &mut faults,
            );
            for (s, service) in pool.services.iter().enumerate() {
                let at = format!("{at}.services[{s}]");
                require_unique(
                    "service",
                    service.name.as_str(),
                    format!("{at}.name"),
                    &mut faults,
                );
                for host in &service.hosts {
                    require_unique("host", host, format!("{at}.hosts"), &mut faults);
                }
                if let Some(prefix) = &service.path_prefix {
                    require_unique(
                        "path-prefix",
                        prefix,
                        format!("{at}.path-prefix"),
                        &mut faults,
                    );
                }
                for caller in &service.callers {
                    if !templates.contains_key(caller) {
                        faults.push(fault(
                            format!("{at}.callers"),
                            format!("a known account; `{caller}` is none"),
                        ));
                    }
                }
            }
        }
    }
    faults
}
