//! A cell with simulated workers that execute every order.

use bytes::Bytes;
use primroseroute_cell::{
    Cell, Limits, Millis, Order, Outcome, RoundOutput,
    row::{Accepted, Progress},
};
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_platform::{
    site::Worker,
    worker::{Ended, Running, WorkerStatus},
};
use std::collections::BTreeMap;

/// Capacity of every worker.
pub(crate) const CAPACITY: Demand = Demand {
    cpu: 10_000,
    memory: 10_000,
    accelerators: 0,
};

/// Wall-clock time when the monotonic clock reads 0.
pub(crate) const WALL_AT_ZERO_MS: u64 = 1_000_000;

pub(crate) struct Fixture {
    pub cell: Cell,
    pub now: Millis,
    /// Tasks that run on each worker, with their run numbers and progress in percent.
    pub running: BTreeMap<Name, BTreeMap<TaskId, (u32, u32)>>,
    /// Tail latencies of long-running tasks; 0 where absent.
    pub tail_latencies: BTreeMap<TaskId, u64>,
    /// Queue of the jobs that are accepted next.
    pub queue: Name,
    ended: BTreeMap<Name, Vec<Ended>>,
    /// The jobs in their accepted form.
    accepted: BTreeMap<JobId, Accepted>,
    /// The newest committed row of each job.
    rows: BTreeMap<JobId, Bytes>,
    jobs: u64,
}

pub(crate) fn worker(id: &str) -> Worker {
    Worker {
        id: id.into(),
        born: 1,
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        draining: false,
        capacity: CAPACITY,
        labels: ["a".into()].into(),
    }
}

pub(crate) fn step(count: u16, cpu: u64) -> Step {
    Step {
        count,
        demand: Demand {
            cpu,
            memory: 100,
            accelerators: 0,
        },
        estimate_ms: 1_000,
        ..Step::default()
    }
}

