//! I5: a non-idempotent request with an idempotency key runs at most once, whatever happens to its
//! retries.

use crate::{TIMEOUT, cases};
use async_trait::async_trait;
use eyre::Result;
use http::{Method, Request, Response};
use primroseroute_api::Order;
use primroseroute_route::backend::{Backend, Body, ConnectionPool, Failure};
use primroseroute_testbed::{
    Answer, Caller, Layout, Said, Site, backend::Mode, caller_token, platform, wait_until,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{sync::Semaphore, time::Instant};

cases! {
    same_key_at_two_entries_at_once_runs_once => two_entries_at_once();
    repeat_at_another_entry_gets_the_first_response => repeat_elsewhere();
    key_of_another_request_is_rejected => reused_key();
    entry_killed_between_claim_and_send_leaves_unknown => killed_after_claim();
    entry_suspended_between_claim_and_send_runs_once => suspended_after_claim();
    lost_commit_response_is_resolved_before_the_send => lost_commit_response();
    store_outage_rejects_as_not_run => store_outage();
    reset_with_key_stays_unknown => reset_with_key();
    repeat_rejected_before_its_claim_is_not_reported_as_not_run => repeat_without_instance();
    disconnected_caller_gets_its_response_on_repeat => caller_disconnects();
    request_of_a_caller_that_disconnects_in_the_queue_never_runs => caller_disconnects_in_queue();
    rejected_repeat_is_not_reported_as_not_run => rejected_repeat();
    request_of_a_worker_drained_before_the_send_goes_elsewhere => drain_after_choice();
}

async fn site() -> Result<Site> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    Ok(site)
}

async fn send_hold(to: SocketAddr, key: &str, body: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", key)];
    caller
        .send(
            to,
            Method::POST,
            "/stay/holds",
            &headers,
            body.to_owned(),
            TIMEOUT,
        )
        .await
}

fn executions(site: &Site, key: &str) -> u64 {
    site.workers
        .values()
        .map(|worker| worker.executions(key))
        .sum()
}

/// Two retries of a caller arrive at two entries at the same time. The claim's row is unique, so
/// one of them runs; the other gets "in progress" or the first response, and never "not run".
async fn two_entries_at_once() -> Result<()> {
    let site = site().await?;
    let [a, b] = ["entry-0", "entry-1"].map(|name| site.entry(name).callers);
    for round in 0..20 {
        let key = format!("key-{round}");
        let (first, second) =
            tokio::join!(send_hold(a, &key, "bed 1"), send_hold(b, &key, "bed 1"));
        assert_eq!(executions(&site, &key), 1);
        let said = [first.said.clone(), second.said.clone()];
        assert!(said.contains(&Said::Completed), "{first:?} {second:?}");
        assert!(!said.contains(&Said::NotRun), "{first:?} {second:?}");
    }
    Ok(())
}

async fn repeat_elsewhere() -> Result<()> {
    let site = site().await?;
    let first = send_hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Completed, "{first:?}");
    // The outcome is stored after the response is sent, so an early repeat may not see it yet.
    let mut repeat = send_hold(site.entry("entry-1").callers, "k", "bed 1").await;
    while repeat.code == Some(402) {
        repeat = send_hold(site.entry("entry-1").callers, "k", "bed 1").await;
    }
    assert_eq!(repeat.said, Said::Completed, "{repeat:?}");
    assert_eq!((repeat.status, &repeat.body), (first.status, &first.body));
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

