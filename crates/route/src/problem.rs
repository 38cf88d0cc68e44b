//! Error answers: RFC 9457 problem details with the numbered code and the outcome header.

use crate::{
    backend::Body,
    request::{OUTCOME, REQUEST_ID},
};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use primroseroute_domain::outcome::{Refusal, Verdict};
use serde::Serialize;
use std::time::Duration;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The body of an error answer, as RFC 9457 has it, with our members added.
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
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// The error answer for `refusal`.
///
/// `retry_after` goes out in whole seconds, rounded up: a caller that comes back earlier would
/// meet the same refusal.
///
/// # Panics
/// Never: every value of the head is made of ASCII.
pub fn answer(
    refusal: &Refusal,
    request_id: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let code = refusal.code;
    let problem = Problem {
        r#type: format!("urn:primroseroute:result:{}", code.number()),
        title: code.title(),
        status: code.status(),
        detail: &refusal.detail,
        code: code.number(),
        outcome: code.verdict(),
        request_id,
    };
    let json = serde_json::to_vec(&problem).expect("a problem serializes");
    let mut response = Response::new(full(json));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).expect("codes have valid statuses");
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(OUTCOME, HeaderValue::from_static(code.verdict().as_str()));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(pause) = retry_after {
        let seconds = pause.as_millis().div_ceil(1000).max(1);
        let value = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(value));
    }
    response
}
