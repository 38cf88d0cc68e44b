//! The loop of one owned pool: takes in what happens, decides, commits, and sends orders.

use crate::{
    ask::ask,
    cancels::{Cancels, Read},
    commit::{Lane, Lost, Notes},
    digest::Digest,
    emptying::Status,
    event::Event,
    follow::{Rhythm, follow},
    forget::forget,
    jobs,
    load::Loaded,
    own::{Context, Over, release},
    published,
    reach::Reach,
    send::Times,
    tell, upkeep,
    watch::{Followed, Workers as Registered},
};
use log::{info, warn};
use primroseroute_cell::{Cell, Millis, Order, Outcome, RoundOutput};
use primroseroute_domain::work::{End, Name};
use primroseroute_platform::{rows::Version, site::Configuration};
use std::{collections::BTreeSet, pin::pin, sync::Arc, time::Duration};
use tokio::{
    sync::{
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        watch,
    },
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until, timeout},
};

/// Least time between two rounds. Each round with news is one writing call: shorter costs calls,
/// longer delays every step of every job.
const ROUND: Duration = Duration::from_millis(25);

/// Longest time between two rounds, for what becomes due without any news.
const QUIET: Duration = Duration::from_millis(200);

/// Age of the last confirmation of the ownership after which the store is asked. Leases end that
/// much earlier than they could.
const CONFIRM_AFTER: Millis = 600;

/// Calls for accepted jobs and cancels. What comes within the pace costs one call. A call proves nothing later than its own
/// beginning: one that waited a second would leave starts of a quiet pool half a second of their window.
const JOBS_RHYTHM: Rhythm = Rhythm {
    pace: Duration::from_millis(25),
    wait: Duration::from_millis(400),
    // A cancel has to be heard of, and the work stopped, within 3 s of its acknowledgement.
    read_after: Some(Duration::from_secs(1)),
};

/// Queues of a configuration whose starts need a ticket.
fn advised(configuration: Option<&Arc<Configuration>>) -> BTreeSet<Name> {
    let queues = configuration.into_iter().flat_map(|known| &known.queues);
    let advised = queues.filter(|queue| queue.needs_ticket);
    advised.map(|queue| Name::clone(&queue.name)).collect()
}

/// The loop's state.
pub(crate) struct Owned {
    context: Context,
    cell: Cell,
    token: Version,
    events: UnboundedReceiver<Event>,
    sender: UnboundedSender<Event>,
    status: watch::Sender<Arc<Status>>,
    reach: Reach,
    registered: BTreeSet<Name>,
    /// The list that `registered` was taken from.
    known_workers: Option<Registered>,
    /// The list of workers as it is followed.
    roster: Followed,
    /// Calls whose end the loop doesn't wait for.
    beside: JoinSet<()>,
    background: Vec<JoinHandle<()>>,
    counts: published::Counts,
    need: published::Need,
    digest: Digest,
    cancels: Cancels,
}

