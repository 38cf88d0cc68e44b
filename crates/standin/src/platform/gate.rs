//! The stages that every call passes, and the faults that can end it at each.

use super::{
    Platform, Shared,
    fault::{Fate, Faults, Outage},
    tally::{Kind, Tally},
};
use parking_lot::Mutex;
use primroseroute_platform::error::Error;
use rand::RngExt;
use std::{panic::resume_unwind, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// One caller, or the whole platform: its faults and what it called.
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

/// What a call costs of the rate limits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cost {
    /// Nothing.
    Free,
    /// As many reads as rows come back, at least one.
    Reads,
    /// This many writes.
    Writes(u64),
}

/// What a call did.
pub(super) struct Done<T> {
    /// Its answer.
    pub(super) answer: T,
    /// Rows that it read or wrote.
    pub(super) rows: u64,
    /// Bytes in those rows.
    pub(super) bytes: u64,
}

impl<T> Done<T> {
    pub(super) fn of(answer: T) -> Self {
        Self {
            answer,
            rows: 0,
            bytes: 0,
        }
    }
}

async fn pause(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}

fn lost(kind: Kind) -> Error {
    if kind.mutates() {
        Error::Unknown("the answer did not arrive".to_owned())
    } else {
        Error::Unavailable("the answer did not arrive".to_owned())
    }
}

impl Platform {
    /// Passes one call through all stages; `effect` happens at one instant.
    pub(super) async fn call<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Done<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        self.count(|tally| tally.call(kind));
        let result = if kind.mutates() {
            self.pass_detached(kind, cost, effect).await
        } else {
            self.pass(kind, cost, effect).await
        };
        if result.is_err() {
            self.count(|tally| tally.fail(kind));
        }
        result
    }

    /// Passes a mutating call through all stages, even if its caller gives it up on the way.
    ///
    /// A caller that drops the future, as a timeout does, stops waiting; over a network, the call
    /// that it has sent still arrives and takes effect. Without the task of its own it would vanish
    /// here, and tests would never see an effect that comes after the timeout.
    async fn pass_detached<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Done<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let platform = self.clone();
        let call = tokio::spawn(async move { platform.pass(kind, cost, effect).await });
        match call.await {
            Ok(result) => result,
            Err(ended) if ended.is_panic() => resume_unwind(ended.into_panic()),
            // The runtime shuts down.
            Err(_) => Err(lost(kind)),
        }
    }

    async fn pass<T: Send + 'static>(
        &self,
        kind: Kind,
        cost: Cost,
        effect: impl FnOnce(&Shared) -> Result<Done<T>, Error> + Send + 'static,
    ) -> Result<T, Error> {
        self.stand_outage(kind).await?;
        let half = self.latency() / 2;
        pause(half).await;
        self.stand_outage(kind).await?;
        if let Cost::Writes(rows) = cost {
            self.admit(|faults, now| faults.admits_writes(rows, now))?;
        }
        let fate = self.scopes().find_map(|scope| scope.faults.fate(kind));
        let result = match fate {
            Some(Fate::RequestLost) => Err(lost(kind)),
            Some(Fate::Late(delay)) => {
                self.apply_later(kind, delay, effect);
                Err(lost(kind))
            }
            Some(Fate::AnswerLost) => self.apply(kind, effect).and(Err(lost(kind))),
            None => self.apply(kind, effect),
        };
        if let (Cost::Reads, Ok(done)) = (cost, &result) {
            self.admit(|faults, now| faults.admits_reads(done.rows.max(1), now))?;
        }
        pause(half).await;
        // An outage that began after the effect takes the answer with it.
        if self.outage().is_some() {
            return Err(lost(kind));
        }
        result.map(|done| done.answer)
    }

    fn apply<T>(
        &self,
        kind: Kind,
        effect: impl FnOnce(&Shared) -> Result<Done<T>, Error>,
    ) -> Result<Done<T>, Error> {
        let done = effect(&self.shared)?;
        self.count(|tally| tally.effect(kind, done.rows, done.bytes));
        Ok(done)
    }

    fn apply_later<T: 'static>(
        &self,
        kind: Kind,
        delay: Duration,
        effect: impl FnOnce(&Shared) -> Result<Done<T>, Error> + Send + 'static,
    ) {
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // Nobody waits for the answer.
            drop(platform.apply(kind, effect));
        });
    }

    /// The whole platform and the caller; once where they are the same.
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

    async fn stand_outage(&self, kind: Kind) -> Result<(), Error> {
        match self.outage() {
            None => Ok(()),
            Some(Outage::Refuse) => Err(Error::Unavailable("outage".to_owned())),
            Some(Outage::Hang(duration)) => {
                pause(duration).await;
                Err(lost(kind))
            }
        }
    }

    fn admit(&self, admits: impl Fn(&Faults, Instant) -> bool) -> Result<(), Error> {
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
