//! The list of instances, which lags behind their actual state, and reboots.

use super::{
    Platform, Shared,
    call::{Cost, Effect},
    tally::Kind,
};
use async_trait::async_trait;
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet::{Instances, List, Listed, Phase},
};
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Behaviour of an instance's reboots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reboot {
    /// The reboot completes after this time.
    Takes(Duration),
    /// The reboot never completes.
    Hangs,
}

/// State of an instance from a point in time on; none if it was not listed.
#[derive(Debug)]
struct Version {
    from: Instant,
    listed: Option<Listed>,
}

#[derive(Debug, Default)]
struct History {
    versions: Vec<Version>,
    reboot: Option<Reboot>,
    reboot_ends_at: Option<Instant>,
    leaving: bool,
}

impl History {
    fn current(&self) -> Option<&Listed> {
        self.versions.last()?.listed.as_ref()
    }

    fn as_of(&self, at: Instant) -> Option<&Listed> {
        let version = self.versions.iter().rev().find(|v| v.from <= at)?;
        version.listed.as_ref()
    }

    fn push(&mut self, from: Instant, listed: Option<Listed>, lag: Duration) {
        self.versions.push(Version { from, listed });
        let superseded = |next: &Version| next.from + lag <= from;
        while self.versions.get(1).is_some_and(superseded) {
            self.versions.remove(0);
        }
    }

    /// Completes a reboot that is due.
    fn finish_due_reboot(&mut self, now: Instant, lag: Duration) {
        let Some(due) = self.reboot_ends_at.filter(|due| *due <= now) else {
            return;
        };
        self.reboot_ends_at = None;
        let Some(mut listed) = self.current().cloned() else {
            return;
        };
        listed.boots += 1;
        listed.phase = if self.leaving {
            Phase::Leaving
        } else {
            Phase::Live
        };
        self.push(due, Some(listed), lag);
    }
}

#[derive(Debug)]
pub(super) struct State {
    lag: Duration,
    reboot: Reboot,
    instances: BTreeMap<id::Instance, History>,
}

impl State {
    pub(super) fn new(lag: Duration, reboot: Duration) -> Self {
        Self {
            lag,
            reboot: Reboot::Takes(reboot),
            instances: BTreeMap::new(),
        }
    }

    fn finish_due_reboots(&mut self, now: Instant) {
        for history in self.instances.values_mut() {
            history.finish_due_reboot(now, self.lag);
        }
    }

    /// Current phase of the instance; none if the platform does not know it.
    pub(super) fn phase(&mut self, id: &id::Instance, now: Instant) -> Option<Phase> {
        let history = self.instances.get_mut(id)?;
        history.finish_due_reboot(now, self.lag);
        history.current().map(|listed| listed.phase)
    }

    fn set_phase(&mut self, id: &id::Instance, phase: Phase, now: Instant) {
        let Some(history) = self.instances.get_mut(id) else {
            return;
        };
        history.finish_due_reboot(now, self.lag);
        let Some(mut listed) = history.current().cloned() else {
            return;
        };
        listed.phase = phase;
        history.leaving = phase == Phase::Leaving;
        history.reboot_ends_at = None;
        history.push(now, Some(listed), self.lag);
    }

    /// Starts a reboot unless one is running or `boots` is outdated; returns whether it started one.
    fn reboot(&mut self, id: &id::Instance, boots: u64, now: Instant) -> Result<bool, Error> {
        let unknown = || Error::Invalid(format!("no instance `{id}`"));
        let history = self.instances.get_mut(id).ok_or_else(unknown)?;
        history.finish_due_reboot(now, self.lag);
        let mut listed = history.current().cloned().ok_or_else(unknown)?;
        match listed.phase {
            Phase::Gone => return Err(unknown()),
            Phase::Rebooting => return Ok(false),
            Phase::Live | Phase::Leaving if listed.boots != boots => return Ok(false),
            Phase::Live | Phase::Leaving => {}
        }
        listed.phase = Phase::Rebooting;
        history.reboot_ends_at = match history.reboot.unwrap_or(self.reboot) {
            Reboot::Takes(duration) => Some(now + duration),
            Reboot::Hangs => None,
        };
        history.push(now, Some(listed), self.lag);
        Ok(true)
    }

    fn list(&mut self, now: Instant) -> Vec<Listed> {
        self.finish_due_reboots(now);
        let lag = self.lag;
        let at = now.checked_sub(lag).unwrap_or(now);
        self.instances
            .values()
            .filter_map(|history| history.as_of(at))
            .cloned()
            .collect()
    }
}

/// Control of the simulated instances.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").finish_non_exhaustive()
    }
}

impl Fleet {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Adds an instance, or replaces its state.
    pub fn add(&self, listed: Listed) {
        let mut fleet = self.shared.fleet.lock();
        let lag = fleet.lag;
        let history = fleet.instances.entry(listed.id.clone()).or_default();
        history.leaving = listed.phase == Phase::Leaving;
        history.reboot_ends_at = None;
        history.push(Instant::now(), Some(listed), lag);
    }

    /// Removes an instance from the list; its tasks stop.
    pub fn remove(&self, id: &id::Instance) {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        let lag = fleet.lag;
        if let Some(history) = fleet.instances.get_mut(id) {
            history.reboot_ends_at = None;
            history.push(now, None, lag);
        }
        self.shared.tasks.lock().stop_on(id, now);
    }

    /// Sets the phase of an instance; its tasks stop if it is gone or rebooting.
    pub fn set_phase(&self, id: &id::Instance, phase: Phase) {
        let now = Instant::now();
        let mut fleet = self.shared.fleet.lock();
        fleet.set_phase(id, phase, now);
        if matches!(phase, Phase::Gone | Phase::Rebooting) {
            self.shared.tasks.lock().stop_on(id, now);
        }
    }

    /// Changes the age of the list, effective immediately.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.fleet.lock().lag = lag;
    }

    /// Sets the behaviour of later reboots of `id`.
    pub fn set_reboot(&self, id: &id::Instance, reboot: Reboot) {
        let mut fleet = self.shared.fleet.lock();
        if let Some(history) = fleet.instances.get_mut(id) {
            history.reboot = Some(reboot);
        }
    }

    /// The instances as they are now, without the lag of the list.
    pub fn truth(&self) -> Vec<Listed> {
        let mut fleet = self.shared.fleet.lock();
        fleet.finish_due_reboots(Instant::now());
        let current = fleet.instances.values().filter_map(History::current);
        current.cloned().collect()
    }
}

#[async_trait]
impl Instances for Platform {
    async fn list(&self) -> Result<List, Error> {
        self.call(Kind::ListInstances, Cost::Free, |shared| {
            let now = Instant::now();
            let mut fleet = shared.fleet.lock();
            let instances = fleet.list(now);
            let as_of = shared.wall(now.checked_sub(fleet.lag).unwrap_or(now));
            Ok(Effect {
                rows: instances.len() as u64,
                bytes: 0,
                answer: List { as_of, instances },
            })
        })
        .await
    }

    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error> {
        let id = id.clone();
        self.call(Kind::Reboot, Cost::Free, move |shared| {
            let now = Instant::now();
            let mut fleet = shared.fleet.lock();
            if fleet.reboot(&id, boots, now)? {
                shared.tasks.lock().stop_on(&id, now);
            }
            Ok(Effect::of(()))
        })
        .await
    }
}
