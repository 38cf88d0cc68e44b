//! Runs the demo: starts the deployment, executes the schedule, and records events.

mod history;
mod operator;
mod step;

use crate::{
    Options, Progress,
    balancer::Balancer,
    caller::CallerTask,
    checker::{EntryEvent, Event, KeyExecutions, ObservedVersion, Report, check_history},
    deployment,
    event_log::EventLog,
    schedule::{Schedule, Step},
};
use eyre::{Result, WrapErr, eyre};
use operator::Operator;
use primroseroute_api::Wave;
use primroseroute_domain::{account::Template, change::Seq, id};
use primroseroute_testbed::{Site, backend, platform};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout},
};

/// Interval at which the entries' versions are sampled: the resolution of the measured times.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Poll interval while waiting for the wave.
const WAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Execution time of a request on a worker.
const EXECUTION_TIME: Duration = Duration::from_millis(2);

/// Duration of an instance's reboot by the platform: long enough to show in the load, short enough for a
/// wave of four reboots to end within a few seconds.
const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Time limit for the entries to become ready at start-up.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the callers to end and the last changes to take effect after the load.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(12);

/// Runs the demo and checks what it recorded.
///
/// # Errors
/// If the deployment can't be started, the callers or changes don't end in time, or the history can't be
/// read. Violated invariants are part of the report, not errors.
pub async fn run(options: &Options, progress: &dyn Progress) -> Result<Report> {
    let templates = deployment::templates()?;
    progress.show(Duration::ZERO, "the deployment starts");
    let mut runner = Runner::start(templates).await?;
    let callers = runner.spawn_callers(options);
    runner.run_schedule(options.load, progress).await?;
    runner.finish(callers, progress, options.load).await?;
    let report = check_history(&runner.log.events());
    runner.shut_down().await;
    Ok(report)
}

/// The running deployment and the state of its run.
#[derive(Debug)]
struct Runner {
    site: Site,
    templates: BTreeMap<id::Account, Template>,
    balancer: Balancer,
    checks: JoinHandle<()>,
    operator: Operator,
    log: EventLog,
    closing: Arc<AtomicBool>,
    /// The last recorded version of each entry.
    versions: BTreeMap<id::Entry, Seq>,
    /// Entries that are stopping.
    stopping: JoinSet<()>,
    /// Number in the name of the next entry to start.
    next_entry: usize,
    /// Number of share changes so far.
    share_changes: usize,
    /// The wave, once its start was ordered.
    wave: Option<id::Wave>,
}

impl Runner {
    async fn start(templates: Vec<Template>) -> Result<Self> {
        let worker = backend::Options {
            delay: EXECUTION_TIME,
            ..backend::Options::default()
        };
        let platform = platform::Options {
            reboot: REBOOT_TIME,
            ..platform::Options::default()
        };
        let layout = deployment::layout(&templates);
        let next_entry = layout.entries;
        let mut site = Site::open_with(layout, platform, worker).await?;
        site.converge_on(templates.clone()).await?;
        let log = EventLog::new();
        let balancer = Balancer::default();
        let mut runner = Self {
            checks: tokio::spawn(balancer.clone().run()),
            operator: Operator::spawn(log.clone()),
            templates: templates
                .into_iter()
                .map(|template| (template.account.clone(), template))
                .collect(),
            site,
            balancer,
            log,
            closing: Arc::default(),
            versions: BTreeMap::new(),
            stopping: JoinSet::new(),
            next_entry,
            share_changes: 0,
            wave: None,
        };
        let names: Vec<id::Entry> = runner.site.entries.keys().cloned().collect();
        for name in names {
            runner.add_entry(&name);
        }
        runner.wait_all_ready().await?;
        Ok(runner)
    }

    /// Adds a running entry to the balancer.
    fn add_entry(&mut self, name: &id::Entry) {
        let running = &self.site.entries[name];
        self.balancer
            .add(name.clone(), running.callers, running.entry.admin());
        self.log.record(Event::EntryStarted(EntryEvent {
            entry: name.clone(),
            at: self.log.now(),
        }));
    }

    async fn wait_all_ready(&self) -> Result<()> {
        let ready = async {
            while !self.balancer.all_ready() {
                sleep(SAMPLE_INTERVAL).await;
            }
        };
        timeout(STARTUP_TIMEOUT, ready)
            .await
            .wrap_err("entries did not become ready")
    }

