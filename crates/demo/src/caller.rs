//! A caller that keeps the caller contract: the same key again, elsewhere, until it knows.

use crate::{
    balancer::Balancer,
    journal::Journal,
    judge::{Ended, Event},
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

/// Part of the requests that are holds.
const HOLDS: f64 = 0.35;

/// Milliseconds between two requests of one caller.
const PAUSE: Range<u64> = 10..50;

/// The timeout that callers name.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The same in milliseconds, as the header wants it.
const TIMEOUT_MS: &str = "2000";

/// How long after the timeout an answer is late. An entry counts from the request's arrival and may
/// answer at the last moment; the way there and back is allowed for.
const TRANSIT: Duration = Duration::from_millis(50);

/// When a caller gives a connection up: later than its timeout, so that a late answer is seen.
const GIVE_UP: Duration = Duration::from_secs(4);

/// Attempts at one request that reach an entry.
const ATTEMPTS: u64 = 12;

/// Longest time over all attempts at one request: shorter than the store's outage in a full run, so
/// that some callers leave with "not run", which must then be true.
const PATIENCE: Duration = Duration::from_secs(3);

/// Milliseconds before the same request is sent again.
const BACKOFF: Range<u64> = 20..80;

/// Who calls what, and for how long.
#[derive(Clone, Debug)]
pub(crate) struct Calling {
    pub(crate) account: id::Account,
    pub(crate) token: Arc<str>,
    /// Path prefixes of the services that the account may call.
    pub(crate) prefixes: Vec<Arc<str>>,
    pub(crate) number: usize,
    pub(crate) seed: u64,
    pub(crate) balancer: Balancer,
    pub(crate) journal: Journal,
    pub(crate) closing: Arc<AtomicBool>,
}

impl Calling {
    /// Sends one request after another until the demo closes.
    pub(crate) async fn run(self) {
        let caller = Caller::open(Arc::clone(&self.token));
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut count = 0;
        while !self.closing.load(Ordering::Relaxed) {
            let request = self.next(count, &mut random);
            let ended = request.send(&self, &caller, &mut random).await;
            self.journal.write(Event::Ended(ended));
            count += 1;
            sleep(Duration::from_millis(random.random_range(PAUSE))).await;
        }
    }

    fn next(&self, count: u64, random: &mut ChaCha8Rng) -> Request {
        let id: Arc<str> = format!("{}-{}-{count}", self.account, self.number).into();
        let prefix = &self.prefixes[random.random_range(0..self.prefixes.len())];
        let is_hold = random.random_bool(HOLDS);
        Request {
            path: format!("{prefix}/beds/{}", random.random_range(0..1000)),
            key: is_hold.then(|| format!("hold-{id}").into()),
            id,
        }
    }
}

/// One request of a caller.
#[derive(Debug)]
struct Request {
    id: Arc<str>,
    path: String,
    key: Option<Arc<str>>,
}

/// What the caller knows while it tries.
#[derive(Debug)]
struct Course {
    verdict: Verdict,
    success: bool,
    late: bool,
    named: Vec<Arc<str>>,
    attempts: u64,
    refused: u64,
}

impl Request {
    async fn send(self, calling: &Calling, caller: &Caller, random: &mut ChaCha8Rng) -> Ended {
        let give_up = Instant::now() + PATIENCE;
        let mut last = None;
        let mut course = Course {
            verdict: Verdict::NotRun,
            success: false,
            late: false,
            named: Vec::new(),
            attempts: 0,
            refused: 0,
        };
        while course.attempts < ATTEMPTS && Instant::now() < give_up {
            if let Some(to) = calling.balancer.pick(last) {
                last = Some(to);
                let began = Instant::now();
                let answer = self.attempt(caller, to, course.verdict).await;
                course.note(&answer, began.elapsed());
                if course.verdict == Verdict::Completed {
                    break;
                }
            }
            sleep(Duration::from_millis(random.random_range(BACKOFF))).await;
        }
        Ended {
            request: self.id,
            key: self.key,
            verdict: course.verdict,
            success: course.success,
            late: course.late,
            named: course.named,
            attempts: course.attempts,
            refused: course.refused,
        }
    }

    /// Sends it once; marked as a repeat where an earlier attempt may have run.
    async fn attempt(&self, caller: &Caller, to: SocketAddr, known: Verdict) -> Answer {
        let mut headers = vec![
            ("x-request-id", &*self.id),
            ("request-timeout-ms", TIMEOUT_MS),
        ];
        let Some(key) = &self.key else {
            return caller
                .send(to, Method::GET, &self.path, &headers, "", GIVE_UP)
                .await;
        };
        headers.push(("idempotency-key", key));
        if known == Verdict::Unknown {
            headers.push(("idempotency-repeat", "1"));
        }
        caller
            .send(to, Method::POST, &self.path, &headers, "one bed", GIVE_UP)
            .await
    }
}

impl Course {
    fn note(&mut self, answer: &Answer, took: Duration) {
        // No connection: nothing was sent, and what is known of earlier attempts stands.
        if answer.status.is_none() && answer.said == Said::NotRun {
            self.refused += 1;
            return;
        }
        self.attempts += 1;
        self.late |= answer.status.is_some() && took > TIMEOUT + TRANSIT;
        self.verdict = match answer.said {
            Said::Completed => Verdict::Completed,
            Said::NotRun => Verdict::NotRun,
            Said::Unknown => Verdict::Unknown,
        };
        self.success = answer.status.is_some_and(|status| status.is_success());
        self.named.extend(named(answer));
    }
}

/// The requests that an answer names: in its header, and a worker's answer in its body too.
fn named(answer: &Answer) -> Vec<Arc<str>> {
    let header = answer.headers.get("x-request-id");
    let header = header.and_then(|value| value.to_str().ok());
    let body = std::str::from_utf8(&answer.body).ok();
    let body = body.and_then(|text| text.split(' ').next());
    let body = body.filter(|_| answer.said == Said::Completed && answer.code.is_none());
    header.into_iter().chain(body).map(Arc::from).collect()
}
