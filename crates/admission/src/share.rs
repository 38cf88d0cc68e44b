//! The share of an account's submissions that is within its entitlement.

use crate::gate::{PARTS, share_place};
use primroseroute_domain::work::JobId;
use std::collections::VecDeque;

/// Periods over which submissions are counted; the shortest with enough of them is used.
const WINDOWS_MS: [u64; 3] = [2_000, 5_000, LONGEST_WINDOW_MS];

const LONGEST_WINDOW_MS: u64 = 10_000;

/// Submissions that are enough: their number varies by 7 %.
const SAMPLES: usize = 200;

/// Standard deviations by which a short window must exceed the longer ones to count before it has
/// enough submissions.
const DEVIATIONS: f64 = 2.0;

/// Time until all gateways apply published figures: their reads of the feed are at least 500 ms
/// apart.
const APPLY_MS: u64 = 1_500;

/// Time constant with which the share approaches its target.
const SMOOTHING_MS: f64 = 1_000.0;

/// Factor by which the share may grow in a second.
const GROWTH: f64 = 2.0;

/// The same while submissions within entitlements wait as well. Then gateways reject some of them,
/// and accounts seem to submit less than they do.
const CAUTIOUS_GROWTH: f64 = 1.1;

/// Excess over the entitlement up to which an account isn't listed.
const TOLERANCE: f64 = 1.05;

/// Share from which an account is no longer listed.
const FULL: f64 = 0.99 * PARTS as f64;

/// The share of one account.
///
/// Gateways accept all submissions whose place is below the published share, and others as far as
/// the wait allows. So the accepted jobs below the smallest share that was in force, divided by that
/// share, give what the account submits, however many others were accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Share {
    /// Jobs per second that the account is entitled to.
    entitlement: f64,
    /// Time and place of accepted jobs.
    jobs: Vec<(u64, u64)>,
    /// Published shares, each with the time of its publication.
    published: VecDeque<(u64, u16)>,
    /// The share in thousandths; `None` if all submissions are within the entitlement.
    permille: Option<f64>,
}

impl Share {
    /// Counts a job that was accepted at `at_ms`.
    pub(crate) fn add(&mut self, id: &JobId, at_ms: u64) {
        self.jobs.push((at_ms, share_place(id)));
    }

    /// Updates the share, `elapsed_ms` after the last update.
    pub(crate) fn update(
        &mut self,
        entitlement: f64,
        is_within_waiting: bool,
        elapsed_ms: u64,
        now_ms: u64,
    ) {
        self.prune(now_ms);
        let had_entitlement = self.entitlement > 0.0;
        self.entitlement = entitlement;
        if entitlement <= 0.0 {
            self.permille = Some(0.0);
            return;
        }
        let known = self.permille.filter(|_known| had_entitlement);
        self.permille = match known {
            None => {
                let target = self.is_exceeded(now_ms).then(|| self.target(now_ms));
                target.filter(|share| *share < FULL)
            }
            Some(known) => {
                let elapsed = elapsed_ms as f64;
                let step = elapsed / (elapsed + SMOOTHING_MS);
                let next = known + (self.target(now_ms) - known) * step;
                let growth = if is_within_waiting {
                    CAUTIOUS_GROWTH
                } else {
                    GROWTH
                };
                let most = known * growth.powf(elapsed / 1_000.0);
                let next = next.min(most).max(1.0);
                (next < FULL).then_some(next)
            }
        };
    }

    /// The share to be published; `None` if all submissions are within the entitlement.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the type's range"
    )]
    pub(crate) fn permille(&self) -> Option<u16> {
        let share = |share: f64| share.round().clamp(0.0, PARTS as f64) as u16;
        self.permille.map(share)
    }

    /// Records that `permille` was published.
    pub(crate) fn record_published(&mut self, permille: Option<u16>, now_ms: u64) {
        let permille = permille.unwrap_or(u16::MAX);
        let last = self.published.back().map_or(u16::MAX, |(_at, last)| *last);
        if permille != last {
            self.published.push_back((now_ms, permille));
        }
    }

    /// Whether nothing is known of the account that another update wouldn't give again.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.published.is_empty()
    }

    fn prune(&mut self, now_ms: u64) {
        let from = now_ms.saturating_sub(LONGEST_WINDOW_MS);
        self.jobs.retain(|(at, _place)| *at >= from);
        let from = from.saturating_sub(APPLY_MS);
        // The last one before that time is in force at that time.
        while self.published.get(1).is_some_and(|(at, _)| *at < from) {
            self.published.pop_front();
        }
        let is_over = |(at, permille): &(u64, u16)| *at < from && *permille == u16::MAX;
        if self.published.front().is_some_and(is_over) {
            self.published.pop_front();
        }
    }

    /// The smallest share that some gateway may have applied after `from_ms`.
    fn smallest_since(&self, from_ms: u64) -> u64 {
        let from = from_ms.saturating_sub(APPLY_MS);
        let before = self.published.iter().rev().find(|(at, _)| *at < from);
        let since = self.published.iter().filter(|(at, _)| *at >= from);
        let shares = since.chain(before).map(|(_at, permille)| *permille);
        shares.min().map_or(PARTS, u64::from).min(PARTS)
    }

    /// Accepted jobs of the window that all gateways accept, and submissions per second.
    fn submissions(&self, window_ms: u64, now_ms: u64) -> (usize, f64) {
        let from = now_ms.saturating_sub(window_ms);
        let smallest = self.smallest_since(from);
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(at, place)| *at > from && *place < smallest);
        let jobs = jobs.count();
        let seconds = window_ms as f64 / 1_000.0;
        let all = jobs as f64 * PARTS as f64 / smallest.max(1) as f64;
        (jobs, all / seconds)
    }

    fn is_exceeded(&self, now_ms: u64) -> bool {
        WINDOWS_MS.iter().any(|window| {
            let seconds = *window as f64 / 1_000.0;
            let (_jobs, rate) = self.submissions(*window, now_ms);
            // A burst of one second, and of at least one job, is within the entitlement.
            let allowed = self.entitlement * seconds + self.entitlement.max(1.0);
            rate * seconds > allowed * TOLERANCE + 1.0
        })
    }

    fn target(&self, now_ms: u64) -> f64 {
        let counts = WINDOWS_MS.map(|window| self.submissions(window, now_ms));
        let [.., longest] = counts;
        let enough = counts.into_iter().find(|(jobs, _rate)| *jobs >= SAMPLES);
        let (_jobs, rate) = enough.unwrap_or(longest);
        // A rise that is too large to be chance counts before the window has enough submissions.
        let certain =
            counts.map(|(jobs, rate)| rate * (1.0 - DEVIATIONS / (jobs.max(1) as f64).sqrt()));
        let rate = certain.into_iter().fold(rate, f64::max);
        let share = PARTS as f64 * self.entitlement / rate;
        if share.is_finite() {
            share.clamp(1.0, PARTS as f64)
        } else {
            PARTS as f64
        }
    }
}
