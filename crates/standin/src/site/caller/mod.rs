//! One entry's client of the site: the faults of its calls, and its calls to the store.

mod site;
mod workers;

use super::{CallerFaults, Reach, Shared, State};
use async_trait::async_trait;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Place, Range, Row, Rows, Txn, Version},
    worker::{Answer, Target},
};
use rand::RngExt;
use std::{fmt, future::pending, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Table of owners and heartbeats.
const CONTROL: &str = "control";

/// Prefix of the names of the tables of accepted jobs.
const JOBS_PREFIX: &str = "jobs-";

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of an order to a worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a call of a suspended process checks whether the process was resumed.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One entry's client of the site; clones belong to the same entry.
#[derive(Clone)]
pub struct Caller {
    name: Name,
    shared: Arc<Shared>,
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Caller")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// How an order or a commit is delivered.
enum Delivery {
    Responded,
    ResponseLost,
    Late(Duration),
}

impl Caller {
    pub(crate) fn new(name: Name, shared: Arc<Shared>) -> Self {
        Self { name, shared }
    }

    /// The name to pass to [`super::World::update_faults`].
    pub fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn faults(&self) -> CallerFaults {
        let state = self.shared.state.lock();
        state.faults.get(&self.name).copied().unwrap_or_default()
    }

    /// Waits while the process is suspended; forever if it has terminated.
    pub(super) async fn wait_until_running(&self) {
        loop {
            let faults = self.faults();
            if faults.dead {
                pending::<()>().await;
            }
            if !faults.frozen {
                return;
            }
            sleep(RESUME_POLL_INTERVAL).await;
        }
    }

    /// Waits for half of a call's round-trip latency.
    pub(super) async fn wait_half_latency(&self) {
        let faults = self.faults();
        sleep((self.shared.options.latency + faults.delay) / 2).await;
    }

    /// Sends a request to the store.
    pub(super) async fn send_to_store(&self) -> Result<(), Error> {
        self.send(|faults| faults.store).await
    }

    /// Checks the store's rate limit for reads.
    pub(super) fn admit_read(&self) -> Result<(), Error> {
        self.shared.state.lock().reads.admit()
    }

    /// Sends a read to a table of the store.
    async fn send_to_table(&self, table: &str) -> Result<(), Error> {
        self.send(|faults| match faults.store {
            Reach::Fine if table == CONTROL => faults.control,
            Reach::Fine if table.starts_with(JOBS_PREFIX) => faults.jobs,
            store => store,
        })
        .await?;
        self.admit_read()
    }

    /// Sends a request to a table's feed.
    async fn send_to_feed(&self, table: &str) -> Result<(), Error> {
        if self.faults().feeds == Reach::Fine {
            self.send_to_table(table).await
        } else {
            self.send(|faults| faults.feeds).await?;
            self.admit_read()
        }
    }

    /// Sends a request that is subject to one kind of fault.
    pub(super) async fn send(&self, reach: impl Fn(&CallerFaults) -> Reach) -> Result<(), Error> {
        self.wait_until_running().await;
        self.wait_half_latency().await;
        match reach(&self.faults()) {
            Reach::Fine => Ok(()),
            Reach::Refused => Err(Error::Unavailable("503".into())),
            Reach::Throttled => Err(Error::Throttled),
            Reach::Silent => {
                sleep(STORE_TIMEOUT).await;
                Err(Error::Unavailable("no answer".into()))
            }
        }
    }

    /// Receives the response.
    pub(super) async fn receive(&self) {
        self.wait_half_latency().await;
        self.wait_until_running().await;
    }

    /// Counts a call to a table that carries `rows`.
    fn record_traffic<'a>(&self, table: &str, rows: impl Iterator<Item = (&'a Place, usize)>) {
        let sizes = rows.map(|(place, value)| place.partition.len() + place.key.len() + value);
        let key = (Name::clone(&self.name), table.into());
        let mut state = self.shared.state.lock();
        state.traffic.entry(key).or_default().add_call(sizes);
    }

    fn record_read(&self, table: &str, rows: &[Row]) {
        let sizes = rows.iter();
        let sizes = sizes.map(|row| (&row.place, row.value.as_ref().map_or(0, bytes::Bytes::len)));
        self.record_traffic(table, sizes);
    }

    fn record_commit(&self, txn: &Txn) {
        let places = txn.puts.iter().map(|(place, _value)| place);
        let table = places.chain(&txn.deletes).next();
        let table = table.map_or("", |place| &*place.table);
        let puts = txn.puts.iter().map(|(place, value)| (place, value.len()));
        let deletes = txn.deletes.iter().map(|place| (place, 0));
        self.record_traffic(table, puts.chain(deletes));
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.shared.state.lock().rng.random_bool(share)
    }

    fn draw_commit_delivery(&self) -> Delivery {
        let faults = self.faults();
        if self.draw(faults.lost_commits) {
            Delivery::ResponseLost
        } else if self.draw(faults.late_commits) {
            Delivery::Late(self.random_duration(1_000, 6_000))
        } else {
            Delivery::Responded
        }
    }

    fn draw_order_delivery(&self, late: f64) -> Delivery {
        if self.draw(late) {
            Delivery::Late(self.random_duration(2_000, 12_000))
        } else {
            Delivery::Responded
        }
    }

    fn random_duration(&self, from: u64, to: u64) -> Duration {
        let millis = self.shared.state.lock().rng.random_range(from..to);
        Duration::from_millis(millis)
    }

    /// Sends a request to a worker; an error if nothing under its id can respond.
    pub(super) async fn send_to_worker(&self, target: &Target) -> Result<(), Error> {
        self.wait_until_running().await;
        self.wait_half_latency().await;
        let reach = self.faults().workers;
        let found = {
            let state = self.shared.state.lock();
            let worker = state.workers.get(&target.id);
            worker.is_some_and(|worker| worker.alive && !worker.partitioned)
        };
        if reach == Reach::Refused {
            return Err(Error::Unavailable("no connection".into()));
        }
        if reach == Reach::Silent || !found {
            sleep(ORDER_TIMEOUT).await;
            return Err(Error::Unknown("no answer".into()));
        }
        Ok(())
    }

    /// Executes an order, at once or late; `late` gives the share of late orders.
    pub(super) async fn order(
        &self,
        target: &Target,
        late: impl FnOnce(&CallerFaults) -> f64,
        order: impl FnOnce(&mut State, u64) -> Answer + Send + 'static,
    ) -> Result<Answer, Error> {
        sleep(self.faults().order_delay).await;
        self.send_to_worker(target).await?;
        match self.draw_order_delivery(late(&self.faults())) {
            Delivery::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    sleep(after).await;
                    shared.change(order);
                });
                sleep(ORDER_TIMEOUT).await;
                Err(Error::Unknown("no answer".into()))
            }
            Delivery::Responded | Delivery::ResponseLost => {
                let answer = self.shared.change(order);
                if !self.shared.state.lock().can_respond(&target.id) {
                    sleep(ORDER_TIMEOUT).await;
                    return Err(Error::Unknown("no answer".into()));
                }
                self.receive().await;
                Ok(answer)
            }
        }
    }

    /// Waits until `ready` returns a value, at most for `wait`.
    pub(super) async fn wait_for<T>(
        &self,
        wait: Duration,
        ready: impl Fn(&State) -> Option<T> + Send,
    ) -> Option<T>
    where
        T: Send,
    {
        let until = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            if let Some(found) = ready(&self.shared.state.lock()) {
                return Some(found);
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || timeout(remaining, changed).await.is_err() {
                return ready(&self.shared.state.lock());
            }
        }
    }
}

