//! Carrying the schedule's steps out.

use super::{
    EXECUTION, Stage,
    operator::{Move, Order, Task},
};
use crate::{
    judge::{Event, Presence},
    schedule::Step,
};
use eyre::{Result, eyre};
use primroseroute_domain::id;
use primroseroute_fleet::wave::{self, Limits, Scope, Window};
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_testbed::{
    RunningEntry,
    backend::{self, Mode},
    platform::fault::Outage,
};
use std::net::SocketAddr;

/// The worker that loses its answers: what it ran must not run again elsewhere. All accounts call it.
const LOSING: &str = "gojo-backoffice-1";

/// The worker that fails everything.
const BROKEN: &str = "lalibela-rest-1";

/// The instance that leaves.
const DEPARTING: &str = "habesha-stay-3";

/// The instance that arrives.
const ARRIVING: &str = "newcomer-0";

/// The account whose promise falls by one instance.
const GIVES: &str = "merkato-beds";

/// The account whose promise rises by one instance.
const TAKES: &str = "gojo-core";

/// The instance that goes from the one pool to the other.
const MOVED: &str = "merkato-beds-0";

/// The pool whose instances a wave reboots.
const MAINTAINED: &str = "lalibela-rest";

/// The wave.
const WAVE: &str = "demo";

impl Stage {
    /// Takes one step.
    ///
    /// # Errors
    /// Where something cannot be started.
    pub(super) async fn take(&mut self, step: Step) -> Result<()> {
        match step {
            Step::ChangeShare => self.change_share(),
            Step::LoseAnswers => self.site.worker(LOSING).set_mode(Mode::Reset),
            Step::KeepAnswers => self.site.worker(LOSING).set_mode(Mode::Ok),
            Step::BreakWorker => self.site.worker(BROKEN).set_mode(Mode::FailAll),
            Step::MendWorker => self.site.worker(BROKEN).set_mode(Mode::Ok),
            Step::Depart => self.set_phase(DEPARTING, Phase::Leaving)?,
            Step::Vanish => self.set_phase(DEPARTING, Phase::Gone)?,
            Step::Arrive => self.arrive().await?,
            Step::LowerPromise => self.change_promise(GIVES, |promised| promised - 1)?,
            Step::Move => self.move_instance()?,
            Step::RaisePromise => self.change_promise(TAKES, |promised| promised + 1)?,
            Step::StartWave => self.start_wave()?,
            Step::StopEntry => self.stop_entry().await?,
            Step::StoreDown => self.site.platform.faults().set_outage(Some(Outage::Refuse)),
            Step::StoreUp => self.site.platform.faults().set_outage(None),
            Step::KillEntry => self.kill_entry().await?,
        }
        Ok(())
    }

    fn change_share(&mut self) {
        let accounts = self.templates.len();
        let nth = self.shares % accounts;
        let template = self.templates.values_mut().nth(nth);
        let template = template.expect("the index is below the number of accounts");
        template.share += 1;
        let template = template.clone();
        self.shares += 1;
        self.order(Task::Apply(template), "fair share");
    }

    fn change_promise(&mut self, account: &str, change: impl Fn(u32) -> u32) -> Result<()> {
        let account: id::Account = account.parse()?;
        let template = self.templates.get_mut(&account);
        let template = template.ok_or_else(|| eyre!("no account {account}"))?;
        for pool in &mut template.pools {
            pool.budget.promised = change(pool.budget.promised);
        }
        let template = template.clone();
        self.order(Task::Apply(template), "promise");
        Ok(())
    }

    fn move_instance(&self) -> Result<()> {
        let task = Move {
            instance: MOVED.parse()?,
            pool: TAKES.parse()?,
        };
        self.order(Task::Move(task), "a promise is to rise there");
        Ok(())
    }

    fn start_wave(&mut self) -> Result<()> {
        let id: id::Wave = WAVE.parse()?;
        let order = wave::Order {
            id: id.clone(),
            scope: Scope {
                pools: [MAINTAINED.parse()?].into(),
                ..Scope::default()
            },
            window: Window::default(),
            limits: Limits::default(),
        };
        self.order(Task::Wave(order), "maintenance");
        self.wave = Some(id);
        Ok(())
    }

    /// Gives the operator something to do at one entry after another.
    fn order(&self, task: Task, reason: &'static str) {
        let entries = self.site.entries.len();
        let running = self.site.entries.values().nth(self.shares % entries);
        let admin = running.expect("an entry runs").admin.clone();
        self.operator.give(Order {
            admin,
            task,
            reason,
        });
    }

    fn set_phase(&self, instance: &str, phase: Phase) -> Result<()> {
        let instance = instance.parse()?;
        self.site.platform.fleet().set_phase(&instance, phase);
        Ok(())
    }

    async fn arrive(&mut self) -> Result<()> {
        let options = backend::Options {
            name: ARRIVING.into(),
            delay: EXECUTION,
            ..backend::Options::default()
        };
        let (zone, rack) = ("zone-0".parse()?, "rack-newcomer".parse()?);
        self.site
            .arrive(ARRIVING.parse()?, zone, rack, options)
            .await
    }

    /// Takes the first entry out of the site.
    fn retire(&mut self) -> Result<(id::Entry, RunningEntry)> {
        let first = self.site.entries.pop_first();
        let (name, running) = first.ok_or_else(|| eyre!("no entry runs"))?;
        self.journal.write(Event::Retired(Presence {
            entry: name.clone(),
            at: self.journal.now(),
        }));
        Ok((name, running))
    }

    async fn replace(&mut self) -> Result<()> {
        let name = format!("entry-{}", self.next_entry);
        self.next_entry += 1;
        self.site.start(&name).await?;
        self.welcome(&name.parse()?);
        Ok(())
    }

    /// Stops an entry, which the platform lists as gone once its process has ended.
    ///
    /// An entry removes its own registration as it stops. Where the store is down by then it cannot,
    /// and without the platform's word every drain would wait for it.
    ///
    /// The balancer is told nothing: the entry's readiness goes first, and callers look away.
    async fn stop_entry(&mut self) -> Result<()> {
        let (name, running) = self.retire()?;
        let listed = gone(&name, running.callers)?;
        let platform = self.site.platform.clone();
        self.leaving.spawn(async move {
            running.entry.stop().await;
            platform.fleet().add(listed);
        });
        self.replace().await
    }

    /// The balancer is told nothing here either: its next check fails.
    ///
    /// The platform lists the entry's instance as gone once its process has ended, so that no drain
    /// waits for an acknowledgement that cannot come.
    async fn kill_entry(&mut self) -> Result<()> {
        let (name, running) = self.retire()?;
        let listed = gone(&name, running.callers)?;
        running.entry.abort().await;
        self.site.platform.fleet().add(listed);
        self.replace().await
    }
}

/// The platform's line for the instance of an entry whose process has ended.
fn gone(entry: &id::Entry, address: SocketAddr) -> Result<Listed> {
    Ok(Listed {
        id: entry.as_str().parse()?,
        address,
        zone: "zone-0".parse()?,
        rack: "rack-entries".parse()?,
        phase: Phase::Gone,
        boots: 1,
    })
}
