//! The platform's store: rows with versions, transactions under conditions, and a feed of changes.

use crate::{
    http::{Reply, Request, Server},
    json::{Json, base64, object},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

const READ_TIME: Duration = Duration::from_millis(4);
const TXN_TIME: Duration = Duration::from_millis(8);
const HISTORY: Duration = Duration::from_secs(20);
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;
const ROW_BYTES: usize = 65_536;

/// Table, partition and key.
type Place = (String, String, String);

/// A change; `None` for a deleted row.
struct Change {
    version: u64,
    place: Place,
    value: Option<String>,
    at: Instant,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Place, (String, u64)>,
    history: VecDeque<Change>,
    /// Versions up to this one are not in the history any more.
    forgotten: u64,
}

impl State {
    fn write(&mut self, puts: Vec<(Place, String)>, removed: Vec<Place>) -> u64 {
        self.version += 1;
        let (version, at) = (self.version, Instant::now());
        for (place, value) in puts {
            self.rows.insert(place.clone(), (value.clone(), version));
            self.history.push_back(Change {
                version,
                place,
                value: Some(value),
                at,
            });
        }
        for place in removed {
            if self.rows.remove(&place).is_some() {
                self.history.push_back(Change {
                    version,
                    place,
                    value: None,
                    at,
                });
            }
        }
        while let Some(oldest) = self.history.front() {
            if at.duration_since(oldest.at) < HISTORY {
                break;
            }
            self.forgotten = oldest.version;
            self.history.pop_front();
        }
        version
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub server: Server,
}

fn place(entry: &Json) -> Place {
    (
        entry.text("Table").to_owned(),
        entry.text("part").to_owned(),
        entry.text("Key").to_owned(),
    )
}

fn row(place: &Place, value: Option<&str>, version: u64) -> Json {
    let mut fields = BTreeMap::from([
        ("Table".to_owned(), Json::from(place.0.as_str())),
        ("part".to_owned(), Json::from(place.1.as_str())),
        ("Key".to_owned(), Json::from(place.2.as_str())),
        ("Ver".to_owned(), Json::from(version)),
    ]);
    match value {
        Some(value) => fields.insert("Value".to_owned(), Json::from(value)),
        None => fields.insert("Deleted".to_owned(), Json::from(true)),
    };
    Json::Object(fields)
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let served = Arc::clone(&shared);
        let server = Server::start(ip, move |request| answer(&served, request))?;
        Ok(Self { shared, server })
    }

    /// Writes a row as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value.to_string().as_bytes());
        let mut state = self.shared.state.lock().unwrap();
        state.write(vec![(place, value)], Vec::new());
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.shared.state.lock().unwrap();
        state.write(Vec::new(), vec![place]);
        self.shared.changed.notify_all();
    }

    /// A row's value, still in base64.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let place = (table.to_owned(), part.to_owned(), key.to_owned());
        let state = self.shared.state.lock().unwrap();
        state
            .rows
            .get(&place)
            .map(|(value, _version)| value.clone())
    }
}

fn answer(shared: &Shared, request: &Request) -> Reply {
    let path = request.path.split('?').next().unwrap_or("");
    match (request.method.as_str(), path) {
        ("POST", "/rows-tx") => {
            sleep(TXN_TIME);
            transaction(shared, &request.body)
        }
        ("GET", "/rows-get") => {
            sleep(READ_TIME);
            read(shared, request)
        }
        ("GET", "/rows-feed") => {
            sleep(READ_TIME);
            feed(shared, request)
        }
        _ => Reply::Answer(404, "{}".to_owned()),
    }
}

fn now_ms(shared: &Shared) -> Json {
    Json::from(shared.began.elapsed().as_millis() as u64)
}

