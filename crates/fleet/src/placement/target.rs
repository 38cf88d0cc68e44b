//! Target size of a pool.

use super::Weights;
use primroseroute_domain::account::{Budget, Survive};

/// Target size of a pool and its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Total number of members.
    pub members: u32,
    /// Members that planned work may take out at a time without breaking the promise.
    pub headroom: u32,
    /// Members lost with the worst failure domain if the pool is spread as well as the fleet
    /// allows.
    pub worst_loss: u32,
}

/// The target of a pool with `budget` in a fleet whose racks and zones have these capacities.
///
/// The headroom is the number of members out at a time, from 1 to `max_absent`, that minimizes
/// `buffer * headroom + rollout * rounds`, where a wave over the pool takes `members / headroom`
/// rounds. Zero is never chosen: every wave would have to borrow a spare for each pool in turn,
/// which costs a move for each and takes as many rounds as the fleet has instances.
pub fn target(budget: &Budget, weights: Weights, racks: &[u32], zones: &[u32]) -> Target {
    let domains = match budget.survive {
        Survive::Nothing => &[],
        Survive::Rack => racks,
        Survive::Zone => zones,
    };
    let kept = members_kept(budget.promised, domains);
    let worst_loss = kept - budget.promised;
    let headrooms = 1..=budget.max_absent.max(1);
    let cost = |headroom: u32| {
        let rounds = u64::from((kept + headroom).div_ceil(headroom));
        u64::from(weights.buffer) * u64::from(headroom) + u64::from(weights.rollout) * rounds
    };
    let headroom = headrooms
        .min_by_key(|headroom| cost(*headroom))
        .unwrap_or(1);
    Target {
        members: kept + headroom,
        headroom,
        worst_loss,
    }
}

/// The fewest members of which `promised` are left after the loss of the worst of `domains`.
///
/// Tries up to twice `promised`. If none suffices, the result is `promised` itself: no assignment
/// in this fleet meets the promise, and a pool that asks for more than it can get leaves the rest
/// to other pools.
fn members_kept(promised: u32, domains: &[u32]) -> u32 {
    if domains.is_empty() {
        return promised;
    }
    (promised..=promised.saturating_mul(2))
        .find(|members| {
            least_largest(*members, domains).is_some_and(|lost| members - lost >= promised)
        })
        .unwrap_or(promised)
}

/// The smallest possible largest count when `members` are spread over domains of these capacities.
fn least_largest(members: u32, domains: &[u32]) -> Option<u32> {
    (0..=members).find(|largest| {
        let held: u32 = domains.iter().map(|capacity| capacity.min(largest)).sum();
        held >= members
    })
}
