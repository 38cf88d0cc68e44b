//! Adaptive backoff for throttled reads.

use parking_lot::Mutex;
use primroseroute_domain::work::Name;
use primroseroute_platform::Error;
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Delay after the first throttled read.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the delay for reads that all entries make. It limits how late an entry learns of a new configuration and of
/// owners that have left.
pub const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// Upper bound of the delay for reads that few entries make at the same time.
const PRIORITY_MAX_DELAY: Duration = Duration::from_millis(100);

/// Each successful read shortens the delay by one part in this many.
const DECAY_DIVISOR: u32 = 16;

/// How long a throttled read is retried: about as long as the timeout of a call that gets no answer.
const RETRY_WINDOW: Duration = Duration::from_secs(1);

/// Backoff state of one entry's reads, shared by clones.
#[derive(Clone, Debug)]
pub struct Backoff {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// What is read; a key of log lines.
    name: Name,
    max_delay: Duration,
    delay: Duration,
    /// Whether the delay has reached `max_delay` since it was last zero.
    at_max: bool,
    /// When the delay last grew.
    grown_at: Option<Instant>,
    /// Throttled feeds, with the earliest time of their next call.
    throttled_feeds: BTreeMap<Name, Instant>,
    rng: ChaCha8Rng,
}

impl State {
    /// Records a throttled call and returns a random delay of up to the current one.
    ///
    /// The delay grows at most once within its own length: concurrent calls that are throttled together are one sign of
    /// overload, not several.
    fn record_throttled(&mut self) -> Duration {
        let recently_grown = self.grown_at.is_some_and(|at| at.elapsed() < self.delay);
        if !recently_grown {
            self.delay = (self.delay * 2).clamp(INITIAL_DELAY, self.max_delay);
            self.grown_at = Some(Instant::now());
        }
        if self.delay == self.max_delay && !std::mem::replace(&mut self.at_max, true) {
            log::warn!(reads = &*self.name; "reads are throttled; backoff is at its maximum");
        }
        self.rng.random_range(Duration::ZERO..=self.delay)
    }

    /// Records a successful call.
    fn record_success(&mut self) {
        self.delay -= self.delay / DECAY_DIVISOR;
        if self.delay < INITIAL_DELAY / 2 {
            self.delay = Duration::ZERO;
            if std::mem::take(&mut self.at_max) {
                log::info!(reads = &*self.name; "reads are no longer throttled");
            }
        }
    }
}

impl Backoff {
    /// Creates a backoff with no initial delay. `name` identifies the reads in log lines; `seed` seeds the jitter and must differ
    /// between entries.
    pub fn new(name: &str, seed: u64) -> Self {
        Self::with_max_delay(MAX_DELAY, name, seed)
    }

    /// Creates a backoff with a lower maximum delay, for reads that few entries make at the same time and that take precedence
    /// over reads that every entry makes.
    pub fn high_priority(name: &str, seed: u64) -> Self {
        Self::with_max_delay(PRIORITY_MAX_DELAY, name, seed)
    }

    fn with_max_delay(max_delay: Duration, name: &str, seed: u64) -> Self {
        let state = State {
            name: name.into(),
            max_delay,
            delay: Duration::ZERO,
            at_max: false,
            grown_at: None,
            throttled_feeds: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Reads by `call` and retries with backoff while the store throttles it.
    ///
    /// # Errors
    /// Those of the call; [`Error::Throttled`] after a final delay if the store still throttles it after `RETRY_WINDOW`.
    pub(crate) async fn read<T, F>(&self, call: impl Fn() -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let begin = Instant::now();
        loop {
            let result = call().await;
            let delay = match &result {
                Err(Error::Throttled) => self.state.lock().record_throttled(),
                Ok(_) => {
                    self.state.lock().record_success();
                    return result;
                }
                Err(_) => return result,
            };
            // Sleeps also before it returns the error, so that a caller that retries immediately backs off as well.
            sleep(delay).await;
            if begin.elapsed() >= RETRY_WINDOW {
                return result;
            }
        }
    }

    /// Polls a feed by `call`, once the delay since it was last throttled has passed.
    ///
    /// # Errors
    /// Those of the call.
    pub(crate) async fn feed<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let not_before = self.state.lock().throttled_feeds.remove(name);
        if let Some(until) = not_before {
            sleep_until(until).await;
        }
        let result = call.await;
        let mut state = self.state.lock();
        match &result {
            Ok(_) => state.record_success(),
            Err(Error::Throttled) => {
                let until = Instant::now() + state.record_throttled();
                state.throttled_feeds.insert(name.into(), until);
            }
            Err(_) => {}
        }
        drop(state);
        result
    }
}
