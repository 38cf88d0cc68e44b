//! Slot ownership.

use primroseroute_domain::{id, instance::SLOTS};

/// Lending units of an entry's slots; reports list stripes, so their size is independent of workers.
pub const STRIPES: u8 = 64;

/// A slot of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Index of the owner in the sorted list of entries.
    pub owner: usize,
    /// Stripe of the owner's slots to which the slot belongs.
    pub stripe: u8,
}

/// The slots of `instance` while `entries`, sorted by name, are live.
///
/// Entries are ranked by a hash of the worker and the entry, and slot `s` is assigned to rank `s`
/// modulo the number of entries: with eight slots and seven entries each owns one slot, and the
/// eighth belongs to a different entry at each worker. With more than eight entries, each owns slots
/// at some of the workers only.
pub fn slots(instance: &id::Instance, entries: &[id::Entry]) -> Vec<Slot> {
    let hashes = entries.iter().enumerate();
    let mut ranked: Vec<_> = hashes
        .map(|(index, entry)| (hash(instance.as_str(), entry.as_str().as_bytes()), index))
        .collect();
    ranked.sort_unstable();
    let owners = ranked.iter().map(|&(_, owner)| owner).cycle();
    let slot = |(slot_number, owner): (u8, usize)| Slot {
        owner,
        stripe: stripe(instance, slot_number),
    };
    let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
    (0..u8::MAX).zip(owners).map(slot).take(slots).collect()
}

fn stripe(instance: &id::Instance, slot_number: u8) -> u8 {
    let stripe = hash(instance.as_str(), &[slot_number]) % u64::from(STRIPES);
    u8::try_from(stripe).unwrap_or_default()
}

/// FNV-1a with a final mix. Unlike the standard library's hashers, it is stable across processes and
/// releases.
fn hash(prefix: &str, suffix: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const FINAL_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;
    let bytes = prefix.bytes().chain([0]).chain(suffix.iter().copied());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let hash = (hash ^ (hash >> 32)).wrapping_mul(FINAL_MULTIPLIER);
    hash ^ (hash >> 32)
}
