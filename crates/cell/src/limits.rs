//! Times and counts that decisions depend on.

/// An instant of the owner's monotonic clock, or a duration on it, in milliseconds.
pub type Millis = u64;

/// Maximum age of the platform's list of instances.
pub(crate) const MAX_LIST_AGE_MS: Millis = 2_000;

/// Maximum rate error of a slow worker clock, in percent.
const CLOCK_ERROR_PERCENT: Millis = 2;

/// How long the rows of finished jobs are kept, in percent of the promised time.
const RETENTION_PERCENT: Millis = 125;

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
    pub min_start_time: Millis,
    /// Time on the worker's clock, from the time up to which the owner knows all cancels, within
    /// which a start must arrive. Work of a cancelled job may begin for 3 s after the
    /// acknowledgement; on a worker's clock that is as slow as it may be, this is over 0.14 s
    /// earlier.
    pub cancel_window: Millis,
    /// Margin on each wait for something that must certainly be over, for timers that fire early.
    pub margin: Millis,
    /// Longest time from the sending of a status poll to its answer: it waits a second for a run to
    /// end, and has half a second for the round trip.
    pub poll_timeout: Millis,
    /// A worker without a status for this long gets no new runs: two polls went unanswered.
    pub fresh_for: Millis,
    /// A worker without a status for this long is looked up at the platform: one and a half polls.
    pub unresponsive_after: Millis,
    /// Time for which a run has to be listed after its start until it counts as not having crashed
    /// its worker.
    pub settle_time: Millis,
    /// How long after the expiry of a worker's lease the platform is asked whether the worker has
    /// crashed.
    pub crash_check_time: Millis,
    /// Interval at which a stop without effect is sent again.
    pub stop_retry_interval: Millis,
    /// Time after which an order without an answer is no longer carried out; before that it may be,
    /// seconds after newer ones.
    pub late_order_window: Millis,
    /// Consecutive failures, of different jobs, after which a worker gets no new runs for a while.
    /// One job that always fails doesn't reach it.
    pub max_failures: u32,
    /// Length of that time; after it the worker gets a task again, and one more failure renews it.
    pub quarantine: Millis,
    /// How long a worker that refused an order as overloaded gets no new runs.
    pub overload_backoff: Millis,
    /// How long a long-running task waits for free capacity before batch tasks are stopped for it.
    pub preempt_after: Millis,
    /// How long finished jobs stay readable.
    pub retention: Millis,
    /// Whether slow workers are avoided, and their batch runs moved.
    pub worker_speed: bool,
}

impl Limits {
    /// Limits for workers that grant leases of at most `lease`, if finished jobs stay readable for
    /// `retention`.
    pub fn new(lease: Millis, retention: Millis) -> Self {
        Self {
            lease,
            start_window: 2_500,
            min_start_time: 500,
            cancel_window: 2_800,
            margin: 100,
            poll_timeout: 1_500,
            fresh_for: 3_200,
            unresponsive_after: 1_600,
            settle_time: 1_000,
            crash_check_time: 10_000,
            stop_retry_interval: 500,
            late_order_window: 15_000,
            max_failures: 3,
            quarantine: 3_000,
            overload_backoff: 400,
            preempt_after: 1_200,
            retention,
            worker_speed: true,
        }
    }

    /// How long the rows of finished jobs are kept: longer than promised, as clocks of entries differ.
    pub fn row_retention(&self) -> Millis {
        self.retention * RETENTION_PERCENT / 100
    }

    /// Longest time from a start that crashes its worker until a list that doesn't name the worker is
    /// requested, if polls and lists are answered in time.
    pub fn crash_detection_time(&self) -> Millis {
        self.settle_time + self.poll_timeout + self.unresponsive_after + MAX_LIST_AGE_MS
    }

    /// Longest time on this clock that `span` on a worker's clock can take.
    pub fn max_local_span(&self, span: Millis) -> Millis {
        span + span * CLOCK_ERROR_PERCENT / (100 - CLOCK_ERROR_PERCENT) + 1 + self.margin
    }
}
