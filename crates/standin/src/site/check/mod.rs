//! Checks a journal against what callers submitted, without any knowledge of the entries.

mod breach;
mod cancelled;
mod capacity;
mod quota;
mod readiness;

pub use breach::Breach;

use super::journal::{Event, Journal};
use capacity::WorkerLoads;
use primroseroute_domain::work::{End, Job, JobId, Name, TaskId};
use primroseroute_platform::site::Configuration;
use quota::AccountLoads;
use readiness::StepReadiness;
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// What callers submitted and which answers they got.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// All submitted jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs whose submissions were all refused with a final answer.
    pub refused: BTreeSet<JobId>,
    /// When the cancel of a job was acknowledged to its caller, in milliseconds since the site opened.
    pub cancelled: BTreeMap<JobId, u64>,
    /// Jobs for which a cancel was submitted.
    pub cancel_sent: BTreeSet<JobId>,
    /// Number of failed runs after which a task has failed.
    pub max_attempts: usize,
    /// Periods without any disruption, each from some seconds after the last one, in milliseconds since the site opened.
    pub calm: Vec<Range<u64>>,
    /// Time from a stop order to the end of the run, in milliseconds.
    pub stop: u64,
    /// The account that submitted each job, where one did.
    pub accounts: BTreeMap<JobId, Name>,
    /// What each account may have running, in thousandths of a core, by the time of the publication
    /// in milliseconds since the site opened; accounts that aren't named have no limit.
    pub maximums: Vec<(u64, BTreeMap<Name, u64>)>,
}

impl Sent {
    /// Records what the accounts of a configuration may have running from `at` on.
    pub fn record_maximums(&mut self, at: u64, configuration: &Configuration) {
        let accounts = configuration.accounts.iter();
        let maximums = accounts.map(|account| (Name::clone(&account.name), account.maximum.cpu));
        self.maximums.push((at, maximums.collect()));
    }
}

/// Longest time from the acknowledgement of a job's cancel to the last start of one of its tasks: the shortest that is
/// guaranteed to callers anywhere.
const CANCEL_TIMEOUT_MS: u64 = 3_000;

/// Minimum time between the orders of two entries to one instance.
const MIN_HANDOVER_MS: u64 = 3_000;

/// Number of workers that a task may crash before it has to be abandoned.
const MAX_CRASHED_WORKERS: u32 = 3;

/// Number of starts after those crashes at which a task is in breach.
const STARTS_AFTER_CRASHES: u32 = 3;

/// History of a task that crashes the workers on which it starts.
#[derive(Clone, Copy, Default)]
struct CrashHistory {
    crashes: u32,
    /// Starts since it crashed [`MAX_CRASHED_WORKERS`] workers.
    later_starts: u32,
}

/// An order to an instance.
#[derive(Clone, Copy)]
struct Order<'a> {
    at: u64,
    entry: &'a Name,
    token: u64,
}

#[derive(Default)]
struct Checker<'a> {
    running: BTreeMap<&'a TaskId, BTreeSet<(&'a Name, u32)>>,
    readiness: StepReadiness<'a>,
    workers: WorkerLoads<'a>,
    accounts: AccountLoads<'a>,
    done: BTreeSet<&'a TaskId>,
    acknowledged: BTreeSet<&'a TaskId>,
    failures: BTreeMap<&'a TaskId, usize>,
    crashing: BTreeMap<&'a TaskId, CrashHistory>,
    /// Ends of each worker, in the order of their numbers, with their times.
    ends: BTreeMap<&'a Name, Vec<(&'a TaskId, End, u64)>>,
    acknowledged_ends: BTreeMap<&'a Name, usize>,
    /// When the lease of a worker last expired.
    lease_expired_at: BTreeMap<&'a Name, u64>,
    /// Repeated starts of successful tasks whose end may be acknowledged later.
    restarts: BTreeMap<&'a TaskId, Vec<u64>>,
    /// The last order to each instance.
    orders: BTreeMap<&'a Name, Order<'a>>,
    /// When the last order to any instance was executed; it kills the runs on that instance at the same time.
    last_order_at: Option<u64>,
    breaches: Vec<Breach>,
}

