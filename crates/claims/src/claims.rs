//! The claims of one entry.

use crate::{
    batch::Precondition,
    batcher::{BatchLimits, Batcher},
    clock::Clock,
    insert::{Insert, Reply},
    outcome::OutcomeWriter,
    permit::Permit,
    recent::RecentGrants,
    request::ClaimRequest,
    response::StoredResponse,
    row::{ClaimRow, ClaimState},
};
use parking_lot::Mutex;
use primroseroute_domain::outcome::Code;
use primroseroute_platform::table::{Key, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};
use uuid::Uuid;

/// Random seed of one start of an entry; it must come from the operating system.
///
/// Operation ids are generated from it. Two entries with the same seed would mistake each other's
/// rows for their own and could both run a request; 256 random bits make that practically
/// impossible.
pub type Seed = [u8; 32];

/// Limits and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a claim waits for others to join its batch.
    pub batch_window: Duration,
    /// Most rows in one batch.
    pub max_batch_rows: usize,
    /// Most batches in flight.
    pub max_in_flight: usize,
    /// Most pending claims, and most pending outcomes.
    pub max_pending: usize,
    /// Timeout of one call to the store.
    pub call_timeout: Duration,
    /// Longest wait of a claim while the store fails, within the request's own timeout.
    pub claim_timeout: Duration,
    /// Largest response that is stored for repeats, in bytes.
    pub max_response_bytes: usize,
    /// Total size of responses that are waiting to be written, in bytes.
    pub max_pending_response_bytes: usize,
    /// How long writing an outcome is retried; after that, repeats are answered "unknown".
    pub outcome_write_timeout: Duration,
    /// Number of recently granted keys that the entry remembers for store outages.
    pub remembered_keys: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            batch_window: Duration::from_millis(1),
            max_batch_rows: 64,
            max_in_flight: 4,
            max_pending: 4096,
            call_timeout: Duration::from_secs(2),
            claim_timeout: Duration::from_secs(2),
            max_response_bytes: 64 * 1024,
            max_pending_response_bytes: 16 * 1024 * 1024,
            outcome_write_timeout: Duration::from_secs(15 * 60),
            remembered_keys: 16 * 1024,
        }
    }
}

/// First delay after a store failure; short, so that brief failures add little latency.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest delay between retries, so that a store's recovery is noticed within a second.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long after a request's timeout its outcome may still be written; until then, a repeat is
/// told "in progress" and afterwards "unknown".
const OUTCOME_GRACE: Duration = Duration::from_secs(5);

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim's row is committed; the request may now be sent, once.
    Granted(Permit),
    /// The request has already completed; this is its first response.
    Replay(StoredResponse),
    /// The request is in progress.
    InProgress,
    /// The request may have run; its response is not known.
    OutcomeUnknown,
    /// The request completed; its response was too large to store.
    NotKept,
    /// The key was used for another request.
    KeyReused,
    /// The store was not available in time: this attempt did not and will not run.
    Unavailable,
}

impl ClaimOutcome {
    /// The result code for the caller; none for a grant or a stored response.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Granted(_) | Self::Replay(_) => None,
            Self::InProgress => Some(Code::KeyInProgress),
            Self::OutcomeUnknown => Some(Code::KeyOutcomeUnknown),
            Self::NotKept => Some(Code::AnswerNotKept),
            Self::KeyReused => Some(Code::KeyReused),
            Self::Unavailable => Some(Code::ClaimUnavailable),
        }
    }
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims waiting for the store.
    pub claims_waiting: usize,
    /// Outcomes waiting to be written.
    pub outcomes_waiting: usize,
    /// Outcomes that could not be written since the start: their repeats are answered "unknown".
    pub outcomes_lost: u64,
}

/// Claims of one entry, stored in the platform's table.
#[derive(Clone, Debug)]
pub struct Claims {
    options: Options,
    clock: Arc<dyn Clock>,
    operation_ids: Arc<Mutex<ChaCha12Rng>>,
    inserts: Batcher<Insert>,
    outcomes: OutcomeWriter,
    recent_grants: Arc<RecentGrants>,
}

impl Claims {
    /// Starts the tasks that write claims and outcomes to `table`.
    ///
    /// # Panics
    /// If called outside a tokio runtime.
    pub fn spawn(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        options: Options,
        seed: Seed,
    ) -> Self {
        let mut rng = ChaCha12Rng::from_seed(seed);
        let limits = BatchLimits {
            window: options.batch_window,
            max_rows: options.max_batch_rows,
            max_in_flight: options.max_in_flight,
            max_pending: options.max_pending,
            call_timeout: options.call_timeout,
            base_delay: BASE_RETRY_DELAY,
            max_delay: MAX_RETRY_DELAY,
        };
        let outcomes = OutcomeWriter {
            batcher: Batcher::spawn(Arc::clone(&table), limits, ChaCha12Rng::from_rng(&mut rng)),
            write_timeout: options.outcome_write_timeout,
            max_response_bytes: options.max_response_bytes,
            max_pending_bytes: options.max_pending_response_bytes,
            reserved_bytes: Arc::new(AtomicUsize::new(0)),
            lost_count: Arc::new(AtomicU64::new(0)),
        };
        Self {
            inserts: Batcher::spawn(table, limits, ChaCha12Rng::from_rng(&mut rng)),
            recent_grants: Arc::new(RecentGrants::new(options.remembered_keys)),
            operation_ids: Arc::new(Mutex::new(rng)),
            outcomes,
            clock,
            options,
        }
    }