    /// Starts the callers of every account.
    fn spawn_callers(&self, options: &Options) -> JoinSet<()> {
        let all: Vec<Template> = self.templates.values().cloned().collect();
        let mut callers = JoinSet::new();
        for (index, template) in all.iter().enumerate() {
            for number in 0..options.callers {
                let caller_index = (index * options.callers + number) as u64;
                let task = CallerTask {
                    account: template.account.clone(),
                    token: deployment::token(template),
                    prefixes: deployment::prefixes(template, &all),
                    number,
                    seed: options.seed.wrapping_mul(1000).wrapping_add(caller_index),
                    balancer: self.balancer.clone(),
                    log: self.log.clone(),
                    closing: Arc::clone(&self.closing),
                };
                callers.spawn(task.run());
            }
        }
        callers
    }

    /// Executes each step of the schedule when it is due.
    async fn run_schedule(&mut self, load: Duration, progress: &dyn Progress) -> Result<()> {
        let mut schedule = Schedule::new(load);
        let started = Instant::now();
        let mut text = "callers send requests";
        while started.elapsed() < load {
            while let Some(step) = schedule.pop_due(started.elapsed()) {
                // Shares change throughout the run; the progress bar keeps showing the last other step.
                if step != Step::ChangeShare {
                    text = step.text();
                }
                self.execute(step).await?;
            }
            self.sample_versions();
            progress.show(started.elapsed(), text);
            sleep(SAMPLE_INTERVAL).await;
        }
        Ok(())
    }

    /// Records each entry's version in effect if it has changed.
    fn sample_versions(&mut self) {
        for (name, running) in &self.site.entries {
            let seq = running.entry.applied_seq();
            if self.versions.insert(name.clone(), seq) != Some(seq) {
                self.log.record(Event::VersionObserved(ObservedVersion {
                    entry: name.clone(),
                    seq,
                    at: self.log.now(),
                }));
            }
        }
    }

    /// Waits for the callers to end and the last changes to take effect, then records the executions and
    /// the history.
    async fn finish(
        &mut self,
        mut callers: JoinSet<()>,
        progress: &dyn Progress,
        load: Duration,
    ) -> Result<()> {
        progress.show(load, "callers finish");
        self.closing.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        loop {
            self.sample_versions();
            while let Some(done) = callers.try_join_next() {
                done.wrap_err("a caller panicked")?;
            }
            let newest = self.operator.newest();
            let in_force = self
                .versions
                .iter()
                .all(|(name, seq)| *seq >= newest || !self.site.entries.contains_key(name));
            if callers.is_empty() && self.operator.is_idle() && in_force {
                break;
            }
            if Instant::now() >= deadline {
                return Err(eyre!(
                    "callers did not end or changes did not take effect in time"
                ));
            }
            sleep(SAMPLE_INTERVAL).await;
        }
        self.wait_for_wave(deadline).await?;
        self.record_executions();
        for change in history::read(&self.site).await? {
            self.log.record(Event::Changed(change));
        }
        Ok(())
    }

    /// Waits until the wave has ended; a wave that exceeds the time limit is reported in its current state.
    async fn wait_for_wave(&self, deadline: Instant) -> Result<()> {
        let Some(name) = &self.wave else {
            return Ok(());
        };
        while Instant::now() < deadline {
            let waves = self.site.any_entry().admin.waves().await?;
            let is_running =
                |wave: &Wave| wave.row.value.id() == name && !wave.row.value.state.has_ended();
            if !waves.iter().any(is_running) {
                return Ok(());
            }
            sleep(WAVE_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Records how often the workers executed each key that a caller used.
    fn record_executions(&self) {
        let events = self.log.events();
        let keys = events.iter().filter_map(|event| match event {
            Event::RequestEnded(ended) => ended.key.clone(),
            _ => None,
        });
        for key in keys {
            let workers = self.site.workers.values();
            let times = workers.map(|worker| worker.executions(&key)).sum();
            self.log
                .record(Event::KeyExecuted(KeyExecutions { key, times }));
        }
    }

    async fn shut_down(mut self) {
        self.checks.abort();
        self.operator.abort();
        while self.stopping.join_next().await.is_some() {}
        for running in std::mem::take(&mut self.site.entries).into_values() {
            running.entry.abort().await;
        }
    }
}
