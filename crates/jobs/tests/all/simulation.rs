//! A simulated platform: instances, tasks with true sizes and run times, lagging reports.

use primroseroute_domain::{id, time::Instant};
use primroseroute_jobs::{Action, Availability, Kind, Limits, Plan, Row, Scheduler, State, Worker};
use primroseroute_platform::task::{Phase, Report, Resources, Token};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Time between two plans.
pub const TICK_SECONDS: u64 = 5;
/// Run time after which jobs fail on instances that fail late.
pub const LATE_FAILURE_SECONDS: u64 = 100;
/// Delay of reports.
pub const REPORT_LAG_TICKS: u64 = 3;

/// True behaviour of a job, which the scheduler does not see.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
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
    pub remaining_seconds: u64,
    pub lease_expires_at: u64,
    pub fraction: f64,
    pub checkpoint: f64,
    ended: Option<Phase>,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: u64,
    pub scheduler: Scheduler,
    pub workers: BTreeMap<id::Instance, Worker>,
    pub weights: BTreeMap<id::Account, u32>,
    pub profiles: BTreeMap<id::Job, Profile>,
    pub tasks: Vec<Task>,
    /// Instances that fail every job at once.
    pub failing: BTreeSet<id::Instance>,
    /// Instances that the platform cannot reach; their tasks continue.
    pub partitioned: BTreeSet<id::Instance>,
    /// Instances that fail every job after [`LATE_FAILURE_SECONDS`].
    pub failing_late: BTreeSet<id::Instance>,
    /// Whether the reports cannot be read.
    pub reports_unreadable: bool,
    /// Whether calls are lost in transit.
    pub calls_lost: bool,
    /// Whether tasks ignore requests for checkpoints.
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

pub fn profile(size: Resources, seconds: u64) -> Profile {
    Profile {
        size,
        seconds,
        broken: false,
    }
}

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

impl Simulation {
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
            scheduler: Scheduler::restore(Limits::default(), [], Duration::ZERO),
            workers: workers.collect(),
            weights: BTreeMap::new(),
            profiles: BTreeMap::new(),
            tasks: Vec::new(),
            failing: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            failing_late: BTreeSet::new(),
            reports_unreadable: false,
            calls_lost: false,
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
        profile: Profile,
    ) {
        let row = Row::submit(
            name(job),
            name(account),
            name("pool"),
            Kind(kind.into()),
            declared,
            Instant(self.now * 1000),
        );
        self.profiles.insert(row.id.clone(), profile);
        self.scheduler.add(row);
    }

    pub fn state(&self, job: &str) -> &State {
        &self
            .scheduler
            .row(&name(job))
            .expect("the job is known")
            .state
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

    /// Another controller takes over, which knows only the rows.
    pub fn take_over(&mut self) {
        let rows: Vec<Row> = self.scheduler.rows().cloned().collect();
        self.scheduler = Scheduler::restore(Limits::default(), rows, Duration::from_secs(self.now));
    }

    pub fn run_ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Makes one plan, executes its calls, and simulates [`TICK_SECONDS`] of run time.
    pub fn tick(&mut self) -> Plan {
        let now = Duration::from_secs(self.now);
        if !self.reports_unreadable && self.reports.len() as u64 > REPORT_LAG_TICKS {
            let reports = self.reports.pop_front().unwrap_or_default();
            self.scheduler.apply_reports(&reports, now);
        }
        let at = Instant(self.now * 1000);
        let plan = self.scheduler.plan(now, at, &self.workers, &self.weights);
        for action in &plan.actions {
            self.execute(action);
        }
        self.run_tasks();
        self.queue_reports();
        self.now += TICK_SECONDS;
        plan
    }

    fn execute(&mut self, action: &Action) {
        let now = Duration::from_secs(self.now);
        match action {
            Action::Start(start) => {
                if !self.calls_lost {
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
                        remaining_seconds: self.profiles[&start.job].seconds,
                        lease_expires_at: self.now + start.lease.as_secs(),
                        fraction: 1.0,
                        checkpoint: 0.0,
                        ended: None,
                    });
                }
                self.scheduler.call_returned(&start.job, start.token, now);
            }
            Action::Renew { job, token, lease } => {
                let expires_at = self.now + lease.as_secs();
                self.update_task(job, *token, |task| task.lease_expires_at = expires_at);
                self.scheduler.call_returned(job, *token, now);
            }
            Action::Checkpoint { .. } if self.no_checkpoints => {}
            Action::Checkpoint { job, token } => {
                self.update_task(job, *token, |task| task.checkpoint += 0.1);
            }
            Action::Throttle {
                job,
                token,
                fraction,
            } => {
                self.update_task(job, *token, |task| task.fraction = *fraction);
            }
            Action::Stop { job, token } if self.calls_lost => {
                self.scheduler.stop_unconfirmed(job, *token);
            }
            Action::Stop { job, token } => {
                let partitioned = self.partitioned.clone();
                self.update_task(job, *token, |task| {
                    if !partitioned.contains(&task.instance) {
                        task.ended = Some(Phase::Stopped);
                    }
                });
            }
            Action::Quarantine { instance, .. } => {
                self.quarantined.insert(instance.clone());
            }
        }
    }

    fn update_task(&mut self, job: &id::Job, token: Token, change: impl FnOnce(&mut Task)) {
        let is_target =
            |task: &&mut Task| task.job == *job && task.token == token && task.ended.is_none();
        if !self.calls_lost
            && let Some(task) = self.tasks.iter_mut().find(is_target)
        {
            change(task);
        }
    }

    fn run_tasks(&mut self) {
        for task in self.tasks.iter_mut().filter(|task| task.ended.is_none()) {
            task.remaining_seconds = task.remaining_seconds.saturating_sub(TICK_SECONDS);
            let profile = self.profiles[&task.job];
            let fails_late = task.remaining_seconds + LATE_FAILURE_SECONDS <= profile.seconds
                && self.failing_late.contains(&task.instance);
            let broken = profile.broken || fails_late || self.failing.contains(&task.instance);
            if self.now + TICK_SECONDS > task.lease_expires_at {
                task.ended = Some(Phase::Stopped);
            } else if broken {
                task.ended = Some(Phase::Failed);
            } else if task.remaining_seconds == 0 {
                task.ended = Some(Phase::Done);
            }
        }
    }

    fn queue_reports(&mut self) {
        let as_of = Instant(self.now * 1000);
        let reachable = self
            .tasks
            .iter()
            .filter(|task| !self.partitioned.contains(&task.instance));
        let report = |task: &Task| Report {
            job: task.job.clone(),
            instance: task.instance.clone(),
            token: task.token,
            phase: task.ended.unwrap_or(Phase::Running),
            usage: self.profiles[&task.job].size,
            checkpoint: task.checkpoint,
            as_of,
        };
        self.reports.push_back(reachable.map(report).collect());
        // An ended task is reported once; the simulation keeps no history.
        let partitioned = &self.partitioned;
        self.tasks
            .retain(|task| task.ended.is_none() || partitioned.contains(&task.instance));
    }
}
