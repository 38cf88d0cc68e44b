//! What the request path reports of each request that has ended.

use primroseroute_domain::{
    id,
    outcome::{Code, Verdict},
};
use std::{fmt, time::Duration};

/// A request that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The account; none where the token was refused.
    pub account: Option<id::Account>,
    /// The service; none where the head was refused.
    pub service: Option<id::Service>,
    /// The result code; none where the backend server's answer was passed on.
    pub code: Option<Code>,
    /// What the caller was told.
    pub verdict: Verdict,
    /// From the end of the head to the head of the answer.
    pub latency: Duration,
    /// Attempts that were made.
    pub attempts: u32,
}

/// Takes note of requests that have ended; called on the request path, so it must not block.
pub trait Observer: Send + Sync + fmt::Debug {
    /// A request has ended.
    fn finished(&self, finished: &Finished);

    /// A request of `service` is tried again after an attempt that failed with `code`.
    fn retried(&self, service: &id::Service, code: Code);
}
