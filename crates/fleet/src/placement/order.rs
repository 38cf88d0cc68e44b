//! Ordering of moves so that budgets hold, and selection of the moves that may begin now.

use super::{Move, Plan, assignment::Assignment};
use crate::{
    budget::{self, Availability},
    lifecycle,
    state::Fleet,
};
use primroseroute_domain::{
    id,
    instance::{Purpose, Row},
    time::Instant,
};
use std::collections::BTreeMap;

/// Plan with the moves of `assignment`, in an order in which every budget holds at each step.
pub(super) fn ordered_plan(fleet: &Fleet, assignment: &Assignment) -> Plan {
    let (mut moves, mut waiting): (Vec<_>, Vec<_>) =
        changes(fleet, assignment).partition(|step| step.from.is_none());
    let mut availability_by_pool = budget::availability_by_pool(fleet);
    for step in &moves {
        join(
            &mut availability_by_pool,
            &step.to,
            &fleet.rows[&step.instance],
        );
    }
    while let Some(index) = waiting
        .iter()
        .position(|step| may_leave(fleet, &availability_by_pool, step))
    {
        let step = waiting.remove(index);
        let row = &fleet.rows[&step.instance];
        if let Some(availability) = step
            .from
            .as_ref()
            .and_then(|from| availability_by_pool.get_mut(from))
        {
            availability.remove_member(row);
        }
        join(&mut availability_by_pool, &step.to, row);
        moves.push(step);
    }
    Plan {
        moves,
        unmet: unmet(assignment),
        held_back: waiting.len(),
        score: assignment.score(),
    }
}

fn changes<'a>(fleet: &'a Fleet, assignment: &'a Assignment) -> impl Iterator<Item = Move> + 'a {
    assignment.instances.iter().filter_map(move |instance| {
        let to = instance
            .assigned_pool
            .filter(|assigned_pool| instance.original_pool != Some(*assigned_pool))?;
        Some(Move {
            instance: instance.id.clone(),
            // The row's pool, even if no template names it any more: leaving it requires a drain.
            from: fleet.rows[&instance.id].pool.clone(),
            to: assignment.pool_ids[to].clone(),
        })
    })
}

fn unmet(assignment: &Assignment) -> BTreeMap<id::Pool, u32> {
    let pools = assignment.pool_ids.iter().zip(&assignment.pools);
    pools
        .map(|(pool, pool_state)| (pool.clone(), pool_state.unmet()))
        .filter(|(_, unmet)| *unmet > 0)
        .collect()
}

fn join(availability_by_pool: &mut BTreeMap<id::Pool, Availability>, pool: &id::Pool, row: &Row) {
    availability_by_pool
        .entry(pool.clone())
        .or_default()
        .add_member(row);
}

fn may_leave(
    fleet: &Fleet,
    availability_by_pool: &BTreeMap<id::Pool, Availability>,
    step: &Move,
) -> bool {
    let row = &fleet.rows[&step.instance];
    let Some(from) = &step.from else { return true };
    match (availability_by_pool.get(from), fleet.budgets.get(from)) {
        (Some(availability), Some(budget)) => availability.check_disruption(row, budget).is_ok(),
        // A pool that no template names has no budget.
        _ => true,
    }
}

/// New rows for all moves of `plan` that may begin together now.
pub fn start_moves(fleet: &Fleet, plan: &Plan, now: Instant) -> Vec<Row> {
    let mut availability_by_pool = budget::availability_by_pool(fleet);
    let mut rows = Vec::new();
    for step in &plan.moves {
        let Some(row) = fleet.rows.get(&step.instance) else {
            continue;
        };
        let begun = match &step.from {
            None => lifecycle::assign(row, &step.to),
            Some(_) if !may_leave(fleet, &availability_by_pool, step) => continue,
            Some(_) => lifecycle::drain(row, Purpose::Move(step.to.clone()), now),
        };
        let Ok(begun) = begun else { continue };
        if let Some(availability) = step
            .from
            .as_ref()
            .and_then(|from| availability_by_pool.get_mut(from))
        {
            availability.start_disruption(row);
        }
        rows.push(begun);
    }
    rows
}
