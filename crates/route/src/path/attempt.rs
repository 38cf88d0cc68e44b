//! Attempts at one request, one at a time, until it has an answer or is given up.

use super::{Parts, Upload, reply, reply::Reply, stream::Watched};
use crate::{
    backend::{Answer, Body, Failure, Resumed, collect},
    gate::{Step, Ticket},
    headers::towards_backend,
    problem,
    request::{Head, REPEAT, REQUEST_ID},
};
use http::{Method, Request, Response, Uri};
use primroseroute_claims::{Claim, Fingerprint, Permit, Request as ClaimRequest};
use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
};
use primroseroute_flow::request::AttemptOutcome;
use std::net::SocketAddr;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The attempts at one request.
pub(super) struct Attempts<'a> {
    parts: &'a Parts,
    head: &'a Head,
    upload: Upload,
    deadline: Instant,
    ticket: Ticket,
    made: &'a mut u32,
    claim: Option<ClaimRequest>,
    permit: Option<Permit>,
    /// Ends when the caller has gone away.
    gone: CancellationToken,
    /// The failure of the last attempt that may have run; while there is one, "not run" is a lie.
    may_have_run: Option<Refusal>,
    /// How the last attempt failed, until another is made.
    failed_with: Option<Code>,
}

/// The claim that a request needs, where it names a key and its whole body is here.
fn claim_of(head: &Head, upload: &Upload) -> Option<ClaimRequest> {
    let (Some(key), Upload::Whole(body), true) = (&head.key, upload, head.is_claimed()) else {
        return None;
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Some(ClaimRequest {
        account: head.account.clone(),
        key: key.clone(),
        fingerprint: Fingerprint::of(head.method.as_str(), &head.target.service, path, body),
        repeat: head.headers.contains_key(REPEAT),
    })
}

/// What to do after an attempt.
enum After {
    Reply(Reply),
    Again,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(
        parts: &'a Parts,
        head: &'a Head,
        upload: Upload,
        deadline: Instant,
        ticket: Ticket,
        gone: CancellationToken,
        made: &'a mut u32,
    ) -> Self {
        let claim = claim_of(head, &upload);
        Self {
            parts,
            head,
            upload,
            deadline,
            ticket,
            made,
            claim,
            permit: None,
            gone,
            may_have_run: None,
            failed_with: None,
        }
    }

    pub(super) async fn run(mut self) -> Reply {
        loop {
            let (instance, not_after) = match self.next().await {
                Err(reply) => return reply,
                Ok(Step::Refuse { code, retry_after }) => {
                    let detail = format!("service {}", self.head.target.service);
                    let reply = self.take_back(Refusal::new(code, detail));
                    return reply.retry_after(retry_after);
                }
                Ok(Step::Send {
                    instance,
                    not_after,
                }) => (instance, not_after),
            };
            if let Err(reply) = self.claim().await {
                return reply;
            }
            let Some(address) = self.address(&instance) else {
                self.ticket.finish(AttemptOutcome::NotSent);
                continue;
            };
            *self.made += 1;
            if let Some(code) = self.failed_with.take() {
                self.parts.observer.retried(&self.head.target.service, code);
            }
            match self.send(address, not_after).await {
                After::Reply(reply) => return reply,
                After::Again => {}
            }
        }
    }

    /// The gate's next step, as long as somebody waits for the answer or the key is claimed.
    ///
    /// A request that went on waiting after its caller had gone could run minutes after the caller
    /// was told, at another entry, that its key had not run. Nothing has been claimed or sent yet,
    /// so ending it here is safe.
    async fn next(&mut self) -> Result<Step, Reply> {
        if self.permit.is_some() {
            return Ok(self.ticket.next().await);
        }
        tokio::select! {
            step = self.ticket.next() => Ok(step),
            () = self.gone.cancelled() => Err(self.abandon()),
        }
    }

    fn abandon(&mut self) -> Reply {
        self.ticket.finish(AttemptOutcome::Cancelled);
        self.take_back(Refusal::new(
            Code::DeadlineUnreachable,
            "the caller has gone",
        ))
    }

    /// Claims the key before the first attempt; a claim covers all attempts.
    async fn claim(&mut self) -> Result<(), Reply> {
        let Some(request) = self.claim.as_ref().filter(|_| self.permit.is_none()) else {
            return Ok(());
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let claimed = tokio::select! {
            claimed = self.parts.claims.claim(request, left) => claimed,
            // A row that was committed meanwhile is released: it was never used.
            () = self.gone.cancelled() => return Err(self.abandon()),
        };
        let reply = match claimed {
            Claim::Granted(permit) => {
                self.permit = Some(permit);
                return Ok(());
            }
            Claim::Repeat(first) => Reply::repeated(first),
            other => {
                let code = other.code().unwrap_or(Code::ClaimUnavailable);
                Reply::refused(Refusal::new(code, "see the result code's page"))
            }
        };
        // Nothing was sent, and the slot is free again.
        self.ticket.finish(AttemptOutcome::Cancelled);
        Err(reply)
    }

    /// The instance's address, if it still takes requests.
    ///
    /// The claim may have waited for the store while the instance began to drain. Sending all the
    /// same would give new work to a leaving instance (I6); the gate picks another instead.
    fn address(&self, instance: &id::Instance) -> Option<SocketAddr> {
        let snapshot = self.parts.cell.current();
        let row = &snapshot.instances().get(instance)?.value;
        let fits = row.state.takes_requests() && row.pool.as_ref() == Some(&self.head.target.pool);
        fits.then_some(row.address)
    }

    async fn send(&mut self, to: SocketAddr, not_after: Instant) -> After {
        let Some(body) = self.body() else {
            // The body streamed into an earlier attempt and is gone.
            self.ticket.finish(AttemptOutcome::Cancelled);
            let refusal = Refusal::new(Code::ConnectFailed, "a streamed body cannot be sent again");
            return After::Reply(self.take_back(refusal));
        };
        let since = Instant::now();
        match self.exchange(to, body, not_after).await {
            Ok(answer) => After::Reply(self.answered(answer, since)),
            Err(failure) => self.failed(&failure),
        }
    }

    fn body(&mut self) -> Option<Body> {
        match &mut self.upload {
            Upload::Whole(bytes) => Some(problem::full(bytes.clone())),
            Upload::Streaming(body) => body.take(),
        }
    }

    async fn exchange(
        &mut self,
        to: SocketAddr,
        body: Body,
        not_after: Instant,
    ) -> Result<Answer, Failure> {
        let request = self.request(body);
        let response = self.parts.backend.send(to, request, not_after).await?;
        self.check_pairing(&response)?;
        let to_head = self.head.method == Method::HEAD;
        collect(response, self.parts.options.buffer, to_head, not_after).await
    }

    fn request(&self, body: Body) -> Request<Body> {
        let head = self.head;
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.headers_mut() = towards_backend(head.headers.clone(), &head.id, &head.account);
        // A server wants the path alone; only a proxy is sent the whole address.
        let path = head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
        request
    }

    /// Refuses an answer that names another request.
    ///
    /// Connections carry one request at a time and are closed when anything was late, so answers
    /// pair by order. A worker that mixes its answers up breaks that order; where it returns the
    /// request id, the mix-up shows, and the caller gets an error in place of another's answer.
    fn check_pairing(&self, response: &Response<Body>) -> Result<(), Failure> {
        match response.headers().get(REQUEST_ID) {
            Some(id) if id.as_bytes() != self.head.id.as_bytes() => {
                Err(Failure::Invalid("it names another request".to_owned()))
            }
            _ => Ok(()),
        }
    }

    fn answered(&mut self, answer: Answer, since: Instant) -> Reply {
        match answer {
            Answer::Whole(parts, body) => {
                let failure = parts.status.is_server_error();
                self.ticket.finish(AttemptOutcome::Responded {
                    latency: since.elapsed(),
                    failure,
                });
                if let Some(permit) = self.permit.take() {
                    permit.completed(reply::keep(&parts, &body));
                }
                Reply::answered(parts, problem::full(body))
            }
            Answer::Streaming(parts, start, rest) => {
                if let Some(permit) = self.permit.take() {
                    // Longer than what is kept: the row says that the request completed, and no more.
                    permit.completed(reply::keep(&parts, &start));
                }
                let failure = parts.status.is_server_error();
                let ticket = self.ticket.hand_over();
                let body = Watched::boxed(Resumed::boxed(start, rest), ticket, since, failure);
                Reply::answered(parts, body)
            }
        }
    }

    fn failed(&mut self, failure: &Failure) -> After {
        let (code, ending) = match failure {
            Failure::NotSent(_) => (Code::ConnectFailed, AttemptOutcome::NotSent),
            Failure::Lost(_) => (Code::AnswerLost, AttemptOutcome::ConnectionLost),
            Failure::Late => (Code::AnswerTimeout, AttemptOutcome::TimedOut),
            Failure::Invalid(_) => (Code::AnswerInvalid, AttemptOutcome::ConnectionLost),
        };
        if !matches!(failure, Failure::NotSent(_)) {
            self.may_have_run = Some(Refusal::new(code, failure.to_string()));
        }
        log::debug!("request {}: attempt {}: {failure}", self.head.id, self.made);
        self.failed_with = Some(code);
        self.ticket.finish(ending);
        After::Again
    }
}

impl Attempts<'_> {
    /// The refusal that is true for all attempts together: once one may have run, none "did not".
    fn take_back(&mut self, refusal: Refusal) -> Reply {
        let first = self.may_have_run.take();
        if let Some(permit) = self.permit.take() {
            if first.is_some() {
                permit.unknown();
            } else {
                permit.not_run();
            }
            return Reply::refused(first.unwrap_or(refusal));
        }
        Reply::refused(first.unwrap_or_else(|| self.truthful(refusal)))
    }

    /// The refusal of a request that was not claimed, in view of earlier attempts under its key.
    ///
    /// A caller that was told "unknown" and tries again asks what became of its hold. "Not run"
    /// would be true of this try and a lie about the hold.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        let is_repeat = |request| self.parts.claims.is_repeat(request);
        if !self.claim.as_ref().is_some_and(is_repeat) {
            return refusal;
        }
        let detail = format!("an earlier try may have run; this one was refused: {refusal}");
        Refusal::new(Code::KeyOutcomeUnknown, detail)
    }
}
