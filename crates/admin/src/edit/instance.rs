//! Operators' orders to one instance, within its pool's availability budget.

use super::{expect_version, fleet};
use primroseroute_api::Order;
use primroseroute_domain::{
    id,
    instance::{Purpose, Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_fleet::lifecycle;
use primroseroute_ledger::{Draft, Versioned, key};
use primroseroute_view::Snapshot;

fn find<'a>(
    snapshot: &'a Snapshot,
    name: &id::Instance,
    order: &Order,
) -> Result<&'a Versioned<Row>, Refusal> {
    let found = snapshot.instances().get(name);
    let found = found.ok_or_else(|| Refusal::new(Code::NotFound, format!("instance {name}")))?;
    expect_version(Some(found.version), order.if_version)?;
    Ok(found)
}

fn put(found: &Versioned<Row>, next: &Row, draft: &mut Draft) {
    draft.put(key::instance(&next.id), Some(found.version), next);
}

/// Drains `name`: it finishes its requests in flight and gets no new ones until it is released.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], [`Code::IllegalTransition`], and
/// [`Code::BudgetForbids`] if its pool's budget does not permit it, unless forced.
pub fn drain(
    snapshot: &Snapshot,
    name: &id::Instance,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = find(snapshot, name, order)?;
    let row = &found.value;
    if row.state == State::Draining && row.purpose == Some(Purpose::Operator) {
        return Ok(());
    }
    let next = if order.force {
        lifecycle::drain(row, Purpose::Operator, now)?
    } else {
        lifecycle::apply_command(&fleet(snapshot), name, &lifecycle::Command::Drain, now)?
    };
    put(found, &next, draft);
    Ok(())
}

/// Puts a drained instance back into service, or a quarantined one back into probation.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], and [`Code::IllegalTransition`] if it is neither
/// draining nor quarantined, or the platform is withdrawing it.
pub fn release(
    snapshot: &Snapshot,
    name: &id::Instance,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = find(snapshot, name, order)?;
    if found.value.state == State::Serving {
        return Ok(());
    }
    let next = lifecycle::apply_command(&fleet(snapshot), name, &lifecycle::Command::Release, now)?;
    put(found, &next, draft);
    Ok(())
}

/// Moves `name` to `pool`: it drains first, and serves there once every entry has acknowledged.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], [`Code::IllegalTransition`], and
/// [`Code::BudgetForbids`] if the budget of its current pool does not permit it.
pub fn move_to(
    snapshot: &Snapshot,
    name: &id::Instance,
    pool: &id::Pool,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = find(snapshot, name, order)?;
    let command = lifecycle::Command::Move(pool.clone());
    let next = lifecycle::apply_command(&fleet(snapshot), name, &command, now)?;
    put(found, &next, draft);
    Ok(())
}
