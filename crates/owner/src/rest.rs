//! Which instances of a group may not be ordered yet after another holder's orders.

use primroseroute_cell::row::Owner;
use primroseroute_domain::work::Name;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Margin on the minimum time between the orders of two holders, for the time in which an order of
/// a replaced holder may still arrive.
pub const SLACK: Duration = Duration::from_millis(1_300);

/// When the instances of a group may be ordered by its new holder.
///
/// A holder that releases its group states which instances it has ordered within the minimum time;
/// the others needn't rest. Without this, all moves stood still for that time at each step of a
/// roll-out of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    /// All instances rest until then.
    all: Option<Instant>,
    /// These rest until then.
    some: BTreeMap<Name, Instant>,
}

impl Rest {
    /// The rest of a group whose holder's row was seen at `now`, or before.
    pub fn after(holder: &Owner, pause: Duration, now: Instant) -> Self {
        let whole = now + pause + SLACK;
        match (&holder.after, &holder.resting) {
            (None, None) => Self::default(),
            (Some(_other), None) => Self {
                all: Some(whole),
                some: BTreeMap::new(),
            },
            (_, Some(resting)) => Self {
                all: None,
                some: resting
                    .iter()
                    .map(|(name, left)| {
                        let until = now + Duration::from_millis(*left) + SLACK;
                        (Name::clone(name), until.min(whole))
                    })
                    .collect(),
            },
        }
    }

    /// What the next holder has to know of a group that is taken over with this rest; `stated` says
    /// whether the previous holder has stated what it had ordered.
    ///
    /// An entry that comes back needn't wait for its own earlier orders. It doesn't know them
    /// either: without this, it stopped within the pause, stated that nothing rests, and the next
    /// holder ordered an instance that the earlier process had ordered less than the pause before.
    #[must_use]
    pub fn for_successor(&self, stated: bool, pause: Duration, now: Instant) -> Self {
        let own = (!stated).then(|| now + pause);
        Self {
            all: self.all.max(own),
            some: self.some.clone(),
        }
    }

    /// Whether an instance may be ordered.
    pub fn may_order(&self, instance: &Name, now: Instant) -> bool {
        let over = |until: &Instant| now >= *until;
        self.all.as_ref().is_none_or(over) && self.some.get(instance).is_none_or(over)
    }

    /// Records that an instance is ordered: the next holder lets it rest for the whole pause.
    pub fn record_order(&mut self, instance: &Name, pause: Duration, now: Instant) {
        self.some.insert(Name::clone(instance), now + pause);
    }

    /// What a successor has to know, if this holder stops at `now`; `None` if it knows too little.
    pub fn remaining(&self, now: Instant) -> Option<BTreeMap<Name, u64>> {
        if self.all.is_some_and(|until| now < until) {
            return None;
        }
        let left = self.some.iter().filter(|(_name, until)| now < **until);
        let left = left.map(|(name, until)| {
            let millis = u64::try_from((*until - now).as_millis()).unwrap_or(u64::MAX);
            (Name::clone(name), millis + 1)
        });
        Some(left.collect())
    }
}
