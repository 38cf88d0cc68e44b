//! The process's own clocks: processor time of this thread, and memory.

use eyre::{Result, eyre};
use std::{fs, time::Duration};

/// Processor time that this thread has had; what else runs on the machine adds nothing to it.
///
/// From the scheduler's statistics, which lag by at most a tick of a few milliseconds.
pub fn processor() -> Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let spent = text.split_whitespace().next();
    let spent = spent.ok_or_else(|| eyre!("no scheduler statistics"))?;
    Ok(Duration::from_nanos(spent.parse()?))
}

/// Resident memory of the process in bytes.
pub fn resident() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: u64 = kilobytes.ok_or_else(|| eyre!("no VmRSS"))?.parse()?;
    Ok(kilobytes * 1024)
}

/// Processor time that a loop of calls must have had: fifty ticks of the scheduler's statistics.
const ENOUGH: Duration = Duration::from_millis(200);

/// Processor time of one call in microseconds, over as many calls as that takes.
pub fn each(mut call: impl FnMut()) -> Result<f64> {
    let before = processor()?;
    let mut calls = 0;
    loop {
        // As many again as there were, so that reading the clock costs nothing.
        for _ in 0..calls.max(1) {
            call();
        }
        calls += calls.max(1);
        let spent = processor()?.saturating_sub(before);
        if spent >= ENOUGH {
            return Ok(spent.as_secs_f64() * 1e6 / f64::from(calls));
        }
    }
}
