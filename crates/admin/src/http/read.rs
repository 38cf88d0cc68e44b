//! Read handlers, which answer from the entry's own view.

use super::{
    Shared, reply,
    router::{AuditFilter, name_in_path, shared},
};
use gotham::{handler::HandlerResult, helpers::http::Body, prelude::FromState, state::State};
use http::{HeaderMap, Response, StatusCode};
use primroseroute_api::{Audit, Entry, Instance, Pool, Service, Status};
use primroseroute_domain::{
    account::Template,
    change::{Record, Seq},
    id,
    outcome::{Code, Refusal},
};
use primroseroute_ledger::{Versioned, key};
use primroseroute_peer::membership::Registration;
use primroseroute_view::Snapshot;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::timeout;

/// Maximum records in one page of the audit trail.
const MAX_PAGE_SIZE: u32 = 1000;

/// Records in a page if the operator gives no limit.
const DEFAULT_PAGE_SIZE: u32 = 100;

/// Timeout of reading the registrations. It is short because operators ask for the status during
/// outages too.
const REGISTRATIONS_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn healthz(state: State) -> (State, Response<Body>) {
    (state, reply::text(StatusCode::OK, "running\n"))
}

pub(super) fn readyz(state: State) -> (State, Response<Body>) {
    let ready = Shared::borrow_from(&state).0.local.is_ready();
    let response = if ready {
        reply::text(StatusCode::OK, "ready\n")
    } else {
        reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    (state, response)
}

pub(super) fn metrics(state: State) -> (State, Response<Body>) {
    let text = Shared::borrow_from(&state).0.local.metrics();
    (state, reply::text(StatusCode::OK, text))
}

pub(super) async fn status(state: State) -> HandlerResult {
    let shared = shared(&state);
    let authorized = super::auth::operator(&shared, HeaderMap::borrow_from(&state));
    let status = match authorized {
        Ok(_operator) => Ok(build_status(&shared).await),
        Err(refusal) => Err(refusal),
    };
    Ok((state, reply::json(status)))
}

async fn build_status(shared: &Shared) -> Status {
    let components = &shared.0;
    let registered = read_registrations(shared).await;
    let complete = registered.is_some();
    let entries = match registered {
        Some(rows) => merge_registrations(rows, components.local.entries()),
        None => components.local.entries(),
    };
    let snapshot = components.cell.current();
    let mut instances = BTreeMap::new();
    for row in snapshot.instances().values() {
        *instances.entry(row.value.state.to_string()).or_default() += 1;
    }
    Status {
        entry: components.local.name(),
        seq: snapshot.seq(),
        confirmed: components.local.confirmed(),
        entries,
        complete,
        controller: components.local.controller(),
        instances,
        pools: list_pools(&snapshot),
    }
}

/// Reads the current registrations from the store; `None` if it fails or times out.
///
/// The entry's own list may be some seconds old. An operator who waits for a change would then be
/// told that it is in effect everywhere, while an entry that has registered since serves without it.
async fn read_registrations(shared: &Shared) -> Option<Vec<Registration>> {
    let read = shared.0.ledger.scan::<Registration>(key::ENTRIES);
    match timeout(REGISTRATIONS_TIMEOUT, read).await {
        Ok(Ok(rows)) => Some(rows.into_iter().map(|(_key, row)| row).collect()),
        Ok(Err(error)) => {
            log::debug!("cannot read the entry registrations: {error}");
            None
        }
        Err(_elapsed) => None,
    }
}

/// The registered entries, each with its known state. For an entry that is not known yet, the
/// sequence number acknowledged in its registration is used.
fn merge_registrations(rows: Vec<Registration>, known: Vec<Entry>) -> Vec<Entry> {
    let mut known: BTreeMap<id::Entry, Entry> = known
        .into_iter()
        .map(|entry| (entry.name.clone(), entry))
        .collect();
    let found = rows.into_iter().map(|row| {
        let entry = known.remove(&row.name);
        entry.unwrap_or(Entry {
            name: row.name,
            seq: row.acked,
            heard: None,
        })
    });
    found.collect()
}

#[expect(clippy::unnecessary_wraps, reason = "all reads share one signature")]
pub(super) fn services(shared: &Shared, _state: &State) -> Result<Vec<Service>, Refusal> {
    let snapshot = shared.0.cell.current();
    let services = snapshot.pools().flat_map(|(account, pool)| {
        pool.services.iter().map(|service| Service {
            name: service.name.clone(),
            account: account.clone(),
            pool: pool.name.clone(),
            hosts: service.hosts.clone(),
            path_prefix: service.path_prefix.clone(),
        })
    });
    Ok(services.collect())
}

fn list_pools(snapshot: &Snapshot) -> Vec<Pool> {
    let pool = |(account, pool): (&id::Account, &primroseroute_domain::account::Pool)| {
        let mut members = 0;
        let mut serving = 0;
        for row in snapshot.members(&pool.name) {
            members += 1;
            serving += u32::from(row.state.takes_requests());
        }
        Pool {
            name: pool.name.clone(),
            account: account.clone(),
            promised: pool.budget.promised,
            serving,
            members,
        }
    };
    snapshot.pools().map(pool).collect()
}

#[expect(clippy::unnecessary_wraps, reason = "all reads share one signature")]
pub(super) fn pools(shared: &Shared, _state: &State) -> Result<Vec<Pool>, Refusal> {
    Ok(list_pools(&shared.0.cell.current()))
}

#[expect(clippy::unnecessary_wraps, reason = "all reads share one signature")]
pub(super) fn instances(shared: &Shared, _state: &State) -> Result<Vec<Instance>, Refusal> {
    let snapshot = shared.0.cell.current();
    let found = snapshot.instances().iter().map(|(name, row)| Instance {
        row: row.clone(),
        in_flight: shared.0.local.in_flight(name),
    });
    Ok(found.collect())
}

#[expect(clippy::unnecessary_wraps, reason = "all reads share one signature")]
pub(super) fn accounts(
    shared: &Shared,
    _state: &State,
) -> Result<Vec<Versioned<Template>>, Refusal> {
    Ok(shared
        .0
        .cell
        .current()
        .accounts()
        .values()
        .cloned()
        .collect())
}

pub(super) fn account(shared: &Shared, state: &State) -> Result<Versioned<Template>, Refusal> {
    let name: id::Account = name_in_path(state)?;
    let snapshot = shared.0.cell.current();
    let found = snapshot.accounts().get(&name).cloned();
    found.ok_or_else(|| Refusal::new(Code::NotFound, format!("account {name}")))
}

pub(super) async fn audit(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let authorized = super::auth::operator(&shared, HeaderMap::borrow_from(&state));
    let filter = AuditFilter::take_from(&mut state);
    let page = match authorized {
        Ok(_operator) => audit_page(&shared, &filter).await,
        Err(refusal) => Err(refusal),
    };
    Ok((state, reply::json(page)))
}

async fn audit_page(shared: &Shared, filter: &AuditFilter) -> Result<Audit, Refusal> {
    let after = Seq(filter.after.unwrap_or(0));
    let limit = filter.limit.unwrap_or(DEFAULT_PAGE_SIZE).min(MAX_PAGE_SIZE);
    let records = shared.0.trail.records_after(after, limit).await?;
    let matches = |record: &Record| {
        let by_actor = filter
            .actor
            .as_ref()
            .is_none_or(|actor| record.actor.contains(actor.as_str()));
        let by_key = filter.key.as_ref().is_none_or(|key| {
            record
                .edits
                .iter()
                .any(|edit| edit.key.starts_with(key.as_str()))
        });
        by_actor && by_key
    };
    let read_to = records.last().map_or(after, |record| record.seq);
    Ok(Audit {
        read_to,
        records: records.into_iter().filter(matches).collect(),
    })
}
