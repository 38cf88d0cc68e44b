//! Whether accounts stay within the maximum of what they may have running.

use super::Sent;
use primroseroute_domain::work::{Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after the publication of a configuration until which the one before may be in force.
const IN_FORCE_MS: u64 = 3_000;

/// What an account may have running beyond its maximum, in percent; one task more is allowed
/// besides.
const OVERRUN_PERCENT: u64 = 10;

/// Active runs by account.
#[derive(Default)]
pub(super) struct AccountLoads<'a> {
    active: BTreeMap<&'a Name, BTreeSet<(&'a Name, &'a TaskId, u32)>>,
}

impl<'a> AccountLoads<'a> {
    pub(super) fn ended(&mut self, sent: &'a Sent, worker: &'a Name, task: &'a TaskId, run: u32) {
        if let Some(account) = sent.accounts.get(&task.job)
            && let Some(active) = self.active.get_mut(account)
        {
            active.remove(&(worker, task, run));
        }
    }

    /// Records a start; returns whether it exceeds the maximum of its account.
    pub(super) fn started(
        &mut self,
        sent: &'a Sent,
        at: u64,
        worker: &'a Name,
        (task, run): (&'a TaskId, u32),
    ) -> bool {
        let Some(account) = sent.accounts.get(&task.job) else {
            return false;
        };
        let active = self.active.entry(account).or_default();
        active.insert((worker, task, run));
        let used = active.iter().map(|(_worker, task, _run)| cpu(sent, task));
        let used = used.sum::<u64>();
        let maximum = largest_maximum(sent, account, at);
        maximum > 0 && used > maximum + maximum * OVERRUN_PERCENT / 100 + cpu(sent, task)
    }
}

/// The largest maximum of an account that may be in force; 0 for none.
fn largest_maximum(sent: &Sent, account: &Name, at: u64) -> u64 {
    let published = sent.maximums.iter();
    let published = published.filter(|(from, _maximums)| *from <= at);
    let replaced_at = sent.maximums.iter().skip(1).map(|(from, _maximums)| *from);
    let replaced_at = replaced_at.chain([u64::MAX]);
    let in_force = published
        .zip(replaced_at)
        .filter(|(_published, replaced)| at <= replaced.saturating_add(IN_FORCE_MS));
    let maximums = in_force.map(|((_from, maximums), _replaced)| {
        let maximum = maximums.get(account).copied().unwrap_or(0);
        if maximum == 0 { u64::MAX } else { maximum }
    });
    match maximums.max() {
        None | Some(u64::MAX) => 0,
        Some(maximum) => maximum,
    }
}

/// Processor share that a task requests.
fn cpu(sent: &Sent, task: &TaskId) -> u64 {
    let job = sent.jobs.get(&task.job);
    let step = job.and_then(|job| job.steps.get(usize::from(task.step)));
    step.map_or(0, |step| step.demand.cpu)
}
