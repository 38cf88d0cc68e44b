//! Job sizes estimated from lagging usage reports, which replace declared ones.

use crate::{amount, row::Kind};
use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

/// Weight of a new report in the moving average: about ten reports determine the estimate.
const REPORT_WEIGHT: f64 = 0.2;

/// Bounds of the estimated ratio of use to declaration, which limit the effect of near-zero reports.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Estimates of job sizes.
///
/// In order of preference: the use of this run; the use of other jobs of its account and kind; the
/// declared size times the ratio of use to declaration of its account; the declared size. An account
/// that declares ten times too much or too little is thus corrected by its first reports, also for
/// kinds without any reports.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    runs: BTreeMap<id::Job, Resources>,
    kinds: BTreeMap<(id::Account, Kind), Resources>,
    ratios: BTreeMap<id::Account, Resources>,
}

impl SizeEstimator {
    /// Records a usage report on a run.
    pub fn record(
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
        *size = amount::interpolate(*size, usage, REPORT_WEIGHT);
        let observed = Resources {
            cores: ratio(usage.cores, declared.cores),
            memory: ratio(usage.memory, declared.memory),
            accelerators: ratio(usage.accelerators, declared.accelerators),
        };
        let average = self.ratios.entry(account.clone()).or_insert(observed);
        *average = amount::interpolate(*average, observed, REPORT_WEIGHT);
    }

    /// Drops the use of a run; the estimate of its kind stays.
    pub fn forget_run(&mut self, job: &id::Job) {
        self.runs.remove(job);
    }

    /// The estimated size of a job.
    pub fn estimate(
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
    (used / declared).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)
}