impl Owned {
    /// Starts what runs beside the loop.
    ///
    /// The feed of jobs goes on from where the read of the pool has ended: reading the whole once more would leave
    /// the owner without any news for as long as that takes.
    pub(crate) fn start(
        context: Context,
        cell: Cell,
        token: Version,
        loaded: Loaded,
        roster: Followed,
    ) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        let (status, status_seen) = watch::channel(Arc::default());
        let follower = follow(
            "jobs",
            jobs::Table {
                rows: Arc::clone(&context.rows),
                pool: Name::clone(&context.pool),
            },
            jobs::Teller {
                pool: Name::clone(&context.pool),
                clock: context.clock,
                events: sender.clone(),
            },
            JOBS_RHYTHM,
            Some(loaded.next),
            (Name::clone(&context.pool), token),
        );
        let upkeep = upkeep::run(context.clone(), token, status_seen, sender.clone());
        let background = vec![tokio::spawn(follower), tokio::spawn(upkeep)];
        Self {
            reach: Reach::new(context.clone(), token, sender.clone()),
            context,
            cell,
            token,
            events,
            sender,
            status,
            registered: BTreeSet::new(),
            known_workers: None,
            roster,
            beside: JoinSet::new(),
            background,
            counts: published::Counts::default(),
            need: published::Need::default(),
            digest: Digest::new(),
            cancels: loaded.cancels,
        }
    }

    /// Runs until the pool is lost, or `stop` says to give it up.
    pub(crate) async fn run(&mut self, lane: &mut Lane, stop: &mut watch::Receiver<bool>) -> Over {
        let mut registered = self.roster.workers.clone();
        let mut configuration = self.context.watch.configuration.clone();
        configuration.mark_changed();
        loop {
            let begin = Instant::now();
            if configuration.has_changed().unwrap_or(false) {
                self.cell
                    .set_advised_queues(advised(configuration.borrow_and_update().as_ref()));
            }
            self.register(registered.borrow_and_update().clone());
            while let Ok(event) = self.events.try_recv() {
                self.take(event);
            }
            let round = self.round(lane).await;
            self.observe(begin.elapsed());
            if round.is_err() {
                warn!(pool = &*self.context.pool, token = self.token; "another entry owns the pool");
                return Over::Lost;
            }
            if *stop.borrow() {
                self.reach.end();
                let Context {
                    rows, entry, pool, ..
                } = &self.context;
                release(&**rows, entry, (pool, self.token), None).await;
                return Over::Released;
            }
            while self.beside.try_join_next().is_some() {}
            sleep_until(begin + ROUND).await;
            self.wait(&mut registered, stop).await;
        }
    }

    fn observe(&self, round: Duration) {
        let Context {
            clock,
            observer,
            pool,
            ..
        } = &self.context;
        let ago = clock.now().saturating_sub(self.cell.feed_watermark());
        observer.jobs_read(pool, Duration::from_millis(ago));
        observer.round(pool, round);
    }

    /// Waits for news, for the time at which the next round is due without any, or for the stop.
    async fn wait(
        &mut self,
        registered: &mut watch::Receiver<Option<Registered>>,
        stop: &mut watch::Receiver<bool>,
    ) {
        let news = async {
            tokio::select! {
                biased;
                event = self.events.recv() => event,
                _ = registered.changed() => None,
                _ = stop.wait_for(|stop| *stop) => None,
            }
        };
        if let Ok(Some(event)) = timeout(QUIET, news).await {
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.context.clock.now();
        let wall_ms = self.context.clock.wall_ms();
        match event {
            Event::Jobs(jobs, at) => {
                let read = Read {
                    before: self.cell.feed_watermark(),
                    at,
                };
                for (id, accepted) in jobs.accepted {
                    self.cell.accept(id, accepted);
                }
                let times = (now, wall_ms);
                self.cancels
                    .take(&mut self.cell, &jobs.cancelled, read, times);
            }
            Event::Heard(at) => self.cell.advance_feed_watermark(at),
            Event::Renewing { worker, lapses_at } => {
                self.cell.lease_renewal_sent(&worker, lapses_at);
            }
            Event::Look {
                worker,
                look,
                sent_at,
                at,
            } => {
                for ended in self.cell.new_ends(&worker, &look) {
                    self.context.observer.ended(ended.how);
                    if ended.how != End::Done {
                        self.digest
                            .ended(&worker, &ended.task, ended.run, ended.how);
                    }
                }
                self.cell.apply_status(&worker, &look, sent_at, at, wall_ms);
            }
            Event::Gone {
                worker,
                born,
                asked_at,
            } => {
                self.over(worker, |cell, worker| {
                    cell.worker_terminated(worker, born, asked_at)
                });
            }
            Event::Named {
                worker,
                born,
                asked_at,
            } => {
                if self.cell.worker_listed(&worker, born, asked_at) {
                    info!(pool = &*self.context.pool, worker = &*worker; "a silent worker has outlived runs that were new");
                }
            }
            Event::Replaced(worker) => self.over(worker, Cell::worker_replaced),
            Event::Answered {
                worker,
                task,
                run,
                outcome,
            } => {
                self.context.observer.started(outcome);
                if outcome != Outcome::Started {
                    info!(worker = &*worker, task:% = task, run, outcome:? = outcome; "start not confirmed");
                }
                self.cell
                    .record_start_outcome(&worker, &task, run, outcome, now);
            }
            Event::Stopped { worker, task, run } => {
                if self.cell.record_stop_accepted(&worker, &task, run, now) {
                    self.reach.glance(&worker);
                }
            }
            Event::Forgotten(id) => self.cell.record_rows_deleted(id, wall_ms),
            Event::Advised {
                question,
                answer,
                sent_at,
            } => self.cell.record_advice(&question, answer, sent_at, now),
            Event::Empty { worker, wanted } => self.cell.set_evacuating(&worker, wanted),
            Event::Clear(worker) => self.cell.stop_batch_tasks(&worker),
        }
    }

    /// Takes in the end of a worker's life by `take`, which says whether that is news.
    fn over(&mut self, worker: Name, take: impl FnOnce(&mut Cell, &Name) -> bool) {
        let runs = self.cell.runs_on(&worker);
        if take(&mut self.cell, &worker) {
            self.digest.over(worker, runs);
        }
    }

    /// Takes in the registered workers, if the list is new.
    fn register(&mut self, workers: Option<Registered>) {
        let Some(workers) = workers else {
            return;
        };
        let known = self.known_workers.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(&workers, known)) {
            return;
        }
        let own = workers.values();
        let own = own.filter(|worker| worker.pool == self.context.pool);
        let mut now: BTreeSet<Name> = BTreeSet::new();
        for worker in own {
            now.insert(Name::clone(&worker.id));
            self.cell.register(worker.clone());
        }
        for left in self.registered.difference(&now) {
            self.cell.unregister(left);
        }
        self.registered = now;
        self.known_workers = Some(workers);
        self.reach.look_at(self.cell.targets());
    }

    async fn round(&mut self, lane: &mut Lane) -> Result<(), Lost> {
        let clock = self.context.clock;
        self.digest.tell(&self.context.pool);
        let decided = Instant::now();
        let mut tick = self.cell.run_round(clock.now(), clock.wall_ms());
        self.cancels.tell_over(&self.cell, clock.now());
        self.occupied();
        for loss in &tick.losses {
            self.context.observer.lost(loss.cause, loss.runs.len());
        }
        tell::losses(&self.context.pool, &tick.losses);
        tell::culprits(&self.context.pool, &tick.poison_tasks);
        tell::acquitted(&self.context.pool, &tick.crashes_cleared);
        for worker in &tick.immediate_polls {
            self.reach.glance(worker);
        }
        let urgent = std::mem::take(&mut tick.immediate_stops);
        for question in std::mem::take(&mut tick.advice_requests) {
            self.beside.spawn(ask(
                Arc::clone(&self.context.advisor),
                self.context.clock,
                question,
                self.sender.clone(),
            ));
        }
        tell::orders(&self.context.pool, &urgent);
        self.send(urgent, clock.now(), decided);
        let counts = self.counts.is_due(self.cell.queued(), clock.now());
        let need = tick.scaling.published();
        let publish = self.need.is_due(need, clock.now());
        let sent_at = if !tick.puts.is_empty() || counts || publish {
            let queued = self.cell.queued().clone();
            for (queue, jobs) in &queued {
                self.context.observer.queued(queue, *jobs);
            }
            let notes = Notes {
                queued: &queued,
                wanted: publish.then_some(need),
            };
            let begin = Instant::now();
            let sent_at = self.meanwhile(lane.commit(&tick.puts, notes)).await?;
            self.context.observer.committed(begin.elapsed());
            if publish {
                tell::need(&self.context.pool, &tick.scaling, self.registered.len());
                self.need.put(need, clock.now());
            }
            self.counts.put(queued, clock.now());
            self.reach.confirmed.send_replace(sent_at);
            sent_at
        } else {
            self.confirm(lane).await?;
            *self.reach.confirmed.borrow()
        };
        self.carry_out(tick, sent_at, decided);
        Ok(())
    }

    /// Sends what still holds of a round, once it is committed by a transaction that was sent at `sent_at`.
    fn carry_out(&mut self, mut tick: RoundOutput, sent_at: Millis, decided: Instant) {
        let clock = self.context.clock;
        self.cell.record_commit(&tick, sent_at);
        // The commit may have taken long.
        let workers = self.roster.workers.borrow().clone();
        self.register(workers);
        let orders = std::mem::take(&mut tick.orders);
        let (orders, withdrawn) = self.cell.revalidate(orders, clock.now());
        for order in &withdrawn {
            if matches!(order, Order::Start { .. }) {
                self.context.observer.started(Outcome::Withdrawn);
            }
            tell::withdrawn(&self.context.pool, order);
        }
        tell::orders(&self.context.pool, &orders);
        tell::ended(&self.context.pool, &tick.ended, clock.now() - sent_at);
        let seen = tick
            .ends_committed
            .iter()
            .map(|(id, seen)| (Name::clone(id), *seen));
        self.reach.seen.send_replace(Arc::new(seen.collect()));
        for id in &tick.forget {
            let rows = Arc::clone(&self.context.rows);
            let pool = Name::clone(&self.context.pool);
            self.beside.spawn(forget(
                rows,
                pool,
                self.token,
                id.clone(),
                self.sender.clone(),
            ));
        }
        self.send(orders, sent_at, decided);
        self.reach.look_at(self.cell.targets());
        self.publish(tick.scaling.scale_down_floor);
    }

    /// Waits for a call to the store, and takes in what happens meanwhile.
    ///
    /// The store may take seconds. Without this, a cancel that is stored and known would stop nothing
    /// until the store answers, and its tasks would run on for that long.
    async fn meanwhile<T>(&mut self, call: impl Future<Output = T>) -> T {
        let mut call = pin!(call);
        loop {
            let event = tokio::select! {
                biased;
                done = &mut call => return done,
                event = self.events.recv() => event,
            };
            if let Some(event) = event {
                self.take(event);
            }
            // All runs are looked through for what is to stop: once for what has come together.
            while let Ok(event) = self.events.try_recv() {
                self.take(event);
            }
            self.digest.tell_held(&self.context.pool);
            let now = self.context.clock.now();
            let decided = Instant::now();
            let urgent = self.cell.immediate_stops(now);
            tell::orders(&self.context.pool, &urgent);
            self.send(urgent, now, decided);
        }
    }

    /// Sends orders; starts among them were committed by a transaction that was sent at `sent_at`.
    fn send(&mut self, orders: Vec<Order>, sent_at: Millis, decided: Instant) {
        let times = Times {
            decided,
            heard_at: self.cell.feed_watermark(),
            sent_at,
            window: self.cell.start_window(sent_at),
        };
        self.reach.send(orders, times);
    }

    async fn confirm(&mut self, lane: &mut Lane) -> Result<(), Lost> {
        let age = self
            .context
            .clock
            .now()
            .saturating_sub(*self.reach.confirmed.borrow());
        if age >= CONFIRM_AFTER
            && let Some(at) = self.meanwhile(lane.confirm()).await?
        {
            self.reach.confirmed.send_replace(at);
        }
        Ok(())
    }

    /// Tells the upkeep at once which emptied workers may be in use again.
    ///
    /// What else there is to tell waits for the commit of the round, which may take long. Without this, a worker that was
    /// emptied, let go and given a lasting task counts as emptied until then, and its instance may be ordered away.
    fn occupied(&self) {
        self.status.send_if_modified(|known| {
            let occupied = known.emptied.iter().any(|id| !self.cell.is_evacuated(id));
            if occupied {
                let status = Arc::make_mut(known);
                status.emptied.retain(|id| self.cell.is_evacuated(id));
            }
            occupied
        });
    }

    /// Tells the upkeep what runs where.
    fn publish(&self, kept: u64) {
        let workers = self.cell.workers();
        let lasting = workers.clone().map(|id| {
            let lasting = self.cell.long_running_on(id);
            (Name::clone(id), lasting)
        });
        let runs = workers
            .clone()
            .map(|id| (Name::clone(id), self.cell.runs_on(id)));
        let emptied = workers.filter(|id| self.cell.is_evacuated(id));
        let now = self.context.clock.now();
        let status = Status {
            told: true,
            lasting: lasting.collect(),
            runs: runs.collect(),
            emptied: emptied.map(Name::clone).collect(),
            registered: self.registered.clone(),
            silent: self.cell.unresponsive(now),
            suspected: self.cell.possibly_crashed(now),
            lives: self.cell.incarnations(now),
            kept,
        };
        self.status.send_if_modified(|known| {
            let changed = **known != status;
            if changed {
                *known = Arc::new(status);
            }
            changed
        });
    }

    /// Ends what runs beside the loop.
    pub(crate) fn end(mut self) {
        self.reach.end();
        for task in &self.background {
            task.abort();
        }
    }
}
