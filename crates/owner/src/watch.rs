//! What the platform reports: configuration, workers, waves; each receiver sees the newest.

use crate::{
    clock::Clock,
    follow::{FEED_WAIT, FeedTiming, Sink, Source, follow},
};
use async_trait::async_trait;
use primroseroute_cell::Millis;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
    site::{Configuration, Instruction, Registration, Site, Wave, Worker},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch::{self, Receiver, Sender},
    task::JoinHandle,
    time::{Instant, timeout},
};

/// Reads of the change feed of the workers. No start waits for what it shows, and a draining worker
/// stops getting new tasks well within the notice that it gives.
const WORKERS_FEED_TIMING: FeedTiming = FeedTiming {
    min_interval: Duration::from_millis(250),
    wait: FEED_WAIT,
    full_read_after: None,
};

/// Minimum interval between two reads of the change feed of the operators' rows: a storm of changes
/// costs a few a second.
const INSTRUCTIONS_MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a change of the operators' rows. A connection that has become unresponsive is
/// noticed by then, and 1.5 s later at most.
const MAX_INSTRUCTIONS_WAIT: Duration = Duration::from_secs(3);

/// How long one call waits for a change of the operators' rows, which every entry follows: half of
/// the time within which a change must be in force everywhere.
///
/// The rest is for a connection that has become unresponsive: the call on it times out 1.5 s after
/// its wait, and the next one gets the change.
pub fn instructions_wait(bound: Option<Duration>) -> Duration {
    let half = bound.map_or(FEED_WAIT, |bound| bound / 2);
    half.clamp(FEED_WAIT, MAX_INSTRUCTIONS_WAIT)
}

/// Registered workers by id.
pub type RegisteredWorkers = Arc<BTreeMap<Name, Worker>>;

/// The registered workers, which are followed while somebody needs them.
///
/// Their list changes with each instance that moves. If every entry followed it, it would cost
/// the store as many times its bytes, and most entries own nothing.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    /// Number of subscriptions.
    subscriptions: Sender<usize>,
    workers: Receiver<Option<RegisteredWorkers>>,
}

impl Roster {
    fn spawn(site: &Arc<dyn Site>, seed: u64) -> (Self, JoinHandle<()>) {
        let (sink, workers) = watch::channel(None);
        let (subscriptions, subscribed) = watch::channel(0);
        let task = tokio::spawn(follow_while_needed(
            Arc::clone(site),
            subscribed,
            sink,
            seed,
        ));
        (
            Self {
                subscriptions,
                workers,
            },
            task,
        )
    }

    /// Follows the workers until the last subscription is dropped.
    pub(crate) fn subscribe(&self) -> RosterSubscription {
        self.subscriptions.send_modify(|count| *count += 1);
        RosterSubscription {
            subscriptions: self.subscriptions.clone(),
            workers: self.workers.clone(),
        }
    }
}

/// A subscription to the registered workers.
#[derive(Debug)]
pub(crate) struct RosterSubscription {
    subscriptions: Sender<usize>,
    /// `None` before they were read.
    pub workers: Receiver<Option<RegisteredWorkers>>,
}

impl RosterSubscription {
    /// Waits until the workers were read, for `longest` at most.
    pub(crate) async fn wait_until_read(&self, longest: Duration) {
        let mut workers = self.workers.clone();
        if timeout(longest, workers.wait_for(Option::is_some))
            .await
            .is_err()
        {
            log::warn!("registered workers not read in time; continuing without them");
        }
    }
}

impl Drop for RosterSubscription {
    fn drop(&mut self) {
        self.subscriptions.send_modify(|count| *count -= 1);
    }
}

async fn follow_while_needed(
    site: Arc<dyn Site>,
    mut subscriptions: Receiver<usize>,
    sink: Sender<Option<RegisteredWorkers>>,
    seed: u64,
) {
    while subscriptions.wait_for(|count| *count > 0).await.is_ok() {
        let registrations = RegistrationSink {
            workers: sink.clone(),
        };
        let source = RegistrySource(Arc::clone(&site));
        let follower = follow(
            "workers",
            source,
            registrations,
            WORKERS_FEED_TIMING,
            None,
            seed,
        );
        tokio::select! {
            () = follower => {}
            _ = subscriptions.wait_for(|count| *count == 0) => {}
        }
        sink.send_replace(None);
    }
}

/// Requested waves by number.
pub type Waves = Arc<BTreeMap<u64, Wave>>;

/// The newest state that the platform reports.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The configuration; `None` before the first.
    pub configuration: Receiver<Option<Arc<Configuration>>>,
    /// The workers.
    pub(crate) roster: Roster,
    /// The waves.
    pub waves: Receiver<Waves>,
    /// When the store last answered, on the monotonic clock.
    pub last_contact: Receiver<Millis>,
    /// The configuration was the newest one at this time, on the clock that counts suspensions.
    current_at: Receiver<Option<Millis>>,
    clock: Clock,
}

