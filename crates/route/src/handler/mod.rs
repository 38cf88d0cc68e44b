//! Handling of one request from its head to its response.

mod attempt;
mod reply;
mod stream;

use crate::{
    Dispatchers, Finished, Observer,
    backend::{Backend, Body},
    dispatch::PendingRequest,
    problem,
    request::{self, Head, Timeouts},
};
use attempt::Attempts;
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, header};
use primroseroute_claims::Claims;
use primroseroute_domain::outcome::{Code, Refusal, Verdict};
use primroseroute_front::{Upload, upload::Received};
use primroseroute_view::SnapshotCell;
use reply::Reply;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// How long a stopping entry waits for outcomes to be written. Short store failures are over by
/// then; for outcomes that remain unwritten, repeats are answered `unknown`, which is correct.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds on one request.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Bytes of a request or response body that are buffered before it streams.
    pub buffer_bytes: usize,
    /// Bounds on its time.
    pub timeouts: Timeouts,
}

impl Default for Options {
    /// 8 MiB of body, enough for a scanned document; 64 KiB buffered, which is also the limit of
    /// responses stored for repeats; 10 s if the caller sets no timeout, as most HTTP clients do,
    /// and 60 s at most.
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            buffer_bytes: 64 << 10,
            timeouts: Timeouts {
                default: Duration::from_secs(10),
                max: Duration::from_secs(60),
            },
        }
    }
}

/// The components that the request path uses.
#[derive(Clone, Debug)]
pub struct Components {
    /// The current view.
    pub cell: Arc<SnapshotCell>,
    /// The dispatchers of the pools.
    pub dispatchers: Arc<Dispatchers>,
    /// The backend servers.
    pub backend: Arc<dyn Backend>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Receives the result of each request.
    pub observer: Arc<dyn Observer>,
    /// Bounds.
    pub options: Options,
}

/// The request path of one entry.
#[derive(Clone, Debug)]
pub struct RequestHandler {
    components: Components,
    tasks: TaskTracker,
}

/// A request body to be sent to a backend server.
enum BackendBody {
    /// The complete body, which can be sent in several attempts.
    Buffered(Bytes),
    /// A streaming body; `None` after the first attempt.
    Streaming(Option<Body>),
}

impl RequestHandler {
    /// Creates a request handler with `components`.
    pub fn new(components: Components) -> Self {
        Self {
            components,
            tasks: TaskTracker::new(),
        }
    }

    /// Serves one request; every outcome, including errors, is a response.
    pub async fn serve(
        self: &Arc<Self>,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: impl Into<Upload>,
    ) -> Response<Body> {
        let body = body.into();
        let started = Instant::now();
        let id = request::request_id(&headers);
        let snapshot = self.components.cell.current();
        let timeouts = self.components.options.timeouts;
        let validated =
            request::validate(Arc::clone(&id), method, uri, headers, &snapshot, timeouts);
        let head = match validated {
            Ok(head) => head,
            Err(refusal) => return self.refuse_head(&refusal, &id, started),
        };
        let disconnected = CancellationToken::new();
        if !head.is_claimed() {
            return self.run(head, body, started, disconnected).await;
        }
        let _disconnect_guard = disconnected.clone().drop_guard();
        let handler = Arc::clone(self);
        let task = self
            .tasks
            .spawn(async move { handler.run(head, body, started, disconnected).await });
        task.await.unwrap_or_else(|error| {
            log::error!("task of request {id} panicked: {error}");
            let detail = "the entry failed inside the request";
            problem::error_response(&Refusal::new(Code::AnswerLost, detail), &id, None)
        })
    }

    fn refuse_head(&self, refusal: &Refusal, id: &str, started: Instant) -> Response<Body> {
        self.components.observer.finished(&Finished {
            account: None,
            service: None,
            code: Some(refusal.code),
            verdict: refusal.code.verdict(),
            latency: started.elapsed(),
            attempts: 0,
        });
        problem::error_response(refusal, id, None)
    }

