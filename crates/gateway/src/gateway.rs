//! The requests of callers.

use crate::{
    admission::{Admission, Loads, Weights, weights},
    authentication::{Caller, Currency, Keys},
    cancel::CancelOutcome,
    parse::parse,
    queue_counts::QueueCounts,
    response::{json, refused},
    retry_limit::RetryLimit,
    routes::Routes,
    states::FinalStates,
    store_health::StoreHealth,
};
use gotham::{handler::NewHandler, helpers::http::Body};
use http::{
    HeaderMap, HeaderValue, Method, Response, Uri,
    header::{CONNECTION, HOST},
};
use log::{debug, info};
use parking_lot::Mutex;
use primroseroute_cell::row::{self, Claim};
use primroseroute_domain::{
    outcome::Code,
    time::Clock,
    work::{JobId, Name, State},
};
use primroseroute_front::{IncomingRequest, Upload, handler_fn, problem::REQUEST_ID};
use primroseroute_platform::{
    Error,
    rows::{Place, Row, Rows, Version, read_row},
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
    /// What the owners of pools publish.
    pub loads: Arc<dyn Loads>,
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

    /// It was decided whether a pool takes a job; only with client accounts in the configuration.
    fn admission_decided(&self, _pool: &Name, _outcome: &'static str) {}

    /// A cancel is answered.
    fn cancel_answered(&self, _outcome: CancelOutcome) {}

    /// A submission is refused, since its job was cancelled before it was stored.
    fn cancelled_submission_refused(&self) {}
}

/// A configuration, prepared for requests.
#[derive(Debug)]
pub(crate) struct Prepared {
    number: u64,
    pub limits: RequestLimits,
    routes: Routes,
    keys: Keys,
    pub weights: Weights,
}

/// The callers' side of an entry.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) components: Components,
    pub(crate) admission: Admission,
    prepared: Mutex<Option<Arc<Prepared>>>,
    states: FinalStates,
    counts: QueueCounts,
}

/// One request, without its body.
pub(crate) struct Head<'a> {
    method: &'a Method,
    pub headers: &'a HeaderMap,
    pub request: &'a str,
    pub caller: Caller,
    /// The newest version of the store that was known when the request arrived: what has a later one
    /// may have been written since.
    pub known_version: Version,
}

/// A job's state, and whose it is.
#[derive(Deserialize)]
struct Shown {
    state: State,
    #[serde(default)]
    account: Option<Name>,
}

impl Gateway {
    /// Opens a gateway, which follows the configuration until it is dropped.
    pub fn open(components: Components) -> Arc<Self> {
        let mut configuration = components.configuration.clone();
        configuration.mark_changed();
        let gateway = Arc::new(Self {
            admission: Admission::new(Arc::clone(&components.loads)),
            components,
            prepared: Mutex::default(),
            states: FinalStates::default(),
            counts: QueueCounts::default(),
        });
        let follower = Arc::downgrade(&gateway);
        tokio::spawn(async move {
            while configuration.changed().await.is_ok()
                && let Some(gateway) = follower.upgrade()
            {
                gateway.prepared();
            }
        });
        gateway
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
            self.counts.apply(&configuration);
            *prepared = Some(Arc::new(Prepared {
                number: configuration.number,
                limits: configuration.limits,
                routes: Routes::of(&configuration),
                keys: Keys::of(&configuration),
                weights: weights(&configuration),
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
        body: impl Into<Upload>,
    ) -> Response<Body> {
        let begin = Instant::now();
        let mut queue = None;
        let response = self.answer(method, uri, headers, body.into(), &mut queue);
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
        body: Upload,
        matched_queue: &mut Option<Name>,
    ) -> Response<Body> {
        let known_version = self.components.store_health.newest_version();
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
            known_version,
        };
        if rest.is_empty() {
            return self.queued(&head, queue).await;
        }
        let Some(id) = JobId::parse(rest) else {
            let detail = "an id has 16 hexadecimal digits";
            return refused(Code::MalformedRequest, detail, &request);
        };
        match method {
            Method::POST => self.post(&head, &prepared, queue, id, body).await,
            Method::GET => self.state(&head, queue, id).await,
            Method::DELETE => self.cancel(&head, queue, id).await,
            _ => refused(Code::MalformedRequest, "not a method of jobs", &request),
        }
    }

    /// The rejection of a request of which nothing was sent to the store, while that is
    /// unreachable.
    pub(crate) fn reject_if_unreachable(&self, head: &Head<'_>) -> Option<Response<Body>> {
        let unreachable = self.components.store_health.is_unreachable();
        let detail = "the entry doesn't reach the store; another may";
        unreachable.then(|| refused(Code::StoreUnavailable, detail, head.request))
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

    pub(crate) async fn claim(&self, id: &JobId) -> Result<Option<(Claim, Version)>, Error> {
        let row = self.read(row::claim(id)).await?;
        row.map(|row| Ok((parse(&row)?, row.version))).transpose()
    }

    async fn read(&self, place: Place) -> Result<Option<Row>, Error> {
        read_row(&*self.components.rows, place).await
    }

    async fn queued(&self, head: &Head<'_>, queue: &Queue) -> Response<Body> {
        if head.method != Method::GET {
            let detail = "a queue can only be asked for";
            return refused(Code::MalformedRequest, detail, head.request);
        }
        if let Some(count) = self.counts.recent(queue) {
            return json(self.components.codec.queued(count));
        }
        if let Some(rejection) = self.reject_if_unreachable(head) {
            return rejection;
        }
        let rows = &*self.components.rows;
        match self.counts.read(rows, queue).await {
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
pub(crate) fn may_access(head: &Head<'_>, queue: &Queue, claim: &Claim) -> bool {
    let through_own_queue = queue.public && claim.queue == queue.name;
    through_own_queue || head.caller.may_access(claim.account.as_ref())
}

fn head_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len());
    uri.path().len() + fields.sum::<usize>()
}
