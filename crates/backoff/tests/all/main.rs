//! Reads of a store that throttles them.

mod retry;

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_backoff::{Backoff, MAX_DELAY, Rows};
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Place, Range, Row, Rows as _, Txn, Version, read_row},
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Generates a test with paused time for each case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}

cases! {
    throttled_read_is_retried_until_accepted => retried_until_accepted();
    /// Retries at a fixed interval would keep a store over its rate limit indefinitely.
    persistent_throttling_lowers_the_call_rate => persistent_throttling();
    /// Without jitter, entries that are throttled together would retry together.
    entries_retry_at_different_times => jitter();
    /// A follower that isn't told would take others for unresponsive during its own gap.
    throttled_feed_returns_at_once_and_the_next_call_waits => feed();
    throttled_commit_is_not_retried => commit();
    /// An owner would start nothing while this waited for the proof that it owns its pool.
    throttled_read_of_one_row_is_not_retried => one_row();
    other_errors_are_returned_at_once => unavailable();
    backoff_decays_after_successful_reads => recovered();
}

/// A store that fails its next calls with an error.
#[derive(Debug, Default)]
struct Store {
    failures: Mutex<Vec<Error>>,
    calls: Mutex<Vec<Instant>>,
}

impl Store {
    fn failing(error: &Error, times: usize) -> Arc<Self> {
        Arc::new(Self {
            failures: Mutex::new(vec![error.clone(); times]),
            calls: Mutex::default(),
        })
    }

    fn call<T>(&self, success: T) -> Result<T, Error> {
        self.calls.lock().push(Instant::now());
        match self.failures.lock().pop() {
            Some(error) => Err(error),
            None => Ok(success),
        }
    }

    fn count(&self) -> usize {
        self.calls.lock().len()
    }
}

#[async_trait]
impl primroseroute_platform::rows::Rows for Store {
    async fn commit(&self, _txn: Txn) -> Result<Commit, Error> {
        self.call(Commit::Committed(1))
    }

    async fn read(&self, _range: Range) -> Result<Page, Error> {
        self.call(Page::default())
    }

    async fn feed(
        &self,
        _table: &str,
        after: Version,
        _wait: Duration,
    ) -> Result<Feed<Row>, Error> {
        self.call(Feed::Changes {
            items: Vec::new(),
            next: after,
            complete: true,
        })
    }
}

fn with_backoff(store: &Arc<Store>, seed: u64) -> Rows {
    Rows::new(Arc::clone(store) as _, Backoff::new("store", seed))
}

fn range() -> Range {
    Range {
        table: "table".into(),
        partition: "".into(),
        from: None,
        to: None,
    }
}

async fn retried_until_accepted() {
    let store = Store::failing(&Error::Throttled, 2);
    let result = with_backoff(&store, 1).read(range()).await;
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(store.count(), 3);
}

async fn persistent_throttling() {
    /// How long the store throttles every call.
    const THROTTLED_FOR: Duration = Duration::from_secs(60);
    let store = Store::failing(&Error::Throttled, 10_000);
    let rows = with_backoff(&store, 1);
    let begin = Instant::now();
    while begin.elapsed() < THROTTLED_FOR {
        assert_eq!(rows.read(range()).await, Err(Error::Throttled));
    }
    // The mean delay between two calls is half of the maximum.
    let expected_calls =
        2 * usize::try_from(THROTTLED_FOR.as_millis() / MAX_DELAY.as_millis()).expect("few");
    assert!(
        store.count() < expected_calls * 3 / 2,
        "{} calls",
        store.count()
    );
}

async fn jitter() {
    let mut second_calls = BTreeSet::new();
    for seed in 0..50 {
        let store = Store::failing(&Error::Throttled, 4);
        let begin = Instant::now();
        let result = with_backoff(&store, seed).read(range()).await;
        assert!(result.is_ok() || result == Err(Error::Throttled));
        second_calls.insert(store.calls.lock()[1] - begin);
    }
    assert!(second_calls.len() > 25, "{second_calls:?}");
}

async fn feed() {
    let store = Store::failing(&Error::Throttled, 6);
    let rows = with_backoff(&store, 3);
    let begin = Instant::now();
    for _attempt in 0..6 {
        let called = Instant::now();
        let result = rows.feed("table", 0, Duration::ZERO).await;
        assert_eq!(result, Err(Error::Throttled));
        assert_eq!(store.calls.lock().last(), Some(&Instant::now()));
        assert!(called.elapsed() <= MAX_DELAY);
    }
    assert!(rows.feed("table", 0, Duration::ZERO).await.is_ok());
    let took = begin.elapsed();
    assert!(took > Duration::from_millis(300), "{took:?}");
}

async fn commit() {
    let store = Store::failing(&Error::Throttled, 1);
    let begin = Instant::now();
    let result = with_backoff(&store, 1).commit(Txn::default()).await;
    assert_eq!(result, Err(Error::Throttled));
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn one_row() {
    let store = Store::failing(&Error::Throttled, 1);
    let begin = Instant::now();
    let place = Place::new("table", "", "key");
    let result = read_row(&with_backoff(&store, 1), place).await;
    assert_eq!(result, Err(Error::Throttled));
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn unavailable() {
    let store = Store::failing(&Error::Unavailable("503".into()), 1);
    let begin = Instant::now();
    assert!(with_backoff(&store, 1).read(range()).await.is_err());
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn recovered() {
    let store = Store::failing(&Error::Throttled, 20);
    let rows = with_backoff(&store, 1);
    while rows.read(range()).await.is_err() {}
    for _read in 0..100 {
        assert!(rows.read(range()).await.is_ok());
    }
    store.failures.lock().push(Error::Throttled);
    let begin = Instant::now();
    assert!(rows.read(range()).await.is_ok());
    let took = begin.elapsed();
    assert!(took <= Duration::from_millis(100), "{took:?}");
}
