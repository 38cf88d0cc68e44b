//! Progress of a wave, derived from the instances' rows.

use super::row::Row;
use crate::state::Fleet;
use primroseroute_domain::{
    instance::{Purpose, Row as Instance, State},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Stage of one instance that a wave covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Maintained since the wave began and back in service.
    Done,
    /// Taken out by the wave, or returning.
    Out,
    /// Failed after the wave took it out.
    Failed,
    /// Still to be taken out.
    Pending,
    /// Not available to the wave: lost, held by an operator, arriving or leaving.
    Skipped,
}

pub(super) fn stage(wave: &Row, row: &Instance) -> Stage {
    let in_this_wave = matches!(&row.purpose, Some(Purpose::Wave(id)) if id == wave.id());
    if in_this_wave && row.state == State::Quarantined {
        return Stage::Failed;
    }
    if in_this_wave && row.state != State::Leaving {
        return Stage::Out;
    }
    if row.maintained.is_some_and(|at| at >= wave.started) {
        return Stage::Done;
    }
    // Instances that a move or another wave, such as an aborted one, took out will serve again.
    let will_return = matches!(
        row.purpose,
        None | Some(Purpose::Move(_) | Purpose::Wave(_))
    );
    match row.state {
        State::Serving => Stage::Pending,
        State::Draining | State::Probation | State::Maintenance if will_return => Stage::Pending,
        _ => Stage::Skipped,
    }
}

/// Number of instances of a wave by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Progress {
    /// Instances maintained and back in service.
    pub done: u32,
    /// Instances out now.
    pub out: u32,
    /// Instances still to be taken out.
    pub pending: u32,
    /// Instances that failed after the wave took them out.
    pub failed: u32,
    /// Instances not available to the wave: lost, held by an operator, arriving or leaving.
    pub skipped: u32,
    /// Instances maintained since the wave was last resumed.
    pub recent: u32,
}

impl Progress {
    /// Whether no instance is pending or out.
    pub fn is_finished(&self) -> bool {
        self.pending == 0 && self.out == 0
    }

    /// Instances maintained per hour since the wave started.
    pub fn rate(&self, wave: &Row, now: Instant) -> f64 {
        let hours = now.since(wave.started).as_secs_f64() / 3_600.0;
        if hours > 0.0 {
            f64::from(self.done) / hours
        } else {
            0.0
        }
    }

    /// Estimated end at the current rate; none before the first instance is done.
    pub fn end(&self, wave: &Row, now: Instant) -> Option<Instant> {
        if self.done == 0 {
            return None;
        }
        let each = now.since(wave.started).as_secs_f64() / f64::from(self.done);
        let rest = each * f64::from(self.pending + self.out);
        Some(now.after(Duration::from_secs_f64(rest)))
    }
}

/// Progress of `wave` over `fleet`.
pub fn progress(fleet: &Fleet, wave: &Row) -> Progress {
    let mut progress = Progress::default();
    let covered = fleet
        .rows
        .values()
        .filter(|row| wave.order.scope.covers(row));
    for row in covered {
        let count = match stage(wave, row) {
            Stage::Done => &mut progress.done,
            Stage::Out => &mut progress.out,
            Stage::Failed => &mut progress.failed,
            Stage::Pending => &mut progress.pending,
            Stage::Skipped => &mut progress.skipped,
        };
        *count += 1;
        let is_recent = row.maintained.is_some_and(|at| at >= wave.resumed);
        progress.recent += u32::from(is_recent && stage(wave, row) == Stage::Done);
    }
    progress
}
