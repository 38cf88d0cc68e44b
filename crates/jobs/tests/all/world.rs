//! A fake of the platform: instances, tasks with true sizes and run times, lagging reports.

use primroseroute_domain::{id, time::Instant};
use primroseroute_jobs::{Action, Availability, Board, Kind, Limits, Plan, Row, State, Worker};
use primroseroute_platform::task::{Phase, Report, Resources, Token};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Seconds between two plans.
pub const TICK: u64 = 5;
/// Seconds after which a late failure comes.
pub const LATE: u64 = 100;
/// Ticks by which reports lag.
pub const LAG: u64 = 3;

/// The truth about a job, which the decisions do not see.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    pub size: Resources,
    pub seconds: u64,
    pub broken: bool,
}

/// A run on the platform.
#[derive(Clone, Debug)]
pub struct Task {
    pub job: id::Job,
    pub instance: id::Instance,
    pub token: Token,
    pub left: u64,
    pub lapses: u64,
    pub fraction: f64,
    pub checkpoint: f64,
    ended: Option<Phase>,
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub board: Board,
    pub workers: BTreeMap<id::Instance, Worker>,
    pub weights: BTreeMap<id::Account, u32>,
    pub truths: BTreeMap<id::Job, Truth>,
    pub tasks: Vec<Task>,
    /// Instances that fail every job at once.
    pub bad: BTreeSet<id::Instance>,
    /// Instances that the platform hears nothing of; their tasks run on.
    pub cut: BTreeSet<id::Instance>,
    /// Instances that fail every job after [`LATE`] seconds.
    pub late: BTreeSet<id::Instance>,
    /// Whether the reports cannot be read.
    pub unread: bool,
    /// Whether calls are lost on their way.
    pub deaf: bool,
    /// Whether tasks write no checkpoint when asked.
    pub no_checkpoints: bool,
    pub starts: Vec<(id::Job, id::Instance)>,
    pub quarantined: BTreeSet<id::Instance>,
    reports: VecDeque<Vec<Report>>,
}

pub fn cores(cores: f64) -> Resources {
    Resources {
        cores,
        memory: cores,
        accelerators: 0.0,
    }
}

pub fn truth(size: Resources, seconds: u64) -> Truth {
    Truth {
        size,
        seconds,
        broken: false,
    }
}

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

impl World {
    /// `count` instances of 8 cores in one pool, named `w0` and so on.
    pub fn start(count: u32) -> Self {
        let worker = |n: u32| Worker {
            id: name(&format!("w{n}")),
            pool: name("pool"),
            capacity: cores(8.0),
            availability: Availability::Open,
            pressure: 0.0,
        };
        let workers = (0..count)
            .map(worker)
            .map(|worker| (worker.id.clone(), worker));
        Self {
            now: 0,
            board: Board::open(Limits::default(), [], Duration::ZERO),
            workers: workers.collect(),
            weights: BTreeMap::new(),
            truths: BTreeMap::new(),
            tasks: Vec::new(),
            bad: BTreeSet::new(),
            cut: BTreeSet::new(),
            late: BTreeSet::new(),
            unread: false,
            deaf: false,
            no_checkpoints: false,
            starts: Vec::new(),
            quarantined: BTreeSet::new(),
            reports: VecDeque::new(),
        }
    }

    pub fn submit(
        &mut self,
        job: &str,
        account: &str,
        kind: &str,
        declared: Resources,
        truth: Truth,
    ) {
        let row = Row::submit(
            name(job),
            name(account),
            name("pool"),
            Kind(kind.into()),
            declared,
            Instant(self.now * 1000),
        );
        self.truths.insert(row.id.clone(), truth);
        self.board.add(row);
    }

    pub fn state(&self, job: &str) -> &State {
        &self.board.row(&name(job)).expect("the job is known").state
    }

