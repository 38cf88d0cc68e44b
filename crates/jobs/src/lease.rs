//! The lease of one run, as far as this controller can know it.

use crate::limits::Limits;
use primroseroute_domain::time::Instant;
use std::time::Duration;

/// Whether a run was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It is to run on.
    No,
    /// The stop was sent.
    Told,
    /// The stop was sent and did not get through.
    Again,
}

/// What this controller knows of one run.
///
/// # When a lease has surely lapsed
///
/// The platform stops a run at the latest one lease after the last start or renewal took effect.
/// A call takes effect before it returns or, where its answer was lost, within the margin; so the
/// lease is counted from the return of the last call, and a call on its way keeps it open. A
/// controller that takes over does not know when its predecessor renewed last, and a predecessor
/// that was paused may renew once more when it wakes, before it notices that its epoch is over: so
/// a run that was taken over counts as renewed one whole lease after the take-over.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// When it was started or taken over.
    pub(crate) since: Duration,
    /// When the lease was last extended, at the latest.
    pub(crate) extended: Duration,
    /// When it is to be renewed.
    pub(crate) due: Duration,
    /// Whether a start or renewal is on its way.
    pub(crate) calling: bool,
    /// When something new was last heard of it.
    pub(crate) heard: Duration,
    /// When the newest report was true.
    pub(crate) as_of: Option<Instant>,
    /// When it was asked for a checkpoint.
    pub(crate) asked: Option<Duration>,
    /// What the last checkpoint held when it was asked.
    pub(crate) asked_at: f64,
    /// Whether it was told to stop.
    pub(crate) stop: Stop,
    /// The fraction of processor time that it was last given.
    pub(crate) fraction: f64,
    /// Whether it has counted as proof of its instance and kind.
    pub(crate) counted: bool,
}

impl Run {
    /// A run whose start is about to be sent.
    pub fn started(now: Duration) -> Self {
        Self {
            since: now,
            extended: now,
            due: now,
            calling: true,
            heard: now,
            as_of: None,
            asked: None,
            asked_at: 0.0,
            stop: Stop::No,
            fraction: 1.0,
            counted: false,
        }
    }

    /// A run that another controller started.
    pub fn taken_over(now: Duration, limits: &Limits) -> Self {
        Self {
            extended: now + limits.lease,
            calling: false,
            ..Self::started(now)
        }
    }

    /// A start or renewal returned, whatever it said.
    pub(crate) fn returned(&mut self, now: Duration, limits: &Limits) {
        self.calling = false;
        self.due = now + limits.lease / 3;
        self.extended = self.extended.max(now);
    }

    /// Whether nothing was heard of it although the reports were `read`.
    fn is_silent(&self, read: Duration, limits: &Limits) -> bool {
        read >= self.heard + limits.silent
    }

    /// Whether the lease is to be extended now.
    ///
    /// A run that is to stop, or of which nothing is heard, is left to lapse: else a run on an
    /// instance that is cut off would be kept for ever, and its job would never run again.
    pub(crate) fn is_due(&self, now: Duration, read: Duration, limits: &Limits) -> bool {
        now >= self.due && !self.calling && self.stop == Stop::No && !self.is_silent(read, limits)
    }

    /// Whether the run has surely ended.
    pub(crate) fn has_lapsed(&self, now: Duration, limits: &Limits) -> bool {
        !self.calling && now >= self.extended + limits.lease + limits.margin
    }
}
