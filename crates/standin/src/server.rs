//! Serves a platform over HTTP, for the client of `primroseroute-platform`.
//!
//! Faults are those injected into the platform: a call that ends with `Error::Unknown` gets no
//! response, and its connection is closed.

use crate::{listen::Listener, platform::Platform};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use primroseroute_platform::{
    error::Error,
    fleet::Instances,
    http::wire::{self, Call},
    object::Store,
    table::{Scan, Table},
    task::{Start, Tasks},
};
use std::{fmt, io, net::SocketAddr};
use tokio::net::TcpStream;

/// A running server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
}

impl Server {
    /// Listens on `address`, where port 0 selects any free port, and serves `platform`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(platform: Platform, address: SocketAddr) -> io::Result<Self> {
        let serve = move |stream| serve(stream, platform.clone());
        let listener = Listener::bind(address, serve).await?;
        Ok(Self { listener })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Closes the listener and every connection at once, including those with a call in progress.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

/// Makes hyper close the connection without a response.
#[derive(Debug)]
struct ResponseDropped;

impl fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response dropped by an injected fault")
    }
}

impl std::error::Error for ResponseDropped {}

impl From<hyper::Error> for ResponseDropped {
    fn from(_: hyper::Error) -> Self {
        Self
    }
}

async fn serve(stream: TcpStream, platform: Platform) {
    let service = service_fn(move |request| handle(request, platform.clone()));
    // A lost response ends the connection with an error.
    drop(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

async fn handle(
    request: Request<Incoming>,
    platform: Platform,
) -> Result<Response<Full<Bytes>>, ResponseDropped> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let caller = head.headers.get(wire::CALLER);
    let platform = match caller.and_then(|name| name.to_str().ok()) {
        Some(name) => platform.client(name),
        None => platform,
    };
    let result = dispatch(&platform, head.uri.path(), &body).await;
    respond(result)
}

fn respond(result: Result<Vec<u8>, Error>) -> Result<Response<Full<Bytes>>, ResponseDropped> {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body.into()),
        Err(Error::Unknown(_)) => return Err(ResponseDropped),
        Err(Error::Throttled) => (StatusCode::TOO_MANY_REQUESTS, Bytes::new()),
        Err(Error::Invalid(detail)) => (StatusCode::BAD_REQUEST, detail.into()),
        Err(Error::Unavailable(detail)) => (StatusCode::SERVICE_UNAVAILABLE, detail.into()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let headers = response.headers_mut();
        headers.insert(wire::NOT_APPLIED, HeaderValue::from_static("true"));
    }
    Ok(response)
}

/// Decodes a call of type `C` from `body`, executes it with `run` and encodes its answer.
async fn run<C: Call, F>(body: &[u8], run: impl FnOnce(C) -> F) -> Result<Vec<u8>, Error>
where
    F: Future<Output = Result<C::Answer, Error>>,
{
    let invalid = |error: serde_json::Error| Error::Invalid(error.to_string());
    let call = serde_json::from_slice(body).map_err(invalid)?;
    let answer = run(call).await?;
    serde_json::to_vec(&answer).map_err(invalid)
}

async fn dispatch(platform: &Platform, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    match path.split('/').nth(1) {
        Some("table") => table(platform, path, body).await,
        Some("objects") => objects(platform, path, body).await,
        Some("instances") => instances(platform, path, body).await,
        _ => tasks(platform, path, body).await,
    }
}

fn unknown_path(path: &str) -> Result<Vec<u8>, Error> {
    Err(Error::Invalid(format!("no call at `{path}`")))
}

async fn table(p: &Platform, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    match path {
        wire::Read::PATH => {
            run(body, async |c: wire::Read| {
                Ok(p.read(&c.key).await?.map(wire::Row::from))
            })
            .await
        }
        Scan::PATH => run(body, async |c: Scan| p.scan(c).await.map(wire::Page::from)).await,
        wire::Txn::PATH => run(body, async |c: wire::Txn| p.commit(c.into()).await).await,
        _ => unknown_path(path),
    }
}

async fn objects(p: &Platform, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    match path {
        wire::PutObject::PATH => {
            run(body, async |c: wire::PutObject| {
                p.put(c.name, c.value.into()).await
            })
            .await
        }
        wire::GetObject::PATH => {
            run(body, async |c: wire::GetObject| {
                Ok(p.get(&c.name).await?.map(wire::Value::from))
            })
            .await
        }
        wire::ListObjects::PATH => {
            run(body, async |c: wire::ListObjects| {
                Store::list(p, &c.prefix).await
            })
            .await
        }
        _ => unknown_path(path),
    }
}

async fn instances(p: &Platform, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    match path {
        wire::ListInstances::PATH => {
            run(body, async |_: wire::ListInstances| {
                Instances::list(p).await
            })
            .await
        }
        wire::Reboot::PATH => {
            run(body, async |c: wire::Reboot| p.reboot(&c.id, c.boots).await).await
        }
        _ => unknown_path(path),
    }
}

async fn tasks(p: &Platform, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    match path {
        Start::PATH => run(body, async |c: Start| p.start(c).await).await,
        wire::Renew::PATH => {
            run(body, async |c: wire::Renew| {
                p.renew(&c.job, c.token, c.lease).await
            })
            .await
        }
        wire::Checkpoint::PATH => {
            run(body, async |c: wire::Checkpoint| {
                p.checkpoint(&c.job, c.token).await
            })
            .await
        }
        wire::Throttle::PATH => {
            run(body, async |c: wire::Throttle| {
                p.throttle(&c.job, c.token, c.fraction).await
            })
            .await
        }
        wire::Stop::PATH => run(body, async |c: wire::Stop| p.stop(&c.job, c.token).await).await,
        wire::Reports::PATH => run(body, async |_: wire::Reports| p.reports().await).await,
        _ => unknown_path(path),
    }
}
