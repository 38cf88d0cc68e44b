//! The requests of callers.

use crate::{
    authentication::{Caller, Currency, Keys},
    parse::parse,
    queue_counts::QueueCounts,
    response::{empty, json, refused},
    retry_limit::RetryLimit,
    routes::Routes,
    states::FinalStates,
    store_health::StoreHealth,
};
use bytes::Bytes;
use gotham::{handler::NewHandler, helpers::http::Body};
use http::{
    HeaderMap, HeaderValue, Method, Response, Uri,
    header::{CONNECTION, HOST},
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use log::{debug, info};
use parking_lot::Mutex;
use primroseroute_cell::row::{self, Accepted, Claim};
use primroseroute_domain::{
    outcome::Code,
    time::{self, Clock},
    work::{Job, JobId, Name, State},
};
use primroseroute_front::{IncomingRequest, handler_fn, problem::REQUEST_ID};
use primroseroute_platform::{
    Error,
    rows::{Commit, Place, Row, Rows, Txn, read_row},
    site::{Codec, Configuration, Queue, RequestLimits},
};
use serde::Deserialize;
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch::Receiver, time::Instant};

/// The components from which a gateway is built.
#[derive(Clone, Debug)]
pub struct Components {
    /// The newest configuration.
    pub configuration: Receiver<Option<Arc<Configuration>>>,
    /// How current it is.
    pub currency: Arc<dyn Currency>,
    /// The store.
    pub rows: Arc<dyn Rows>,
    /// Whether the store is reachable.
    pub store_health: Arc<StoreHealth>,
    /// How bodies are encoded.
    pub codec: Arc<dyn Codec>,
    /// The time of day, which orders work.
    pub clock: Arc<dyn Clock>,
    /// Counts the responses, if set.
    pub observer: Option<Arc<dyn Observer>>,
}

/// A response that is sent.
#[derive(Clone, Debug)]
pub struct ResponseInfo {
    /// The queue that the request is for, if any.
    pub queue: Option<Name>,
    /// Its status.
    pub status: u16,
    /// Time since the request's head arrived.
    pub duration: Duration,
}

/// Counts responses.
pub trait Observer: Send + Sync + std::fmt::Debug {
    /// A response is sent.
    fn response_sent(&self, response: &ResponseInfo);
}

/// A configuration, prepared for requests.
#[derive(Debug)]
struct Prepared {
    number: u64,
    limits: RequestLimits,
    routes: Routes,
    keys: Keys,
}

/// The callers' side of an entry.
#[derive(Debug)]
pub struct Gateway {
    components: Components,
    prepared: Mutex<Option<Arc<Prepared>>>,
    states: FinalStates,
    counts: QueueCounts,
}

/// One request, without its body.
struct Head<'a> {
    method: &'a Method,
    headers: &'a HeaderMap,
    request: &'a str,
    caller: Caller,
}

/// A job's state, and whose it is.
#[derive(Deserialize)]
struct Shown {
    state: State,
    #[serde(default)]
    account: Option<Name>,
}

impl Gateway {
    /// Opens a gateway.
    pub fn open(components: Components) -> Arc<Self> {
        Arc::new(Self {
            components,
            prepared: Mutex::default(),
            states: FinalStates::default(),
            counts: QueueCounts::default(),
        })
    }

