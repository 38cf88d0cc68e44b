//! A client that follows the caller contract, for tests, the demo and the load tool.

use crate::http1::{self, Failure, Http};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use primroseroute_domain::outcome::Verdict;
use serde::Deserialize;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// What a caller knows about the execution of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// The backend server's complete response was received.
    Completed,
    /// The request is known not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The result of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What the caller knows about its execution.
    pub said: Said,
    /// The numbered code of a problem response.
    pub code: Option<u16>,
    /// The status; `None` if no response was received.
    pub status: Option<StatusCode>,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Problem {
    code: u16,
}

/// A caller of one client account.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Http,
    token: Arc<str>,
}

impl Caller {
    /// Creates a caller that uses its account's bearer token.
    pub fn open(token: impl Into<Arc<str>>) -> Self {
        Self {
            http: http1::new_client(),
            token: token.into(),
        }
    }

    /// Sends one request to the entry at `to` and waits up to `limit` for the response.
    ///
    /// `headers`, such as the idempotency key, are added as they are.
    ///
    /// # Panics
    /// If `path` or a header is malformed.
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
            Ok(response) => parse_response(response),
            Err(Failure::Connect(_)) => without_response(Said::NotRun),
            Err(Failure::Lost(_)) => without_response(Said::Unknown),
        }
    }
}

fn without_response(said: Said) -> Answer {
    Answer {
        said,
        code: None,
        status: None,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn parse_response(response: http::Response<Bytes>) -> Answer {
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
    let content_type = parts
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let problem = content_type == Some("application/problem+json");
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
