//! Concurrent recording of results.

use crate::{
    client::RequestEnd,
    outcome::{Outcome, Tally},
    plan::Plan,
};
use parking_lot::Mutex;
use std::{collections::BTreeMap, time::Duration};

/// Number of shards, which reduces lock contention between tasks.
const SHARDS: u64 = 16;

/// Sharded tallies by profile. No task holds two of the locks at a time.
#[derive(Debug)]
pub(crate) struct Record {
    shards: Vec<Mutex<Vec<Tally>>>,
}

impl Record {
    pub(crate) fn open(plan: &Plan) -> Self {
        let shard = || Mutex::new(vec![Tally::default(); plan.mix.len()]);
        Self {
            shards: (0..SHARDS).map(|_| shard()).collect(),
        }
    }

    /// Records the request `number` of `profile`, with its scheduled time and its end as durations
    /// since the start.
    pub(crate) fn count(
        &self,
        plan: &Plan,
        number: u64,
        profile: usize,
        (due, end): (Duration, Duration),
        ended: RequestEnd,
    ) {
        let shard = usize::try_from(number % SHARDS).unwrap_or(0);
        let tally = &mut self.shards[shard].lock()[profile];
        if plan.is_measured(due) {
            tally.count(ended.verdict, ended.code, end.saturating_sub(due));
        }
        let is_completed = ended.verdict == primroseroute_domain::outcome::Verdict::Completed;
        tally.finished += u64::from(is_completed && plan.is_measured(end));
    }

    pub(crate) fn close(&self, plan: &Plan) -> Outcome {
        let mut accounts: BTreeMap<_, Tally> = BTreeMap::new();
        for shard in &self.shards {
            for (profile, tally) in plan.mix.iter().zip(shard.lock().iter()) {
                accounts
                    .entry(profile.account.clone())
                    .or_default()
                    .add(tally);
            }
        }
        Outcome {
            measured: plan.measured,
            accounts,
        }
    }
}
