//! A bound on how many lines of one kind are written, and a way out that never blocks.
//!
//! A failure shows as the same line for each request it touches, at the very moment when the entry
//! has the most to do. [`Budget`] lets so many lines of a kind through each second, and says once a
//! second how many of which kind were left out. [`Outlet`] hands lines to a thread of its own: a
//! reader that has stopped reading fills the pipe, and then lines are dropped and counted instead of
//! holding the entry up.

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

/// Lines of one kind that are written each second: enough to see what happens, and at 400 bytes a
/// line and ten kinds at once under 200 KB a second.
pub const LINES_A_SECOND: u32 = 40;

/// Lines that wait to be written: a second of them.
const WAITING: usize = 512;

/// How long the counts of a kind run.
const WINDOW: Duration = Duration::from_secs(1);

/// Where a line is written in the code: its kind.
pub type Kind = (&'static str, u32);

/// Counts lines by kind.
#[derive(Debug, Default)]
pub struct Budget {
    begun: Option<Instant>,
    counts: BTreeMap<Kind, u32>,
}

/// What to do with a line.
#[derive(Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it is written.
    pub write: bool,
    /// Kinds of which lines were left out in the second that is over, with their number.
    pub left_out: Vec<(Kind, u32)>,
}

impl Budget {
    /// Counts a line of `kind` at `now`.
    pub fn count(&mut self, kind: Kind, now: Instant) -> Verdict {
        let over = self.begun.is_none_or(|begun| now >= begun + WINDOW);
        let left_out = if over { self.renew(now) } else { Vec::new() };
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        Verdict {
            write: *count <= LINES_A_SECOND,
            left_out,
        }
    }

    fn renew(&mut self, now: Instant) -> Vec<(Kind, u32)> {
        self.begun = Some(now);
        let counts = std::mem::take(&mut self.counts);
        let over = counts.into_iter();
        over.filter(|(_kind, count)| *count > LINES_A_SECOND)
            .map(|(kind, count)| (kind, count - LINES_A_SECOND))
            .collect()
    }
}

/// Writes lines on a thread of its own; a line that finds no place is dropped and counted.
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
    /// Starts the thread that writes to `sink`; it ends with the outlet.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn spawn(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || drain(&waiting, sink, &counted))?;
        Ok(Self {
            lines,
            dropped,
            budget: Mutex::default(),
        })
    }

    /// Lines that found no place so far, and haven't been told of.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Hands a line over, or counts it as dropped.
    pub fn push(&self, line: Vec<u8>) {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// A line about lines, in the format of the others.
fn note(text: &str) -> Vec<u8> {
    let json = serde_json::json!({ "level": Level::Warn.as_str(), "text": text });
    let mut line = json.to_string().into_bytes();
    line.push(b'\n');
    line
}

fn drain(waiting: &Receiver<Vec<u8>>, mut sink: impl Write, dropped: &AtomicU64) {
    for line in waiting {
        // Nobody can be told that a line about a failure to write a line can't be written.
        let written = sink.write_all(&line).and_then(|()| sink.flush());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if written.is_err() {
            dropped.fetch_add(lost + 1, Ordering::Relaxed);
        } else if lost > 0 {
            let told = sink.write_all(&note(&format!("{lost} lines were dropped")));
            if told.is_err() {
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
        let verdict = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.count(kind, Instant::now())
        };
        for ((file, line), count) in verdict.left_out {
            self.push(note(&format!(
                "{count} lines of {file}:{line} were left out"
            )));
        }
        if verdict.write {
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
