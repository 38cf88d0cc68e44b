//! Error responses: RFC 9457 problem details with a result code and the outcome header.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use primroseroute_domain::outcome::{Code, Refusal, Verdict};
use serde::Serialize;
use std::time::Duration;

/// Identifies the request in logs and responses; generated if the caller sends none.
pub const REQUEST_ID: &str = "x-request-id";

/// Outcome of the request: `completed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The body of an error response: RFC 9457 members with extensions.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    code: u16,
    outcome: Verdict,
    request_id: &'a str,
}

/// A body that holds `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// The error response for `refusal`.
///
/// `retry_after` is sent in whole seconds, rounded up: a caller that retries earlier would be
/// refused again.
///
/// # Panics
/// Never: all header values are ASCII.
pub fn error_response(
    refusal: &Refusal,
    request_id: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.code.status()).expect("codes have valid statuses");
    let mut response = problem_response(refusal, status, request_id);
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1);
        let value = u64::try_from(seconds).unwrap_or(u64::MAX);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from(value));
    }
    response
}

fn problem_response(refusal: &Refusal, status: StatusCode, request_id: &str) -> Response<Body> {
    let code = refusal.code;
    let problem = Problem {
        r#type: format!("urn:primroseroute:result:{}", code.number()),
        title: code.title(),
        status: status.as_u16(),
        detail: &refusal.detail,
        code: code.number(),
        outcome: code.verdict(),
        request_id,
    };
    let json = serde_json::to_vec(&problem).expect("problem details are serializable");
    let mut response = Response::new(full_body(json));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(OUTCOME, HeaderValue::from_static(code.verdict().as_str()));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    response
}

/// Adds problem details to error responses of gotham itself, which have no body and no code.
///
/// For an unknown path, a method that the path does not support, a malformed query and a panic,
/// gotham responds with an empty body. A response of a handler has an outcome or a media type and
/// remains unchanged, including empty error responses of backend servers.
pub(crate) fn add_problem_details(response: Response<Body>, request_id: &str) -> Response<Body> {
    let status = response.status();
    let headers = response.headers();
    let is_error = status.is_client_error() || status.is_server_error();
    let is_from_handler =
        headers.contains_key(OUTCOME) || headers.contains_key(header::CONTENT_TYPE);
    if !is_error || is_from_handler {
        return response;
    }
    let (code, detail) = match status {
        StatusCode::NOT_FOUND => (Code::NotFound, "nothing has this path"),
        StatusCode::METHOD_NOT_ALLOWED => (Code::MalformedRequest, "the path has other methods"),
        status if status.is_server_error() => {
            (Code::AnswerLost, "the entry failed inside the request")
        }
        _ => (Code::MalformedRequest, "the path or the query is malformed"),
    };
    let mut completed = problem_response(&Refusal::new(code, detail), status, request_id);
    let allowed = response.headers().get_all(header::ALLOW);
    for method in allowed {
        completed
            .headers_mut()
            .append(header::ALLOW, method.clone());
    }
    completed
}
