//! How many slots of each worker this entry may use.
//!
//! A worker has 8 slots and every entry sends to it, so entries that choose alone overrun it. Here
//! each slot of each worker belongs to one live entry, by a rule that all entries work out alike
//! from the worker's name and the set of entries: entries are ranked by a hash, and slot `s` goes to
//! rank `s` modulo the number of entries. Eight slots over seven entries thus give every entry one
//! whole slot and the eighth to a different one at each worker; over more than eight entries each
//! has slots at a part of the workers. The sum over entries is 8 without any message.

use primroseroute_domain::{id, instance::SLOTS};
use std::collections::BTreeSet;

/// Parts that an entry's slots are lent in.
pub const STRIPES: u8 = 64;

/// Hash of a worker and an entry, the same in every process (FNV-1a with a final mix).
fn hash(instance: &id::Instance, entry: &id::Entry) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = instance
        .as_str()
        .bytes()
        .chain([0])
        .chain(entry.as_str().bytes());
    let mut hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// The owner of each slot of `instance`, as positions in `entries`; empty without entries.
pub fn owners(instance: &id::Instance, entries: &BTreeSet<id::Entry>) -> Vec<usize> {
    if entries.is_empty() {
        return Vec::new();
    }
    let hashes = entries.iter().enumerate();
    let mut ranked: Vec<_> = hashes
        .map(|(at, entry)| (hash(instance, entry), at))
        .collect();
    ranked.sort_unstable();
    let slots = 0..SLOTS as usize;
    slots.map(|slot| ranked[slot % ranked.len()].1).collect()
}
