//! The part of the loop that handles events.

use super::PoolLoop;
use crate::{cancels::FeedRead, event::Event, load::JobRows, log_lines};
use log::info;
use primroseroute_cell::{Cell, Millis, Outcome};
use primroseroute_domain::work::{End, Name};
use std::pin::pin;
use tokio::time::Instant;

impl PoolLoop {
    pub(super) fn handle(&mut self, event: Event) {
        let now = self.context.clock.now();
        let wall_ms = self.context.clock.wall_ms();
        match event {
            Event::Jobs(jobs, at) => self.apply_jobs(jobs, at, (now, wall_ms)),
            Event::Budgets(rows) => {
                if let Some(budgets) = &mut self.budgets {
                    budgets.apply(&rows);
                }
            }
            Event::BudgetsWritten(written) => {
                if let Some(budgets) = &mut self.budgets {
                    budgets.record_written(written, now);
                }
            }
            Event::FeedWatermark(at) => self.cell.advance_feed_watermark(at),
            Event::LeaseRenewalSent {
                worker,
                lease_expires_at,
            } => {
                self.cell.lease_renewal_sent(&worker, lease_expires_at);
            }
            Event::PollResponse {
                worker,
                status,
                sent_at,
                at,
            } => {
                for ended in self.cell.new_ends(&worker, &status) {
                    self.context.observer.run_ended(ended.how);
                    if ended.how == End::Done {
                        if let Some(admission) = &mut self.admission {
                            admission.count_completed(self.cell.task_core_ms(&ended.task), now);
                        }
                    } else {
                        self.digest
                            .run_ended(&worker, &ended.task, ended.run, ended.how);
                    }
                }
                self.cell
                    .apply_status(&worker, &status, sent_at, at, wall_ms);
            }
            Event::Terminated {
                worker,
                incarnation,
                asked_at,
            } => {
                self.worker_ended(worker, |cell, worker| {
                    cell.worker_terminated(worker, incarnation, asked_at)
                });
            }
            Event::Listed {
                worker,
                incarnation,
                asked_at,
            } => {
                if self.cell.worker_listed(&worker, incarnation, asked_at) {
                    info!(pool = &*self.context.pool, worker = &*worker; "unresponsive worker has outlived its new runs");
                }
            }
            Event::Replaced(worker) => self.worker_ended(worker, Cell::worker_replaced),
            Event::StartOutcome {
                worker,
                task,
                run,
                outcome,
            } => {
                self.context.observer.start_finished(outcome);
                if outcome != Outcome::Started {
                    info!(worker = &*worker, task:% = task, run, outcome:? = outcome; "start not confirmed");
                }
                self.cell
                    .record_start_outcome(&worker, &task, run, outcome, now);
            }
            Event::StopAccepted { worker, task, run } => {
                if self.cell.record_stop_accepted(&worker, &task, run, now) {
                    self.pool_workers.poll_now(&worker);
                }
            }
            Event::TombstonesDeleted(gone) => self.tombstones.remove(gone),
            Event::ReassignedWritten(write, is_stored) => {
                self.reassigned.record(write, is_stored, now);
            }
            Event::RowsDeleted(id) => self.cell.record_rows_deleted(id, wall_ms),
            Event::Advice {
                request,
                answer,
                sent_at,
            } => self.cell.record_advice(&request, answer, sent_at, now),
            Event::SetEvacuating { worker, reason } => self.cell.set_evacuating(&worker, reason),
            Event::StopBatchTasks(worker) => self.cell.stop_batch_tasks(&worker),
        }
    }

    /// Applies rows of jobs that arrived at `at`.
    fn apply_jobs(&mut self, jobs: JobRows, at: Millis, times: (Millis, u64)) {
        let read = FeedRead {
            before: self.cell.feed_watermark(),
            at,
        };
        for (id, accepted) in jobs.accepted {
            self.jobs_received += 1;
            self.count_accepted(&id, &accepted, times);
            self.cell.accept(id, accepted);
        }
        self.cancels
            .apply(&mut self.cell, &jobs.cancelled, read, times);
        self.tombstones.apply(jobs.tombstones);
    }

    /// Records the end of a worker's incarnation with `apply`, which returns whether it was
    /// unknown.
    fn worker_ended(&mut self, worker: Name, apply: impl FnOnce(&mut Cell, &Name) -> bool) {
        let runs = self.cell.runs_on(&worker);
        if apply(&mut self.cell, &worker) {
            self.digest.worker_ended(worker, runs);
        }
    }

    /// Waits for a call to the store, and handles events meanwhile.
    ///
    /// The store may take seconds. Without this, a cancel that is stored and known would stop
    /// nothing until the store answers, and its tasks would run on for that long.
    pub(super) async fn handle_events_during<T>(&mut self, call: impl Future<Output = T>) -> T {
        let mut call = pin!(call);
        loop {
            let event = tokio::select! {
                biased;
                done = &mut call => return done,
                event = self.events.recv() => event,
            };
            if let Some(event) = event {
                self.handle(event);
            }
            // Finding the runs to stop goes through all runs, so it is done once for a batch of
            // events.
            while let Ok(event) = self.events.try_recv() {
                self.handle(event);
            }
            self.digest.write_if_due(&self.context.pool);
            let now = self.context.clock.now();
            let decided = Instant::now();
            let immediate_stops = self.cell.immediate_stops(now);
            log_lines::orders(&self.context.pool, &immediate_stops);
            self.send(immediate_stops, now, decided);
        }
    }
}
