//! Captures the log lines of one test, as an operator would collect them from all entries.
//!
//! The `log` facade has one logger per process, so this one keeps lines by thread: each test has its own thread,
//! on which its single-threaded runtime runs all entries.

use log::{
    Level, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use std::{cell::RefCell, collections::BTreeMap, fmt, sync::Once};
use tokio::time::Instant;

/// A captured log line.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Time in milliseconds since the capture began.
    pub at: u64,
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Whether the value of `field` is a comma-separated list that contains `name`.
    pub(crate) fn lists(&self, field: &str, name: &str) -> bool {
        let names = self.field(field).unwrap_or_default();
        names.split(',').any(|listed| listed == name)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} {}", self.at, self.text)?;
        let mut fields = self.fields.iter();
        fields.try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Target prefix of the simulated platform, whose lines are captured at all levels.
const STANDIN_TARGET: &str = "primroseroute_standin";

thread_local! {
    static LINES: RefCell<Option<(Instant, Vec<Line>)>> = const { RefCell::new(None) };
}

struct PerThreadLogger;

struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for PerThreadLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info || metadata.target().starts_with(STANDIN_TARGET)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        LINES.with_borrow_mut(|lines| {
            let Some((begin, lines)) = lines else {
                return;
            };
            let mut fields = Fields(BTreeMap::new());
            let visited = record.key_values().visit(&mut fields);
            assert!(visited.is_ok(), "a field of a log line can't be read");
            lines.push(Line {
                at: u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX),
                text: record.args().to_string(),
                fields: fields.0,
            });
        });
    }

    fn flush(&self) {}
}

/// Starts to capture the log lines of this thread.
pub(crate) fn capture() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&PerThreadLogger).expect("no other logger is installed");
        log::set_max_level(log::LevelFilter::Debug);
    });
    LINES.set(Some((Instant::now(), Vec::new())));
}

/// The lines captured on this thread so far.
pub(crate) fn captured() -> Vec<Line> {
    LINES
        .with_borrow(|lines| lines.as_ref().map(|(_begin, lines)| lines.clone()))
        .unwrap_or_default()
}
