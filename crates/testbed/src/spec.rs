//! Layout, tokens and templates of a site.

use primroseroute_domain::{
    account::{Budget, Class, Pool, Service, Survive, Template, TokenHash},
    id,
};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// The bearer token of the only operator of a test site.
pub const OPERATOR_TOKEN: &str = "operator-secret";

/// The bearer token of the callers of `account`.
pub fn caller_token(account: &str) -> String {
    format!("token-of-{account}")
}

/// The hash of `token` as stored in a template.
///
/// # Panics
/// Never: writing to a string succeeds.
pub fn token_hash(token: &str) -> TokenHash {
    let text = Sha256::digest(token.as_bytes())
        .iter()
        .fold(String::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
            text
        });
    TokenHash(text.into())
}

/// A template with one pool of the account's name and one service under `/<account>`.
///
/// # Panics
/// Where `account` is not a valid name.
pub fn template(account: &str, share: u32, promised: u32) -> Template {
    let service = Service {
        name: account
            .parse()
            .expect("an account's name is a valid service name"),
        hosts: Vec::new(),
        path_prefix: Some(format!("/{account}").into()),
        callers: Vec::new(),
        class: Class::Urgent,
    };
    let pool = Pool {
        name: account
            .parse()
            .expect("an account's name is a valid pool name"),
        budget: Budget {
            promised,
            max_absent: 1,
            survive: Survive::Nothing,
        },
        services: vec![service],
    };
    Template {
        account: account.parse().expect("the account's name is valid"),
        share,
        tokens: vec![token_hash(&caller_token(account))],
        pools: vec![pool],
    }
}

/// Sizes of a site.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of entries.
    pub entries: usize,
    /// Pools, each of an account of the same name, with their number of workers.
    pub pools: Vec<(String, usize)>,
    /// Number of availability zones over which the workers of a pool are spread.
    pub zones: usize,
    /// Number of workers per rack.
    pub rack: usize,
}

impl Layout {
    /// Two entries and one pool of three workers in three zones.
    pub fn small() -> Self {
        Self {
            entries: 2,
            pools: vec![("stay".to_owned(), 3)],
            zones: 3,
            rack: 4,
        }
    }

    /// Zone and rack of the worker `index` of the pool number `pool`.
    pub(crate) fn place(&self, pool: usize, index: usize) -> (id::Zone, id::Rack) {
        let zone = index % self.zones;
        let rack = index / self.zones / self.rack;
        let zone_name = format!("zone-{zone}")
            .parse()
            .expect("a zone's name is valid");
        let rack_name = format!("rack-{zone}-{pool}-{rack}")
            .parse()
            .expect("a rack's name is valid");
        (zone_name, rack_name)
    }
}
