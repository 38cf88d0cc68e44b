//! The rows of a deployment.

use crate::Size;
use primroseroute_domain::{
    account::{Pool, Template},
    id,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_testbed::template;
use std::net::SocketAddr;

/// The letter's availability zones.
const ZONES: usize = 5;

/// Workers of a rack, from the brief.
const RACK: usize = 4;

fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("made names are valid")
}

/// The account templates of `size`: the pools are dealt to the accounts in turn.
///
/// # Panics
/// Never: made names are valid.
pub fn templates(size: Size) -> Vec<Template> {
    let empty = |account| Template {
        pools: Vec::new(),
        ..template(&format!("account-{account}"), 1, 1)
    };
    let mut templates: Vec<Template> = (0..size.accounts()).map(empty).collect();
    let dealt = size.accounts();
    for pool in 0..size.pools() {
        templates[pool % dealt].pools.push(pool_of(size, pool));
    }
    templates
}

fn pool_of(size: Size, number: usize) -> Pool {
    let members = (0..size.workers)
        .filter(|worker| worker % size.pools() == number)
        .count();
    let promised = u32::try_from(members - 1).expect("pools are small");
    let mut made = template(&format!("pool-{number}"), 1, promised);
    made.pools.remove(0)
}

/// The rows of the workers of `size`, all serving.
///
/// # Panics
/// Never: made names are valid.
pub fn workers(size: Size) -> Vec<Row> {
    let row = |worker: usize| {
        let zone = worker % ZONES;
        let rack = worker / ZONES / RACK;
        let port = u16::try_from(1024 + worker).expect("few workers");
        Row {
            id: name(&format!("worker-{worker}")),
            address: SocketAddr::from(([192, 0, 2, 1], port)),
            zone: name(&format!("zone-{zone}")),
            rack: name(&format!("rack-{zone}-{rack}")),
            pool: Some(name(&format!("pool-{}", worker % size.pools()))),
            state: State::Serving,
            purpose: None,
            since: Instant(0),
            maintained: None,
        }
    };
    (0..size.workers).map(row).collect()
}
