//! Sizes learned from lagging usage reports, in place of declared ones.

use crate::{amount, row::Kind};
use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

/// Weight of a new report in a running mean: about ten reports carry the estimate.
const WEIGHT: f64 = 0.2;

/// Bounds of a learned ratio of use to declaration, against reports of nearly nothing.
const RATIO: (f64, f64) = (0.01, 100.0);

/// What is known of the sizes of jobs.
///
/// In order of preference: what this very run uses; what other jobs of its account and kind use;
/// what its account uses of what it declares; what it declares. An account that declares ten times
/// too much or too little is thus corrected by its first reports, for kinds not seen yet too.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    runs: BTreeMap<id::Job, Resources>,
    kinds: BTreeMap<(id::Account, Kind), Resources>,
    ratios: BTreeMap<id::Account, Resources>,
}

impl Sizes {
    /// Takes in a report on a run.
    pub fn learn(
        &mut self,
        job: &id::Job,
        account: &id::Account,
        kind: &Kind,
        declared: Resources,
        usage: Resources,
    ) {
        self.runs.insert(job.clone(), usage);
        let kind = (account.clone(), kind.clone());
        let size = self.kinds.entry(kind).or_insert(usage);
        *size = amount::blend(*size, usage, WEIGHT);
        let now = Resources {
            cores: ratio(usage.cores, declared.cores),
            memory: ratio(usage.memory, declared.memory),
            accelerators: ratio(usage.accelerators, declared.accelerators),
        };
        let known = self.ratios.entry(account.clone()).or_insert(now);
        *known = amount::blend(*known, now, WEIGHT);
    }

    /// Forgets what a run used; what its kind uses stays.
    pub fn forget(&mut self, job: &id::Job) {
        self.runs.remove(job);
    }

    /// What a job needs, as far as is known.
    pub fn of(
        &self,
        job: &id::Job,
        account: &id::Account,
        kind: &Kind,
        declared: Resources,
    ) -> Resources {
        if let Some(usage) = self.runs.get(job) {
            return *usage;
        }
        if let Some(size) = self.kinds.get(&(account.clone(), kind.clone())) {
            return *size;
        }
        let ratio = self.ratios.get(account);
        ratio.map_or(declared, |ratio| amount::multiply(declared, *ratio))
    }
}

fn ratio(used: f64, declared: f64) -> f64 {
    if declared <= 0.0 {
        return 1.0;
    }
    (used / declared).clamp(RATIO.0, RATIO.1)
}
