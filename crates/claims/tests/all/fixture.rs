//! Shared fixture: entries with one fake table, requests, responses.

use crate::fake_table::FakeTable;
use primroseroute_claims::{
    Blob, ClaimOutcome, ClaimRequest, Claims, Clock, Fingerprint, Key, Options, Permit,
    StoredResponse,
};
use primroseroute_domain::time;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Remaining time of the requests of the tests.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A wall clock that follows tokio's paused time.
#[derive(Debug)]
pub struct PausedClock(Instant);

impl PausedClock {
    pub fn start() -> Arc<Self> {
        Arc::new(Self(Instant::now()))
    }
}

impl Clock for PausedClock {
    fn now(&self) -> time::Instant {
        time::Instant(1_000_000_000).after(self.0.elapsed())
    }
}

/// Starts the claims of an entry; `start_number` must be unique for each start.
pub fn entry(fake: &FakeTable, clock: &Arc<PausedClock>, start_number: u8) -> Claims {
    entry_with(fake, clock, start_number, Options::default())
}

pub fn entry_with(
    fake: &FakeTable,
    clock: &Arc<PausedClock>,
    start_number: u8,
    options: Options,
) -> Claims {
    let clock = Arc::clone(clock) as Arc<dyn Clock>;
    Claims::spawn(Arc::new(fake.clone()), clock, options, [start_number; 32])
}

pub fn request(key: &str) -> ClaimRequest {
    request_with_body(key, "bed 4")
}

pub fn request_with_body(key: &str, body: &str) -> ClaimRequest {
    let service = "merkato-beds".parse().expect("a name");
    ClaimRequest {
        account: "gojo".parse().expect("a name"),
        key: Key::parse(key).expect("a key"),
        fingerprint: Fingerprint::of("POST", &service, "/holds", body.as_bytes()),
        repeat: false,
    }
}

pub fn response(body: &[u8]) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: Blob(body.to_vec().into()),
    }
}

/// A short name of a claim's result, for assertions.
pub fn outcome_name(claim: &ClaimOutcome) -> &'static str {
    match claim {
        ClaimOutcome::Granted(_) => "granted",
        ClaimOutcome::Replay(_) => "repeat",
        ClaimOutcome::InProgress => "in progress",
        ClaimOutcome::OutcomeUnknown => "unknown",
        ClaimOutcome::NotKept => "not kept",
        ClaimOutcome::KeyReused => "key reused",
        ClaimOutcome::Unavailable => "not run",
    }
}

pub async fn claim(claims: &Claims, key: &str) -> ClaimOutcome {
    claims.claim(&request(key), TIMEOUT).await
}

pub async fn grant(claims: &Claims, key: &str) -> Permit {
    match claim(claims, key).await {
        ClaimOutcome::Granted(permit) => permit,
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// Waits until every outcome is written.
pub async fn wait_for_outcomes(claims: &Claims) {
    assert_eq!(
        claims.drain(Duration::from_secs(60)).await,
        0,
        "outcomes are left"
    );
}
