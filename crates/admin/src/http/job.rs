//! Orders and reads on background jobs.

use super::{
    Shared, reply,
    router::named,
    write::{Asked, Call},
};
use crate::edit::job::{self, Taken};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    prelude::FromState,
    router::response::StaticResponseExtender,
    state::{State, StateData},
};
use http::{Response, StatusCode};
use parking_lot::Mutex;
use primroseroute_api::{Accepted, Cancel, Cancelled, Order, Submit};
use primroseroute_domain::{id, outcome::Refusal};
use primroseroute_jobs::Row;
use primroseroute_ledger::{Draft, Versioned};
use primroseroute_view::Snapshot;
use serde::Deserialize;

/// The query of `/v1/jobs`.
#[derive(Debug, Deserialize, StateData)]
pub(super) struct Chosen {
    account: Option<String>,
    kind: Option<String>,
    state: Option<String>,
}

impl StaticResponseExtender for Chosen {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl Chosen {
    fn is_met(&self, row: &Row) -> bool {
        let is = |wanted: &Option<String>, value: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        is(&self.account, row.account.as_str())
            && is(&self.kind, &row.kind.0)
            && is(&self.state, row.state.name())
    }
}

pub(super) fn jobs(shared: &Shared, state: &State) -> Result<Vec<Versioned<Row>>, Refusal> {
    let chosen = Chosen::borrow_from(state);
    let rows = job::all(&shared.0.cell.current())?.into_values();
    Ok(rows.filter(|row| chosen.is_met(&row.value)).collect())
}

pub(super) fn one(shared: &Shared, state: &State) -> Result<Versioned<Row>, Refusal> {
    job::find(&shared.0.cell.current(), &named(state)?)
}

pub(super) async fn submit(mut state: State) -> HandlerResult {
    let asked = Call::take(&mut state).read::<Submit>().await;
    Ok((state, reply::json(submitted(asked).await)))
}

async fn submitted(asked: Result<Asked<Submit>, Refusal>) -> Result<Accepted, Refusal> {
    let asked = asked?;
    let now = asked.shared.0.clock.now();
    let capacity = asked.shared.0.capacity;
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        job::submit(snapshot, &asked.order, capacity, now, draft)
    };
    asked.commit(&asked.order.reason, &decide).await
}

pub(super) async fn cancel(mut state: State) -> HandlerResult {
    let asked = Call::take(&mut state).read::<Cancel>().await;
    Ok((state, reply::json(cancelled(asked).await)))
}

async fn cancelled(asked: Result<Asked<Cancel>, Refusal>) -> Result<Cancelled, Refusal> {
    let asked = asked?;
    let taken = Mutex::new(Taken::default());
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        // Decided again after a lost race: only the last decision counts.
        *taken.lock() = job::cancel(snapshot, &asked.order, draft)?;
        Ok(())
    };
    let Accepted { version } = asked.commit(&asked.order.reason, &decide).await?;
    let Taken { cancelled, left } = taken.into_inner();
    Ok(Cancelled {
        version,
        cancelled,
        left,
    })
}

pub(super) async fn release(mut state: State) -> HandlerResult {
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(released(name, call).await)))
}

async fn released(name: Result<id::Job, Refusal>, call: Call) -> Result<Accepted, Refusal> {
    let asked = call.read::<Order>().await?;
    let name = name?;
    let decide =
        |snapshot: &Snapshot, draft: &mut Draft| job::release(snapshot, &name, &asked.order, draft);
    asked.commit(&asked.order.reason, &decide).await
}
