//! Which entry takes over a pool, and which pool is released to a stronger entry.

use primroseroute_domain::work::Name;
use primroseroute_owner::membership::elect::{assign, assignable, candidates, pool_to_release};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn entries(strengths: &[u32]) -> BTreeMap<Name, u32> {
    let numbered = strengths.iter().enumerate();
    numbered
        .map(|(number, strength)| (format!("e-{number}").into(), *strength))
        .collect()
}

fn free(pools: usize) -> BTreeMap<Name, Option<Name>> {
    (0..pools)
        .map(|number| (format!("p-{number}").into(), None))
        .collect()
}

/// Number of pools by entry.
fn counts(assigned: &BTreeMap<Name, Name>) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for entry in assigned.values() {
        *counts.entry(Name::clone(entry)).or_default() += 1;
    }
    counts
}

/// Two strong entries and four weak ones start together: the six pools go to the strong ones.
#[test]
fn strong_entries_own_pools_while_weak_ones_idle() {
    let able = entries(&[120, 500, 120, 500, 120, 120]);
    let owned = counts(&assign(&free(6), &BTreeMap::new(), &able));
    let three = |name: &str| (Name::from(name), 3);
    assert_eq!(owned, [three("e-1"), three("e-3")].into());
}

/// One strong entry is left beside many weak ones: it gets all five pools, of which few are at their peak at a time.
/// A weak one would have to serve a pool at its peak alone.
#[test]
fn strong_entry_owns_several_pools_before_a_weak_one_owns_any() {
    let mut strengths = vec![120; 24];
    strengths.push(500);
    let owned = counts(&assign(&free(5), &BTreeMap::new(), &entries(&strengths)));
    assert_eq!(owned, [("e-24".into(), 5)].into());
}

/// A weak entry owns a pool, and a strong one that has been away owns two others: it can serve the third as well.
#[test]
fn weak_owner_releases_its_pool_to_a_strong_owner() {
    let own = Name::from("e-0");
    let pools = [Name::from("p-0")];
    let owned = [(Name::clone(&own), 1), ("e-1".into(), 2)].into();
    let given = pool_to_release(&own, &pools, &owned, &entries(&[120, 500]));
    assert_eq!(given, Some(&pools[0]));
}

/// The entry that had the pool is back and gets it, though another has nothing to do.
#[test]
fn pool_goes_back_to_the_entry_that_had_it() {
    let able = entries(&[250, 250]);
    let free = [("p-0".into(), Some("e-0".into()))].into();
    let owned = [("e-0".into(), 2)].into();
    let back = assign(&free, &owned, &able);
    assert_eq!(back, [("p-0".into(), "e-0".into())].into());
    let unassigned = assign(&free, &owned, &entries(&[])).len();
    assert_eq!(unassigned, 0);
}

/// A weak entry releases its pool if there is a strong one; among equals one that owns two pools
/// keeps them.
#[test]
fn pool_is_released_only_to_a_far_stronger_entry() {
    let own = Name::from("e-0");
    let pools = [Name::from("p-0"), Name::from("p-1")];
    let owned = [(Name::clone(&own), 2)].into();
    let kept = pool_to_release(&own, &pools, &owned, &entries(&[250, 250, 250]));
    assert_eq!(kept, None);
    let given = pool_to_release(&own, &pools, &owned, &entries(&[120, 500]));
    assert_eq!(given, Some(&pools[0]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares with a reference that tries each entry for each pool. Releases terminate: an entry
    /// that gets a pool doesn't release it in turn.
    #[test]
    fn each_pool_goes_where_most_is_left(
        strengths in prop::collection::vec(1_u32..1_000, 1..7),
        pools in 1_usize..9,
    ) {
        let able = entries(&strengths);
        let assigned = assign(&free(pools), &BTreeMap::new(), &able);
        prop_assert_eq!(assigned.len(), pools);
        let mut owned: BTreeMap<Name, usize> = BTreeMap::new();
        for entry in assigned.values() {
            let share = |entry: &Name| {
                let pools = owned.get(entry).copied().unwrap_or(0) as u64 + 1;
                (u64::from(able[entry]).pow(2) / pools).isqrt()
            };
            let best = able.keys().map(share).max();
            prop_assert_eq!(Some(share(entry)), best);
            *owned.entry(Name::clone(entry)).or_default() += 1;
        }
        for entry in able.keys() {
            let own = assigned.iter().filter(|(_pool, owner)| *owner == entry);
            let own: Vec<Name> = own.map(|(pool, _owner)| Name::clone(pool)).collect();
            prop_assert_eq!(pool_to_release(entry, &own, &owned, &able), None);
        }
    }
}

/// Hundreds of weak entries beside a few strong ones: the strong ones are candidates, and a few of the others; of few entries, all are.
#[test]
fn strong_entries_are_candidates() {
    let mut strengths = vec![120; 130];
    strengths.extend([500; 15]);
    let able = entries(&strengths);
    let chosen = candidates(&able, 9);
    assert_eq!(chosen.len(), 18);
    let strong = able.iter().filter(|(_entry, strength)| **strength == 500);
    assert!(
        strong
            .into_iter()
            .all(|(entry, _)| chosen.contains_key(entry))
    );
    assert_eq!(candidates(&entries(&[250; 7]), 9).len(), 7);
    assert_eq!(candidates(&able, 280).len(), 145);
}

/// An entry that lets an assignment pass gets no other one, unless it is the only one.
#[test]
fn entries_that_were_passed_over_are_assigned_nothing() {
    let able = entries(&[250, 500, 250]);
    let passed_over = BTreeSet::from(["e-1".into()]);
    let left = assignable(&able, &able, &passed_over, 9);
    assert_eq!(
        left.keys().map(|name| &**name).collect::<Vec<_>>(),
        ["e-0", "e-2"]
    );
    let all = able.keys().map(Name::clone).collect();
    assert_eq!(assignable(&able, &able, &all, 9), able);
}

/// All strong entries but one have just died. Weak entries that replace them as candidates may not know yet, so the
/// survivor gets their pools. If no strong one survived, a weak one that was a candidate before gets two of five, and
/// the others go to new ones: more would be too much for it.
#[test]
fn new_candidates_own_pools_only_if_an_old_one_has_several() {
    let mut strengths = vec![500; 18];
    strengths.extend([120; 8]);
    let before = entries(&strengths);
    let owned = |survivor: &str, before: &BTreeMap<Name, u32>| {
        let mut eligible = before.clone();
        eligible.retain(|entry, strength| *strength < 500 || &**entry == survivor);
        let assignable = assignable(&eligible, before, &BTreeSet::new(), 9);
        counts(&assign(&free(5), &BTreeMap::new(), &assignable))
    };
    assert_eq!(owned("e-4", &before), [("e-4".into(), 5)].into());
    strengths.truncate(17);
    strengths.extend([120; 9]);
    let mut before = entries(&strengths);
    before.insert("old".into(), 130);
    let owned = owned("old", &before);
    assert_eq!(owned.get("old"), Some(&2));
    assert_eq!(owned.len(), 4);
}
