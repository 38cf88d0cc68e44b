//! The state of the local entry that the admin API reads.

use primroseroute_api::Entry;
use primroseroute_domain::{account::TokenHash, id};
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use subtle::ConstantTimeEq;

/// State of the running entry that is not in the view.
pub trait Local: Send + Sync + fmt::Debug {
    /// The entry's name.
    fn name(&self) -> id::Entry;

    /// Whether the load balancer should route callers to this entry.
    fn is_ready(&self) -> bool;

    /// Requests in flight on `instance` from this entry.
    fn in_flight(&self, instance: &id::Instance) -> u32;

    /// All known registered entries, including this one.
    fn entries(&self) -> Vec<Entry>;

    /// The entry that holds the controller lease, if known.
    fn controller(&self) -> Option<id::Entry>;

    /// Time since the store last confirmed the view.
    fn confirmed(&self) -> Option<Duration>;

    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Operators and the hashes of their tokens.
#[derive(Clone, Debug, Default)]
pub struct Tokens(pub BTreeMap<Arc<str>, TokenHash>);

impl Tokens {
    /// Finds the operator whose token has `hash`. Compares against every hash, each in constant time.
    pub fn find(&self, hash: &str) -> Option<Arc<str>> {
        let mut found = None;
        for (operator, known) in &self.0 {
            if bool::from(known.0.as_bytes().ct_eq(hash.as_bytes())) {
                found = Some(Arc::clone(operator));
            }
        }
        found
    }
}
