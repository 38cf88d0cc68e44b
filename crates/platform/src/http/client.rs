//! The client.

use super::wire::{self, Call};
use crate::{
    error::Error,
    fleet::{Instances, List},
    object::Store,
    table::{Commit, Key, Page, Row, Scan, Table, Txn},
    task::{Report, Start, Tasks, Token},
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{
    HeaderValue, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HeaderMap},
    uri::InvalidUri,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use primroseroute_domain::id;
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Largest answer in bytes: a scan of 1,200 instance rows is under 1 MiB; the rest is headroom.
const MAX_ANSWER: usize = 64 << 20;

/// Longest detail of an error that the platform's answer adds, in characters.
const MAX_DETAIL: usize = 200;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens, such as `http://127.0.0.1:7000`; a path is kept as a prefix.
    pub url: String,
    /// How long one call may take, connection and answer included.
    pub timeout: Duration,
    /// The name that the platform counts this caller's calls under.
    pub caller: Arc<str>,
}

/// Why a client could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The URL cannot be read.
    #[error("`{url}` is no URL")]
    Url {
        /// As it was given.
        url: String,
        /// What is wrong with it.
        source: InvalidUri,
    },
    /// The URL names no HTTP host.
    #[error("`{0}` is no URL of the form http://HOST:PORT")]
    Host(String),
    /// The caller's name does not fit into a header.
    #[error("`{0}` cannot name a caller")]
    Caller(String),
}

/// The platform over HTTP; clones share one pool of connections.
#[derive(Clone)]
pub struct Client {
    base: Arc<str>,
    timeout: Duration,
    caller: HeaderValue,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("base", &self.base)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// The error for a call whose answer is missing or cannot be read.
fn lost<C: Call>(detail: impl fmt::Display) -> Error {
    if C::MUTATES {
        Error::Unknown(detail.to_string())
    } else {
        Error::Unavailable(detail.to_string())
    }
}

fn detail(status: StatusCode, body: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(body)
        .chars()
        .take(MAX_DETAIL)
        .collect();
    format!("{status} {text}").trim_end().to_owned()
}

/// What a whole answer means.
fn conclude<C: Call>(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<C::Answer, Error> {
    match status {
        StatusCode::OK => serde_json::from_slice(body).map_err(lost::<C>),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            Err(Error::Invalid(detail(status, body)))
        }
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(wire::NOT_APPLIED) => {
            Err(Error::Unavailable(detail(status, body)))
        }
        _ => Err(lost::<C>(detail(status, body))),
    }
}

impl Client {
    /// Opens a client; connections are made when they are needed.
    ///
    /// # Errors
    /// [`OpenError`] where the URL or the caller's name cannot be used.
    pub fn open(options: &Options) -> Result<Self, OpenError> {
        let uri: Uri = options.url.parse().map_err(|source| OpenError::Url {
            url: options.url.clone(),
            source,
        })?;
        if uri.scheme_str() != Some("http") || uri.host().is_none() || uri.query().is_some() {
            return Err(OpenError::Host(options.url.clone()));
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A black-holed address must end as "no connection", which proves that nothing was sent,
        // before the timeout of the whole call ends it as "unknown".
        connector.set_connect_timeout(Some(options.timeout / 2));
        Ok(Self {
            base: options.url.trim_end_matches('/').into(),
            timeout: options.timeout,
            caller: HeaderValue::from_str(&options.caller)
                .map_err(|_invalid| OpenError::Caller(options.caller.to_string()))?,
            // The library sends a request again only where a reused connection had closed before
            // it took any of it; everything later ends the call, since a repeat could run it twice.
            inner: legacy::Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .build(connector),
        })
    }

    async fn call<C: Call>(&self, call: &C) -> Result<C::Answer, Error> {
        match timeout(self.timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(elapsed) => Err(lost::<C>(elapsed)),
        }
    }

    async fn exchange<C: Call>(&self, call: &C) -> Result<C::Answer, Error> {
        let request = self.request(call)?;
        let response = self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Unavailable(format!("no connection to {}", self.base))
            } else {
                lost::<C>(error)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        match body {
            Ok(body) => conclude::<C>(head.status, &head.headers, &body.to_bytes()),
            // The status alone already says what a refusal means.
            Err(_) if head.status != StatusCode::OK => {
                conclude::<C>(head.status, &head.headers, b"")
            }
            Err(error) => Err(lost::<C>(error)),
        }
    }

    fn request<C: Call>(&self, call: &C) -> Result<Request<Full<Bytes>>, Error> {
        let invalid = |error: &dyn fmt::Display| Error::Invalid(error.to_string());
        let body = serde_json::to_vec(call).map_err(|error| invalid(&error))?;
        Request::post(format!("{}{}", self.base, C::PATH))
            .header(CONTENT_TYPE, "application/json")
            .header(wire::CALLER, &self.caller)
            .body(Full::new(body.into()))
            .map_err(|error| invalid(&error))
    }
}

#[async_trait]
impl Table for Client {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        let key = Key::clone(key);
        let row = self.call(&wire::Read { key }).await?;
        Ok(row.map(Row::from))
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.call(&scan).await.map(Page::from)
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.call(&wire::Txn::from(txn)).await
    }
}

#[async_trait]
impl Store for Client {
    async fn put(&self, name: Arc<str>, value: Bytes) -> Result<(), Error> {
        let value = value.into();
        self.call(&wire::PutObject { name, value }).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let name = name.into();
        let value = self.call(&wire::GetObject { name }).await?;
        Ok(value.map(Bytes::from))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, Error> {
        let prefix = prefix.into();
        self.call(&wire::ListObjects { prefix }).await
    }
}

#[async_trait]
impl Instances for Client {
    async fn list(&self) -> Result<List, Error> {
        self.call(&wire::ListInstances {}).await
    }

    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error> {
        let id = id.clone();
        self.call(&wire::Reboot { id, boots }).await
    }
}

#[async_trait]
impl Tasks for Client {
    async fn start(&self, start: Start) -> Result<(), Error> {
        self.call(&start).await
    }

    async fn renew(&self, job: &id::Job, token: Token, lease: Duration) -> Result<(), Error> {
        let job = job.clone();
        self.call(&wire::Renew { job, token, lease }).await
    }

    async fn checkpoint(&self, job: &id::Job, token: Token) -> Result<(), Error> {
        let job = job.clone();
        self.call(&wire::Checkpoint { job, token }).await
    }

    async fn throttle(&self, job: &id::Job, token: Token, fraction: f64) -> Result<(), Error> {
        let job = job.clone();
        let call = wire::Throttle {
            job,
            token,
            fraction,
        };
        self.call(&call).await
    }

    async fn stop(&self, job: &id::Job, token: Token) -> Result<(), Error> {
        let job = job.clone();
        self.call(&wire::Stop { job, token }).await
    }

    async fn reports(&self) -> Result<Vec<Report>, Error> {
        self.call(&wire::Reports {}).await
    }
}
