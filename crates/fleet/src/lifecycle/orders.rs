//! Orders: what operators and planned work do to one instance, with what forbids it.

use super::enter;
use crate::{
    budget::{self, Standing},
    state::Fleet,
};
use primroseroute_domain::{
    id,
    instance::{Purpose, Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};

/// What an operator orders for one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Take it out of its pool until it is released.
    Drain,
    /// Move it to another pool.
    Move(id::Pool),
    /// Give a spare instance its first pool.
    Assign(id::Pool),
    /// Let it serve again, or check it again.
    Release,
    /// Put it out of use until it is released.
    Quarantine,
}

/// The row of `instance` after `order`, if nothing forbids it.
///
/// # Errors
/// [`Code::NotFound`] for an unknown instance or pool, [`Code::IllegalTransition`] where the state
/// does not allow it, [`Code::BudgetForbids`] where the pool's budget does not.
pub fn order(
    fleet: &Fleet,
    instance: &id::Instance,
    order: &Order,
    now: Instant,
) -> Result<Row, Refusal> {
    let row = fleet
        .rows
        .get(instance)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("no instance `{instance}`")))?;
    match order {
        Order::Drain => drain_within(fleet, row, Purpose::Operator, now),
        Order::Move(pool) => move_to(fleet, row, pool, now),
        Order::Assign(pool) => {
            known(fleet, pool)?;
            assign(row, pool)
        }
        Order::Release => release(row, now),
        Order::Quarantine => quarantine(fleet, row, now),
    }
}

fn illegal(row: &Row, wanted: &str) -> Refusal {
    let detail = format!("`{}` is {} and cannot be {wanted}", row.id, row.state);
    Refusal::new(Code::IllegalTransition, detail)
}

fn known(fleet: &Fleet, pool: &id::Pool) -> Result<(), Refusal> {
    if fleet.budgets.contains_key(pool) {
        return Ok(());
    }
    Err(Refusal::new(Code::NotFound, format!("no pool `{pool}`")))
}

fn move_to(fleet: &Fleet, row: &Row, pool: &id::Pool, now: Instant) -> Result<Row, Refusal> {
    known(fleet, pool)?;
    if row.pool.as_ref() == Some(pool) {
        return Err(illegal(row, &format!("moved to `{pool}`, its own pool")));
    }
    drain_within(fleet, row, Purpose::Move(pool.clone()), now)
}

fn drain_within(fleet: &Fleet, row: &Row, purpose: Purpose, now: Instant) -> Result<Row, Refusal> {
    let drained = drain(row, purpose, now)?;
    allowed(fleet, row)?;
    Ok(drained)
}

/// Whether the budget of `row`'s pool lets it leave.
fn allowed(fleet: &Fleet, row: &Row) -> Result<(), Refusal> {
    let Some(pool) = &row.pool else { return Ok(()) };
    let Some(budget) = fleet.budgets.get(pool) else {
        return Ok(());
    };
    let standing = budget::standings(fleet).remove(pool).unwrap_or_default();
    let verdict = if fleet.is_present(row) {
        standing.may_leave(row, budget)
    } else {
        absent_may_leave(&standing, budget)
    };
    verdict.map_err(|why| Refusal::new(Code::BudgetForbids, format!("pool `{pool}`: {why}")))
}

/// An absent instance takes no capacity with it, so only the count of planned absences limits it;
/// the margin must hold all the same, or planned work would go on in a pool below its promise.
fn absent_may_leave(
    standing: &Standing,
    budget: &primroseroute_domain::account::Budget,
) -> Result<(), budget::Forbidden> {
    if standing.planned() >= budget.max_absent {
        return Err(budget::Forbidden::MaxAbsent {
            absent: standing.planned(),
            max_absent: budget.max_absent,
        });
    }
    if standing.deficit(budget) > 0 {
        return Err(budget::Forbidden::Promise {
            left: standing.left(budget.survive),
            promised: budget.promised,
            domain: budget::Domain(budget.survive),
        });
    }
    Ok(())
}

/// `row` draining for `purpose`; budgets are the caller's to hold.
///
/// # Errors
/// [`Code::IllegalTransition`] where it does not serve.
pub fn drain(row: &Row, purpose: Purpose, now: Instant) -> Result<Row, Refusal> {
    if row.state != State::Serving {
        return Err(illegal(row, "drained"));
    }
    Ok(Row {
        purpose: Some(purpose),
        ..enter(row, State::Draining, now)
    })
}

/// `row` serving again in the pool that it was draining from.
///
/// It is safe at any moment of a drain, since the pool has not changed.
///
/// # Errors
/// [`Code::IllegalTransition`] where it does not drain, or the platform takes it away.
pub fn undrain(row: &Row, now: Instant) -> Result<Row, Refusal> {
    if row.state != State::Draining || row.purpose == Some(Purpose::Leave) {
        return Err(illegal(row, "released"));
    }
    Ok(Row {
        purpose: None,
        ..enter(row, State::Serving, now)
    })
}

/// The spare `row` with its first pool; it serves as soon as its checks are good.
///
/// # Errors
/// [`Code::IllegalTransition`] where it is not a spare: in probation and in no pool.
pub fn assign(row: &Row, pool: &id::Pool) -> Result<Row, Refusal> {
    if row.pool.is_some() || row.state != State::Probation {
        return Err(illegal(row, &format!("given to `{pool}`")));
    }
    Ok(Row {
        pool: Some(pool.clone()),
        ..row.clone()
    })
}

fn release(row: &Row, now: Instant) -> Result<Row, Refusal> {
    if row.state == State::Quarantined {
        return Ok(Row {
            purpose: None,
            ..enter(row, State::Probation, now)
        });
    }
    undrain(row, now)
}

fn quarantine(fleet: &Fleet, row: &Row, now: Instant) -> Result<Row, Refusal> {
    if !row.state.may_become(State::Quarantined) {
        return Err(illegal(row, "quarantined"));
    }
    // An instance that does not serve is lost already: the order records it and breaks nothing.
    let is_lost = row.state == State::Serving && fleet.absent.contains(&row.id);
    if row.state == State::Serving && !is_lost {
        allowed(fleet, row)?;
    }
    let purpose = if is_lost {
        None
    } else {
        Some(Purpose::Operator)
    };
    Ok(Row {
        purpose,
        ..enter(row, State::Quarantined, now)
    })
}
