//! Progress of a run on a worker whose speed changes.

/// Progress of a run through a task of some length, at the speed of its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// Time that the task takes on a worker that isn't slow.
    pub length: u64,
    /// What was done of that when the speed last changed.
    pub done: u64,
    pub changed_at: u64,
    /// How many times slower the worker is.
    pub slowdown: u64,
}

impl Work {
    /// What is done at `now`, as a time on a worker that isn't slow.
    pub(super) fn done(&self, now: u64) -> u64 {
        self.done + now.saturating_sub(self.changed_at) / self.slowdown
    }

    /// Changes the speed; returns when the run ends.
    pub(super) fn set_slowdown(&mut self, slowdown: u64, now: u64) -> u64 {
        self.done = self.done(now);
        self.changed_at = now;
        self.slowdown = slowdown;
        now + self.length.saturating_sub(self.done) * slowdown
    }
}
