//! What an entry learns from refusals.

use parking_lot::Mutex;
use primroseroute_domain::work::Name;
use primroseroute_platform::Error;
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Pause after the first refusal.
const FIRST: Duration = Duration::from_millis(100);

/// Longest pause, but for reads that few entries make. It bounds how late an entry hears of a configuration and of owners that have gone.
pub const LONGEST: Duration = Duration::from_millis(1_500);

/// Longest pause of reads that few entries make at the same time.
const LONGEST_OF_FEW: Duration = Duration::from_millis(100);

/// Part of the pause that a read takes back: one in this many.
const FALL: u32 = 16;

/// How long a read is sent again: about as long as a call without an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(1);

/// The backoff of one entry's reads; clones share it.
#[derive(Clone, Debug)]
pub struct Backoff {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// What is read.
    name: Name,
    longest: Duration,
    pause: Duration,
    /// Whether the pause has reached its length since there was none.
    pressed: bool,
    /// When the pause last grew.
    raised_at: Option<Instant>,
    /// Feeds that were refused, with the time before which they aren't called again.
    held: BTreeMap<Name, Instant>,
    rng: ChaCha8Rng,
}

impl State {
    /// Takes in a refusal; a random part of the pause.
    ///
    /// The pause grows once in its own length: calls that were under way together are one sign of pressure, not many.
    fn refused(&mut self) -> Duration {
        let grown = self.raised_at.is_some_and(|at| at.elapsed() < self.pause);
        if !grown {
            self.pause = (self.pause * 2).clamp(FIRST, self.longest);
            self.raised_at = Some(Instant::now());
        }
        if self.pause == self.longest && !std::mem::replace(&mut self.pressed, true) {
            log::warn!(reads = &*self.name; "reads are refused for their rate");
        }
        self.rng.random_range(Duration::ZERO..=self.pause)
    }

    fn taken(&mut self) {
        self.pause -= self.pause / FALL;
        if self.pause < FIRST / 2 {
            self.pause = Duration::ZERO;
            if std::mem::take(&mut self.pressed) {
                log::info!(reads = &*self.name; "reads are taken again");
            }
        }
    }
}

impl Backoff {
    /// A backoff without a pause, of what is called `name` in the log; `seed` is the source of its jitter, and differs from one entry to
    /// the next.
    pub fn new(name: &str, seed: u64) -> Self {
        Self::up_to(LONGEST, name, seed)
    }

    /// The same for reads that few entries make at the same time, and that go before those of all.
    pub fn of_few(name: &str, seed: u64) -> Self {
        Self::up_to(LONGEST_OF_FEW, name, seed)
    }

    fn up_to(longest: Duration, name: &str, seed: u64) -> Self {
        let state = State {
            name: name.into(),
            longest,
            pause: Duration::ZERO,
            pressed: false,
            raised_at: None,
            held: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Reads by `call`, and again after a pause for as long as the store refuses it.
    ///
    /// # Errors
    /// Those of the call; [`Error::Throttled`] where the store has refused it for a while, after a pause.
    pub(crate) async fn read<T, F>(&self, call: impl Fn() -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let begin = Instant::now();
        loop {
            let result = call().await;
            let pause = match &result {
                Err(Error::Throttled) => self.state.lock().refused(),
                Ok(_) => {
                    self.state.lock().taken();
                    return result;
                }
                Err(_) => return result,
            };
            // Also before the refusal is passed on: whoever reads again right away backs off as well.
            sleep(pause).await;
            if begin.elapsed() >= PATIENCE {
                return result;
            }
        }
    }

    /// Calls for a feed by `call`, once the pause after its last refusal is over.
    ///
    /// # Errors
    /// Those of the call.
    pub(crate) async fn feed<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let held = self.state.lock().held.remove(name);
        if let Some(until) = held {
            sleep_until(until).await;
        }
        let result = call.await;
        let mut state = self.state.lock();
        match &result {
            Ok(_) => state.taken(),
            Err(Error::Throttled) => {
                let until = Instant::now() + state.refused();
                state.held.insert(name.into(), until);
            }
            Err(_) => {}
        }
        drop(state);
        result
    }
}
