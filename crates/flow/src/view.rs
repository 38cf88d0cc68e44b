//! What the pool needs of the entry's view: its instances, the live entries, the fair shares.

use primroseroute_domain::{account::Template, id, instance};
use std::collections::{BTreeMap, BTreeSet};

/// One instance of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it is doing; only a serving one gets requests.
    pub state: instance::State,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
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

/// The part of a view that concerns one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The pool's instances, in whatever state.
    pub members: BTreeMap<id::Instance, Member>,
    /// The live entries, this one among them; they divide each worker's slots.
    pub entries: BTreeSet<id::Entry>,
    /// Fair shares of the accounts; an account that is missing counts 1.
    pub shares: BTreeMap<id::Account, u32>,
}

impl View {
    /// Sets the shares from the accounts' templates.
    #[must_use]
    pub fn with_templates<'a>(mut self, templates: impl IntoIterator<Item = &'a Template>) -> Self {
        let share = |template: &Template| (template.account.clone(), template.share);
        self.shares = templates.into_iter().map(share).collect();
        self
    }
}
