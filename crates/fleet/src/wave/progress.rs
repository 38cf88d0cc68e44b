//! How far a wave is, read off the instances' rows.

use super::row::Row;
use crate::state::Fleet;
use primroseroute_domain::{
    instance::{Purpose, Row as Instance, State},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a wave has to do with one instance that it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Maintained since the wave began, and back.
    Done,
    /// Taken out by the wave, or on its way back.
    Out,
    /// Failed after the wave took it out.
    Failed,
    /// Still to be taken out.
    Pending,
    /// Not to be had: lost, held by an operator, arriving or leaving.
    Skipped,
}

pub(super) fn stage(wave: &Row, row: &Instance) -> Stage {
    let is_ours = matches!(&row.purpose, Some(Purpose::Wave(id)) if id == wave.id());
    if is_ours && row.state == State::Quarantined {
        return Stage::Failed;
    }
    if is_ours && row.state != State::Leaving {
        return Stage::Out;
    }
    if row.maintained.is_some_and(|at| at >= wave.started) {
        return Stage::Done;
    }
    // What another wave that was aborted, or a move, still holds out will serve again.
    let comes_back = matches!(
        row.purpose,
        None | Some(Purpose::Move(_) | Purpose::Wave(_))
    );
    match row.state {
        State::Serving => Stage::Pending,
        State::Draining | State::Probation | State::Maintenance if comes_back => Stage::Pending,
        _ => Stage::Skipped,
    }
}

/// How far a wave is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Progress {
    /// Instances maintained and back.
    pub done: u32,
    /// Instances out now.
    pub out: u32,
    /// Instances still to be taken out.
    pub pending: u32,
    /// Instances that failed after the wave took them out.
    pub failed: u32,
    /// Instances that the wave cannot have: lost, held by an operator, arriving or leaving.
    pub skipped: u32,
    /// Instances maintained since the wave was last resumed.
    pub recent: u32,
}

impl Progress {
    /// Whether nothing is left to do.
    pub fn is_finished(&self) -> bool {
        self.pending == 0 && self.out == 0
    }

    /// Instances maintained an hour, over the whole wave so far.
    pub fn rate(&self, wave: &Row, now: Instant) -> f64 {
        let hours = now.since(wave.started).as_secs_f64() / 3_600.0;
        if hours > 0.0 {
            f64::from(self.done) / hours
        } else {
            0.0
        }
    }

    /// When the wave ends if it goes on as it did; none before the first instance is done.
    pub fn end(&self, wave: &Row, now: Instant) -> Option<Instant> {
        if self.done == 0 {
            return None;
        }
        let each = now.since(wave.started).as_secs_f64() / f64::from(self.done);
        let rest = each * f64::from(self.pending + self.out);
        Some(now.after(Duration::from_secs_f64(rest)))
    }
}

/// How far `wave` is over `fleet`.
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
