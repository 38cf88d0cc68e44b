//! The rate at which a pool processes its backlog.

use std::collections::VecDeque;

/// Period over which completions count. Moving an instance takes 1.5 s, and 2.5 to 3 s pass until it
/// gets its first task.
const WINDOW_MS: u64 = 3_000;

/// Limit of the completion rate relative to the capacity: a wide task that ends counts with all of
/// its work at once.
const MAX_GAIN: u64 = 2;

/// Capacity and completions of the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    /// Completed work in core-milliseconds, with its time.
    completed: VecDeque<(u64, u64)>,
    /// Capacity in thousandths of a core, with its time.
    capacities: VecDeque<(u64, u64)>,
}

fn prune(values: &mut VecDeque<(u64, u64)>, now_ms: u64) {
    while values
        .front()
        .is_some_and(|(at, _value)| at.saturating_add(WINDOW_MS) < now_ms)
    {
        values.pop_front();
    }
}

impl Rate {
    pub(crate) fn add_completed(&mut self, core_ms: u64, now_ms: u64) {
        self.completed.push_back((now_ms, core_ms));
    }

    /// The rate in thousandths of a core: the larger of the capacity and of what was completed
    /// lately.
    pub(crate) fn update(&mut self, capacity_cpu: u64, now_ms: u64) -> u64 {
        self.capacities.push_back((now_ms, capacity_cpu));
        prune(&mut self.capacities, now_ms);
        prune(&mut self.completed, now_ms);
        let completed = self.completed.iter().map(|(_at, core_ms)| *core_ms);
        let completed = completed.fold(0, u64::saturating_add);
        let completed = completed.saturating_mul(1_000) / WINDOW_MS;
        let capacities = self.capacities.iter().map(|(_at, cpu)| *cpu);
        let largest = capacities.max().unwrap_or(0);
        completed
            .min(largest.saturating_mul(MAX_GAIN))
            .max(capacity_cpu)
    }
}
