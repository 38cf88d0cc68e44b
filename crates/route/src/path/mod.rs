//! One request from its head to its answer.

mod attempt;
mod reply;
mod stream;

use crate::{
    Finished, Gates, Observer,
    backend::{Backend, Body},
    body::{self, Received},
    gate::Entrant,
    problem,
    request::{self, Head, Timeouts},
};
use attempt::Attempts;
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, header};
use primroseroute_claims::Claims;
use primroseroute_domain::outcome::{Code, Refusal, Verdict};
use primroseroute_view::SnapshotCell;
use reply::Reply;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// How long a stopping entry waits for outcomes to be written. The store's usual blips are over
/// by then; what is left is answered `unknown` to repeats, which is true.
const SETTLE: Duration = Duration::from_secs(10);

/// Bounds on one request.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Bytes of a body, either way, that are held before it streams.
    pub buffer: usize,
    /// Bounds on its time.
    pub timeouts: Timeouts,
}

impl Default for Options {
    /// 8 MiB of body for a scanned document; 64 KiB held, which the answers kept for repeats
    /// share; 10 s where the caller names no timeout, as most HTTP clients do, and 60 s at most.
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            buffer: 64 << 10,
            timeouts: Timeouts {
                default: Duration::from_secs(10),
                max: Duration::from_secs(60),
            },
        }
    }
}

/// What the request path works on.
#[derive(Clone, Debug)]
pub struct Parts {
    /// The view in force.
    pub cell: Arc<SnapshotCell>,
    /// The gates before the pools.
    pub gates: Arc<Gates>,
    /// The backend servers.
    pub backend: Arc<dyn Backend>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Who takes note of requests that have ended.
    pub observer: Arc<dyn Observer>,
    /// Bounds.
    pub options: Options,
}

/// The request path of one entry.
#[derive(Clone, Debug)]
pub struct Path {
    parts: Parts,
    running: TaskTracker,
}

/// A body on its way to a backend server.
enum Upload {
    /// All of it is here, so that another attempt can be made.
    Whole(Bytes),
    /// It streams; gone after the first attempt.
    Streaming(Option<Body>),
}

impl Path {
    /// Opens the path over `parts`.
    pub fn open(parts: Parts) -> Self {
        Self {
            parts,
            running: TaskTracker::new(),
        }
    }

    /// Serves one request; every way out is an answer.
    pub async fn serve(
        self: &Arc<Self>,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Body,
    ) -> Response<Body> {
        let started = Instant::now();
        let id = request::request_id(&headers);
        let snapshot = self.parts.cell.current();
        let timeouts = self.parts.options.timeouts;
        let checked = request::check(Arc::clone(&id), method, uri, headers, &snapshot, timeouts);
        let head = match checked {
            Ok(head) => head,
            Err(refusal) => return self.refuse_head(&refusal, &id, started),
        };
        let gone = CancellationToken::new();
        if !head.is_claimed() {
            return self.run(head, body, started, gone).await;
        }
        let _waiting = gone.clone().drop_guard();
        let path = Arc::clone(self);
        let task = self
            .running
            .spawn(async move { path.run(head, body, started, gone).await });
        task.await.unwrap_or_else(|error| {
            log::error!("request {id} ended in a panic: {error}");
            let detail = "the entry failed inside the request";
            problem::answer(&Refusal::new(Code::AnswerLost, detail), &id, None)
        })
    }

    fn refuse_head(&self, refusal: &Refusal, id: &str, started: Instant) -> Response<Body> {
        self.parts.observer.finished(&Finished {
            account: None,
            service: None,
            code: Some(refusal.code),
            verdict: refusal.code.verdict(),
            latency: started.elapsed(),
            attempts: 0,
        });
        problem::answer(refusal, id, None)
    }

    async fn run(
        &self,
        head: Head,
        body: Body,
        started: Instant,
        gone: CancellationToken,
    ) -> Response<Body> {
        let deadline = started + head.timeout;
        let mut attempts = 0;
        let reply = match self.receive(&head, body, deadline).await {
            Ok(upload) => {
                self.attempt(&head, upload, deadline, gone, &mut attempts)
                    .await
            }
            // A body over the limit is no repeat of one that ran.
            Err(refusal) if refusal.code == Code::BodyTooLarge => Reply::refused(refusal),
            Err(refusal) => Reply::refused(head.refused_unseen(refusal)),
        };
        self.note(&head, &reply, started, attempts);
        reply.into_response(&head.id)
    }

    fn note(&self, head: &Head, reply: &Reply, started: Instant, attempts: u32) {
        let (code, verdict) = match reply {
            Reply::Answered(_) => (None, Verdict::Completed),
            Reply::Refused { refusal, .. } => (Some(refusal.code), refusal.code.verdict()),
        };
        self.parts.observer.finished(&Finished {
            account: Some(head.account.clone()),
            service: Some(head.target.service.clone()),
            code,
            verdict,
            latency: started.elapsed(),
            attempts,
        });
    }

    async fn receive(&self, head: &Head, body: Body, deadline: Instant) -> Result<Upload, Refusal> {
        let options = &self.parts.options;
        let declared = head.headers.get(header::CONTENT_LENGTH);
        let declared = declared
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<usize>().ok());
        let too_large = || {
            Refusal::new(
                Code::BodyTooLarge,
                format!("at most {} bytes", options.body_bytes),
            )
        };
        if declared.is_some_and(|length| length > options.body_bytes) {
            return Err(too_large());
        }
        let hold = if head.is_claimed() {
            options.body_bytes
        } else {
            options.buffer.min(options.body_bytes)
        };
        let received = timeout_at(deadline, body::receive(body, hold)).await;
        let received = received.map_err(|_elapsed| {
            Refusal::new(
                Code::BodyIncomplete,
                "the body did not arrive before the deadline",
            )
        })??;
        match received {
            Received::Whole(bytes) => Ok(Upload::Whole(bytes)),
            Received::Partial(..) if head.is_claimed() => Err(too_large()),
            Received::Partial(start, rest) => {
                // What arrives in one piece may reach past the limit at once.
                let left = options.body_bytes.checked_sub(start.len());
                let rest = stream::bounded(rest, left.ok_or_else(too_large)?);
                Ok(Upload::Streaming(Some(crate::backend::Resumed::boxed(
                    start, rest,
                ))))
            }
        }
    }

    async fn attempt(
        &self,
        head: &Head,
        upload: Upload,
        deadline: Instant,
        gone: CancellationToken,
        attempts: &mut u32,
    ) -> Reply {
        let entrant = Entrant {
            account: head.account.clone(),
            service: head.target.service.clone(),
            class: head.target.class,
            deadline,
            idempotent: head.is_idempotent() && matches!(upload, Upload::Whole(_)),
        };
        let Some(ticket) = self.parts.gates.enter(&head.target.pool, entrant) else {
            let detail = format!("pool {} has no instances", head.target.pool);
            let refusal = Refusal::new(Code::NoInstance, detail);
            return Reply::refused(head.refused_unseen(refusal));
        };
        Attempts::new(&self.parts, head, upload, deadline, ticket, gone, attempts)
            .run()
            .await
    }

    /// Waits for claimed requests whose callers have gone, and for outcomes to be written.
    pub async fn settle(&self) {
        self.running.close();
        self.running.wait().await;
        let left = self.parts.claims.drain(SETTLE).await;
        if left > 0 {
            log::warn!("{left} outcomes could not be written before the stop");
        }
    }

    /// Drops what a killed process would lose.
    pub fn abort(&self) {
        self.parts.claims.abort();
    }
}
