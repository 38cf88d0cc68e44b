//! One connection's part of the registry.

use super::registry::{Phase, Shared};
use gotham::state::StateData;
use std::{
    fmt,
    panic::{RefUnwindSafe, UnwindSafe},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};
use tokio_util::sync::CancellationToken;

/// A connection; clones denote the same one.
#[derive(Clone)]
pub struct Connection(Arc<Open>);

/// The connection was closed to free what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

struct Open {
    shared: Arc<Shared>,
    id: u64,
    closed: CancellationToken,
    /// Bytes of the next request's head that have been received.
    head_bytes: AtomicUsize,
    is_receiving_head: AtomicBool,
    /// Whether the whole response has been handed to the connection's buffer.
    is_response_complete: AtomicBool,
}

// A lock of the registry is held for single operations only, so a panic leaves nothing half written.
impl UnwindSafe for Connection {}
impl RefUnwindSafe for Connection {}

impl StateData for Connection {}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Connection").field(&self.0.id).finish()
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.remove(self.id);
    }
}

impl Connection {
    pub(super) fn new(shared: Arc<Shared>, id: u64, closed: CancellationToken) -> Self {
        Self(Arc::new(Open {
            shared,
            id,
            closed,
            head_bytes: AtomicUsize::new(0),
            is_receiving_head: AtomicBool::new(true),
            is_response_complete: AtomicBool::new(false),
        }))
    }

    /// Takes memory for what is going to be received, and waits for it while memory is short.
    ///
    /// # Errors
    /// [`Closed`] if this connection is the one to give way.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Closed> {
        tokio::select! {
            biased;
            () = self.closed() => Err(Closed),
            () = self.0.shared.reserve(self.0.id, bytes) => Ok(()),
        }
    }

    /// The current request has been received completely; from now on the connection isn't closed to free
    /// memory until its response is sent.
    pub fn request_received(&self) {
        self.set_phase(Phase::Handling);
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.0.closed.cancelled().await;
    }

    /// A request's head has been received; more of it follows unless `is_complete`.
    pub(crate) fn head_received(&self, is_complete: bool) {
        self.0.is_receiving_head.store(false, Ordering::Relaxed);
        self.0.is_response_complete.store(false, Ordering::Relaxed);
        self.set_phase(if is_complete {
            Phase::Handling
        } else {
            Phase::Receiving
        });
    }

    /// A response of this length is going to be sent.
    pub(crate) fn response_begins(&self, bytes: usize) {
        self.0.shared.charge(self.0.id, bytes);
        self.set_phase(Phase::Sending);
    }

    /// The whole response has been handed to the connection's buffer.
    pub(crate) fn response_complete(&self) {
        self.0.is_response_complete.store(true, Ordering::Relaxed);
    }

    /// The buffer has been written to the socket; after the end of a response the next request begins.
    pub(super) fn flushed(&self) {
        if self.0.is_response_complete.swap(false, Ordering::Relaxed) {
            self.0.head_bytes.store(0, Ordering::Relaxed);
            self.0.is_receiving_head.store(true, Ordering::Relaxed);
            self.0.shared.release_request(self.0.id);
            self.set_phase(Phase::Idle);
        }
    }

    /// Bytes of an incomplete head that have been received.
    pub(super) fn head_bytes(&self) -> Option<usize> {
        let is_receiving = self.0.is_receiving_head.load(Ordering::Relaxed);
        is_receiving.then(|| self.0.head_bytes.load(Ordering::Relaxed))
    }

    /// Counts bytes that were read from the socket.
    pub(super) fn read(&self, bytes: usize) {
        if self.0.is_receiving_head.load(Ordering::Relaxed) {
            let before = self.0.head_bytes.fetch_add(bytes, Ordering::Relaxed);
            if before == 0 && bytes > 0 {
                self.set_phase(Phase::Receiving);
            }
        }
    }

    /// The client stops or resumes reading what is sent.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        self.0.shared.set_blocked(self.0.id, is_blocked);
    }

    fn set_phase(&self, phase: Phase) {
        self.0.shared.set_phase(self.0.id, phase);
    }
}
