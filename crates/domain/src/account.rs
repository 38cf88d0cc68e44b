//! A client account's template: what operators fill in and the system holds.
//!
//! A template names the pools that the account promises capacity on, the services placed on each
//! pool, the availability budget of each pool, and the account's fair share. Checks that concern
//! one template are in [`Template::check`]; checks across accounts (a service on two pools, a host
//! name taken twice) are in [`check_together`].

use crate::id;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// Largest fair share: shares are ratios, and a wider range would starve the smallest account.
pub const MAX_SHARE: u32 = 10_000;

/// The failure domain whose sudden loss a pool's promise must survive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Survive {
    /// Nothing beyond the instances that are already absent.
    Nothing,
    /// The loss of the worst rack.
    #[default]
    Rack,
    /// The loss of the worst availability zone.
    Zone,
}

/// An availability budget: what may be absent from a pool and what must stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Budget {
    /// Instances that must be serving at every moment.
    pub promised: u32,
    /// Instances that planned work may hold absent at the same time.
    pub max_absent: u32,
    /// The further loss that must still leave `promised` instances.
    #[serde(default)]
    pub survive: Survive,
}

/// How urgent a service's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody waits for the answer.
    #[default]
    Urgent,
    /// It may wait, and must finish.
    Deferrable,
}

/// A service: how callers name it and who may call it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Its name, unique over all accounts.
    pub name: id::Service,
    /// Host names that select it, unique over all accounts.
    #[serde(default)]
    pub hosts: Vec<Arc<str>>,
    /// Path prefix that selects it, such as `/lookup`; whole segments match.
    #[serde(default)]
    pub path_prefix: Option<Arc<str>>,
    /// Other accounts that may call it.
    #[serde(default)]
    pub callers: Vec<id::Account>,
    /// How urgent its requests are.
    #[serde(default)]
    pub class: Class,
}

/// A pool: the instances that serve its services, under one availability budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Its name, unique over all accounts.
    pub name: id::Pool,
    /// What must stay available.
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
    /// Shows only the first digits: enough to tell two hashes apart in a log.
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
    /// Hashes of the bearer tokens that callers of the account show.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// The account's pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
}

/// One fault of a template: where it is and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Path to the faulty value, such as `pools[1].budget.promised`.
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
    /// Every fault of this template on its own; empty where it is valid.
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
            && !is_prefix(prefix)
        {
            faults.push(fault(
                format!("{at}.path-prefix"),
                "a path that starts with `/`, does not end with it and has no empty segment",
            ));
        }
    }
}

fn is_prefix(text: &str) -> bool {
    text.strip_prefix('/').is_some_and(|rest| {
        rest.split('/').all(|segment| {
            !segment.is_empty()
                && segment
                    .bytes()
                    .all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#')
        })
    })
}

/// Every fault between templates: names, hosts and prefixes that are taken twice, unknown callers.
///
/// `templates` holds the accounts as they would be after the change. Faults name the account first,
/// such as `gojo.pools[0].name`.
pub fn check_together(templates: &BTreeMap<id::Account, Template>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut taken = BTreeMap::new();
    let mut take = |kind: &'static str, name: &str, at: String, faults: &mut Vec<Fault>| {
        let place = at.clone();
        if let Some(first) = taken.insert((kind, name.to_owned()), at) {
            faults.push(fault(
                place,
                format!("a {kind} of its own; `{name}` stands at {first}"),
            ));
        }
    };
    for (account, template) in templates {
        for (index, token) in template.tokens.iter().enumerate() {
            take(
                "token",
                &token.0,
                format!("{account}.tokens[{index}]"),
                &mut faults,
            );
        }
        for (p, pool) in template.pools.iter().enumerate() {
            let at = format!("{account}.pools[{p}]");
            take(
                "pool",
                pool.name.as_str(),
                format!("{at}.name"),
                &mut faults,
            );
            for (s, service) in pool.services.iter().enumerate() {
                let at = format!("{at}.services[{s}]");
                take(
                    "service",
                    service.name.as_str(),
                    format!("{at}.name"),
                    &mut faults,
                );
                for host in &service.hosts {
                    take("host", host, format!("{at}.hosts"), &mut faults);
                }
                if let Some(prefix) = &service.path_prefix {
                    take(
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
