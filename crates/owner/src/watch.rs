//! What the platform tells: configuration, workers, waves; each follower sees the newest.

use crate::{
    clock::Clock,
    follow::{Rhythm, Sink, Source, WAIT, follow},
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

/// Calls for changes of the workers. Starts wait for nothing that this shows, and a draining worker gets
/// nothing new well inside the time it gives.
const WORKERS_RHYTHM: Rhythm = Rhythm {
    pace: Duration::from_millis(250),
    wait: WAIT,
    read_after: None,
};

/// Calls for changes of the operators' rows, paced so that a storm of changes costs a few a second.
const INSTRUCTIONS_RHYTHM: Rhythm = Rhythm {
    pace: Duration::from_millis(100),
    wait: WAIT,
    read_after: None,
};

/// Registered workers by id.
pub type Workers = Arc<BTreeMap<Name, Worker>>;

/// The registered workers, which are followed while somebody needs them.
///
/// Their list changes with each instance that moves. Followed by every entry, it cost the store as many times its bytes, and most
/// entries own nothing.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    /// Number of those who need it.
    needed: Sender<usize>,
    workers: Receiver<Option<Workers>>,
}

impl Roster {
    fn spawn(site: &Arc<dyn Site>, seed: u64) -> (Self, JoinHandle<()>) {
        let (sink, workers) = watch::channel(None);
        let (needed, is_needed) = watch::channel(0);
        let task = tokio::spawn(follow_while_needed(Arc::clone(site), is_needed, sink, seed));
        (Self { needed, workers }, task)
    }

    /// Follows the workers until the last of these is dropped.
    pub(crate) fn follow(&self) -> Followed {
        self.needed.send_modify(|needed| *needed += 1);
        Followed {
            needed: self.needed.clone(),
            workers: self.workers.clone(),
        }
    }
}

/// The registered workers as somebody follows them.
#[derive(Debug)]
pub(crate) struct Followed {
    needed: Sender<usize>,
    /// None before they were read.
    pub workers: Receiver<Option<Workers>>,
}

impl Followed {
    /// Waits until the workers were read, for `longest` at most.
    pub(crate) async fn known(&self, longest: Duration) {
        let mut workers = self.workers.clone();
        if timeout(longest, workers.wait_for(Option::is_some))
            .await
            .is_err()
        {
            log::warn!("the registered workers can't be read yet");
        }
    }
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.needed.send_modify(|needed| *needed -= 1);
    }
}

async fn follow_while_needed(
    site: Arc<dyn Site>,
    mut needed: Receiver<usize>,
    sink: Sender<Option<Workers>>,
    seed: u64,
) {
    while needed.wait_for(|needed| *needed > 0).await.is_ok() {
        let registrations = Registrations {
            workers: sink.clone(),
        };
        let source = Registry(Arc::clone(&site));
        let follower = follow("workers", source, registrations, WORKERS_RHYTHM, None, seed);
        tokio::select! {
            () = follower => {}
            _ = needed.wait_for(|needed| *needed == 0) => {}
        }
        sink.send_replace(None);
    }
}

/// Requested waves by number.
pub type Waves = Arc<BTreeMap<u64, Wave>>;

/// The newest of what the platform tells.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The configuration; none before the first.
    pub configuration: Receiver<Option<Arc<Configuration>>>,
    /// The workers.
    pub(crate) roster: Roster,
    /// The waves.
    pub waves: Receiver<Waves>,
    /// When the store was last heard of, on the steady clock.
    pub contact: Receiver<Millis>,
}

impl Watch {
    /// Follows `site`; the tasks end when their handles are aborted. `seed` differs from one entry to the next.
    pub fn spawn(site: &Arc<dyn Site>, clock: Clock, seed: u64) -> (Self, Vec<JoinHandle<()>>) {
        let (configuration_sink, configuration) = watch::channel(None);
        let (waves_sink, waves) = watch::channel(Waves::default());
        let (roster, registrations) = Roster::spawn(site, seed);
        let (contact_sink, contact) = watch::channel(0);
        let instructions = Instructions {
            configuration: configuration_sink,
            waves: waves_sink,
            contact: contact_sink,
            clock,
        };
        let tasks = vec![
            tokio::spawn(follow(
                "operators",
                Arc::clone(site),
                instructions,
                INSTRUCTIONS_RHYTHM,
                None,
                seed,
            )),
            registrations,
        ];
        let watch = Self {
            configuration,
            roster,
            waves,
            contact,
        };
        (watch, tasks)
    }
}

#[async_trait]
impl Source for Arc<dyn Site> {
    type Item = Instruction;

    async fn whole(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.instructions().await
    }

    async fn since(&self, after: Version, wait: Duration) -> Result<Feed<Instruction>, Error> {
        self.instruction_feed(after, wait).await
    }
}

struct Instructions {
    configuration: Sender<Option<Arc<Configuration>>>,
    waves: Sender<Waves>,
    contact: Sender<Millis>,
    clock: Clock,
}

impl Sink for Instructions {
    type Item = Instruction;

    fn reset(&mut self, items: Vec<Instruction>) {
        self.apply(items);
    }

    fn apply(&mut self, items: Vec<Instruction>) {
        for item in items {
            match item {
                Instruction::Configuration(newer) => self.configure(newer),
                Instruction::Wave(wave) => {
                    self.waves.send_modify(|waves| {
                        Arc::make_mut(waves).insert(wave.number, wave);
                    });
                }
            }
        }
    }

    fn confirmed(&mut self, _at: Instant) {
        self.contact.send_replace(self.clock.now());
    }
}

impl Instructions {
    /// Puts a configuration in force, unless it is older than the one in force.
    fn configure(&mut self, newer: Configuration) {
        let number = newer.number;
        let taken = self.configuration.send_if_modified(|current| {
            let known = current.as_ref().map(|known| known.number);
            let is_newer = known.is_none_or(|known| known < number);
            if is_newer {
                *current = Some(Arc::new(newer));
            }
            is_newer
        });
        if taken {
            log::info!(configuration = number; "configuration in force");
        }
    }
}

struct Registry(Arc<dyn Site>);

#[async_trait]
impl Source for Registry {
    type Item = Registration;

    async fn whole(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.0.workers().await
    }

    async fn since(&self, after: Version, wait: Duration) -> Result<Feed<Registration>, Error> {
        self.0.worker_feed(after, wait).await
    }
}

struct Registrations {
    workers: Sender<Option<Workers>>,
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

impl Sink for Registrations {
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
            // What has only been written again is no reason to copy the list. One that is new makes all of them count, in their
            // order: a worker whose registration goes and comes back as it was is there.
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
