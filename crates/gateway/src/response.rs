//! Responses to callers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use primroseroute_domain::outcome::{Code, Refusal};
use primroseroute_front::problem;
use std::time::Duration;

/// When a refused caller should retry: a store that is unavailable usually recovers within some
/// seconds, and another entry may reach it sooner.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A success with a JSON body.
pub(crate) fn json(body: Bytes) -> Response<Body> {
    let mut response = Response::new(problem::full_body(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// A success without content.
pub(crate) fn empty() -> Response<Body> {
    json(Bytes::from_static(b"{}"))
}

/// A refusal with a time after which to retry.
pub(crate) fn refused_for(
    delay: Duration,
    code: Code,
    detail: impl Into<String>,
    request: &str,
) -> Response<Body> {
    problem::error_response(&Refusal::new(code, detail.into()), request, Some(delay))
}

/// A refusal or failure; temporary ones say when to retry.
pub(crate) fn refused(code: Code, detail: impl Into<String>, request: &str) -> Response<Body> {
    let temporary = StatusCode::from_u16(code.status())
        .is_ok_and(|status| status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS);
    let retry_after = temporary.then_some(RETRY_AFTER);
    problem::error_response(&Refusal::new(code, detail.into()), request, retry_after)
}
