//! Which instances leave next, given how many may be out.

use super::{
    progress::{Stage, stage},
    row::Row,
};
use crate::{
    budget::{self, Standing},
    state::Fleet,
};
use primroseroute_domain::{id, instance::Row as Instance};
use std::{cmp::Reverse, collections::BTreeMap};

/// An instance that may leave, and how many rounds its pool has before it.
#[derive(Debug)]
struct Candidate<'a> {
    rounds: u32,
    row: &'a Instance,
}

/// The instances to take out next, at most `most`; all of them may be out together.
pub(super) fn select<'a>(fleet: &'a Fleet, wave: &Row, most: u32) -> Vec<&'a Instance> {
    if most == 0 {
        return Vec::new();
    }
    let mut standings = budget::standings(fleet);
    let mut candidates: Vec<_> = pending(fleet, wave)
        .into_iter()
        .flat_map(|(pool, rows)| match pool {
            Some(pool) => of_pool(fleet, pool, &mut standings, rows, most),
            None => spares(rows),
        })
        .collect();
    // The pool with the most rounds before it goes first: it decides when the wave ends.
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
        let can_go = fleet.is_present(row) || fleet.is_spare(row);
        if can_go && wave.order.scope.covers(row) && stage(wave, row) == Stage::Pending {
            pools.entry(row.pool.as_ref()).or_default().push(row);
        }
    }
    pools
}

fn of_pool<'a>(
    fleet: &Fleet,
    pool: &id::Pool,
    standings: &mut BTreeMap<id::Pool, Standing>,
    rows: Vec<&'a Instance>,
    most: u32,
) -> Vec<Candidate<'a>> {
    let waiting = count(rows.len());
    let (Some(standing), Some(budget)) = (standings.get_mut(pool), fleet.budgets.get(pool)) else {
        // No template names the pool, so nothing is promised on it.
        return spares(rows);
    };
    let room = budget.max_absent.max(1);
    let taken = budget::take(standing, budget, rows, most);
    let candidates = taken
        .into_iter()
        .zip(0_u32..)
        .map(|(row, before)| Candidate {
            rounds: (waiting - before).div_ceil(room),
            row,
        });
    candidates.collect()
}

/// Instances that no budget holds go last, and all at once if they may.
fn spares(rows: Vec<&Instance>) -> Vec<Candidate<'_>> {
    let candidate = |row| Candidate { rounds: 0, row };
    rows.into_iter().map(candidate).collect()
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
