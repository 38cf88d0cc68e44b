//! Waves over HTTP.

use super::{
    Shared, reply,
    router::named,
    write::{Asked, Call},
};
use crate::edit;
use gotham::{handler::HandlerResult, state::State};
use primroseroute_api::{Accepted, Order, Start, Wave};
use primroseroute_domain::{id, outcome::Refusal};
use primroseroute_fleet::wave::{self, Command, Plan, progress};
use primroseroute_ledger::Draft;
use primroseroute_view::Snapshot;

pub(super) fn list(shared: &Shared, _state: &State) -> Result<Vec<Wave>, Refusal> {
    let parts = &shared.0;
    let snapshot = parts.cell.current();
    let fleet = edit::fleet(&snapshot);
    let now = parts.clock.now();
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
    let asked = Call::take(&mut state).read::<wave::Order>().await;
    let result = asked.and_then(|asked| -> Result<Plan, Refusal> {
        let parts = &asked.shared.0;
        edit::plan(
            &parts.cell.current(),
            parts.weights,
            &asked.order,
            parts.clock.now(),
        )
    });
    Ok((state, reply::json(result)))
}

pub(super) async fn start(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    Ok((state, reply::json(started(call).await)))
}

async fn started(call: Call) -> Result<Accepted, Refusal> {
    let asked = call.read::<Start>().await?;
    let parts = &asked.shared.0;
    let now = parts.clock.now();
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::start(snapshot, parts.weights, &asked.order.order, now, draft)
    };
    asked.commit(&asked.order.reason, &decide).await
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
    let name = named(&state);
    let call = Call::take(&mut state);
    Ok((state, reply::json(commanded(name, call, command).await)))
}

async fn commanded(
    name: Result<id::Wave, Refusal>,
    call: Call,
    command: Command,
) -> Result<Accepted, Refusal> {
    let asked: Asked<Order> = call.read().await?;
    let name = name?;
    let now = asked.shared.0.clock.now();
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        edit::command(snapshot, &name, command, &asked.order, now, draft)
    };
    asked.commit(&asked.order.reason, &decide).await
}