    pub fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers
            .get_mut(&name::<id::Instance>(id))
            .expect("the worker is known")
    }

    pub fn starts_of(&self, job: &str) -> usize {
        self.starts
            .iter()
            .filter(|(started, _)| started.as_str() == job)
            .count()
    }

    pub fn starts_on(&self, instance: &str) -> usize {
        self.starts
            .iter()
            .filter(|(_, on)| on.as_str() == instance)
            .count()
    }

    /// Another controller takes over with nothing but the rows.
    pub fn take_over(&mut self) {
        let rows: Vec<Row> = self.board.rows().cloned().collect();
        self.board = Board::open(Limits::default(), rows, Duration::from_secs(self.now));
    }

    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// One plan, the calls that it asks for, and [`TICK`] seconds of work.
    pub fn tick(&mut self) -> Plan {
        let now = Duration::from_secs(self.now);
        if !self.unread && self.reports.len() as u64 > LAG {
            let reports = self.reports.pop_front().unwrap_or_default();
            self.board.report(&reports, now);
        }
        let at = Instant(self.now * 1000);
        let plan = self.board.plan(now, at, &self.workers, &self.weights);
        for action in &plan.actions {
            self.carry_out(action);
        }
        self.work();
        self.report();
        self.now += TICK;
        plan
    }

    fn carry_out(&mut self, action: &Action) {
        let now = Duration::from_secs(self.now);
        match action {
            Action::Start(start) => {
                if !self.deaf {
                    let running = self
                        .tasks
                        .iter()
                        .find(|task| task.job == start.job && task.ended.is_none());
                    assert!(running.is_none(), "second run of {running:?}");
                    self.starts
                        .push((start.job.clone(), start.instance.clone()));
                    self.tasks.push(Task {
                        job: start.job.clone(),
                        instance: start.instance.clone(),
                        token: start.token,
                        left: self.truths[&start.job].seconds,
                        lapses: self.now + start.lease.as_secs(),
                        fraction: 1.0,
                        checkpoint: 0.0,
                        ended: None,
                    });
                }
                self.board.returned(&start.job, start.token, now);
            }
            Action::Renew { job, token, lease } => {
                let lapses = self.now + lease.as_secs();
                self.on(job, *token, |task| task.lapses = lapses);
                self.board.returned(job, *token, now);
            }
            Action::Checkpoint { .. } if self.no_checkpoints => {}
            Action::Checkpoint { job, token } => {
                self.on(job, *token, |task| task.checkpoint += 0.1);
            }
            Action::Throttle {
                job,
                token,
                fraction,
            } => {
                self.on(job, *token, |task| task.fraction = *fraction);
            }
            Action::Stop { job, token } if self.deaf => self.board.not_stopped(job, *token),
            Action::Stop { job, token } => {
                let cut = self.cut.clone();
                self.on(job, *token, |task| {
                    if !cut.contains(&task.instance) {
                        task.ended = Some(Phase::Stopped);
                    }
                });
            }
            Action::Quarantine { instance, .. } => {
                self.quarantined.insert(instance.clone());
            }
        }
    }

    fn on(&mut self, job: &id::Job, token: Token, change: impl FnOnce(&mut Task)) {
        let same =
            |task: &&mut Task| task.job == *job && task.token == token && task.ended.is_none();
        if !self.deaf
            && let Some(task) = self.tasks.iter_mut().find(same)
        {
            change(task);
        }
    }

    fn work(&mut self) {
        for task in self.tasks.iter_mut().filter(|task| task.ended.is_none()) {
            task.left = task.left.saturating_sub(TICK);
            let truth = self.truths[&task.job];
            let late = task.left + LATE <= truth.seconds && self.late.contains(&task.instance);
            let broken = truth.broken || late || self.bad.contains(&task.instance);
            if self.now + TICK > task.lapses {
                task.ended = Some(Phase::Stopped);
            } else if broken {
                task.ended = Some(Phase::Failed);
            } else if task.left == 0 {
                task.ended = Some(Phase::Done);
            }
        }
    }

    fn report(&mut self) {
        let as_of = Instant(self.now * 1000);
        let heard = self
            .tasks
            .iter()
            .filter(|task| !self.cut.contains(&task.instance));
        let report = |task: &Task| Report {
            job: task.job.clone(),
            instance: task.instance.clone(),
            token: task.token,
            phase: task.ended.unwrap_or(Phase::Running),
            usage: self.truths[&task.job].size,
            checkpoint: task.checkpoint,
            as_of,
        };
        self.reports.push_back(heard.map(report).collect());
        // An ended task is reported once; the fake keeps no history.
        let cut = &self.cut;
        self.tasks
            .retain(|task| task.ended.is_none() || cut.contains(&task.instance));
    }
}
