//! Change handlers: each commits an operator's order as one change of the ledger.

use super::{
    Shared, reply,
    router::{name_in_path, shared},
};
use crate::edit;
use gotham::{handler::HandlerResult, prelude::FromState, state::State};
use http::HeaderMap;
use primroseroute_api::{Accepted, Apply, Move, Order};
use primroseroute_domain::{
    account::Template,
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_front::Upload;
use primroseroute_ledger::Draft;
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Maximum size of a request body. A template of 270 pools is about 100 KiB.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How often a request holds its body: as it was received, as an order, as a change, and as its row.
const BODY_COPIES: usize = 4;

/// A request taken out of gotham's state, which must not be held across an await point.
pub(super) struct IncomingRequest {
    shared: Shared,
    headers: HeaderMap,
    body: Upload,
}

impl IncomingRequest {
    pub(super) fn take(state: &mut State) -> Self {
        Self {
            shared: shared(state),
            headers: HeaderMap::take_from(state),
            body: Upload::take_from(state),
        }
    }

    pub(super) async fn read<T: DeserializeOwned>(self) -> Result<OperatorRequest<T>, Refusal> {
        let operator = super::auth::operator(&self.shared, &self.headers)?;
        let malformed = |detail: String| Refusal::new(Code::MalformedRequest, detail);
        let body = self.body.collect(MAX_BODY_BYTES, BODY_COPIES);
        let bytes = body.await.map_err(|error| malformed(error.to_string()))?;
        let order = serde_json::from_slice(&bytes).map_err(|error| malformed(error.to_string()))?;
        Ok(OperatorRequest {
            shared: self.shared,
            operator,
            order,
        })
    }
}

/// An authenticated request with its parsed body.
pub(super) struct OperatorRequest<T> {
    pub(super) shared: Shared,
    operator: Arc<str>,
    pub(super) order: T,
}

impl<T> OperatorRequest<T> {
    pub(super) async fn commit(
        &self,
        reason: &Arc<str>,
        decide: &(dyn Fn(&Snapshot, &mut Draft) -> Result<(), Refusal> + Sync),
    ) -> Result<Accepted, Refusal> {
        let components = &self.shared.0;
        let author = Author {
            actor: format!("operator:{}", self.operator).into(),
            reason: Arc::clone(reason),
            guards: Vec::new(),
        };
        let committed = commit_with_retry(
            &components.ledger,
            &components.cell,
            components.clock.as_ref(),
            &author,
            decide,
        )
        .await?;
        let version =
            committed.map_or_else(|| components.cell.current().seq(), |record| record.seq);
        Ok(Accepted { version })
    }
}

pub(super) async fn apply(mut state: State) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((state, reply::json(apply_template(name, incoming).await)))
}

async fn apply_template(
    name: Result<id::Account, Refusal>,
    incoming: IncomingRequest,
) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Apply>().await?;
    let name = name?;
    if name != request.order.template.account {
        let detail = format!("the path names {name}, the template another account");
        return Err(Refusal::new(Code::MalformedRequest, detail));
    }
    let decide =
        |snapshot: &Snapshot, draft: &mut Draft| edit::apply(snapshot, &request.order, draft);
    request.commit(&request.order.reason, &decide).await
}

pub(super) async fn diff(mut state: State) -> HandlerResult {
    let request = IncomingRequest::take(&mut state).read::<Template>().await;
    let result =
        request.map(|request| edit::diff(&request.shared.0.cell.current(), &request.order));
    Ok((state, reply::json(result)))
}

/// Applies one kind of order to an instance.
type InstanceOrder =
    fn(&Snapshot, &id::Instance, &Order, Instant, &mut Draft) -> Result<(), Refusal>;

pub(super) async fn drain(state: State) -> HandlerResult {
    on_instance(state, edit::drain).await
}

pub(super) async fn release(state: State) -> HandlerResult {
    on_instance(state, edit::release).await
}

async fn on_instance(mut state: State, act: InstanceOrder) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((
        state,
        reply::json(order_instance(name, incoming, act).await),
    ))
}

async fn order_instance(
    name: Result<id::Instance, Refusal>,
    incoming: IncomingRequest,
    act: InstanceOrder,
) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Order>().await?;
    let name = name?;
    let now = request.shared.0.clock.now();
    let decide =
        |snapshot: &Snapshot, draft: &mut Draft| act(snapshot, &name, &request.order, now, draft);
    request.commit(&request.order.reason, &decide).await
}

pub(super) async fn remove(mut state: State) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((state, reply::json(remove_entry(name, incoming).await)))
}

async fn remove_entry(
    name: Result<id::Entry, Refusal>,
    incoming: IncomingRequest,
) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Order>().await?;
    let name = name?;
    let decide = |_: &Snapshot, draft: &mut Draft| {
        edit::remove(&name, draft);
        Ok(())
    };
    request.commit(&request.order.reason, &decide).await
}

pub(super) async fn move_to(mut state: State) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((state, reply::json(move_instance(name, incoming).await)))
}

async fn move_instance(
    name: Result<id::Instance, Refusal>,
    incoming: IncomingRequest,
) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Move>().await?;
    let name = name?;
    let now = request.shared.0.clock.now();
    let Move { pool, order } = &request.order;
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::move_to(snapshot, &name, pool, order, now, draft)
    };
    request.commit(&order.reason, &decide).await
}
