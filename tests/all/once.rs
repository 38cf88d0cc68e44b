//! I5: a non-idempotent request with a key runs at most once, whatever its retries meet.

use crate::{LIMIT, cases};
use async_trait::async_trait;
use eyre::Result;
use http::{Method, Request, Response};
use primroseroute_api::Order;
use primroseroute_route::backend::{Backend, Body, ConnectionPool, Failure};
use primroseroute_testbed::{
    Answer, Caller, Layout, Said, Site, backend::Mode, caller_token, platform, until,
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
    repeat_at_another_entry_gets_the_first_answer => repeat_elsewhere();
    key_for_another_request_is_refused => reused_key();
    entry_killed_between_claim_and_send_leaves_unknown => killed_after_claim();
    entry_paused_between_claim_and_send_runs_once => paused_after_claim();
    lost_commit_answer_is_settled_before_the_send => lost_commit_answer();
    store_outage_refuses_as_not_run => store_outage();
    reset_with_key_stays_unknown => reset_with_key();
    repeat_refused_before_its_claim_is_not_called_not_run => repeat_without_instance();
    caller_that_hangs_up_finds_its_answer_later => caller_hangs_up();
    caller_that_hangs_up_in_the_queue_never_runs => caller_hangs_up_in_queue();
    refused_repeat_is_not_told_not_run => refused_repeat();
    drain_between_claim_and_send_goes_elsewhere => drain_after_choice();
}

async fn site() -> Result<Site> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    Ok(site)
}

async fn hold(to: SocketAddr, key: &str, body: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", key)];
    caller
        .send(
            to,
            Method::POST,
            "/stay/holds",
            &headers,
            body.to_owned(),
            LIMIT,
        )
        .await
}

fn executions(site: &Site, key: &str) -> u64 {
    site.workers
        .values()
        .map(|worker| worker.executions(key))
        .sum()
}

/// A caller's two retries meet at two entries in the same moment. The claim's row is unique, so one
/// of them runs; the other is told "in progress", or the first answer, and never "not run".
async fn two_entries_at_once() -> Result<()> {
    let site = site().await?;
    let [a, b] = ["entry-0", "entry-1"].map(|name| site.entry(name).callers);
    for round in 0..20 {
        let key = format!("key-{round}");
        let (first, second) = tokio::join!(hold(a, &key, "bed 1"), hold(b, &key, "bed 1"));
        assert_eq!(executions(&site, &key), 1);
        let said = [first.said.clone(), second.said.clone()];
        assert!(said.contains(&Said::Completed), "{first:?} {second:?}");
        assert!(!said.contains(&Said::NotRun), "{first:?} {second:?}");
    }
    Ok(())
}

async fn repeat_elsewhere() -> Result<()> {
    let site = site().await?;
    let first = hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Completed, "{first:?}");
    // The outcome is written behind the answer, so a repeat may come a moment too early.
    let mut repeat = hold(site.entry("entry-1").callers, "k", "bed 1").await;
    while repeat.code == Some(402) {
        repeat = hold(site.entry("entry-1").callers, "k", "bed 1").await;
    }
    assert_eq!(repeat.said, Said::Completed, "{repeat:?}");
    assert_eq!((repeat.status, &repeat.body), (first.status, &first.body));
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

