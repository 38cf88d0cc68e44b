//! Which entry takes over a pool that nobody owns, and which pool goes to a stronger entry.
//!
//! Every entry works the same answer out from the same rows, so that mostly one of them tries; the
//! condition on the owner's row decides where views differ.

use primroseroute_cell::row::hash;
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Share of an entry's processor that each of its pools has, in thousandths of a core.
fn share(strength: u32, pools: usize) -> u64 {
    u64::from(strength) / (pools as u64).max(1)
}

/// Least number of candidates, where there are as many entries.
const CANDIDATES: usize = 16;

/// Of the entries that can take pools and groups over, those that do: the strongest, twice as many as there is to own.
///
/// They watch each other closely, which costs each of them news of all the others. Done by every entry, that grew with the
/// square of their number.
pub fn candidates(able: &BTreeMap<Name, u32>, charges: usize) -> BTreeMap<Name, u32> {
    let mut ranked: Vec<(&Name, u32)> = able
        .iter()
        .map(|(entry, strength)| (entry, *strength))
        .collect();
    ranked.sort_by_key(|(entry, strength)| (std::cmp::Reverse(*strength), hash(entry)));
    let chosen = ranked.into_iter().take(CANDIDATES.max(charges * 2));
    chosen
        .map(|(entry, strength)| (Name::clone(entry), strength))
        .collect()
}

/// Times the share that a pool has, below which it doesn't change its owner: a takeover holds the pool's jobs up
/// for a few tenths of a second. Among equal entries, one that owns two pools keeps both.
const MUCH_STRONGER: u64 = 3;

/// The entry for each free pool: the one that had it last, if it is there again; otherwise the one that has the
/// most of its processor for it, and among equals the one that a hash of both names picks, so that entries
/// share pools evenly. `able` holds the strength of each entry, in thousandths of a core.
///
/// An entry that comes back to what it had needn't wait for others: neither for their heartbeats, nor
/// for the pause between the orders of two holders. And a pool at its peak starts hundreds of tasks a second, which an
/// eighth of a core doesn't manage where half a core does.
pub fn assign(
    free: &BTreeMap<Name, Option<Name>>,
    owned: &BTreeMap<Name, usize>,
    able: &BTreeMap<Name, u32>,
) -> BTreeMap<Name, Name> {
    let mut counts: BTreeMap<&Name, usize> = able
        .keys()
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let mut assigned = BTreeMap::new();
    for (pool, last) in free {
        let back = last.as_ref().filter(|last| counts.contains_key(last));
        let best = || strongest(pool, &counts, able).map(|(entry, _share)| entry);
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

/// The entry that would have the most of its processor for one pool more, and how much.
fn strongest<'a>(
    pool: &Name,
    counts: &BTreeMap<&'a Name, usize>,
    able: &BTreeMap<Name, u32>,
) -> Option<(&'a Name, u64)> {
    let rank = |entry: &Name| hash(&format!("{entry} {pool}"));
    let shares = counts.iter().map(|(&entry, &count)| {
        let strength = able.get(entry).copied().unwrap_or(0);
        (entry, share(strength, count + 1))
    });
    shares.max_by_key(|(entry, share)| (*share, std::cmp::Reverse(rank(entry))))
}

/// The one of `own`'s pools that it gives up, since another entry has far more of its processor for it: after a
/// strong entry was away, a weak one would keep its pools for good. One at a time.
pub fn given_up<'a>(
    own: &Name,
    pools: &'a [Name],
    owned: &BTreeMap<Name, usize>,
    able: &BTreeMap<Name, u32>,
) -> Option<&'a Name> {
    let pool = pools.first()?;
    let counts: BTreeMap<&Name, usize> = able
        .keys()
        .filter(|entry| *entry != own)
        .map(|entry| (entry, owned.get(entry).copied().unwrap_or(0)))
        .collect();
    let (_entry, there) = strongest(pool, &counts, able)?;
    let here = share(able.get(own).copied()?, pools.len());
    (there >= here * MUCH_STRONGER).then_some(pool)
}
