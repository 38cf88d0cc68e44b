//! Assignment of queued jobs to instances, by dominant-resource fairness.

use super::{
    AccountQueue, Entry, QueueKey, Scheduler,
    candidates::{Assignment, Candidate},
    job_class,
};
use crate::{
    action::Action,
    amount,
    lease::Run,
    row::{Row, State},
    share::ShareRank,
    worker::Worker,
};
use primroseroute_domain::{id, time::Instant};
use primroseroute_platform::task::{Start, Token};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

/// Number of jobs of a queue without a suitable instance after which the queue is skipped for this
/// plan: jobs of one kind have similar sizes, so the next one is unlikely to find an instance either.
const MAX_MISSES: u32 = 8;

/// Progress of the search among one account's jobs in this plan.
#[derive(Debug, Default)]
struct Search {
    /// The oldest job of each queue that was not examined.
    heads: BTreeSet<(Entry, QueueKey)>,
    misses: BTreeMap<QueueKey, u32>,
}

impl Search {
    fn from_heads(queues: &AccountQueue) -> Self {
        let head = |(key, entries): (&QueueKey, &BTreeSet<Entry>)| {
            entries.first().map(|entry| (entry.clone(), key.clone()))
        };
        Self {
            heads: queues.iter().filter_map(head).collect(),
            misses: BTreeMap::new(),
        }
    }

    /// The oldest job that was not examined.
    fn next(&mut self, queues: &AccountQueue) -> Option<(Entry, QueueKey)> {
        let (entry, key) = self.heads.pop_first()?;
        let rest = queues
            .get(&key)
            .map(|entries| entries.range((Excluded(&entry), Unbounded)));
        let next = rest.and_then(|mut rest| rest.next());
        self.heads
            .extend(next.map(|next| (next.clone(), key.clone())));
        Some((entry, key))
    }

    /// Records that a job of a queue found no instance.
    fn missed(&mut self, queue_key: &QueueKey) {
        let misses = self.misses.entry(queue_key.clone()).or_default();
        *misses += 1;
        if *misses >= MAX_MISSES {
            self.heads.retain(|(_, key)| key != queue_key);
        }
    }
}

impl Scheduler {
    pub(super) fn assign_queued(
        &mut self,
        now: Duration,
        at: Instant,
        workers: &BTreeMap<id::Instance, Worker>,
        weights: &BTreeMap<id::Account, u32>,
    ) {
        let mut assignment = self.begin_assignment(workers, weights);
        self.reserve_for_aged(&mut assignment, now, at);
        let has_jobs = |queues: &AccountQueue| queues.values().any(|entries| !entries.is_empty());
        let waiting = self.queue.iter().filter(|(_, queues)| has_jobs(queues));
        let mut order: BTreeSet<ShareRank> = waiting
            .map(|(account, _)| assignment.shares.account_rank(account))
            .collect();
        let mut searches: BTreeMap<id::Account, Search> = BTreeMap::new();
        let mut started = 0;
        while started < self.limits.starts
            && let Some(ShareRank { account, .. }) = order.pop_first()
        {
            let queues = &self.queue[&account];
            let search = searches
                .entry(account.clone())
                .or_insert_with(|| Search::from_heads(queues));
            // A job that finds no instance once finds none later in the plan, since starts only reduce
            // free capacity; an account without a start is thus done.
            let Some((job, instance)) = self.next_startable(queues, search, &assignment) else {
                continue;
            };
            self.start(&job, &instance, &mut assignment, now);
            started += 1;
            order.insert(assignment.shares.account_rank(&account));
        }
    }

    /// The account's oldest job that finds an instance, and that instance.
    fn next_startable(
        &self,
        queues: &AccountQueue,
        search: &mut Search,
        assignment: &Assignment<'_>,
    ) -> Option<(id::Job, id::Instance)> {
        loop {
            let ((_, job), queue_key) = search.next(queues)?;
            if let Some(instance) = self.choose(&self.rows[&job], assignment) {
                return Some((job, instance));
            }
            search.missed(&queue_key);
        }
    }

    /// The best fit: the instance that is left with the least free capacity, so that large jobs fit
    /// elsewhere. A job that has failed before prefers proven instances, and a job avoids the instance
    /// on which its lease expired.
    pub(super) fn choose(&self, row: &Row, assignment: &Assignment<'_>) -> Option<id::Instance> {
        if assignment.unproven_runs(&job_class(row)) >= self.limits.faults {
            return None;
        }
        let candidates = assignment.candidates.get(&row.pool)?;
        let size = self.clamped_size(row, assignment);
        let failed_here = |candidate: &&Candidate<'_>| row.failed_on.contains(&candidate.worker.id);
        // A job that has failed on every instance continues: it is then parked by its number of
        // attempts, and never waits for an instance that does not exist.
        let everywhere = candidates
            .values()
            .filter(|candidate| candidate.open)
            .all(|candidate| failed_here(&candidate));
        let possible = candidates.values().filter(|candidate| {
            amount::fits(size, candidate.free)
                && self.may_run(row, candidate)
                && (everywhere || !failed_here(candidate))
        });
        let rank = |candidate: &Candidate<'_>| {
            let left = amount::subtract(candidate.free, size);
            let unproven = row.failures > 0 && !candidate.proven;
            let expired_here = self.expired_on.get(&row.id) == Some(&candidate.worker.id);
            (
                expired_here || unproven,
                amount::dominant_fraction(left, candidate.worker.capacity),
            )
        };
        let best = possible
            .map(|candidate| (rank(candidate), candidate))
            .min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, candidate)| candidate.worker.id.clone())
    }

    fn may_run(&self, row: &Row, candidate: &Candidate<'_>) -> bool {
        let id = &candidate.worker.id;
        let reserved = self.reserved.get(&row.pool);
        candidate.open
            && candidate.worker.pressure <= self.limits.pressure_high
            && reserved.is_none_or(|(job, reserved)| reserved != id || *job == row.id)
            && (candidate.proven
                || self
                    .fault_tracker
                    .may_accept(id, candidate.running, &self.limits))
    }

    /// Starts a job: assigns the next token, updates the row and adds the call.
    pub(super) fn start(
        &mut self,
        job: &id::Job,
        instance: &id::Instance,
        assignment: &mut Assignment<'_>,
        now: Duration,
    ) {
        self.dequeue(job);
        let Some(row) = self.rows.get_mut(job) else {
            return;
        };
        row.token = Token(row.token.0 + 1);
        row.state = State::Running(instance.clone());
        let row = &self.rows[job];
        let start = Start {
            job: job.clone(),
            instance: instance.clone(),
            token: row.token,
            resources: self.clamped_size(row, assignment),
            lease: self.limits.lease,
        };
        self.count_run(row, assignment);
        self.runs.insert(job.clone(), Run::started(now));
        self.changed.insert(job.clone());
        self.actions.push(Action::Start(start));
    }
}
