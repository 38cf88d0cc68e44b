//! The platform's store: rows in tables, transactions, reads and feeds.

use crate::{
    http::{Handler, Reply, Request},
    json::{Json, map, n, s},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

type Place = (String, String, String);

/// Time that each answer takes, and what a transaction takes besides.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(8);
const HISTORY: Duration = Duration::from_secs(20);
const MAX_ROWS: usize = 500;
const MAX_BYTES: usize = 1_000_000;

struct Change {
    version: u64,
    place: Place,
    value: Option<String>,
    at: Instant,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Place, (String, u64)>,
    history: VecDeque<Change>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
}

/// What becomes of a write call.
pub enum Fate {
    Answered,
    /// It is done after this time, and not answered.
    Lost(Duration),
}

type Fates = dyn Fn(&BTreeSet<Place>) -> Fate + Send + Sync;

pub struct Store {
    begin: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Connections with lower numbers deliver nothing any more.
    silent_below: AtomicU64,
    newest_connection: AtomicU64,
    fates: Box<Fates>,
}

fn place_of(entry: &Json) -> Place {
    let text = |key| entry.get(key).str().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row(place: &Place, value: Option<&str>, version: u64) -> Json {
    let mut fields = vec![
        ("Table", s(&place.0)),
        ("part", s(&place.1)),
        ("Key", s(&place.2)),
        ("Ver", n(version)),
    ];
    match value {
        Some(value) => fields.push(("Value", s(value))),
        None => fields.push(("Deleted", Json::Bool(true))),
    }
    let fields = fields.into_iter();
    Json::Map(fields.map(|(key, value)| (key.to_owned(), value)).collect())
}

impl Store {
    pub fn new(fates: Box<Fates>) -> Arc<Self> {
        Arc::new(Self {
            begin: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            silent_below: AtomicU64::new(0),
            newest_connection: AtomicU64::new(0),
            fates,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no holder panics")
    }

    /// All connections that are open go silent; new ones work. Returns the number of the newest.
    pub fn silence_connections(&self) -> u64 {
        let newest = self.newest_connection.load(Ordering::SeqCst);
        self.silent_below.store(newest + 1, Ordering::SeqCst);
        newest
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
    }

    /// Writes or removes one row, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64(value.text().as_bytes()));
        let mut rows = self.lock();
        apply(&mut rows, vec![(place, value)]);
        drop(rows);
        self.changed.notify_all();
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut rows = self.lock();
        let expected = body.get("ExpectedRev").list();
        let current = |place: &Place| rows.rows.get(place).map_or(0, |(_value, version)| *version);
        let holds = expected
            .iter()
            .all(|entry| current(&place_of(entry)) == entry.get("Ver").num());
        if !holds {
            let known = expected.iter().filter_map(|entry| {
                let place = place_of(entry);
                let (value, version) = rows.rows.get(&place)?;
                Some(row(&place, Some(value), *version))
            });
            let known = Json::List(known.collect());
            return (412, map([("rows", known), ("Ver", n(rows.version))]));
        }
        let puts = body.get("Puts").list().iter();
        let mut changes: Vec<(Place, Option<String>)> = puts
            .map(|entry| (place_of(entry), Some(entry.get("Value").str().to_owned())))
            .collect();
        let removed = body.get("Remove").list().iter();
        changes.extend(removed.map(|entry| (place_of(entry), None)));
        apply(&mut rows, changes);
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        (200, map([("Ver", n(version)), ("NowMs", n(self.now_ms()))]))
    }

    fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    fn check(body: &Json) -> bool {
        let lists = ["ExpectedRev", "Puts", "Remove"];
        let entries = lists.iter().flat_map(|key| body.get(key).list());
        let entries: Vec<&Json> = entries.collect();
        let parts: BTreeSet<&str> = entries
            .iter()
            .map(|entry| entry.get("part").str())
            .collect();
        let is_short = |entry: &&Json| entry.get("Value").str().len() <= 65_536 * 4 / 3 + 4;
        entries.len() <= 100 && parts.len() <= 1 && entries.iter().all(is_short)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, Json) {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let (table, part) = (text("Table"), text("part"));
        let from = (table.clone(), part.clone(), text("From"));
        let to = query.get("To");
        let limit = query.get("Limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.lock();
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (place, (value, version)) in rows.rows.range((Bound::Included(from), Bound::Unbounded))
        {
            let is_over = to.is_some_and(|to| place.2 >= *to);
            if place.0 != table || place.1 != part || is_over {
                break;
            }
            bytes += value.len() + place.2.len();
            if found.len() >= limit || bytes > MAX_BYTES {
                truncated = true;
                break;
            }
            found.push(row(place, Some(value), *version));
        }
        let body = map([
            ("rows", Json::List(found)),
            ("Truncated", Json::Bool(truncated)),
            ("Ver", n(rows.version)),
            ("NowMs", n(self.now_ms())),
        ]);
        (200, body)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, Json) {
        let number = |key: &str| query.get(key).and_then(|text| text.parse::<u64>().ok());
        let after = number("After").unwrap_or(0);
        let table = query.get("Table").cloned().unwrap_or_default();
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut rows = self.lock();
        loop {
            if after < rows.forgotten {
                return (410, map([("Ver", n(rows.version))]));
            }
            let newer = rows.history.iter();
            let newer = newer.filter(|change| change.version > after && change.place.0 == table);
            let newer: Vec<&Change> = newer.take(MAX_ROWS).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let full = newer.len() == MAX_ROWS;
                let last = newer.last().map_or(0, |change| change.version);
                let version = if full { last } else { rows.version };
                let found = newer
                    .iter()
                    .map(|change| row(&change.place, change.value.as_deref(), change.version));
                let body = map([
                    ("rows", Json::List(found.collect())),
                    ("Truncated", Json::Bool(full)),
                    ("Ver", n(version)),
                    ("NowMs", n(self.now_ms())),
                ]);
                return (200, body);
            }
            rows = self
                .changed
                .wait_timeout(rows, left)
                .expect("no holder panics")
                .0;
        }
    }
}

fn apply(rows: &mut Rows, changes: Vec<(Place, Option<String>)>) {
    rows.version += 1;
    let version = rows.version;
    for (place, value) in changes {
        let existed = match &value {
            Some(value) => {
                rows.rows.insert(place.clone(), (value.clone(), version));
                true
            }
            None => rows.rows.remove(&place).is_some(),
        };
        if existed {
            rows.history.push_back(Change {
                version,
                place,
                value,
                at: Instant::now(),
            });
        }
    }
    while let Some(oldest) = rows.history.front()
        && oldest.at.elapsed() > HISTORY
    {
        rows.forgotten = oldest.version;
        rows.history.pop_front();
    }
}

/// The store at its address.
pub struct Served(pub Arc<Store>);

impl Handler for Served {
    fn may_read(&self, connection: u64) -> bool {
        self.0
            .newest_connection
            .fetch_max(connection, Ordering::SeqCst);
        !self.0.is_silent(connection)
    }

    fn serve(&self, request: Request, connection: u64) -> Reply {
        let store = &self.0;
        thread::sleep(ANSWER);
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                let Some(body) = Json::parse(&request.body).filter(Store::check) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                let puts = body.get("Puts").list();
                match (store.fates)(&puts.iter().map(place_of).collect()) {
                    Fate::Answered => {
                        thread::sleep(TRANSACTION);
                        store.transact(&body)
                    }
                    Fate::Lost(after) => {
                        let store = Arc::clone(store);
                        thread::spawn(move || {
                            thread::sleep(after);
                            store.transact(&body);
                        });
                        return Reply::Silence;
                    }
                }
            }
            ("GET", "/rows-get") => store.read(&request.query),
            ("GET", "/rows-feed") => store.feed(&request.query),
            _ => (404, Json::Null),
        };
        if store.is_silent(connection) {
            return Reply::Silence;
        }
        Reply::Answer(status, body.text())
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, i| {
            word << 8 | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
