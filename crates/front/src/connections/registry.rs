//! The shared memory, and the choice of connections to close.

use super::Connection;
use parking_lot::Mutex;
use std::{cmp::Reverse, collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::Semaphore, time::Instant};
use tokio_util::sync::CancellationToken;

/// Memory of a connection with no request: its read buffer, what its socket has received, and its task.
const CONNECTION_BYTES: usize = 32 << 10;

/// Divisor of the limit that gives what is freed beyond the shortage, so that connections are not
/// searched for each reservation.
const SPARE_DIVISOR: usize = 16;

/// Least time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a unit of memory. A semaphore counts fewer permits than a process may have bytes.
const UNIT_BYTES: usize = 1 << 10;

/// Why a connection is closed before its client closes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Memory is short.
    Memory,
    /// Its listener has as many connections as it may have.
    Connections,
    /// The server stops, and the client keeps it waiting.
    Stop,
}

impl Reason {
    /// The reason as a label of a metric.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Stop => "stop",
        }
    }
}

/// Counts connections that are closed.
pub trait Observer: Send + Sync + fmt::Debug {
    /// This many connections are closed.
    fn connections_closed(&self, reason: Reason, count: u64);
}

/// What the connections of a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Open connections.
    pub connections: usize,
    /// Bytes that they hold.
    pub bytes: usize,
    /// Bytes that they may hold.
    pub limit: usize,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a request.
    Idle,
    /// A request has been received in part.
    Receiving,
    /// A request has been received completely and has no response yet.
    Handling,
    /// A response is being sent.
    Sending,
}

/// An open connection.
struct Record {
    listener: SocketAddr,
    client: SocketAddr,
    units: usize,
    phase: Phase,
    /// Begin of the phase.
    since: Instant,
    /// Since when the client has read nothing of what is sent, if that is so.
    blocked_since: Option<Instant>,
    closed: CancellationToken,
    is_closing: bool,
}

impl Record {
    /// Since when the client has kept the process waiting, if it does.
    fn waiting_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle | Phase::Receiving => Some(self.since),
            Phase::Handling => None,
            Phase::Sending => self.blocked_since.map(|since| since.max(self.since)),
        }
    }

    /// Memory times the time for which it has been held; `None` if the connection isn't to be closed.
    fn cost(&self, now: Instant) -> Option<u128> {
        let since = self.waiting_since().filter(|_since| !self.is_closing)?;
        Some(self.units as u128 * (now - since).as_micros())
    }
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, Record>,
    next_id: u64,
    /// Units beyond the limit, held by what existed before it was charged.
    excess: usize,
    /// Units that reservations wait for.
    awaited: usize,
    /// Units of connections that are being closed.
    closing: usize,
    log: Log,
}

impl State {
    fn hold(&mut self, id: u64, units: usize) {
        let Some(record) = self.connections.get_mut(&id) else {
            return;
        };
        record.units += units;
        if record.is_closing {
            self.closing += units;
        }
    }
}

/// Closed connections since the last log line.
#[derive(Default)]
struct Log {
    closed: u64,
    units: usize,
    written_at: Option<Instant>,
}

pub(super) struct Shared {
    /// Units that may be held.
    limit: usize,
    /// Units that aren't held.
    memory: Semaphore,
    state: Mutex<State>,
    observer: Option<Arc<dyn Observer>>,
}

/// The connections of all listeners of a process; clones share them.
#[derive(Clone)]
pub struct Registry(Arc<Shared>);

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Registry").field(&self.usage()).finish()
    }
}

impl Registry {
    /// Opens a registry whose connections may hold `bytes` together.
    pub fn open(bytes: usize, observer: Option<Arc<dyn Observer>>) -> Self {
        let limit = units(bytes).clamp(1, Semaphore::MAX_PERMITS);
        Self(Arc::new(Shared {
            limit,
            memory: Semaphore::new(limit),
            state: Mutex::default(),
            observer,
        }))
    }

