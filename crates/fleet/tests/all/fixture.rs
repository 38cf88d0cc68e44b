//! Shared helpers: rows, budgets and a deterministic property test runner.

use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::Fleet;
use primroseroute_platform::fleet::{Listed, Phase};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::net::SocketAddr;

/// Parses a name of any kind.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Address of every test instance; the decisions do not use it.
pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A serving instance of `pool` in `rack` of `zone`.
pub fn serving(id: &str, pool: &str, rack: &str, zone: &str) -> Row {
    Row {
        id: name(id),
        address: address(),
        zone: name(zone),
        rack: name(rack),
        pool: Some(name(pool)),
        state: State::Serving,
        purpose: None,
        since: Instant(0),
        maintained: None,
    }
}

/// A spare: an instance in probation without a pool.
pub fn spare(id: &str, rack: &str, zone: &str) -> Row {
    Row {
        pool: None,
        state: State::Probation,
        ..serving(id, "none", rack, zone)
    }
}

/// `row` draining for `purpose`.
pub fn draining(row: Row, purpose: Purpose) -> Row {
    Row {
        state: State::Draining,
        purpose: Some(purpose),
        ..row
    }
}

/// The platform's list entry for `row`.
pub fn listed(row: &Row, phase: Phase, boots: u64) -> Listed {
    Listed {
        id: row.id.clone(),
        address: row.address,
        zone: row.zone.clone(),
        rack: row.rack.clone(),
        phase,
        boots,
    }
}

pub fn budget(promised: u32, max_absent: u32, survive: Survive) -> Budget {
    Budget {
        promised,
        max_absent,
        survive,
    }
}

/// A fleet of `rows` with `budgets` by pool.
pub fn fleet(rows: Vec<Row>, budgets: Vec<(&str, Budget)>) -> Fleet {
    Fleet {
        rows: rows.into_iter().map(|row| (row.id.clone(), row)).collect(),
        budgets: budgets
            .into_iter()
            .map(|(pool, budget)| (name::<id::Pool>(pool), budget))
            .collect(),
        ..Fleet::default()
    }
}

/// A property test runner with a fixed seed: each run generates the same `cases` inputs.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        failure_persistence: None,
        cases,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}
