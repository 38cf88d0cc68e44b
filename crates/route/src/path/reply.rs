//! What the caller gets in the end.

use crate::{
    backend::Body,
    headers::strip_hop_by_hop,
    problem,
    request::{OUTCOME, REQUEST_ID},
};
use http::{HeaderName, HeaderValue, Response, StatusCode, response::Parts};
use primroseroute_claims::{Answer, Blob, Header};
use primroseroute_domain::outcome::{Refusal, Verdict};
use std::time::Duration;

/// What the caller gets.
pub(super) enum Reply {
    /// The backend server's answer.
    Answered(Response<Body>),
    /// A numbered error.
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

    /// The same, with the time after which another try is likely to fare better.
    pub(super) fn retry_after(self, pause: Duration) -> Self {
        match self {
            Self::Refused { refusal, .. } => Self::Refused {
                refusal,
                retry_after: Some(pause),
            },
            answered @ Self::Answered(_) => answered,
        }
    }

    /// A backend server's answer with `body`.
    pub(super) fn answered(mut parts: Parts, body: Body) -> Self {
        strip_hop_by_hop(&mut parts.headers);
        Self::Answered(Response::from_parts(parts, body))
    }

    /// The first answer to a key, as it was kept.
    pub(super) fn repeated(first: Answer) -> Self {
        let mut response = Response::new(problem::full(first.body.0));
        *response.status_mut() = StatusCode::from_u16(first.status).unwrap_or(StatusCode::OK);
        for Header { name, value } in first.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_maybe_shared(value.0);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        Self::Answered(response)
    }

    pub(super) fn into_response(self, id: &str) -> Response<Body> {
        match self {
            Self::Refused {
                refusal,
                retry_after,
            } => problem::answer(&refusal, id, retry_after),
            Self::Answered(mut response) => {
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

/// The answer as it is kept for repeats of its key.
pub(super) fn keep(parts: &Parts, body: &bytes::Bytes) -> Answer {
    let mut headers = parts.headers.clone();
    strip_hop_by_hop(&mut headers);
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: Blob(bytes::Bytes::copy_from_slice(value.as_bytes())),
    });
    Answer {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Blob(body.clone()),
    }
}
