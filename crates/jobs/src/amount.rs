//! Arithmetic on resources.

use primroseroute_platform::task::Resources;

/// Room for rounding: sums of many `f64` differ from the exact sum by far less.
const EPSILON: f64 = 1e-9;

fn zip(a: Resources, b: Resources, f: impl Fn(f64, f64) -> f64) -> Resources {
    Resources {
        cores: f(a.cores, b.cores),
        memory: f(a.memory, b.memory),
        accelerators: f(a.accelerators, b.accelerators),
    }
}

pub(crate) fn add(a: Resources, b: Resources) -> Resources {
    zip(a, b, |a, b| a + b)
}

pub(crate) fn subtract(a: Resources, b: Resources) -> Resources {
    zip(a, b, |a, b| a - b)
}

pub(crate) fn multiply(a: Resources, b: Resources) -> Resources {
    zip(a, b, |a, b| a * b)
}

pub(crate) fn least(a: Resources, b: Resources) -> Resources {
    zip(a, b, f64::min)
}

pub(crate) fn most(a: Resources, b: Resources) -> Resources {
    zip(a, b, f64::max)
}

/// `a + (b - a) * weight`.
pub(crate) fn blend(a: Resources, b: Resources, weight: f64) -> Resources {
    zip(a, b, |a, b| a + (b - a) * weight)
}

/// Whether `need` fits into `room`.
pub(crate) fn fits(need: Resources, room: Resources) -> bool {
    let fit = |need: f64, room: f64| need <= room + EPSILON * (1.0 + room.abs());
    fit(need.cores, room.cores)
        && fit(need.memory, room.memory)
        && fit(need.accelerators, room.accelerators)
}

/// The part that `used` takes of each resource of `total`; 0 of what `total` lacks.
pub(crate) fn parts(used: Resources, total: Resources) -> [f64; 3] {
    let part = |used: f64, total: f64| if total > 0.0 { used / total } else { 0.0 };
    [
        part(used.cores, total.cores),
        part(used.memory, total.memory),
        part(used.accelerators, total.accelerators),
    ]
}

/// The largest of [`parts`].
pub(crate) fn dominant(used: Resources, total: Resources) -> f64 {
    let [cores, memory, accelerators] = parts(used, total);
    cores.max(memory).max(accelerators)
}
