//! Transactions that accept a job.

use crate::admission::millis;
use bytes::Bytes;
use primroseroute_cell::row::{self, Accepted, Claim, overflow::MAX_ATTEMPTS};
use primroseroute_domain::{
    time,
    work::{Job, JobId, Name},
};
use primroseroute_platform::{
    rows::{Txn, Version},
    site::Queue,
};
use std::time::Duration;

/// The rows of a job that is to be accepted.
#[derive(Debug)]
pub(crate) struct Acceptance<'a> {
    pub id: &'a JobId,
    pool: Name,
    claim: Bytes,
    accepted: Bytes,
}

impl<'a> Acceptance<'a> {
    pub(crate) fn new(
        queue: &Queue,
        account: Option<&Name>,
        id: &'a JobId,
        job: Job,
        now: time::Instant,
    ) -> Self {
        let objective_ms = objective_ms(queue, &job);
        let accepted = Accepted {
            queue: Name::clone(&queue.name),
            pool: Name::clone(&queue.pool),
            job,
            at_ms: now.0,
            priority: queue.priority,
            max_attempts: queue.max_attempts.min(MAX_ATTEMPTS),
            objective_ms,
            account: account.cloned(),
        };
        let claim = Claim {
            pool: Name::clone(&queue.pool),
            queue: Name::clone(&queue.name),
            account: account.cloned(),
        };
        let claim = serde_json::to_vec(&claim).expect("a claim has plain fields");
        let accepted = serde_json::to_vec(&accepted).expect("a job has plain fields");
        Self {
            id,
            pool: Name::clone(&queue.pool),
            claim: claim.into(),
            accepted: accepted.into(),
        }
    }

    /// The transaction that accepts the job if its id is claimed by this tombstone, or not at all.
    pub(crate) fn replacing(&self, tombstone: Option<(Claim, Version)>) -> Txn {
        let version = tombstone.as_ref().map_or(0, |(_claim, version)| *version);
        let marker =
            tombstone.map(|(claim, _version)| row::tombstone::marker(&claim.pool, self.id));
        Txn {
            conditions: vec![(row::claim(self.id), version)],
            puts: vec![
                (row::claim(self.id), self.claim.clone()),
                (row::accepted(&self.pool, self.id), self.accepted.clone()),
            ],
            deletes: marker.into_iter().collect(),
        }
    }
}

/// Time from its acceptance within which a job should be done, in milliseconds.
pub(crate) fn objective_ms(queue: &Queue, job: &Job) -> u64 {
    let chain = Duration::from_millis(job.chain_ms());
    let objective = chain.mul_f64(queue.stretch.max(0.0)) + Duration::from_millis(queue.target_ms);
    millis(objective)
}
