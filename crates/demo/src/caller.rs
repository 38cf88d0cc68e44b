//! A caller that follows the caller contract: repeats a request with the same key at another entry until
//! its outcome is known.

use crate::{
    balancer::Balancer,
    checker::{Event, RequestEnded},
    event_log::EventLog,
};
use http::Method;
use primroseroute_domain::{id, outcome::Verdict};
use primroseroute_testbed::{Answer, Caller, Said};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Fraction of the requests that are holds.
const HOLD_FRACTION: f64 = 0.35;

/// Delay between two requests of one caller.
const DELAY_MS: Range<u64> = 10..50;

/// The request timeout that callers send.
const TIMEOUT: Duration = Duration::from_secs(2);

/// [`TIMEOUT`] in milliseconds, for the header.
const TIMEOUT_MS: &str = "2000";

/// Time after the timeout from which a response counts as late. An entry measures the timeout from the
/// request's arrival and may respond just before it ends, so the network round trip is allowed for.
const TRANSIT: Duration = Duration::from_millis(50);

/// Client-side timeout of one attempt, longer than [`TIMEOUT`] so that late responses are observed.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum attempts per request; refused connections don't count.
const MAX_ATTEMPTS: u64 = 12;

/// Time limit over all attempts at one request: shorter than the store's outage in a full run, so that
/// some requests end as "not run", which the checker then verifies.
const REQUEST_TIME_LIMIT: Duration = Duration::from_secs(3);

/// Delay before the next attempt at a request.
const BACKOFF_MS: Range<u64> = 20..80;

/// One caller: its account, its targets and its share of the run's state.
#[derive(Clone, Debug)]
pub(crate) struct CallerTask {
    pub(crate) account: id::Account,
    pub(crate) token: Arc<str>,
    /// Path prefixes of the services that the account may call.
    pub(crate) prefixes: Vec<Arc<str>>,
    pub(crate) number: usize,
    pub(crate) seed: u64,
    pub(crate) balancer: Balancer,
    pub(crate) log: EventLog,
    pub(crate) closing: Arc<AtomicBool>,
}

impl CallerTask {
    /// Sends one request after another until `closing` is set.
    pub(crate) async fn run(self) {
        let caller = Caller::open(Arc::clone(&self.token));
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut count = 0;
        while !self.closing.load(Ordering::Relaxed) {
            let request = self.next_request(count, &mut random);
            let ended = request.send(&self, &caller, &mut random).await;
            self.log.record(Event::RequestEnded(ended));
            count += 1;
            sleep(Duration::from_millis(random.random_range(DELAY_MS))).await;
        }
    }

    fn next_request(&self, count: u64, random: &mut ChaCha8Rng) -> Request {
        let id: Arc<str> = format!("{}-{}-{count}", self.account, self.number).into();
        let prefix = &self.prefixes[random.random_range(0..self.prefixes.len())];
        let is_hold = random.random_bool(HOLD_FRACTION);
        Request {
            path: format!("{prefix}/beds/{}", random.random_range(0..1000)),
            key: is_hold.then(|| format!("hold-{id}").into()),
            id,
        }
    }
}

#[derive(Debug)]
struct Request {
    id: Arc<str>,
    path: String,
    key: Option<Arc<str>>,
}

/// What the caller has learned from the attempts so far.
#[derive(Debug)]
struct RequestState {
    verdict: Verdict,
    success: bool,
    late: bool,
    named: Vec<Arc<str>>,
    attempts: u64,
    refused: u64,
}

impl Request {
    async fn send(
        self,
        task: &CallerTask,
        caller: &Caller,
        random: &mut ChaCha8Rng,
    ) -> RequestEnded {
        let deadline = Instant::now() + REQUEST_TIME_LIMIT;
        let mut last = None;
        let mut state = RequestState {
            verdict: Verdict::NotRun,
            success: false,
            late: false,
            named: Vec::new(),
            attempts: 0,
            refused: 0,
        };
        while state.attempts < MAX_ATTEMPTS && Instant::now() < deadline {
            if let Some(to) = task.balancer.pick(last) {
                last = Some(to);
                let started = Instant::now();
                let response = self.attempt(caller, to, state.verdict).await;
                state.apply(&response, started.elapsed());
                if state.verdict == Verdict::Completed {
                    break;
                }
            }
            sleep(Duration::from_millis(random.random_range(BACKOFF_MS))).await;
        }
        RequestEnded {
            request: self.id,
            key: self.key,
            verdict: state.verdict,
            success: state.success,
            late: state.late,
            named: state.named,
            attempts: state.attempts,
            refused: state.refused,
        }
    }

    /// Sends the request once, marked as a repeat if an earlier attempt may have run.
    async fn attempt(&self, caller: &Caller, to: SocketAddr, known: Verdict) -> Answer {
        let mut headers = vec![
            ("x-request-id", &*self.id),
            ("request-timeout-ms", TIMEOUT_MS),
        ];
        let Some(key) = &self.key else {
            return caller
                .send(to, Method::GET, &self.path, &headers, "", ATTEMPT_TIMEOUT)
                .await;
        };
        headers.push(("idempotency-key", key));
        if known == Verdict::Unknown {
            headers.push(("idempotency-repeat", "1"));
        }
        caller
            .send(
                to,
                Method::POST,
                &self.path,
                &headers,
                "one bed",
                ATTEMPT_TIMEOUT,
            )
            .await
    }
}

impl RequestState {
    fn apply(&mut self, response: &Answer, duration: Duration) {
        // The connection was refused: nothing was sent, and the verdict of earlier attempts still holds.
        if response.status.is_none() && response.said == Said::NotRun {
            self.refused += 1;
            return;
        }
        self.attempts += 1;
        self.late |= response.status.is_some() && duration > TIMEOUT + TRANSIT;
        self.verdict = match response.said {
            Said::Completed => Verdict::Completed,
            Said::NotRun => Verdict::NotRun,
            Said::Unknown => Verdict::Unknown,
        };
        self.success = response.status.is_some_and(|status| status.is_success());
        self.named.extend(named_requests(response));
    }
}

/// Request ids that a response names: in its header, and in the body of a worker's response.
fn named_requests(response: &Answer) -> Vec<Arc<str>> {
    let header = response.headers.get("x-request-id");
    let header = header.and_then(|value| value.to_str().ok());
    let body = std::str::from_utf8(&response.body).ok();
    let body = body.and_then(|text| text.split(' ').next());
    let body = body.filter(|_| response.said == Said::Completed && response.code.is_none());
    header.into_iter().chain(body).map(Arc::from).collect()
}
