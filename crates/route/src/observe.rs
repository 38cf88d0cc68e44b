//! Reporting of finished requests, for metrics.

use primroseroute_domain::{
    id,
    outcome::{Code, Verdict},
};
use std::{fmt, time::Duration};

/// A finished request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The account; none if the token was refused.
    pub account: Option<id::Account>,
    /// The service; none if the head was refused.
    pub service: Option<id::Service>,
    /// The result code; none if the backend server's response was forwarded.
    pub code: Option<Code>,
    /// The outcome reported to the caller.
    pub verdict: Verdict,
    /// From the end of the request head to the head of the response.
    pub latency: Duration,
    /// Number of attempts.
    pub attempts: u32,
}

/// Is notified of finished requests; called on the request path, so it must not block.
pub trait Observer: Send + Sync + fmt::Debug {
    /// A request has finished.
    fn finished(&self, finished: &Finished);

    /// A request of `service` is retried after an attempt that failed with `code`.
    fn retried(&self, service: &id::Service, code: Code);
}
