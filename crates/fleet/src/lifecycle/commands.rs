//! Commands of operators and planned work to one instance, and the conditions that refuse them.

use super::transition;
use crate::{
    budget::{self, Availability},
    state::Fleet,
};
use primroseroute_domain::{
    id,
    instance::{Purpose, Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};

/// An operator's command to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Take the instance out of its pool until it is released.
    Drain,
    /// Move the instance to another pool.
    Move(id::Pool),
    /// Assign a spare to its first pool.
    Assign(id::Pool),
    /// Return the instance to serving from a drain, or to probation from quarantine.
    Release,
    /// Take the instance out of use until it is released.
    Quarantine,
}

/// The row of `instance` after `command`.
///
/// # Errors
/// [`Code::NotFound`] for an unknown instance or pool, [`Code::IllegalTransition`] if the state
/// does not allow the command, [`Code::BudgetForbids`] if the pool's budget does not.
pub fn apply_command(
    fleet: &Fleet,
    instance: &id::Instance,
    command: &Command,
    now: Instant,
) -> Result<Row, Refusal> {
    let row = fleet
        .rows
        .get(instance)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("no instance `{instance}`")))?;
    match command {
        Command::Drain => drain_within_budget(fleet, row, Purpose::Operator, now),
        Command::Move(pool) => move_to(fleet, row, pool, now),
        Command::Assign(pool) => {
            require_pool(fleet, pool)?;
            assign(row, pool)
        }
        Command::Release => release(row, now),
        Command::Quarantine => quarantine(fleet, row, now),
    }
}

fn illegal(row: &Row, wanted: &str) -> Refusal {
    let detail = format!("`{}` is {} and cannot be {wanted}", row.id, row.state);
    Refusal::new(Code::IllegalTransition, detail)
}

fn require_pool(fleet: &Fleet, pool: &id::Pool) -> Result<(), Refusal> {
    if fleet.budgets.contains_key(pool) {
        return Ok(());
    }
    Err(Refusal::new(Code::NotFound, format!("no pool `{pool}`")))
}

fn move_to(fleet: &Fleet, row: &Row, pool: &id::Pool, now: Instant) -> Result<Row, Refusal> {
    require_pool(fleet, pool)?;
    if row.pool.as_ref() == Some(pool) {
        return Err(illegal(row, &format!("moved to `{pool}`, its own pool")));
    }
    drain_within_budget(fleet, row, Purpose::Move(pool.clone()), now)
}

fn drain_within_budget(
    fleet: &Fleet,
    row: &Row,
    purpose: Purpose,
    now: Instant,
) -> Result<Row, Refusal> {
    let drained = drain(row, purpose, now)?;
    check_budget(fleet, row)?;
    Ok(drained)
}

/// Checks that the budget of `row`'s pool allows it to leave.
fn check_budget(fleet: &Fleet, row: &Row) -> Result<(), Refusal> {
    let Some(pool) = &row.pool else { return Ok(()) };
    let Some(budget) = fleet.budgets.get(pool) else {
        return Ok(());
    };
    let availability = budget::availability_by_pool(fleet)
        .remove(pool)
        .unwrap_or_default();
    let verdict = if fleet.is_present(row) {
        availability.check_disruption(row, budget)
    } else {
        check_budget_of_absent(&availability, budget)
    };
    verdict.map_err(|why| Refusal::new(Code::BudgetForbids, format!("pool `{pool}`: {why}")))
}

/// Checks the budget for an instance that is already absent.
///
/// It takes no capacity with it, so only the number of planned absences limits it. The margin must
/// hold nevertheless, or planned work would continue in a pool below its promise.
fn check_budget_of_absent(
    availability: &Availability,
    budget: &primroseroute_domain::account::Budget,
) -> Result<(), budget::BudgetViolation> {
    if availability.planned_absent() >= budget.max_absent {
        return Err(budget::BudgetViolation::MaxAbsent {
            absent: availability.planned_absent(),
            max_absent: budget.max_absent,
        });
    }
    if availability.deficit(budget) > 0 {
        return Err(budget::BudgetViolation::Promise {
            left: availability.survivors(budget.survive),
            promised: budget.promised,
            domain: budget::Domain(budget.survive),
        });
    }
    Ok(())
}

/// `row` draining for `purpose`. The caller must check the budget.
///
/// # Errors
/// [`Code::IllegalTransition`] if the instance is not serving.
pub fn drain(row: &Row, purpose: Purpose, now: Instant) -> Result<Row, Refusal> {
    if row.state != State::Serving {
        return Err(illegal(row, "drained"));
    }
    Ok(Row {
        purpose: Some(purpose),
        ..transition(row, State::Draining, now)
    })
}

/// `row` serving again in the pool that it was draining from.
///
/// This is safe at any point of a drain, since the pool has not changed.
///
/// # Errors
/// [`Code::IllegalTransition`] if the instance is not draining or the platform is removing it.
pub fn undrain(row: &Row, now: Instant) -> Result<Row, Refusal> {
    if row.state != State::Draining || row.purpose == Some(Purpose::Leave) {
        return Err(illegal(row, "released"));
    }
    Ok(Row {
        purpose: None,
        ..transition(row, State::Serving, now)
    })
}

/// The spare `row` assigned to its first pool; it serves once its health checks pass.
///
/// # Errors
/// [`Code::IllegalTransition`] if the instance is not a spare, that is, in probation and in no
/// pool.
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
            ..transition(row, State::Probation, now)
        });
    }
    undrain(row, now)
}

fn quarantine(fleet: &Fleet, row: &Row, now: Instant) -> Result<Row, Refusal> {
    if !row.state.may_become(State::Quarantined) {
        return Err(illegal(row, "quarantined"));
    }
    // An instance that does not serve is lost already: quarantine only records the loss.
    let is_lost = row.state == State::Serving && fleet.absent.contains(&row.id);
    if row.state == State::Serving && !is_lost {
        check_budget(fleet, row)?;
    }
    let purpose = if is_lost {
        None
    } else {
        Some(Purpose::Operator)
    };
    Ok(Row {
        purpose,
        ..transition(row, State::Quarantined, now)
    })
}
