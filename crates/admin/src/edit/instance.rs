//! Taking an instance out of service and putting it back.

use super::expect_version;
use primroseroute_api::Order;
use primroseroute_domain::{
    id,
    instance::{Purpose, Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_ledger::{Draft, Versioned, key};
use primroseroute_view::Snapshot;

fn find<'a>(snapshot: &'a Snapshot, name: &id::Instance) -> Result<&'a Versioned<Row>, Refusal> {
    snapshot
        .instances()
        .get(name)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("instance {name}")))
}

fn enter(row: &Row, next: State, purpose: Option<Purpose>, now: Instant) -> Result<Row, Refusal> {
    if !row.state.may_become(next) {
        let detail = format!("{} is {} and cannot become {next}", row.id, row.state);
        return Err(Refusal::new(Code::IllegalTransition, detail));
    }
    Ok(Row {
        state: next,
        purpose,
        since: now,
        ..row.clone()
    })
}

/// Lets `name` finish what it has in flight and take nothing new, until it is released.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], [`Code::IllegalTransition`], and
/// [`Code::BudgetForbids`] where its pool would serve less than promised, unless forced.
pub fn drain(
    snapshot: &Snapshot,
    name: &id::Instance,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = find(snapshot, name)?;
    expect_version(Some(found.version), order.if_version)?;
    let row = &found.value;
    if row.state == State::Draining && row.purpose == Some(Purpose::Operator) {
        return Ok(());
    }
    let next = enter(row, State::Draining, Some(Purpose::Operator), now)?;
    if !order.force {
        check_budget(snapshot, row)?;
    }
    draft.put(key::instance(name), Some(found.version), &next);
    Ok(())
}

fn check_budget(snapshot: &Snapshot, row: &Row) -> Result<(), Refusal> {
    let Some(pool) = &row.pool else { return Ok(()) };
    let Some((_, template)) = snapshot
        .pools()
        .find(|(_, template)| template.name == *pool)
    else {
        return Ok(());
    };
    let serving = snapshot
        .members(pool)
        .filter(|member| member.state.takes_requests())
        .count();
    let promised = template.budget.promised as usize;
    if serving <= promised {
        let detail = format!("pool {pool} serves with {serving} instances and promises {promised}");
        return Err(Refusal::new(Code::BudgetForbids, detail));
    }
    Ok(())
}

/// Puts an instance that an operator drained back into service.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], and [`Code::IllegalTransition`] where the
/// instance is not out by an operator's order.
pub fn release(
    snapshot: &Snapshot,
    name: &id::Instance,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = find(snapshot, name)?;
    expect_version(Some(found.version), order.if_version)?;
    let row = &found.value;
    let next = match (row.state, &row.purpose) {
        (State::Serving, _) => return Ok(()),
        (State::Draining, Some(Purpose::Operator)) => enter(row, State::Serving, None, now)?,
        (State::Quarantined, _) => enter(row, State::Probation, None, now)?,
        _ => {
            let detail = format!("{name} is {} and no operator drained it", row.state);
            return Err(Refusal::new(Code::IllegalTransition, detail));
        }
    };
    draft.put(key::instance(name), Some(found.version), &next);
    Ok(())
}
