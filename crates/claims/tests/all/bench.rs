//! What the tests share: entries over one fake table, requests, answers.

use crate::fake::Fake;
use primroseroute_claims::{
    Answer, Blob, Claim, Claims, Clock, Fingerprint, Key, Options, Permit, Request,
};
use primroseroute_domain::time;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time that the requests of the tests have left.
pub const WITHIN: Duration = Duration::from_secs(10);

/// A wall clock that follows tokio's paused time.
#[derive(Debug)]
pub struct Paused(Instant);

impl Paused {
    pub fn start() -> Arc<Self> {
        Arc::new(Self(Instant::now()))
    }
}

impl Clock for Paused {
    fn now(&self) -> time::Instant {
        time::Instant(1_000_000_000).after(self.0.elapsed())
    }
}

/// Starts the claims of an entry; `number` must be fresh for each start.
pub fn entry(fake: &Fake, clock: &Arc<Paused>, number: u8) -> Claims {
    entry_with(fake, clock, number, Options::default())
}

pub fn entry_with(fake: &Fake, clock: &Arc<Paused>, number: u8, options: Options) -> Claims {
    let clock = Arc::clone(clock) as Arc<dyn Clock>;
    Claims::spawn(Arc::new(fake.clone()), clock, options, [number; 32])
}

pub fn request(key: &str) -> Request {
    with_body(key, "bed 4")
}

pub fn with_body(key: &str, body: &str) -> Request {
    let service = "merkato-beds".parse().expect("a name");
    Request {
        account: "gojo".parse().expect("a name"),
        key: Key::parse(key).expect("a key"),
        fingerprint: Fingerprint::of("POST", &service, "/holds", body.as_bytes()),
        repeat: false,
    }
}

pub fn answer(body: &[u8]) -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: Blob(body.to_vec().into()),
    }
}

/// A claim in one word, for comparisons; a permit is given up as unknown.
pub fn word(claim: &Claim) -> &'static str {
    match claim {
        Claim::Granted(_) => "granted",
        Claim::Repeat(_) => "repeat",
        Claim::InProgress => "in progress",
        Claim::OutcomeUnknown => "unknown",
        Claim::NotKept => "not kept",
        Claim::KeyReused => "key reused",
        Claim::Unavailable => "not run",
    }
}

pub async fn claim(claims: &Claims, key: &str) -> Claim {
    claims.claim(&request(key), WITHIN).await
}

pub async fn grant(claims: &Claims, key: &str) -> Permit {
    match claim(claims, key).await {
        Claim::Granted(permit) => permit,
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// Waits until every outcome is written.
pub async fn settle(claims: &Claims) {
    assert_eq!(
        claims.drain(Duration::from_secs(60)).await,
        0,
        "outcomes are left"
    );
}
