//! The run: sets the deployment up, follows the schedule, and records.

mod history;
mod operator;
mod step;

use crate::{
    Options, Progress,
    balancer::Balancer,
    caller::Calling,
    deployment,
    journal::Journal,
    judge::{Event, Executed, InForce, Presence, Report, judge},
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

/// Between two looks at what the entries have in force: the resolution of that time.
const LOOK: Duration = Duration::from_millis(2);

/// Between two looks at a wave that is waited for.
const WAVE_LOOK: Duration = Duration::from_millis(50);

/// How long an execution takes.
const EXECUTION: Duration = Duration::from_millis(2);

/// How long the platform's reboot of an instance takes: long enough to be seen in the load, short
/// enough for a wave of four in a few seconds.
const REBOOT: Duration = Duration::from_millis(500);

/// Longest wait for the entries to be ready at the start.
const SET_UP: Duration = Duration::from_secs(10);

/// Longest wait for callers to end and for the last changes to be in force.
const TAIL: Duration = Duration::from_secs(12);

/// Runs the demo and judges it.
///
/// # Errors
/// Where the deployment cannot be set up or its history cannot be read; a broken invariant is no
/// error but part of the report.
pub async fn run(options: &Options, progress: &dyn Progress) -> Result<Report> {
    let templates = deployment::templates()?;
    progress.show(Duration::ZERO, "the deployment starts");
    let mut stage = Stage::open(templates).await?;
    let callers = stage.call(options);
    stage.follow(options.load, progress).await?;
    stage.close(callers, progress, options.load).await?;
    let report = judge(&stage.journal.events());
    stage.end().await;
    Ok(report)
}

/// The running deployment and what is recorded of it.
#[derive(Debug)]
struct Stage {
    site: Site,
    templates: BTreeMap<id::Account, Template>,
    balancer: Balancer,
    checks: JoinHandle<()>,
    operator: Operator,
    journal: Journal,
    closing: Arc<AtomicBool>,
    /// What was last recorded of each entry.
    seen: BTreeMap<id::Entry, Seq>,
    /// Entries on their way out.
    leaving: JoinSet<()>,
    /// Number of the next entry to start.
    next_entry: usize,
    /// Fair shares changed so far.
    shares: usize,
    /// The wave, once an operator was told to start it.
    wave: Option<id::Wave>,
}

impl Stage {
    async fn open(templates: Vec<Template>) -> Result<Self> {
        let worker = backend::Options {
            delay: EXECUTION,
            ..backend::Options::default()
        };
        let platform = platform::Options {
            reboot: REBOOT,
            ..platform::Options::default()
        };
        let layout = deployment::layout(&templates);
        let next_entry = layout.entries;
        let mut site = Site::open_with(layout, platform, worker).await?;
        site.converge_on(templates.clone()).await?;
        let journal = Journal::open();
        let balancer = Balancer::default();
        let mut stage = Self {
            checks: tokio::spawn(balancer.clone().run()),
            operator: Operator::spawn(journal.clone()),
            templates: templates
                .into_iter()
                .map(|template| (template.account.clone(), template))
                .collect(),
            site,
            balancer,
            journal,
            closing: Arc::default(),
            seen: BTreeMap::new(),
            leaving: JoinSet::new(),
            next_entry,
            shares: 0,
            wave: None,
        };
        let names: Vec<id::Entry> = stage.site.entries.keys().cloned().collect();
        for name in names {
            stage.welcome(&name);
        }
        stage.all_ready().await?;
        Ok(stage)
    }

    /// Puts a running entry behind the balancer.
    fn welcome(&mut self, name: &id::Entry) {
        let running = &self.site.entries[name];
        self.balancer
            .add(name.clone(), running.callers, running.entry.admin());
        self.journal.write(Event::Started(Presence {
            entry: name.clone(),
            at: self.journal.now(),
        }));
    }

    async fn all_ready(&self) -> Result<()> {
        let ready = async {
            while !self.balancer.all_ready() {
                sleep(LOOK).await;
            }
        };
        timeout(SET_UP, ready)
            .await
            .wrap_err("the entries did not become ready")
    }

    /// Starts the callers of every account.
    fn call(&self, options: &Options) -> JoinSet<()> {
        let all: Vec<Template> = self.templates.values().cloned().collect();
        let mut callers = JoinSet::new();
        for (index, template) in all.iter().enumerate() {
            for number in 0..options.callers {
                let nth = (index * options.callers + number) as u64;
                let calling = Calling {
                    account: template.account.clone(),
                    token: deployment::token(template),
                    prefixes: deployment::prefixes(template, &all),
                    number,
                    seed: options.seed.wrapping_mul(1000).wrapping_add(nth),
                    balancer: self.balancer.clone(),
                    journal: self.journal.clone(),
                    closing: Arc::clone(&self.closing),
                };
                callers.spawn(calling.run());
            }
        }
        callers
    }

    /// Takes every step of the schedule when it is due.
    async fn follow(&mut self, load: Duration, progress: &dyn Progress) -> Result<()> {
        let mut schedule = Schedule::of(load);
        let began = Instant::now();
        let mut text = "callers send";
        while began.elapsed() < load {
            while let Some(step) = schedule.due(began.elapsed()) {
                // Shares change all the time; the bar keeps showing what else was done.
                if step != Step::ChangeShare {
                    text = step.text();
                }
                self.take(step).await?;
            }
            self.look();
            progress.show(began.elapsed(), text);
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Records what entries have in force, where that has changed.
    fn look(&mut self) {
        for (name, running) in &self.site.entries {
            let seq = running.entry.applied_seq();
            if self.seen.insert(name.clone(), seq) != Some(seq) {
                self.journal.write(Event::InForce(InForce {
                    entry: name.clone(),
                    seq,
                    at: self.journal.now(),
                }));
            }
        }
    }

    /// Lets callers finish, waits for the last changes, and reads what only the end can tell.
    async fn close(
        &mut self,
        mut callers: JoinSet<()>,
        progress: &dyn Progress,
        load: Duration,
    ) -> Result<()> {
        progress.show(load, "callers finish");
        self.closing.store(true, Ordering::Relaxed);
        let give_up = Instant::now() + TAIL;
        loop {
            self.look();
            while let Some(done) = callers.try_join_next() {
                done.wrap_err("a caller ended in a panic")?;
            }
            let newest = self.operator.newest();
            let in_force = self
                .seen
                .iter()
                .all(|(name, seq)| *seq >= newest || !self.site.entries.contains_key(name));
            if callers.is_empty() && self.operator.is_idle() && in_force {
                break;
            }
            if Instant::now() >= give_up {
                return Err(eyre!("callers or changes did not come to an end"));
            }
            sleep(LOOK).await;
        }
        self.end_wave(give_up).await?;
        self.count_executions();
        for change in history::read(&self.site).await? {
            self.journal.write(Event::Changed(change));
        }
        Ok(())
    }

    /// Waits until the wave runs no more; a wave that takes too long is reported as it stands.
    async fn end_wave(&self, give_up: Instant) -> Result<()> {
        let Some(name) = &self.wave else {
            return Ok(());
        };
        while Instant::now() < give_up {
            let waves = self.site.any_entry().admin.waves().await?;
            let runs =
                |wave: &Wave| wave.row.value.id() == name && !wave.row.value.state.has_ended();
            if !waves.iter().any(runs) {
                return Ok(());
            }
            sleep(WAVE_LOOK).await;
        }
        Ok(())
    }

    /// Counts the executions of every key that a caller used.
    fn count_executions(&self) {
        let events = self.journal.events();
        let keys = events.iter().filter_map(|event| match event {
            Event::Ended(ended) => ended.key.clone(),
            _ => None,
        });
        for key in keys {
            let workers = self.site.workers.values();
            let times = workers.map(|worker| worker.executions(&key)).sum();
            self.journal.write(Event::Executed(Executed { key, times }));
        }
    }

    async fn end(mut self) {
        self.checks.abort();
        self.operator.abort();
        while self.leaving.join_next().await.is_some() {}
        for running in std::mem::take(&mut self.site.entries).into_values() {
            running.entry.abort().await;
        }
    }
}
