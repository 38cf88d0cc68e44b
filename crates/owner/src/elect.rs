//! Which entry takes over a pool that nobody owns.
//!
//! Every entry works the same answer out from the same rows, so that mostly one of them tries; the
//! condition on the owner's row decides where views differ.

use primroseroute_cell::row::hash;
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// The entry for each free pool: the one that had it last, if it is there again; otherwise the one with the
/// fewest pools, and among equals the one that a hash of both names picks, so that entries share pools
/// evenly.
///
/// An entry that comes back to what it had needn't wait for others: neither for their heartbeats, nor
/// for the pause between the orders of two holders.
pub fn assign(
    free: &BTreeMap<Name, Option<Name>>,
    owned: &BTreeMap<Name, usize>,
    able: &[Name],
) -> BTreeMap<Name, Name> {
    let mut counts: BTreeMap<&Name, usize> = able
        .iter()
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let mut assigned = BTreeMap::new();
    for (pool, last) in free {
        let rank = |entry: &Name| hash(&format!("{entry} {pool}"));
        let back = last.as_ref().filter(|last| counts.contains_key(last));
        let fewest = counts
            .iter()
            .min_by_key(|(entry, count)| (**count, rank(entry)));
        let Some(entry) = back.or(fewest.map(|(entry, _count)| *entry)) else {
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
