//! Inputs about registration, termination and evacuation of workers, and queries about workers.

use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    worker::{EvacuationReason, StopState, Termination, Worker},
};
use primroseroute_domain::work::{Demand, Name};
use primroseroute_platform::{site, worker::Target};
use std::collections::{BTreeMap, BTreeSet};

/// The registrations of workers; where any of them has answered a poll, of those that have. What a
/// registration states that no worker stands behind counts for nothing.
pub(crate) fn credible<'a>(
    workers: impl Iterator<Item = &'a Worker> + Clone,
) -> impl Iterator<Item = &'a site::Worker> {
    let described = workers.filter(|worker| worker.registration.is_some());
    let any_answered = described.clone().any(Worker::has_answered);
    let counted = described.filter(move |worker| !any_answered || worker.has_answered());
    counted.filter_map(|worker| worker.registration.as_ref())
}

impl Cell {
    /// Records a worker's registration.
    pub fn register(&mut self, info: site::Worker) {
        let id = Name::clone(&info.id);
        let now = self.round_at;
        let worker = self.worker(&id);
        let was_described = worker.is_described();
        worker.registration = Some(info);
        worker.registered = true;
        if was_described && !worker.is_described() {
            worker.unready_since = now;
        }
        self.capacities_changed = true;
    }

