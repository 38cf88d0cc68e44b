//! The backend server's modes, observed by a client that reads raw bytes.

use expect_test::{Expect, expect};
use primroseroute_standin::backend::{Backend, Mode, Options};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn bind(options: Options) -> Backend {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Backend::bind(any, options)
        .await
        .expect("loopback has a free port")
}

async fn in_mode(mode: Mode) -> Backend {
    bind(Options {
        mode,
        ..Options::default()
    })
    .await
}

/// Sends one request and reads until the connection closes.
async fn ask(backend: &Backend, extra: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(backend.address())
        .await
        .expect("the server listens");
    let request = format!(
        "POST /hold HTTP/1.1\r\nhost: b\r\nx-request-id: r1\r\nidempotency-key: k1\r\n\
         content-length: 3\r\n{extra}\r\nbed"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request fits the socket");
    let mut answer = Vec::new();
    // Some tests expect a reset, so an error is no failure here.
    drop(stream.read_to_end(&mut answer).await);
    answer
}

async fn text(backend: &Backend, extra: &str) -> String {
    let closing = format!("connection: close\r\n{extra}");
    let answer = ask(backend, &closing).await;
    let text = String::from_utf8_lossy(&answer).replace('\r', "");
    let lines = text.split_inclusive('\n');
    lines.filter(|line| !line.starts_with("date:")).collect()
}

async fn shows(mode: Mode, executions: u64, want: Expect) {
    let backend = in_mode(mode).await;
    want.assert_eq(&text(&backend, "").await);
    assert_eq!(backend.executions("k1"), executions);
    assert_eq!(backend.count().executions, executions);
}

#[tokio::test]
async fn ok_names_the_request() {
    shows(
        Mode::Ok,
        1,
        expect![[r"
        HTTP/1.1 200 OK
        x-request-id: r1
        x-backend: backend
        x-body-bytes: 3
        connection: close
        content-length: 14

        r1 POST /hold
    "]],
    )
    .await;
}

#[tokio::test]
async fn fail_all_executes_nothing() {
    shows(
        Mode::FailAll,
        0,
        expect![[r"
        HTTP/1.1 503 Service Unavailable
        x-request-id: r1
        x-backend: backend
        x-body-bytes: 3
        connection: close
        content-length: 14

        r1 POST /hold
    "]],
    )
    .await;
}

#[tokio::test]
async fn reset_executes_and_says_nothing() {
    shows(Mode::Reset, 1, expect![[r""]]).await;
}

#[tokio::test]
async fn reset_requests_executes_and_says_nothing() {
    shows(Mode::ResetRequests, 1, expect![[r""]]).await;
}

#[tokio::test]
async fn reset_requests_answers_health_checks() {
    let backend = in_mode(Mode::ResetRequests).await;
    let mut stream = TcpStream::connect(backend.address())
        .await
        .expect("the server listens");
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: b\r\nconnection: close\r\n\r\n")
        .await
        .expect("the request fits the socket");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the response is complete");
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
}

#[tokio::test]
async fn truncated_promises_more() {
    shows(
        Mode::Truncated,
        1,
        expect![[r"
        HTTP/1.1 200 OK
        x-request-id: r1
        x-backend: backend
        x-body-bytes: 3
        content-length: 15
        connection: close

        r1 POST"]],
    )
    .await;
}

#[tokio::test]
async fn truncated_chunks_miss_the_last() {
    shows(
        Mode::TruncatedChunks,
        1,
        expect![[r"
        HTTP/1.1 200 OK
        x-request-id: r1
        x-backend: backend
        x-body-bytes: 3
        connection: close
        transfer-encoding: chunked

        7
        r1 POST
    "]],
    )
    .await;
}

#[tokio::test]
async fn garbage_is_no_http() {
    let backend = in_mode(Mode::Garbage).await;
    let answer = ask(&backend, "connection: close\r\n").await;
    assert!(!answer.is_empty() && answer.iter().all(|byte| !byte.is_ascii()));
    assert_eq!(backend.executions("k1"), 1);
}

#[tokio::test]
async fn echoes_and_pads() {
    let backend = in_mode(Mode::Ok).await;
    assert!(text(&backend, "x-echo: 1\r\n").await.ends_with("\n\nbed"));
    assert!(
        text(&backend, "x-answer-bytes: 70000\r\n")
            .await
            .contains("content-length: 70000\n")
    );
    assert_eq!(backend.count().doubled, 1);
}

/// Waits until `count` requests are executing.
async fn running(backend: &Backend, count: u32) {
    while backend.count().running != count {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn counts_overruns_of_slots() {
    // Three requests execute at once with two slots, so one execution began without a free slot.
    let delay = Duration::from_secs(3600);
    let backend = bind(Options {
        slots: 2,
        delay,
        ..Options::default()
    })
    .await;
    let seen = async {
        running(&backend, 3).await;
        let count = backend.count();
        backend.stop();
        count
    };
    let (count, ..) = tokio::join!(
        seen,
        ask(&backend, ""),
        ask(&backend, ""),
        ask(&backend, "")
    );
    assert_eq!(
        (count.executions, count.max_running, count.overruns),
        (3, 3, 1)
    );
    running(&backend, 0).await;
}

#[tokio::test]
async fn execution_outlives_its_caller() {
    // The caller closes its connection while its request executes. The execution continues and keeps
    // its slot, so the next request overruns the only slot.
    let delay = Duration::from_secs(3600);
    let backend = bind(Options {
        slots: 1,
        delay,
        ..Options::default()
    })
    .await;
    tokio::select! {
        answer = ask(&backend, "") => panic!("response too early: {answer:?}"),
        () = running(&backend, 1) => {}
    }
    while backend.count().connections != 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(backend.count().running, 1);
    tokio::select! {
        answer = ask(&backend, "") => panic!("response too early: {answer:?}"),
        () = running(&backend, 2) => {}
    }
    assert_eq!(backend.count().overruns, 1);
}

#[tokio::test]
async fn rejects_connections_over_the_limit() {
    let backend = bind(Options {
        connections: 1,
        ..Options::default()
    })
    .await;
    let mut first = TcpStream::connect(backend.address())
        .await
        .expect("the server listens");
    first
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: b\r\n\r\n")
        .await
        .expect("the request fits the socket");
    assert_eq!(first.read_u8().await.expect("the server responds"), b'H');
    assert_eq!(text(&backend, "").await, "");
    assert_eq!(
        (
            backend.count().rejected_connections,
            backend.count().executions
        ),
        (1, 0)
    );
}

#[tokio::test]
async fn stop_is_abrupt() {
    // The server stops while a request executes; its connection closes without a response.
    let delay = Duration::from_secs(3600);
    let backend = bind(Options {
        delay,
        ..Options::default()
    })
    .await;
    let stopped = async {
        running(&backend, 1).await;
        backend.stop();
    };
    let (answer, ()) = tokio::join!(ask(&backend, ""), stopped);
    assert_eq!(answer, b"");
    assert!(TcpStream::connect(backend.address()).await.is_err());
}