    /// The handler to serve it with.
    pub fn handler(self: &Arc<Self>) -> impl NewHandler + 'static {
        handler_fn(
            Arc::clone(self),
            |gateway, call: IncomingRequest| async move {
                let IncomingRequest {
                    method,
                    uri,
                    headers,
                    body,
                } = call;
                gateway.serve(method, uri, headers, body).await
            },
        )
    }

    /// The newest configuration; it is prepared once.
    fn prepared(&self) -> Option<Arc<Prepared>> {
        let configuration = self.components.configuration.borrow().clone()?;
        let mut prepared = self.prepared.lock();
        let known = prepared.as_ref();
        if known.is_none_or(|known| known.number != configuration.number) {
            *prepared = Some(Arc::new(Prepared {
                number: configuration.number,
                limits: configuration.limits,
                routes: Routes::of(&configuration),
                keys: Keys::of(&configuration),
            }));
        }
        prepared.clone()
    }

    /// Answers one request.
    pub async fn serve(
        &self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Body,
    ) -> Response<Body> {
        let begin = Instant::now();
        let mut queue = None;
        let response = self.answer(method, uri, headers, body, &mut queue);
        let mut response = response.await;
        let is_stale = response.extensions().get::<Stale>().is_some();
        if is_stale || self.components.store_health.is_unreachable() {
            // The caller's next attempt on this connection would come to this entry again.
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(observer) = &self.components.observer {
            observer.response_sent(&ResponseInfo {
                queue,
                status: response.status().as_u16(),
                duration: begin.elapsed(),
            });
        }
        response
    }

    async fn answer(
        &self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Body,
        matched_queue: &mut Option<Name>,
    ) -> Response<Body> {
        let request = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
        let request = request.unwrap_or_default().to_owned();
        let Some(prepared) = self.prepared() else {
            return refused(Code::ViewStale, "no configuration is known yet", &request);
        };
        if head_bytes(&uri, &headers) > prepared.limits.head_bytes {
            let detail = format!("at most {} bytes", prepared.limits.head_bytes);
            return refused(Code::HeadTooLarge, detail, &request);
        }
        let host = headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.or(uri.host()).unwrap_or_default();
        let Some((queue, rest)) = prepared.routes.find(host, uri.path()) else {
            debug!(host, path = uri.path(), configuration = prepared.number; "no queue matches the request");
            return refused(Code::UnknownService, "no queue has this path", &request);
        };
        *matched_queue = Some(Name::clone(&queue.name));
        let key = self.components.codec.key(&headers);
        let caller = prepared
            .keys
            .authenticate(queue, key, &*self.components.currency);
        let caller = match caller {
            Ok(caller) => caller,
            Err((code, detail)) => {
                let queue = &*queue.name;
                info!(queue, code = code.number(), configuration = prepared.number; "caller not authenticated");
                return unauthenticated(code, detail, &request);
            }
        };
        let head = Head {
            method: &method,
            headers: &headers,
            request: &request,
            caller,
        };
        if rest.is_empty() {
            return self.queued(&head, queue).await;
        }
        let Some(id) = JobId::parse(rest) else {
            let detail = "an id has 16 hexadecimal digits";
            return refused(Code::MalformedRequest, detail, &request);
        };
        match method {
            Method::POST => {
                let limit = prepared.limits.body_bytes;
                let body = match read_body(body, limit).await {
                    Ok(body) => body,
                    Err(code) => {
                        return refused(code, format!("at most {limit} bytes"), &request);
                    }
                };
                self.submit(&head, queue, id, &body).await
            }
            Method::GET => self.state(&head, queue, id).await,
            Method::DELETE => self.cancel(&head, queue, id).await,
            _ => refused(Code::MalformedRequest, "not a method of jobs", &request),
        }
    }

    /// The rejection of a request of which nothing was sent to the store, while that is
    /// unreachable.
    fn reject_if_unreachable(&self, head: &Head<'_>) -> Option<Response<Body>> {
        let unreachable = self.components.store_health.is_unreachable();
        let detail = "the entry doesn't reach the store; another may";
        unreachable.then(|| refused(Code::StoreUnavailable, detail, head.request))
    }

    async fn submit(
        &self,
        head: &Head<'_>,
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
        let now = self.components.clock.now();
        let txn = acceptance(queue, head.caller.account(), &id, job, now);
        let mut retry_limit = RetryLimit::new(
            self.components.codec.request_timeout(head.headers),
            head.request,
        );
        let mut last;
        loop {
            match self.components.rows.commit(txn.clone()).await {
                Ok(Commit::Committed(version)) => {
                    let account = head.caller.account().map_or("-", |account| account);
                    info!(job:% = id, queue = &*queue.name, pool = &*queue.pool, account, version; "job accepted");
                    return empty();
                }
                // An earlier attempt has claimed the id, maybe at another gateway.
                Ok(Commit::Conflict(rows)) => {
                    let claim = rows.first().map(parse::<Claim>).transpose();
                    let claim = claim.ok().flatten();
                    if !claim.is_none_or(|claim| may_access(head, queue, &claim)) {
                        return refused(Code::JobOfAnotherAccount, "", head.request);
                    }
                    info!(job:% = id, queue = &*queue.name; "job already accepted");
                    return empty();
                }
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

    async fn state(&self, head: &Head<'_>, queue: &Queue, id: JobId) -> Response<Body> {
        if let Some((state, account)) = self.states.get(&id)
            && head.caller.may_access(account.as_ref())
        {
            return json(self.components.codec.state(state));
        }
        let mut retry_limit = RetryLimit::new(
            self.components.codec.request_timeout(head.headers),
            head.request,
        );
        loop {
            if let Some(rejection) = self.reject_if_unreachable(head) {
                return rejection;
            }
            match self.read_state(head, queue, &id).await {
                Ok(Some(Shown { state, account })) => {
                    self.states.insert(&id, state, account);
                    return json(self.components.codec.state(state));
                }
                Ok(None) => return refused(Code::JobUnknown, "", head.request),
                Err(error) => {
                    if !retry_limit.wait_for_retry().await {
                        info!(job:% = id, error:% = error; "job state can't be read");
                        return refused(Code::StateUnavailable, error.to_string(), head.request);
                    }
                }
            }
        }
    }

    /// A job's state: its progress if an owner has written any, else whether it was accepted.
    /// `None` if there is no such job that the caller may see.
    async fn read_state(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
    ) -> Result<Option<Shown>, Error> {
        if let Some(shown) = self.progress(&queue.pool, id).await?
            && head.caller.may_access(shown.account.as_ref())
        {
            return Ok(Some(shown));
        }
        let Some((claim, _version)) = self.claim(id).await? else {
            return Ok(None);
        };
        if !may_access(head, queue, &claim) {
            return Ok(None);
        }
        // If the queue was assigned to another pool since, the job stays where it was accepted.
        let shown = self.progress(&claim.pool, id).await?;
        Ok(Some(shown.unwrap_or(Shown {
            state: State::Pending,
            account: claim.account,
        })))
    }

    async fn progress(&self, pool: &Name, id: &JobId) -> Result<Option<Shown>, Error> {
        let row = self.read(row::progress(pool, id)).await?;
        row.as_ref().map(parse).transpose()
    }

    async fn claim(&self, id: &JobId) -> Result<Option<(Claim, u64)>, Error> {
        let row = self.read(row::claim(id)).await?;
        row.map(|row| Ok((parse(&row)?, row.version))).transpose()
    }

    async fn read(&self, place: Place) -> Result<Option<Row>, Error> {
        read_row(&*self.components.rows, place).await
    }

    async fn cancel(&self, head: &Head<'_>, queue: &Queue, id: JobId) -> Response<Body> {
        if let Some(rejection) = self.reject_if_unreachable(head) {
            return rejection;
        }
        let mut retry_limit = RetryLimit::new(
            self.components.codec.request_timeout(head.headers),
            head.request,
        );
        loop {
            let result = match self.claim(&id).await {
                Ok(None) => return refused(Code::JobUnknown, "", head.request),
                Ok(Some((claim, _version))) if !may_access(head, queue, &claim) => {
                    return refused(Code::JobUnknown, "", head.request);
                }
                Ok(Some((claim, version))) => self.write_cancel(&id, &claim, version).await,
                Err(error) => Err(error),
            };
            match result {
                Ok(true) => {
                    info!(job:% = id; "cancel accepted");
                    return empty();
                }
                Ok(false) => {}
                Err(error) => debug!(job:% = id, error:% = error; "cancel not stored yet"),
            }
            if !retry_limit.wait_for_retry().await {
                info!(job:% = id; "cancel not confirmed as stored");
                let detail = "the cancel may not be stored";
                return refused(Code::CancelUnknown, detail, head.request);
            }
        }
    }

    /// Stores a cancel; returns `false` if the claim has changed in between.
    async fn write_cancel(&self, id: &JobId, claim: &Claim, version: u64) -> Result<bool, Error> {
        let txn = Txn {
            conditions: vec![(row::claim(id), version)],
            puts: vec![(row::cancel(&claim.pool, id), Bytes::from_static(b"{}"))],
            deletes: Vec::new(),
        };
        let commit = self.components.rows.commit(txn).await?;
        Ok(matches!(commit, Commit::Committed(_)))
    }

    async fn queued(&self, head: &Head<'_>, queue: &Queue) -> Response<Body> {
        if head.method != Method::GET {
            let detail = "a queue can only be asked for";
            return refused(Code::MalformedRequest, detail, head.request);
        }
        if let Some(count) = self.counts.recent(&queue.pool, &queue.name) {
            return json(self.components.codec.queued(count));
        }
        if let Some(rejection) = self.reject_if_unreachable(head) {
            return rejection;
        }
        let rows = &*self.components.rows;
        match self.counts.read(rows, &queue.pool, &queue.name).await {
            Ok(count) => json(self.components.codec.queued(count)),
            Err(error) => refused(Code::StateUnavailable, error.to_string(), head.request),
        }
    }
}

/// Marks a response of an entry whose configuration may be outdated.
#[derive(Clone, Copy, Debug)]
struct Stale;

/// The response to a request that no account is known for.
fn unauthenticated(code: Code, detail: &str, request: &str) -> Response<Body> {
    let mut response = refused(code, detail, request);
    if code == Code::ViewStale {
        response.extensions_mut().insert(Stale);
    }
    response
}

/// Whether the caller may see and change a job. A job that an account submitted stays accessible
/// through its queue once that is public.
fn may_access(head: &Head<'_>, queue: &Queue, claim: &Claim) -> bool {
    let through_own_queue = queue.public && claim.queue == queue.name;
    through_own_queue || head.caller.may_access(claim.account.as_ref())
}

/// The transaction that accepts a job, unless its id is already claimed.
fn acceptance(
    queue: &Queue,
    account: Option<&Name>,
    id: &JobId,
    job: Job,
    now: time::Instant,
) -> Txn {
    let chain = Duration::from_millis(job.chain_ms());
    let objective = chain.mul_f64(queue.stretch.max(0.0)) + Duration::from_millis(queue.target_ms);
    let accepted = Accepted {
        queue: Name::clone(&queue.name),
        pool: Name::clone(&queue.pool),
        job,
        at_ms: now.0,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        objective_ms: u64::try_from(objective.as_millis()).unwrap_or(u64::MAX),
        account: account.cloned(),
    };
    let claim = Claim {
        pool: Name::clone(&queue.pool),
        queue: Name::clone(&queue.name),
        account: account.cloned(),
    };
    let claimed = serde_json::to_vec(&claim).expect("a claim has plain fields");
    let stored = serde_json::to_vec(&accepted).expect("a job has plain fields");
    Txn {
        conditions: vec![(row::claim(id), 0)],
        puts: vec![
            (row::claim(id), claimed.into()),
            (row::accepted(&queue.pool, id), stored.into()),
        ],
        deletes: Vec::new(),
    }
}

fn head_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len());
    uri.path().len() + fields.sum::<usize>()
}

async fn read_body(body: Body, limit: usize) -> Result<Bytes, Code> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Err(error) => {
            debug!("request body incomplete: {error}");
            Err(Code::BodyIncomplete)
        }
    }
}
