//! The claims of one entry.

use crate::{
    answer::Answer,
    clock::Clock,
    group::Expect,
    insert::{Insert, Reply},
    lane::{Lane, Pace},
    permit::Permit,
    recent::Recent,
    record::Records,
    request::Request,
    row::{Row, State},
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

/// Randomness of one entry's start; it must come from the operating system.
///
/// Operation ids are drawn from it. Two entries with one seed would take each other's rows for
/// their own and could both run a request; 256 random bits make that impossible in practice.
pub type Seed = [u8; 32];

/// Limits and times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a claim waits for others to share its transaction.
    pub window: Duration,
    /// Most claims of one transaction.
    pub group: usize,
    /// Most transactions of claims in flight.
    pub flights: usize,
    /// Most claims, and most outcomes, that wait for the store.
    pub waiting: usize,
    /// How long one call to the store may take.
    pub call: Duration,
    /// Longest wait of a claim while the store fails, within its request's own time.
    pub patience: Duration,
    /// Largest answer that is kept for repeats, in bytes.
    pub answer_limit: usize,
    /// Bytes of answers that may wait to be written.
    pub answers_limit: usize,
    /// How long an outcome is tried before it is given up and repeats are answered "unknown".
    pub keep_trying: Duration,
    /// Granted keys that the entry remembers for store outages.
    pub recent: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(1),
            group: 64,
            flights: 4,
            waiting: 4096,
            call: Duration::from_secs(2),
            patience: Duration::from_secs(2),
            answer_limit: 64 * 1024,
            answers_limit: 16 * 1024 * 1024,
            keep_trying: Duration::from_secs(15 * 60),
            recent: 16 * 1024,
        }
    }
}

/// First pause after the store failed: a blip costs a caller little.
const PAUSE: Duration = Duration::from_millis(20);

/// Longest pause: a store that is back is noticed within a second.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// After a request's time is up, how long its outcome may take to be written before a repeat is
/// told "unknown" in place of "in progress".
const GRACE: Duration = Duration::from_secs(5);

/// What became of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The claim's row stands; the request may now be sent, once.
    Granted(Permit),
    /// The request completed before; this is its first answer.
    Repeat(Answer),
    /// The request is in progress.
    InProgress,
    /// The request may have run; its answer is not known.
    OutcomeUnknown,
    /// The request completed; its answer was too large to keep.
    NotKept,
    /// The key stands for another request.
    KeyReused,
    /// The store could not be used in time: this attempt did not and will not run.
    Unavailable,
}

impl Claim {
    /// The result code of the caller's answer; none for a grant or the first answer.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Granted(_) | Self::Repeat(_) => None,
            Self::InProgress => Some(Code::KeyInProgress),
            Self::OutcomeUnknown => Some(Code::KeyOutcomeUnknown),
            Self::NotKept => Some(Code::AnswerNotKept),
            Self::KeyReused => Some(Code::KeyReused),
            Self::Unavailable => Some(Code::ClaimUnavailable),
        }
    }
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims that wait for the store.
    pub claims_waiting: usize,
    /// Outcomes that wait to be written.
    pub outcomes_waiting: usize,
    /// Outcomes that were given up: repeats of these are answered "unknown".
    pub outcomes_lost: u64,
}

/// The claims of one entry, over the platform's table.
#[derive(Clone, Debug)]
pub struct Claims {
    options: Options,
    clock: Arc<dyn Clock>,
    operations: Arc<Mutex<ChaCha12Rng>>,
    inserts: Lane<Insert>,
    records: Records,
    recent: Arc<Recent>,
}

