//! Following a table through its change feed.

use async_trait::async_trait;
use primroseroute_backoff::Retry;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
};
use std::{fmt, hash::Hash, time::Duration};
use tokio::time::{Instant, sleep_until, timeout};

/// How long one call usually waits for a change. A connection that has become unresponsive is
/// noticed by its timeout, which is this and the slack of the call: well within the time in which a
/// configuration must be in force.
pub const FEED_WAIT: Duration = Duration::from_secs(1);

/// First and longest delay after a failed call. The longest bounds how late an entry receives a
/// change.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// Timing of the calls for changes.
#[derive(Clone, Copy, Debug)]
pub struct FeedTiming {
    /// Minimum interval between their starts, so that many small changes cost one call.
    pub min_interval: Duration,
    /// How long each waits for a change.
    pub wait: Duration,
    /// How long calls may fail before the full table is read instead, repeatedly until a read
    /// succeeds; `None` for never.
    pub full_read_after: Option<Duration>,
}

/// Timeout of a full read that replaces a failing change feed, about that of one call: the feed
/// isn't asked for meanwhile. A full read goes on for as long as parts of it are throttled.
const FULL_READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A table that can be followed.
#[async_trait]
pub trait Source: Send + Sync {
    /// An item of the table.
    type Item: Send;

    /// All items, and the version from which the change feed continues.
    ///
    /// # Errors
    /// Those of the calls.
    async fn read_full(&self) -> Result<(Vec<Self::Item>, Version), Error>;

    /// Changes after a version.
    ///
    /// # Errors
    /// Those of the call.
    async fn changes_after(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Self::Item>, Error>;
}

/// Receives the items and their changes.
pub trait Sink: Send {
    /// An item of the table.
    type Item;

    /// A call is about to be sent.
    fn call_sent(&mut self) {}

    /// All items, replacing what was received before.
    fn reset(&mut self, items: Vec<Self::Item>);

    /// Changes, in order.
    fn apply(&mut self, items: Vec<Self::Item>);

    /// A call has succeeded; everything that had changed by `at` was received.
    fn confirmed(&mut self, _at: Instant) {}

    /// Calls fail: what was received may be outdated.
    fn interrupted(&mut self) {}
}

/// Follows `source` until the task is dropped: from `known` on if the sink has received everything
/// up to that version, and otherwise after a full read. `seed` differs between the followers of
/// `name`.
pub async fn follow<T, S, K>(
    name: &str,
    source: S,
    mut sink: K,
    timing: FeedTiming,
    known: Option<Version>,
    seed: impl Hash,
) where
    T: Send,
    S: Source<Item = T>,
    K: Sink<Item = T>,
{
    let mut health = FeedHealth::new(name, seed);
    let mut newest: Version = 0;
    if let Some(known) = known {
        newest = follow_feed(&source, &mut sink, known, timing, &mut health).await;
    }
    loop {
        let begin = Instant::now();
        sink.call_sent();
        let next = match read_newer(&source, newest).await {
            Ok((items, version)) => {
                sink.reset(items);
                version
            }
            Err(error) => {
                health.record_failure(&error);
                sink.interrupted();
                health.retry.sleep().await;
                continue;
            }
        };
        health.record_success();
        sink.confirmed(begin);
        newest = follow_feed(&source, &mut sink, next, timing, &mut health).await;
    }
}

/// Follows the change feed from `next` until its history is lost; returns the newest version that
/// was seen.
async fn follow_feed<S, K>(
    source: &S,
    sink: &mut K,
    mut next: Version,
    timing: FeedTiming,
    health: &mut FeedHealth<'_>,
) -> Version
where
    S: Source,
    K: Sink<Item = S::Item>,
{
    let mut wait = timing.wait;
    // When something was last received.
    let mut received_at = Instant::now();
    loop {
        let begin = Instant::now();
        sink.call_sent();
        match source.changes_after(next, wait).await {
            Ok(Feed::Changes {
                items,
                next: later,
                complete,
            }) => {
                wait = timing.wait;
                received_at = begin;
                next = next.max(later);
                if !items.is_empty() {
                    sink.apply(items);
                }
                health.record_success();
                if complete {
                    sink.confirmed(begin);
                    sleep_until(begin + timing.min_interval).await;
                }
            }
            Ok(Feed::Compacted) => {
                log::warn!(feed = health.name, after = next; "change feed no longer has the history; reading the full table");
                return next;
            }
            Err(error) => {
                health.record_failure(&error);
                sink.interrupted();
                health.retry.sleep().await;
                // Changes since then are already late by the delay.
                wait = Duration::ZERO;
                let due = timing.full_read_after;
                if due.is_some_and(|after| received_at.elapsed() >= after)
                    && let Some((version, at)) = read_instead(source, sink, next).await
                {
                    log::info!(feed = health.name, version; "full table read while the change feed fails");
                    next = version;
                    received_at = at;
                }
            }
        }
    }
}

/// Reads the full table while the change feed fails; returns the version from which to continue and
/// when the read began, if it succeeded.
///
/// A store may refuse the one and serve the other. Without this, an owner whose feed alone failed
/// started nothing, and work of cancelled jobs ran on for as long.
async fn read_instead<S, K>(source: &S, sink: &mut K, newest: Version) -> Option<(Version, Instant)>
where
    S: Source,
    K: Sink<Item = S::Item>,
{
    let begin = Instant::now();
    sink.call_sent();
    let read = timeout(FULL_READ_TIMEOUT, read_newer(source, newest)).await;
    match read.unwrap_or_else(|elapsed| Err(Error::Unavailable(elapsed.to_string()))) {
        Ok((items, version)) => {
            sink.reset(items);
            sink.confirmed(begin);
            Some((version, begin))
        }
        Err(error) => {
            log::debug!("full read failed as well: {error}");
            None
        }
    }
}

/// Reads the full table. A read older than `newest`, the version that was seen before, is stale and
/// would revert the view: it fails.
async fn read_newer<S: Source>(
    source: &S,
    newest: Version,
) -> Result<(Vec<S::Item>, Version), Error> {
    let (items, version) = source.read_full().await?;
    if version < newest {
        let detail = "the full read is older than an earlier one";
        return Err(Error::Unavailable(detail.into()));
    }
    Ok((items, version))
}

/// Whether calls for a change feed succeed: the delays between failed ones, one log line when the
/// feed fails, and one when it recovers.
struct FeedHealth<'a> {
    name: &'a str,
    failing: bool,
    retry: Retry,
}

impl<'a> FeedHealth<'a> {
    fn new(name: &'a str, seed: impl Hash) -> Self {
        let [first, longest] = RETRY_DELAYS;
        Self {
            name,
            failing: false,
            retry: Retry::new(first, longest, (name, seed)),
        }
    }

    fn record_failure(&mut self, error: &dyn fmt::Display) {
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!(feed = self.name, error:% = error; "change feed fails; retrying");
        }
    }

    fn record_success(&mut self) {
        self.retry.reset();
        if std::mem::take(&mut self.failing) {
            log::info!(feed = self.name; "change feed works again");
        }
    }
}
