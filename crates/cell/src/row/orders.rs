//! Orders to instances: what the owners of pools ask for, and what the holders of groups answer.

use super::{CONTROL, hash};
use primroseroute_domain::work::Name;
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the orders that a pool's owner asks for.
pub(super) const ORDERS: &str = "orders";

/// Start of the keys of answers to them; the name of the group follows.
pub(super) const ANSWER: &str = "answer";

/// Start of the names of groups of instances; no pool's name begins with a dot.
const GROUP: &str = ".group-";

/// Groups of instances. An order costs its group's holder a few calls and no processor time to speak of,
/// so the number bounds only what stands still while a holder is replaced: a quarter of the fleet. Each
/// group that a batch of orders touches costs three calls to the store.
const GROUPS: u64 = 4;

/// Where the orders that a pool's owner asks for lie.
pub fn orders(pool: &str) -> Place {
    Place::new(CONTROL, pool, ORDERS)
}

/// Where the holder of a group answers the owner of a pool.
pub fn answer(pool: &str, group: &str) -> Place {
    Place::new(CONTROL, pool, &format!("{ANSWER}{group}"))
}

/// The group of an instance: the same whatever pool it serves.
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

/// Orders to instances that a pool's owner asks the holders of their groups for. They stand until the
/// owner writes the row anew, and not longer than its ownership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Version of the row of the owner that asks.
    pub owner: u64,
    /// The orders by instance.
    pub orders: BTreeMap<Name, Order>,
}

/// What the holder of a group has made of a pool's orders. The version of the first such row for a
/// request is the fencing token of the orders that it gives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Version of the row of the orders that were asked for.
    pub asked: u64,
    /// What came of each; empty while they are being given.
    pub results: BTreeMap<Name, Given>,
}

/// What came of an order to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Given {
    /// It was taken, or had been carried out before.
    Taken,
    /// The instance isn't up, or is leaving.
    Busy,
    /// It was refused for good.
    Refused,
    /// There was no answer that says so: it may have been carried out.
    Unknown,
}

/// An order to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Move to this pool.
    Move(Name),
    /// Be maintained for the wave with this number.
    Maintain(u64),
}
