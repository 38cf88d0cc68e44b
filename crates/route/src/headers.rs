//! Filtering of request and response headers at the entry.

use crate::request::{REQUEST_ID, TIMEOUT_MS};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use primroseroute_domain::id;

/// Names the calling account to the backend server.
pub const ACCOUNT: &str = "x-client-account";

/// Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those named by `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The headers that are forwarded to the backend server.
///
/// The caller's token is removed: a backend server must not be able to act as the account. The
/// HTTP library sets the content length from the body that is sent.
pub(crate) fn backend_headers(
    mut headers: HeaderMap,
    id: &str,
    account: &id::Account,
) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in [
        header::AUTHORIZATION,
        header::EXPECT,
        header::CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    headers.remove(TIMEOUT_MS);
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
    if let Ok(value) = HeaderValue::from_str(account.as_str()) {
        headers.insert(ACCOUNT, value);
    }
    headers
}
