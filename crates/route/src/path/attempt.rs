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
use primroseroute_claims::{Claim, Fingerprint, Key, Permit, Request as ClaimRequest};
use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
};
use primroseroute_flow::request::Ending;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The attempts at one request.
pub(super) struct Attempts<'a> {
    parts: &'a Parts,
    head: &'a Head,
    upload: Upload,
    deadline: Instant,
    ticket: Ticket,
    made: &'a mut u32,
    permit: Option<Permit>,
    /// The failure of the last attempt that may have run; while there is one, "not run" is a lie.
    may_have_run: Option<Refusal>,
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
        made: &'a mut u32,
    ) -> Self {
        Self {
            parts,
            head,
            upload,
            deadline,
            ticket,
            made,
            permit: None,
            may_have_run: None,
        }
    }

    pub(super) async fn run(mut self) -> Reply {
        loop {
            let (instance, not_after) = match self.ticket.next().await {
                Step::Refuse { code, retry_after } => {
                    let detail = format!("service {}", self.head.target.service);
                    let mut refusal = Refusal::new(code, detail);
                    if self.permit.is_none() {
                        refusal = self.head.refused_unseen(refusal);
                    }
                    let reply = self.take_back(refusal);
                    return reply.retry_after(retry_after);
                }
                Step::Send {
                    instance,
                    not_after,
                } => (instance, not_after),
            };
            if let Err(reply) = self.claim().await {
                return reply;
            }
            let Some(address) = self.address(&instance) else {
                self.ticket.finish(Ending::NotSent);
                continue;
            };
            *self.made += 1;
            match self.send(address, not_after).await {
                After::Reply(reply) => return reply,
                After::Again => {}
            }
        }
    }

    /// Claims the key before the first attempt; a claim covers all attempts.
    async fn claim(&mut self) -> Result<(), Reply> {
        if self.permit.is_some() || !self.head.is_claimed() {
            return Ok(());
        }
        let (Some(key), Upload::Whole(body)) = (&self.head.key, &self.upload) else {
            return Ok(());
        };
        let refused = |code, detail: &str| Reply::refused(Refusal::new(code, detail));
        let key =
            Key::parse(key).map_err(|error| refused(Code::MalformedKey, &error.to_string()))?;
        let head = self.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let request = ClaimRequest {
            account: head.account.clone(),
            key,
            fingerprint: Fingerprint::of(head.method.as_str(), &head.target.service, path, body),
            repeat: head.headers.contains_key(REPEAT),
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let reply = match self.parts.claims.claim(&request, left).await {
            Claim::Granted(permit) => {
                self.permit = Some(permit);
                return Ok(());
            }
            Claim::Repeat(first) => Reply::repeated(first),
            other => {
                let code = other.code().unwrap_or(Code::ClaimUnavailable);
                refused(code, "see the result code's page")
            }
        };
        // Nothing was sent, and the slot is free again.
        self.ticket.finish(Ending::Cancelled);
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
            self.ticket.finish(Ending::Cancelled);
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
                self.ticket.finish(Ending::Answered {
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
            Failure::NotSent(_) => (Code::ConnectFailed, Ending::NotSent),
            Failure::Lost(_) => (Code::AnswerLost, Ending::Lost),
            Failure::Late => (Code::AnswerTimeout, Ending::Late),
            Failure::Invalid(_) => (Code::AnswerInvalid, Ending::Lost),
        };
        if !matches!(failure, Failure::NotSent(_)) {
            self.may_have_run = Some(Refusal::new(code, failure.to_string()));
        }
        log::debug!("request {}: attempt {}: {failure}", self.head.id, self.made);
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
        }
        Reply::refused(first.unwrap_or(refusal))
    }
}
