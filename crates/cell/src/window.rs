//! How current the owner's knowledge of cancels is, and which orders are still valid after their
//! commit.

use crate::{
    cell::Cell,
    limits::Millis,
    migration,
    order::Order,
    placement::is_sibling,
    worker::{Run, StartState, StopState},
};
use primroseroute_domain::work::{Name, TaskId};

impl Cell {
    /// Records that all jobs and cancels that were stored by `at` are known.
    pub fn advance_feed_watermark(&mut self, at: Millis) {
        self.feed_watermark = self.feed_watermark.max(Some(at));
    }

    /// Time after `sent_at` within which a start must arrive whose commit was sent then.
    ///
    /// Without the bound by the known cancels, the lag of a busy or partitioned owner and the
    /// window of the commit add up, and work of a job begins seconds after its caller was told that
    /// it is cancelled. Jobs that were cancelled by `feed_watermark` aren't started, and no start
    /// takes effect later than the window after that.
    pub fn start_window(&self, sent_at: Millis) -> Millis {
        let known = self
            .feed_watermark
            .map_or(0, |at| at + self.limits.cancel_window);
        self.limits.start_window.min(known.saturating_sub(sent_at))
    }

    /// Whether enough of the window is left for starts that are decided now.
    pub(crate) fn may_start(&self, now: Millis) -> bool {
        self.start_window(now) >= self.limits.min_start_time
    }

    /// All jobs and cancels that were stored by this time are known.
    pub fn feed_watermark(&self) -> Millis {
        self.feed_watermark.unwrap_or(self.taken_at)
    }

    /// Splits committed orders into those that are still valid and those that aren't. The latter
    /// were never sent and are reverted.
    ///
    /// A decision may be outdated after its commit, which can take seconds. The stops of a
    /// cancelled job are sent at once, and a start that followed could overtake them on another
    /// connection; a worker may have announced that it drains, or restarted as another kind; a step
    /// that tolerated one more unavailable task doesn't tolerate it once another one has ended.
    pub fn revalidate(&mut self, orders: Vec<Order>, now: Millis) -> (Vec<Order>, Vec<Order>) {
        let mut valid = orders;
        let mut invalid = Vec::new();
        loop {
            // If a member of a gang is withdrawn, the others are too, in the next pass.
            let (holds, newly_invalid): (Vec<Order>, Vec<Order>) = valid
                .into_iter()
                .partition(|order| self.is_valid(order, now));
            valid = holds;
            if newly_invalid.is_empty() {
                break;
            }
            for order in &newly_invalid {
                self.revert(order);
            }
            invalid.extend(newly_invalid);
        }
        for order in &valid {
            if let Order::Stop { worker, task, .. } = order
                && let Some(entry) = self.run_mut(worker, task)
            {
                entry.last_stop_sent_at = Some(now);
            }
        }
        (valid, invalid)
    }

    fn run_mut(&mut self, worker: &Name, task: &TaskId) -> Option<&mut Run> {
        self.workers.get_mut(worker)?.runs.get_mut(task)
    }

    fn is_valid(&self, order: &Order, now: Millis) -> bool {
        match order {
            Order::Start {
                worker, task, run, ..
            } => {
                if self.is_held(&task.job) {
                    return false;
                }
                let worker = self.workers.get(worker);
                let worker = worker.filter(|worker| !worker.is_draining() && worker.is_described());
                let entry = worker.and_then(|worker| worker.runs.get(task));
                // The maximum of its account may have been lowered meanwhile.
                let is_admitted = |entry: &Run| {
                    let charge = entry.charge;
                    charge.is_none_or(|charge| self.meter.admits(charge, 0))
                };
                entry.is_some_and(|entry| {
                    entry.run == *run && entry.stop == StopState::No && is_admitted(entry)
                })
            }
            Order::Stop { worker, task, .. } => {
                let Some(on) = self.workers.get(worker) else {
                    return true;
                };
                // That the run is to stop isn't committed.
                if self.is_held(&task.job) && self.jobs.contains_key(&task.job) {
                    return false;
                }
                let entry = on.runs.get(task).filter(|entry| entry.lasting);
                let is_repeat = entry.is_some_and(|entry| entry.last_stop_sent_at.is_some());
                if is_repeat {
                    return migration::may_repeat_stop(self, worker, task, now);
                }
                let runs = entry
                    .is_some_and(|entry| matches!(entry.start_state, StartState::Confirmed(_)));
                if !runs || on.is_draining() || !migration::is_to_leave(self, worker, task) {
                    return true;
                }
                // The evacuation may have been withdrawn meanwhile, and then the tasks stay.
                on.evacuating.is_some() && migration::tolerates_unavailable(self, task, now)
            }
            Order::Throttle { .. } => true,
        }
    }

    fn revert(&mut self, order: &Order) {
        match order {
            Order::Start {
                worker, task, run, ..
            } => self.withdraw(worker, task, *run),
            Order::Stop { worker, task, .. } => {
                let Some(entry) = self.run_mut(worker, task) else {
                    return;
                };
                // A stop that may have been sent before can't be reverted.
                if entry.last_stop_sent_at.is_some() {
                    entry.stop = StopState::Requested;
                    return;
                }
                entry.stop = StopState::No;
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && job.unmark_leaving(task)
                {
                    self.dirty.insert(task.job.clone());
                }
            }
            Order::Throttle { .. } => {}
        }
    }

    /// Handles a start that was never sent: its run is over, and its task waits again if its job
    /// goes on.
    pub(crate) fn withdraw(&mut self, worker: &Name, task: &TaskId, run: u32) {
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.runs.get(task).is_some_and(|entry| entry.run == run)
        {
            worker.runs.remove(task);
        }
        self.back_to_waiting(worker, task, run, None);
        if self.step(task).is_some_and(|step| step.gang) {
            self.stop_gang(task, run);
        }
    }

    /// Members that were started would wait for the missing one until they end without it.
    fn stop_gang(&mut self, of: &TaskId, run: u32) {
        let runs = self
            .workers
            .values_mut()
            .flat_map(|worker| &mut worker.runs);
        for (task, entry) in runs {
            if is_sibling(task, of) && entry.run == run && entry.stop == StopState::No {
                entry.stop = StopState::Requested;
            }
        }
    }
}
