//! Log lines are rate-limited per kind, and a stalled reader does not block the caller.

use primroseroute_telemetry::budget::{Budget, MAX_LINES_PER_SECOND, Outlet};
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::{Duration, Instant},
};

const KIND: (&str, u32) = ("a.rs", 1);
const OTHER: (&str, u32) = ("b.rs", 2);

#[test]
fn lines_over_the_budget_are_suppressed_and_reported() {
    let mut budget = Budget::default();
    let start = Instant::now();
    let mut written = 0;
    for _line in 0..MAX_LINES_PER_SECOND + 7 {
        written += u32::from(budget.count(KIND, start).write);
    }
    assert_eq!(written, MAX_LINES_PER_SECOND);
    assert!(budget.count(OTHER, start).write);
    let next = budget.count(OTHER, start + Duration::from_secs(1));
    assert_eq!(next.suppressed, vec![(KIND, 7)]);
    assert!(budget.count(KIND, start + Duration::from_secs(1)).write);
}

/// A sink that blocks each write until a message arrives on `go`.
struct BlockedSink {
    go: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go.recv().map_err(io::Error::other)?;
        self.written.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// The reader of the pipe has stalled. Every push returns at once and lines that do not fit are counted;
// once the reader resumes, the next line reports how many were dropped.
#[test]
fn full_pipe_drops_lines_and_counts_them() -> io::Result<()> {
    let (go, wait) = channel();
    let (written, out) = channel();
    let outlet = Outlet::spawn(BlockedSink { go: wait, written })?;
    for number in 0..2_000 {
        outlet.push(format!("{number}\n").into_bytes());
    }
    let dropped = outlet.dropped();
    assert!(dropped > 1_000, "{dropped}");
    let mut notice = None;
    for _write in 0..3 {
        go.send(()).map_err(io::Error::other)?;
        let line = out.recv().map_err(io::Error::other)?;
        let line = String::from_utf8_lossy(&line).into_owned();
        if line.contains("were dropped") {
            notice = Some(line);
        }
    }
    let expected = format!("{dropped} lines were dropped");
    assert!(notice.unwrap_or_default().contains(&expected));
    Ok(())
}
