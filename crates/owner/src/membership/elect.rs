//! Which entry takes over a pool without an owner, and which pool is released to a stronger entry.
//!
//! Every entry computes the same result from the same rows, so that usually only one of them tries;
//! where views differ, the condition on the owner's row decides.

use primroseroute_cell::row::hash;
use primroseroute_domain::work::Name;
use std::collections::{BTreeMap, BTreeSet};

/// CPU that an entry can spend on a pool at its peak beside the other pools that it owns, in
/// thousandths of a core.
///
/// Pools seldom peak together, so that an entry with four of them has more than a quarter for each:
/// the square root stands for the peaks that coincide.
fn cpu_share(strength: u32, pools: usize) -> u64 {
    let squared = u64::from(strength) * u64::from(strength);
    (squared / (pools as u64).max(1)).isqrt()
}

/// Minimum number of candidates, if there are as many entries.
const MIN_CANDIDATES: usize = 16;

/// What a new candidate counts for, in percent of its strength: it may take a pool over seconds later
/// than one that was a candidate before, but that one may own several by then.
const NEW_CANDIDATE_PERCENT: u32 = 66;

/// Maximum number of candidates beyond one for each pool and group. The number lost at once depends
/// on what fails, and not on the number of pools.
const MAX_SPARE_CANDIDATES: usize = 32;

/// Number of candidates: twice as many as there are pools and groups, as far as spares are needed.
pub fn candidate_count(pools_and_groups: usize) -> usize {
    let spare = pools_and_groups.min(MAX_SPARE_CANDIDATES);
    MIN_CANDIDATES.max(pools_and_groups + spare)
}

/// The entries in the order of their strength.
pub(crate) fn ranked(entries: &BTreeMap<Name, u32>) -> Vec<&Name> {
    let mut ranked: Vec<(&Name, u32)> = entries
        .iter()
        .map(|(entry, strength)| (entry, *strength))
        .collect();
    ranked.sort_by_key(|(entry, strength)| (std::cmp::Reverse(*strength), hash(entry)));
    ranked.into_iter().map(|(entry, _strength)| entry).collect()
}

/// Of the entries that can take pools and groups over, those that do: the strongest.
///
/// Candidates follow each other's heartbeats continuously, which costs each of them the updates of
/// all the others. If every entry did so, the cost would grow with the square of their number.
pub fn candidates(eligible: &BTreeMap<Name, u32>, pools_and_groups: usize) -> BTreeMap<Name, u32> {
    let chosen = ranked(eligible)
        .into_iter()
        .take(candidate_count(pools_and_groups));
    chosen
        .map(|entry| (Name::clone(entry), eligible[entry]))
        .collect()
}

/// The entries among which pools and groups without an owner are assigned, with what each counts
/// for.
///
/// `eligible` are the entries that can take something over now, and `recent` also those that could a
/// few seconds ago. An entry that was a candidate then reads heartbeats all the time and acts at
/// once; one that replaces a candidate which has just died may not know of the death yet, and counts
/// for less. `passed_over` are entries that recently didn't take over what was assigned to them; they
/// are left out unless nobody would remain.
pub fn assignable(
    eligible: &BTreeMap<Name, u32>,
    recent: &BTreeMap<Name, u32>,
    passed_over: &BTreeSet<Name>,
    pools_and_groups: usize,
) -> BTreeMap<Name, u32> {
    let mut acting = eligible.clone();
    acting.retain(|entry, _strength| !passed_over.contains(entry));
    if acting.is_empty() {
        acting.clone_from(eligible);
    }
    let before = candidates(recent, pools_and_groups);
    let mut assignable = candidates(&acting, pools_and_groups);
    for (entry, strength) in &mut assignable {
        if !before.contains_key(entry) {
            *strength = *strength * NEW_CANDIDATE_PERCENT / 100;
        }
    }
    assignable
}

/// How many times a pool's CPU share another entry must offer for the pool to move there: a
/// takeover holds up the pool's jobs for a few tenths of a second. Among equal entries, one that
/// owns three pools keeps them.
const RELEASE_FACTOR: u64 = 2;

/// The entry for each pool without an owner: the one that had it last, if it is back; otherwise the
/// one with the most CPU for it, and among equals the one that a hash of both names picks, so that
/// entries share pools evenly. `eligible` holds the strength of each entry, in thousandths of a core.
///
/// An entry that gets back what it had needn't wait for others: neither for their heartbeats, nor
/// for the minimum time between the orders of two holders. And a pool at its peak starts hundreds
/// of tasks a second, which is too much for an eighth of a core but not for half a core.
pub fn assign(
    free: &BTreeMap<Name, Option<Name>>,
    owned: &BTreeMap<Name, usize>,
    eligible: &BTreeMap<Name, u32>,
) -> BTreeMap<Name, Name> {
    let mut counts: BTreeMap<&Name, usize> = eligible
        .keys()
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let mut assigned = BTreeMap::new();
    for (pool, last) in free {
        let back = last.as_ref().filter(|last| counts.contains_key(last));
        let best = || best_entry(pool, &counts, eligible).map(|(entry, _share)| entry);
        let Some(entry) = back.or_else(best) else {
            break;
        };
        let entry = Name::clone(entry);
        if let Some(count) = counts.get_mut(&entry) {
            *count += 1;
        }
        assigned.insert(Name::clone(pool), entry);
    }
    assigned
}

/// The entry that would have the most CPU for one more pool, and how much.
fn best_entry<'a>(
    pool: &Name,
    counts: &BTreeMap<&'a Name, usize>,
    eligible: &BTreeMap<Name, u32>,
) -> Option<(&'a Name, u64)> {
    let rank = |entry: &Name| hash(&format!("{entry} {pool}"));
    let shares = counts.iter().map(|(&entry, &count)| {
        let strength = eligible.get(entry).copied().unwrap_or(0);
        (entry, cpu_share(strength, count + 1))
    });
    shares.max_by_key(|(entry, share)| (*share, std::cmp::Reverse(rank(entry))))
}

/// The one of `own`'s pools that it should release because another entry has far more CPU for it:
/// without this, a weak entry would keep its pools for good after a strong one was unavailable. One pool
/// at a time.
pub fn pool_to_release<'a>(
    own: &Name,
    pools: &'a [Name],
    owned: &BTreeMap<Name, usize>,
    eligible: &BTreeMap<Name, u32>,
) -> Option<&'a Name> {
    let pool = pools.first()?;
    let counts: BTreeMap<&Name, usize> = eligible
        .keys()
        .filter(|entry| *entry != own)
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let (_entry, there) = best_entry(pool, &counts, eligible)?;
    let here = cpu_share(eligible.get(own).copied()?, pools.len());
    (there >= here * RELEASE_FACTOR).then_some(pool)
}
