//! Throttling of fillers before they raise the response time of the tasks beside them too far.

use crate::{cell::Cell, order::Order, worker::Known};
use primroseroute_domain::work::{Name, TaskId};

/// Share of its target, in percent, that the tail latency of a serving task may reach before
/// fillers are slowed. Measurements are rough and arrive once a second; the rest is a margin for
/// changes in between.
const HIGH: u64 = 75;

/// Share in percent below which fillers are sped up.
const LOW: u64 = 50;

/// Divisor by which fillers are slowed.
const SLOWER: u32 = 3;

/// Percentage points by which fillers are sped up.
const FASTER: u32 = 20;

const FULL: u32 = 100;

/// Speed in percent below which a filler is paused.
const LEAST: u32 = 10;

/// Orders for the runs of one worker, after a status of it.
pub(crate) fn run(cell: &mut Cell, id: &Name) -> Vec<Order> {
    let Some(worker) = cell.workers.get(id) else {
        return Vec::new();
    };
    let mut worst = None;
    let mut fillers: Vec<TaskId> = Vec::new();
    for (task, run) in &worker.runs {
        let Some(step) = cell.step(task) else {
            continue;
        };
        if !matches!(run.known, Known::Runs(_)) {
            continue;
        }
        if step.filler {
            fillers.push(task.clone());
        } else {
            // A task without a target has no share.
            let share = (run.load * 100).checked_div(step.target_ms);
            worst = worst.max(share);
        }
    }
    let Some(share) = worst else {
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
        let wanted = next(run.pace, share);
        if wanted != run.pace {
            run.pace = wanted;
            orders.push(Order::Pace {
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
fn next(pace: u32, share: u64) -> u32 {
    if share >= HIGH {
        let slower = pace / SLOWER;
        if slower < LEAST { 0 } else { slower }
    } else if share < LOW {
        (pace + FASTER).min(FULL)
    } else {
        pace
    }
}
