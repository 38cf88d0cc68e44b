//! Executes the steps of the schedule.

use super::{
    EXECUTION_TIME, Runner,
    operator::{Action, Command, Move},
};
use crate::{
    checker::{EntryEvent, Event},
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

/// The worker that drops its responses: what it executed must not run again elsewhere. All accounts call
/// its service.
const RESPONSE_DROPPING: &str = "gojo-backoffice-1";

/// The worker that fails every request and health check.
const FAILING: &str = "lalibela-rest-1";

/// The instance that the platform takes away.
const DEPARTING: &str = "habesha-stay-3";

/// The instance that the platform adds.
const ARRIVING: &str = "newcomer-0";

/// The account whose promised capacity is lowered by one instance.
const MOVE_SOURCE: &str = "merkato-beds";

/// The account and pool whose promised capacity is raised by one instance.
const MOVE_TARGET: &str = "gojo-core";

/// The instance that moves from the one pool to the other.
const MOVED: &str = "merkato-beds-0";

/// The pool whose instances the wave reboots.
const MAINTAINED: &str = "lalibela-rest";

/// Id of the wave.
const WAVE: &str = "demo";

impl Runner {
    /// Executes one step.
    ///
    /// # Errors
    /// If something that the step needs can't be started or found.
    pub(super) async fn execute(&mut self, step: Step) -> Result<()> {
        match step {
            Step::ChangeShare => self.change_share(),
            Step::DropResponses => self.site.worker(RESPONSE_DROPPING).set_mode(Mode::Reset),
            Step::RestoreResponses => self.site.worker(RESPONSE_DROPPING).set_mode(Mode::Ok),
            Step::BreakWorker => self.site.worker(FAILING).set_mode(Mode::FailAll),
            Step::RepairWorker => self.site.worker(FAILING).set_mode(Mode::Ok),
            Step::Depart => self.set_phase(DEPARTING, Phase::Leaving)?,
            Step::Vanish => self.set_phase(DEPARTING, Phase::Gone)?,
            Step::Arrive => self.arrive().await?,
            Step::LowerPromised => self.change_promised(MOVE_SOURCE, |promised| promised - 1)?,
            Step::Move => self.move_instance()?,
            Step::RaisePromised => self.change_promised(MOVE_TARGET, |promised| promised + 1)?,
            Step::StartWave => self.start_wave()?,
            Step::StopEntry => self.stop_entry().await?,
            Step::StopStore => self.site.platform.faults().set_outage(Some(Outage::Refuse)),
            Step::RestoreStore => self.site.platform.faults().set_outage(None),
            Step::KillEntry => self.kill_entry().await?,
        }
        Ok(())
    }

    fn change_share(&mut self) {
        let accounts = self.templates.len();
        let index = self.share_changes % accounts;
        let template = self.templates.values_mut().nth(index);
        let template = template.expect("the index is below the number of accounts");
        template.share += 1;
        let template = template.clone();
        self.share_changes += 1;
        self.send_command(Action::Apply(template), "fair share");
    }

    fn change_promised(&mut self, account: &str, change: impl Fn(u32) -> u32) -> Result<()> {
        let account: id::Account = account.parse()?;
        let template = self.templates.get_mut(&account);
        let template = template.ok_or_else(|| eyre!("no account {account}"))?;
        for pool in &mut template.pools {
            pool.budget.promised = change(pool.budget.promised);
        }
        let template = template.clone();
        self.send_command(Action::Apply(template), "promise");
        Ok(())
    }

    fn move_instance(&self) -> Result<()> {
        let task = Move {
            instance: MOVED.parse()?,
            pool: MOVE_TARGET.parse()?,
        };
        self.send_command(Action::Move(task), "a promise is to rise there");
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
        self.send_command(Action::Wave(order), "maintenance");
        self.wave = Some(id);
        Ok(())
    }

    /// Submits a command to the operator; which entry it goes to rotates with the share changes.
    fn send_command(&self, action: Action, reason: &'static str) {
        let entries = self.site.entries.len();
        let running = self.site.entries.values().nth(self.share_changes % entries);
        let admin = running.expect("an entry runs").admin.clone();
        self.operator.submit(Command {
            admin,
            action,
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
            delay: EXECUTION_TIME,
            ..backend::Options::default()
        };
        let (zone, rack) = ("zone-0".parse()?, "rack-newcomer".parse()?);
        self.site
            .arrive(ARRIVING.parse()?, zone, rack, options)
            .await
    }

    /// Removes the first entry from the site and records that it is retired.
    fn retire_first(&mut self) -> Result<(id::Entry, RunningEntry)> {
        let first = self.site.entries.pop_first();
        let (name, running) = first.ok_or_else(|| eyre!("no entry runs"))?;
        self.log.record(Event::EntryRetired(EntryEvent {
            entry: name.clone(),
            at: self.log.now(),
        }));
        Ok((name, running))
    }

    async fn start_replacement(&mut self) -> Result<()> {
        let name = format!("entry-{}", self.next_entry);
        self.next_entry += 1;
        self.site.start(&name).await?;
        self.add_entry(&name.parse()?);
        Ok(())
    }

    /// Stops an entry gracefully and starts its replacement. The platform lists the entry's instance as
    /// gone once its process has ended.
    ///
    /// A stopping entry removes its own registration. It can't while the store is down, and if the platform
    /// then didn't list it as gone, every drain would wait for its acknowledgement.
    ///
    /// The balancer isn't notified: the entry stops reporting ready first, so it gets no more callers.
    async fn stop_entry(&mut self) -> Result<()> {
        let (name, running) = self.retire_first()?;
        let listed = gone_instance(&name, running.callers)?;
        let platform = self.site.platform.clone();
        self.stopping.spawn(async move {
            running.entry.stop().await;
            platform.fleet().add(listed);
        });
        self.start_replacement().await
    }

    /// Kills an entry and starts its replacement. The balancer isn't notified: its next check fails.
    ///
    /// The platform lists the entry's instance as gone once its process has ended, so that no drain waits
    /// for an acknowledgement that can't arrive.
    async fn kill_entry(&mut self) -> Result<()> {
        let (name, running) = self.retire_first()?;
        let listed = gone_instance(&name, running.callers)?;
        running.entry.abort().await;
        self.site.platform.fleet().add(listed);
        self.start_replacement().await
    }
}

/// The platform's list item for the instance of an entry whose process has ended.
fn gone_instance(entry: &id::Entry, address: SocketAddr) -> Result<Listed> {
    Ok(Listed {
        id: entry.as_str().parse()?,
        address,
        zone: "zone-0".parse()?,
        rack: "rack-entries".parse()?,
        phase: Phase::Gone,
        boots: 1,
    })
}
