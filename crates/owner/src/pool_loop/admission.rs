//! The part of the loop on what it publishes for the admission of jobs.

use super::{PoolLoop, RegisteredWorkers};
use crate::log_digest::first_names;
use log::info;
use primroseroute_admission::{PoolLoad, Publisher};
use primroseroute_cell::{Cell, Millis, row::Accepted};
use primroseroute_domain::work::{Demand, JobId, Name};
use primroseroute_platform::site::Account;
use std::{collections::BTreeMap, time::Duration};

/// Minimum time between two computations of the figures: each goes through all unfinished jobs.
const OBSERVE_INTERVAL: Millis = 100;

/// Maximum age at which the time of an acceptance is taken from its row. Jobs that the change feed
/// shows late, after an outage, would otherwise seem to arrive at once.
const MAX_JOB_AGE: Millis = 10_000;

/// What the loop knows for its publications.
#[derive(Debug)]
pub(super) struct Admission {
    publisher: Publisher,
    observed_at: Option<Millis>,
}

impl PoolLoop {
    /// Computes the figures if that is due, and returns those to be published. Nothing is published
    /// without accounts, or while admission is switched off.
    pub(super) fn due_load(&mut self) -> Option<PoolLoad> {
        let configuration = self.configuration.as_ref();
        let accounts = configuration.map_or(&[][..], |known| &known.accounts);
        if accounts.is_empty() || !self.context.bounds.borrow().admission {
            self.end_admission();
            return None;
        }
        let clock = self.context.clock;
        let now = clock.now();
        let admission = self.admission.get_or_insert_with(|| Admission {
            publisher: Publisher::new(self.token),
            observed_at: None,
        });
        let is_early = |at: Millis| now < at + OBSERVE_INTERVAL;
        if !admission.observed_at.is_some_and(is_early) {
            admission.observed_at = Some(now);
            let mut backlog = self.cell.backlog(clock.wall_ms());
            backlog.largest_worker = largest_worker(&self.cell, self.registered_list.as_ref());
            let entitlement = |account: &Account| (Name::clone(&account.name), account.weight);
            let entitlements = accounts.iter().map(entitlement).collect();
            admission.publisher.observe(&backlog, &entitlements, now);
        }
        admission.publisher.due(now).cloned()
    }

    /// Records that `load` was published by a commit that was sent at `sent_at`.
    pub(super) fn record_load(&mut self, load: PoolLoad, sent_at: Millis) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let pool = &self.context.pool;
        let published = admission.publisher.published();
        let limited = published.is_some_and(|load| load.beyond_wait_ms > 0);
        let limits = load.beyond_wait_ms > 0;
        if limited != limits {
            log_change(pool, &load);
        }
        let [within, beyond] =
            [load.within_wait_ms, load.beyond_wait_ms].map(Duration::from_millis);
        self.context.observer.expected_waits(pool, within, beyond);
        admission.publisher.record_published(load, sent_at);
    }

    /// Ends the publications of this loop.
    pub(super) fn end_admission(&mut self) {
        let Some(admission) = self.admission.take() else {
            return;
        };
        let pool = &self.context.pool;
        let published = admission.publisher.published();
        if let Some(load) = published.filter(|load| load.beyond_wait_ms > 0) {
            let none = Duration::ZERO;
            self.context.observer.expected_waits(pool, none, none);
            log_change(
                pool,
                &PoolLoad {
                    within_wait_ms: 0,
                    beyond_wait_ms: 0,
                    within_permille: BTreeMap::new(),
                    ..load.clone()
                },
            );
        }
    }

    /// Counts a job that was received, unless it was before. Long-running and scheduled jobs aren't
    /// subject to admission.
    pub(super) fn count_accepted(&mut self, id: &JobId, accepted: &Accepted, times: (Millis, u64)) {
        let (Some(admission), Some(account)) = (&mut self.admission, &accepted.account) else {
            return;
        };
        let job = &accepted.job;
        if job.schedule.is_some() || job.lasting() || self.cell.is_known(id) {
            return;
        }
        let (now, wall_ms) = times;
        let age = wall_ms.saturating_sub(accepted.at_ms).min(MAX_JOB_AGE);
        let at = now.saturating_sub(age);
        admission.publisher.add_accepted(account, id, at);
    }
}

impl Admission {
    /// Counts the work of a task that was completed, in core-milliseconds.
    pub(super) fn count_completed(&mut self, core_ms: u64, now: Millis) {
        self.publisher.add_completed(core_ms, now);
    }
}

/// The largest capacity of an instance of the fleet. If the platform doesn't tell them, that of a
/// registered worker of any pool, which a registration without a worker may overstate.
fn largest_worker(cell: &Cell, registered: Option<&RegisteredWorkers>) -> Demand {
    cell.largest_host().unwrap_or_else(|| {
        let workers = registered.into_iter().flat_map(|list| list.values());
        workers.fold(Demand::default(), |largest, worker| {
            largest.larger(worker.capacity)
        })
    })
}

/// One line when a pool begins to limit submissions, and one when it ends.
fn log_change(pool: &str, load: &PoolLoad) {
    let PoolLoad {
        owner: token,
        rate_cpu,
        within_wait_ms,
        beyond_wait_ms,
        within_permille,
        ..
    } = load;
    if *beyond_wait_ms > 0 {
        let shares = within_permille.iter();
        let shares = shares.map(|(account, permille)| format!("{account} {permille}"));
        let accounts = first_names(shares);
        info!(pool, token, within_wait_ms, beyond_wait_ms, rate_cpu, accounts = &*accounts; "pool limits submissions");
    } else {
        info!(pool, token, rate_cpu; "pool no longer limits submissions");
    }
}
