//! Arithmetic on resources.

use primroseroute_platform::task::Resources;

/// Rounding tolerance: sums of many `f64` differ from the exact sum by far less.
const ROUNDING_TOLERANCE: f64 = 1e-9;

fn combine(a: Resources, b: Resources, f: impl Fn(f64, f64) -> f64) -> Resources {
    Resources {
        cores: f(a.cores, b.cores),
        memory: f(a.memory, b.memory),
        accelerators: f(a.accelerators, b.accelerators),
    }
}

pub(crate) fn add(a: Resources, b: Resources) -> Resources {
    combine(a, b, |a, b| a + b)
}

pub(crate) fn subtract(a: Resources, b: Resources) -> Resources {
    combine(a, b, |a, b| a - b)
}

pub(crate) fn multiply(a: Resources, b: Resources) -> Resources {
    combine(a, b, |a, b| a * b)
}

pub(crate) fn minimum(a: Resources, b: Resources) -> Resources {
    combine(a, b, f64::min)
}

pub(crate) fn maximum(a: Resources, b: Resources) -> Resources {
    combine(a, b, f64::max)
}

/// `a + (b - a) * weight`.
pub(crate) fn interpolate(a: Resources, b: Resources, weight: f64) -> Resources {
    combine(a, b, |a, b| a + (b - a) * weight)
}

/// Whether `need` fits into `capacity`.
pub(crate) fn fits(need: Resources, capacity: Resources) -> bool {
    let fit =
        |need: f64, capacity: f64| need <= capacity + ROUNDING_TOLERANCE * (1.0 + capacity.abs());
    fit(need.cores, capacity.cores)
        && fit(need.memory, capacity.memory)
        && fit(need.accelerators, capacity.accelerators)
}

/// The fraction of each resource of `total` that `used` takes; 0 where `total` has none.
pub(crate) fn fractions(used: Resources, total: Resources) -> [f64; 3] {
    let fraction = |used: f64, total: f64| if total > 0.0 { used / total } else { 0.0 };
    [
        fraction(used.cores, total.cores),
        fraction(used.memory, total.memory),
        fraction(used.accelerators, total.accelerators),
    ]
}

/// The largest of [`fractions`].
pub(crate) fn dominant_fraction(used: Resources, total: Resources) -> f64 {
    let [cores, memory, accelerators] = fractions(used, total);
    cores.max(memory).max(accelerators)
}
