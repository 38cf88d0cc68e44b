//! Throttling of fillers before they raise the response time of the tasks beside them too far.

use crate::{cell::Cell, order::Order, worker::StartState};
use primroseroute_domain::work::{Name, TaskId};

/// Share of its target, in percent, that the tail latency of a serving task may reach before
/// fillers are slowed. Measurements are rough and arrive once a second; the rest is a margin for
/// changes in between.
const SLOW_ABOVE_PERCENT: u64 = 75;

/// Share in percent below which fillers are sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 50;

/// Divisor by which fillers are slowed.
const SLOWDOWN_DIVISOR: u32 = 3;

/// Percentage points by which fillers are sped up.
const SPEED_UP_STEP_PERCENT: u32 = 20;

const FULL_SPEED_PERCENT: u32 = 100;

/// Speed in percent below which a filler is paused.
const MIN_SPEED_PERCENT: u32 = 10;

/// Orders for the runs of one worker, after a status of it.
pub(crate) fn run(cell: &mut Cell, id: &Name) -> Vec<Order> {
    let Some(worker) = cell.workers.get(id) else {
        return Vec::new();
    };
    let mut highest = None;
    let mut fillers: Vec<TaskId> = Vec::new();
    for (task, run) in &worker.runs {
        let Some(step) = cell.step(task) else {
            continue;
        };
        if !matches!(run.start_state, StartState::Confirmed(_)) {
            continue;
        }
        if step.filler {
            fillers.push(task.clone());
        } else {
            // A task without a target has no share.
            let share = run.load.saturating_mul(100).checked_div(step.target_ms);
            highest = highest.max(share);
        }
    }
    let Some(share) = highest else {
        return Vec::new();
    };
    let Some(worker) = cell.workers.get_mut(id) else {
        return Vec::new();
    };
    let mut orders = Vec::new();
    for task in fillers {
        let Some(run) = worker.runs.get_mut(&task) else {
            continue;
        };
        let wanted = next_speed(run.speed_percent, share);
        if wanted != run.speed_percent {
            run.speed_percent = wanted;
            orders.push(Order::Throttle {
                worker: Name::clone(id),
                task,
                run: run.run,
                percent: wanted,
            });
        }
    }
    orders
}

/// The next speed of a filler, if the highest tail latency beside it is at `share` percent of its
/// target.
fn next_speed(speed: u32, share: u64) -> u32 {
    if share >= SLOW_ABOVE_PERCENT {
        let slower = speed / SLOWDOWN_DIVISOR;
        if slower < MIN_SPEED_PERCENT {
            0
        } else {
            slower
        }
    } else if share < SPEED_UP_BELOW_PERCENT {
        (speed + SPEED_UP_STEP_PERCENT).min(FULL_SPEED_PERCENT)
    } else {
        speed
    }
}