async fn reused_key() -> Result<()> {
    let site = site().await?;
    let to = site.any_entry().callers;
    assert_eq!(send_hold(to, "k", "bed 1").await.said, Said::Completed);
    let other = send_hold(to, "k", "bed 2").await;
    assert_eq!(other.code, Some(401), "{other:?}");
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// Holds each request to a backend server until the test adds a permit.
#[derive(Debug)]
struct BlockingBackend {
    inner: ConnectionPool,
    permits: Semaphore,
    reached: AtomicU64,
}

impl BlockingBackend {
    fn open() -> Arc<Self> {
        Arc::new(Self {
            inner: ConnectionPool::new(),
            permits: Semaphore::new(0),
            reached: AtomicU64::new(0),
        })
    }
}

#[async_trait]
impl Backend for BlockingBackend {
    async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure> {
        self.reached.fetch_add(1, Ordering::SeqCst);
        self.permits
            .acquire()
            .await
            .expect("the semaphore stays open")
            .forget();
        self.inner.send(to, request, not_after).await
    }

    fn sweep(&self) {}
}

/// A site whose `entry-held` blocks between claim and send.
async fn site_with_blocking_entry() -> Result<(Site, Arc<BlockingBackend>)> {
    let blocking = BlockingBackend::open();
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let backend = Arc::clone(&blocking);
    site.start_with("entry-held", |parts| primroseroute_entry::Components {
        backend,
        ..parts
    })
    .await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    Ok((site, blocking))
}

/// The entry has claimed the key and is killed before it sends. No other entry can know that
/// nothing was sent, so the caller's retries there get "unknown" and the request never runs.
async fn killed_after_claim() -> Result<()> {
    let (mut site, blocking) = site_with_blocking_entry().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { send_hold(to, "k", "bed 1").await });
    wait_until("the claim is made", || {
        blocking.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    site.take_entry("entry-held").entry.abort().await;
    assert_eq!(waiting.await?.said, Said::Unknown);

    let other = site.entry("entry-0").callers;
    for _ in 0..5 {
        let retry = send_hold(other, "k", "bed 1").await;
        assert_eq!(retry.said, Said::Unknown, "{retry:?}");
    }
    assert_eq!(executions(&site, "k"), 0);
    Ok(())
}

/// The entry is suspended between claim and send, long enough for the caller to retry at another
/// entry. The retry finds the claim and runs nothing. Then the first entry resumes and sends; the
/// request runs once in total.
async fn suspended_after_claim() -> Result<()> {
    let (site, blocking) = site_with_blocking_entry().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { send_hold(to, "k", "bed 1").await });
    wait_until("the claim is made", || {
        blocking.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    let retry = send_hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(retry.said, Said::Unknown, "{retry:?}");
    assert_eq!(executions(&site, "k"), 0);

    blocking.permits.add_permits(1);
    assert_eq!(waiting.await?.said, Said::Completed);
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The store commits the claim and its response is lost. The entry must find its own row and
/// proceed, neither rejecting the request nor claiming twice.
async fn lost_commit_response() -> Result<()> {
    let site = site().await?;
    for round in 0..10 {
        let key = format!("key-{round}");
        let table = site.platform.client("entry-0");
        table
            .faults()
            .lose_answers(platform::tally::Kind::Commit, 1);
        let answer = send_hold(site.entry("entry-0").callers, &key, "bed 1").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        assert_eq!(executions(&site, &key), 1);
    }
    Ok(())
}

/// The store is unavailable. No claim can be written, so nothing is sent and the caller is told
/// "not run", with the time to retry; reads still work. Once the store is back, the same key runs
/// once.
async fn store_outage() -> Result<()> {
    let site = site().await?;
    let to = site.any_entry().callers;
    site.platform
        .faults()
        .set_outage(Some(platform::fault::Outage::Refuse));
    let refused = send_hold(to, "k", "bed 1").await;
    assert_eq!(refused.code, Some(404), "{refused:?}");
    assert_eq!(refused.said, Said::NotRun);
    assert_eq!(executions(&site, "k"), 0);
    let caller = Caller::open(caller_token("stay"));
    let read = caller
        .send(to, Method::GET, "/stay/beds", &[], "", TIMEOUT)
        .await;
    assert_eq!(read.said, Said::Completed, "{read:?}");

    site.platform.faults().set_outage(None);
    assert_eq!(send_hold(to, "k", "bed 1").await.said, Said::Completed);
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The worker runs the request and closes without a response. The caller's repeats, at either
/// entry, get "unknown"; a second execution would be a double booking.
async fn reset_with_key() -> Result<()> {
    let site = site().await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let first = send_hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Unknown, "{first:?}");
    for worker in site.workers.values() {
        worker.set_mode(Mode::Ok);
    }
    for name in ["entry-0", "entry-1", "entry-0"] {
        let repeat = send_hold(site.entry(name).callers, "k", "bed 1").await;
        assert_eq!(repeat.said, Said::Unknown, "{repeat:?}");
    }
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The caller's connection breaks while its request runs. The attempt continues, its outcome is
/// stored, and the caller's repeat gets the first response.
async fn caller_disconnects() -> Result<()> {
    let (site, blocking) = site_with_blocking_entry().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { send_hold(to, "k", "bed 1").await });
    wait_until("the claim is made", || {
        blocking.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    waiting.abort();
    assert!(waiting.await.is_err());
    blocking.permits.add_permits(1);
    wait_until("the request has run", || executions(&site, "k") == 1).await?;

    let other = site.entry("entry-0").callers;
    let mut repeat = send_hold(other, "k", "bed 1").await;
    while repeat.code == Some(402) {
        repeat = send_hold(other, "k", "bed 1").await;
    }
    assert_eq!(repeat.said, Said::Completed, "{repeat:?}");
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// Every slot that the entry may use is taken, and a keyed request waits in the queue when its
/// caller disconnects. The caller may retry at another entry and is told some outcome there, so the
/// queued request must not run later on its own.
async fn caller_disconnects_in_queue() -> Result<()> {
    const READS: usize = 40;
    let (site, blocking) = site_with_blocking_entry().await?;
    let entry = &site.entry("entry-held").entry;
    let to = site.entry("entry-held").callers;
    let mut reads = tokio::task::JoinSet::new();
    for _ in 0..READS {
        let caller = Caller::open(caller_token("stay"));
        reads.spawn(async move {
            caller
                .send(to, Method::GET, "/stay/beds", &[], "", TIMEOUT)
                .await
                .said
        });
    }
    let sent = || usize::try_from(blocking.reached.load(Ordering::SeqCst)).unwrap_or(usize::MAX);
    wait_until("every read is sent or queued", || {
        sent() + entry.waiting() == READS
    })
    .await?;
    let waiting = entry.waiting();
    assert!(waiting > 0, "no request is queued, so slots are still free");

    let queued = tokio::spawn(async move { send_hold(to, "k", "bed 1").await });
    wait_until("the hold is queued", || entry.waiting() == waiting + 1).await?;
    let probe = Caller::open("none");
    let admin = site.entry("entry-held").admin.address();
    let metrics = probe
        .send(admin, Method::GET, "/metrics", &[], "", TIMEOUT)
        .await;
    let line = format!(
        "queue_depth{{account=\"stay\",service=\"stay\"}} {}",
        waiting + 1
    );
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains(&line), "{metrics}");
    queued.abort();
    assert!(queued.await.is_err());
    wait_until("the hold has left the queue", || entry.waiting() == waiting).await?;
    blocking.permits.add_permits(READS);
    while let Some(said) = reads.join_next().await {
        assert_eq!(said?, Said::Completed);
    }
    assert_eq!(executions(&site, "k"), 0);
    Ok(())
}

/// A request has run. Later no worker serves, and the caller, whose first response was lost,
/// repeats it at the entry that ran it, and at another one with the repeat header. Neither may
/// respond "not run". A request with an unused key is rejected as "not run".
async fn rejected_repeat() -> Result<()> {
    let site = site().await?;
    let first = send_hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Completed, "{first:?}");
    let order = primroseroute_api::Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    let mut last = None;
    for name in site.workers.keys() {
        last = Some(site.any_entry().admin.drain(name, &order).await?.version);
    }
    site.wait_until_applied(last.expect("there are workers"))
        .await?;

    let again = send_hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(
        (again.said.clone(), again.code),
        (Said::Unknown, Some(403)),
        "{again:?}"
    );
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", "k"), ("idempotency-repeat", "1")];
    let to = site.entry("entry-1").callers;
    let marked = caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", TIMEOUT)
        .await;
    assert_eq!(
        (marked.said.clone(), marked.code),
        (Said::Unknown, Some(403)),
        "{marked:?}"
    );
    let fresh = send_hold(to, "fresh", "bed 1").await;
    assert_eq!(
        (fresh.said.clone(), fresh.code),
        (Said::NotRun, Some(203)),
        "{fresh:?}"
    );
    Ok(())
}

/// A worker is selected and the claim waits for a slow store. Meanwhile the worker is drained and
/// the entries apply the drain. The request must go to another worker, since a drained one gets no
/// new requests.
async fn drain_after_choice() -> Result<()> {
    let site = site().await?;
    let order = primroseroute_api::Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    for (round, (name, worker)) in site.workers.iter().enumerate().take(2) {
        let slow = site.platform.client("entry-0");
        slow.faults().set_latency(
            std::time::Duration::from_millis(400),
            std::time::Duration::ZERO,
        );
        let to = site.entry("entry-0").callers;
        let mut holds = tokio::task::JoinSet::new();
        for number in 0..6 {
            holds.spawn(async move { send_hold(to, &format!("{round}-{number}"), "bed").await });
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        let accepted = site.entry("entry-1").admin.drain(name, &order).await?;
        site.wait_until_applied(accepted.version).await?;
        let before = worker.count().executions;
        while let Some(answer) = holds.join_next().await {
            assert_eq!(answer?.said, Said::Completed);
        }
        assert_eq!(
            worker.count().executions,
            before,
            "{name} got new requests after its drain"
        );
        slow.faults().clear();
    }
    Ok(())
}

/// The worker runs the request and closes without a response. Then no instance serves any more. The
/// caller's marked repeat is rejected before its key is looked up; "not run" would be false, since
/// the first attempt ran. A first request at the same time is correctly reported as "not run".
async fn repeat_without_instance() -> Result<()> {
    let site = site().await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let to = site.any_entry().callers;
    assert_eq!(send_hold(to, "k", "bed 1").await.said, Said::Unknown);
    assert_eq!(executions(&site, "k"), 1);
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    for name in site.workers.keys() {
        let accepted = site.any_entry().admin.drain(name, &order).await?;
        site.wait_until_applied(accepted.version).await?;
    }
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", "k"), ("idempotency-repeat", "1")];
    let repeat = caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", TIMEOUT)
        .await;
    assert_eq!(repeat.said, Said::Unknown, "{repeat:?}");
    assert_eq!(send_hold(to, "other", "bed 2").await.said, Said::NotRun);
    Ok(())
}
