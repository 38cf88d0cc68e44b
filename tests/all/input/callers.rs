//! Callers' requests.

use super::{BODY, HEAD, Port, exchange, garbage, site, unharmed};
use crate::{LIMIT, cases};
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Said, caller_token};

cases! {
    bad_requests_get_their_codes => bad_requests();
    oversized_body_gets_413 => oversized_body();
    oversized_headers_get_431 => oversized_head(0, HEAD);
    oversized_path_gets_431 => oversized_head(HEAD, 0);
    head_far_over_the_limit_gets_a_bare_431 => far_oversized_head();
    slow_head_is_closed => slow_head();
    request_name_that_is_no_text_is_replaced => odd_request_name();
    garbage_gets_a_bare_400 => garbage(Port::Callers);
}

/// Code, status, token, path and headers of a request that must be refused.
type Bad<'a> = (u16, u16, &'a str, &'a str, &'a [(&'a str, &'a str)]);

async fn bad_requests() -> Result<()> {
    let site = site().await?;
    let long = "k".repeat(256);
    let stay = caller_token("stay");
    let bad: [Bad<'_>; 15] = [
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
        let to = site.any().callers;
        let answer = caller
            .send(to, Method::POST, path, headers, "bed", LIMIT)
            .await;
        let case = format!("{path} {headers:?}: {answer:?}");
        assert_eq!(answer.said, Said::NotRun, "{case}");
        assert_eq!(answer.code, Some(code), "{case}");
        assert_eq!(answer.status.map(|s| s.as_u16()), Some(status), "{case}");
    }
    // A missing token and another scheme.
    for header in [
        "",
        "authorization: Basic c3RheQ==\r\n",
        "authorization: x\r\n",
    ] {
        let head =
            format!("GET /stay/beds HTTP/1.1\r\nhost: a\r\n{header}connection: close\r\n\r\n");
        let answer = exchange(site.any().callers, head.as_bytes()).await?;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        assert!(answer.contains("\"code\":102"), "{answer}");
    }
    unharmed(&site).await;
    Ok(())
}

/// The limit holds for a body that says its length and for one in chunks, claimed or not.
async fn oversized_body() -> Result<()> {
    let site = site().await?;
    let caller = Caller::open(caller_token("stay"));
    for headers in [&[][..], &[("idempotency-key", "large")]] {
        let body = vec![b'x'; BODY + 1];
        let to = site.any().callers;
        let answer = caller
            .send(to, Method::POST, "/stay/beds", headers, body, LIMIT)
            .await;
        assert_eq!(answer.code, Some(106), "{answer:?}");
        assert_eq!(answer.status.map(|s| s.as_u16()), Some(413));
    }
    for key in ["", "idempotency-key: chunks\r\n"] {
        for over in [1, 10 * BODY] {
            let answer = exchange(site.any().callers, &chunked(key, over)).await?;
            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
            assert!(answer.contains("\"code\":106"), "{answer}");
        }
    }
    unharmed(&site).await;
    Ok(())
}

/// A request whose body is `over` bytes too long and does not say so.
fn chunked(header: &str, over: usize) -> Vec<u8> {
    let token = caller_token("stay");
    let (most, more) = ("x".repeat(BODY), "x".repeat(over));
    format!(
        "POST /stay/beds HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n{header}\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         {BODY:x}\r\n{most}\r\n{over:x}\r\n{more}\r\n0\r\n\r\n"
    )
    .into_bytes()
}

/// A head that is read but over the limit, by its headers or by its path.
async fn oversized_head(path: usize, cookie: usize) -> Result<()> {
    let site = site().await?;
    let (path, cookie) = ("p".repeat(path), "c".repeat(cookie));
    let head = format!("GET /stay/{path} HTTP/1.1\r\nhost: a\r\ncookie: {cookie}\r\n\r\n");
    for port in [Port::Callers, Port::Admin] {
        let answer = exchange(port.of(&site), head.as_bytes()).await?;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert!(answer.contains("\"code\":107"), "{answer}");
    }
    unharmed(&site).await;
    Ok(())
}

/// The HTTP library reads no more than twice the limit and answers by itself, without a body.
async fn far_oversized_head() -> Result<()> {
    let site = site().await?;
    let cookie = "c".repeat(3 * HEAD);
    let head = format!("GET /stay/beds HTTP/1.1\r\nhost: a\r\ncookie: {cookie}\r\n\r\n");
    let answer = exchange(site.any().callers, head.as_bytes()).await?;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    unharmed(&site).await;
    Ok(())
}

/// A caller opens a connection and sends half a head. Without a limit on the head's time it would
/// hold the connection, one of a bounded number, for as long as it likes.
async fn slow_head() -> Result<()> {
    let site = site().await?;
    let answer = exchange(site.any().callers, b"GET /stay/beds HTTP/1.1\r\nhost:").await?;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    unharmed(&site).await;
    Ok(())
}

/// gotham takes the request's name for UTF-8 and panics where it is not, so the caller's
/// connection would close without an answer.
async fn odd_request_name() -> Result<()> {
    let site = site().await?;
    for name in [&b"\xff\xfe"[..], b"two words", &[b'n'; 129]] {
        let token = caller_token("stay");
        let mut head = b"GET /nowhere HTTP/1.1\r\nhost: a\r\nx-request-id: ".to_vec();
        head.extend_from_slice(name);
        head.extend_from_slice(format!("\r\nauthorization: Bearer {token}\r\n").as_bytes());
        head.extend_from_slice(b"connection: close\r\n\r\n");
        let answer = exchange(site.any().callers, &head).await?;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        assert!(answer.contains("\"code\":104"), "{answer}");
    }
    unharmed(&site).await;
    Ok(())
}