#[async_trait]
impl Rows for Caller {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let reach = |faults: &CallerFaults| {
            let mut places = txn.conditions.iter().map(|(place, _version)| place);
            let mut puts = txn.puts.iter().map(|(place, _value)| place);
            let of_control = |place: &Place| &*place.table == CONTROL;
            let control = places.any(of_control) || puts.any(of_control);
            let reaches = [
                faults.store,
                faults.commits,
                if control { faults.control } else { Reach::Fine },
            ];
            let first_fault = reaches.into_iter().find(|reach| *reach != Reach::Fine);
            first_fault.unwrap_or_default()
        };
        self.send(reach).await.map_err(|error| {
            // Without a response, the outcome of a mutating call is unknown.
            if reach(&self.faults()) == Reach::Silent {
                Error::Unknown("no answer".into())
            } else {
                error
            }
        })?;
        self.shared.state.lock().store.validate(&txn)?;
        self.record_commit(&txn);
        match self.draw_commit_delivery() {
            Delivery::Responded => {
                let result = self.shared.change(|state, _now| state.store.commit(&txn));
                self.receive().await;
                Ok(result)
            }
            Delivery::ResponseLost => {
                self.shared.change(|state, _now| state.store.commit(&txn));
                sleep(STORE_TIMEOUT).await;
                self.wait_until_running().await;
                Err(Error::Unknown("no answer".into()))
            }
            Delivery::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    sleep(after).await;
                    shared.change(|state, _now| state.store.commit(&txn));
                });
                sleep(STORE_TIMEOUT).await;
                self.wait_until_running().await;
                Err(Error::Unknown("no answer".into()))
            }
        }
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        if range.table.starts_with(JOBS_PREFIX) && self.faults().job_reads != Reach::Fine {
            self.send(|faults| faults.job_reads).await?;
        }
        self.send_to_table(&range.table).await?;
        let page = self.shared.state.lock().store.read(&range);
        self.record_read(&range.table, &page.rows);
        sleep(self.faults().read_delay).await;
        self.receive().await;
        Ok(page)
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.send_to_feed(table).await?;
        let changes = self.wait_for(wait, |state| state.store.feed(table, after));
        let changes = changes.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
            complete: true,
        });
        if let Feed::Changes { items, .. } = &changes {
            self.record_read(table, items);
        }
        self.receive().await;
        Ok(changes)
    }
}