/// All breaches in a journal, in the order in which they were found.
pub fn check(sent: &Sent, journal: &Journal) -> Vec<Breach> {
    let mut checker = Checker::default();
    for event in &journal.events {
        match event {
            Event::Started {
                at,
                worker,
                task,
                run,
                payload,
            } => checker.started(sent, *at, worker, task, *run, payload),
            Event::Stopping {
                at,
                worker,
                task,
                late,
                ..
            } => checker.stopping(sent, (*at, *late), worker, task),
            Event::Draining { worker, .. } => checker.readiness.draining(worker),
            Event::Ended {
                at,
                worker,
                task,
                run,
                how,
            } => {
                checker.killed_by_order(sent, *at, task, *how);
                checker.ended(sent, *at, (worker, task), *run, *how);
            }
            Event::Born { worker, .. } => checker.born(worker),
            Event::Resized {
                at,
                worker,
                capacity,
            } => checker.workers.resized(*at, worker, *capacity),
            Event::Crashed { task, .. } => checker.crashing.entry(task).or_default().crashes += 1,
            Event::Lapsed { at, worker } => {
                checker.lease_expired_at.insert(worker, *at);
            }
            Event::Noted { worker, number, .. } => checker.acknowledge(worker, *number),
            Event::Maintained {
                at,
                instance,
                entry,
                token,
            }
            | Event::Moved {
                at,
                instance,
                entry,
                token,
                ..
            } => checker.ordered(
                instance,
                Order {
                    at: *at,
                    entry,
                    token: *token,
                },
            ),
        }
    }
    checker
        .breaches
        .extend(cancelled::overlong_runs(sent, journal));
    checker.breaches
}

impl<'a> Checker<'a> {
    fn started(
        &mut self,
        sent: &'a Sent,
        at: u64,
        worker: &'a Name,
        task: &'a TaskId,
        run: u32,
        payload: &Name,
    ) {
        let Some(job) = sent.jobs.get(&task.job) else {
            self.breaches.push(Breach::Unasked(task.clone(), at));
            return;
        };
        if job.payload != *payload {
            self.breaches.push(Breach::Unasked(task.clone(), at));
        }
        if sent.refused.contains(&task.job) {
            self.breaches.push(Breach::Refused(task.clone(), at));
        }
        let cancelled = sent.cancelled.get(&task.job);
        if cancelled.is_some_and(|cancelled| at > cancelled + CANCEL_TIMEOUT_MS) {
            self.breaches.push(Breach::Cancelled(task.clone(), at));
        }
        let running = self.running.entry(task).or_default();
        if !running.is_empty() {
            self.breaches.push(Breach::Overlap(task.clone(), at));
        }
        running.insert((worker, run));
        if self.workers.started(sent, at, worker, (task, run)) {
            self.breaches.push(Breach::Full(task.clone(), at));
        }
        if self.accounts.started(sent, at, worker, (task, run)) {
            self.breaches.push(Breach::Quota(task.clone(), at));
        }
        self.readiness.started(task, at);
        if self.acknowledged.contains(task) {
            self.breaches.push(Breach::AfterDone(task.clone(), at));
        } else if self.done.contains(task) {
            self.restarts.entry(task).or_default().push(at);
        }
        if !self.is_due(job, task) {
            self.breaches.push(Breach::Early(task.clone(), at));
        }
        let failures = self.failures.get(task).copied().unwrap_or(0);
        let long_running = job.steps[usize::from(task.step)].lasting;
        if !long_running && failures >= sent.max_attempts {
            self.breaches.push(Breach::Budget(task.clone(), at));
        }
        if let Some(crashing) = self.crashing.get_mut(task)
            && crashing.crashes >= MAX_CRASHED_WORKERS
        {
            crashing.later_starts += 1;
            if crashing.later_starts >= STARTS_AFTER_CRASHES {
                self.breaches.push(Breach::Crashes(task.clone(), at));
            }
        }
    }

