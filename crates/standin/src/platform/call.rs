//! The stages that every call passes, and the faults that can end it at each stage.

use super::{
    Platform, Shared,
    fault::{CallFault, Faults, Outage},
    tally::{Kind, Tally},
};
use parking_lot::Mutex;
use primroseroute_platform::error::Error;
use rand::RngExt;
use std::{panic::resume_unwind, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Faults and tally of one caller, or of the whole platform.
pub(super) struct Caller {
    tag: Arc<str>,
    pub(super) faults: Faults,
    tally: Mutex<Tally>,
}

impl Caller {
    pub(super) fn new(tag: Arc<str>, faults: Faults) -> Self {
        Self {
            tag,
            faults,
            tally: Mutex::default(),
        }
    }

    pub(super) fn tag(&self) -> &str {
        &self.tag
    }

    pub(super) fn tally(&self) -> Tally {
        self.tally.lock().clone()
    }
}

/// Cost of a call against the rate limits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cost {
    /// No cost.
    Free,
    /// One read per returned row, at least one.
    Reads,
    /// This number of writes.
    Writes(u64),
}

/// Effect of a call.
pub(super) struct Effect<T> {
    /// The value returned to the caller.
    pub(super) answer: T,
    /// Rows read or written.
    pub(super) rows: u64,
    /// Bytes in those rows.
    pub(super) bytes: u64,
}

impl<T> Effect<T> {
    pub(super) fn of(answer: T) -> Self {
        Self {
            answer,
            rows: 0,
            bytes: 0,
        }
    }
}

async fn sleep_nonzero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}

fn no_response(kind: Kind) -> Error {
    if kind.mutates() {
        Error::Unknown("the answer did not arrive".to_owned())
    } else {
        Error::Unavailable("the answer did not arrive".to_owned())
    }
}

impl Platform {
    /// Passes one call through all stages; `effect` is atomic.
    pub(super) async fn call<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Effect<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        self.count(|tally| tally.call(kind));
        let result = if kind.mutates() {
            self.run_detached(kind, cost, effect).await
        } else {
            self.run_stages(kind, cost, effect).await
        };
        if result.is_err() {
            self.count(|tally| tally.fail(kind));
        }
        result
    }

    /// Passes a mutating call through all stages, even if its caller drops the future meanwhile.
    ///
    /// A caller that drops the future, for example on a timeout, stops waiting; over a network, the
    /// request that it sent still arrives and takes effect. Without a separate task the call would
    /// be cancelled here, and tests would never see an effect that comes after a timeout.
    async fn run_detached<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Effect<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let platform = self.clone();
        let call = tokio::spawn(async move { platform.run_stages(kind, cost, effect).await });
        match call.await {
            Ok(result) => result,
            Err(error) if error.is_panic() => resume_unwind(error.into_panic()),
            // The runtime is shutting down.
            Err(_) => Err(no_response(kind)),
        }
    }

    async fn run_stages<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Effect<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        self.check_outage(kind).await?;
        let half = self.latency() / 2;
        sleep_nonzero(half).await;
        self.check_outage(kind).await?;
        if let Cost::Writes(rows) = cost {
            self.check_rate(|faults, now| faults.admits_writes(rows, now))?;
        }
        let fault = self
            .scopes()
            .find_map(|scope| scope.faults.next_call_fault(kind));
        let result = match fault {
            Some(CallFault::RequestLost) => Err(no_response(kind)),
            Some(CallFault::Late(delay)) => {
                self.apply_later(kind, delay, effect);
                Err(no_response(kind))
            }
            Some(CallFault::ResponseLost) => self.apply(kind, effect).and(Err(no_response(kind))),
            None => self.apply(kind, effect),
        };
        if let (Cost::Reads, Ok(done)) = (cost, &result) {
            self.check_rate(|faults, now| faults.admits_reads(done.rows.max(1), now))?;
        }
        sleep_nonzero(half).await;
        // An outage that began after the effect also loses the response.
        if self.outage().is_some() {
            return Err(no_response(kind));
        }
        result.map(|done| done.answer)
    }

    fn apply<T>(
        &self,
        kind: Kind,
        effect: impl FnOnce(&Shared) -> Result<Effect<T>, Error>,
    ) -> Result<Effect<T>, Error> {
        let done = effect(&self.shared)?;
        self.count(|tally| tally.effect(kind, done.rows, done.bytes));
        Ok(done)
    }

    fn apply_later<T: 'static>(
        &self,
        kind: Kind,
        delay: Duration,
        effect: impl FnOnce(&Shared) -> Result<Effect<T>, Error> + Send + 'static,
    ) {
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // No caller waits for the response.
            drop(platform.apply(kind, effect));
        });
    }

    /// The whole platform and this handle's caller, or the platform alone if they are the same.
    fn scopes(&self) -> impl Iterator<Item = &Arc<Caller>> {
        let own = (!Arc::ptr_eq(&self.caller, &self.shared.root)).then_some(&self.caller);
        std::iter::once(&self.shared.root).chain(own)
    }

    fn count(&self, count: impl Fn(&mut Tally)) {
        for scope in self.scopes() {
            count(&mut scope.tally.lock());
        }
    }

    fn outage(&self) -> Option<Outage> {
        self.scopes().find_map(|scope| scope.faults.outage())
    }

    async fn check_outage(&self, kind: Kind) -> Result<(), Error> {
        match self.outage() {
            None => Ok(()),
            Some(Outage::Refuse) => Err(Error::Unavailable("outage".to_owned())),
            Some(Outage::Hang(duration)) => {
                sleep_nonzero(duration).await;
                Err(no_response(kind))
            }
        }
    }

    fn check_rate(&self, admits: impl Fn(&Faults, Instant) -> bool) -> Result<(), Error> {
        let now = Instant::now();
        if self.scopes().all(|scope| admits(&scope.faults, now)) {
            Ok(())
        } else {
            Err(Error::Throttled)
        }
    }

    fn latency(&self) -> Duration {
        let (fixed, jitter) = self
            .scopes()
            .map(|scope| scope.faults.latency())
            .fold((Duration::ZERO, Duration::ZERO), |sum, own| {
                (sum.0 + own.0, sum.1 + own.1)
            });
        if jitter.is_zero() {
            return fixed;
        }
        fixed + jitter.mul_f64(self.shared.rng.lock().random_range(0.0..1.0))
    }
}
