//! The loop of one owned pool: handles events, decides, commits, and sends orders.

mod accounts;
mod admission;
mod events;

use crate::{
    advice::request_advice,
    budgets::Budgets,
    cancels::CancelTracker,
    cleanup::delete_rows,
    commit::{CommitFigures, CommitSequence, Committed, JobRows, OwnershipLost},
    evacuations::PoolStatus,
    event::Event,
    follow::{FeedTiming, follow},
    instance_manager, jobs,
    load::Loaded,
    log_digest::LogDigest,
    log_lines,
    order_delivery::CommitTimes,
    ownership::{Context, OwnershipEnd, release},
    pool_workers::PoolWorkers,
    published,
    reassigned::{self, Reassigned},
    terminations,
    tombstones::{self, Tombstones},
    watch::{RegisteredWorkers, RosterSubscription},
};
use admission::Admission;
use log::warn;
use primroseroute_cell::{Cell, Millis, Order, Outcome, RoundOutput, Stragglers, Terms};
use primroseroute_domain::work::Name;
use primroseroute_platform::{rows::Version, site::Configuration};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        watch,
    },
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until, timeout},
};

/// Minimum time between two rounds. Each round with changes is one write call: shorter costs calls,
/// longer delays every step of every job.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time between two rounds, for what becomes due without an event.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the last confirmation of the ownership after which the store is asked again. Leases end
/// that much earlier than they could.
const CONFIRM_AFTER: Millis = 600;

/// Reads of the change feed of accepted jobs and cancels. Changes within the minimum interval cost
/// one call. A call proves nothing later than its own start: one that waited a second would leave
/// starts of a quiet pool half a second of their window.
const JOBS_FEED_TIMING: FeedTiming = FeedTiming {
    min_interval: Duration::from_millis(25),
    wait: Duration::from_millis(400),
    // A cancel must be received, and the work stopped, within 3 s of its acknowledgement.
    full_read_after: Some(Duration::from_secs(1)),
};

/// Queues of a configuration whose starts need a ticket.
fn advised_queues(configuration: Option<&Arc<Configuration>>) -> BTreeSet<Name> {
    let queues = configuration.into_iter().flat_map(|known| &known.queues);
    let advised = queues.filter(|queue| queue.needs_ticket);
    advised.map(|queue| Name::clone(&queue.name)).collect()
}

/// How the objectives of the jobs of a configuration's queues follow from their run times.
fn queue_terms(configuration: Option<&Arc<Configuration>>) -> BTreeMap<Name, Terms> {
    let queues = configuration.into_iter().flat_map(|known| &known.queues);
    let terms = queues.map(|queue| {
        let terms = Terms {
            stretch: queue.stretch,
            target_ms: queue.target_ms,
        };
        (Name::clone(&queue.name), terms)
    });
    terms.collect()
}

/// The state of the loop.
pub(crate) struct PoolLoop {
    context: Context,
    cell: Cell,
    token: Version,
    events: UnboundedReceiver<Event>,
    sender: UnboundedSender<Event>,
    status: watch::Sender<Arc<PoolStatus>>,
    pool_workers: PoolWorkers,
    registered: BTreeSet<Name>,
    /// The list from which `registered` was taken.
    registered_list: Option<RegisteredWorkers>,
    /// The subscription to the list of workers.
    roster: RosterSubscription,
    /// Calls whose completion the loop doesn't wait for.
    detached: JoinSet<()>,
    background: Vec<JoinHandle<()>>,
    /// Number of jobs that the change feed has shown.
    jobs_received: u64,
    published_counts: published::PublishedCounts,
    published_scaling: published::PublishedScaling,
    digest: LogDigest,
    cancels: CancelTracker,
    tombstones: Tombstones,
    reassigned: Reassigned,
    configuration: Option<Arc<Configuration>>,
    /// The budgets of accounts; `None` until there are accounts.
    budgets: Option<Budgets>,
    /// What is published for the admission of jobs; `None` without accounts, or while admission is
    /// switched off.
    admission: Option<Admission>,
}

