//! Changes: an operator's order becomes one change of the ledger.

use super::{
    Shared, reply,
    router::{named, shared},
};
use crate::edit;
use gotham::{handler::HandlerResult, helpers::http::Body, prelude::FromState, state::State};
use http::HeaderMap;
use http_body_util::{BodyExt, Limited};
use primroseroute_api::{Accepted, Apply, Move, Order};
use primroseroute_domain::{
    account::Template,
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_ledger::Draft;
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Largest body of an order: a template of 270 pools is about 100 KiB.
const MAX_BODY: usize = 1 << 20;

/// What a handler takes out of gotham's state, which must not be held across an await.
pub(super) struct Call {
    shared: Shared,
    headers: HeaderMap,
    body: Body,
}

impl Call {
    pub(super) fn take(state: &mut State) -> Self {
        Self {
            shared: shared(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
        }
    }

    pub(super) async fn read<T: DeserializeOwned>(self) -> Result<Asked<T>, Refusal> {
        let operator = super::auth::operator(&self.shared, &self.headers)?;
        let malformed = |detail: String| Refusal::new(Code::MalformedRequest, detail);
        let body = Limited::new(self.body, MAX_BODY);
        let bytes = body
            .collect()
            .await
            .map_err(|error| malformed(error.to_string()))?
            .to_bytes();
        let order = serde_json::from_slice(&bytes).map_err(|error| malformed(error.to_string()))?;
        Ok(Asked {
            shared: self.shared,
            operator,
            order,
        })
    }
}

/// An operator's request: who asks, and for what.
pub(super) struct Asked<T> {
    pub(super) shared: Shared,
    operator: Arc<str>,
    pub(super) order: T,
}

impl<T> Asked<T> {
    pub(super) async fn commit(
        &self,
        reason: &Arc<str>,
        decide: &(dyn Fn(&Snapshot, &mut Draft) -> Result<(), Refusal> + Sync),
    ) -> Result<Accepted, Refusal> {
        let parts = &self.shared.0;
        let author = Author {
            actor: format!("operator:{}", self.operator).into(),
            reason: Arc::clone(reason),
            guards: Vec::new(),
        };
        let done = commit_with_retry(
            &parts.ledger,
            &parts.cell,
            parts.clock.as_ref(),
            &author,
            decide,
        )
        .await?;
        let version = done.map_or_else(|| parts.cell.current().seq(), |record| record.seq);
        Ok(Accepted { version })
    }
}

pub(super) async fn apply(mut state: State) -> HandlerResult {
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(apply_named(name, call).await)))
}

async fn apply_named(name: Result<id::Account, Refusal>, call: Call) -> Result<Accepted, Refusal> {
    let asked = call.read::<Apply>().await?;
    let name = name?;
    if name != asked.order.template.account {
        let detail = format!("the path names {name}, the template another account");
        return Err(Refusal::new(Code::MalformedRequest, detail));
    }
    let decide =
        |snapshot: &Snapshot, draft: &mut Draft| edit::apply(snapshot, &asked.order, draft);
    asked.commit(&asked.order.reason, &decide).await
}

pub(super) async fn diff(mut state: State) -> HandlerResult {
    let asked = Call::take(&mut state).read::<Template>().await;
    let result = asked.map(|asked| edit::diff(&asked.shared.0.cell.current(), &asked.order));
    Ok((state, reply::json(result)))
}

/// One order on an instance.
type Act = fn(&Snapshot, &id::Instance, &Order, Instant, &mut Draft) -> Result<(), Refusal>;

pub(super) async fn drain(state: State) -> HandlerResult {
    on_instance(state, edit::drain).await
}

pub(super) async fn release(state: State) -> HandlerResult {
    on_instance(state, edit::release).await
}

async fn on_instance(mut state: State, act: Act) -> HandlerResult {
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(order_named(name, call, act).await)))
}

async fn order_named(
    name: Result<id::Instance, Refusal>,
    call: Call,
    act: Act,
) -> Result<Accepted, Refusal> {
    let asked = call.read::<Order>().await?;
    let name = name?;
    let now = asked.shared.0.clock.now();
    let decide =
        |snapshot: &Snapshot, draft: &mut Draft| act(snapshot, &name, &asked.order, now, draft);
    asked.commit(&asked.order.reason, &decide).await
}

pub(super) async fn remove(mut state: State) -> HandlerResult {
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(remove_named(name, call).await)))
}

async fn remove_named(name: Result<id::Entry, Refusal>, call: Call) -> Result<Accepted, Refusal> {
    let asked = call.read::<Order>().await?;
    let name = name?;
    let decide = |_: &Snapshot, draft: &mut Draft| {
        edit::remove(&name, draft);
        Ok(())
    };
    asked.commit(&asked.order.reason, &decide).await
}

pub(super) async fn move_to(mut state: State) -> HandlerResult {
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(moved(name, call).await)))
}

async fn moved(name: Result<id::Instance, Refusal>, call: Call) -> Result<Accepted, Refusal> {
    let asked = call.read::<Move>().await?;
    let name = name?;
    let now = asked.shared.0.clock.now();
    let Move { pool, order } = &asked.order;
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::move_to(snapshot, &name, pool, order, now, draft)
    };
    asked.commit(&order.reason, &decide).await
}
