//! Submissions of jobs.

use crate::{
    acceptance::{Acceptance, objective_ms},
    admission::{Applicant, Rejected, label, millis},
    gateway::{Gateway, Head, Prepared, may_access},
    parse::parse,
    response::{empty, refused, refused_for},
    retry_limit::RetryLimit,
    unanswered::Unanswered,
};
use gotham::helpers::http::Body;
use http::{
    HeaderValue, Response,
    header::{CONNECTION, CONTENT_LENGTH},
};
use log::{debug, info};
use primroseroute_admission::gate::Reason;
use primroseroute_cell::row::{self, Claim, tombstone::Tombstone};
use primroseroute_domain::{
    outcome::Code,
    work::{Job, JobId, Name},
};
use primroseroute_front::{Upload, upload};
use primroseroute_platform::{
    Error,
    rows::{Commit, Row, Version},
    site::Queue,
};
use std::time::Duration;
use tokio::time::timeout;

/// Length of a body that is read before a rejection: only the body tells that a job is long-running
/// or scheduled, which is always accepted, and such jobs are shorter.
const READ_BYTES: usize = 65_536;

/// How often a submission holds its body: as it was received, as a job, as rows, and as the text of a
/// transaction.
const BODY_COPIES: usize = 4;

/// How long it may take to hold the id of a submission that is to be rejected; the submission is then
/// tried.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);

impl Gateway {
    /// Answers a submission.
    pub(crate) async fn post(
        &self,
        head: &Head<'_>,
        prepared: &Prepared,
        queue: &Queue,
        id: JobId,
        body: Upload,
    ) -> Response<Body> {
        let rejected = self.decide_without_body(head, prepared, queue, &id);
        if let Err(rejected) = rejected
            && let Some(mut response) = self.reject(head, queue, &id, &rejected).await
        {
            // What is left of the body isn't taken for the next request.
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
            return response;
        }
        let limit = prepared.limits.body_bytes;
        match body.collect(limit, BODY_COPIES).await {
            Ok(body) => self.submit(head, prepared, queue, id, &body).await,
            Err(upload::Error::TooLarge) => {
                let detail = format!("at most {limit} bytes");
                refused(Code::BodyTooLarge, detail, head.request)
            }
            Err(error) => {
                debug!("request body incomplete: {error}");
                refused(Code::BodyIncomplete, error.to_string(), head.request)
            }
        }
    }

    /// Whether a job with a large body is rejected whatever it is.
    fn decide_without_body(
        &self,
        head: &Head<'_>,
        prepared: &Prepared,
        queue: &Queue,
        id: &JobId,
    ) -> Result<(), Rejected> {
        let length = head.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let is_large = length.is_some_and(|length| length > READ_BYTES);
        let is_reachable = !self.components.store_health.is_unreachable();
        if !is_large || !is_reachable || !self.admission.applies(&prepared.weights) {
            return Ok(());
        }
        self.admission
            .decide_without_size(&applicant(head, prepared, queue, id))
    }

    /// Whether the pool takes a job. Long-running and scheduled jobs are always taken.
    fn decide(
        &self,
        head: &Head<'_>,
        prepared: &Prepared,
        queue: &Queue,
        id: &JobId,
        job: &Job,
    ) -> Result<(), Rejected> {
        let is_exempt = job.lasting() || job.schedule.is_some();
        if is_exempt || !self.admission.applies(&prepared.weights) {
            return Ok(());
        }
        let applicant = applicant(head, prepared, queue, id);
        self.admission
            .decide(&applicant, job, objective_ms(queue, job))?;
        self.count(&queue.pool, "accepted");
        Ok(())
    }

    fn count(&self, pool: &Name, outcome: &'static str) {
        if let Some(observer) = &self.components.observer {
            observer.admission_decided(pool, outcome);
        }
    }

    /// The response to a submission that the pool doesn't take; none if the submission is to be
    /// tried.
    ///
    /// A caller that repeats an id after an unknown outcome must not be told that the job never
    /// runs while it may: an earlier submission may have been accepted, or may be on its way. So
    /// the claim is read before, and the id is held.
    async fn reject(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
        rejected: &Rejected,
    ) -> Option<Response<Body>> {
        match timeout(HOLD_TIMEOUT, self.try_reject(head, queue, id)).await {
            Ok(Ok(Holding::Held)) => Some(self.rejection(head, queue, id, rejected)),
            Ok(Ok(Holding::Answered(response))) => {
                self.count(&queue.pool, "accepted");
                Some(response)
            }
            Ok(Ok(Holding::Changed) | Err(_)) | Err(_) => {
                self.count(&queue.pool, "accepted");
                debug!(job:% = id; "id can't be held before a rejection; trying the submission");
                None
            }
        }
    }

