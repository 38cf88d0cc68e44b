//! Log rate limiting per call site, and a writer that never blocks.
//!
//! A failure logs the same line for every affected request, just when the entry is busiest.
//! [`Budget`] limits the lines of each kind per second, and reports once a second how many of each
//! kind were suppressed. [`Outlet`] passes lines to a thread of its own: if the reader of the pipe
//! stalls, the pipe fills up, and lines are then dropped and counted instead of blocking the entry.

use flexi_logger::{DeferredNow, writers::LogWriter};
use log::{Level, LevelFilter, Record};
use std::{
    collections::BTreeMap,
    fmt,
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Maximum number of lines of one kind per second: enough to see what happens, and at 400 bytes per
/// line and ten kinds at once less than 200 KB per second.
pub const MAX_LINES_PER_SECOND: u32 = 40;

/// Capacity of the queue of lines to be written: about one second's worth.
const QUEUE_CAPACITY: usize = 512;

/// Period after which the counts are reset.
const WINDOW: Duration = Duration::from_secs(1);

/// Kind of a line: the source file and line of its log statement.
pub type Kind = (&'static str, u32);

/// Limits the number of lines per kind and second.
#[derive(Debug, Default)]
pub struct Budget {
    window_start: Option<Instant>,
    counts: BTreeMap<Kind, u32>,
}

/// Decision on a line.
#[derive(Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the line is written.
    pub write: bool,
    /// Number of suppressed lines per kind in the window that has just ended.
    pub suppressed: Vec<(Kind, u32)>,
}

impl Budget {
    /// Counts a line of `kind` at `now` and decides whether it is written.
    pub fn count(&mut self, kind: Kind, now: Instant) -> Decision {
        let expired = self.window_start.is_none_or(|start| now >= start + WINDOW);
        let suppressed = if expired {
            self.start_window(now)
        } else {
            Vec::new()
        };
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        Decision {
            write: *count <= MAX_LINES_PER_SECOND,
            suppressed,
        }
    }

    fn start_window(&mut self, now: Instant) -> Vec<(Kind, u32)> {
        self.window_start = Some(now);
        let counts = std::mem::take(&mut self.counts);
        let counts = counts.into_iter();
        counts
            .filter(|(_kind, count)| *count > MAX_LINES_PER_SECOND)
            .map(|(kind, count)| (kind, count - MAX_LINES_PER_SECOND))
            .collect()
    }
}

/// Writes lines on a separate thread; lines that do not fit into the queue are dropped and counted.
pub struct Outlet {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    budget: Mutex<Budget>,
}

impl fmt::Debug for Outlet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outlet")
            .field("dropped", &self.dropped)
            .finish_non_exhaustive()
    }
}

impl Outlet {
    /// Starts the thread that writes to `sink`; it ends when the outlet is dropped.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn spawn(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_by_writer = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_queued(&queue, sink, &dropped_by_writer))?;
        Ok(Self {
            lines,
            dropped,
            budget: Mutex::default(),
        })
    }

    /// Number of dropped lines that have not been reported in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Enqueues a line, or counts it as dropped.
    pub fn push(&self, line: Vec<u8>) {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// A log line about the log itself, in the same format as the others.
fn notice(text: &str) -> Vec<u8> {
    let json = serde_json::json!({ "level": Level::Warn.as_str(), "text": text });
    let mut line = json.to_string().into_bytes();
    line.push(b'\n');
    line
}

fn write_queued(queue: &Receiver<Vec<u8>>, mut sink: impl Write, dropped: &AtomicU64) {
    for line in queue {
        // A failure to write the log cannot itself be logged.
        let written = sink.write_all(&line).and_then(|()| sink.flush());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if written.is_err() {
            dropped.fetch_add(lost + 1, Ordering::Relaxed);
        } else if lost > 0 {
            let reported = sink.write_all(&notice(&format!("{lost} lines were dropped")));
            if reported.is_err() {
                dropped.fetch_add(lost, Ordering::Relaxed);
            }
        }
    }
}

impl LogWriter for Outlet {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let kind = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let decision = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.count(kind, Instant::now())
        };
        for ((file, line), count) in decision.suppressed {
            self.push(notice(&format!(
                "{count} lines of {file}:{line} were left out"
            )));
        }
        if decision.write {
            let mut line = Vec::with_capacity(400);
            crate::log::line(&mut line, now, record)?;
            line.push(b'\n');
            self.push(line);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}
