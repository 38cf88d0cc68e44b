//! The schedule of faults and changes, relative to the duration of the load.

use std::time::Duration;

/// One fault or change applied to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// An operator changes an account's fair share.
    ChangeShare,
    /// A worker starts to execute each request and reset its connection instead of responding.
    DropResponses,
    /// That worker responds again.
    RestoreResponses,
    /// A worker starts to fail every request and its health check.
    BreakWorker,
    /// That worker is healthy again.
    RepairWorker,
    /// The platform announces that an instance is leaving.
    Depart,
    /// The platform lists the departed instance as gone.
    Vanish,
    /// A new instance appears in the platform's list.
    Arrive,
    /// An operator lowers one pool's promised capacity, so that it can spare an instance.
    LowerPromised,
    /// An operator moves an instance from that pool to another.
    Move,
    /// An operator raises the other pool's promised capacity, which the moved instance covers.
    RaisePromised,
    /// An operator starts a maintenance wave over one pool.
    StartWave,
    /// An entry is stopped gracefully and another one starts in its place.
    StopEntry,
    /// The store becomes unavailable.
    StopStore,
    /// The store is available again.
    RestoreStore,
    /// An entry is killed and another one starts in its place.
    KillEntry,
}

impl Step {
    /// Description for the progress display.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::ChangeShare => "a fair share changes",
            Self::DropResponses => "a worker executes requests and drops its responses",
            Self::RestoreResponses => "the worker responds again",
            Self::BreakWorker => "a worker fails every request",
            Self::RepairWorker => "the worker is healthy again",
            Self::Depart => "the platform takes an instance away",
            Self::Vanish => "the instance is gone",
            Self::Arrive => "an instance arrives",
            Self::LowerPromised => "a pool's promise falls",
            Self::Move => "an instance moves from one pool to another",
            Self::RaisePromised => "another pool's promise rises",
            Self::StartWave => "a wave reboots a pool's instances",
            Self::StopEntry => "an entry stops gracefully",
            Self::StopStore => "the store goes down",
            Self::RestoreStore => "the store is back",
            Self::KillEntry => "an entry is killed",
        }
    }
}

/// A step and its time, in thousandths of the load's duration.
#[derive(Clone, Copy, Debug)]
struct Planned {
    at: u32,
    step: Step,
}

/// All steps except the periodic share changes.
///
/// Steps that need every entry's acknowledgement (departure, move, wave) start before the kill. An entry
/// that was killed can't be told from one that is suspended, so its missing acknowledgement blocks such
/// steps until the platform lists it as gone.
const STEPS: [Planned; 15] = [
    planned(50, Step::DropResponses),
    planned(90, Step::RestoreResponses),
    planned(120, Step::BreakWorker),
    planned(250, Step::RepairWorker),
    planned(300, Step::Depart),
    planned(380, Step::Vanish),
    planned(400, Step::Arrive),
    planned(430, Step::LowerPromised),
    planned(450, Step::Move),
    planned(490, Step::RaisePromised),
    planned(520, Step::StartWave),
    planned(600, Step::StopEntry),
    planned(700, Step::StopStore),
    planned(800, Step::RestoreStore),
    planned(860, Step::KillEntry),
];

/// Interval between share changes, in thousandths of the load's duration; gives enough samples for a distribution.
const SHARE_INTERVAL: u32 = 20;

/// Time of the last share change, in thousandths, early enough to take effect before the callers stop.
const LAST_SHARE_CHANGE: u32 = 960;

const fn planned(at: u32, step: Step) -> Planned {
    Planned { at, step }
}

/// The steps that are not due yet.
#[derive(Debug)]
pub(crate) struct Schedule {
    load: Duration,
    remaining: Vec<Planned>,
}

impl Schedule {
    /// Creates the schedule for a load of duration `load`.
    pub(crate) fn new(load: Duration) -> Self {
        let interval = SHARE_INTERVAL as usize;
        let shares = (SHARE_INTERVAL..=LAST_SHARE_CHANGE).step_by(interval);
        let shares = shares.map(|at| planned(at, Step::ChangeShare));
        let mut remaining: Vec<Planned> = shares.chain(STEPS).collect();
        // Sorted by descending time, so that `pop` returns the next step.
        remaining.sort_by_key(|planned| std::cmp::Reverse(planned.at));
        Self { load, remaining }
    }

    /// Removes and returns the next step if it is due when `elapsed` has passed since the start.
    pub(crate) fn pop_due(&mut self, elapsed: Duration) -> Option<Step> {
        let next = self.remaining.last()?;
        if self.load * next.at / 1000 > elapsed {
            return None;
        }
        self.remaining.pop().map(|planned| planned.step)
    }
}
