//! Stored row of a wave, from which a new controller continues it, and commands to the wave.

use primroseroute_domain::{
    id,
    instance::Row as Instance,
    outcome::{Code, Refusal},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

/// Instances that a wave covers: those that match every non-empty set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Scope {
    /// Pools; empty for all pools and for spares.
    pub pools: BTreeSet<id::Pool>,
    /// Availability zones; empty for all.
    pub zones: BTreeSet<id::Zone>,
    /// Racks; empty for all.
    pub racks: BTreeSet<id::Rack>,
}

impl Scope {
    /// Whether the wave covers `row`.
    pub fn covers(&self, row: &Instance) -> bool {
        let in_pools = self.pools.is_empty()
            || row
                .pool
                .as_ref()
                .is_some_and(|pool| self.pools.contains(pool));
        let in_zones = self.zones.is_empty() || self.zones.contains(&row.zone);
        let in_racks = self.racks.is_empty() || self.racks.contains(&row.rack);
        in_pools && in_zones && in_racks
    }
}

/// Maintenance window; instances that are out when it closes still come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Window {
    /// Earliest time to take instances out; none for immediately.
    pub opens: Option<Instant>,
    /// Time from which none are taken out; none for no limit.
    pub closes: Option<Instant>,
}

/// Concurrency limits and halt conditions of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Maximum number of instances out at a time over all pools; none to limit it by budgets only.
    pub max_out: Option<u32>,
    /// Initial number of instances out at a time.
    pub first: u32,
    /// Increase of the number out at a time for each instance that came back well.
    pub growth: u32,
    /// Failures within `together_seconds` from which the wave may halt.
    pub failures: u32,
    /// Percentage of failures among the instances that failed or came back within
    /// `together_seconds`, from which the wave halts.
    pub percent: u32,
    /// Length in seconds of the period over which failures and returns are counted.
    pub together_seconds: u64,
    /// Expected time in seconds that one instance is out, from its drain to serving again.
    pub reboot_seconds: u64,
}

impl Default for Limits {
    /// Starts with one instance and doubles with each batch. Halts at two failures if they are a
    /// fifth of the instances that failed or came back in half an hour. A slow reboot of the
    /// platform takes ten minutes.
    fn default() -> Self {
        Self {
            max_out: None,
            first: 1,
            growth: 1,
            failures: 2,
            percent: 20,
            together_seconds: 1_800,
            reboot_seconds: 600,
        }
    }
}

impl Limits {
    /// Expected time that one instance is out.
    pub fn reboot(&self) -> Duration {
        Duration::from_secs(self.reboot_seconds)
    }

    /// Maximum number of instances out at a time after `done` have come back well.
    pub fn max_concurrent(&self, done: u32) -> u32 {
        let grown = self
            .first
            .max(1)
            .saturating_add(self.growth.saturating_mul(done));
        grown.min(self.max_out.unwrap_or(u32::MAX).max(1))
    }
}

/// An operator's order to start a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Order {
    /// The wave's name.
    pub id: id::Wave,
    /// The instances that it covers.
    #[serde(default)]
    pub scope: Scope,
    /// The maintenance window.
    #[serde(default)]
    pub window: Window,
    /// Concurrency limits and halt conditions.
    #[serde(default)]
    pub limits: Limits,
}

/// State of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes instances out as budgets allow.
    Running,
    /// Takes no instances out; those that are out come back.
    Paused,
    /// Stopped automatically because instances failed.
    Halted,
    /// Every instance that it covers is maintained, or failed and reported as such.
    Done,
    /// Ended by an operator.
    Aborted,
}

impl State {
    /// Whether the wave has ended for good.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::Aborted)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Halted => "halted",
            Self::Done => "done",
            Self::Aborted => "aborted",
        })
    }
}

/// The row of one wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// The operator's order.
    pub order: Order,
    /// The state of the wave.
    pub state: State,
    /// Start time; an instance maintained since then is done.
    pub started: Instant,
    /// Time since which failures and successes count for the concurrency limit and for halting.
    pub resumed: Instant,
    /// Time at which it was done or aborted.
    #[serde(default)]
    pub ended: Option<Instant>,
    /// Why the wave waits, stopped or ended, for operators.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// An operator's command to a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Take no more instances out.
    Pause,
    /// Continue, from the initial concurrency.
    Resume,
    /// End the wave; instances that still drain serve again.
    Abort,
}

impl Row {
    /// A running wave that starts at `now`.
    pub fn begin(order: Order, now: Instant) -> Self {
        Self {
            order,
            state: State::Running,
            started: now,
            resumed: now,
            ended: None,
            reason: None,
        }
    }

    /// The wave's name.
    pub fn id(&self) -> &id::Wave {
        &self.order.id
    }

    /// The row after `command`.
    ///
    /// # Errors
    /// [`Code::WaveStateForbids`] if the wave's state does not allow it.
    pub fn command(&self, command: Command, now: Instant) -> Result<Self, Refusal> {
        use State::{Aborted, Halted, Paused, Running};
        let next = match (command, self.state) {
            (Command::Pause, Running) => Paused,
            (Command::Resume, Paused | Halted) => Running,
            (Command::Abort, Running | Paused | Halted) => Aborted,
            (_, state) => {
                let detail = format!("`{}` is {state}", self.id());
                return Err(Refusal::new(Code::WaveStateForbids, detail));
            }
        };
        let mut row = self.transition(next, now, None);
        if next == Running {
            row.resumed = now;
        }
        Ok(row)
    }

    /// The row after a transition to `state` at `now`.
    pub(super) fn transition(&self, state: State, now: Instant, reason: Option<Arc<str>>) -> Self {
        Self {
            state,
            reason,
            ended: state.has_ended().then_some(now),
            ..self.clone()
        }
    }
}
