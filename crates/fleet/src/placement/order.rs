//! From a board to an ordered plan, and from a plan to the steps that may begin now.

use super::{Move, Plan, board::Board};
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

/// The moves of `board` in an order in which every budget holds at each step.
pub(super) fn order(fleet: &Fleet, board: &Board) -> Plan {
    let (mut moves, mut waiting): (Vec<_>, Vec<_>) =
        changes(fleet, board).partition(|step| step.from.is_none());
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
        unmet: unmet(board),
        held_back: waiting.len(),
        score: board.score(),
    }
}

fn changes<'a>(fleet: &'a Fleet, board: &'a Board) -> impl Iterator<Item = Move> + 'a {
    board.pieces.iter().filter_map(move |piece| {
        let to = piece.place.filter(|place| piece.origin != Some(*place))?;
        Some(Move {
            instance: piece.id.clone(),
            // The row's pool, also where no template names it any more: leaving it takes a drain.
            from: fleet.rows[&piece.id].pool.clone(),
            to: board.pools[to].clone(),
        })
    })
}

fn unmet(board: &Board) -> BTreeMap<id::Pool, u32> {
    let sides = board.pools.iter().zip(&board.sides);
    sides
        .map(|(pool, side)| (pool.clone(), side.unmet()))
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
        // A pool that no template names promises nothing.
        _ => true,
    }
}

/// The rows of the moves of `plan` that may begin now, all together.
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