    /// Holds the id of a submission that is to be rejected.
    async fn try_reject(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
    ) -> Result<Holding, Error> {
        let (pool, tombstone, replaced) = match self.claim(id).await? {
            None => (Name::clone(&queue.pool), Tombstone::Rejected, 0),
            Some((claim, version)) => match self.settled(head, queue, id, &claim, version) {
                Ok(response) => return Ok(Holding::Answered(response)),
                // The new version makes submissions fail that would have replaced this one.
                Err(tombstone) => (claim.pool, tombstone, version),
            },
        };
        let version = self.hold(id, &pool, &tombstone, replaced).await?;
        Ok(version.map_or(Holding::Changed, |_version| Holding::Held))
    }

    fn rejection(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
        rejected: &Rejected,
    ) -> Response<Body> {
        let Rejected {
            rejection,
            published,
        } = rejected;
        let outcome = label(rejection.reason);
        self.count(&queue.pool, outcome);
        let account = head.caller.account();
        let name = account.map_or("-", |account| account);
        let pool = &*queue.pool;
        if rejection.reason == Reason::Size {
            info!(job:% = id, pool, account = name; "job rejected: a task is larger than any worker");
            let detail = "a task needs more than the largest worker has";
            return refused(Code::JobTooLarge, detail, head.request);
        }
        let load = published.as_ref().map(|published| &published.load);
        let share = |account| {
            load.and_then(|load| load.within_permille.get(account))
                .copied()
        };
        let within_permille = account.map_or(0, |account| share(account).unwrap_or(1_000));
        let within_wait_ms = load.map_or(0, |load| load.within_wait_ms);
        let beyond_wait_ms = load.map_or(0, |load| load.beyond_wait_ms);
        let age_ms = published.as_ref().map(|published| millis(published.age));
        let (wait_ms, retry_after_ms) = (rejection.wait_ms, rejection.retry_after_ms);
        info!(job:% = id, pool, account = name, outcome, wait_ms, within_wait_ms, beyond_wait_ms, within_permille, age_ms, retry_after_ms; "job rejected: pool is short of workers");
        refused_for(
            Duration::from_millis(retry_after_ms),
            Code::PoolOverloaded,
            "",
            head.request,
        )
    }

    /// The rejection of a submission while calls to the store fail, if a read fails as well.
    ///
    /// A commit without an answer may take effect later, and its caller can't be told that the job
    /// never runs. A read has no effect, so that the caller may go to another entry at once.
    async fn reject_if_check_fails(&self, head: &Head<'_>, id: &JobId) -> Option<Response<Body>> {
        if !self.components.store_health.is_suspect() {
            return None;
        }
        let error = self.claim(id).await.err()?;
        info!(job:% = id, error:% = error; "job rejected: calls to the store fail");
        Some(refused(
            Code::StoreUnavailable,
            error.to_string(),
            head.request,
        ))
    }

    async fn submit(
        &self,
        head: &Head<'_>,
        prepared: &Prepared,
        queue: &Queue,
        id: JobId,
        body: &[u8],
    ) -> Response<Body> {
        let job = match self.components.codec.submission(body) {
            Ok(job) => job,
            Err(detail) => return refused(Code::MalformedRequest, detail, head.request),
        };
        if let Some(rejection) = self.reject_if_unreachable(head) {
            return rejection;
        }
        if let Some(rejection) = self.reject_if_check_fails(head, &id).await {
            return rejection;
        }
        let retry_limit = RetryLimit::new(
            self.components.codec.request_timeout(head.headers),
            head.request,
        );
        let decided = self.decide(head, prepared, queue, &id, &job);
        if let Err(rejected) = decided
            && let Some(response) = self.reject(head, queue, &id, &rejected).await
        {
            return response;
        }
        let now = self.components.clock.now();
        let acceptance = Acceptance::new(queue, head.caller.account(), &id, job, now);
        let mut unanswered = Unanswered::new(&id);
        let response = self.store(head, queue, &acceptance, retry_limit, &mut unanswered);
        let response = response.await;
        unanswered.record_answer();
        response
    }

