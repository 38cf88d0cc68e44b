//! Advice on which workers may run the steps of queues whose policy only the advice service knows.

use crate::{
    cell::Cell,
    limits::Millis,
    order::AdviceRequest,
    placement::{WaitingStep, allows_ignoring_policy},
};
use primroseroute_domain::work::{Name, TaskId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Maximum number of workers in one request: the service takes longer for each, and a job's
/// objective leaves time for this many.
const MAX_WORKERS: usize = 30;

/// Maximum number of concurrent requests of one pool; the service rejects entries that have 32 of
/// them waiting.
const MAX_OPEN_REQUESTS: usize = 6;

/// Part of a ticket's validity that is left for the start to reach its worker.
const SEND_MARGIN_MS: Millis = 300;

/// Delay after a request without an answer.
const RETRY_DELAY_MS: Millis = 200;

/// What is known of the workers for one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Policy {
    /// Workers that may not run it; this doesn't change during their incarnation.
    denied: BTreeSet<Name>,
    /// Valid tickets by worker, with the time until which they are used.
    tickets: BTreeMap<Name, (Name, Millis)>,
    request_open: bool,
    retry_at: Millis,
}

impl Policy {
    /// Records that a worker has begun its next incarnation, in which tickets of the previous one
    /// aren't valid.
    pub(crate) fn begin_incarnation(&mut self, worker: &Name) {
        self.tickets.remove(worker);
    }

    /// Drops tickets that are too old to be used.
    fn expire(&mut self, now: Millis) {
        self.tickets
            .retain(|_worker, (_ticket, until)| now < *until);
    }
}

/// Drops expired tickets and entries of steps and workers that no longer exist.
pub(crate) fn expire(cell: &mut Cell, now: Millis) {
    let Cell {
        policies,
        jobs,
        workers,
        ..
    } = cell;
    policies.retain(|step, _policy| jobs.contains_key(&step.job));
    for policy in policies.values_mut() {
        policy.expire(now);
        policy.denied.retain(|worker| workers.contains_key(worker));
    }
}

/// Whether starts of a task need a ticket.
pub(crate) fn needs_ticket(cell: &Cell, task: &TaskId) -> bool {
    let job = cell.jobs.get(&task.job);
    job.is_some_and(|job| cell.advised_queues.contains(&job.accepted.queue))
}

/// Whether the queue's policy is known to allow a worker to run a task.
pub(crate) fn allows(cell: &Cell, task: &TaskId, worker: &Name) -> bool {
    !needs_ticket(cell, task) || ticket(cell, task, worker).is_some()
}

/// The ticket for a start.
pub(crate) fn ticket(cell: &Cell, task: &TaskId, worker: &Name) -> Option<Name> {
    let policy = cell.policies.get(&task.step_id())?;
    let (ticket, _until) = policy.tickets.get(worker)?;
    Some(Name::clone(ticket))
}

/// Requests for steps that still wait: for workers with free capacity that weren't asked about, or
/// that may run the step and whose ticket has expired. Workers with the most free capacity come
/// first.
pub(crate) fn requests(
    cell: &mut Cell,
    waiting: &[WaitingStep],
    now: Millis,
) -> Vec<AdviceRequest> {
    let open = cell
        .policies
        .values()
        .filter(|policy| policy.request_open)
        .count();
    let mut requests = Vec::new();
    for waiting in waiting {
        if open + requests.len() >= MAX_OPEN_REQUESTS {
            break;
        }
        let task = waiting.first_task();
        if !needs_ticket(cell, &task) || !waiting.still_waits(cell) {
            continue;
        }
        let step = task.step_id();
        let policy = cell.policies.entry(step.clone()).or_default();
        if policy.request_open || now < policy.retry_at {
            continue;
        }
        let workers = candidates(cell, &task, now);
        if workers.is_empty() {
            continue;
        }
        if let Some(policy) = cell.policies.get_mut(&step) {
            policy.request_open = true;
        }
        requests.push(AdviceRequest { step, workers });
    }
    requests
}

fn candidates(cell: &Cell, task: &TaskId, now: Millis) -> Vec<Name> {
    let policy = cell.policies.get(&task.step_id());
    let (Some(step), Some(policy)) = (cell.step(task), policy) else {
        return Vec::new();
    };
    let open = cell.workers.iter().filter(|(id, worker)| {
        worker.accepts_runs(now, &cell.limits)
            && step.reserved().fits(worker.free_capacity())
            && allows_ignoring_policy(worker, task, step, 0)
            && !policy.denied.contains(*id)
            && !policy.tickets.contains_key(*id)
    });
    let mut open: Vec<_> = open
        .map(|(id, worker)| (Reverse(worker.free_capacity().cpu), id))
        .collect();
    open.sort_unstable();
    let ids = open.into_iter().take(MAX_WORKERS);
    ids.map(|(_room, id)| Name::clone(id)).collect()
}

/// Applies the answer to a request that was sent at `sent_at`; `None` if there was none.
pub(crate) fn apply_answer(
    cell: &mut Cell,
    request: &AdviceRequest,
    answer: Option<(BTreeMap<Name, Name>, Millis)>,
    sent_at: Millis,
    now: Millis,
) {
    let Some(policy) = cell.policies.get_mut(&request.step) else {
        return;
    };
    policy.request_open = false;
    let Some((tickets, valid)) = answer else {
        policy.retry_at = now + RETRY_DELAY_MS;
        return;
    };
    let until = (sent_at + valid).saturating_sub(SEND_MARGIN_MS);
    for worker in &request.workers {
        match tickets.get(worker) {
            Some(ticket) => {
                let ticket = (Name::clone(ticket), until);
                policy.tickets.insert(Name::clone(worker), ticket);
            }
            None => {
                policy.denied.insert(Name::clone(worker));
            }
        }
    }
}

/// Drops a ticket that its worker has refused.
pub(crate) fn ticket_refused(cell: &mut Cell, task: &TaskId, worker: &Name) {
    if let Some(policy) = cell.policies.get_mut(&task.step_id()) {
        policy.tickets.remove(worker);
    }
}
