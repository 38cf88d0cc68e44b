//! The row of a wave, from which alone a new controller goes on, and the orders to it.

use primroseroute_domain::{
    id,
    instance::Row as Instance,
    outcome::{Code, Refusal},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

/// Which instances a wave covers: those in each of the sets that is not empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Scope {
    /// Pools; empty for all, and for spares too.
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

/// When instances may be taken out; what is out at the end still comes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Window {
    /// Not before; none for at once.
    pub opens: Option<Instant>,
    /// Not at or after; none for no end.
    pub closes: Option<Instant>,
}

/// How fast a wave may go and when it stops by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Most instances out at a time over all pools; none where the budgets alone decide.
    pub max_out: Option<u32>,
    /// Instances out at a time at the start.
    pub first: u32,
    /// By how many more the instances out at a time grow for each that came back well.
    pub growth: u32,
    /// Failures together at which the wave may stop by itself.
    pub failures: u32,
    /// Percentage of failures among what ended together from which it does stop.
    pub percent: u32,
    /// Seconds within which instances fail or come back "together".
    pub together_seconds: u64,
    /// Seconds that one instance is expected to be out, from its drain to serving again.
    pub reboot_seconds: u64,
}

impl Default for Limits {
    /// One at first, then doubling with each batch; stops at two failures together, if they are
    /// a fifth of what ended in half an hour. Ten minutes is the brief platform's slow reboot.
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
    /// How long one instance is expected to be out.
    pub fn reboot(&self) -> Duration {
        Duration::from_secs(self.reboot_seconds)
    }

    /// Instances that may be out at a time once `done` have come back well.
    pub fn width(&self, done: u32) -> u32 {
        let grown = self
            .first
            .max(1)
            .saturating_add(self.growth.saturating_mul(done));
        grown.min(self.max_out.unwrap_or(u32::MAX).max(1))
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Order {
    /// The wave's name.
    pub id: id::Wave,
    /// Which instances it covers.
    #[serde(default)]
    pub scope: Scope,
    /// When it may take instances out.
    #[serde(default)]
    pub window: Window,
    /// How fast it may go.
    #[serde(default)]
    pub limits: Limits,
}

/// What a wave is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes instances out as budgets allow.
    Running,
    /// It takes none out; those that are out come back.
    Paused,
    /// It stopped by itself since its instances failed together.
    Halted,
    /// Every instance that it covers is maintained, or failed and is reported so.
    Done,
    /// An operator ended it.
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
    /// What was asked for.
    pub order: Order,
    /// What it is doing.
    pub state: State,
    /// When it began: an instance maintained since then is done.
    pub started: Instant,
    /// Since when failures and successes count for its width and for stopping.
    pub resumed: Instant,
    /// When it ended for good.
    #[serde(default)]
    pub ended: Option<Instant>,
    /// Why it waits, stopped or ended, for people.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// What an operator does to a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Take no more out.
    Pause,
    /// Go on, small again.
    Resume,
    /// End it; instances that still drain serve again.
    Abort,
}

impl Row {
    /// A wave that begins now.
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
    /// [`Code::WaveStateForbids`] where the wave's state does not allow it.
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
        let mut row = self.enter(next, now, None);
        if next == Running {
            row.resumed = now;
        }
        Ok(row)
    }

    /// The row in `state`, because of `reason`.
    pub(super) fn enter(&self, state: State, now: Instant, reason: Option<Arc<str>>) -> Self {
        Self {
            state,
            reason,
            ended: state.has_ended().then_some(now),
            ..self.clone()
        }
    }
}