    /// Records that a worker isn't registered any more. Its runs go on until its lease expires or
    /// their ends are seen: it may only have lost its connection to the store.
    pub fn unregister(&mut self, worker: &Name) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.registered = false;
            self.capacities_changed = true;
        }
    }

    /// Records that an incarnation of a worker has terminated: nothing runs on it any more, but
    /// calls that got no answer may reach its next incarnation. Returns whether this wasn't known
    /// before.
    ///
    /// The information may be old and refer to the previous incarnation: `incarnation` is the one
    /// that was known when the platform was asked, and `asked_at` is the time of that. A start that
    /// was answered later may belong to the next incarnation.
    pub fn worker_terminated(&mut self, worker: &Name, incarnation: u64, asked_at: Millis) -> bool {
        let Some(known) = self.workers.get_mut(worker) else {
            return false;
        };
        if known.incarnation != incarnation {
            return false;
        }
        known.terminated_before = asked_at;
        self.terminate(worker, Termination::Incarnation)
    }

    /// Records that another worker has taken the place of this one, which never comes back. Returns
    /// whether this wasn't known before.
    pub fn worker_replaced(&mut self, worker: &Name) -> bool {
        self.terminate(worker, Termination::Permanent)
    }

    fn terminate(&mut self, worker: &Name, termination: Termination) -> bool {
        let Some(worker) = self.workers.get_mut(worker) else {
            return false;
        };
        let is_new = !worker.is_terminated();
        worker.termination = worker.termination.max(termination);
        is_new
    }

    /// Records that a renewal is sent: the worker's lease may be valid until `lease_expires_at`.
    pub fn lease_renewal_sent(&mut self, worker: &Name, lease_expires_at: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease_expires_at = worker.lease_expires_at.max(lease_expires_at);
        }
    }

    /// Requests that a worker is evacuated for planned work, or withdraws that request.
    ///
    /// This is also recorded for a worker that isn't known yet: the platform may list it before its
    /// registration arrives. Otherwise it would get tasks then, while the order to its instance is
    /// on its way.
    pub fn set_evacuating(&mut self, worker: &Name, wanted: Option<EvacuationReason>) {
        if wanted.is_some() {
            self.worker(worker).evacuating = wanted;
        } else if let Some(worker) = self.workers.get_mut(worker) {
            worker.evacuating = None;
        }
    }

    /// A worker, which is added if it isn't known.
    pub(crate) fn worker(&mut self, id: &Name) -> &mut Worker {
        let lease_expires_at = self.taken_at + self.limits.max_local_span(self.limits.lease);
        let now = self.round_at;
        let worker = self.workers.entry(Name::clone(id));
        worker.or_insert_with(|| Worker::new(lease_expires_at, now))
    }

    /// Capacities of the registered workers that are described, as far as they are credible.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = Demand> {
        let registered = self.workers.values();
        let registered = registered.filter(|worker| worker.registered && worker.is_described());
        credible(registered).map(|info| info.capacity)
    }

    /// Requests a stop of all batch tasks on a worker.
    pub fn stop_batch_tasks(&mut self, worker: &Name) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        for run in worker.runs.values_mut() {
            if !run.lasting && run.stop == StopState::No {
                run.stop = StopState::Requested;
            }
        }
    }

    /// All known workers, including those that are known only because runs of them may exist.
    pub fn workers(&self) -> impl Iterator<Item = &Name> + Clone {
        self.workers.keys()
    }

    /// The incarnation of a worker that the newest status came from; 0 before the first status.
    pub fn incarnation(&self, worker: &Name) -> u64 {
        let worker = self.workers.get(worker);
        worker.map_or(0, |worker| worker.incarnation)
    }

    /// Number of runs that may be under way on a worker.
    pub fn runs_on(&self, worker: &Name) -> usize {
        self.workers
            .get(worker)
            .map_or(0, |worker| worker.runs.len())
    }

    /// Whether nothing can run on a worker, and it gets no new runs because it is being evacuated.
    pub fn is_evacuated(&self, worker: &Name) -> bool {
        let found = self.workers.get(worker);
        found.is_some_and(|worker| worker.evacuating.is_some() && worker.runs.is_empty())
    }

    /// Workers without a status for a while that may have runs, or whose lease has expired
    /// recently.
    pub fn unresponsive(&self, now: Millis) -> BTreeSet<Name> {
        let unresponsive = self.workers.iter();
        let unresponsive = unresponsive.filter(|(_id, worker)| self.is_unresponsive(worker, now));
        unresponsive.map(|(id, _worker)| Name::clone(id)).collect()
    }

    /// Terminated workers whose runs may still begin if they come back.
    pub fn terminated(&self) -> BTreeSet<Name> {
        let terminated = self.workers.iter();
        let terminated =
            terminated.filter(|(_id, worker)| worker.is_terminated() && !worker.runs.is_empty());
        terminated.map(|(id, _worker)| Name::clone(id)).collect()
    }

    /// The unresponsive workers that new runs may have crashed.
    pub fn possibly_crashed(&self, now: Millis) -> BTreeSet<Name> {
        let limits = self.limits;
        let possibly_crashed = self.workers.iter().filter(|(_id, worker)| {
            self.is_unresponsive(worker, now)
                && (worker.expired_lease.is_some() || !crash::new_runs(worker, &limits).is_empty())
        });
        possibly_crashed
            .map(|(id, _worker)| Name::clone(id))
            .collect()
    }

    /// Records that the platform, asked at `asked_at`, still listed an unresponsive worker. Returns
    /// whether this shows that the worker has survived runs that were new.
    ///
    /// A worker that has crashed disappears from the list for a while, and may then be listed again
    /// with its next incarnation. So only an uninterrupted series of listings, from the last status
    /// on, refers to one incarnation. A later listing is kept as evidence that the worker may have
    /// survived.
    pub fn worker_listed(&mut self, id: &Name, incarnation: u64, asked_at: Millis) -> bool {
        let limits = self.limits;
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.is_terminated() || worker.incarnation != incarnation {
            return false;
        }
        let new = crash::new_runs(worker, &limits).len();
        worker.record_listing(asked_at);
        let outlived = crash::new_runs(worker, &limits).len() < new;
        let alive_at = worker.alive_at();
        let expired = worker.expired_lease.take_if(|expired| {
            expired.runs.retain(|new| alive_at < Some(new.survived_at));
            // If it is alive after the expiry, nothing ran any more.
            expired.runs.is_empty() || alive_at >= Some(expired.at)
        });
        if outlived {
            crash::clear_crashes(self, id);
        }
        outlived || expired.is_some()
    }

    fn is_unresponsive(&self, worker: &Worker, now: Millis) -> bool {
        let last_status = worker.status_at.unwrap_or(self.taken_at);
        let matters = !worker.runs.is_empty() || worker.expired_lease.is_some();
        matters && !worker.is_terminated() && now >= last_status + self.limits.unresponsive_after
    }

    /// The workers whose termination is looked up at the platform, which are the unresponsive ones
    /// and those being evacuated: their last known incarnation, by its start time on the worker's
    /// clock; 0 before the first status.
    pub fn incarnations(&self, now: Millis) -> BTreeMap<Name, u64> {
        let incarnations = self.workers.iter();
        let incarnations = incarnations.filter(|(_id, worker)| {
            worker.evacuating.is_some() || self.is_unresponsive(worker, now)
        });
        incarnations
            .map(|(id, worker)| (Name::clone(id), worker.incarnation))
            .collect()
    }

    /// Number of long-running tasks that may run on a worker.
    pub fn long_running_on(&self, worker: &Name) -> usize {
        let found = self.workers.get(worker);
        found.map_or(0, |worker| {
            worker.runs.values().filter(|run| run.lasting).count()
        })
    }

    /// Addresses of the workers that haven't terminated, and of those whose next incarnation may
    /// get starts meant for the last one.
    pub fn targets(&self) -> Vec<Target> {
        let targets = self.workers.values().filter_map(|worker| {
            let answers = match worker.termination {
                Termination::NotKnown => true,
                Termination::Incarnation => !worker.runs.is_empty(),
                Termination::Permanent => false,
            };
            let info = worker.registration.as_ref().filter(|_info| answers)?;
            Some(Target {
                id: Name::clone(&info.id),
                address: info.address,
            })
        });
        targets.collect()
    }
}
