//! Reads and changes of background jobs.

use super::{
    Shared, reply,
    router::name_in_path,
    write::{IncomingRequest, OperatorRequest},
};
use crate::edit::job::{self, CancelResult};
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

/// Query parameters of `/v1/jobs`.
#[derive(Debug, Deserialize, StateData)]
pub(super) struct JobFilter {
    account: Option<String>,
    kind: Option<String>,
    state: Option<String>,
}

impl StaticResponseExtender for JobFilter {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl JobFilter {
    fn matches(&self, row: &Row) -> bool {
        let is = |wanted: &Option<String>, value: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        is(&self.account, row.account.as_str())
            && is(&self.kind, &row.kind.0)
            && is(&self.state, row.state.name())
    }
}

pub(super) fn jobs(shared: &Shared, state: &State) -> Result<Vec<Versioned<Row>>, Refusal> {
    let filter = JobFilter::borrow_from(state);
    let rows = job::all(&shared.0.cell.current())?.into_values();
    Ok(rows.filter(|row| filter.matches(&row.value)).collect())
}

pub(super) fn one(shared: &Shared, state: &State) -> Result<Versioned<Row>, Refusal> {
    job::find(&shared.0.cell.current(), &name_in_path(state)?)
}

pub(super) async fn submit(mut state: State) -> HandlerResult {
    let request = IncomingRequest::take(&mut state).read::<Submit>().await;
    Ok((state, reply::json(submit_jobs(request).await)))
}

async fn submit_jobs(
    request: Result<OperatorRequest<Submit>, Refusal>,
) -> Result<Accepted, Refusal> {
    let request = request?;
    let now = request.shared.0.clock.now();
    let capacity = request.shared.0.capacity;
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        job::submit(snapshot, &request.order, capacity, now, draft)
    };
    request.commit(&request.order.reason, &decide).await
}

pub(super) async fn cancel(mut state: State) -> HandlerResult {
    let request = IncomingRequest::take(&mut state).read::<Cancel>().await;
    Ok((state, reply::json(cancel_jobs(request).await)))
}

async fn cancel_jobs(
    request: Result<OperatorRequest<Cancel>, Refusal>,
) -> Result<Cancelled, Refusal> {
    let request = request?;
    let result = Mutex::new(CancelResult::default());
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        // Runs again after a conflict; only the last result counts.
        *result.lock() = job::cancel(snapshot, &request.order, draft)?;
        Ok(())
    };
    let Accepted { version } = request.commit(&request.order.reason, &decide).await?;
    let CancelResult { cancelled, left } = result.into_inner();
    Ok(Cancelled {
        version,
        cancelled,
        left,
    })
}

pub(super) async fn release(mut state: State) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((state, reply::json(release_job(name, incoming).await)))
}

async fn release_job(
    name: Result<id::Job, Refusal>,
    incoming: IncomingRequest,
) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Order>().await?;
    let name = name?;
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        job::release(snapshot, &name, &request.order, draft)
    };
    request.commit(&request.order.reason, &decide).await
}