impl Watch {
    /// Follows `site`; the tasks end when their handles are aborted. Each call waits for
    /// `instructions_wait` for a change of the operators' rows, and `seed` differs between entries.
    pub fn spawn(
        site: &Arc<dyn Site>,
        clock: Clock,
        instructions_wait: Duration,
        seed: u64,
    ) -> (Self, Vec<JoinHandle<()>>) {
        let (configuration_sink, configuration) = watch::channel(None);
        let (waves_sink, waves) = watch::channel(Waves::default());
        let (roster, registrations) = Roster::spawn(site, seed);
        let (contact_sink, last_contact) = watch::channel(0);
        let (current_sink, current_at) = watch::channel(None);
        let instructions = InstructionSink {
            configuration: configuration_sink,
            waves: waves_sink,
            last_contact: contact_sink,
            current_at: current_sink,
            call_sent_at: None,
            clock,
        };
        let tasks = vec![
            tokio::spawn(follow(
                "operators",
                Arc::clone(site),
                instructions,
                FeedTiming {
                    min_interval: INSTRUCTIONS_MIN_INTERVAL,
                    wait: instructions_wait,
                    full_read_after: None,
                },
                None,
                seed,
            )),
            registrations,
        ];
        let watch = Self {
            configuration,
            roster,
            waves,
            last_contact,
            current_at,
            clock,
        };
        (watch, tasks)
    }

    /// How long ago the configuration was certainly the newest one; `None` before the first.
    ///
    /// The time counts from the sending of the last call that confirmed it, and includes the time for
    /// which the machine was suspended.
    pub fn configuration_age(&self) -> Option<Duration> {
        let at = (*self.current_at.borrow())?;
        let age = self.clock.elapsed_with_suspension().saturating_sub(at);
        Some(Duration::from_millis(age))
    }
}

#[async_trait]
impl Source for Arc<dyn Site> {
    type Item = Instruction;

    async fn read_full(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.instructions().await
    }

    async fn changes_after(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error> {
        self.instruction_feed(after, wait).await
    }
}

struct InstructionSink {
    configuration: Sender<Option<Arc<Configuration>>>,
    waves: Sender<Waves>,
    last_contact: Sender<Millis>,
    current_at: Sender<Option<Millis>>,
    /// When the call that is under way was sent, on the clock that counts suspensions.
    call_sent_at: Option<Millis>,
    clock: Clock,
}

impl Sink for InstructionSink {
    type Item = Instruction;

    fn call_sent(&mut self) {
        self.call_sent_at = Some(self.clock.elapsed_with_suspension());
    }

    fn reset(&mut self, items: Vec<Instruction>) {
        self.apply(items);
    }

    fn apply(&mut self, items: Vec<Instruction>) {
        for item in items {
            match item {
                Instruction::Configuration(newer) => self.apply_configuration(newer),
                Instruction::Wave(wave) => {
                    self.waves.send_modify(|waves| {
                        Arc::make_mut(waves).insert(wave.number, wave);
                    });
                }
            }
        }
    }

    fn confirmed(&mut self, _at: Instant) {
        self.last_contact.send_replace(self.clock.now());
        self.current_at.send_replace(self.call_sent_at);
    }
}

impl InstructionSink {
    /// Puts a configuration in force, unless it is older than the current one.
    fn apply_configuration(&mut self, newer: Configuration) {
        let number = newer.number;
        let applied = self.configuration.send_if_modified(|current| {
            let known = current.as_ref().map(|known| known.number);
            let is_newer = known.is_none_or(|known| known < number);
            if is_newer {
                *current = Some(Arc::new(newer));
            }
            is_newer
        });
        if applied {
            log::info!(configuration = number; "configuration in force");
        }
    }
}

struct RegistrySource(Arc<dyn Site>);

#[async_trait]
impl Source for RegistrySource {
    type Item = Registration;

    async fn read_full(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.0.workers().await
    }

    async fn changes_after(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error> {
        self.0.worker_feed(after, wait).await
    }
}

struct RegistrationSink {
    workers: Sender<Option<RegisteredWorkers>>,
}

fn record(workers: &mut BTreeMap<Name, Worker>, change: Registration) {
    match change.worker {
        Some(worker) => {
            workers.insert(change.id, worker);
        }
        None => {
            workers.remove(&change.id);
        }
    }
}

impl Sink for RegistrationSink {
    type Item = Registration;

    fn reset(&mut self, items: Vec<Registration>) {
        let mut all = BTreeMap::new();
        for change in items {
            record(&mut all, change);
        }
        self.workers.send_replace(Some(Arc::new(all)));
    }

    fn apply(&mut self, items: Vec<Registration>) {
        self.workers.send_if_modified(|workers| {
            let Some(workers) = workers else {
                return false;
            };
            // Rows that were only written again are no reason to copy the list. If one is new, all
            // are applied in order: a worker whose registration is removed and comes back as it was
            // is registered.
            let is_new = |change: &Registration| workers.get(&change.id) != change.worker.as_ref();
            if !items.iter().any(is_new) {
                return false;
            }
            let workers = Arc::make_mut(workers);
            for change in items {
                record(workers, change);
            }
            true
        });
    }
}
