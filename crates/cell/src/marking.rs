//! Marks of jobs: whether each is within the entitlement of its account.
//!
//! Jobs are marked once per round, sorted by the time of their acceptance and then by id. So neither
//! the order in which the feed hands in a batch matters, nor whether an owner learns of jobs one by
//! one or reads all of them at its takeover: a successor marks the same jobs from the same rows.
//! Finished jobs count as well while their rows are stored.

use crate::{cell::Cell, limits::Millis, row::Accepted};
use primroseroute_accounts::entitlement::{Entitlements, Mark};
use primroseroute_admission::Waiting;
use primroseroute_domain::work::{JobId, Name};
use std::collections::BTreeMap;

/// Maximum difference between the time at which a job says that it was accepted and the time in
/// which the owner can have learned of it. Beyond that the clock of its entry is wrong.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 1_000;

/// How long a new owner waits for the weights of accounts before it marks jobs without them.
const MAX_WEIGHTS_WAIT_MS: Millis = 10_000;

/// A job to be marked.
#[derive(Clone, Debug)]
struct Unmarked {
    at_ms: u64,
    id: JobId,
    account: Name,
    /// Whether it was accepted since the takeover and counts in [`Waiting`].
    counts_as_accepted: bool,
}

/// State of the marks of jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Marking {
    entitlements: Entitlements,
    /// Whether the weights are known.
    has_weights: bool,
    /// Whether there was a round: jobs known before the first one weren't accepted since then.
    had_round: bool,
    unmarked: Vec<Unmarked>,
    /// Watermark of the jobs' feed when jobs were last marked; `None` before that.
    marked_until: Option<Millis>,
    /// Jobs by account that were accepted since the takeover.
    accepted: BTreeMap<Option<Name>, Waiting>,
}

impl Marking {
    /// Sets the weights of accounts; those that aren't named are entitled to nothing.
    pub(crate) fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a Name, f64)>) {
        self.entitlements.set_weights(weights);
        self.has_weights = true;
    }

    /// Adds a job that wasn't known before.
    pub(crate) fn add(&mut self, id: &JobId, accepted: &Accepted) {
        let job = &accepted.job;
        let counts_as_accepted = self.had_round && job.schedule.is_none() && !job.lasting();
        if let Some(account) = &accepted.account {
            self.unmarked.push(Unmarked {
                at_ms: accepted.at_ms,
                id: id.clone(),
                account: Name::clone(account),
                counts_as_accepted,
            });
        } else if counts_as_accepted {
            self.accepted.entry(None).or_default().accepted_beyond += 1;
        }
    }

    /// Number of jobs by account that were accepted since the takeover.
    pub(crate) fn accepted(&self) -> &BTreeMap<Option<Name>, Waiting> {
        &self.accepted
    }

    fn count(&mut self, account: Name, mark: Mark) {
        let counts = self.accepted.entry(Some(account)).or_default();
        match mark {
            Mark::Within => counts.accepted_within += 1,
            Mark::Beyond => counts.accepted_beyond += 1,
        }
    }
}

/// Marks the jobs that have become known since the last round.
pub(crate) fn run(cell: &mut Cell, now: Millis, wall_ms: u64) {
    let marking = &mut cell.marking;
    marking.had_round = true;
    if !marking.has_weights && now < cell.taken_at + MAX_WEIGHTS_WAIT_MS {
        return;
    }
    // All earlier jobs were known before; at the takeover, any may be new.
    let lag = marking.marked_until.map(|until| now.saturating_sub(until));
    let earliest = lag.map_or(0, |lag| {
        wall_ms.saturating_sub(lag.saturating_add(MAX_CLOCK_DIFFERENCE_MS))
    });
    let latest = wall_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS);
    marking.marked_until = cell.feed_watermark.or(Some(cell.taken_at));
    let mut jobs = std::mem::take(&mut marking.unmarked);
    for job in &mut jobs {
        if !(earliest..=latest).contains(&job.at_ms) {
            job.at_ms = wall_ms;
        }
    }
    jobs.sort_unstable_by(|one, other| (one.at_ms, &one.id).cmp(&(other.at_ms, &other.id)));
    for unmarked in jobs {
        let mark = marking.entitlements.mark(&unmarked.account, unmarked.at_ms);
        if unmarked.counts_as_accepted {
            marking.count(unmarked.account, mark);
        }
        if let Some(job) = cell.jobs.get_mut(&unmarked.id) {
            job.mark = Some(mark);
            job.counted_at_ms = unmarked.at_ms;
        }
    }
}
