//! Answers to callers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use primroseroute_domain::outcome::{Code, Refusal};
use primroseroute_front::problem;
use std::time::Duration;

/// When a refused caller should come back: a store that is away is back after some seconds, and
/// another entry may reach it before.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A success with a JSON body.
pub(crate) fn json(body: Bytes) -> Response<Body> {
    let mut response = Response::new(problem::full_body(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// A success without anything to tell.
pub(crate) fn done() -> Response<Body> {
    json(Bytes::from_static(b"{}"))
}

/// A refusal or failure; those that may pass say when to come back.
pub(crate) fn refused(code: Code, detail: impl Into<String>, request: &str) -> Response<Body> {
    let passing = StatusCode::from_u16(code.status())
        .is_ok_and(|status| status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS);
    let retry_after = passing.then_some(RETRY_AFTER);
    problem::error_response(&Refusal::new(code, detail.into()), request, retry_after)
}
