//! Orders to instances: the requests of pool owners, and the answers of group holders.

use super::{CONTROL, hash};
use primroseroute_domain::work::Name;
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the orders that a pool's owner requests.
pub(super) const ORDERS: &str = "orders";

/// Prefix of the keys of answers to them; the name of the group follows.
pub(super) const ANSWER: &str = "answer";

/// Prefix of the names of groups of instances; no pool's name begins with a dot.
const GROUP: &str = ".group-";

/// Number of groups of instances. An order costs its group's holder a few calls and hardly any
/// processor time, so the number only bounds which part of the fleet gets no orders while a holder
/// is replaced: a quarter. Each group that a batch of orders touches costs three calls to the
/// store.
const GROUPS: u64 = 4;

/// Location of the orders that a pool's owner requests.
pub fn orders(pool: &str) -> Place {
    Place::new(CONTROL, pool, ORDERS)
}

/// Location of the answer of a group's holder to the owner of a pool.
pub fn answer(pool: &str, group: &str) -> Place {
    Place::new(CONTROL, pool, &format!("{ANSWER}{group}"))
}

/// The group of an instance, independent of the pool it serves.
pub fn group(instance: &str) -> Name {
    format!("{GROUP}{}", hash(instance) % GROUPS).into()
}

/// All groups of instances.
pub fn groups() -> impl Iterator<Item = Name> {
    (0..GROUPS).map(|number| format!("{GROUP}{number}").into())
}

/// Whether `name` is that of a group, and not of a pool.
pub fn is_group(name: &str) -> bool {
    name.starts_with(GROUP)
}

/// Orders to instances that a pool's owner requests from the holders of their groups. They are
/// valid until the owner rewrites the row, and no longer than its ownership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Version of the owner row of the requesting entry.
    pub owner: u64,
    /// The orders by instance.
    pub orders: BTreeMap<Name, Order>,
}

/// The answer of a group's holder to a pool's orders. The version of the first such row for a
/// request is the fencing token of the orders that the holder gives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Version of the row with the requested orders.
    pub asked: u64,
    /// Result of each order; empty while they are being given.
    pub results: BTreeMap<Name, OrderResult>,
}

/// Result of an order to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// Accepted, or carried out before.
    Taken,
    /// The instance isn't up, or is leaving.
    Busy,
    /// Permanently refused.
    Refused,
    /// No conclusive answer: it may have been carried out.
    Unknown,
}

/// An order to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Move to this pool.
    Move(Name),
    /// Undergo maintenance for the wave with this number.
    Maintain(u64),
}
