//! One entry that doesn't reach the store, while the others do.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, sleep_secs},
};
use eyre::{Result, ensure};
use http::{
    Method, StatusCode,
    header::{CONNECTION, RETRY_AFTER},
};
use primroseroute_cell::row;
use primroseroute_domain::work::State;
use primroseroute_gateway::{Monitored, StoreHealth};
use primroseroute_platform::rows::{Rows, read_row};
use primroseroute_standin::site::{Options, Reach, World};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

cases! {
    /// Callers that wait out their timeout at an entry that can't serve them, until none of their attempts is left.
    unreachable_store_is_reported_at_once => at_once(Reach::Silent);
    /// The same with a store that rejects all calls of the entry.
    refusing_store_is_reported_at_once => at_once(Reach::Refused);
    entry_serves_again_after_the_first_response => regained();
    /// A brief outage, after which callers are rejected though the store is back.
    brief_outage_rejects_nothing_at_once => brief();
    /// A store that is slow and counts as unreachable.
    slow_store_is_not_unreachable => slow();
    /// A process that was suspended, whose calls all time out when it resumes.
    calls_that_fail_at_once_after_a_suspension_prove_nothing => resumed();
    /// A submission whose outcome stays unknown, though calls have failed for a second before it was sent.
    submission_during_an_outage_is_not_left_unknown => not_left_unknown();
    /// A rejection of a submission that is stored after all.
    submission_that_was_sent_is_not_rejected => already_sent();
}

/// Time within which an entry responds that sends nothing to the store.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Entries of each site; the first one is cut off from the store.
const ENTRIES: usize = 3;

/// A time after which an entry without the store knows it, in seconds.
const KNOWN_AFTER_SECS: u64 = 6;

async fn at_once(reach: Reach) -> Result<()> {
    let mut fixture = Fixture::open(61, ENTRIES, 2).await?;
    let known = fixture.submit("e-0", &job("9000", 1)).await?;
    fixture.update_faults("e-0", |faults| faults.store = reach);
    sleep_secs(KNOWN_AFTER_SECS).await;
    let refused = fixture.next_job_id();
    let body = serde_json::to_string(&job("100", 1))?;
    fixture.sent.jobs.insert(refused.clone(), job("100", 1));
    fixture.sent.refused.insert(refused.clone());
    let requests = [
        (Method::GET, format!("/stay/{known}"), String::new()),
        (Method::POST, format!("/stay/{refused}"), body),
        (Method::DELETE, format!("/stay/{known}"), String::new()),
        (Method::GET, "/stay/".to_owned(), String::new()),
    ];
    for (method, path, body) in requests {
        let begin = Instant::now();
        let (head, _text) = fixture.exchange("e-0", method.clone(), &path, body).await;
        let took = begin.elapsed();
        ensure!(
            head.status == StatusCode::SERVICE_UNAVAILABLE && took <= AT_ONCE,
            "{method} {path} got {} after {took:?}",
            head.status
        );
        ensure!(head.headers.contains_key(RETRY_AFTER));
        let connection = head.headers.get(CONNECTION);
        ensure!(
            connection.is_some_and(|value| value == "close"),
            "the caller's next attempt comes to this entry as well: {connection:?}"
        );
    }
    sleep_secs(5).await;
    ensure!(fixture.state("e-1", &refused).await == Err(StatusCode::GONE));
    fixture.check_invariants()
}

async fn regained() -> Result<()> {
    let mut fixture = Fixture::open(62, ENTRIES, 2).await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Silent);
    sleep_secs(KNOWN_AFTER_SECS).await;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Fine);
    sleep_secs(2).await;
    let id = fixture.submit("e-0", &job("300", 1)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 5)
        .await?;
    let path = format!("/stay/{id}");
    let (head, _text) = fixture.exchange("e-0", Method::GET, &path, "").await;
    ensure!(!head.headers.contains_key(CONNECTION));
    fixture.check_invariants()
}

async fn brief() -> Result<()> {
    let mut fixture = Fixture::open(63, ENTRIES, 2).await?;
    for reach in [Reach::Silent, Reach::Refused] {
        fixture.update_faults("e-0", |faults| faults.store = reach);
        sleep_secs(2).await;
        fixture.update_faults("e-0", |faults| faults.store = Reach::Fine);
        fixture.submit("e-0", &job("100", 1)).await?;
        sleep_secs(5).await;
    }
    fixture.check_invariants()
}

async fn slow() -> Result<()> {
    let mut fixture = Fixture::open(64, ENTRIES, 2).await?;
    let slow = Duration::from_millis(900);
    fixture.update_faults("e-0", |faults| faults.delay = slow);
    for _second in 0..20 {
        let id = fixture.next_job_id();
        let status = fixture.send("e-0", &id, &job("100", 1)).await;
        ensure!(status != StatusCode::SERVICE_UNAVAILABLE, "{id}: {status}");
        sleep_secs(1).await;
    }
    fixture.check_invariants()
}

async fn resumed() -> Result<()> {
    let world = World::open(Options::default());
    let health = Arc::<StoreHealth>::default();
    let rows: Arc<dyn Rows> = Arc::new(world.caller("e-0"));
    let rows = Arc::new(Monitored::new(rows, Arc::clone(&health)));
    let failing_reads = || {
        let mut reads = JoinSet::new();
        for _call in 0..20 {
            let rows = Arc::clone(&rows);
            reads.spawn(async move { read_row(&*rows, row::owner(POOL)).await });
        }
        reads.join_all()
    };
    world.update_faults("e-0", |faults| faults.frozen = true);
    let resume = async {
        sleep_secs(8).await;
        world.update_faults("e-0", |faults| {
            faults.frozen = false;
            faults.store = Reach::Refused;
        });
    };
    let (reads, ()) = tokio::join!(failing_reads(), resume);
    ensure!(reads.iter().all(Result::is_err));
    ensure!(!health.is_unreachable());
    sleep_secs(4).await;
    failing_reads().await;
    ensure!(health.is_unreachable(), "reads have failed for 4 s");
    Ok(())
}

async fn not_left_unknown() -> Result<()> {
    let mut fixture = Fixture::open(67, ENTRIES, 2).await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Silent);
    sleep(Duration::from_millis(2_200)).await;
    let id = fixture.next_job_id();
    fixture.sent.refused.insert(id.clone());
    let status = fixture.send("e-0", &id, &job("100", 1)).await;
    ensure!(
        status == StatusCode::SERVICE_UNAVAILABLE,
        "{id} got {status}"
    );
    sleep_secs(5).await;
    ensure!(fixture.state("e-1", &id).await == Err(StatusCode::GONE));
    fixture.check_invariants()
}

async fn already_sent() -> Result<()> {
    let mut fixture = Fixture::open(66, ENTRIES, 2).await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Silent);
    for _submission in 0..12 {
        let id = fixture.next_job_id();
        let begin = Instant::now();
        let status = fixture.send("e-0", &id, &job("100", 1)).await;
        let sent = begin.elapsed() > AT_ONCE;
        let expected = if sent {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        ensure!(
            status == expected,
            "{id} got {status} after {:?}",
            begin.elapsed()
        );
        sleep_secs(1).await;
    }
    fixture.check_invariants()
}
