//! A caller that follows the caller contract, for tests, the demo and the load tool.

use crate::http1::{self, Failure, Http};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use primroseroute_domain::outcome::Verdict;
use serde::Deserialize;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// What a caller knows after one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// The whole answer of the backend server.
    Completed,
    /// Proven not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What the caller knows.
    pub said: Said,
    /// The numbered code of an error.
    pub code: Option<u16>,
    /// The status; none where no answer came.
    pub status: Option<StatusCode>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Problem {
    code: u16,
}

/// A caller of one account.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Http,
    token: Arc<str>,
}

impl Caller {
    /// A caller with its account's bearer token.
    pub fn open(token: impl Into<Arc<str>>) -> Self {
        Self {
            http: http1::open(),
            token: token.into(),
        }
    }

    /// Sends one request to the entry at `to` and waits for its end, at most `limit`.
    ///
    /// `headers` are added as they are, such as the idempotency key.
    ///
    /// # Panics
    /// Where `path` or a header is malformed.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .expect("the request is well formed");
        match http1::exchange(&self.http, request, limit).await {
            Ok(response) => read(response),
            Err(Failure::Connect(_)) => nothing(Said::NotRun),
            Err(Failure::Lost(_)) => nothing(Said::Unknown),
        }
    }
}

fn nothing(said: Said) -> Answer {
    Answer {
        said,
        code: None,
        status: None,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn read(response: http::Response<Bytes>) -> Answer {
    let (parts, body) = response.into_parts();
    let outcome = parts
        .headers
        .get("x-outcome")
        .and_then(|value| value.to_str().ok());
    let said = match outcome {
        Some(text) if text == Verdict::Completed.as_str() => Said::Completed,
        Some(text) if text == Verdict::NotRun.as_str() => Said::NotRun,
        _ => Said::Unknown,
    };
    let kind = parts
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let problem = kind == Some("application/problem+json");
    let code = problem
        .then(|| serde_json::from_slice::<Problem>(&body).ok())
        .flatten();
    Answer {
        said,
        code: code.map(|problem| problem.code),
        status: Some(parts.status),
        headers: parts.headers,
        body,
    }
}
