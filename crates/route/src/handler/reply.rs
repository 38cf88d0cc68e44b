//! The final response to the caller.

use crate::{
    backend::Body,
    headers::strip_hop_by_hop,
    problem,
    request::{OUTCOME, REQUEST_ID},
};
use http::{HeaderName, HeaderValue, Response, StatusCode, response::Parts};
use primroseroute_claims::{Blob, Header, StoredResponse};
use primroseroute_domain::outcome::{Refusal, Verdict};
use std::time::Duration;

/// The final response to the caller.
pub(super) enum Reply {
    /// The backend server's response.
    Response(Response<Body>),
    /// A result code of the entry.
    Refused {
        refusal: Refusal,
        retry_after: Option<Duration>,
    },
}

impl Reply {
    pub(super) fn refused(refusal: Refusal) -> Self {
        Self::Refused {
            refusal,
            retry_after: None,
        }
    }

    /// Adds the time after which a retry is likely to succeed.
    pub(super) fn retry_after(self, delay: Duration) -> Self {
        match self {
            Self::Refused { refusal, .. } => Self::Refused {
                refusal,
                retry_after: Some(delay),
            },
            response @ Self::Response(_) => response,
        }
    }

    /// A backend server's response with `body`.
    pub(super) fn response(mut parts: Parts, body: Body) -> Self {
        strip_hop_by_hop(&mut parts.headers);
        Self::Response(Response::from_parts(parts, body))
    }

    /// The stored first response to a key.
    pub(super) fn stored(stored: StoredResponse) -> Self {
        let mut response = Response::new(problem::full_body(stored.body.0));
        *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
        for Header { name, value } in stored.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_maybe_shared(value.0);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        Self::Response(response)
    }

    pub(super) fn into_response(self, id: &str) -> Response<Body> {
        match self {
            Self::Refused {
                refusal,
                retry_after,
            } => problem::error_response(&refusal, id, retry_after),
            Self::Response(mut response) => {
                let headers = response.headers_mut();
                headers.insert(
                    OUTCOME,
                    HeaderValue::from_static(Verdict::Completed.as_str()),
                );
                if let Ok(id) = HeaderValue::from_str(id) {
                    headers.insert(REQUEST_ID, id);
                }
                response
            }
        }
    }
}

/// The response in the form in which it is stored for repeats of its key.
pub(super) fn stored_response(parts: &Parts, body: &bytes::Bytes) -> StoredResponse {
    let mut headers = parts.headers.clone();
    strip_hop_by_hop(&mut headers);
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: Blob(bytes::Bytes::copy_from_slice(value.as_bytes())),
    });
    StoredResponse {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Blob(body.clone()),
    }
}
