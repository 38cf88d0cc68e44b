//! Builds responses: JSON, plain text, and problem details.

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use primroseroute_api::Problem;
use primroseroute_domain::outcome::Refusal;
use serde::Serialize;

/// Media type of problem details (RFC 9457).
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

fn response_with(status: StatusCode, content_type: HeaderValue, bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A plain-text response.
pub(super) fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    response_with(status, TEXT, text.into().into_bytes())
}

/// A response with the value as JSON, or with the refusal as problem details.
pub(super) fn json<T: Serialize>(result: Result<T, Refusal>) -> Response<Body> {
    match result {
        Ok(value) => {
            let bytes = serde_json::to_vec(&value).expect("interface types serialize");
            response_with(StatusCode::OK, JSON, bytes)
        }
        Err(refusal) => problem(&refusal),
    }
}

fn problem(refusal: &Refusal) -> Response<Body> {
    let code = refusal.code;
    let body = Problem {
        code,
        detail: refusal.detail.clone(),
        outcome: code.verdict(),
    };
    let status = StatusCode::from_u16(code.status()).expect("codes have valid statuses");
    response_with(
        status,
        PROBLEM_JSON,
        serde_json::to_vec(&body).expect("problems serialize"),
    )
}