fn transaction(shared: &Shared, body: &str) -> Reply {
    let Some(txn) = Json::parse(body) else {
        return Reply::Answer(400, "{}".to_owned());
    };
    let conditions = txn.list("ExpectedRev");
    let (puts, removed) = (txn.list("Puts"), txn.list("Remove"));
    if conditions.len() + puts.len() + removed.len() > MAX_ENTRIES {
        return Reply::Answer(400, "{\"Error\":\"too many entries\"}".to_owned());
    }
    // A value is base64 of at most so many bytes.
    let too_long = |put: &Json| put.text("Value").len() / 4 * 3 > ROW_BYTES + 2;
    if puts.iter().any(too_long) {
        return Reply::Answer(400, "{\"Error\":\"value too long\"}".to_owned());
    }
    let entries = conditions.iter().chain(puts).chain(removed);
    let parts: std::collections::BTreeSet<&str> = entries.map(|entry| entry.text("part")).collect();
    if parts.len() > 1 {
        return Reply::Answer(400, "{\"Error\":\"several parts\"}".to_owned());
    }
    let reserved = |entry: &&Json| matches!(entry.text("Table"), "op" | "servers");
    if puts.iter().chain(removed).any(|entry| reserved(&entry)) {
        return Reply::Answer(403, "{}".to_owned());
    }
    let mut state = shared.state.lock().unwrap();
    let holds = conditions.iter().all(|condition| {
        let known = state.rows.get(&place(condition));
        known.map_or(0, |(_value, version)| *version) == condition.number("Ver").unwrap_or(0)
    });
    if !holds {
        let rows = conditions.iter().filter_map(|condition| {
            let place = place(condition);
            let (value, version) = state.rows.get(&place)?;
            Some(row(&place, Some(value), *version))
        });
        let rows: Vec<Json> = rows.collect();
        let body = object([
            ("rows", rows.into()),
            ("Ver", state.version.into()),
            ("NowMs", now_ms(shared)),
        ]);
        return Reply::Answer(412, body.to_string());
    }
    let puts = puts
        .iter()
        .map(|put| (place(put), put.text("Value").to_owned()));
    let version = state.write(puts.collect(), removed.iter().map(place).collect());
    shared.changed.notify_all();
    let body = object([("Ver", version.into()), ("NowMs", now_ms(shared))]);
    Reply::Answer(200, body.to_string())
}

fn read(shared: &Shared, request: &Request) -> Reply {
    let (table, part) = (request.query("Table"), request.query("part"));
    let (from, to) = (request.query("From"), request.query("To"));
    let state = shared.state.lock().unwrap();
    let first = (table.clone(), part.clone(), from);
    let found = state
        .rows
        .range(first..)
        .take_while(|(place, _row)| place.0 == table && place.1 == part)
        .filter(|(place, _row)| to.is_empty() || place.2 < to);
    let mut rows: Vec<Json> = found
        .take(MAX_ROWS + 1)
        .map(|(place, (value, version))| row(place, Some(value), *version))
        .collect();
    let truncated = rows.len() > MAX_ROWS;
    rows.truncate(MAX_ROWS);
    let body = object([
        ("rows", rows.into()),
        ("Truncated", truncated.into()),
        ("Ver", state.version.into()),
        ("NowMs", now_ms(shared)),
    ]);
    Reply::Answer(200, body.to_string())
}

fn feed(shared: &Shared, request: &Request) -> Reply {
    let table = request.query("Table");
    let after: u64 = request.query("After").parse().unwrap_or(0);
    let wait_ms: u64 = request.query("WaitMs").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut state = shared.state.lock().unwrap();
    loop {
        if after < state.forgotten {
            return Reply::Answer(410, "{}".to_owned());
        }
        let changes = state.history.iter();
        let changes = changes.filter(|change| change.version > after && change.place.0 == table);
        let changes: Vec<&Change> = changes.take(MAX_ROWS).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if changes.is_empty() && !left.is_zero() {
            state = shared.changed.wait_timeout(state, left).unwrap().0;
            continue;
        }
        let is_full = changes.len() == MAX_ROWS;
        let last = changes.last().map_or(after, |change| change.version);
        let rows = changes
            .iter()
            .map(|change| row(&change.place, change.value.as_deref(), change.version));
        let rows: Vec<Json> = rows.collect();
        let version = if is_full { last } else { state.version };
        let body = object([
            ("rows", rows.into()),
            ("Truncated", is_full.into()),
            ("Ver", version.into()),
            ("NowMs", now_ms(shared)),
        ]);
        return Reply::Answer(200, body.to_string());
    }
}
