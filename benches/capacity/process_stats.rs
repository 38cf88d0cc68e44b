//! CPU time of this thread and memory of the process.

use eyre::{Result, eyre};
use std::{fs, time::Duration};

/// CPU time used by this thread; unaffected by other processes.
///
/// Read from the scheduler's statistics, which lag by at most one tick of a few milliseconds.
pub fn thread_cpu_time() -> Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let cpu_time = text.split_whitespace().next();
    let cpu_time = cpu_time.ok_or_else(|| eyre!("schedstat is empty"))?;
    Ok(Duration::from_nanos(cpu_time.parse()?))
}

/// Resident memory of the process in bytes.
pub fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: u64 = kilobytes
        .ok_or_else(|| eyre!("no VmRSS line in /proc/self/status"))?
        .parse()?;
    Ok(kilobytes * 1024)
}

/// Minimum CPU time of a loop of calls: fifty ticks of the scheduler's statistics.
const MIN_CPU_TIME: Duration = Duration::from_millis(200);

/// CPU time of one call in microseconds, averaged over as many calls as [`MIN_CPU_TIME`] takes.
pub fn micros_per_call(mut call: impl FnMut()) -> Result<f64> {
    let before = thread_cpu_time()?;
    let mut calls = 0;
    loop {
        // Doubles the number of calls each time, which makes the cost of reading the clock negligible.
        for _ in 0..calls.max(1) {
            call();
        }
        calls += calls.max(1);
        let cpu_time = thread_cpu_time()?.saturating_sub(before);
        if cpu_time >= MIN_CPU_TIME {
            return Ok(cpu_time.as_secs_f64() * 1e6 / f64::from(calls));
        }
    }
}
