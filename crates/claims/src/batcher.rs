//! A task that collects rows into batches, commits them, and retries while the store fails.

use crate::batch::{self, RowWrite, WriteResult};
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

/// One row to be written, and the handling of the result.
pub(crate) trait PendingWrite: Send + Sized + 'static {
    fn row_write(&self) -> RowWrite;

    /// Handles the result; returns `self` if the write has to be retried.
    fn handle_result(self, result: WriteResult) -> Option<Self>;

    /// Whether the result is no longer needed.
    fn is_obsolete(&self, now: Instant) -> bool;

    /// Ends it without a result.
    fn abandon(self);
}

/// Limits of a batcher.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    /// How long the first row of a batch waits for others.
    pub(crate) window: Duration,
    /// Most rows in a batch.
    pub(crate) max_rows: usize,
    /// Most batches in flight.
    pub(crate) max_in_flight: usize,
    /// Most unfinished writes.
    pub(crate) max_pending: usize,
    /// Timeout of a call to the table.
    pub(crate) call_timeout: Duration,
    /// First delay after a store failure; it doubles with each further one.
    pub(crate) base_delay: Duration,
    /// Longest delay.
    pub(crate) max_delay: Duration,
}

/// Handle of a batcher task.
#[derive(Debug)]
pub(crate) struct Batcher<W> {
    sender: mpsc::Sender<W>,
    pending: Arc<watch::Sender<usize>>,
    task: AbortHandle,
}

impl<W> Clone for Batcher<W> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            pending: Arc::clone(&self.pending),
            task: self.task.clone(),
        }
    }
}

impl<W: PendingWrite> Batcher<W> {
    pub(crate) fn spawn(table: Arc<dyn Table>, limits: BatchLimits, rng: ChaCha12Rng) -> Self {
        let (sender, receiver) = mpsc::channel(limits.max_pending);
        let pending = Arc::new(watch::Sender::new(0));
        let task = BatcherTask {
            table,
            limits,
            rng,
            pending: Arc::clone(&pending),
            queue: VecDeque::new(),
            keys_in_flight: BTreeSet::new(),
            in_flight: JoinSet::new(),
            next_batch_at: None,
            delay: limits.base_delay,
        };
        let task = tokio::spawn(task.run(receiver)).abort_handle();
        Self {
            sender,
            pending,
            task,
        }
    }

    /// Submits a write, or returns it if the batcher is full or has ended.
    ///
    /// The limit applies to the total in the channel, in the queue and in flight: with separate
    /// limits, a long outage would fill each of them.
    pub(crate) fn submit(&self, write: W) -> Result<(), W> {
        let has_capacity = self.pending.send_if_modified(|pending| {
            let has_capacity = *pending < self.sender.max_capacity();
            *pending += usize::from(has_capacity);
            has_capacity
        });
        if !has_capacity {
            return Err(write);
        }
        self.sender.try_send(write).map_err(|error| {
            self.pending.send_modify(|pending| *pending -= 1);
            error.into_inner()
        })
    }

    /// Number of unfinished writes.
    pub(crate) fn pending(&self) -> usize {
        *self.pending.borrow()
    }

    /// Waits until every write is finished.
    pub(crate) async fn wait_until_idle(&self) {
        let mut pending = self.pending.subscribe();
        // `self` holds the sender, so the wait cannot fail.
        let _: Result<_, _> = pending.wait_for(|pending| *pending == 0).await.map(drop);
    }

    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

type BatchResults<W> = Vec<(W, WriteResult)>;

struct BatcherTask<W> {
    table: Arc<dyn Table>,
    limits: BatchLimits,
    rng: ChaCha12Rng,
    pending: Arc<watch::Sender<usize>>,
    queue: VecDeque<W>,
    keys_in_flight: BTreeSet<Key>,
    in_flight: JoinSet<BatchResults<W>>,
    /// When the next batch may start; none while the queue is empty.
    next_batch_at: Option<Instant>,
    delay: Duration,
}

impl<W: PendingWrite> BatcherTask<W> {
    async fn run(mut self, mut receiver: mpsc::Receiver<W>) {
        let mut channel_open = true;
        while channel_open || !self.queue.is_empty() || !self.in_flight.is_empty() {
            let start = match self.next_batch_at {
                Some(at) if self.in_flight.len() < self.limits.max_in_flight => Some(at),
                _ => None,
            };
            tokio::select! {
                biased;
                Some(results) = self.in_flight.join_next() => self.finish_batch(results.unwrap_or_default()),
                write = receiver.recv(), if channel_open => match write {
                    Some(write) => self.enqueue(write),
                    None => channel_open = false,
                },
                () = sleep_or_never(start) => self.start_batch(),
            }
        }
    }

    fn enqueue(&mut self, write: W) {
        self.queue.push_back(write);
        let window = self.limits.window;
        self.next_batch_at
            .get_or_insert_with(|| Instant::now() + window);
    }

    /// Starts a batch of queued writes.
    ///
    /// Writes whose key is in flight stay in the queue: two writes of one key in one transaction
    /// would contradict each other, and the result of the later one depends on the earlier one.
    fn start_batch(&mut self) {
        self.next_batch_at = None;
        let now = Instant::now();
        let mut batch = BTreeMap::new();
        let mut remaining = VecDeque::new();
        for write in std::mem::take(&mut self.queue) {
            if write.is_obsolete(now) {
                write.abandon();
                self.finish_one();
                continue;
            }
            let item = write.row_write();
            let key_in_use =
                self.keys_in_flight.contains(&item.key) || batch.contains_key(&item.key);
            if key_in_use || batch.len() == self.limits.max_rows {
                remaining.push_back(write);
            } else {
                batch.insert(Key::clone(&item.key), (write, item));
            }
        }
        self.queue = remaining;
        if batch.is_empty() {
            return;
        }
        self.keys_in_flight.extend(batch.keys().cloned());
        let next = Instant::now() + self.limits.window;
        self.next_batch_at = (!self.queue.is_empty()).then_some(next);
        let table = Arc::clone(&self.table);
        let call_timeout = self.limits.call_timeout;
        self.in_flight.spawn(async move {
            let (writes, items): (Vec<W>, Vec<RowWrite>) = batch.into_values().unzip();
            let mut results = batch::commit(&table, &items, call_timeout).await;
            let unknown = WriteResult::Failed {
                may_have_applied: true,
            };
            writes
                .into_iter()
                .zip(items)
                .map(|(write, item)| (write, results.remove(&item.key).unwrap_or(unknown.clone())))
                .collect()
        });
    }

    fn finish_batch(&mut self, results: BatchResults<W>) {
        let failed = results.iter().any(|(_, result)| {
            matches!(
                result,
                WriteResult::Failed { .. } | WriteResult::UnreadConflict
            )
        });
        for (write, result) in results {
            self.keys_in_flight.remove(&write.row_write().key);
            match write.handle_result(result) {
                Some(again) => self.queue.push_front(again),
                None => self.finish_one(),
            }
        }
        if failed {
            self.back_off();
        } else {
            self.delay = self.limits.base_delay;
            if !self.queue.is_empty() {
                self.next_batch_at = Some(Instant::now());
            }
        }
    }

    /// Delays the next batch with exponential backoff and jitter, so that the entries do not all
    /// return to a recovering store at the same time.
    fn back_off(&mut self) {
        let jittered = self.delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.next_batch_at = Some(Instant::now() + jittered);
        self.delay = (self.delay * 2).min(self.limits.max_delay);
    }

    fn finish_one(&self) {
        self.pending.send_modify(|pending| *pending -= 1);
    }
}

async fn sleep_or_never(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
