//! Following something by its feed.

use async_trait::async_trait;
use primroseroute_backoff::Retry;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
};
use std::{fmt, hash::Hash, time::Duration};
use tokio::time::{Instant, sleep_until, timeout};

/// How long one call usually waits for a change. A connection that has gone silent is noticed by its
/// timeout, which is this and the slack of the call: well inside the time in which a configuration
/// has to be in force.
pub const WAIT: Duration = Duration::from_secs(1);

/// First and longest pause after a call that failed. The longest bounds how late an entry hears of what has changed.
const PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// How calls for changes follow each other.
#[derive(Clone, Copy, Debug)]
pub struct Rhythm {
    /// They begin at least this far apart, so that many small changes cost one call.
    pub pace: Duration,
    /// How long one of them waits for a change.
    pub wait: Duration,
    /// How long calls may fail before the whole is read in their place, again and again until one succeeds; never without.
    pub read_after: Option<Duration>,
}

/// Longest time of a read in place of a feed that fails, about that of one call: the feed isn't asked for meanwhile. A whole read goes on
/// for as long as parts of it are refused.
const IN_PLACE: Duration = Duration::from_millis(1_500);

/// What is followed.
#[async_trait]
pub trait Source: Send + Sync {
    /// What changes.
    type Item: Send;

    /// All there is, and where the feed goes on.
    ///
    /// # Errors
    /// Those of the calls.
    async fn whole(&self) -> Result<(Vec<Self::Item>, Version), Error>;

    /// Changes after a version.
    ///
    /// # Errors
    /// Those of the call.
    async fn since(&self, after: Version, wait: Duration) -> Result<Feed<Self::Item>, Error>;
}

/// What is told of it.
pub trait Sink: Send {
    /// What changes.
    type Item;

    /// All there is, in place of what was told before.
    fn reset(&mut self, items: Vec<Self::Item>);

    /// Changes, in order.
    fn apply(&mut self, items: Vec<Self::Item>);

    /// A call has succeeded; all that had changed by `at` was told.
    fn confirmed(&mut self, _at: Instant) {}

    /// Calls fail: what was told may be old.
    fn interrupted(&mut self) {}
}

/// Follows `source` until the task is dropped: from `known` on where the sink has been told all up to that version,
/// and otherwise by reading the whole first. `seed` differs from one follower of `name` to the next.
pub async fn follow<T, S, K>(
    name: &str,
    source: S,
    mut sink: K,
    rhythm: Rhythm,
    known: Option<Version>,
    seed: impl Hash,
) where
    T: Send,
    S: Source<Item = T>,
    K: Sink<Item = T>,
{
    let mut health = Health::new(name, seed);
    let mut newest: Version = 0;
    if let Some(known) = known {
        newest = tail(&source, &mut sink, known, rhythm, &mut health).await;
    }
    loop {
        let begin = Instant::now();
        let next = match whole(&source, newest).await {
            Ok((items, version)) => {
                sink.reset(items);
                version
            }
            Err(error) => {
                health.failed(&error);
                sink.interrupted();
                health.retry.sleep().await;
                continue;
            }
        };
        health.good();
        sink.confirmed(begin);
        newest = tail(&source, &mut sink, next, rhythm, &mut health).await;
    }
}

/// Follows the feed from `next` until history is lost; the newest version that was seen.
async fn tail<S, K>(
    source: &S,
    sink: &mut K,
    mut next: Version,
    rhythm: Rhythm,
    health: &mut Health<'_>,
) -> Version
where
    S: Source,
    K: Sink<Item = S::Item>,
{
    let mut wait = rhythm.wait;
    // When something was last told.
    let mut told_at = Instant::now();
    loop {
        let begin = Instant::now();
        match source.since(next, wait).await {
            Ok(Feed::Changes {
                items,
                next: later,
                complete,
            }) => {
                wait = rhythm.wait;
                told_at = begin;
                next = next.max(later);
                if !items.is_empty() {
                    sink.apply(items);
                }
                health.good();
                if complete {
                    sink.confirmed(begin);
                    sleep_until(begin + rhythm.pace).await;
                }
            }
            Ok(Feed::Compacted) => {
                log::warn!(feed = health.name, after = next; "history was lost; reading the whole");
                return next;
            }
            Err(error) => {
                health.failed(&error);
                sink.interrupted();
                health.retry.sleep().await;
                // What changed meanwhile is behind by that much already.
                wait = Duration::ZERO;
                let due = rhythm.read_after;
                if due.is_some_and(|after| told_at.elapsed() >= after)
                    && let Some((version, at)) = read(source, sink, next).await
                {
                    log::info!(feed = health.name, version; "the whole is read in place of the feed");
                    next = version;
                    told_at = at;
                }
            }
        }
    }
}

/// Reads the whole while the feed fails; the version to go on from and when the read began, if it succeeded.
///
/// A store may refuse the one and serve the other. Without this, an owner whose feed alone failed started nothing, and work of
/// cancelled jobs ran on for as long.
async fn read<S, K>(source: &S, sink: &mut K, newest: Version) -> Option<(Version, Instant)>
where
    S: Source,
    K: Sink<Item = S::Item>,
{
    let begin = Instant::now();
    let read = timeout(IN_PLACE, whole(source, newest)).await;
    match read.unwrap_or_else(|elapsed| Err(Error::Unavailable(elapsed.to_string()))) {
        Ok((items, version)) => {
            sink.reset(items);
            sink.confirmed(begin);
            Some((version, begin))
        }
        Err(error) => {
            log::debug!("the whole can't be read either: {error}");
            None
        }
    }
}

/// Reads the whole. One that is older than `newest`, what was seen before, is stale and would take the view back: it fails.
async fn whole<S: Source>(source: &S, newest: Version) -> Result<(Vec<S::Item>, Version), Error> {
    let (items, version) = source.whole().await?;
    if version < newest {
        let detail = "the read is older than what was read before";
        return Err(Error::Unavailable(detail.into()));
    }
    Ok((items, version))
}

/// How calls for a feed fare: the pauses between failed ones, one line when the feed is lost, and one when it is back.
struct Health<'a> {
    name: &'a str,
    failing: bool,
    retry: Retry,
}

impl<'a> Health<'a> {
    fn new(name: &'a str, seed: impl Hash) -> Self {
        let [first, longest] = PAUSES;
        Self {
            name,
            failing: false,
            retry: Retry::new(first, longest, (name, seed)),
        }
    }

    fn failed(&mut self, error: &dyn fmt::Display) {
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!(feed = self.name, error:% = error; "the feed is lost");
        }
    }

    fn good(&mut self) {
        self.retry.reset();
        if std::mem::take(&mut self.failing) {
            log::info!(feed = self.name; "the feed is back");
        }
    }
}
