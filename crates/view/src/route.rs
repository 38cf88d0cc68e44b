//! Routes requests to services: by host, or by the longest path prefix of whole segments.

use crate::token::Tokens;
use primroseroute_accounts::key::Digest;
use primroseroute_domain::{
    account::{Class, Template},
    id,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// The service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// The pool that serves it.
    pub pool: id::Pool,
    /// The account that owns it.
    pub owner: id::Account,
    /// Urgency class of its requests.
    pub class: Class,
    callers: BTreeSet<id::Account>,
}

impl Target {
    /// Whether `account` may call the service: its owner and the callers that the owner lists.
    pub fn permits(&self, account: &id::Account) -> bool {
        self.owner == *account || self.callers.contains(account)
    }
}

/// The index of hosts, path prefixes and bearer tokens of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: BTreeMap<Arc<str>, Arc<Target>>,
    prefixes: BTreeMap<Arc<str>, Arc<Target>>,
    tokens: Tokens,
    shares: BTreeMap<id::Account, u32>,
}

impl Routes {
    /// Builds the index.
    pub fn build<'a>(templates: impl IntoIterator<Item = &'a Template>) -> Self {
        let mut routes = Self::default();
        for template in templates {
            routes.add(template);
        }
        routes
    }

    fn add(&mut self, template: &Template) {
        let account = &template.account;
        self.shares.insert(account.clone(), template.share);
        for token in &template.tokens {
            self.tokens.add(token, account);
        }
        for pool in &template.pools {
            for service in &pool.services {
                let target = Arc::new(Target {
                    service: service.name.clone(),
                    pool: pool.name.clone(),
                    owner: account.clone(),
                    class: service.class,
                    callers: service.callers.iter().cloned().collect(),
                });
                for host in &service.hosts {
                    self.hosts.insert(Arc::clone(host), Arc::clone(&target));
                }
                if let Some(prefix) = &service.path_prefix {
                    self.prefixes.insert(Arc::clone(prefix), target);
                }
            }
        }
    }

    /// The service for a request to `host` (without its port) and `path`; the host takes
    /// precedence.
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<&Arc<Target>> {
        host.and_then(|host| self.hosts.get(host))
            .or_else(|| self.by_prefix(path))
    }

    fn by_prefix(&self, path: &str) -> Option<&Arc<Target>> {
        let mut rest = path;
        while !rest.is_empty() {
            if let Some(target) = self.prefixes.get(rest) {
                return Some(target);
            }
            rest = &rest[..rest.rfind('/')?];
        }
        None
    }

    /// The account whose token has this SHA-256.
    pub fn account(&self, digest: &Digest) -> Option<&id::Account> {
        self.tokens.find(digest)
    }

    /// Fair shares by account.
    pub fn shares(&self) -> &BTreeMap<id::Account, u32> {
        &self.shares
    }
}