    /// What the connections hold now.
    pub fn usage(&self) -> Usage {
        let state = self.0.state.lock();
        let held: usize = state.connections.values().map(|record| record.units).sum();
        Usage {
            connections: state.connections.len(),
            bytes: held * UNIT_BYTES,
            limit: self.0.limit * UNIT_BYTES,
        }
    }

    /// Adds a connection; it is removed with the last clone of its handle.
    pub(crate) fn add(&self, listener: SocketAddr, client: SocketAddr) -> Connection {
        let closed = CancellationToken::new();
        let record = Record {
            listener,
            client,
            units: 0,
            phase: Phase::Idle,
            since: Instant::now(),
            blocked_since: None,
            closed: closed.clone(),
            is_closing: false,
        };
        let mut state = self.0.state.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.connections.insert(id, record);
        drop(state);
        self.0.charge(id, CONNECTION_BYTES);
        Connection::new(Arc::clone(&self.0), id, closed)
    }

    /// Closes a connection of a listener whose client keeps it waiting, if there is one.
    pub(crate) fn make_room(&self, listener: SocketAddr) {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let of_listener = state.connections.iter();
        let of_listener = of_listener.filter(|(_id, record)| record.listener == listener);
        let costs = of_listener.filter_map(|(id, record)| Some((record.cost(now)?, *id)));
        let victim = costs.max().map(|(_cost, id)| id);
        self.0.close(&mut state, victim, Reason::Connections, now);
    }

    /// Closes the connections of a listener with an incomplete request, and those whose clients haven't read
    /// anything of their response for `stall`.
    pub(crate) fn close_waiting(&self, listener: SocketAddr, stall: Duration) {
        let now = Instant::now();
        let is_waiting = |record: &Record| match record.phase {
            Phase::Receiving => true,
            Phase::Sending => record
                .waiting_since()
                .is_some_and(|since| now - since >= stall),
            Phase::Idle | Phase::Handling => false,
        };
        let mut state = self.0.state.lock();
        let of_listener = state.connections.iter();
        let of_listener = of_listener.filter(|(_id, record)| record.listener == listener);
        let victims: Vec<u64> = of_listener
            .filter(|(_id, record)| !record.is_closing && is_waiting(record))
            .map(|(id, _record)| *id)
            .collect();
        self.0.close(&mut state, victims, Reason::Stop, now);
    }
}

/// Rounds up to whole units.
fn units(bytes: usize) -> usize {
    bytes.div_ceil(UNIT_BYTES)
}

/// A reservation that waits; what it waits for is forgotten when it is dropped.
struct Waiting<'a> {
    shared: &'a Shared,
    units: usize,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.state.lock().awaited -= self.units;
    }
}

impl Shared {
    /// Takes memory for what a connection is going to hold, and waits for it while memory is short.
    ///
    /// At most half of the limit is taken at once: more would never be free beside other connections.
    pub(super) async fn reserve(&self, id: u64, bytes: usize) {
        let units = units(bytes).min(self.limit / 2);
        let permits = u32::try_from(units).unwrap_or(u32::MAX);
        if let Ok(permit) = self.memory.try_acquire_many(permits) {
            permit.forget();
        } else {
            let waiting = self.wait(units);
            if let Ok(permit) = self.memory.acquire_many(permits).await {
                permit.forget();
            }
            drop(waiting);
        }
        self.state.lock().hold(id, units);
    }

