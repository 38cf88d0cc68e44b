//! Requests as the I/O layer reports them to the pool, and the actions that the pool returns.

use primroseroute_domain::{account::Class, id, outcome::Code};
use std::time::Duration;

/// A request that has arrived at the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier assigned by the I/O layer, never reused.
    pub request: u64,
    /// Calling account.
    pub account: id::Account,
    /// Requested service.
    pub service: id::Service,
    /// Scheduling class.
    pub class: Class,
    /// When the caller stops waiting, as time since the I/O layer started.
    pub deadline: Duration,
    /// Whether executing it twice has the same effect as executing it once.
    pub idempotent: bool,
}

/// How an attempt, or the wait for one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Responded {
        /// Time from the start of the attempt to the end of the response.
        latency: Duration,
        /// Whether the response indicates a failure of the worker, such as a 5xx status.
        failure: bool,
    },
    /// Not executed: no byte of the request was sent, for example because the connection failed.
    NotSent,
    /// The connection broke after the first byte of the request was sent.
    ConnectionLost,
    /// `not_after` passed before the complete response was received.
    TimedOut,
    /// The caller disconnected, before or after the request was sent.
    Cancelled,
}

/// An action for the I/O layer to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an instance, then report the outcome with `finish`.
    Send {
        /// Request number.
        request: u64,
        /// Instance to send it to.
        instance: id::Instance,
        /// 1 for the first attempt.
        attempt: u32,
        /// Deadline of the attempt.
        not_after: Duration,
    },
    /// Refuse the request; the pool holds no more state for it.
    Refuse {
        /// Request number.
        request: u64,
        /// Reason for the refusal.
        code: Code,
        /// Suggested delay before the caller tries again.
        retry_after: Duration,
    },
}
