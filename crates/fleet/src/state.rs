//! What every decision reads: rows, budgets and unplanned absences as of one change.

use primroseroute_domain::{
    account::{Budget, Template},
    id,
    instance::{Purpose, Row, State},
};
use std::collections::{BTreeMap, BTreeSet};

/// The rows of the fleet, the budgets of its pools and the known unplanned absences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Every instance's row.
    pub rows: BTreeMap<id::Instance, Row>,
    /// Every pool's availability budget.
    pub budgets: BTreeMap<id::Pool, Budget>,
    /// Instances whose row says serving and which do not serve: listed as rebooting, leaving or
    /// gone, or failing health checks. They count as absent before their rows say so.
    pub absent: BTreeSet<id::Instance>,
}

impl Fleet {
    /// The budgets that `templates` state.
    pub fn budgets<'a>(
        templates: impl IntoIterator<Item = &'a Template>,
    ) -> BTreeMap<id::Pool, Budget> {
        templates
            .into_iter()
            .flat_map(|template| &template.pools)
            .map(|pool| (pool.name.clone(), pool.budget))
            .collect()
    }

    /// Whether `row` adds to its pool's capacity now.
    pub fn is_present(&self, row: &Row) -> bool {
        row.state == State::Serving && !self.absent.contains(&row.id)
    }

    /// Whether `row` is an instance that waits, checked or under checks, for its first pool.
    pub fn is_spare(&self, row: &Row) -> bool {
        row.pool.is_none() && row.state == State::Probation && !self.absent.contains(&row.id)
    }
}

/// Whether planned work holds `row` out of its pool.
///
/// An instance that a wave or a move took out and that then failed does not count: it is a loss
/// like any other, which the margin counts. Were it counted, a few dead instances would use up
/// `max_absent` and no other instance of their pool could ever be maintained. One that the
/// platform takes away does not count either.
pub(crate) fn is_planned_out(row: &Row) -> bool {
    match row.purpose {
        Some(Purpose::Operator) => !matches!(row.state, State::Serving | State::Leaving),
        Some(Purpose::Move(_) | Purpose::Wave(_)) => !matches!(
            row.state,
            State::Serving | State::Leaving | State::Quarantined
        ),
        Some(Purpose::Leave) | None => false,
    }
}
