//! Counting from many tasks at once.

use crate::{
    client::Ended,
    outcome::{Outcome, Tally},
    plan::Plan,
};
use parking_lot::Mutex;
use std::{collections::BTreeMap, time::Duration};

/// Parts of the record, so that tasks seldom wait for each other.
const PARTS: u64 = 16;

/// Tallies by profile, in parts. Each lock is taken alone.
#[derive(Debug)]
pub(crate) struct Record {
    parts: Vec<Mutex<Vec<Tally>>>,
}

impl Record {
    pub(crate) fn open(plan: &Plan) -> Self {
        let part = || Mutex::new(vec![Tally::default(); plan.mix.len()]);
        Self {
            parts: (0..PARTS).map(|_| part()).collect(),
        }
    }

    /// Counts the request `number` of `profile`, which was due and has ended at these times since
    /// the start.
    pub(crate) fn count(
        &self,
        plan: &Plan,
        number: u64,
        profile: usize,
        (due, end): (Duration, Duration),
        ended: Ended,
    ) {
        let part = usize::try_from(number % PARTS).unwrap_or(0);
        let tally = &mut self.parts[part].lock()[profile];
        if plan.measures(due) {
            tally.count(ended.verdict, ended.code, end.saturating_sub(due));
        }
        let is_completed = ended.verdict == primroseroute_domain::outcome::Verdict::Completed;
        tally.finished += u64::from(is_completed && plan.measures(end));
    }

    pub(crate) fn close(&self, plan: &Plan) -> Outcome {
        let mut accounts: BTreeMap<_, Tally> = BTreeMap::new();
        for part in &self.parts {
            for (profile, tally) in plan.mix.iter().zip(part.lock().iter()) {
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
