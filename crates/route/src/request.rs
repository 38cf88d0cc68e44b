//! Validation of request heads.

use http::{HeaderMap, Method, Uri, header};
use primroseroute_claims::Key;
use primroseroute_domain::{
    change::Seq,
    id,
    outcome::{Code, Refusal, Verdict},
};
use primroseroute_view::{Routes, Snapshot, Target};
use sha2::{Digest, Sha256};
use std::{sync::Arc, time::Duration};

/// Makes a non-idempotent request safe to retry.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// States that the caller has sent the idempotency key before; see the caller contract.
pub const IDEMPOTENCY_REPEAT: &str = "idempotency-repeat";
/// The caller's timeout in milliseconds.
pub const TIMEOUT_MS: &str = "request-timeout-ms";

#[doc(no_inline)]
pub use primroseroute_front::problem::{OUTCOME, REQUEST_ID};

/// Longest request id in bytes that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Limits on the duration of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Used if the caller sets none.
    pub default: Duration,
    /// Upper limit; longer timeouts are reduced to it.
    pub max: Duration,
}

/// A validated request head.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub id: Arc<str>,
    pub account: id::Account,
    pub target: Arc<Target>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub key: Option<Key>,
    pub timeout: Duration,
}

impl Head {
    /// Whether executing the request twice has the same effect as once (RFC 9110, 9.2.2).
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Whether the request needs a claim: its method is not safe and it has a key.
    pub(crate) fn is_claimed(&self) -> bool {
        self.key.is_some() && !self.method.is_safe()
    }

    /// The refusal of a request whose key has not been looked up.
    ///
    /// This attempt does not run. But a caller that marks a repeat asks for the outcome of its
    /// original request, and an earlier attempt may have run: told "not run", the caller would send
    /// the request under a new key, and it would be executed twice. So a repeat is told "unknown".
    pub(crate) fn refuse_without_lookup(&self, refusal: Refusal) -> Refusal {
        if self.is_claimed() {
            unknown_if_repeat(&self.headers, refusal)
        } else {
            refusal
        }
    }
}

/// Like [`Head::refuse_without_lookup`], for requests of which only the headers are known.
pub(crate) fn unknown_if_repeat(headers: &HeaderMap, refusal: Refusal) -> Refusal {
    let is_repeat =
        headers.contains_key(IDEMPOTENCY_KEY) && headers.contains_key(IDEMPOTENCY_REPEAT);
    if !is_repeat || refusal.code.verdict() != Verdict::NotRun {
        return refusal;
    }
    let detail = format!(
        "the key was not looked up: {}: {}",
        refusal.code, refusal.detail
    );
    Refusal::new(Code::KeyOutcomeUnknown, detail)
}

/// The request's id: the caller's if it is short and printable, otherwise a new one.
pub(crate) fn request_id(headers: &HeaderMap) -> Arc<str> {
    headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|text| {
            (1..=MAX_REQUEST_ID_BYTES).contains(&text.len())
                && text.bytes().all(|b| b.is_ascii_graphic())
        })
        .map_or_else(|| uuid::Uuid::new_v4().to_string().into(), Into::into)
}

/// Validates the head of a request against the current configuration.
pub(crate) fn validate(
    id: Arc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    snapshot: &Snapshot,
    timeouts: Timeouts,
) -> Result<Head, Refusal> {
    if snapshot.seq() == Seq(0) {
        let refusal = Refusal::new(Code::ViewStale, "the entry has just started");
        return Err(unknown_if_repeat(&headers, refusal));
    }
    let routes = snapshot.routes();
    let account = account(&headers, routes)?;
    let host = host(&headers, &uri);
    let target = routes.find(host, uri.path()).ok_or_else(|| {
        Refusal::new(
            Code::UnknownService,
            "neither the host nor the path names a service",
        )
    })?;
    if !target.permits(&account) {
        return Err(Refusal::new(
            Code::NotPermitted,
            format!("service {}", target.service),
        ));
    }
    let target = Arc::clone(target);
    let key = key(&headers)?;
    let timeout = timeout(&headers, timeouts)?;
    Ok(Head {
        id,
        account,
        target,
        method,
        uri,
        headers,
        key,
        timeout,
    })
}

fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    let authority = uri
        .host()
        .or_else(|| headers.get(header::HOST)?.to_str().ok())?;
    match authority.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => Some(name),
        _ => Some(authority),
    }
}

fn account(headers: &HeaderMap, routes: &Routes) -> Result<id::Account, Refusal> {
    let refused = || Refusal::new(Code::UnknownToken, "send `Authorization: Bearer TOKEN`");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(refused)?;
    let text = value.to_str().map_err(|_not_text| refused())?;
    let (scheme, token) = text.split_once(' ').ok_or_else(refused)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(refused());
    }
    let digest: [u8; 32] = Sha256::digest(token.trim().as_bytes()).into();
    let account = routes.account(&digest.into());
    account.cloned().ok_or_else(refused)
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let malformed = |detail: &str| Refusal::new(Code::MalformedKey, detail);
    if values.next().is_some() {
        return Err(malformed("more than one key"));
    }
    let text = value
        .to_str()
        .map_err(|_not_text| malformed("the key is no text"))?;
    // Some clients send the key as a quoted string (RFC 8941); the quotes are not part of it.
    let text = text
        .strip_prefix('"')
        .and_then(|t| t.strip_suffix('"'))
        .unwrap_or(text);
    Key::parse(text)
        .map(Some)
        .map_err(|error| malformed(&error.to_string()))
}

fn timeout(headers: &HeaderMap, timeouts: Timeouts) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(TIMEOUT_MS) else {
        return Ok(timeouts.default);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|&ms| ms > 0);
    let millis = millis
        .ok_or_else(|| Refusal::new(Code::MalformedTimeout, "a whole number of milliseconds"))?;
    Ok(Duration::from_millis(millis).min(timeouts.max))
}
