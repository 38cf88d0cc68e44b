//! I3 and I4: a caller gets the complete response to its own request or a clear error, and "not
//! run" is reported only where it is proven.

use crate::{TIMEOUT, cases, site_with_workers};
use async_trait::async_trait;
use eyre::Result;
use http::{HeaderValue, Method, Request, Response};
use primroseroute_entry::Components;
use primroseroute_route::backend::{Backend, Body, ConnectionPool, Failure};
use primroseroute_testbed::{Answer, Caller, Said, Site, backend::Mode, caller_token};
use std::{net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// Large enough to be streamed: the entry buffers 64 KiB before it forwards the header section.
const LARGE: &str = "300000";

cases! {
    late_response_reaches_no_other_caller => late_response();
    crash_within_a_small_response_is_unknown => truncated_small_response(Mode::Truncated);
    crash_before_the_last_chunk_is_unknown => truncated_small_response(Mode::TruncatedChunks);
    malformed_response_is_unknown => truncated_small_response(Mode::Garbage);
    crash_within_a_large_response_breaks_the_callers_connection => truncated_large_response();
    reset_after_send_is_unknown_and_not_retried => reset_without_key();
    reset_of_a_read_is_retried_elsewhere => reset_of_a_read();
    refused_connection_is_retried_elsewhere => refused_connection();
    no_listening_worker_is_not_run => no_listening_worker();
    response_to_another_request_is_rejected => mismatched_response();
    large_response_arrives_complete => large_response();
    large_request_arrives_complete => large_request();
}

async fn send(site: &Site, method: Method, headers: &[(&str, &str)], body: &'static str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    caller
        .send(
            site.any_entry().callers,
            method,
            "/stay/beds",
            headers,
            body,
            TIMEOUT,
        )
        .await
}

fn executions(site: &Site) -> u64 {
    site.workers
        .values()
        .map(|worker| worker.count().executions)
        .sum()
}

/// The first caller's request times out and it is told "unknown". The worker responds later, on the
/// connection of the first request. The second caller's request goes to the same worker and must
/// get its own response: the first connection must have been closed on timeout.
async fn late_response() -> Result<()> {
    let site = site_with_workers(1).await?;
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
        assert!(
            body.contains(&id),
            "{body} is the response to another request"
        );
    }
    Ok(())
}

/// The worker runs the request, sends part of the response and crashes. The caller must not see a
/// 200 with a truncated body, and must not be told "not run", since the request did run.
async fn truncated_small_response(mode: Mode) -> Result<()> {
    let site = site_with_workers(1).await?;
    site.worker("stay-0").set_mode(mode);
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(answer.code, Some(302));
    assert_eq!(executions(&site), 1);
    Ok(())
}

/// The header section of a large response has been sent to the caller when the worker crashes. The
/// entry can then only abort the caller's connection, so that its HTTP library reports a truncated
/// body.
async fn truncated_large_response() -> Result<()> {
    let site = site_with_workers(1).await?;
    site.worker("stay-0").set_mode(Mode::Truncated);
    let answer = send(&site, Method::GET, &[("x-answer-bytes", LARGE)], "").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(
        answer.status, None,
        "the caller took a truncated response for a complete one"
    );
    Ok(())
}

/// The worker runs the request and closes without a response. Without an idempotency key it must
/// not be sent again, although a second worker is available.
async fn reset_without_key() -> Result<()> {
    let site = site_with_workers(2).await?;
    for worker in site.workers.values() {
        worker.set_mode(Mode::Reset);
    }
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::Unknown, "{answer:?}");
    assert_eq!(answer.code, Some(302));
    assert_eq!(executions(&site), 1);
    Ok(())
}

/// One of two workers resets all connections. Reads are idempotent, so each is retried at the other
/// worker and every caller gets its response.
async fn reset_of_a_read() -> Result<()> {
    let site = site_with_workers(2).await?;
    site.worker("stay-0").set_mode(Mode::Reset);
    for _ in 0..5 {
        let answer = send(&site, Method::GET, &[], "").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
    Ok(())
}

/// One of two workers no longer listens. No byte was sent to it, so even a request without an
/// idempotency key may go to the other, and runs once.
async fn refused_connection() -> Result<()> {
    let site = site_with_workers(2).await?;
    site.kill_worker("stay-0").await?;
    for _ in 0..5 {
        let answer = send(&site, Method::POST, &[], "bed 1").await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
    }
    assert_eq!(executions(&site), 5);
    Ok(())
}

/// No worker listens. Nothing was sent to any worker, so the caller is told "not run" and when to
/// retry.
async fn no_listening_worker() -> Result<()> {
    let site = site_with_workers(1).await?;
    site.kill_worker("stay-0").await?;
    let answer = send(&site, Method::POST, &[], "bed 1").await;
    assert_eq!(answer.said, Said::NotRun, "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert_eq!(executions(&site), 0);
    Ok(())
}

async fn large_response() -> Result<()> {
    let site = site_with_workers(1).await?;
    let answer = send(&site, Method::GET, &[("x-answer-bytes", LARGE)], "").await;
    assert_eq!(answer.said, Said::Completed, "{:?}", answer.code);
    assert_eq!(answer.body.len().to_string(), LARGE);
    Ok(())
}

async fn large_request() -> Result<()> {
    let site = site_with_workers(1).await?;
    let body = vec![7_u8; 300_000];
    let caller = Caller::open(caller_token("stay"));
    let to = site.any_entry().callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], body, TIMEOUT)
        .await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    assert_eq!(answer.headers["x-body-bytes"], "300000");
    Ok(())
}

/// Returns every response with the request id of another request.
#[derive(Debug)]
struct MismatchedIds(ConnectionPool);

#[async_trait]
impl Backend for MismatchedIds {
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

/// A worker returns a response with the id of another request. The caller must get an error, not
/// another caller's response; the request may have run.
async fn mismatched_response() -> Result<()> {
    let mut site = site_with_workers(1).await?;
    let backend = Arc::new(MismatchedIds(ConnectionPool::new()));
    site.start_with("mixed", |parts| Components { backend, ..parts })
        .await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry("mixed").callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], "bed 1", TIMEOUT)
        .await;
    assert_eq!(
        (answer.said.clone(), answer.code),
        (Said::Unknown, Some(304)),
        "{answer:?}"
    );
    Ok(())
}
