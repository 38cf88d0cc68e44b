//! One entry's way to the site.

use super::{Conduct, Reach, Shared, State, journal::Event};
use async_trait::async_trait;
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Range, Row, Rows, Txn, Version},
    site::{Condition, Holder, Instance, Instruction, Ordered, Registration, Site},
    worker::{Answer, Hold, Refusal, Seen, Start, Target, Workers},
};
use rand::RngExt;
use std::{fmt, future::pending, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until, timeout};

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

    fn conduct(&self) -> Conduct {
        let state = self.shared.state.lock();
        state.conduct.get(&self.name).copied().unwrap_or_default()
    }

    /// Waits while the process stands still; forever where it is gone.
    async fn alive(&self) {
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
    async fn travel(&self) {
        let conduct = self.conduct();
        sleep((self.shared.options.latency + conduct.delay) / 2).await;
    }

    /// The way to the store.
    async fn to_store(&self) -> Result<(), Error> {
        self.alive().await;
        self.travel().await;
        match self.conduct().store {
            Reach::Fine => Ok(()),
            Reach::Refused => Err(Error::Unavailable("503".into())),
            Reach::Silent => {
                sleep(STORE_TIMEOUT).await;
                Err(Error::Unavailable("no answer".into()))
            }
        }
    }

    async fn back(&self) {
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

    fn order_fate(&self) -> Fate {
        if self.chance(self.conduct().late_orders) {
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
    async fn to_worker(&self, target: &Target) -> Result<(), Error> {
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

    /// Carries out an order, at once or late.
    async fn order(
        &self,
        target: &Target,
        order: impl FnOnce(&mut State, u64) -> Answer + Send + 'static,
    ) -> Result<Answer, Error> {
        self.to_worker(target).await?;
        match self.order_fate() {
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
    async fn wait_for<T>(
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
        self.to_store().await.map_err(|error| {
            // Silence proves nothing about a call that changes something.
            if self.conduct().store == Reach::Silent {
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
        self.to_store().await?;
        let page = self.shared.state.lock().store.read(&range);
        self.back().await;
        Ok(page)
    }

    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.to_store().await?;
        let news = self.wait_for(wait, |state| state.store.feed(table, after));
        let news = news.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
        });
        self.back().await;
        Ok(news)
    }
}

#[async_trait]
impl Workers for Caller {
    async fn start(&self, target: &Target, start: &Start) -> Result<Answer, Error> {
        let start = start.clone();
        let id = Name::clone(&target.id);
        let order = move |state: &mut State, now| {
            let State {
                workers, journal, ..
            } = state;
            match workers.get_mut(&id) {
                Some(worker) if worker.alive => worker.start(&start, now, journal),
                _ => Answer::Gone,
            }
        };
        self.order(target, order).await
    }

    async fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        token: u64,
    ) -> Result<Answer, Error> {
        let id = Name::clone(&target.id);
        let task = task.clone();
        let order = move |state: &mut State, now| match state.workers.get_mut(&id) {
            Some(worker) if worker.alive => worker.stop(&task, run, token, now),
            _ => Answer::Gone,
        };
        self.order(target, order).await
    }

    async fn hold(&self, target: &Target, hold: Hold) -> Result<Seen, Error> {
        self.to_worker(target).await?;
        let id = Name::clone(&target.id);
        let longest = self.shared.options.longest_lease.as_millis();
        let longest = u64::try_from(longest).unwrap_or(u64::MAX);
        let renewed = self.shared.change(|state, now| {
            let State {
                workers, journal, ..
            } = state;
            let worker = workers.get_mut(&id)?;
            Some(worker.renew(&hold, longest, now, journal))
        });
        match renewed {
            None => return Ok(Seen::Gone),
            Some(false) => return Ok(Seen::Refused(Refusal::Fenced)),
            Some(true) => {}
        }
        let until = Instant::now() + hold.wait;
        loop {
            let (news, next) = self.shared.change(|state, _now| {
                let worker = &state.workers[&id];
                (worker.has_news() || !worker.alive, worker.next_end())
            });
            if news || Instant::now() >= until {
                break;
            }
            let next = next.map(|at| self.shared.start + Duration::from_millis(at));
            let wake = next.unwrap_or(until).min(until);
            // A change may bring an end forward, such as a stop.
            let pace = Instant::now() + Duration::from_millis(50);
            sleep_until(
                wake.min(pace)
                    .max(Instant::now() + Duration::from_millis(1)),
            )
            .await;
        }
        let (look, alive) = self.shared.change(|state, now| {
            let worker = &state.workers[&id];
            (worker.look(now), worker.alive && !worker.cut)
        });
        if !alive {
            sleep(ORDER_TIMEOUT).await;
            return Err(Error::Unknown("no answer".into()));
        }
        self.back().await;
        Ok(Seen::Look(look))
    }

    async fn pace(
        &self,
        target: &Target,
        _task: &TaskId,
        _run: u32,
        _percent: u32,
        _token: u64,
    ) -> Result<Answer, Error> {
        self.order(target, |_state, _now| Answer::Done).await
    }
}

#[async_trait]
impl Site for Caller {
    async fn workers(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.to_store().await?;
        let (all, version) = {
            let state = self.shared.state.lock();
            let mut all = std::collections::BTreeMap::new();
            for (_version, change) in &state.registrations {
                all.insert(Name::clone(&change.id), change.clone());
            }
            (all, state.store.version())
        };
        self.back().await;
        Ok((all.into_values().collect(), version))
    }

    async fn worker_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error> {
        self.to_store().await?;
        let news = self.wait_for(wait, |state| since(state, &state.registrations, after));
        let news = news.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
        });
        self.back().await;
        Ok(news)
    }

    async fn instructions(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.to_store().await?;
        let (all, version) = {
            let state = self.shared.state.lock();
            let all = state.instructions.iter();
            let all: Vec<Instruction> = all.map(|(_version, item)| item.clone()).collect();
            (all, state.store.version())
        };
        self.back().await;
        Ok((all, version))
    }

    async fn instruction_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error> {
        self.to_store().await?;
        let news = self.wait_for(wait, |state| since(state, &state.instructions, after));
        let news = news.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
        });
        self.back().await;
        Ok(news)
    }

    async fn report_wave(&self, number: u64, complete: bool) -> Result<(), Error> {
        self.to_store().await?;
        self.shared.change(|state, _now| {
            let known = state.waves.entry(number).or_default();
            *known |= complete;
        });
        self.back().await;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.alive().await;
        self.travel().await;
        let all = self
            .shared
            .state
            .lock()
            .instances
            .values()
            .cloned()
            .collect();
        self.back().await;
        Ok(all)
    }

    async fn maintain(
        &self,
        instance: &Name,
        _wave: u64,
        holder: &Holder,
    ) -> Result<Ordered, Error> {
        self.alive().await;
        self.travel().await;
        let pool = self.shared.change(|state, _now| {
            let known = state.instances.get(instance)?;
            (known.condition == Condition::Up).then(|| Name::clone(&known.pool))
        });
        let Some(pool) = pool else {
            return Ok(Ordered::Busy);
        };
        self.take_down(instance, pool, Condition::Maintenance, holder);
        self.back().await;
        Ok(Ordered::Taken)
    }

    async fn relocate(
        &self,
        instance: &Name,
        pool: &Name,
        holder: &Holder,
    ) -> Result<Ordered, Error> {
        self.alive().await;
        self.travel().await;
        let up = self.shared.change(|state, _now| {
            let known = state.instances.get(instance);
            known.is_some_and(|known| known.condition == Condition::Up)
        });
        if !up {
            return Ok(Ordered::Busy);
        }
        self.take_down(instance, Name::clone(pool), Condition::Moving, holder);
        self.back().await;
        Ok(Ordered::Taken)
    }
}

impl Caller {
    /// Ends an instance's life, and begins the next one in `pool` a while later.
    fn take_down(&self, instance: &Name, pool: Name, meanwhile: Condition, holder: &Holder) {
        self.shared.change(|state, now| {
            state.journal.add(Event::Maintained {
                at: now,
                instance: Name::clone(instance),
                entry: Name::clone(&holder.entry),
                token: holder.token,
            });
            let worker = state.instances[instance].worker.clone();
            if let Some(worker) = worker {
                state.kill(&worker, now);
                state.unregister(&worker);
            }
            if let Some(known) = state.instances.get_mut(instance) {
                known.pool = pool;
                known.condition = meanwhile;
            }
        });
        let shared = Arc::clone(&self.shared);
        let instance = Name::clone(instance);
        tokio::spawn(async move {
            sleep(shared.options.maintenance).await;
            shared.change(|state, now| state.revive(&instance, now));
        });
    }
}

/// Changes after a version; none yet if there are none.
fn since<T: Clone>(state: &State, all: &[(Version, T)], after: Version) -> Option<Feed<T>> {
    if after < state.store.floor() {
        return Some(Feed::Lost);
    }
    let newer = all.iter().filter(|(version, _item)| *version > after);
    let items: Vec<T> = newer.map(|(_version, item)| item.clone()).collect();
    let next = state.store.version();
    (!items.is_empty()).then_some(Feed::Changes { items, next })
}
