//! Ordering of moves so that budgets hold, and selection of the moves that may begin now.

use super::{Move, Plan, assignment::Assignment};
use crate::{
    budget::{self, Standing},
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
    let mut standings = budget::standings(fleet);
    for step in &moves {
        join(&mut standings, &step.to, &fleet.rows[&step.instance]);
    }
    while let Some(index) = waiting
        .iter()
        .position(|step| may_leave(fleet, &standings, step))
    {
        let step = waiting.remove(index);
        let row = &fleet.rows[&step.instance];
        if let Some(standing) = step.from.as_ref().and_then(|from| standings.get_mut(from)) {
            standing.leave(row);
        }
        join(&mut standings, &step.to, row);
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

fn join(standings: &mut BTreeMap<id::Pool, Standing>, pool: &id::Pool, row: &Row) {
    standings.entry(pool.clone()).or_default().join(row);
}

fn may_leave(fleet: &Fleet, standings: &BTreeMap<id::Pool, Standing>, step: &Move) -> bool {
    let row = &fleet.rows[&step.instance];
    let Some(from) = &step.from else { return true };
    match (standings.get(from), fleet.budgets.get(from)) {
        (Some(standing), Some(budget)) => standing.may_leave(row, budget).is_ok(),
        // A pool that no template names has no budget.
        _ => true,
    }
}

/// New rows for all moves of `plan` that may begin together now.
pub fn start(fleet: &Fleet, plan: &Plan, now: Instant) -> Vec<Row> {
    let mut standings = budget::standings(fleet);
    let mut rows = Vec::new();
    for step in &plan.moves {
        let Some(row) = fleet.rows.get(&step.instance) else {
            continue;
        };
        let begun = match &step.from {
            None => lifecycle::assign(row, &step.to),
            Some(_) if !may_leave(fleet, &standings, step) => continue,
            Some(_) => lifecycle::drain(row, Purpose::Move(step.to.clone()), now),
        };
        let Ok(begun) = begun else { continue };
        if let Some(standing) = step.from.as_ref().and_then(|from| standings.get_mut(from)) {
            standing.take_out(row);
        }
        rows.push(begun);
    }
    rows
}
