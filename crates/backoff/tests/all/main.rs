//! Reads of a store that refuses them.

mod retry;

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_backoff::{Backoff, LONGEST, Rows};
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Place, Range, Row, Rows as _, Txn, Version, read_row},
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Names each case.
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
    read_is_sent_again_until_it_is_taken => taken_in_the_end();
    /// Retries at a fixed pause keep a store over its rate for good.
    refusals_without_end_make_calls_rare => rare();
    /// Entries that are refused together come back together.
    entries_come_back_at_different_times => spread();
    /// A follower that isn't told takes its own silence for that of others.
    refused_feed_is_told_at_once_and_waits_the_next_time => feed();
    refused_commit_is_the_callers_matter => commit();
    /// An owner that starts nothing while it waits for the proof that it owns its pool.
    refused_read_of_one_row_is_the_callers_matter => one_row();
    other_failure_is_passed_on_at_once => unavailable();
    pause_is_over_once_reads_are_taken => recovered();
}

/// A store that refuses its next calls with an error.
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

    fn call<T>(&self, taken: T) -> Result<T, Error> {
        self.calls.lock().push(Instant::now());
        match self.failures.lock().pop() {
            Some(error) => Err(error),
            None => Ok(taken),
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

fn backing_off(store: &Arc<Store>, seed: u64) -> Rows {
    Rows::new(Arc::clone(store) as _, Backoff::new("store", seed))
}

fn range() -> Range {
    Range {
        table: "table".into(),
        part: "".into(),
        from: None,
        to: None,
    }
}

async fn taken_in_the_end() {
    let store = Store::failing(&Error::Throttled, 2);
    let result = backing_off(&store, 1).read(range()).await;
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(store.count(), 3);
}

async fn rare() {
    /// Time for which the store refuses everything.
    const REFUSES: Duration = Duration::from_secs(60);
    let store = Store::failing(&Error::Throttled, 10_000);
    let rows = backing_off(&store, 1);
    let begin = Instant::now();
    while begin.elapsed() < REFUSES {
        assert_eq!(rows.read(range()).await, Err(Error::Throttled));
    }
    // A mean of half of the longest pause lies between two calls.
    let most = 2 * usize::try_from(REFUSES.as_millis() / LONGEST.as_millis()).expect("few");
    assert!(store.count() < most * 3 / 2, "{} calls", store.count());
}

async fn spread() {
    let mut second = BTreeSet::new();
    for seed in 0..50 {
        let store = Store::failing(&Error::Throttled, 4);
        let begin = Instant::now();
        let result = backing_off(&store, seed).read(range()).await;
        assert!(result.is_ok() || result == Err(Error::Throttled));
        second.insert(store.calls.lock()[1] - begin);
    }
    assert!(second.len() > 25, "{second:?}");
}

async fn feed() {
    let store = Store::failing(&Error::Throttled, 6);
    let rows = backing_off(&store, 3);
    let begin = Instant::now();
    for _refusal in 0..6 {
        let called = Instant::now();
        let result = rows.feed("table", 0, Duration::ZERO).await;
        assert_eq!(result, Err(Error::Throttled));
        assert_eq!(store.calls.lock().last(), Some(&Instant::now()));
        assert!(called.elapsed() <= LONGEST);
    }
    assert!(rows.feed("table", 0, Duration::ZERO).await.is_ok());
    let took = begin.elapsed();
    assert!(took > Duration::from_millis(300), "{took:?}");
}

async fn commit() {
    let store = Store::failing(&Error::Throttled, 1);
    let begin = Instant::now();
    let result = backing_off(&store, 1).commit(Txn::default()).await;
    assert_eq!(result, Err(Error::Throttled));
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn one_row() {
    let store = Store::failing(&Error::Throttled, 1);
    let begin = Instant::now();
    let place = Place::new("table", "", "key");
    let result = read_row(&backing_off(&store, 1), place).await;
    assert_eq!(result, Err(Error::Throttled));
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn unavailable() {
    let store = Store::failing(&Error::Unavailable("503".into()), 1);
    let begin = Instant::now();
    assert!(backing_off(&store, 1).read(range()).await.is_err());
    assert_eq!((store.count(), begin.elapsed()), (1, Duration::ZERO));
}

async fn recovered() {
    let store = Store::failing(&Error::Throttled, 20);
    let rows = backing_off(&store, 1);
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