    /// A stop may end a ready task only if its step can do without it in addition to those that are unavailable.
    fn stopping(
        &mut self,
        sent: &Sent,
        (at, late): (u64, bool),
        worker: &'a Name,
        task: &'a TaskId,
    ) {
        let is_running = self.running.get(task).is_some_and(|runs| !runs.is_empty());
        let breaks =
            is_running && !late && self.readiness.stop_exceeds_limit(sent, at, worker, task);
        self.readiness.stopped(task, at);
        if breaks {
            self.breaches.push(Breach::Away(task.clone(), at));
        }
    }

    fn is_due(&self, job: &Job, task: &TaskId) -> bool {
        let step = &job.steps[usize::from(task.step)];
        step.after.iter().all(|&earlier| {
            let count = job.steps[usize::from(earlier)].count;
            (0..count).all(|index| {
                let required = TaskId {
                    step: earlier,
                    index,
                    ..task.clone()
                };
                self.done.contains(&required)
            })
        })
    }

    fn ended(
        &mut self,
        sent: &'a Sent,
        at: u64,
        (worker, task): (&'a Name, &'a TaskId),
        run: u32,
        how: Option<End>,
    ) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(&(worker, run));
        }
        self.workers.ended(worker, task, run);
        self.accounts.ended(sent, worker, task, run);
        self.readiness.ended(sent, at, task, how);
        let Some(how) = how else {
            return;
        };
        self.ends.entry(worker).or_default().push((task, how, at));
        if how == End::Done {
            self.done.insert(task);
        }
    }

    /// Each incarnation numbers its ends from one again, and ends of the previous one that were not acknowledged never will be.
    fn born(&mut self, worker: &'a Name) {
        self.ends.remove(worker);
        self.acknowledged_ends.remove(worker);
        self.lease_expired_at.remove(worker);
    }

    /// No run may be active on an instance when an order reaches it, except those of cancelled jobs, for which the order has
    /// the effect of a stop.
    fn killed_by_order(&mut self, sent: &Sent, at: u64, task: &TaskId, how: Option<End>) {
        let cancelled = sent.cancel_sent.contains(&task.job);
        if how.is_none() && self.last_order_at == Some(at) && !cancelled {
            self.breaches.push(Breach::CutOff(task.clone(), at));
        }
    }

    fn ordered(&mut self, instance: &'a Name, order: Order<'a>) {
        self.last_order_at = Some(order.at);
        let Some(previous) = self.orders.insert(instance, order) else {
            return;
        };
        let too_soon = previous.entry != order.entry && order.at < previous.at + MIN_HANDOVER_MS;
        let same_token = previous.entry != order.entry && order.token == previous.token;
        if too_soon || same_token || order.token < previous.token {
            let instance = Name::clone(instance);
            self.breaches.push(Breach::Holders(instance, order.at));
        }
    }

    /// Acknowledged ends count as known to the entries, except those after which the lease of their worker expired before the
    /// acknowledgement: their tasks may have been started elsewhere by then.
    fn acknowledge(&mut self, worker: &'a Name, number: u64) {
        let number = usize::try_from(number).unwrap_or(usize::MAX);
        let from = self.acknowledged_ends.get(worker).copied().unwrap_or(0);
        let ends = self.ends.get(worker).map_or(&[][..], Vec::as_slice);
        let until = number.min(ends.len());
        let expired = self.lease_expired_at.get(worker).copied();
        let counted = ends[from.min(until)..until].iter();
        let counted =
            counted.filter(|(_task, _how, at)| expired.is_none_or(|expired| expired < *at));
        for (task, how, at) in counted {
            match how {
                End::Done => {
                    self.acknowledged.insert(task);
                    let restarts = self.restarts.remove(task).unwrap_or_default();
                    let late = restarts.into_iter().filter(|started| started >= at);
                    let late = late.map(|started| Breach::AfterDone((*task).clone(), started));
                    self.breaches.extend(late);
                }
                End::Failed => *self.failures.entry(task).or_default() += 1,
                _ => {}
            }
        }
        self.acknowledged_ends.insert(worker, from.max(until));
    }
}
