//! The lease of a run, as known to this controller.

use crate::limits::Limits;
use primroseroute_domain::time::Instant;
use std::time::Duration;

/// State of the request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// No stop was requested.
    NotRequested,
    /// The stop was sent.
    Sent,
    /// The stop failed or its response was lost; it has to be sent again.
    Resend,
}

/// State of a run, as known to this controller.
///
/// # When a lease has certainly expired
///
/// The platform stops a run at the latest one lease after the last start or renewal took effect.
/// A call takes effect before it returns or, where its response was lost, within the margin; so the
/// lease is counted from the return of the last call, and a call in flight keeps it open. A
/// controller that takes over does not know when its predecessor last renewed, and a predecessor
/// that was suspended may renew once more when it resumes, before it notices that its epoch is
/// over: so a run that was taken over counts as renewed one whole lease after the takeover.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// When it was started or taken over.
    pub(crate) began_at: Duration,
    /// Latest time at which the lease may have been extended.
    pub(crate) extended_at: Duration,
    /// When the lease is to be renewed.
    pub(crate) renew_at: Duration,
    /// Whether a start or renewal is in flight.
    pub(crate) call_in_flight: bool,
    /// When a newer report on it was last received.
    pub(crate) reported_at: Duration,
    /// Time to which the newest report refers.
    pub(crate) as_of: Option<Instant>,
    /// When a checkpoint was requested.
    pub(crate) checkpoint_requested_at: Option<Duration>,
    /// Progress of the last checkpoint at the time of that request.
    pub(crate) checkpoint_at_request: f64,
    /// State of the request to stop it.
    pub(crate) stop: Stop,
    /// The fraction of processor time that it was last limited to.
    pub(crate) cpu_fraction: f64,
    /// Whether it was counted as proof for its instance and kind.
    pub(crate) counted_as_proof: bool,
}

impl Run {
    /// A run whose start is about to be sent.
    pub fn started(now: Duration) -> Self {
        Self {
            began_at: now,
            extended_at: now,
            renew_at: now,
            call_in_flight: true,
            reported_at: now,
            as_of: None,
            checkpoint_requested_at: None,
            checkpoint_at_request: 0.0,
            stop: Stop::NotRequested,
            cpu_fraction: 1.0,
            counted_as_proof: false,
        }
    }

    /// A run that another controller started.
    pub fn taken_over(now: Duration, limits: &Limits) -> Self {
        Self {
            extended_at: now + limits.lease,
            call_in_flight: false,
            ..Self::started(now)
        }
    }

    /// Records that a start or renewal returned, whatever its result.
    pub(crate) fn call_returned(&mut self, now: Duration, limits: &Limits) {
        self.call_in_flight = false;
        self.renew_at = now + limits.lease / 3;
        self.extended_at = self.extended_at.max(now);
    }

    /// Whether the reports, last read at `reports_read_at`, have not shown it for too long.
    fn is_unresponsive(&self, reports_read_at: Duration, limits: &Limits) -> bool {
        reports_read_at >= self.reported_at + limits.silent
    }

    /// Whether the lease is to be renewed now.
    ///
    /// The lease of a run that is to stop, or that is unresponsive, is left to expire: otherwise a run
    /// on a partitioned instance would be renewed for ever, and its job would never run again.
    pub(crate) fn is_renewal_due(
        &self,
        now: Duration,
        reports_read_at: Duration,
        limits: &Limits,
    ) -> bool {
        now >= self.renew_at
            && !self.call_in_flight
            && self.stop == Stop::NotRequested
            && !self.is_unresponsive(reports_read_at, limits)
    }

    /// Whether the lease has certainly expired, and the run thus ended.
    pub(crate) fn has_expired(&self, now: Duration, limits: &Limits) -> bool {
        !self.call_in_flight && now >= self.extended_at + limits.lease + limits.margin
    }
}
