//! Authenticates operators by bearer token.

use super::Shared;
use http::{HeaderMap, header};
use primroseroute_domain::outcome::{Code, Refusal};
use sha2::{Digest, Sha256};
use std::{fmt::Write, sync::Arc};

/// Returns the operator whose token the request carries.
pub(super) fn operator(shared: &Shared, headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let invalid_token = || {
        Refusal::new(
            Code::OperatorTokenInvalid,
            "send `Authorization: Bearer TOKEN`",
        )
    };
    let value = headers
        .get(header::AUTHORIZATION)
        .ok_or_else(invalid_token)?;
    let token = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(invalid_token)?;
    let hash = Sha256::digest(token.as_bytes())
        .iter()
        .fold(String::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
            text
        });
    shared.0.tokens.find(&hash).ok_or_else(invalid_token)
}
