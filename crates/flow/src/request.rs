//! What the shell tells the pool about a request, and what it is told to do.

use primroseroute_domain::{account::Class, id, outcome::Code};
use std::time::Duration;

/// A request that has come in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The shell's number for it, never used twice.
    pub request: u64,
    /// The account that sent it.
    pub account: id::Account,
    /// The service that it asks for.
    pub service: id::Service,
    /// How urgent it is.
    pub class: Class,
    /// When the caller stops waiting, as time since the shell's start.
    pub deadline: Duration,
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
}

/// How an attempt, or the wait for one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Answered {
        /// Time from the start of the attempt to the end of the answer.
        latency: Duration,
        /// Whether the answer tells of the worker's failure, such as a 5xx status.
        failure: bool,
    },
    /// Proven not run: no byte of the request went out, as when no connection could be made.
    NotSent,
    /// The connection broke after the first byte of the request went out.
    Lost,
    /// `not_after` passed before the whole answer came.
    Late,
    /// The caller went away, before or after the request was sent.
    Cancelled,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an instance, then report with `finish`.
    Send {
        /// The request.
        request: u64,
        /// Where to send it.
        instance: id::Instance,
        /// 1 for the first attempt.
        attempt: u32,
        /// When to give the attempt up.
        not_after: Duration,
    },
    /// Answer the caller with a refusal; the pool has forgotten the request.
    Refuse {
        /// The request.
        request: u64,
        /// Why.
        code: Code,
        /// When another try is likely to fare better.
        retry_after: Duration,
    },
}