    /// Commits the acceptance of a job, until its outcome is known or there is no time left.
    async fn store(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        acceptance: &Acceptance<'_>,
        mut retry_limit: RetryLimit,
        unanswered: &mut Unanswered<'_>,
    ) -> Response<Body> {
        let id = acceptance.id;
        let mut txn = acceptance.replacing(None);
        let mut has_replaced = false;
        let mut last;
        loop {
            unanswered.record_commit();
            match self.components.rows.commit(txn.clone()).await {
                Ok(Commit::Committed(version)) => {
                    let account = head.caller.account().map_or("-", |account| account);
                    info!(job:% = id, queue = &*queue.name, pool = &*queue.pool, account, version; "job accepted");
                    return empty();
                }
                Ok(Commit::Conflict(rows)) => match self.conflict(head, queue, id, &rows) {
                    Conflict::Answered(response) => return response,
                    Conflict::Claim(replaced) => {
                        last = Error::Unavailable("the claim of the id has changed".into());
                        txn = acceptance.replacing(replaced);
                        if !std::mem::replace(&mut has_replaced, true) {
                            continue;
                        }
                    }
                },
                Err(Error::Invalid(detail)) => {
                    return refused(Code::MalformedRequest, detail, head.request);
                }
                Err(error) => {
                    if error.may_have_applied() {
                        retry_limit.record_ambiguous();
                    }
                    last = error;
                }
            }
            if !retry_limit.wait_for_retry().await {
                break;
            }
        }
        let code = if retry_limit.is_ambiguous() {
            Code::SubmissionUnknown
        } else if last == Error::Throttled {
            Code::StoreThrottled
        } else {
            Code::StoreUnavailable
        };
        info!(job:% = id, queue = &*queue.name, code = code.number(), error:% = last; "job not accepted");
        refused(code, last.to_string(), head.request)
    }
}

/// What has become of the id of a submission that is to be rejected.
enum Holding {
    /// No submission before this one is accepted any more.
    Held,
    /// The submission is answered otherwise.
    Answered(Response<Body>),
    /// The claim has changed in between.
    Changed,
}

/// What a submission does about a claim that is in its way.
enum Conflict {
    /// The submission is answered.
    Answered(Response<Body>),
    /// It replaces this tombstone, which concerns others, or nothing: the id isn't claimed any more.
    Claim(Option<(Claim, Version)>),
}

impl Gateway {
    /// Resolves the conflict of a submission with these rows.
    fn conflict(&self, head: &Head<'_>, queue: &Queue, id: &JobId, rows: &[Row]) -> Conflict {
        let place = row::claim(id);
        let mut found = rows.iter();
        let Some(row) = found.find(|row| row.place == place && row.value.is_some()) else {
            return Conflict::Claim(None);
        };
        match parse::<Claim>(row) {
            Ok(claim) => match self.claimed(head, queue, id, &claim, row.version) {
                Some(response) => Conflict::Answered(response),
                None => Conflict::Claim(Some((claim, row.version))),
            },
            Err(error) => {
                info!(job:% = id, error:% = error; "claim of a submission can't be read");
                let detail = error.to_string();
                Conflict::Answered(refused(Code::SubmissionUnknown, detail, head.request))
            }
        }
    }

    /// The response to a submission whose id is claimed; `None` if it replaces the claim.
    fn claimed(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
        claim: &Claim,
        version: Version,
    ) -> Option<Response<Body>> {
        match self.settled(head, queue, id, claim, version) {
            Ok(response) => Some(response),
            // Whether this request or the rejected one is the caller's later one isn't known.
            Err(Tombstone::Rejected) if version > head.known_version => {
                info!(job:% = id, queue = &*queue.name, version; "submission refused beside a rejected one");
                Some(refused(Code::PoolOverloaded, "", head.request))
            }
            Err(_) => None,
        }
    }

    /// The response to a submission whose job is stored or was cancelled by its caller; otherwise the
    /// tombstone that holds its id.
    fn settled(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
        claim: &Claim,
        version: Version,
    ) -> Result<Response<Body>, Tombstone> {
        let scope = match claim.tombstone() {
            None => return Ok(already_accepted(head, queue, id, claim)),
            Some(Tombstone::Cancelled(scope)) if scope.covers(head.caller.account()) => scope,
            Some(tombstone) => return Err(tombstone),
        };
        info!(job:% = id, queue = &*queue.name, scope:? = scope, version; "submission of a cancelled job refused");
        if let Some(observer) = &self.components.observer {
            observer.cancelled_submission_refused();
        }
        Ok(refused(Code::JobCancelled, "", head.request))
    }
}

/// The response to a submission that an earlier attempt has stored, maybe at another gateway.
fn already_accepted(head: &Head<'_>, queue: &Queue, id: &JobId, claim: &Claim) -> Response<Body> {
    if !may_access(head, queue, claim) {
        return refused(Code::JobOfAnotherAccount, "", head.request);
    }
    info!(job:% = id, queue = &*queue.name; "job already accepted");
    empty()
}

fn applicant<'a>(
    head: &'a Head<'_>,
    prepared: &'a Prepared,
    queue: &'a Queue,
    id: &'a JobId,
) -> Applicant<'a> {
    Applicant {
        account: head.caller.account(),
        weights: &prepared.weights,
        queue,
        id,
    }
}
