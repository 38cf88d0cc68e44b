//! Builds records in the form in which the ledger writes them.

use primroseroute_domain::{
    account::{Budget, Pool, Survive, Template},
    change::{Edit, Record, Seq},
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::{placement::Weights, wave};
use primroseroute_ledger::{Versioned, key};
use primroseroute_report::{Error, Period, Replay, ReplayResult};
use serde::Serialize;
use std::sync::Arc;
use uuid::Uuid;

/// Milliseconds per hour.
pub const HOUR: u64 = 3_600_000;

/// Parses a name of any kind.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// An instance row of `pool` in `state`.
pub fn row(id: &str, pool: Option<&str>, state: State, purpose: Option<Purpose>) -> Row {
    Row {
        id: name(id),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: name("zone"),
        rack: name("rack"),
        pool: pool.map(name),
        state,
        purpose,
        since: Instant(0),
        maintained: None,
    }
}

/// An instance row that serves `pool`.
pub fn serving(id: &str, pool: &str) -> Row {
    row(id, Some(pool), State::Serving, None)
}

/// A template of `account` with one pool that promises `promised` instances.
pub fn template(account: &str, pool: &str, promised: u32) -> Template {
    let pool = Pool {
        name: name(pool),
        budget: Budget {
            promised,
            max_absent: 1,
            survive: Survive::Nothing,
        },
        services: Vec::new(),
    };
    Template {
        account: name(account),
        share: 1,
        tokens: Vec::new(),
        pools: vec![pool],
    }
}

/// A wave over `pools` that started at `started`.
pub fn wave_row(id: &str, pools: &[&str], started: u64) -> wave::Row {
    let order = wave::Order {
        id: name(id),
        scope: wave::Scope {
            pools: pools.iter().map(|pool| name(pool)).collect(),
            ..wave::Scope::default()
        },
        window: wave::Window::default(),
        limits: wave::Limits::default(),
    };
    wave::Row::begin(order, Instant(started))
}

/// The same wave after it finished at `ended`.
pub fn rolled_out(row: wave::Row, ended: u64) -> wave::Row {
    wave::Row {
        state: wave::State::Done,
        ended: Some(Instant(ended)),
        ..row
    }
}

fn put<T: Serialize>(key: Arc<str>, value: &T) -> Edit {
    let versioned = Versioned {
        version: Seq(1),
        value,
    };
    let after = serde_json::to_string(&versioned).expect("rows serialize");
    Edit {
        key,
        before: None,
        after: Some(after.into()),
    }
}

/// An edit that writes an instance's row.
pub fn instance(row: &Row) -> Edit {
    put(key::instance(&row.id), row)
}

/// An edit that writes an account's template.
pub fn account(template: &Template) -> Edit {
    put(key::account(&template.account), template)
}

/// An edit that writes a wave's row.
pub fn wave(row: &wave::Row) -> Edit {
    put(key::wave(row.id()), row)
}

/// An edit that deletes the row with `key`.
pub fn delete(key: Arc<str>) -> Edit {
    Edit {
        key,
        before: Some(Seq(1)),
        after: None,
    }
}

/// An audit trail under construction.
#[derive(Debug, Default)]
pub struct Trail(pub Vec<Record>);

impl Trail {
    /// Appends a change at `at`.
    pub fn at(mut self, at: u64, edits: Vec<Edit>) -> Self {
        let record = Record {
            seq: Seq(self.0.len() as u64 + 1),
            at: Instant(at),
            actor: "operator:test".into(),
            reason: "test".into(),
            operation: Uuid::nil(),
            edits,
        };
        self.0.push(record);
        self
    }

    /// Replays the trail.
    pub fn replay(&self, from: u64, to: u64) -> Result<ReplayResult, Error> {
        replay(&self.0, period(from, to))
    }
}

/// The period from `from` to `to`.
pub fn period(from: u64, to: u64) -> Period {
    Period {
        from: Instant(from),
        to: Instant(to),
    }
}

/// Replays `records`.
pub fn replay(records: &[Record], period: Period) -> Result<ReplayResult, Error> {
    let mut replay = Replay::new(period, Weights::default());
    for record in records {
        replay.apply(record)?;
    }
    Ok(replay.finish())
}

/// Parses a pool's name.
pub fn pool(text: &str) -> id::Pool {
    name(text)
}

/// Fails if the values differ by more than rounding errors.
pub fn near(found: f64, expected: f64) {
    assert!(
        (found - expected).abs() < 1e-9,
        "got {found}, expected {expected}"
    );
}
