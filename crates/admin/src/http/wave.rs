//! Reads and changes of waves.

use super::{
    Shared, reply,
    router::name_in_path,
    write::{IncomingRequest, OperatorRequest},
};
use crate::edit;
use gotham::{handler::HandlerResult, state::State};
use primroseroute_api::{Accepted, Order, Start, Wave};
use primroseroute_domain::{id, outcome::Refusal};
use primroseroute_fleet::wave::{self, Command, Plan, progress};
use primroseroute_ledger::Draft;
use primroseroute_view::Snapshot;

pub(super) fn list(shared: &Shared, _state: &State) -> Result<Vec<Wave>, Refusal> {
    let components = &shared.0;
    let snapshot = components.cell.current();
    let fleet = edit::fleet(&snapshot);
    let now = components.clock.now();
    let waves = edit::waves(&snapshot)?.into_values().map(|row| {
        let progress = progress(&fleet, &row.value);
        let until = row.value.ended.unwrap_or(now);
        Wave {
            rate: progress.rate(&row.value, until),
            ends: row.value.ended.or_else(|| progress.end(&row.value, now)),
            progress,
            row,
        }
    });
    Ok(waves.collect())
}

pub(super) async fn plan(mut state: State) -> HandlerResult {
    let request = IncomingRequest::take(&mut state)
        .read::<wave::Order>()
        .await;
    let result = request.and_then(|request| -> Result<Plan, Refusal> {
        let components = &request.shared.0;
        edit::plan(
            &components.cell.current(),
            components.weights,
            &request.order,
            components.clock.now(),
        )
    });
    Ok((state, reply::json(result)))
}

pub(super) async fn start(mut state: State) -> HandlerResult {
    let incoming = IncomingRequest::take(&mut state);
    Ok((state, reply::json(start_wave(incoming).await)))
}

async fn start_wave(incoming: IncomingRequest) -> Result<Accepted, Refusal> {
    let request = incoming.read::<Start>().await?;
    let components = &request.shared.0;
    let now = components.clock.now();
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::start(
            snapshot,
            components.weights,
            &request.order.order,
            now,
            draft,
        )
    };
    request.commit(&request.order.reason, &decide).await
}

pub(super) async fn pause(state: State) -> HandlerResult {
    command(state, Command::Pause).await
}

pub(super) async fn resume(state: State) -> HandlerResult {
    command(state, Command::Resume).await
}

pub(super) async fn abort(state: State) -> HandlerResult {
    command(state, Command::Abort).await
}

async fn command(mut state: State, command: Command) -> HandlerResult {
    let name = name_in_path(&state);
    let incoming = IncomingRequest::take(&mut state);
    Ok((
        state,
        reply::json(command_wave(name, incoming, command).await),
    ))
}

async fn command_wave(
    name: Result<id::Wave, Refusal>,
    incoming: IncomingRequest,
    command: Command,
) -> Result<Accepted, Refusal> {
    let request: OperatorRequest<Order> = incoming.read().await?;
    let name = name?;
    let now = request.shared.0.clock.now();
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::command(snapshot, &name, command, &request.order, now, draft)
    };
    request.commit(&request.order.reason, &decide).await
}
