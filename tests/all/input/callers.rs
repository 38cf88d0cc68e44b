//! Invalid requests of callers.

use super::{
    MAX_BODY_BYTES, MAX_HEAD_BYTES, Port, assert_service_unaffected, exchange, garbage, site,
};
use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Said, caller_token};

cases! {
    bad_requests_get_their_codes => bad_requests();
    oversized_body_gets_413 => oversized_body();
    oversized_headers_get_431 => oversized_head(0, MAX_HEAD_BYTES);
    oversized_path_gets_431 => oversized_head(MAX_HEAD_BYTES, 0);
    head_far_over_the_limit_gets_a_bare_431 => far_oversized_head();
    slow_head_is_closed => slow_head();
    invalid_request_id_is_replaced => invalid_request_id();
    garbage_gets_a_bare_400 => garbage(Port::Callers);
}

/// Expected code and status, then token, path and headers of a request that must be rejected.
type InvalidRequest<'a> = (u16, u16, &'a str, &'a str, &'a [(&'a str, &'a str)]);

async fn bad_requests() -> Result<()> {
    let site = site().await?;
    let long = "k".repeat(256);
    let stay = caller_token("stay");
    let bad: [InvalidRequest<'_>; 15] = [
        (102, 401, "wrong", "/stay/beds", &[]),
        (102, 401, "", "/stay/beds", &[]),
        (103, 403, &caller_token("tour"), "/stay/beds", &[]),
        (104, 404, &stay, "/nowhere", &[]),
        (104, 404, &stay, "/stayed/beds", &[]),
        (104, 404, &stay, "/", &[]),
        (105, 400, &stay, "/stay/beds", &[("idempotency-key", "")]),
        (
            105,
            400,
            &stay,
            "/stay/beds",
            &[("idempotency-key", "a\tb")],
        ),
        (105, 400, &stay, "/stay/beds", &[("idempotency-key", "a b")]),
        (105, 400, &stay, "/stay/beds", &[("idempotency-key", &long)]),
        (
            105,
            400,
            &stay,
            "/stay/beds",
            &[("idempotency-key", "one"), ("idempotency-key", "two")],
        ),
        (108, 400, &stay, "/stay/beds", &[("request-timeout-ms", "")]),
        (
            108,
            400,
            &stay,
            "/stay/beds",
            &[("request-timeout-ms", "0")],
        ),
        (
            108,
            400,
            &stay,
            "/stay/beds",
            &[("request-timeout-ms", "-5")],
        ),
        (
            108,
            400,
            &stay,
            "/stay/beds",
            &[("request-timeout-ms", "1s")],
        ),
    ];
    for (code, status, token, path, headers) in bad {
        let caller = Caller::open(token);
        let to = site.any_entry().callers;
        let answer = caller
            .send(to, Method::POST, path, headers, "bed", TIMEOUT)
            .await;
        let case = format!("{path} {headers:?}: {answer:?}");
        assert_eq!(answer.said, Said::NotRun, "{case}");
        assert_eq!(answer.code, Some(code), "{case}");
        assert_eq!(answer.status.map(|s| s.as_u16()), Some(status), "{case}");
    }
    // A missing token and unsupported authentication schemes.
    for header in [
        "",
        "authorization: Basic c3RheQ==\r\n",
        "authorization: x\r\n",
    ] {
        let head =
            format!("GET /stay/beds HTTP/1.1\r\nhost: a\r\n{header}connection: close\r\n\r\n");
        let answer = exchange(site.any_entry().callers, head.as_bytes()).await?;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        assert!(answer.contains("\"code\":102"), "{answer}");
    }
    assert_service_unaffected(&site).await;
    Ok(())
}

/// The limit applies to bodies with a content length and to chunked ones, with and without an
/// idempotency key.
async fn oversized_body() -> Result<()> {
    let site = site().await?;
    let caller = Caller::open(caller_token("stay"));
    for headers in [&[][..], &[("idempotency-key", "large")]] {
        let body = vec![b'x'; MAX_BODY_BYTES + 1];
        let to = site.any_entry().callers;
        let answer = caller
            .send(to, Method::POST, "/stay/beds", headers, body, TIMEOUT)
            .await;
        assert_eq!(answer.code, Some(106), "{answer:?}");
        assert_eq!(answer.status.map(|s| s.as_u16()), Some(413));
    }
    for key in ["", "idempotency-key: chunks\r\n"] {
        for excess_bytes in [1, 10 * MAX_BODY_BYTES] {
            let answer = exchange(site.any_entry().callers, &chunked(key, excess_bytes)).await?;
            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
            assert!(answer.contains("\"code\":106"), "{answer}");
        }
    }
    assert_service_unaffected(&site).await;
    Ok(())
}

/// A chunked request whose body exceeds the limit by `over` bytes.
fn chunked(header: &str, excess_bytes: usize) -> Vec<u8> {
    let token = caller_token("stay");
    let (allowed, excess) = ("x".repeat(MAX_BODY_BYTES), "x".repeat(excess_bytes));
    format!(
        "POST /stay/beds HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n{header}\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         {MAX_BODY_BYTES:x}\r\n{allowed}\r\n{excess_bytes:x}\r\n{excess}\r\n0\r\n\r\n"
    )
    .into_bytes()
}

/// The header section exceeds the limit through its headers or its path, but is still read whole.
async fn oversized_head(path: usize, cookie: usize) -> Result<()> {
    let site = site().await?;
    let (path, cookie) = ("p".repeat(path), "c".repeat(cookie));
    let head = format!("GET /stay/{path} HTTP/1.1\r\nhost: a\r\ncookie: {cookie}\r\n\r\n");
    for port in [Port::Callers, Port::Admin] {
        let answer = exchange(port.of(&site), head.as_bytes()).await?;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert!(answer.contains("\"code\":107"), "{answer}");
    }
    assert_service_unaffected(&site).await;
    Ok(())
}

/// The HTTP library reads at most twice the limit and then responds by itself, without a body.
async fn far_oversized_head() -> Result<()> {
    let site = site().await?;
    let cookie = "c".repeat(3 * MAX_HEAD_BYTES);
    let head = format!("GET /stay/beds HTTP/1.1\r\nhost: a\r\ncookie: {cookie}\r\n\r\n");
    let answer = exchange(site.any_entry().callers, head.as_bytes()).await?;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_service_unaffected(&site).await;
    Ok(())
}

/// A caller opens a connection and sends only part of the header section. Without a header timeout
/// it would occupy one of a bounded number of connections indefinitely.
async fn slow_head() -> Result<()> {
    let site = site().await?;
    let answer = exchange(
        site.any_entry().callers,
        b"GET /stay/beds HTTP/1.1\r\nhost:",
    )
    .await?;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_service_unaffected(&site).await;
    Ok(())
}

/// gotham assumes that the request id is valid UTF-8 and panics otherwise, so the caller's
/// connection would close without a response.
async fn invalid_request_id() -> Result<()> {
    let site = site().await?;
    for name in [&b"\xff\xfe"[..], b"two words", &[b'n'; 129]] {
        let token = caller_token("stay");
        let mut head = b"GET /nowhere HTTP/1.1\r\nhost: a\r\nx-request-id: ".to_vec();
        head.extend_from_slice(name);
        head.extend_from_slice(format!("\r\nauthorization: Bearer {token}\r\n").as_bytes());
        head.extend_from_slice(b"connection: close\r\n\r\n");
        let answer = exchange(site.any_entry().callers, &head).await?;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        assert!(answer.contains("\"code\":104"), "{answer}");
    }
    assert_service_unaffected(&site).await;
    Ok(())
}
