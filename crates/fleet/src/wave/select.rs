//! Selection of the next instances to take out.

use super::{
    progress::{Stage, stage},
    row::Row,
};
use crate::{
    budget::{self, Availability},
    state::Fleet,
};
use primroseroute_domain::{id, instance::Row as Instance};
use std::{cmp::Reverse, collections::BTreeMap};

/// An instance that may leave, and the number of rounds that its pool still needs.
#[derive(Debug)]
struct Candidate<'a> {
    rounds: u32,
    row: &'a Instance,
}

/// The next instances to take out, at most `most`; all of them may be out together.
pub(super) fn select<'a>(fleet: &'a Fleet, wave: &Row, most: u32) -> Vec<&'a Instance> {
    if most == 0 {
        return Vec::new();
    }
    let mut availability_by_pool = budget::availability_by_pool(fleet);
    let mut candidates: Vec<_> = pending(fleet, wave)
        .into_iter()
        .flat_map(|(pool, rows)| match pool {
            Some(pool) => pool_candidates(fleet, pool, &mut availability_by_pool, rows, most),
            None => unrestricted(rows),
        })
        .collect();
    // The pool with the most rounds left goes first, since it determines the end of the wave.
    candidates.sort_by_key(|candidate| Reverse(candidate.rounds));
    candidates.truncate(most as usize);
    candidates
        .into_iter()
        .map(|candidate| candidate.row)
        .collect()
}

fn pending<'a>(fleet: &'a Fleet, wave: &Row) -> BTreeMap<Option<&'a id::Pool>, Vec<&'a Instance>> {
    let mut pools: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for row in fleet.rows.values() {
        let is_available = fleet.is_present(row) || fleet.is_spare(row);
        if is_available && wave.order.scope.covers(row) && stage(wave, row) == Stage::Pending {
            pools.entry(row.pool.as_ref()).or_default().push(row);
        }
    }
    pools
}

fn pool_candidates<'a>(
    fleet: &Fleet,
    pool: &id::Pool,
    availability_by_pool: &mut BTreeMap<id::Pool, Availability>,
    rows: Vec<&'a Instance>,
    most: u32,
) -> Vec<Candidate<'a>> {
    let waiting = saturating_u32(rows.len());
    let (Some(availability), Some(budget)) =
        (availability_by_pool.get_mut(pool), fleet.budgets.get(pool))
    else {
        // No template names the pool, so it has no budget.
        return unrestricted(rows);
    };
    let per_round = budget.max_absent.max(1);
    let taken = budget::select_disruptions(availability, budget, rows, most);
    let candidates = taken
        .into_iter()
        .zip(0_u32..)
        .map(|(row, before)| Candidate {
            rounds: (waiting - before).div_ceil(per_round),
            row,
        });
    candidates.collect()
}

/// Candidates that no budget restricts; they go last, and all at once if the limit allows.
fn unrestricted(rows: Vec<&Instance>) -> Vec<Candidate<'_>> {
    let candidate = |row| Candidate { rounds: 0, row };
    rows.into_iter().map(candidate).collect()
}

fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
