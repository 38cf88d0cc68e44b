//! Input of every decision: rows, budgets and unplanned absences at one change of the table.

use primroseroute_domain::{
    account::{Budget, Template},
    id,
    instance::{Purpose, Row, State},
};
use std::collections::{BTreeMap, BTreeSet};

/// The rows of the fleet, the budgets of its pools and the known unplanned absences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The row of each instance.
    pub rows: BTreeMap<id::Instance, Row>,
    /// The availability budget of each pool.
    pub budgets: BTreeMap<id::Pool, Budget>,
    /// Instances whose row is still serving but which do not serve: listed by the platform as
    /// rebooting, leaving or gone, or failing health checks. They count as absent before their rows
    /// are updated.
    pub absent: BTreeSet<id::Instance>,
}

impl Fleet {
    /// The budgets of all pools in `templates`.
    pub fn budgets<'a>(
        templates: impl IntoIterator<Item = &'a Template>,
    ) -> BTreeMap<id::Pool, Budget> {
        templates
            .into_iter()
            .flat_map(|template| &template.pools)
            .map(|pool| (pool.name.clone(), pool.budget))
            .collect()
    }

    /// Whether `row` currently provides capacity to its pool.
    pub fn is_present(&self, row: &Row) -> bool {
        row.state == State::Serving && !self.absent.contains(&row.id)
    }

    /// Whether `row` is a spare: in probation, with or without passed checks, and in no pool yet.
    pub fn is_spare(&self, row: &Row) -> bool {
        row.pool.is_none() && row.state == State::Probation && !self.absent.contains(&row.id)
    }
}

/// Whether `row` is out of its pool because of planned work, which counts against `max_absent`.
///
/// An instance that fails after a wave or a move took it out does not count: it is an unplanned
/// loss, which the margin covers. If it counted, a few dead instances would use up `max_absent`,
/// and no other instance of their pool could be maintained. An instance that the platform is
/// removing does not count either.
pub(crate) fn is_planned_absence(row: &Row) -> bool {
    match row.purpose {
        Some(Purpose::Operator) => !matches!(row.state, State::Serving | State::Leaving),
        Some(Purpose::Move(_) | Purpose::Wave(_)) => !matches!(
            row.state,
            State::Serving | State::Leaving | State::Quarantined
        ),
        Some(Purpose::Leave) | None => false,
    }
}