    fn wait(&self, units: usize) -> Waiting<'_> {
        let mut state = self.state.lock();
        state.awaited += units;
        self.relieve(&mut state);
        drop(state);
        Waiting {
            shared: self,
            units,
        }
    }

    /// Counts memory that a connection holds already.
    pub(super) fn charge(&self, id: u64, bytes: usize) {
        let units = units(bytes);
        let mut state = self.state.lock();
        let taken = self.memory.forget_permits(units);
        state.excess += units - taken;
        state.hold(id, units);
        self.relieve(&mut state);
    }

    /// Releases what a connection holds beyond its buffers.
    pub(super) fn release_request(&self, id: u64) {
        let mut state = self.state.lock();
        let Some(record) = state.connections.get_mut(&id) else {
            return;
        };
        let kept = record.units.min(units(CONNECTION_BYTES));
        let released = record.units - kept;
        record.units = kept;
        if record.is_closing {
            state.closing -= released;
        }
        self.release(&mut state, released);
    }

    pub(super) fn set_phase(&self, id: u64, phase: Phase) {
        let mut state = self.state.lock();
        let Some(record) = state.connections.get_mut(&id) else {
            return;
        };
        if record.phase != phase {
            record.phase = phase;
            record.since = Instant::now();
            if record.waiting_since().is_some() {
                self.relieve(&mut state);
            }
        }
    }

    /// The client stops or resumes reading what is sent.
    pub(super) fn set_blocked(&self, id: u64, is_blocked: bool) {
        let mut state = self.state.lock();
        let Some(record) = state.connections.get_mut(&id) else {
            return;
        };
        record.blocked_since = is_blocked.then(Instant::now);
        if record.waiting_since().is_some() {
            self.relieve(&mut state);
        }
    }

    pub(super) fn remove(&self, id: u64) {
        let mut state = self.state.lock();
        if let Some(record) = state.connections.remove(&id) {
            if record.is_closing {
                state.closing -= record.units;
            }
            self.release(&mut state, record.units);
        }
    }

    fn release(&self, state: &mut State, units: usize) {
        let paid = state.excess.min(units);
        state.excess -= paid;
        self.memory.add_permits(units - paid);
    }

    /// Closes connections while more memory is wanted than is free or about to be.
    fn relieve(&self, state: &mut State) {
        let wanted = state.awaited + state.excess;
        let shortage = wanted.saturating_sub(self.memory.available_permits() + state.closing);
        if shortage == 0 {
            return;
        }
        let now = Instant::now();
        let connections = state.connections.iter();
        let mut by_cost: Vec<(Reverse<u128>, u64, usize)> = connections
            .filter_map(|(id, record)| Some((Reverse(record.cost(now)?), *id, record.units)))
            .collect();
        by_cost.sort_unstable();
        let highest = by_cost.first().map_or(0, |(Reverse(cost), ..)| *cost);
        let mut freed = 0;
        let victims = by_cost.into_iter().map_while(|(Reverse(cost), id, units)| {
            // Beyond the shortage, only connections go that hold about as much for as long.
            let is_spare = cost >= highest / 2 && freed < shortage + self.limit / SPARE_DIVISOR;
            let is_victim = freed < shortage || is_spare;
            freed += units;
            is_victim.then_some(id)
        });
        let victims: Vec<u64> = victims.collect();
        self.close(state, victims, Reason::Memory, now);
    }

    fn close(
        &self,
        state: &mut State,
        victims: impl IntoIterator<Item = u64>,
        reason: Reason,
        now: Instant,
    ) {
        let mut first = None;
        let mut count = 0;
        for id in victims {
            let Some(record) = state.connections.get_mut(&id) else {
                continue;
            };
            record.is_closing = true;
            record.closed.cancel();
            state.closing += record.units;
            state.log.closed += 1;
            state.log.units += record.units;
            count += 1;
            first.get_or_insert(id);
        }
        let Some(record) = first.and_then(|id| state.connections.get(&id)) else {
            return;
        };
        if let Some(observer) = &self.observer {
            observer.connections_closed(reason, count);
        }
        let log = &mut state.log;
        let is_due = log.written_at.is_none_or(|at| now - at >= LOG_INTERVAL);
        if is_due {
            let waiting_since = record.waiting_since().unwrap_or(record.since);
            log::warn!(
                reason = reason.as_str(),
                closed = log.closed,
                closed_bytes = log.units * UNIT_BYTES,
                client:% = record.client,
                listener:% = record.listener,
                phase:? = record.phase,
                held_bytes = record.units * UNIT_BYTES,
                held_ms = u64::try_from((now - waiting_since).as_millis()).unwrap_or(u64::MAX),
                limit_bytes = self.limit * UNIT_BYTES;
                "connections closed whose clients keep the entry waiting"
            );
            *log = Log {
                written_at: Some(now),
                ..Log::default()
            };
        }
    }
}
