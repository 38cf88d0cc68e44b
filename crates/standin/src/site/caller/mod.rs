//! One entry's way to the site: how its calls fare, and its calls to the store.

mod site;
mod workers;

use super::{Conduct, Reach, Shared, State};
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

/// How the names of the tables of accepted jobs begin.
const JOBS: &str = "jobs-";

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of an order to a worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a call of a process that stands still looks whether it goes on.
const THAW: Duration = Duration::from_millis(10);

/// One entry's way to the site; clones are the same entry.
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

/// What becomes of an order or a commit.
enum Fate {
    Answered,
    Lost,
    Late(Duration),
}

impl Caller {
    pub(crate) fn new(name: Name, shared: Arc<Shared>) -> Self {
        Self { name, shared }
    }

    /// The name that [`super::World::conduct`] knows it by.
    pub fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn conduct(&self) -> Conduct {
        let state = self.shared.state.lock();
        state.conduct.get(&self.name).copied().unwrap_or_default()
    }

    /// Waits while the process stands still; forever where it is gone.
    pub(super) async fn alive(&self) {
        loop {
            let conduct = self.conduct();
            if conduct.dead {
                pending::<()>().await;
            }
            if !conduct.frozen {
                return;
            }
            sleep(THAW).await;
        }
    }

    /// Half of a call's time.
    pub(super) async fn travel(&self) {
        let conduct = self.conduct();
        sleep((self.shared.options.latency + conduct.delay) / 2).await;
    }

    /// The way to the store.
    pub(super) async fn to_store(&self) -> Result<(), Error> {
        self.through(|conduct| conduct.store).await
    }

    /// Whether the store takes one more read, by its rate.
    pub(super) fn admit_read(&self) -> Result<(), Error> {
        self.shared.state.lock().reads.admit()
    }

    /// The way to a table of the store.
    async fn to_table(&self, table: &str) -> Result<(), Error> {
        self.through(|conduct| match conduct.store {
            Reach::Fine if table == CONTROL => conduct.control,
            Reach::Fine if table.starts_with(JOBS) => conduct.jobs,
            store => store,
        })
        .await?;
        self.admit_read()
    }

    /// The way to a table's feed.
    async fn to_feed(&self, table: &str) -> Result<(), Error> {
        if self.conduct().feeds == Reach::Fine {
            self.to_table(table).await
        } else {
            self.through(|conduct| conduct.feeds).await?;
            self.admit_read()
        }
    }

    pub(super) async fn through(&self, way: impl Fn(&Conduct) -> Reach) -> Result<(), Error> {
        self.alive().await;
        self.travel().await;
        match way(&self.conduct()) {
            Reach::Fine => Ok(()),
            Reach::Refused => Err(Error::Unavailable("503".into())),
            Reach::Throttled => Err(Error::Throttled),
            Reach::Silent => {
                sleep(STORE_TIMEOUT).await;
                Err(Error::Unavailable("no answer".into()))
            }
        }
    }

    pub(super) async fn back(&self) {
        self.travel().await;
        self.alive().await;
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.shared.state.lock().rng.random_bool(share)
    }

    fn commit_fate(&self) -> Fate {
        let conduct = self.conduct();
        if self.chance(conduct.lost_commits) {
            Fate::Lost
        } else if self.chance(conduct.late_commits) {
            Fate::Late(self.between(1_000, 6_000))
        } else {
            Fate::Answered
        }
    }

    fn order_fate(&self, late: f64) -> Fate {
        if self.chance(late) {
            Fate::Late(self.between(2_000, 12_000))
        } else {
            Fate::Answered
        }
    }

    fn between(&self, from: u64, to: u64) -> Duration {
        let millis = self.shared.state.lock().rng.random_range(from..to);
        Duration::from_millis(millis)
    }

    /// The way to a worker; whether this life of it answers.
    pub(super) async fn to_worker(&self, target: &Target) -> Result<(), Error> {
        self.alive().await;
        self.travel().await;
        let reaches = self.conduct().workers;
        let found = {
            let state = self.shared.state.lock();
            let worker = state.workers.get(&target.id);
            worker.is_some_and(|worker| worker.alive && !worker.cut)
        };
        if reaches == Reach::Refused {
            return Err(Error::Unavailable("no connection".into()));
        }
        if reaches == Reach::Silent || !found {
            sleep(ORDER_TIMEOUT).await;
            return Err(Error::Unknown("no answer".into()));
        }
        Ok(())
    }

    /// Carries out an order, at once or late; `late` is the share of those that are late.
    pub(super) async fn order(
        &self,
        target: &Target,
        late: impl FnOnce(&Conduct) -> f64,
        order: impl FnOnce(&mut State, u64) -> Answer + Send + 'static,
    ) -> Result<Answer, Error> {
        sleep(self.conduct().orders).await;
        self.to_worker(target).await?;
        match self.order_fate(late(&self.conduct())) {
            Fate::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    sleep(after).await;
                    shared.change(order);
                });
                sleep(ORDER_TIMEOUT).await;
                Err(Error::Unknown("no answer".into()))
            }
            Fate::Answered | Fate::Lost => {
                let answer = self.shared.change(order);
                self.back().await;
                Ok(answer)
            }
        }
    }

    /// Waits until `ready` gives something, for `wait` at most.
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
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || timeout(left, changed).await.is_err() {
                return ready(&self.shared.state.lock());
            }
        }
    }
}

#[async_trait]
impl Rows for Caller {
    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let way = |conduct: &Conduct| {
            let mut places = txn.conditions.iter().map(|(place, _version)| place);
            let mut puts = txn.puts.iter().map(|(place, _value)| place);
            let of_control = |place: &Place| &*place.table == CONTROL;
            let control = places.any(of_control) || puts.any(of_control);
            let ways = [
                conduct.store,
                conduct.commits,
                if control {
                    conduct.control
                } else {
                    Reach::Fine
                },
            ];
            let closed = ways.into_iter().find(|way| *way != Reach::Fine);
            closed.unwrap_or_default()
        };
        self.through(way).await.map_err(|error| {
            // Silence proves nothing about a call that changes something.
            if way(&self.conduct()) == Reach::Silent {
                Error::Unknown("no answer".into())
            } else {
                error
            }
        })?;
        match self.commit_fate() {
            Fate::Answered => {
                let result = self.shared.change(|state, _now| state.store.commit(&txn));
                self.back().await;
                Ok(result)
            }
            Fate::Lost => {
                self.shared.change(|state, _now| state.store.commit(&txn));
                sleep(STORE_TIMEOUT).await;
                self.alive().await;
                Err(Error::Unknown("no answer".into()))
            }
            Fate::Late(after) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    sleep(after).await;
                    shared.change(|state, _now| state.store.commit(&txn));
                });
                sleep(STORE_TIMEOUT).await;
                self.alive().await;
                Err(Error::Unknown("no answer".into()))
            }
        }
    }

    async fn read(&self, range: Range) -> Result<Page, Error> {
        if range.table.starts_with(JOBS) && self.conduct().job_reads != Reach::Fine {
            self.through(|conduct| conduct.job_reads).await?;
        }
        self.to_table(&range.table).await?;
        let page = self.shared.state.lock().store.read(&range);
        sleep(self.conduct().reads).await;
        self.back().await;
        Ok(page)
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.to_feed(table).await?;
        let news = self.wait_for(wait, |state| state.store.feed(table, after));
        let news = news.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
            complete: true,
        });
        self.back().await;
        Ok(news)
    }
}
