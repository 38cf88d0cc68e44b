//! Attempts at one request, one at a time, until it gets a response or is refused.

use super::{BackendBody, Components, reply, reply::Reply, stream::TrackedBody};
use crate::{
    backend::{Body, Failure, PrefixedBody, ReceivedResponse, buffer_response},
    dispatch::{Decision, RequestHandle},
    headers::backend_headers,
    problem,
    request::{Head, IDEMPOTENCY_REPEAT, REQUEST_ID},
};
use http::{Method, Request, Response, Uri};
use primroseroute_claims::{ClaimOutcome, ClaimRequest, Fingerprint, Permit};
use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
};
use primroseroute_flow::request::AttemptOutcome;
use primroseroute_front::upload::Streamed;
use std::net::SocketAddr;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The attempts at one request.
pub(super) struct Attempts<'a> {
    components: &'a Components,
    head: &'a Head,
    upload: BackendBody,
    deadline: Instant,
    handle: RequestHandle,
    attempt_count: &'a mut u32,
    claim: Option<ClaimRequest>,
    permit: Option<Permit>,
    /// Cancelled when the caller has disconnected.
    disconnected: CancellationToken,
    /// The failure of the last attempt that may have run; if set, "not run" must not be reported.
    may_have_run: Option<Refusal>,
    /// How the previous attempt failed, until the next one is made.
    last_failure: Option<Code>,
}

