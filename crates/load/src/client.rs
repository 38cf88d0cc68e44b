//! An HTTP client that sends requests on keep-alive connections.

use crate::plan::Profile;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use primroseroute_domain::outcome::Verdict;
use serde::Deserialize;
use std::{fmt, io, net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// The outcome of a request as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestEnd {
    pub(crate) verdict: Verdict,
    pub(crate) code: Option<u16>,
}

impl RequestEnd {
    fn without_response(verdict: Verdict) -> Self {
        Self {
            verdict,
            code: None,
        }
    }
}

#[derive(Deserialize)]
struct Problem {
    code: u16,
}

type Sender = SendRequest<Full<Bytes>>;

/// Keep-alive connections to one target; the most recently used idle one is reused first.
pub(crate) struct Client {
    to: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

impl Client {
    pub(crate) fn open(to: SocketAddr) -> Self {
        Self {
            to,
            idle: Mutex::default(),
        }
    }

    /// Sends a request of `profile` and waits at most `timeout` for its outcome.
    pub(crate) async fn send(&self, profile: &Profile, key: &str, timeout: Duration) -> RequestEnd {
        let deadline = Instant::now() + timeout;
        let request = self.request(profile, key, timeout);
        let connected = timeout_at(deadline, self.connect()).await;
        let Ok(Ok(mut sender)) = connected else {
            return RequestEnd::without_response(Verdict::NotRun);
        };
        let exchanged = timeout_at(deadline, exchange(&mut sender, request)).await;
        let Ok(Ok(response)) = exchanged else {
            return RequestEnd::without_response(Verdict::Unknown);
        };
        if sender.is_ready() {
            self.idle.lock().push(sender);
        }
        request_end(&response)
    }

    fn request(&self, profile: &Profile, key: &str, timeout: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(profile.method.clone())
            .uri(&*profile.path)
            .header(header::HOST, self.to.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", profile.token))
            .header("request-timeout-ms", timeout.as_millis().to_string());
        if profile.keyed {
            request = request.header("idempotency-key", key);
        }
        request
            .body(Full::new(profile.body.clone()))
            .expect("a profile yields a valid request")
    }

    async fn connect(&self) -> io::Result<Sender> {
        while let Some(sender) = self.take_idle() {
            if !sender.is_closed() {
                return Ok(sender);
            }
        }
        let socket = TcpStream::connect(self.to).await?;
        socket.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // A connection error is reported to the request in flight on it.
            drop(connection.await);
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        self.idle.lock().pop()
    }
}

async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, hyper::Error> {
    let response: Response<Incoming> = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    // The connection is reusable once its task has read the end of the response.
    sender.ready().await?;
    Ok(Response::from_parts(parts, body))
}

/// Reads the outcome from its header, or from the status if the header is missing, as in responses
/// of a backend server.
fn request_end(response: &Response<Bytes>) -> RequestEnd {
    let outcome = response.headers().get("x-outcome");
    let verdict = match outcome.and_then(|value| value.to_str().ok()) {
        Some("completed") => Verdict::Completed,
        Some("not-run") => Verdict::NotRun,
        None if response.status().is_success() => Verdict::Completed,
        Some(_) | None => Verdict::Unknown,
    };
    let code = is_problem(response.headers())
        .then(|| serde_json::from_slice::<Problem>(response.body()).ok())
        .flatten();
    RequestEnd {
        verdict,
        code: code.map(|problem| problem.code),
    }
}

fn is_problem(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind == "application/problem+json")
}
