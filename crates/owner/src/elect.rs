//! Which entry takes over a pool that nobody owns.
//!
//! Every entry works the same answer out from the same rows, so that mostly one of them tries; the
//! condition on the owner's row decides where views differ.

use primroseroute_cell::row::hash;
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// The entry for each free pool: the one with the fewest pools, and among equals the one that a hash
/// of both names picks, so that entries share pools evenly.
pub fn assign(free: &[Name], owned: &BTreeMap<Name, usize>, able: &[Name]) -> BTreeMap<Name, Name> {
    let mut counts: BTreeMap<&Name, usize> = able
        .iter()
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let mut assigned = BTreeMap::new();
    for pool in free {
        let rank = |entry: &Name| hash(&format!("{entry} {pool}"));
        let best = counts
            .iter()
            .min_by_key(|(entry, count)| (**count, rank(entry)));
        let Some((&entry, _count)) = best else {
            break;
        };
        if let Some(count) = counts.get_mut(entry) {
            *count += 1;
        }
        assigned.insert(Name::clone(pool), Name::clone(entry));
    }
    assigned
}