/// The claim that a request needs, if it has a key and its complete body has been buffered.
fn claim_request(head: &Head, upload: &BackendBody) -> Option<ClaimRequest> {
    let (Some(key), BackendBody::Buffered(body), true) = (&head.key, upload, head.is_claimed())
    else {
        return None;
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Some(ClaimRequest {
        account: head.account.clone(),
        key: key.clone(),
        fingerprint: Fingerprint::of(head.method.as_str(), &head.target.service, path, body),
        repeat: head.headers.contains_key(IDEMPOTENCY_REPEAT),
    })
}

/// What to do after an attempt.
enum Next {
    Reply(Reply),
    Retry,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(
        components: &'a Components,
        head: &'a Head,
        upload: BackendBody,
        deadline: Instant,
        handle: RequestHandle,
        disconnected: CancellationToken,
        attempt_count: &'a mut u32,
    ) -> Self {
        let claim = claim_request(head, &upload);
        Self {
            components,
            head,
            upload,
            deadline,
            handle,
            attempt_count,
            claim,
            permit: None,
            disconnected,
            may_have_run: None,
            last_failure: None,
        }
    }

    pub(super) async fn run(mut self) -> Reply {
        loop {
            let (instance, not_after) = match self.next_decision().await {
                Err(reply) => return reply,
                Ok(Decision::Refuse { code, retry_after }) => {
                    let detail = format!("service {}", self.head.target.service);
                    let reply = self.final_refusal(Refusal::new(code, detail));
                    return reply.retry_after(retry_after);
                }
                Ok(Decision::Send {
                    instance,
                    not_after,
                }) => (instance, not_after),
            };
            if let Err(reply) = self.claim().await {
                return reply;
            }
            let Some(address) = self.address(&instance) else {
                self.handle.finish(AttemptOutcome::NotSent);
                continue;
            };
            *self.attempt_count += 1;
            if let Some(code) = self.last_failure.take() {
                self.components
                    .observer
                    .retried(&self.head.target.service, code);
            }
            match self.send(address, not_after).await {
                Next::Reply(reply) => return reply,
                Next::Retry => {}
            }
        }
    }

    /// Waits for the dispatcher's next decision, unless the caller disconnects before the key is
    /// claimed.
    ///
    /// A request that kept waiting after its caller had disconnected could run minutes after
    /// another entry told the caller that its key had not run. Nothing has been claimed or sent
    /// yet, so ending it here is safe.
    async fn next_decision(&mut self) -> Result<Decision, Reply> {
        if self.permit.is_some() {
            return Ok(self.handle.next_decision().await);
        }
        tokio::select! {
            decision = self.handle.next_decision() => Ok(decision),
            () = self.disconnected.cancelled() => Err(self.abandon()),
        }
    }

    fn abandon(&mut self) -> Reply {
        self.handle.finish(AttemptOutcome::Cancelled);
        self.final_refusal(Refusal::new(
            Code::DeadlineUnreachable,
            "the caller has gone",
        ))
    }

    /// Claims the key before the first attempt; a claim covers all attempts.
    async fn claim(&mut self) -> Result<(), Reply> {
        let Some(request) = self.claim.as_ref().filter(|_| self.permit.is_none()) else {
            return Ok(());
        };
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let claimed = tokio::select! {
            claimed = self.components.claims.claim(request, remaining) => claimed,
            // A row that has been committed in the meantime is released: it was never used.
            () = self.disconnected.cancelled() => return Err(self.abandon()),
        };
        let reply = match claimed {
            ClaimOutcome::Granted(permit) => {
                self.permit = Some(permit);
                return Ok(());
            }
            ClaimOutcome::Replay(stored) => Reply::stored(stored),
            other => {
                let code = other.code().unwrap_or(Code::ClaimUnavailable);
                Reply::refused(Refusal::new(code, "see the result code's page"))
            }
        };
        // Nothing was sent, and the slot is free again.
        self.handle.finish(AttemptOutcome::Cancelled);
        Err(reply)
    }

    /// The instance's address, if it still accepts requests.
    ///
    /// The claim may have waited for the store while the instance began to drain. Sending anyway
    /// would give new work to a draining instance (invariant I6); the dispatcher picks another
    /// one instead.
    fn address(&self, instance: &id::Instance) -> Option<SocketAddr> {
        let snapshot = self.components.cell.current();
        let row = &snapshot.instances().get(instance)?.value;
        let fits = row.state.takes_requests() && row.pool.as_ref() == Some(&self.head.target.pool);
        fits.then_some(row.address)
    }

    async fn send(&mut self, to: SocketAddr, not_after: Instant) -> Next {
        let Some(body) = self.body() else {
            // The body was streamed into an earlier attempt and cannot be replayed.
            self.handle.finish(AttemptOutcome::Cancelled);
            let refusal = Refusal::new(Code::ConnectFailed, "a streamed body cannot be sent again");
            return Next::Reply(self.final_refusal(refusal));
        };
        let sent_at = Instant::now();
        match self.exchange(to, body, not_after).await {
            Ok(response) => Next::Reply(self.on_response(response, sent_at)),
            Err(failure) => self.on_failure(&failure),
        }
    }

    fn body(&mut self) -> Option<Body> {
        match &mut self.upload {
            BackendBody::Buffered(bytes) => Some(problem::full_body(bytes.clone())),
            BackendBody::Streaming(body) => body.take(),
        }
    }

    async fn exchange(
        &mut self,
        to: SocketAddr,
        body: Body,
        not_after: Instant,
    ) -> Result<ReceivedResponse, Failure> {
        let request = self.backend_request(body);
        let response = self.components.backend.send(to, request, not_after).await?;
        self.check_request_id(&response)?;
        let to_head = self.head.method == Method::HEAD;
        buffer_response(
            response,
            self.components.options.buffer_bytes,
            to_head,
            not_after,
        )
        .await
    }

    fn backend_request(&self, body: Body) -> Request<Body> {
        let head = self.head;
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.headers_mut() = backend_headers(head.headers.clone(), &head.id, &head.account);
        // Servers expect the origin form (the path); only proxies receive the absolute form.
        let path = head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
        request
    }

    /// Rejects a response that carries the id of another request.
    ///
    /// Connections carry one request at a time and are closed when anything was late, so responses
    /// match requests by order. A worker that mixes up its responses breaks that order; if it
    /// echoes the request id, this is detected, and the caller gets an error instead of another
    /// caller's response.
    fn check_request_id(&self, response: &Response<Body>) -> Result<(), Failure> {
        match response.headers().get(REQUEST_ID) {
            Some(id) if id.as_bytes() != self.head.id.as_bytes() => Err(Failure::InvalidResponse(
                "it names another request".to_owned(),
            )),
            _ => Ok(()),
        }
    }

    fn on_response(&mut self, response: ReceivedResponse, sent_at: Instant) -> Reply {
        match response {
            ReceivedResponse::Complete(parts, body) => {
                let failure = parts.status.is_server_error();
                self.handle.finish(AttemptOutcome::Responded {
                    latency: sent_at.elapsed(),
                    failure,
                });
                if let Some(permit) = self.permit.take() {
                    permit.completed(reply::stored_response(&parts, &body));
                }
                Reply::response(parts, problem::full_body(body))
            }
            ReceivedResponse::Streaming(mut parts, start, rest) => {
                parts.extensions.insert(Streamed {
                    buffered: start.len(),
                });
                if let Some(permit) = self.permit.take() {
                    // Too large to be stored: the row only states that the request completed.
                    permit.completed(reply::stored_response(&parts, &start));
                }
                let failure = parts.status.is_server_error();
                let handle = self.handle.hand_over();
                let body =
                    TrackedBody::boxed(PrefixedBody::boxed(start, rest), handle, sent_at, failure);
                Reply::response(parts, body)
            }
        }
    }

    fn on_failure(&mut self, failure: &Failure) -> Next {
        let (code, outcome) = match failure {
            Failure::NotSent(_) => (Code::ConnectFailed, AttemptOutcome::NotSent),
            Failure::ConnectionLost(_) => (Code::AnswerLost, AttemptOutcome::ConnectionLost),
            Failure::TimedOut => (Code::AnswerTimeout, AttemptOutcome::TimedOut),
            Failure::InvalidResponse(_) => (Code::AnswerInvalid, AttemptOutcome::ConnectionLost),
        };
        if !matches!(failure, Failure::NotSent(_)) {
            self.may_have_run = Some(Refusal::new(code, failure.to_string()));
        }
        log::debug!(
            "request {}: attempt {}: {failure}",
            self.head.id,
            self.attempt_count
        );
        self.last_failure = Some(code);
        self.handle.finish(outcome);
        Next::Retry
    }
}

impl Attempts<'_> {
    /// The refusal that holds for all attempts together: if one may have run, its failure is
    /// reported instead of `refusal`.
    fn final_refusal(&mut self, refusal: Refusal) -> Reply {
        let ambiguous = self.may_have_run.take();
        if let Some(permit) = self.permit.take() {
            if ambiguous.is_some() {
                permit.unknown();
            } else {
                permit.not_run();
            }
            return Reply::refused(ambiguous.unwrap_or(refusal));
        }
        Reply::refused(ambiguous.unwrap_or_else(|| self.refusal_for_key(refusal)))
    }

    /// The refusal of a request that was not claimed, given earlier attempts under its key.
    ///
    /// A caller that was told "unknown" and retries asks for the outcome of its original request.
    /// "Not run" would be true of this attempt, but possibly false for the original one.
    fn refusal_for_key(&self, refusal: Refusal) -> Refusal {
        let is_repeat = |request| self.components.claims.is_repeat(request);
        if !self.claim.as_ref().is_some_and(is_repeat) {
            return refusal;
        }
        let detail = format!("an earlier try may have run; this one was refused: {refusal}");
        Refusal::new(Code::KeyOutcomeUnknown, detail)
    }
}