pub(crate) fn job(steps: Vec<Step>) -> Job {
    Job {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

impl Fixture {
    /// A cell that has completed one scheduling round.
    pub(crate) fn new(workers: &[&str]) -> Self {
        let mut fixture = Self::just_taken_over(workers);
        fixture.round();
        fixture
    }

    /// A cell whose owner has just taken over and has not held a round.
    pub(crate) fn just_taken_over(workers: &[&str]) -> Self {
        let mut fixture = Self {
            cell: Cell::new(Limits::new(6_000, 120_000), 0),
            now: 0,
            running: BTreeMap::new(),
            tail_latencies: BTreeMap::new(),
            queue: "queue".into(),
            ended: BTreeMap::new(),
            accepted: BTreeMap::new(),
            rows: BTreeMap::new(),
            jobs: 0,
        };
        for id in workers {
            fixture.cell.register(worker(id));
            fixture.running.insert((*id).into(), BTreeMap::new());
        }
        fixture.poll_all();
        fixture
    }

    pub(crate) fn accept(&mut self, job: Job) -> JobId {
        self.accept_from(None, job)
    }

    /// Accepts a job that an account has submitted.
    pub(crate) fn accept_from(&mut self, account: Option<&str>, job: Job) -> JobId {
        self.accept_at(WALL_AT_ZERO_MS + self.now, account, job)
    }

    /// Accepts a job from an entry whose clock shows `at_ms`.
    pub(crate) fn accept_at(&mut self, at_ms: u64, account: Option<&str>, job: Job) -> JobId {
        self.jobs += 1;
        let id = JobId::parse(&format!("{:016x}", self.jobs)).expect("16 digits");
        let accepted = Accepted {
            queue: Name::clone(&self.queue),
            pool: "pool".into(),
            at_ms,
            priority: 0,
            max_attempts: 2,
            account: account.map(Name::from),
            objective_ms: job.chain_ms().saturating_mul(2).saturating_add(500),
            job,
        };
        self.accepted.insert(id.clone(), accepted.clone());
        self.cell.accept(id.clone(), accepted);
        id
    }

    /// Hands in all accepted jobs once more, as a full read of their rows does.
    pub(crate) fn read_again(&mut self) {
        for (id, accepted) in self.accepted.iter().rev() {
            self.cell.accept(id.clone(), accepted.clone());
        }
    }

    /// Replaces the owner by a new one that knows only committed rows.
    pub(crate) fn replace_owner(&mut self) {
        self.cell = Cell::new(Limits::new(6_000, 120_000), self.now);
        for (id, accepted) in &self.accepted {
            let (id, accepted) = (id.clone(), accepted.clone());
            match self.rows.get(&id) {
                Some(row) => {
                    let progress: Progress = serde_json::from_slice(row).expect("progress");
                    self.cell.restore(id, accepted, progress);
                }
                None => self.cell.accept(id, accepted),
            }
        }
        for id in self.running.keys() {
            self.cell.register(worker(id));
        }
    }

    /// Runs and commits one round, executes all its orders and returns them.
    pub(crate) fn execute_round(&mut self) -> Vec<Order> {
        let output = self.round();
        let orders = [output.immediate_stops, output.orders].concat();
        for order in &orders {
            self.execute(order);
        }
        orders
    }

    /// Runs and commits one round without sending its orders.
    pub(crate) fn round(&mut self) -> RoundOutput {
        self.cell.advance_feed_watermark(self.now);
        let output = self.cell.run_round(self.now, WALL_AT_ZERO_MS + self.now);
        self.rows.extend(output.puts.iter().cloned());
        self.cell.record_commit(&output, self.now);
        output
    }

    /// Returns the orders of a round that are still valid after its commit.
    pub(crate) fn revalidate(&mut self, output: RoundOutput) -> Vec<Order> {
        let (valid, _withdrawn) = self.cell.revalidate(output.orders, self.now);
        valid
    }

    pub(crate) fn execute(&mut self, order: &Order) {
        match order {
            Order::Start {
                worker, task, run, ..
            } => {
                let running = self.running.entry(Name::clone(worker)).or_default();
                running.insert(task.clone(), (*run, 0));
                let now = self.now;
                self.cell
                    .record_start_outcome(worker, task, *run, Outcome::Started, now);
            }
            Order::Stop { worker, task, run } => {
                self.cell.record_stop_accepted(worker, task, *run, self.now);
                let on = Name::clone(worker);
                self.end_run(&on, task, End::Stopped);
            }
            Order::Throttle { .. } => {}
        }
    }

    /// Ends a task's run on a worker, if there is one.
    pub(crate) fn end_run(&mut self, worker: &Name, task: &TaskId, how: End) {
        let running = self.running.entry(Name::clone(worker)).or_default();
        let Some((run, _percent)) = running.remove(task) else {
            return;
        };
        let ended = self.ended.entry(Name::clone(worker)).or_default();
        ended.push(Ended {
            number: ended.len() as u64 + 1,
            task: task.clone(),
            run,
            how,
            checkpoint: None,
        });
    }

    /// Ends a task's run as failed, with a checkpoint.
    pub(crate) fn fail_with_checkpoint(&mut self, task: &TaskId) {
        for worker in self.workers_running(task) {
            self.end_run(&worker, task, End::Failed);
            let ended = self
                .ended
                .get_mut(&worker)
                .and_then(|ended| ended.last_mut());
            if let Some(ended) = ended {
                ended.checkpoint = Some("checkpoint".into());
            }
        }
    }

    /// Marks all long-running tasks as ready.
    pub(crate) fn mark_all_ready(&mut self) {
        for running in self.running.values_mut() {
            for (_run, percent) in running.values_mut() {
                *percent = 100;
            }
        }
    }

    /// Advances the clock and polls every worker.
    pub(crate) fn advance(&mut self, millis: Millis) {
        self.now += millis;
        self.poll_all();
    }

    pub(crate) fn poll_all(&mut self) {
        let ids: Vec<Name> = self.running.keys().cloned().collect();
        for id in ids {
            self.poll(&id);
        }
    }

    pub(crate) fn poll(&mut self, id: &Name) {
        self.poll_sent_at(id, self.now);
    }

    /// Delivers the response to a poll that was sent at `sent_at`.
    pub(crate) fn poll_sent_at(&mut self, id: &Name, sent_at: Millis) {
        let running = self.running[id].iter();
        let running = running.map(|(task, (run, percent))| Running {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: *percent,
            load: self.tail_latencies.get(task).copied().unwrap_or(0),
        });
        let response = WorkerStatus {
            born: 1,
            clock_ms: self.now,
            running: running.collect(),
            ended: self.ended.get(id).cloned().unwrap_or_default(),
            foreign_ends: Vec::new(),
        };
        let wall = WALL_AT_ZERO_MS + self.now;
        self.cell
            .apply_status(id, &response, sent_at, self.now, wall);
    }

    /// Returns the workers on which a task runs.
    pub(crate) fn workers_running(&self, task: &TaskId) -> Vec<Name> {
        let matching = self.running.iter();
        let matching = matching.filter(|(_id, running)| running.contains_key(task));
        matching.map(|(id, _running)| Name::clone(id)).collect()
    }
}

pub(crate) fn task(job: &JobId, step: u16, index: u16) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn starts(orders: &[Order]) -> Vec<(TaskId, Name)> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start { worker, task, .. } => Some((task.clone(), Name::clone(worker))),
        _ => None,
    });
    starts.collect()
}
