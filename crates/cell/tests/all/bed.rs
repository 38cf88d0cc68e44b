//! A cell with workers that do as they are told.

use bytes::Bytes;
use primroseroute_cell::{
    Cell, Limits, Millis, Order, Outcome, Tick,
    row::{Accepted, Progress},
};
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_platform::{
    site::Worker,
    worker::{Ended, Running, WorkerStatus},
};
use std::collections::BTreeMap;

/// What every worker has.
pub(crate) const CAPACITY: Demand = Demand {
    cpu: 10_000,
    memory: 10_000,
    accelerators: 0,
};

/// Time of day at steady time 0.
pub(crate) const WALL: u64 = 1_000_000;

pub(crate) struct Bed {
    pub cell: Cell,
    pub now: Millis,
    /// What runs on each worker, with its percent.
    pub running: BTreeMap<Name, BTreeMap<TaskId, (u32, u32)>>,
    /// Tails of response times of lasting tasks, where they aren't 0.
    pub tails: BTreeMap<TaskId, u64>,
    ended: BTreeMap<Name, Vec<Ended>>,
    /// The jobs as they were accepted.
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

impl Bed {
    /// A cell that has held a round.
    pub(crate) fn new(workers: &[&str]) -> Self {
        let mut bed = Self::unseen(workers);
        bed.round();
        bed
    }

    /// A cell that was just taken over.
    pub(crate) fn unseen(workers: &[&str]) -> Self {
        let mut bed = Self {
            cell: Cell::new(Limits::new(6_000, 120_000), 0),
            now: 0,
            running: BTreeMap::new(),
            tails: BTreeMap::new(),
            ended: BTreeMap::new(),
            accepted: BTreeMap::new(),
            rows: BTreeMap::new(),
            jobs: 0,
        };
        for id in workers {
            bed.cell.register(worker(id));
            bed.running.insert((*id).into(), BTreeMap::new());
        }
        bed.look();
        bed
    }

    pub(crate) fn accept(&mut self, job: Job) -> JobId {
        self.jobs += 1;
        let id = JobId::parse(&format!("{:016x}", self.jobs)).expect("16 digits");
        let accepted = Accepted {
            queue: "queue".into(),
            pool: "pool".into(),
            at_ms: WALL + self.now,
            priority: 0,
            max_attempts: 2,
            objective_ms: job.chain_ms() * 2 + 500,
            job,
        };
        self.accepted.insert(id.clone(), accepted.clone());
        self.cell.accept(id.clone(), accepted);
        id
    }

    /// Another owner takes over: it knows what is committed, and nothing else.
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

    /// One round whose orders are all carried out; the orders.
    pub(crate) fn tick(&mut self) -> Vec<Order> {
        let tick = self.round();
        let orders = [tick.urgent, tick.orders].concat();
        for order in &orders {
            self.carry_out(order);
        }
        orders
    }

    /// One round that is committed, and whose orders aren't sent.
    pub(crate) fn round(&mut self) -> Tick {
        self.cell.heard(self.now);
        let tick = self.cell.tick(self.now, WALL + self.now);
        self.rows.extend(tick.puts.iter().cloned());
        self.cell.committed(&tick, self.now);
        tick
    }

    /// Orders of a round that still hold once it is committed.
    pub(crate) fn standing(&mut self, tick: Tick) -> Vec<Order> {
        let (standing, _withdrawn) = self.cell.standing(tick.orders, self.now);
        standing
    }

    pub(crate) fn carry_out(&mut self, order: &Order) {
        match order {
            Order::Start {
                worker, task, run, ..
            } => {
                let running = self.running.entry(Name::clone(worker)).or_default();
                running.insert(task.clone(), (*run, 0));
                let now = self.now;
                self.cell
                    .answered(worker, task, *run, Outcome::Started, now);
            }
            Order::Stop { worker, task, run } => {
                self.cell.stopped(worker, task, *run, self.now);
                let on = Name::clone(worker);
                self.end(&on, task, End::Stopped);
            }
            Order::Pace { .. } => {}
        }
    }

    /// Ends what runs of a task on a worker.
    pub(crate) fn end(&mut self, worker: &Name, task: &TaskId, how: End) {
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

    /// Lets all lasting tasks be at work.
    pub(crate) fn settle(&mut self) {
        for running in self.running.values_mut() {
            for (_run, percent) in running.values_mut() {
                *percent = 100;
            }
        }
    }

    /// Time passes, and every worker is looked at.
    pub(crate) fn after(&mut self, millis: Millis) {
        self.now += millis;
        self.look();
    }

    pub(crate) fn look(&mut self) {
        let ids: Vec<Name> = self.running.keys().cloned().collect();
        for id in ids {
            self.look_at(&id);
        }
    }

    pub(crate) fn look_at(&mut self, id: &Name) {
        self.look_sent_at(id, self.now);
    }

    /// Takes in a look that was sent at `sent_at`.
    pub(crate) fn look_sent_at(&mut self, id: &Name, sent_at: Millis) {
        let running = self.running[id].iter();
        let running = running.map(|(task, (run, percent))| Running {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: *percent,
            load: self.tails.get(task).copied().unwrap_or(0),
        });
        let look = WorkerStatus {
            born: 1,
            clock_ms: self.now,
            running: running.collect(),
            ended: self.ended.get(id).cloned().unwrap_or_default(),
        };
        let wall = WALL + self.now;
        self.cell.look(id, &look, sent_at, self.now, wall);
    }

    /// Workers on which a task runs.
    pub(crate) fn on(&self, task: &TaskId) -> Vec<Name> {
        let with = self.running.iter();
        let with = with.filter(|(_id, running)| running.contains_key(task));
        with.map(|(id, _running)| Name::clone(id)).collect()
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
