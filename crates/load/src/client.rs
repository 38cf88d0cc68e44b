//! Sending one request on a kept connection.

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

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub(crate) verdict: Verdict,
    pub(crate) code: Option<u16>,
}

impl Ended {
    fn without_answer(verdict: Verdict) -> Self {
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

/// Connections to one target; the newest idle one is used first.
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

    /// Sends a request of `profile` and waits for its end, at most `timeout`.
    pub(crate) async fn send(&self, profile: &Profile, key: &str, timeout: Duration) -> Ended {
        let give_up = Instant::now() + timeout;
        let request = self.request(profile, key, timeout);
        let connected = timeout_at(give_up, self.connect()).await;
        let Ok(Ok(mut sender)) = connected else {
            return Ended::without_answer(Verdict::NotRun);
        };
        let answer = timeout_at(give_up, exchange(&mut sender, request)).await;
        let Ok(Ok(response)) = answer else {
            return Ended::without_answer(Verdict::Unknown);
        };
        if sender.is_ready() {
            self.idle.lock().push(sender);
        }
        read(&response)
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
            .expect("a profile's request is well formed")
    }

    async fn connect(&self) -> io::Result<Sender> {
        while let Some(sender) = self.take() {
            if !sender.is_closed() {
                return Ok(sender);
            }
        }
        let socket = TcpStream::connect(self.to).await?;
        socket.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // How a connection ends is seen by the request that was on it.
            drop(connection.await);
        });
        Ok(sender)
    }

    fn take(&self) -> Option<Sender> {
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
    // The connection is free again once its task has seen the end of the answer.
    sender.ready().await?;
    Ok(Response::from_parts(parts, body))
}

/// What the caller knows: the outcome header says it; without one, as from a backend server, the
/// status does.
fn read(response: &Response<Bytes>) -> Ended {
    let said = response.headers().get("x-outcome");
    let verdict = match said.and_then(|value| value.to_str().ok()) {
        Some("completed") => Verdict::Completed,
        Some("not-run") => Verdict::NotRun,
        None if response.status().is_success() => Verdict::Completed,
        Some(_) | None => Verdict::Unknown,
    };
    let code = is_problem(response.headers())
        .then(|| serde_json::from_slice::<Problem>(response.body()).ok())
        .flatten();
    Ended {
        verdict,
        code: code.map(|problem| problem.code),
    }
}

fn is_problem(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind == "application/problem+json")
}
