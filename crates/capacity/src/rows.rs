//! Builds the table rows of a deployment.

use crate::Size;
use primroseroute_domain::{
    account::{Pool, Template},
    id,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_testbed::template;
use std::net::SocketAddr;

/// Availability zones of the reference deployment.
const ZONES: usize = 5;

/// Workers per rack of the reference deployment.
const WORKERS_PER_RACK: usize = 4;

fn parse_id<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

/// The account templates of a deployment of `size`; pools are assigned to accounts round robin.
///
/// # Panics
/// Never: generated names are valid.
pub fn templates(size: Size) -> Vec<Template> {
    let empty = |account| Template {
        pools: Vec::new(),
        ..template(&format!("account-{account}"), 1, 1)
    };
    let mut templates: Vec<Template> = (0..size.accounts()).map(empty).collect();
    let accounts = size.accounts();
    for pool in 0..size.pools() {
        templates[pool % accounts]
            .pools
            .push(build_pool(size, pool));
    }
    templates
}

fn build_pool(size: Size, number: usize) -> Pool {
    let members = (0..size.workers)
        .filter(|worker| worker % size.pools() == number)
        .count();
    let promised = u32::try_from(members - 1).expect("pool sizes fit into u32");
    let mut template = template(&format!("pool-{number}"), 1, promised);
    template.pools.remove(0)
}

/// The instance rows of the workers of a deployment of `size`, all serving.
///
/// # Panics
/// Never: generated names are valid.
pub fn workers(size: Size) -> Vec<Row> {
    let row = |worker: usize| {
        let zone = worker % ZONES;
        let rack = worker / ZONES / WORKERS_PER_RACK;
        let port = u16::try_from(1024 + worker).expect("worker numbers fit into the port range");
        Row {
            id: parse_id(&format!("worker-{worker}")),
            address: SocketAddr::from(([192, 0, 2, 1], port)),
            zone: parse_id(&format!("zone-{zone}")),
            rack: parse_id(&format!("rack-{zone}-{rack}")),
            pool: Some(parse_id(&format!("pool-{}", worker % size.pools()))),
            state: State::Serving,
            purpose: None,
            since: Instant(0),
            maintained: None,
        }
    };
    (0..size.workers).map(row).collect()
}