impl Claims {
    /// Starts the tasks that write claims and outcomes to `table`.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    pub fn spawn(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        options: Options,
        seed: Seed,
    ) -> Self {
        let mut random = ChaCha12Rng::from_seed(seed);
        let pace = Pace {
            window: options.window,
            rows: options.group,
            flights: options.flights,
            waiting: options.waiting,
            call: options.call,
            pause: PAUSE,
            longest_pause: LONGEST_PAUSE,
        };
        let records = Records {
            lane: Lane::spawn(Arc::clone(&table), pace, ChaCha12Rng::from_rng(&mut random)),
            keep_trying: options.keep_trying,
            answer_limit: options.answer_limit,
            answers_limit: options.answers_limit,
            used: Arc::new(AtomicUsize::new(0)),
            lost: Arc::new(AtomicU64::new(0)),
        };
        Self {
            inserts: Lane::spawn(table, pace, ChaCha12Rng::from_rng(&mut random)),
            recent: Arc::new(Recent::new(options.recent)),
            operations: Arc::new(Mutex::new(random)),
            records,
            clock,
            options,
        }
    }

    /// Claims `request`, which has `within` left before its caller gives up.
    ///
    /// Dropping the future is safe: a row that was committed meanwhile is released.
    pub async fn claim(&self, request: &Request, within: Duration) -> Claim {
        let key = request.row();
        let give_up = Instant::now() + within.min(self.options.patience);
        let (reply, answer) = oneshot::channel();
        let insert = self.insert(request, Key::clone(&key), within, give_up, reply);
        let taken = Arc::clone(&insert.taken);
        if self.inserts.push(insert).is_err() {
            return self.unavailable(request, &key, false);
        }
        match timeout_at(give_up, answer).await {
            Ok(Ok(Reply::Grant(grant))) => {
                self.recent.insert(key, request.fingerprint.clone());
                Claim::Granted(grant.accept())
            }
            Ok(Ok(Reply::Repeat(first))) => Claim::Repeat(first),
            Ok(Ok(Reply::InProgress)) => Claim::InProgress,
            Ok(Ok(Reply::OutcomeUnknown)) => Claim::OutcomeUnknown,
            Ok(Ok(Reply::NotKept)) => Claim::NotKept,
            Ok(Ok(Reply::KeyReused)) => Claim::KeyReused,
            Ok(Ok(Reply::Unavailable) | Err(_)) | Err(_) => {
                self.unavailable(request, &key, taken.load(Ordering::Relaxed))
            }
        }
    }

    /// Whether an earlier attempt under the request's key may have run, without asking the store.
    ///
    /// The caller says so, or this entry granted the key. A request that is refused before it was
    /// claimed must then not be told "not run": the caller asks about its key, not about this try.
    pub fn is_repeat(&self, request: &Request) -> bool {
        request.repeat || self.recent.get(&request.row()).is_some()
    }

    fn insert(
        &self,
        request: &Request,
        key: Key,
        within: Duration,
        give_up: Instant,
        reply: oneshot::Sender<Reply>,
    ) -> Insert {
        let wall = self.clock.now();
        let row = Row {
            operation: self.operation(),
            fingerprint: request.fingerprint.clone(),
            claimed: wall,
            until: wall.after(within + GRACE),
            state: State::Claimed,
        };
        Insert {
            key,
            row,
            expect: Expect::Absent,
            unresolved: false,
            taken: Arc::new(AtomicBool::new(false)),
            give_up,
            wall,
            reply,
            records: self.records.clone(),
            recent: Arc::clone(&self.recent),
        }
    }

    fn operation(&self) -> Uuid {
        let mut bytes = [0; 16];
        self.operations.lock().fill_bytes(&mut bytes);
        uuid::Builder::from_random_bytes(bytes).into_uuid()
    }

    /// The answer where the store could not be asked.
    ///
    /// This attempt is proven not to run. But a caller that repeats a key asks what became of its
    /// request, and "not run" would be a lie if an earlier attempt ran; so a repeat, marked by the
    /// caller, remembered here, or known by a row that stands and could not be read, is answered
    /// "unknown".
    fn unavailable(&self, request: &Request, key: &Key, taken: bool) -> Claim {
        match self.recent.get(key) {
            Some(first) if first != request.fingerprint => Claim::KeyReused,
            Some(_) => Claim::OutcomeUnknown,
            None if request.repeat || taken => Claim::OutcomeUnknown,
            None => Claim::Unavailable,
        }
    }

    /// Waits until every outcome is written, at most `within`; returns how many are not.
    pub async fn drain(&self, within: Duration) -> usize {
        // Claims first: a claim that is given up may still have a row to release.
        let settled = async {
            self.inserts.idle().await;
            self.records.lane.idle().await;
        };
        let _: Result<(), _> = timeout(within, settled).await;
        self.inserts.load() + self.records.lane.load()
    }

    /// Ends at once, as a crash would: nothing that waits is written.
    pub fn abort(&self) {
        self.inserts.abort();
        self.records.lane.abort();
    }

    /// Counts for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            claims_waiting: self.inserts.load(),
            outcomes_waiting: self.records.lane.load(),
            outcomes_lost: self.records.lost.load(Ordering::Relaxed),
        }
    }
}