    /// Claims the key of `request`, whose caller waits for at most `within`.
    ///
    /// Dropping the future is safe: a row that has been committed in the meantime is released.
    pub async fn claim(&self, request: &ClaimRequest, within: Duration) -> ClaimOutcome {
        let key = request.row_key();
        let deadline = Instant::now() + within.min(self.options.claim_timeout);
        let (reply, receiver) = oneshot::channel();
        let insert = self.insert(request, Key::clone(&key), within, deadline, reply);
        let row_unread = Arc::clone(&insert.row_unread);
        if self.inserts.submit(insert).is_err() {
            return self.unavailable(request, &key, false);
        }
        match timeout_at(deadline, receiver).await {
            Ok(Ok(Reply::Granted(permit))) => {
                self.recent_grants.insert(key, request.fingerprint.clone());
                ClaimOutcome::Granted(permit.accept())
            }
            Ok(Ok(Reply::Replay(response))) => ClaimOutcome::Replay(response),
            Ok(Ok(Reply::InProgress)) => ClaimOutcome::InProgress,
            Ok(Ok(Reply::OutcomeUnknown)) => ClaimOutcome::OutcomeUnknown,
            Ok(Ok(Reply::NotKept)) => ClaimOutcome::NotKept,
            Ok(Ok(Reply::KeyReused)) => ClaimOutcome::KeyReused,
            Ok(Ok(Reply::Unavailable) | Err(_)) | Err(_) => {
                self.unavailable(request, &key, row_unread.load(Ordering::Relaxed))
            }
        }
    }

    /// Whether an earlier attempt under the request's key may have run, without asking the store.
    ///
    /// True if the caller says so or this entry granted the key. If such a request is refused
    /// before it was claimed, the caller must not be told "not run": it asks for the outcome under
    /// its key, not for that of this attempt.
    pub fn is_repeat(&self, request: &ClaimRequest) -> bool {
        request.repeat || self.recent_grants.get(&request.row_key()).is_some()
    }

    fn insert(
        &self,
        request: &ClaimRequest,
        key: Key,
        within: Duration,
        deadline: Instant,
        reply: oneshot::Sender<Reply>,
    ) -> Insert {
        let wall_time = self.clock.now();
        let row = ClaimRow {
            operation: self.next_operation_id(),
            fingerprint: request.fingerprint.clone(),
            claimed: wall_time,
            until: wall_time.after(within + OUTCOME_GRACE),
            state: ClaimState::Claimed,
        };
        Insert {
            key,
            row,
            precondition: Precondition::Absent,
            unresolved: false,
            row_unread: Arc::new(AtomicBool::new(false)),
            deadline,
            wall_time,
            reply,
            outcomes: self.outcomes.clone(),
            recent_grants: Arc::clone(&self.recent_grants),
        }
    }

    fn next_operation_id(&self) -> Uuid {
        let mut bytes = [0; 16];
        self.operation_ids.lock().fill_bytes(&mut bytes);
        uuid::Builder::from_random_bytes(bytes).into_uuid()
    }

    /// The result if the store could not be asked.
    ///
    /// This attempt will certainly not run. But a caller that repeats a key asks for the outcome of
    /// its original request, and "not run" would be wrong if an earlier attempt ran. So a request
    /// is answered "unknown" if it is marked as a repeat by the caller, if the entry remembers its
    /// key, or if its row exists but could not be read.
    fn unavailable(&self, request: &ClaimRequest, key: &Key, row_unread: bool) -> ClaimOutcome {
        match self.recent_grants.get(key) {
            Some(granted) if granted != request.fingerprint => ClaimOutcome::KeyReused,
            Some(_) => ClaimOutcome::OutcomeUnknown,
            None if request.repeat || row_unread => ClaimOutcome::OutcomeUnknown,
            None => ClaimOutcome::Unavailable,
        }
    }

    /// Waits until every outcome is written, at most `within`; returns the number of those left.
    pub async fn drain(&self, within: Duration) -> usize {
        // Claims first: a claim that is abandoned may still have a row to release.
        let settled = async {
            self.inserts.wait_until_idle().await;
            self.outcomes.batcher.wait_until_idle().await;
        };
        let _: Result<(), _> = timeout(within, settled).await;
        self.inserts.pending() + self.outcomes.batcher.pending()
    }

    /// Stops immediately, as a crash would: nothing that is pending is written.
    pub fn abort(&self) {
        self.inserts.abort();
        self.outcomes.batcher.abort();
    }

    /// Counts for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            claims_waiting: self.inserts.pending(),
            outcomes_waiting: self.outcomes.batcher.pending(),
            outcomes_lost: self.outcomes.lost_count.load(Ordering::Relaxed),
        }
    }
}
