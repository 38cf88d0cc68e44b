//! What the interface needs to know of the entry that it runs in.

use primroseroute_api::Entry;
use primroseroute_domain::{account::TokenHash, id};
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use subtle::ConstantTimeEq;

/// What only the running entry knows.
pub trait Local: Send + Sync + fmt::Debug {
    /// The entry's name.
    fn name(&self) -> id::Entry;

    /// Whether the balancer should send callers here.
    fn is_ready(&self) -> bool;

    /// Requests in flight on `instance` from this entry.
    fn in_flight(&self, instance: &id::Instance) -> u32;

    /// Every registered entry as far as known, this one among them.
    fn entries(&self) -> Vec<Entry>;

    /// The entry that holds the controller's lease, as far as known.
    fn controller(&self) -> Option<id::Entry>;

    /// How long ago the store last confirmed the view.
    fn confirmed(&self) -> Option<Duration>;

    /// Metrics in Prometheus form.
    fn metrics(&self) -> String;
}

/// Operators by the hash of their token.
#[derive(Clone, Debug, Default)]
pub struct Tokens(pub BTreeMap<Arc<str>, TokenHash>);

impl Tokens {
    /// The operator whose token has `hash`; every hash is compared, each in constant time.
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
