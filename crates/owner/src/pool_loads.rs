//! The loads that owners of pools publish, as the gateway of this entry knows them.

use crate::{
    entry::Bounds,
    follow::{FeedTiming, Sink, Source, follow},
};
use async_trait::async_trait;
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_admission::PoolLoad;
use primroseroute_cell::row;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Range, Row, Rows, Version},
    site::Configuration,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch::Receiver, task::JoinHandle, time::Instant};

/// Calls of the feed: a site without changes costs each entry one call in ten seconds, and a silent
/// connection is replaced before the last confirmation is 15 s old.
const TIMING: FeedTiming = FeedTiming {
    min_interval: Duration::from_millis(500),
    wait: Duration::from_secs(10),
    full_read_after: None,
};

/// Time after the wait by which a call has ended. An answer that a suspended process reads later is
/// as old as if it had arrived then.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);

/// Partition that is read for the newest version; no pool has this name, since the platform's names
/// begin with a letter or digit.
const NO_POOL: &str = ".newest";

/// The load of a pool as it was received.
#[derive(Clone, Debug)]
pub struct Received {
    /// The load.
    pub load: Arc<PoolLoad>,
    /// Version of its row.
    pub version: Version,
    /// When it arrived.
    pub at: Instant,
}

/// The published loads, which are followed while the configuration has client accounts and admission
/// is switched on.
#[derive(Clone, Debug)]
pub struct PoolLoads {
    state: Arc<Mutex<State>>,
    bounds: Receiver<Bounds>,
}

#[derive(Debug, Default)]
struct State {
    loads: BTreeMap<Name, Received>,
    /// Pools whose newest row can't be used.
    unusable: BTreeSet<Name>,
    confirmed_at: Option<Instant>,
}

impl PoolLoads {
    /// Follows the table; the task ends when its handle is aborted. `seed` differs between entries.
    pub fn spawn(
        rows: Arc<dyn Rows>,
        configuration: Receiver<Option<Arc<Configuration>>>,
        bounds: Receiver<Bounds>,
        seed: u64,
    ) -> (Self, JoinHandle<()>) {
        let loads = Self {
            state: Arc::default(),
            bounds: bounds.clone(),
        };
        let switch = Switch {
            configuration,
            bounds,
        };
        let state = Arc::clone(&loads.state);
        let task = tokio::spawn(follow_while_needed(rows, switch, state, seed));
        (loads, task)
    }

    /// Whether admission is switched on.
    pub fn is_enabled(&self) -> bool {
        self.bounds.borrow().admission
    }

    /// The newest load of a pool.
    pub fn received(&self, pool: &Name) -> Option<Received> {
        self.state.lock().loads.get(pool).cloned()
    }

    /// How long ago everything that was published had certainly been received; `None` if that never
    /// was.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed_at = self.state.lock().confirmed_at;
        confirmed_at.map(|at| at.elapsed())
    }
}

/// Whether loads are needed.
struct Switch {
    configuration: Receiver<Option<Arc<Configuration>>>,
    bounds: Receiver<Bounds>,
}

impl Switch {
    fn is_on(&mut self) -> bool {
        let configuration = self.configuration.borrow_and_update();
        let has_accounts = configuration.as_ref();
        let has_accounts = has_accounts.is_some_and(|known| !known.accounts.is_empty());
        self.bounds.borrow_and_update().admission && has_accounts
    }

    /// Waits for it; returns `false` if it can't change any more.
    async fn wait_until(&mut self, on: bool) -> bool {
        while self.is_on() != on {
            let changed = tokio::select! {
                changed = self.configuration.changed() => changed,
                changed = self.bounds.changed() => changed,
            };
            if changed.is_err() {
                return false;
            }
        }
        true
    }
}

async fn follow_while_needed(
    rows: Arc<dyn Rows>,
    mut switch: Switch,
    state: Arc<Mutex<State>>,
    seed: u64,
) {
    while switch.wait_until(true).await {
        let sink = LoadSink {
            state: Arc::clone(&state),
            sent_at: Instant::now(),
        };
        let source = LoadTable(Arc::clone(&rows));
        let can_change = tokio::select! {
            () = follow("admission", source, sink, TIMING, None, seed) => true,
            can_change = switch.wait_until(false) => can_change,
        };
        *state.lock() = State::default();
        if !can_change {
            break;
        }
    }
}

struct LoadTable(Arc<dyn Rows>);

#[async_trait]
impl Source for LoadTable {
    type Item = Row;

    /// No rows, and the newest version: owners repeat what matters.
    async fn read_full(&self) -> Result<(Vec<Row>, Version), Error> {
        let range = Range {
            table: row::ADMISSION.into(),
            partition: NO_POOL.into(),
            from: None,
            to: None,
        };
        let page = self.0.read(range).await?;
        Ok((Vec::new(), page.version))
    }

    async fn changes_after(&self, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.0.feed(row::ADMISSION, after, wait).await
    }
}

struct LoadSink {
    state: Arc<Mutex<State>>,
    sent_at: Instant,
}

impl LoadSink {
    /// When the answer to the last call arrived, at the latest.
    fn arrival(&self) -> Instant {
        Instant::now().min(self.sent_at + TIMING.wait + ANSWER_SLACK)
    }
}

impl Sink for LoadSink {
    type Item = Row;

    fn call_sent(&mut self) {
        self.sent_at = Instant::now();
    }

    /// Loads that were received before stay: they have an age.
    fn reset(&mut self, _items: Vec<Row>) {}

    fn apply(&mut self, items: Vec<Row>) {
        let at = self.arrival();
        let mut state = self.state.lock();
        for row in items {
            state.apply(&row, at);
        }
    }

    fn confirmed(&mut self, _at: Instant) {
        self.state.lock().confirmed_at = Some(self.arrival());
    }
}

impl State {
    fn apply(&mut self, row: &Row, at: Instant) {
        let pool = &row.place.partition;
        if row.place != row::pool_load(pool) {
            return;
        }
        let Some(value) = &row.value else {
            self.loads.remove(pool);
            self.unusable.remove(pool);
            return;
        };
        match usable(value) {
            Ok(load) => {
                let received = Received {
                    load: Arc::new(load),
                    version: row.version,
                    at,
                };
                self.loads.insert(Name::clone(pool), received);
                if self.unusable.remove(pool) {
                    info!(pool = &**pool; "published load of the pool is used again");
                }
            }
            // The load that was received before grows old, after which it decides no more.
            Err(error) => {
                if self.unusable.insert(Name::clone(pool)) {
                    warn!(pool = &**pool, error:% = error; "ignoring published load of the pool");
                }
            }
        }
    }
}

/// The load in a row, if this version understands it.
fn usable(value: &[u8]) -> Result<PoolLoad, String> {
    let load: PoolLoad = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if load.format == PoolLoad::FORMAT {
        Ok(load)
    } else {
        Err(format!("format {}", load.format))
    }
}
