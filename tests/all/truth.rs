//! I3 and I4: a caller gets the whole answer to its own request or a clear error, and "not run" is
//! said only where it is proven.

use crate::{LIMIT, cases, stay};
use async_trait::async_trait;
use eyre::Result;
use http::{HeaderValue, Method, Request, Response};
use primroseroute_entry::Components;
use primroseroute_route::backend::{Backend, Body, ConnectionPool, Failure};
use primroseroute_testbed::{Answer, Caller, Said, Site, backend::Mode, caller_token};
use std::{net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// Large enough to stream: the entry holds 64 KiB before it sends the head on.
const LARGE: &str = "300000";

cases! {
    late_answer_is_nobody_elses => late_answer();
    death_inside_a_small_answer_is_unknown => small_death(Mode::Truncated);
    death_before_the_last_chunk_is_unknown => small_death(Mode::TruncatedChunks);
    garbage_is_unknown => small_death(Mode::Garbage);
    death_inside_a_large_answer_breaks_the_callers_connection => large_death();
    reset_after_send_is_unknown_and_not_sent_again => reset_without_key();
    reset_of_a_read_is_tried_elsewhere => reset_of_a_read();
    refused_connection_is_tried_elsewhere => refused_connection();
    nobody_to_connect_to_is_not_run => nobody_listens();
    answer_that_names_another_request_is_refused => mixed_up_answer();
    large_answer_arrives_whole => large_answer();
    large_request_arrives_whole => large_request();
}

async fn send(site: &Site, method: Method, headers: &[(&str, &str)], body: &'static str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    caller
        .send(
            site.any().callers,
            method,
            "/stay/beds",
            headers,
            body,
            LIMIT,
        )
        .await
}

fn executions(site: &Site) -> u64 {
    site.workers
        .values()
        .map(|worker| worker.count().executions)
        .sum()
}

/// The first caller's time is up and it is told "unknown". The worker answers it later, on the
/// connection of the first request. The second caller's request goes to the same worker and must
/// get its own answer: the first connection must have been closed with the timeout.
async fn late_answer() -> Result<()> {
    let site = stay(1).await?;
    site.worker("stay-0")
        .set_mode(Mode::Late(std::time::Duration::from_millis(300)));
    let headers = [("x-request-id", "first"), ("request-timeout-ms", "100")];
    let first = send(&site, Method::POST, &headers, "bed 1").await;
    assert_eq!(first.said, Said::Unknown, "{first:?}");
    assert_eq!(first.code, Some(303));

    site.worker("stay-0").set_mode(Mode::Ok);
    for number in 0..20 {
        let id = format!("own-{number}");
        let answer = send(&site, Method::GET, &[("x-request-id", &id)], "").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        let body = String::from_utf8_lossy(&answer.body);
        assert!(body.contains(&id), "{body} is another request's answer");
    }
    Ok(())
}

/// The worker runs the request, sends part of the answer and dies. The caller must not see a 200
/// with half a body, and must not be told "not run", since it did run.
async fn small_death(mode: Mode) -> Result<()> {
    let site = stay(1).await?;
    site.worker("stay-0").set_mode(mode);
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(answer.code, Some(302));
    assert_eq!(executions(&site), 1);
    Ok(())
}

/// The head of a large answer has gone to the caller when the worker dies. The only truthful way
/// left is to break the caller's connection off, so that its HTTP library reports a short body.
async fn large_death() -> Result<()> {
    let site = stay(1).await?;
    site.worker("stay-0").set_mode(Mode::Truncated);
    let answer = send(&site, Method::GET, &[("x-answer-bytes", LARGE)], "").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(
        answer.status, None,
        "the caller took a short answer for a whole one"
    );
    Ok(())
}

/// The worker runs the request and closes without an answer. Without a key nothing may be sent
/// again: a second worker stands ready and must stay idle.
async fn reset_without_key() -> Result<()> {
    let site = stay(2).await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(answer.code, Some(302));
    assert_eq!(executions(&site), 1);
    Ok(())
}

/// One of two workers resets everything. Reads are idempotent, so each is tried at the other
/// worker and every caller gets its answer.
async fn reset_of_a_read() -> Result<()> {
    let site = stay(2).await?;
    site.worker("stay-0").set_mode(Mode::Reset);
    for _ in 0..5 {
        let answer = send(&site, Method::GET, &[], "").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
    Ok(())
}

/// One of two workers no longer listens. No byte was sent to it, so even a request without a key
/// may go to the other, and runs once.
async fn refused_connection() -> Result<()> {
    let site = stay(2).await?;
    site.kill_worker("stay-0").await?;
    for _ in 0..5 {
        let answer = send(&site, Method::POST, &[], "bed 1").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
    assert_eq!(executions(&site), 5);
    Ok(())
}

/// No worker listens. Nothing was sent anywhere, so the caller is told "not run" and when to come
/// back.
async fn nobody_listens() -> Result<()> {
    let site = stay(1).await?;
    site.kill_worker("stay-0").await?;
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::NotRun, "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert_eq!(executions(&site), 0);
    Ok(())
}

async fn large_answer() -> Result<()> {
    let site = stay(1).await?;
    let answer = send(&site, Method::GET, &[("x-answer-bytes", LARGE)], "").await;
    assert_eq!(answer.said, Said::Completed, "{:?}", answer.code);
    assert_eq!(answer.body.len().to_string(), LARGE);
    Ok(())
}

async fn large_request() -> Result<()> {
    let site = stay(1).await?;
    let body = vec![7_u8; 300_000];
    let caller = Caller::open(caller_token("stay"));
    let to = site.any().callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], body, LIMIT)
        .await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    assert_eq!(answer.headers["x-body-bytes"], "300000");
    Ok(())
}

/// Backend servers that answer each request with the id of another.
#[derive(Debug)]
struct MixedUp(ConnectionPool);

#[async_trait]
impl Backend for MixedUp {
    async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure> {
        let mut response = self.0.send(to, request, not_after).await?;
        response
            .headers_mut()
            .insert("x-request-id", HeaderValue::from_static("another"));
        Ok(response)
    }

    fn sweep(&self) {}
}

/// A worker mixes its answers up and says so by the request id that it returns. The caller must get
/// an error, not another caller's answer; the request may have run.
async fn mixed_up_answer() -> Result<()> {
    let mut site = stay(1).await?;
    let backend = Arc::new(MixedUp(ConnectionPool::new()));
    site.start_with("mixed", |parts| Components { backend, ..parts })
        .await?;
    let seq = site.ledger().head().await?.seq;
    site.in_force(seq).await?;
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry("mixed").callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], "bed 1", LIMIT)
        .await;
    assert_eq!(
        (answer.said.clone(), answer.code),
        (Said::Unknown, Some(304)),
        "{answer:?}"
    );
    Ok(())
}
