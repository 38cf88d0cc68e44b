//! HTTP client for the platform.

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

/// Maximum response size: a scan of 1,200 instance rows is under 1 MiB; the rest is headroom.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum number of characters of a response body that an error detail includes.
const MAX_DETAIL_CHARS: usize = 200;

/// Address and timeout of the platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL, such as `http://127.0.0.1:7000`; a path is kept as a prefix.
    pub url: String,
    /// Time limit for one call, including connection setup and response.
    pub timeout: Duration,
    /// Name under which the platform accounts for this caller's calls.
    pub caller: Arc<str>,
}

/// Invalid client options.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The URL cannot be parsed.
    #[error("`{url}` is not a URL")]
    Url {
        /// URL as configured.
        url: String,
        /// Parse error.
        source: InvalidUri,
    },
    /// The URL is not a plain HTTP URL with a host.
    #[error("`{0}` is not a URL of the form http://HOST:PORT")]
    Host(String),
    /// The caller's name is not a valid header value.
    #[error("caller name `{0}` is not a valid header value")]
    Caller(String),
}

/// HTTP client for the platform; clones share one connection pool.
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

/// Error for a call whose response is missing or cannot be decoded: ambiguous if the call mutates.
fn ambiguous_error<C: Call>(detail: impl fmt::Display) -> Error {
    if C::MUTATES {
        Error::Unknown(detail.to_string())
    } else {
        Error::Unavailable(detail.to_string())
    }
}

fn detail(status: StatusCode, body: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(body)
        .chars()
        .take(MAX_DETAIL_CHARS)
        .collect();
    format!("{status} {text}").trim_end().to_owned()
}

/// Interprets a complete response.
fn interpret_response<C: Call>(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<C::Answer, Error> {
    match status {
        StatusCode::OK => serde_json::from_slice(body).map_err(ambiguous_error::<C>),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            Err(Error::Invalid(detail(status, body)))
        }
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(wire::NOT_APPLIED) => {
            Err(Error::Unavailable(detail(status, body)))
        }
        _ => Err(ambiguous_error::<C>(detail(status, body))),
    }
}

impl Client {
    /// Creates a client; connections are established on demand.
    ///
    /// # Errors
    /// [`OpenError`] if the URL or the caller's name is invalid.
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
        // A black-holed address must fail as "no connection", which proves that nothing was sent,
        // before the timeout of the whole call turns it into "unknown".
        connector.set_connect_timeout(Some(options.timeout / 2));
        Ok(Self {
            base: options.url.trim_end_matches('/').into(),
            timeout: options.timeout,
            caller: HeaderValue::from_str(&options.caller)
                .map_err(|_invalid| OpenError::Caller(options.caller.to_string()))?,
            // hyper-util retries a request only if a reused connection was closed before any of the request
            // was sent; any later failure ends the call, since a retry could execute it twice.
            inner: legacy::Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .build(connector),
        })
    }

    async fn call<C: Call>(&self, call: &C) -> Result<C::Answer, Error> {
        match timeout(self.timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(elapsed) => Err(ambiguous_error::<C>(elapsed)),
        }
    }

    async fn exchange<C: Call>(&self, call: &C) -> Result<C::Answer, Error> {
        let request = self.request(call)?;
        let response = self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Unavailable(format!("no connection to {}", self.base))
            } else {
                ambiguous_error::<C>(error)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        match body {
            Ok(body) => interpret_response::<C>(head.status, &head.headers, &body.to_bytes()),
            // The status alone determines the error.
            Err(_) if head.status != StatusCode::OK => {
                interpret_response::<C>(head.status, &head.headers, b"")
            }
            Err(error) => Err(ambiguous_error::<C>(error)),
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
