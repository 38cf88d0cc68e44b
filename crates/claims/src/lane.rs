//! A task that gathers rows into groups, commits them, and tries again while the store fails.

use crate::group::{self, Fate, Item};
use primroseroute_platform::table::{Key, Table};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    future::pending,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep_until},
};

/// One row to be written, and what to do when its fate is known.
pub(crate) trait Job: Send + Sized + 'static {
    fn item(&self) -> Item;

    /// Takes the fate; returns the job where it has to be tried again.
    fn settle(self, fate: Fate) -> Option<Self>;

    /// Whether nobody waits for it any longer.
    fn is_over(&self, now: Instant) -> bool;

    /// Ends it without a fate.
    fn give_up(self);
}

/// How a lane paces itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// How long the first row of a group waits for others.
    pub(crate) window: Duration,
    /// Most rows of a group.
    pub(crate) rows: usize,
    /// Most groups in flight.
    pub(crate) flights: usize,
    /// Most rows that wait.
    pub(crate) waiting: usize,
    /// How long a call to the table may take.
    pub(crate) call: Duration,
    /// First pause after the store failed; it doubles.
    pub(crate) pause: Duration,
    /// Longest pause.
    pub(crate) longest_pause: Duration,
}

/// The handle of a lane.
#[derive(Debug)]
pub(crate) struct Lane<J> {
    jobs: mpsc::Sender<J>,
    load: Arc<watch::Sender<usize>>,
    task: AbortHandle,
}

impl<J> Clone for Lane<J> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
            load: Arc::clone(&self.load),
            task: self.task.clone(),
        }
    }
}

impl<J: Job> Lane<J> {
    pub(crate) fn spawn(table: Arc<dyn Table>, pace: Pace, random: ChaCha12Rng) -> Self {
        let (sender, receiver) = mpsc::channel(pace.waiting);
        let load = Arc::new(watch::Sender::new(0));
        let lane = Run {
            table,
            pace,
            random,
            load: Arc::clone(&load),
            queue: VecDeque::new(),
            busy: BTreeSet::new(),
            flights: JoinSet::new(),
            ready: None,
            pause: pace.pause,
        };
        let task = tokio::spawn(lane.run(receiver)).abort_handle();
        Self {
            jobs: sender,
            load,
            task,
        }
    }

    /// Hands over a job, or gives it back where the lane is full or ended.
    ///
    /// The bound counts jobs in the channel, in the queue and in flight together: each alone
    /// would let a long outage fill one after the other.
    pub(crate) fn push(&self, job: J) -> Result<(), J> {
        let room = self.load.send_if_modified(|load| {
            let room = *load < self.jobs.max_capacity();
            *load += usize::from(room);
            room
        });
        if !room {
            return Err(job);
        }
        self.jobs.try_send(job).map_err(|error| {
            self.load.send_modify(|load| *load -= 1);
            error.into_inner()
        })
    }

    /// Jobs that are not settled.
    pub(crate) fn load(&self) -> usize {
        *self.load.borrow()
    }

    /// Waits until every job is settled.
    pub(crate) async fn idle(&self) {
        let mut load = self.load.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _: Result<_, _> = load.wait_for(|load| *load == 0).await.map(drop);
    }

    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

type Flight<J> = Vec<(J, Fate)>;

struct Run<J> {
    table: Arc<dyn Table>,
    pace: Pace,
    random: ChaCha12Rng,
    load: Arc<watch::Sender<usize>>,
    queue: VecDeque<J>,
    busy: BTreeSet<Key>,
    flights: JoinSet<Flight<J>>,
    /// When the next group may start; none while nothing waits.
    ready: Option<Instant>,
    pause: Duration,
}

impl<J: Job> Run<J> {
    async fn run(mut self, mut jobs: mpsc::Receiver<J>) {
        let mut open = true;
        while open || !self.queue.is_empty() || !self.flights.is_empty() {
            let start = match self.ready {
                Some(at) if self.flights.len() < self.pace.flights => Some(at),
                _ => None,
            };
            tokio::select! {
                biased;
                Some(flight) = self.flights.join_next() => self.land(flight.unwrap_or_default()),
                job = jobs.recv(), if open => match job {
                    Some(job) => self.wait(job),
                    None => open = false,
                },
                () = sleep_or_never(start) => self.start(),
            }
        }
    }

    fn wait(&mut self, job: J) {
        self.queue.push_back(job);
        let window = self.pace.window;
        self.ready.get_or_insert_with(|| Instant::now() + window);
    }

    /// Starts a group of the rows that wait.
    ///
    /// A key that is in flight stays in the queue: two rows of one key in one transaction would
    /// contradict each other, and the later one is decided by what the earlier one leaves behind.
    fn start(&mut self) {
        self.ready = None;
        let now = Instant::now();
        let mut group = BTreeMap::new();
        let mut left = VecDeque::new();
        for job in std::mem::take(&mut self.queue) {
            if job.is_over(now) {
                job.give_up();
                self.done();
                continue;
            }
            let item = job.item();
            let taken = self.busy.contains(&item.key) || group.contains_key(&item.key);
            if taken || group.len() == self.pace.rows {
                left.push_back(job);
            } else {
                group.insert(Key::clone(&item.key), (job, item));
            }
        }
        self.queue = left;
        if group.is_empty() {
            return;
        }
        self.busy.extend(group.keys().cloned());
        let next = Instant::now() + self.pace.window;
        self.ready = (!self.queue.is_empty()).then_some(next);
        let table = Arc::clone(&self.table);
        let call = self.pace.call;
        self.flights.spawn(async move {
            let (jobs, items): (Vec<J>, Vec<Item>) = group.into_values().unzip();
            let mut fates = group::commit(&table, &items, call).await;
            let lost = Fate::Failed {
                may_have_applied: true,
            };
            jobs.into_iter()
                .zip(items)
                .map(|(job, item)| (job, fates.remove(&item.key).unwrap_or(lost.clone())))
                .collect()
        });
    }

    fn land(&mut self, flight: Flight<J>) {
        let failed = flight
            .iter()
            .any(|(_, fate)| matches!(fate, Fate::Failed { .. } | Fate::Taken));
        for (job, fate) in flight {
            self.busy.remove(&job.item().key);
            match job.settle(fate) {
                Some(again) => self.queue.push_front(again),
                None => self.done(),
            }
        }
        if failed {
            self.back_off();
        } else {
            self.pause = self.pace.pause;
            if !self.queue.is_empty() {
                self.ready = Some(Instant::now());
            }
        }
    }

    /// Waits before the next group, longer each time and jittered, so that the entries do not
    /// return to a store that recovers all at the same moment.
    fn back_off(&mut self) {
        let jittered = self.pause.mul_f64(self.random.random_range(0.5..1.0));
        self.ready = Some(Instant::now() + jittered);
        self.pause = (self.pause * 2).min(self.pace.longest_pause);
    }

    fn done(&self) {
        self.load.send_modify(|load| *load -= 1);
    }
}

async fn sleep_or_never(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
