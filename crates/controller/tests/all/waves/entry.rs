//! A simulated entry: a view polled from the table, requests in flight, and reports.

use parking_lot::Mutex;
use primroseroute_domain::{id, instance::State};
use primroseroute_fleet::check::View;
use primroseroute_ledger::Ledger;
use primroseroute_peer::report::{Drain, Identity, Report};
use primroseroute_standin::platform::Platform;
use primroseroute_view::{SnapshotCell, poll};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

/// Interval at which it polls, sends requests and reports.
const TICK: Duration = Duration::from_secs(1);

/// Longest duration of a request, in ticks.
const MAX_REQUEST_TICKS: u64 = 6;

/// One request in flight.
#[derive(Clone, Debug)]
struct Request {
    instance: id::Instance,
    pool: id::Pool,
    until: Instant,
}

#[derive(Debug)]
struct Inner {
    random: ChaCha8Rng,
    requests: Vec<Request>,
    report: Report,
    log: Vec<(Instant, View)>,
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    pub name: id::Entry,
    pub cell: Arc<SnapshotCell>,
    ledger: Ledger,
    /// Whether it is partitioned from the store and its peers; it keeps sending by its old view.
    pub partitioned: AtomicBool,
    inner: Mutex<Inner>,
}

impl Entry {
    pub fn open(name: &str, platform: &Platform, seed: u64) -> Arc<Self> {
        let entry: id::Entry = name.parse().expect("a name");
        let identity = Identity {
            entry: entry.clone(),
            incarnation: Uuid::from_u128(u128::from(seed)),
        };
        Arc::new(Self {
            name: entry,
            cell: Arc::default(),
            ledger: Ledger::open(Arc::new(platform.client(name))),
            partitioned: AtomicBool::new(false),
            inner: Mutex::new(Inner {
                random: ChaCha8Rng::seed_from_u64(seed),
                requests: Vec::new(),
                report: Report::new(identity),
                log: Vec::new(),
            }),
        })
    }

    pub async fn run(self: Arc<Self>) {
        loop {
            if !self.partitioned.load(Ordering::SeqCst) {
                // The view is unchanged during an outage; the next tick polls again.
                let _polled = timeout(TICK, poll(&self.ledger, &self.cell)).await;
            }
            self.tick();
            sleep(TICK).await;
        }
    }

    /// Its last report that has reached a peer.
    pub fn report(&self) -> Report {
        self.inner.lock().report.clone()
    }

    /// Where it sent requests and what it had in flight, at each tick.
    pub fn log(&self) -> Vec<(Instant, View)> {
        self.inner.lock().log.clone()
    }

    fn tick(&self) {
        let now = Instant::now();
        let snapshot = self.cell.current();
        let mut inner = self.inner.lock();
        inner.requests.retain(|request| request.until > now);
        let mut sends = BTreeMap::new();
        for row in snapshot.instances().values().map(|row| &row.value) {
            if let (State::Serving, Some(pool)) = (row.state, &row.pool) {
                sends.insert(row.id.clone(), pool.clone());
            }
        }
        let chosen = (inner.random.next_u64() % 7).min(sends.len() as u64);
        for _ in 0..chosen {
            let at = inner.random.random_range(0..sends.len());
            let ticks = inner.random.random_range(1..=MAX_REQUEST_TICKS);
            let (instance, pool) = sends.iter().nth(at).expect("the index is in range");
            let until = now + TICK.mul_f64(ticks as f64 / 2.0);
            let request = Request {
                instance: instance.clone(),
                pool: pool.clone(),
                until,
            };
            inner.requests.push(request);
        }
        let in_flight: BTreeMap<_, _> = inner
            .requests
            .iter()
            .map(|request| (request.instance.clone(), request.pool.clone()))
            .collect();
        inner.log.push((now, View { sends, in_flight }));
        if !self.partitioned.load(Ordering::SeqCst) {
            let requests = inner.requests.clone();
            let count = |id: &id::Instance| {
                let of_it = requests.iter().filter(|request| request.instance == *id);
                u32::try_from(of_it.count()).unwrap_or(u32::MAX)
            };
            let report = &mut inner.report;
            report.number += 1;
            report.seq = snapshot.seq();
            report.drains = snapshot
                .instances()
                .iter()
                .filter(|(_, row)| row.value.state != State::Serving)
                .map(|(id, row)| {
                    (
                        id.clone(),
                        Drain {
                            seq: row.version,
                            in_flight: count(id),
                        },
                    )
                })
                .collect();
        }
    }
}
