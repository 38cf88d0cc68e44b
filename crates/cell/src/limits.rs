//! Times and counts that decisions depend on.

/// An instant of the owner's monotonic clock, or a duration on it, in milliseconds.
pub type Millis = u64;

/// Maximum rate error of a slow worker clock, in percent.
const CLOCK_ERROR_PERCENT: Millis = 2;

/// Times and counts that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// Time on the worker's clock, from the sending of its commit, within which a start must
    /// arrive. It covers a commit at a store that answers sixty times slower than usual; a new
    /// owner waits for that long for starts of the previous one on a worker that doesn't answer.
    pub start_window: Millis,
    /// Minimum time that a start needs from its decision to its worker: a commit and a call, thirty
    /// times slower than usual.
    pub start_time: Millis,
    /// Time on the worker's clock, from the time up to which the owner knows all cancels, within
    /// which a start must arrive. Work of a cancelled job may begin for 3 s after the
    /// acknowledgement; on a worker's clock that is as slow as it may be, this is over 0.14 s
    /// earlier.
    pub cancel_window: Millis,
    /// Margin on each wait for something that must certainly be over, for timers that fire early.
    pub margin: Millis,
    /// Longest time from the sending of a status poll to its answer: it waits a second for a run to
    /// end, and has half a second for the round trip.
    pub look: Millis,
    /// A worker without a status for this long gets no new runs: two polls went unanswered.
    pub fresh: Millis,
    /// A worker without a status for this long is looked up at the platform: one and a half polls.
    pub silent: Millis,
    /// Time for which a run has to be listed after its start until it counts as not having crashed
    /// its worker.
    pub settle: Millis,
    /// How long after the expiry of a worker's lease the platform is asked whether the worker has
    /// crashed.
    pub doubt: Millis,
    /// Interval at which a stop without effect is sent again.
    pub resend: Millis,
    /// Time after which an order without an answer is no longer carried out; before that it may be,
    /// seconds after newer ones.
    pub late_order: Millis,
    /// Consecutive failures, of different jobs, after which a worker gets no new runs for a while.
    /// One job that always fails doesn't reach it.
    pub failures: u32,
    /// Length of that time; after it the worker gets a task again, and one more failure renews it.
    pub quarantine: Millis,
    /// How long a worker that refused an order as overloaded gets no new runs.
    pub pause: Millis,
    /// How long a long-running task waits for free capacity before batch tasks are stopped for it.
    pub patience: Millis,
    /// How long the rows of finished jobs are kept.
    pub keep: Millis,
}

impl Limits {
    /// Limits for workers that grant leases of at most `lease`, if finished jobs stay readable for
    /// `keep`.
    pub fn new(lease: Millis, keep: Millis) -> Self {
        Self {
            lease,
            start_window: 2_500,
            start_time: 500,
            cancel_window: 2_800,
            margin: 100,
            look: 1_500,
            fresh: 3_200,
            silent: 1_600,
            settle: 1_000,
            doubt: 10_000,
            resend: 500,
            late_order: 15_000,
            failures: 3,
            quarantine: 3_000,
            pause: 400,
            patience: 1_200,
            keep,
        }
    }

    /// Longest time on this clock that `span` on a worker's clock can take.
    pub fn stretched(&self, span: Millis) -> Millis {
        span + span * CLOCK_ERROR_PERCENT / (100 - CLOCK_ERROR_PERCENT) + 1 + self.margin
    }
}
