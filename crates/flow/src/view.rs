//! The pool's part of the entry's view: its instances, the live entries and the fair shares.

use primroseroute_domain::{account::Template, id, instance};
use std::collections::{BTreeMap, BTreeSet};

/// An instance of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Lifecycle state; only a serving instance receives requests.
    pub state: instance::State,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rack.
    pub rack: id::Rack,
}

impl From<&instance::Row> for Member {
    fn from(row: &instance::Row) -> Self {
        Self {
            state: row.state,
            zone: row.zone.clone(),
            rack: row.rack.clone(),
        }
    }
}

/// The part of an entry's view that concerns one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The pool's instances in any state.
    pub members: BTreeMap<id::Instance, Member>,
    /// The live entries including this one; each worker's slots are divided among them.
    pub entries: BTreeSet<id::Entry>,
    /// Fair shares of the accounts; an absent account has share 1.
    pub shares: BTreeMap<id::Account, u32>,
}

impl View {
    /// Sets the shares from the account templates.
    #[must_use]
    pub fn with_templates<'a>(mut self, templates: impl IntoIterator<Item = &'a Template>) -> Self {
        let share = |template: &Template| (template.account.clone(), template.share);
        self.shares = templates.into_iter().map(share).collect();
        self
    }
}
