//! Which entry owns a slot.

use primroseroute_domain::{id, instance::SLOTS};

/// Parts that an entry's slots are lent in; a report names stripes, so it does not grow with workers.
pub const STRIPES: u8 = 64;

/// One slot of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Position of its owner in the ordered list of entries.
    pub owner: usize,
    /// The part of the owner's slots that it belongs to.
    pub stripe: u8,
}

/// The slots of `instance` while `entries` are live, in the order of their names.
///
/// Entries are ranked by a hash of the worker and the entry, and slot `s` goes to rank `s` modulo
/// the number of entries: eight slots over seven entries give each a whole slot, and the eighth to
/// a different entry at each worker. Over more than eight entries each has slots at a part of the
/// workers.
pub fn slots(instance: &id::Instance, entries: &[id::Entry]) -> Vec<Slot> {
    let hashes = entries.iter().enumerate();
    let mut ranked: Vec<_> = hashes
        .map(|(at, entry)| (hash(instance.as_str(), entry.as_str().as_bytes()), at))
        .collect();
    ranked.sort_unstable();
    let owners = ranked.iter().map(|&(_, owner)| owner).cycle();
    let slot = |(number, owner): (u8, usize)| Slot {
        owner,
        stripe: stripe(instance, number),
    };
    let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
    (0..u8::MAX).zip(owners).map(slot).take(slots).collect()
}

fn stripe(instance: &id::Instance, number: u8) -> u8 {
    let stripe = hash(instance.as_str(), &[number]) % u64::from(STRIPES);
    u8::try_from(stripe).unwrap_or_default()
}

/// FNV-1a with a final mix: the same in every process and release, unlike the library's hashers.
fn hash(text: &str, rest: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const MIX: u64 = 0xd6e8_feb8_6659_fd93;
    let bytes = text.bytes().chain([0]).chain(rest.iter().copied());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let hash = (hash ^ (hash >> 32)).wrapping_mul(MIX);
    hash ^ (hash >> 32)
}