async fn reused_key() -> Result<()> {
    let site = site().await?;
    let to = site.any().callers;
    assert_eq!(hold(to, "k", "bed 1").await.said, Said::Completed);
    let other = hold(to, "k", "bed 2").await;
    assert_eq!(other.code, Some(401), "{other:?}");
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// Backend servers that are reached only once a permit is given.
#[derive(Debug)]
struct Held {
    inner: ConnectionPool,
    permits: Semaphore,
    reached: AtomicU64,
}

impl Held {
    fn open() -> Arc<Self> {
        Arc::new(Self {
            inner: ConnectionPool::new(),
            permits: Semaphore::new(0),
            reached: AtomicU64::new(0),
        })
    }
}

#[async_trait]
impl Backend for Held {
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

/// A site whose `entry-0` stops between claim and send.
async fn site_with_held() -> Result<(Site, Arc<Held>)> {
    let held = Held::open();
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let backend = Arc::clone(&held);
    site.start_with("entry-held", |parts| primroseroute_entry::Components {
        backend,
        ..parts
    })
    .await?;
    let seq = site.ledger().head().await?.seq;
    site.in_force(seq).await?;
    Ok((site, held))
}

/// The entry has claimed the key and is killed before it sends. Nobody can know that nothing was
/// sent, so the caller's retries at another entry are told "unknown" and nothing ever runs.
async fn killed_after_claim() -> Result<()> {
    let (mut site, held) = site_with_held().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { hold(to, "k", "bed 1").await });
    until("the claim is made", || {
        held.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    site.take("entry-held").entry.abort().await;
    assert_eq!(waiting.await?.said, Said::Unknown);

    let other = site.entry("entry-0").callers;
    for _ in 0..5 {
        let retry = hold(other, "k", "bed 1").await;
        assert_eq!(retry.said, Said::Unknown, "{retry:?}");
    }
    assert_eq!(executions(&site, "k"), 0);
    Ok(())
}

/// The entry is paused between claim and send, long enough for the caller to try again elsewhere.
/// The retry finds the claim and runs nothing. Then the entry wakes up and sends: once in all.
async fn paused_after_claim() -> Result<()> {
    let (site, held) = site_with_held().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { hold(to, "k", "bed 1").await });
    until("the claim is made", || {
        held.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    let retry = hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(retry.said, Said::Unknown, "{retry:?}");
    assert_eq!(executions(&site, "k"), 0);

    held.permits.add_permits(1);
    assert_eq!(waiting.await?.said, Said::Completed);
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The store commits the claim and its answer is lost. The entry must find its own row again and
/// go on, not refuse and not claim twice.
async fn lost_commit_answer() -> Result<()> {
    let site = site().await?;
    for round in 0..10 {
        let key = format!("key-{round}");
        let table = site.platform.client("entry-0");
        table
            .faults()
            .lose_answers(platform::tally::Kind::Commit, 1);
        let answer = hold(site.entry("entry-0").callers, &key, "bed 1").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        assert_eq!(executions(&site, &key), 1);
    }
    Ok(())
}

/// The store is down. A claim cannot be made, so nothing is sent and the caller is told so, with
/// the time to come back; reads go on. When the store is back the same key runs, once.
async fn store_outage() -> Result<()> {
    let site = site().await?;
    let to = site.any().callers;
    site.platform
        .faults()
        .set_outage(Some(platform::fault::Outage::Refuse));
    let refused = hold(to, "k", "bed 1").await;
    assert_eq!(refused.code, Some(404), "{refused:?}");
    assert_eq!(refused.said, Said::NotRun);
    assert_eq!(executions(&site, "k"), 0);
    let caller = Caller::open(caller_token("stay"));
    let read = caller
        .send(to, Method::GET, "/stay/beds", &[], "", LIMIT)
        .await;
    assert_eq!(read.said, Said::Completed, "{read:?}");

    site.platform.faults().set_outage(None);
    assert_eq!(hold(to, "k", "bed 1").await.said, Said::Completed);
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The worker runs the request and closes without an answer. The caller's repeats, at either
/// entry, are told "unknown"; a second execution would be a doubled booking.
async fn reset_with_key() -> Result<()> {
    let site = site().await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let first = hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Unknown, "{first:?}");
    for worker in site.workers.values() {
        worker.set_mode(Mode::Ok);
    }
    for name in ["entry-0", "entry-1", "entry-0"] {
        let repeat = hold(site.entry(name).callers, "k", "bed 1").await;
        assert_eq!(repeat.said, Said::Unknown, "{repeat:?}");
    }
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// The caller's connection breaks while its request runs. The attempt goes on, its outcome is
/// kept, and the caller's repeat gets the first answer.
async fn caller_hangs_up() -> Result<()> {
    let (site, held) = site_with_held().await?;
    let to = site.entry("entry-held").callers;
    let waiting = tokio::spawn(async move { hold(to, "k", "bed 1").await });
    until("the claim is made", || {
        held.reached.load(Ordering::SeqCst) == 1
    })
    .await?;
    waiting.abort();
    assert!(waiting.await.is_err());
    held.permits.add_permits(1);
    until("the request has run", || executions(&site, "k") == 1).await?;

    let other = site.entry("entry-0").callers;
    let mut repeat = hold(other, "k", "bed 1").await;
    while repeat.code == Some(402) {
        repeat = hold(other, "k", "bed 1").await;
    }
    assert_eq!(repeat.said, Said::Completed, "{repeat:?}");
    assert_eq!(executions(&site, "k"), 1);
    Ok(())
}

/// Every slot that the entry may use is taken, and a hold waits in the queue when its caller hangs
/// up. The caller then asks at another entry; whatever it is told there, the old try must not run
/// later on its own.
async fn caller_hangs_up_in_queue() -> Result<()> {
    const READS: usize = 40;
    let (site, held) = site_with_held().await?;
    let entry = &site.entry("entry-held").entry;
    let to = site.entry("entry-held").callers;
    let mut reads = tokio::task::JoinSet::new();
    for _ in 0..READS {
        let caller = Caller::open(caller_token("stay"));
        reads.spawn(async move {
            caller
                .send(to, Method::GET, "/stay/beds", &[], "", LIMIT)
                .await
                .said
        });
    }
    let sent = || usize::try_from(held.reached.load(Ordering::SeqCst)).unwrap_or(usize::MAX);
    until("every read is sent or waits", || {
        sent() + entry.waiting() == READS
    })
    .await?;
    let waiting = entry.waiting();
    assert!(waiting > 0, "the slots are not all taken");

    let queued = tokio::spawn(async move { hold(to, "k", "bed 1").await });
    until("the hold waits", || entry.waiting() == waiting + 1).await?;
    let probe = Caller::open("none");
    let admin = site.entry("entry-held").admin.address();
    let told = probe
        .send(admin, Method::GET, "/metrics", &[], "", LIMIT)
        .await;
    let line = format!(
        "queue_depth{{account=\"stay\",service=\"stay\"}} {}",
        waiting + 1
    );
    let told = String::from_utf8_lossy(&told.body).into_owned();
    assert!(told.contains(&line), "{told}");
    queued.abort();
    assert!(queued.await.is_err());
    until("the hold has left the queue", || entry.waiting() == waiting).await?;
    held.permits.add_permits(READS);
    while let Some(said) = reads.join_next().await {
        assert_eq!(said?, Said::Completed);
    }
    assert_eq!(executions(&site, "k"), 0);
    Ok(())
}

/// A hold has run. Later no worker serves, and the caller, whose first answer was lost, repeats it:
/// at the entry that ran it, and at another with the repeat header. Neither may say "not run". A
/// key that nobody has used is truly not run.
async fn refused_repeat() -> Result<()> {
    let site = site().await?;
    let first = hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(first.said, Said::Completed, "{first:?}");
    let order = primroseroute_api::Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    let mut last = None;
    for name in site.workers.keys() {
        last = Some(site.any().admin.drain(name, &order).await?.version);
    }
    site.in_force(last.expect("there are workers")).await?;

    let again = hold(site.entry("entry-0").callers, "k", "bed 1").await;
    assert_eq!(
        (again.said.clone(), again.code),
        (Said::Unknown, Some(403)),
        "{again:?}"
    );
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", "k"), ("idempotency-repeat", "1")];
    let to = site.entry("entry-1").callers;
    let marked = caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", LIMIT)
        .await;
    assert_eq!(
        (marked.said.clone(), marked.code),
        (Said::Unknown, Some(403)),
        "{marked:?}"
    );
    let fresh = hold(to, "fresh", "bed 1").await;
    assert_eq!(
        (fresh.said.clone(), fresh.code),
        (Said::NotRun, Some(203)),
        "{fresh:?}"
    );
    Ok(())
}

/// A worker is chosen and the claim waits for a slow store. Meanwhile the worker is drained, and
/// the drain is in force. The request must go to another worker: a leaving one gets nothing new.
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
            holds.spawn(async move { hold(to, &format!("{round}-{number}"), "bed").await });
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        let accepted = site.entry("entry-1").admin.drain(name, &order).await?;
        site.in_force(accepted.version).await?;
        let before = worker.count().executions;
        while let Some(answer) = holds.join_next().await {
            assert_eq!(answer?.said, Said::Completed);
        }
        assert_eq!(
            worker.count().executions,
            before,
            "{name} got new work after its drain"
        );
        slow.faults().clear();
    }
    Ok(())
}

/// The worker runs the request and closes without an answer. Then no instance serves any more. The
/// caller's marked repeat is refused before its key is looked up; "not run" would be a lie, since
/// the first attempt ran. A first request in the same moment is truly not run.
async fn repeat_without_instance() -> Result<()> {
    let site = site().await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let to = site.any().callers;
    assert_eq!(hold(to, "k", "bed 1").await.said, Said::Unknown);
    assert_eq!(executions(&site, "k"), 1);
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    for name in site.workers.keys() {
        let accepted = site.any().admin.drain(name, &order).await?;
        site.in_force(accepted.version).await?;
    }
    let caller = Caller::open(caller_token("stay"));
    let headers = [("idempotency-key", "k"), ("idempotency-repeat", "1")];
    let repeat = caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", LIMIT)
        .await;
    assert_eq!(repeat.said, Said::Unknown, "{repeat:?}");
    assert_eq!(hold(to, "other", "bed 2").await.said, Said::NotRun);
    Ok(())
}