impl PoolLoop {
    /// Starts the background tasks of the loop.
    ///
    /// The change feed of jobs continues from where the read of the pool ended: another full read
    /// would leave the owner without updates for as long as it takes.
    pub(crate) fn start(
        context: Context,
        cell: Cell,
        token: Version,
        loaded: Loaded,
        roster: RosterSubscription,
    ) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        let (status, status_seen) = watch::channel(Arc::default());
        let follower = follow(
            "jobs",
            jobs::Table {
                rows: Arc::clone(&context.rows),
                pool: Name::clone(&context.pool),
            },
            jobs::JobsSink {
                pool: Name::clone(&context.pool),
                clock: context.clock,
                events: sender.clone(),
            },
            JOBS_FEED_TIMING,
            Some(loaded.next),
            (Name::clone(&context.pool), token),
        );
        let terminations = terminations::run(context.clone(), status_seen.clone(), sender.clone());
        let manager = instance_manager::run(context.clone(), token, status_seen, sender.clone());
        let background = vec![
            tokio::spawn(follower),
            tokio::spawn(manager),
            tokio::spawn(terminations),
        ];
        Self {
            pool_workers: PoolWorkers::new(context.clone(), token, sender.clone()),
            context,
            cell,
            token,
            events,
            sender,
            status,
            registered: BTreeSet::new(),
            registered_list: None,
            roster,
            detached: JoinSet::new(),
            background,
            jobs_received: 0,
            published_counts: published::PublishedCounts::default(),
            published_scaling: published::PublishedScaling::default(),
            digest: LogDigest::new(),
            cancels: loaded.cancels,
            tombstones: loaded.tombstones,
            reassigned: Reassigned::default(),
            configuration: None,
            budgets: None,
            admission: None,
        }
    }

    /// Runs until the pool is lost, or `stop` signals to release it.
    pub(crate) async fn run(
        &mut self,
        commits: &mut CommitSequence,
        stop: &mut watch::Receiver<bool>,
    ) -> OwnershipEnd {
        let mut registered = self.roster.workers.clone();
        let mut configuration = self.context.watch.configuration.clone();
        configuration.mark_changed();
        loop {
            let begin = Instant::now();
            if configuration.has_changed().unwrap_or(false) {
                self.configuration
                    .clone_from(&configuration.borrow_and_update());
                self.cell
                    .set_advised_queues(advised_queues(self.configuration.as_ref()));
                self.cell
                    .set_queue_terms(queue_terms(self.configuration.as_ref()));
                // Jobs are marked once weights are known.
                if let Some(known) = &self.configuration {
                    self.reassigned.set_configuration(known);
                    let accounts = known.accounts.iter();
                    let weights = accounts.map(|account| (&account.name, account.weight));
                    self.cell.set_account_weights(weights);
                }
                self.follow_budgets();
            }
            self.apply_registrations(registered.borrow_and_update().clone());
            while let Ok(event) = self.events.try_recv() {
                self.handle(event);
            }
            let result = self.run_round(commits).await;
            self.report_metrics(begin.elapsed());
            if result.is_err() {
                warn!(pool = &*self.context.pool, token = self.token; "another entry owns the pool");
                return OwnershipEnd::Lost;
            }
            if *stop.borrow() {
                self.pool_workers.stop();
                let Context {
                    rows, entry, pool, ..
                } = &self.context;
                release(&**rows, entry, (pool, self.token), None).await;
                return OwnershipEnd::Released;
            }
            while self.detached.try_join_next().is_some() {}
            sleep_until(begin + MIN_ROUND_INTERVAL).await;
            self.wait_for_event(&mut registered, stop).await;
        }
    }

    fn report_metrics(&self, round: Duration) {
        let Context {
            clock,
            observer,
            pool,
            ..
        } = &self.context;
        let ago = clock.now().saturating_sub(self.cell.feed_watermark());
        observer.jobs_feed_age(pool, Duration::from_millis(ago));
        observer.held_jobs(pool, self.cell.held_jobs());
        observer.unplaceable_steps(pool, self.cell.unplaceable_steps());
        observer.tombstones(pool, self.tombstones.len());
        observer.round_finished(pool, round);
    }

    fn report_stragglers(&self, stragglers: &Stragglers) {
        let Context { observer, pool, .. } = &self.context;
        observer.slow_workers(pool, stragglers.slow_workers);
        if !stragglers.moved.is_empty() {
            observer.runs_moved(pool, stragglers.moved.len());
        }
        log_lines::stragglers(pool, stragglers);
    }

    /// Waits for an event, for the time at which the next round is due without one, or for the
    /// stop.
    async fn wait_for_event(
        &mut self,
        registered: &mut watch::Receiver<Option<RegisteredWorkers>>,
        stop: &mut watch::Receiver<bool>,
    ) {
        let event = async {
            tokio::select! {
                biased;
                event = self.events.recv() => event,
                _ = registered.changed() => None,
                _ = stop.wait_for(|stop| *stop) => None,
            }
        };
        if let Ok(Some(event)) = timeout(MAX_ROUND_INTERVAL, event).await {
            self.handle(event);
        }
    }

    /// Applies the list of registered workers, if it is new.
    fn apply_registrations(&mut self, workers: Option<RegisteredWorkers>) {
        let Some(workers) = workers else {
            return;
        };
        let known = self.registered_list.as_ref();
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
        self.registered_list = Some(workers);
        self.pool_workers.poll(self.cell.targets());
    }

    async fn run_round(&mut self, commits: &mut CommitSequence) -> Result<(), OwnershipLost> {
        let clock = self.context.clock;
        self.digest.write(&self.context.pool);
        let decided = Instant::now();
        self.limit_accounts();
        self.cell.set_fleet(self.context.fleet.fleet());
        let mut round = self.cell.run_round(clock.now(), clock.wall_ms());
        self.write_budgets();
        self.cancels.log_ended(&self.cell, clock.now());
        self.withdraw_evacuated();
        for loss in &round.losses {
            self.context.observer.runs_lost(loss.cause, loss.runs.len());
        }
        log_lines::losses(&self.context.pool, &round.losses);
        log_lines::poison_tasks(&self.context.pool, &round.poison_tasks);
        log_lines::crashes_cleared(&self.context.pool, &round.crashes_cleared);
        log_lines::unplaceable(&self.context.pool, &round);
        self.report_stragglers(&round.stragglers);
        for worker in &round.immediate_polls {
            self.pool_workers.poll_now(worker);
        }
        let immediate_stops = std::mem::take(&mut round.immediate_stops);
        for request in std::mem::take(&mut round.advice_requests) {
            self.detached.spawn(request_advice(
                Arc::clone(&self.context.advisor),
                self.context.clock,
                request,
                self.sender.clone(),
            ));
        }
        log_lines::orders(&self.context.pool, &immediate_stops);
        self.send(immediate_stops, clock.now(), decided);
        let received = self.jobs_received;
        let counts = self
            .published_counts
            .is_due(self.cell.queued(), received, clock.now());
        let wanted = round.scaling.published();
        let publish = self.published_scaling.is_due(wanted, clock.now());
        let load = self.due_load();
        let Context { observer, pool, .. } = &self.context;
        observer.demand(pool, round.scaling.running.cpu, round.scaling.waiting.cpu);
        let has_rows = !round.puts.is_empty() || !round.overflow.is_empty();
        let sent_at = if has_rows || counts || publish || load.is_some() {
            let queued = self.cell.queued().clone();
            for (queue, jobs) in &queued {
                self.context.observer.jobs_queued(queue, *jobs);
            }
            let figures = CommitFigures {
                queued: &queued,
                wanted: publish.then_some(wanted),
                load: load.as_ref(),
            };
            let rows = JobRows {
                puts: &round.puts,
                overflow: &round.overflow,
            };
            let begin = Instant::now();
            let Committed { sent_at, refused } = self
                .handle_events_during(commits.commit(rows, figures))
                .await?;
            self.context.observer.commit_finished(begin.elapsed());
            if !refused.is_empty() {
                self.cell.record_refused(&mut round, &refused, clock.now());
            }
            if publish {
                let inflow = self.cell.largest_inflow();
                let registered = self.registered.len();
                let Context { pool, .. } = &self.context;
                log_lines::scaling(pool, &round.scaling, inflow.as_ref(), registered);
                self.published_scaling.record(wanted, clock.now());
            }
            self.published_counts.record(queued, received, clock.now());
            if let Some(load) = load {
                self.record_load(load, sent_at);
            }
            self.pool_workers.confirmed.send_replace(sent_at);
            sent_at
        } else {
            self.confirm(commits).await?;
            *self.pool_workers.confirmed.borrow()
        };
        self.carry_out(round, sent_at, decided);
        Ok(())
    }

    /// Sends the orders of a round that are still valid, once it is committed by a transaction that
    /// was sent at `sent_at`.
    fn carry_out(&mut self, mut round: RoundOutput, sent_at: Millis, decided: Instant) {
        let clock = self.context.clock;
        self.cell.record_commit(&round, sent_at);
        // The commit may have taken long.
        let workers = self.roster.workers.borrow().clone();
        self.apply_registrations(workers);
        self.limit_accounts();
        let orders = std::mem::take(&mut round.orders);
        let (orders, withdrawn) = self.cell.revalidate(orders, clock.now());
        for order in &withdrawn {
            if matches!(order, Order::Start { .. }) {
                self.context.observer.start_finished(Outcome::Withdrawn);
            }
            log_lines::withdrawn(&self.context.pool, order);
        }
        log_lines::orders(&self.context.pool, &orders);
        log_lines::jobs_ended(&self.context.pool, &round.ended, clock.now() - sent_at);
        let ends = round
            .ends_committed
            .iter()
            .map(|(id, cursor)| (Name::clone(id), *cursor));
        self.pool_workers
            .ends_committed
            .send_replace(Arc::new(ends.collect()));
        for id in &round.forget {
            let rows = Arc::clone(&self.context.rows);
            let pool = Name::clone(&self.context.pool);
            self.detached.spawn(delete_rows(
                rows,
                pool,
                self.token,
                id.clone(),
                self.sender.clone(),
            ));
        }
        self.delete_tombstones();
        self.write_reassigned();
        self.send(orders, sent_at, decided);
        self.pool_workers.poll(self.cell.targets());
        self.publish_status(round.scaling.scale_down_floor);
    }

    fn delete_tombstones(&mut self) {
        let Context {
            rows,
            pool,
            clock,
            limits,
            ..
        } = &self.context;
        let times = (clock.now(), clock.wall_ms());
        let due = self.tombstones.due(limits.row_retention(), times);
        if !due.is_empty() {
            let (rows, pool) = (Arc::clone(rows), Name::clone(pool));
            self.detached
                .spawn(tombstones::delete(rows, pool, due, self.sender.clone()));
        }
    }

    /// Tells the present pools of reassigned queues which jobs of theirs wait here.
    fn write_reassigned(&mut self) {
        let Context {
            rows, pool, clock, ..
        } = &self.context;
        if let Some(write) = self.reassigned.due(pool, self.cell.queued(), clock.now()) {
            let (rows, pool) = (Arc::clone(rows), Name::clone(pool));
            self.detached
                .spawn(reassigned::write(rows, pool, write, self.sender.clone()));
        }
    }

    /// Sends orders; starts among them were committed by a transaction that was sent at `sent_at`.
    fn send(&mut self, orders: Vec<Order>, sent_at: Millis, decided: Instant) {
        let times = CommitTimes {
            decided,
            feed_watermark: self.cell.feed_watermark(),
            sent_at,
            start_window: self.cell.start_window(sent_at),
        };
        let cell = &self.cell;
        self.pool_workers
            .send(orders, times, |worker| cell.incarnation(worker));
    }

    async fn confirm(&mut self, commits: &mut CommitSequence) -> Result<(), OwnershipLost> {
        let age = self
            .context
            .clock
            .now()
            .saturating_sub(*self.pool_workers.confirmed.borrow());
        if age >= CONFIRM_AFTER
            && let Some(at) = self.handle_events_during(commits.confirm()).await?
        {
            self.pool_workers.confirmed.send_replace(at);
        }
        Ok(())
    }

    /// Withdraws at once the evacuated state of workers that may be in use again.
    ///
    /// The rest of the status waits for the commit of the round, which may take long. Without this,
    /// a worker that was evacuated, returned to use and given a long-running task counts as
    /// evacuated until then, and its instance may be ordered away.
    fn withdraw_evacuated(&self) {
        self.status.send_if_modified(|known| {
            let in_use_again = known.evacuated.iter().any(|id| !self.cell.is_evacuated(id));
            if in_use_again {
                let status = Arc::make_mut(known);
                status.evacuated.retain(|id| self.cell.is_evacuated(id));
            }
            in_use_again
        });
    }

    /// Publishes what runs where to the task that manages the pool's instances.
    fn publish_status(&self, scale_down_floor: u64) {
        let workers = self.cell.workers();
        let long_running = workers.clone().map(|id| {
            let long_running = self.cell.long_running_on(id);
            (Name::clone(id), long_running)
        });
        let runs = workers
            .clone()
            .map(|id| (Name::clone(id), self.cell.runs_on(id)));
        let evacuated = workers.filter(|id| self.cell.is_evacuated(id));
        let now = self.context.clock.now();
        let status = PoolStatus {
            is_published: true,
            lasting: long_running.collect(),
            runs: runs.collect(),
            evacuated: evacuated.map(Name::clone).collect(),
            registered: self.registered.clone(),
            unresponsive: self.cell.unresponsive(now),
            possibly_crashed: self.cell.possibly_crashed(now),
            terminated: self.cell.terminated(),
            incarnations: self.cell.incarnations(now),
            scale_down_floor,
        };
        self.status.send_if_modified(|known| {
            let changed = **known != status;
            if changed {
                *known = Arc::new(status);
            }
            changed
        });
    }

    /// Stops the background tasks.
    pub(crate) fn stop(mut self) {
        self.end_admission();
        self.pool_workers.stop();
        for task in &self.background {
            task.abort();
        }
    }
}