    async fn run(
        &self,
        head: Head,
        body: Upload,
        started: Instant,
        disconnected: CancellationToken,
    ) -> Response<Body> {
        let deadline = started + head.timeout;
        let mut attempts = 0;
        // The body stays in memory until the last attempt, also after its caller has left.
        let _connection = body.connection();
        let reply = match self.receive(&head, body, deadline).await {
            Ok(upload) => {
                self.attempt(&head, upload, deadline, disconnected, &mut attempts)
                    .await
            }
            // A request whose body exceeds the limit cannot have run earlier.
            Err(refusal) if refusal.code == Code::BodyTooLarge => Reply::refused(refusal),
            Err(refusal) => Reply::refused(head.refuse_without_lookup(refusal)),
        };
        self.report_finished(&head, &reply, started, attempts);
        reply.into_response(&head.id)
    }

    fn report_finished(&self, head: &Head, reply: &Reply, started: Instant, attempts: u32) {
        let (code, verdict) = match reply {
            Reply::Response(_) => (None, Verdict::Completed),
            Reply::Refused { refusal, .. } => (Some(refusal.code), refusal.code.verdict()),
        };
        self.components.observer.finished(&Finished {
            account: Some(head.account.clone()),
            service: Some(head.target.service.clone()),
            code,
            verdict,
            latency: started.elapsed(),
            attempts,
        });
    }

    async fn receive(
        &self,
        head: &Head,
        body: Upload,
        deadline: Instant,
    ) -> Result<BackendBody, Refusal> {
        let options = &self.components.options;
        let declared = head.headers.get(header::CONTENT_LENGTH);
        let declared = declared
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse::<usize>().ok());
        let too_large = || {
            Refusal::new(
                Code::BodyTooLarge,
                format!("at most {} bytes", options.max_body_bytes),
            )
        };
        if declared.is_some_and(|length| length > options.max_body_bytes) {
            return Err(too_large());
        }
        let buffer_limit = if head.is_claimed() {
            options.max_body_bytes
        } else {
            options.buffer_bytes.min(options.max_body_bytes)
        };
        let received = timeout_at(deadline, body.receive(buffer_limit)).await;
        let received = received.map_err(|_elapsed| {
            Refusal::new(
                Code::BodyIncomplete,
                "the body did not arrive before the deadline",
            )
        })?;
        let received =
            received.map_err(|error| Refusal::new(Code::BodyIncomplete, error.to_string()))?;
        match received {
            Received::Complete(bytes) => Ok(BackendBody::Buffered(bytes)),
            Received::Partial(..) if head.is_claimed() => Err(too_large()),
            Received::Partial(start, rest) => {
                // A single large frame may exceed the limit.
                let remaining = options.max_body_bytes.checked_sub(start.len());
                let rest = stream::limited(rest, remaining.ok_or_else(too_large)?);
                Ok(BackendBody::Streaming(Some(
                    crate::backend::PrefixedBody::boxed(start, rest),
                )))
            }
        }
    }

    async fn attempt(
        &self,
        head: &Head,
        upload: BackendBody,
        deadline: Instant,
        disconnected: CancellationToken,
        attempts: &mut u32,
    ) -> Reply {
        let request = PendingRequest {
            account: head.account.clone(),
            service: head.target.service.clone(),
            class: head.target.class,
            deadline,
            idempotent: head.is_idempotent() && matches!(upload, BackendBody::Buffered(_)),
        };
        let Some(handle) = self
            .components
            .dispatchers
            .dispatch(&head.target.pool, request)
        else {
            let detail = format!("pool {} has no instances", head.target.pool);
            let refusal = Refusal::new(Code::NoInstance, detail);
            return Reply::refused(head.refuse_without_lookup(refusal));
        };
        Attempts::new(
            &self.components,
            head,
            upload,
            deadline,
            handle,
            disconnected,
            attempts,
        )
        .run()
        .await
    }

    /// Waits for claimed requests whose callers have disconnected, and for outcomes to be written.
    pub async fn drain(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        let unwritten = self.components.claims.drain(DRAIN_TIMEOUT).await;
        if unwritten > 0 {
            log::warn!("{unwritten} request outcomes not written to the store before shutdown");
        }
    }

    /// Discards unwritten claims and outcomes, as a killed process would.
    pub fn abort(&self) {
        self.components.claims.abort();
    }
}
