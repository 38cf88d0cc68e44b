//! What happens when, as parts of the load's time.

use std::time::Duration;

/// One thing that is done to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// An operator changes an account's fair share.
    ChangeShare,
    /// A worker begins to execute everything and to break every answer off.
    LoseAnswers,
    /// That worker answers again.
    KeepAnswers,
    /// A worker begins to fail everything, its health check too.
    BreakWorker,
    /// The worker is well again.
    MendWorker,
    /// The platform takes an instance away.
    Depart,
    /// The departed instance is gone from the platform's list.
    Vanish,
    /// A new instance arrives in the platform's list.
    Arrive,
    /// An operator lowers one pool's promise, so that it can spare an instance.
    LowerPromise,
    /// An operator moves an instance from that pool to another.
    Move,
    /// An operator raises the other pool's promise, which the moved instance fills.
    RaisePromise,
    /// An operator starts a maintenance wave over one pool.
    StartWave,
    /// An entry is stopped gracefully and another one starts in its place.
    StopEntry,
    /// The store goes down.
    StoreDown,
    /// The store is back.
    StoreUp,
    /// An entry is killed and another one starts in its place.
    KillEntry,
}

impl Step {
    /// What people read.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::ChangeShare => "a fair share changes",
            Self::LoseAnswers => "a worker executes and loses its answers",
            Self::KeepAnswers => "the worker answers again",
            Self::BreakWorker => "a worker fails everything",
            Self::MendWorker => "the worker is well again",
            Self::Depart => "the platform takes an instance away",
            Self::Vanish => "the instance is gone",
            Self::Arrive => "an instance arrives",
            Self::LowerPromise => "a pool's promise falls",
            Self::Move => "an instance moves from one pool to another",
            Self::RaisePromise => "another pool's promise rises",
            Self::StartWave => "a wave reboots a pool's instances",
            Self::StopEntry => "an entry stops gracefully",
            Self::StoreDown => "the store goes down",
            Self::StoreUp => "the store is back",
            Self::KillEntry => "an entry is killed",
        }
    }
}

/// A step with its place in the load's time, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Planned {
    at: u32,
    step: Step,
}

/// The steps with a place of their own.
///
/// What needs every entry's acknowledgement (departure, move, wave) begins before the kill. A killed
/// entry may only be paused, so its silence holds such steps up until the platform lists it as gone.
const STEPS: [Planned; 15] = [
    planned(50, Step::LoseAnswers),
    planned(90, Step::KeepAnswers),
    planned(120, Step::BreakWorker),
    planned(250, Step::MendWorker),
    planned(300, Step::Depart),
    planned(380, Step::Vanish),
    planned(400, Step::Arrive),
    planned(430, Step::LowerPromise),
    planned(450, Step::Move),
    planned(490, Step::RaisePromise),
    planned(520, Step::StartWave),
    planned(600, Step::StopEntry),
    planned(700, Step::StoreDown),
    planned(800, Step::StoreUp),
    planned(860, Step::KillEntry),
];

/// Between two changes of a share, in thousandths: enough of them for a distribution.
const SHARE_EVERY: u32 = 20;

/// The last share change, in thousandths: time for it to be in force before callers stop.
const SHARES_UNTIL: u32 = 960;

const fn planned(at: u32, step: Step) -> Planned {
    Planned { at, step }
}

/// Steps that are still to come.
#[derive(Debug)]
pub(crate) struct Schedule {
    load: Duration,
    rest: Vec<Planned>,
}

impl Schedule {
    /// The schedule of a load that takes `load`.
    pub(crate) fn of(load: Duration) -> Self {
        let every = SHARE_EVERY as usize;
        let shares = (SHARE_EVERY..=SHARES_UNTIL).step_by(every);
        let shares = shares.map(|at| planned(at, Step::ChangeShare));
        let mut rest: Vec<Planned> = shares.chain(STEPS).collect();
        // The last to come is taken from the end.
        rest.sort_by_key(|planned| std::cmp::Reverse(planned.at));
        Self { load, rest }
    }

    /// The next step that is due `since` the start.
    pub(crate) fn due(&mut self, since: Duration) -> Option<Step> {
        let next = self.rest.last()?;
        if self.load * next.at / 1000 > since {
            return None;
        }
        self.rest.pop().map(|planned| planned.step)
    }
}
