//! I7: a planned stop interrupts no request in flight.

use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_api::Order;
use primroseroute_entry::{Components, Timers};
use primroseroute_front::Options;
use primroseroute_testbed::{Answer, Caller, Layout, Said, Site, backend, caller_token, platform};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

cases! {
    entry_stops_under_load_without_interrupting_requests => entry_stops();
    request_sent_during_the_close_is_answered => request_during_close();
    worker_drains_under_load_without_interrupting_requests => worker_drains();
    stopped_entry_is_no_longer_waited_for => stopped_entry_leaves();
}

const CALLERS: usize = 8;

async fn site() -> Result<Site> {
    let worker = backend::Options {
        delay: Duration::from_millis(20),
        ..Default::default()
    };
    let mut site = Site::open_with(Layout::small(), platform::Options::default(), worker).await?;
    site.converge().await?;
    Ok(site)
}

/// Callers that each send one request after another until the load is finished.
struct CallerLoad {
    end: Arc<AtomicBool>,
    callers: JoinSet<Vec<Answer>>,
}

impl CallerLoad {
    fn start(to: SocketAddr) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let end = Arc::clone(&end);
            callers.spawn(async move { send_until_finished(to, number, &end).await });
        }
        Self { end, callers }
    }

    async fn finish(mut self) -> Vec<Answer> {
        self.end.store(true, Ordering::SeqCst);
        let mut answers = Vec::new();
        while let Some(Ok(mut of_one)) = self.callers.join_next().await {
            answers.append(&mut of_one);
        }
        answers
    }
}

async fn send_until_finished(to: SocketAddr, number: usize, end: &AtomicBool) -> Vec<Answer> {
    let caller = Caller::open(caller_token("stay"));
    let mut answers = Vec::new();
    while !end.load(Ordering::SeqCst) {
        let key = format!("caller-{number}-{}", answers.len());
        let headers = [("idempotency-key", key.as_str())];
        answers.push(
            caller
                .send(to, Method::POST, "/stay/holds", &headers, "bed", TIMEOUT)
                .await,
        );
    }
    answers
}

/// The load balancer keeps sending for a while after the stop order, and stops doing so before the
/// grace period ends. Until then the entry must serve normally: each request gets a complete
/// response, and none is rejected.
async fn entry_stops() -> Result<()> {
    let mut site = site().await?;
    site.start_with("stopping", |parts| {
        let timers = Timers {
            grace: Duration::from_secs(2),
            ..parts.timers
        };
        Components { timers, ..parts }
    })
    .await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    let stopping = site.take_entry("stopping");
    let load = CallerLoad::start(stopping.callers);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped = tokio::spawn(stopping.entry.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answers = load.finish().await;
    let bad = answers.iter().find(|answer| answer.said != Said::Completed);
    assert!(bad.is_none(), "one of {}: {bad:?}", answers.len());
    assert!(answers.len() > CALLERS);
    stopped.await?;
    Ok(())
}

/// A caller has an idle connection when the listener closes, and sends a request on it before it
/// sees the close. The request must get a complete response; a closed connection would leave the
/// caller without knowing whether it ran.
async fn request_during_close() -> Result<()> {
    let mut site = site().await?;
    site.start_with("stopping", |parts| {
        // Long enough for a slow machine; the stop ends once all connections are closed.
        let server_options = Options {
            shutdown_grace: TIMEOUT,
            ..parts.server_options
        };
        Components {
            server_options,
            ..parts
        }
    })
    .await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    let stopping = site.take_entry("stopping");
    let mut connection = TcpStream::connect(stopping.callers).await?;
    let request = format!(
        "GET /stay/beds HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\r\n",
        caller_token("stay"),
    );
    // The first exchange ensures that the connection has been accepted.
    connection.write_all(request.as_bytes()).await?;
    let mut buffer = vec![0; 4096];
    assert!(connection.read(&mut buffer).await? > 0);

    let address = stopping.callers;
    let stopped = tokio::spawn(stopping.entry.stop());
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Long enough for a stop that does not wait for connections to have closed this one.
    tokio::time::sleep(Duration::from_millis(50)).await;
    connection.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    stopped.await?;
    Ok(())
}

/// An operator drains a worker under load. Its requests in flight complete, and once all entries
/// have applied the drain and its last request has ended, it gets no further requests.
async fn worker_drains() -> Result<()> {
    let site = site().await?;
    let load = CallerLoad::start(site.entry("entry-0").callers);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: false,
    };
    let accepted = site
        .entry("entry-1")
        .admin
        .drain(&"stay-0".parse()?, &order)
        .await?;
    site.wait_until_applied(accepted.version).await?;
    let drained = Arc::clone(site.worker("stay-0"));
    primroseroute_testbed::wait_until("worker is idle", || drained.count().running == 0).await?;
    let before = drained.count().executions;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answers = load.finish().await;
    assert!(
        answers.iter().all(|answer| answer.said == Said::Completed),
        "a request was interrupted"
    );
    assert_eq!(drained.count().executions, before);
    Ok(())
}

/// An entry that stops as planned removes its registration, so that `--wait` and drains do not wait
/// for it.
async fn stopped_entry_leaves() -> Result<()> {
    let mut site = site().await?;
    site.take_entry("entry-0").entry.stop().await;
    let left = site.ledger().table().read(&"entry/entry-0".into()).await?;
    assert_eq!(left, None);
    Ok(())
}
