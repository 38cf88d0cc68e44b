//! Who is active, and who becomes active without being named.

use primroseroute_cell::row::{self, ActiveSet, Presence};
use primroseroute_domain::work::Name;
use primroseroute_owner::membership::active_set::{Observed, Publisher, Standing, select, size};
use std::collections::{BTreeMap, BTreeSet};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

cases! {
    /// A number of active entries that grows with the fleet: each of them reads the heartbeats of all.
    active_entries_of_twice_the_fleet_are_as_many => same_size();
    /// A number of active entries that is a multiple of the pools: with hundreds of pools, all entries were active.
    active_entries_grow_by_one_a_pool => one_a_pool();
    /// A loss of all strong entries that only passive entries are left to notice.
    active_entries_remain_when_all_strong_ones_are_lost => strong_ones_lost();
    /// An entry that is gone and stays named, so that fewer and fewer entries are active.
    named_entry_without_heartbeats_is_replaced => replaced();
    /// An entry that becomes active though it wasn't named, because a slow publisher is taken for lost.
    set_that_changes_late_is_not_taken_for_unpublished => late();
    /// Reads that fail, after which an old set is taken for one that nobody publishes.
    failed_reads_prove_nothing => failed_reads();
    /// All entries that become active at once when the publishers are lost.
    few_of_many_entries_volunteer => volunteers();
    /// An entry of a small site that waits to be named.
    entries_of_a_small_site_are_all_active => small_site();
    /// A presence that isn't refreshed and still counts.
    entry_without_fresh_presence_is_not_named => expired();
}

const POOLS_AND_GROUPS: usize = 9;

fn fleet(entries: usize) -> BTreeMap<Name, u32> {
    let strength = |number: usize| {
        if number.is_multiple_of(10) {
            1_000
        } else {
            120
        }
    };
    (0..entries)
        .map(|number| (format!("e-{number}").into(), strength(number)))
        .collect()
}

fn present(fleet: &BTreeMap<Name, u32>, beat: u64) -> BTreeMap<Name, Presence> {
    let presence = |strength: &u32| Presence {
        incarnation: 1,
        beat,
        strength: *strength,
    };
    fleet
        .iter()
        .map(|(name, strength)| (Name::clone(name), presence(strength)))
        .collect()
}

fn same_size() {
    let sizes = [584, 1_232, 5_000].map(|entries| {
        let chosen = select(&fleet(entries), size(POOLS_AND_GROUPS));
        let mut publisher = Publisher::default();
        publisher.record_presence(present(&fleet(entries), 1), 0);
        let set = publisher.publish(&BTreeMap::new(), size(POOLS_AND_GROUPS), 0);
        assert_eq!(set.entries, chosen);
        assert_eq!(set.present, entries as u64);
        chosen.len()
    });
    assert_eq!(sizes, [36; 3]);
}

fn one_a_pool() {
    assert_eq!(size(548) - size(274), 274);
    let chosen = select(&fleet(1_232), size(274));
    assert!(chosen.len() <= 274 + 64, "{}", chosen.len());
}

fn strong_ones_lost() {
    let fleet = fleet(584);
    let chosen = select(&fleet, size(POOLS_AND_GROUPS));
    let left = chosen.iter().filter(|entry| fleet[*entry] == 120);
    assert!(left.count() >= 4, "{chosen:?}");
}

fn replaced() {
    let fleet = fleet(584);
    let size = size(POOLS_AND_GROUPS);
    let mut publisher = Publisher::default();
    publisher.record_presence(present(&fleet, 1), 0);
    let first = publisher.publish(&BTreeMap::new(), size, 0).entries;
    let gone: BTreeSet<Name> = first.iter().take(5).map(Name::clone).collect();
    let acting = first.iter().filter(|entry| !gone.contains(*entry));
    let acting: BTreeMap<Name, u32> = acting
        .map(|entry| (Name::clone(entry), fleet[entry]))
        .collect();
    let later = publisher.publish(&acting, size, 8_000).entries;
    assert!(gone.is_disjoint(&later), "{later:?}");
    assert_eq!(later.len(), size);
}

fn set_of(entries: &[&str], present: u64) -> ActiveSet {
    ActiveSet {
        entries: entries.iter().map(|entry| Name::from(*entry)).collect(),
        present,
        size: 36,
    }
}

fn late() {
    let mut observed = Observed::new("e-1".into());
    let read = |version| Some((set_of(&["e-2"], 584), version));
    observed.record(read(1), 0, 10);
    for second in 1..=4 {
        let at = second * 1_500;
        let standing = observed.record(read(1), at, at + 10);
        assert_eq!(standing, Standing::Unknown, "after {at} ms");
    }
    assert_eq!(observed.record(read(2), 6_900, 6_910), Standing::Passive);
    assert_eq!(observed.record(read(2), 13_000, 13_010), Standing::Unknown);
}

fn failed_reads() {
    let mut observed = Observed::new("e-1".into());
    let read = || Some((set_of(&["e-2"], 584), 1));
    observed.record(read(), 0, 10);
    for at in [1_500, 3_000, 4_500] {
        observed.record(read(), at, at + 10);
    }
    observed.record_failure(6_000);
    assert_eq!(observed.record(read(), 12_000, 12_010), Standing::Unknown);
    for at in [13_500, 15_000] {
        observed.record(read(), at, at + 10);
    }
    assert_eq!(
        observed.record(read(), 16_500, 16_510),
        Standing::Unpublished
    );
}

fn volunteers() {
    for entries in [584, 1_232, 5_000] {
        let mut parts: BTreeMap<Name, BTreeMap<Name, u32>> = BTreeMap::new();
        for (entry, strength) in fleet(entries) {
            let part = parts.entry(row::presence_part(&entry)).or_default();
            part.insert(entry, strength);
        }
        let volunteers = fleet(entries).into_keys().filter(|entry| {
            let mut observed = Observed::new(Name::clone(entry));
            observed.record(None, 0, 10);
            observed.volunteers(&parts[&row::presence_part(entry)])
        });
        let count = volunteers.count();
        assert!((36..=64).contains(&count), "{count} of {entries}");
    }
}

fn small_site() {
    let fleet = fleet(7);
    let mut publisher = Publisher::default();
    publisher.record_presence(present(&fleet, 1), 0);
    let set = publisher.publish(&BTreeMap::new(), size(POOLS_AND_GROUPS), 0);
    assert_eq!(set.entries.len(), 7);
    let mut newcomer = Observed::new("e-7".into());
    let standing = newcomer.record(Some((set, 1)), 0, 10);
    assert_eq!(standing, Standing::Active);
}

fn expired() {
    let fleet = fleet(40);
    let size = size(POOLS_AND_GROUPS);
    let mut publisher = Publisher::default();
    publisher.record_presence(present(&fleet, 1), 0);
    let mut refreshed = present(&fleet, 2);
    let gone = present(&fleet, 1);
    let e0 = Name::from("e-0");
    refreshed.insert(Name::clone(&e0), gone[&e0].clone());
    publisher.record_presence(refreshed, 40_000);
    let set = publisher.publish(&BTreeMap::new(), size, 51_000);
    assert!(!set.entries.contains(&e0));
    assert_eq!(set.present, 39);
}
