//! Pools that are short of workers: which jobs gateways reject.

use crate::{
    cases,
    fixture::{
        Fixture, LATE_COMMIT_SECS, LEAVE_AFTER, POOL, configuration, job, long_running, sleep_secs,
        with_accounts,
    },
    log_capture::{capture, captured},
};
use eyre::{Result, ensure};
use http::{
    Method, StatusCode,
    header::{CONNECTION, RETRY_AFTER},
};
use primroseroute_admission::PoolLoad;
use primroseroute_cell::row;
use primroseroute_domain::work::{Demand, JobId, Name, State};
use primroseroute_platform::rows::{Rows, Txn};
use primroseroute_standin::site::{Options, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// A caller that is told that a job never runs, though an earlier attempt was accepted.
    accepted_id_is_answered_with_success_while_its_pool_is_overloaded => repeated();
    rejected_job_never_runs => never_runs();
    /// A job that runs after its rejection, since the store carries an earlier submission of it out late.
    rejected_job_is_not_run_by_an_earlier_submission => earlier_submission();
    /// The same with a gateway that still retries the earlier submission.
    rejected_job_is_not_run_by_a_gateway_that_retries => earlier_gateway();
    rejected_job_is_accepted_once_its_pool_has_room => accepted_later();
    /// A caller that gives a rejected job up, and whose request arrives again.
    rejected_job_that_is_cancelled_is_not_accepted_later => cancelled_after_rejection();
    /// A claim that can't be read before a rejection: the job may have been accepted.
    submission_is_tried_while_claims_can_not_be_read => unreadable_claims();
    /// An entry without figures that accepts everything, or rejects everything.
    failing_feed_lets_through_the_weight_only => failing_feed(Reach::Refused);
    silent_feed_lets_through_the_weight_only => failing_feed(Reach::Silent);
    /// An owner that died while its pool was overloaded, after which nothing would be accepted.
    old_row_stops_mattering => old_row();
    flood_of_one_account_keeps_out_no_other => flood();
    /// A deployment without accounts that pays for what it can't use.
    deployment_without_accounts_makes_no_additional_calls => calls();
    task_larger_than_any_worker_is_rejected => too_large();
    /// A malformed row, or one of a later version, that stops admission or fills the log.
    unusable_row_is_ignored_with_one_line => unusable();
    long_running_job_is_accepted_by_an_overloaded_pool => exempt();
    /// A large body whose rest would be read as the next request.
    connection_is_closed_after_a_rejection_without_the_body => without_body();
    switched_off_admission_rejects_nothing => switched_off();
    history_that_was_compacted_does_not_end_admission => compacted();
}

/// Time after which all entries know a row that was written, in milliseconds.
const KNOWN_AFTER_MS: u64 = 1_200;

/// A pool far behind, for all of its accounts.
fn overload() -> PoolLoad {
    PoolLoad {
        format: PoolLoad::FORMAT,
        owner: 1,
        rate_cpu: 1_000_000,
        within_wait_ms: 100_000,
        beyond_wait_ms: 100_000,
        ..PoolLoad::default()
    }
}

/// A pool without a backlog.
fn room() -> PoolLoad {
    PoolLoad {
        within_wait_ms: 0,
        beyond_wait_ms: 0,
        ..overload()
    }
}

async fn write(fixture: &Fixture, value: Vec<u8>) -> Result<()> {
    let txn = Txn {
        conditions: Vec::new(),
        puts: vec![(row::pool_load(POOL), value.into())],
        deletes: Vec::new(),
    };
    fixture.world.caller("publisher").commit(txn).await?;
    sleep(Duration::from_millis(KNOWN_AFTER_MS)).await;
    Ok(())
}

async fn publish(fixture: &Fixture, load: &PoolLoad) -> Result<()> {
    write(fixture, serde_json::to_vec(load)?).await
}

/// Submits a new job; returns its id and the status.
async fn submit(fixture: &mut Fixture, entry: &str) -> (JobId, StatusCode) {
    let id = fixture.next_job_id();
    let status = fixture.send(entry, &id, &job("100", 1)).await;
    if status == StatusCode::TOO_MANY_REQUESTS {
        fixture.sent.refused.insert(id.clone());
    }
    (id, status)
}

/// Submits jobs at this interval; returns how many are accepted.
async fn accepted_of(fixture: &mut Fixture, count: usize, interval_ms: u64) -> Result<usize> {
    let mut accepted = 0;
    for _job in 0..count {
        let (id, status) = submit(fixture, "e-0").await;
        let is_known = status.is_success() || status == StatusCode::TOO_MANY_REQUESTS;
        ensure!(is_known, "{id}: {status}");
        accepted += usize::from(status.is_success());
        sleep(Duration::from_millis(interval_ms)).await;
    }
    Ok(accepted)
}

async fn repeated() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(901).await?;
    let (known, status) = submit(&mut fixture, "e-0").await;
    ensure!(status.is_success(), "{status}");
    publish(&fixture, &overload()).await?;
    for entry in ["e-0", "e-1", "e-2"] {
        let status = fixture.send(entry, &known, &job("100", 1)).await;
        ensure!(status.is_success(), "{entry}: {status}");
        let (_id, status) = submit(&mut fixture, entry).await;
        ensure!(status == StatusCode::TOO_MANY_REQUESTS, "{entry}: {status}");
    }
    fixture.key = Some("large".into());
    let body = serde_json::to_vec(&job("100", 1))?;
    let path = format!("/stay/{known}");
    let (head, _text) = fixture.exchange("e-0", Method::POST, &path, body).await;
    ensure!(head.status == StatusCode::CONFLICT, "{}", head.status);
    fixture.check_invariants()
}

async fn never_runs() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(902).await?;
    publish(&fixture, &overload()).await?;
    let id = fixture.next_job_id();
    fixture.sent.jobs.insert(id.clone(), job("100", 1));
    fixture.sent.refused.insert(id.clone());
    let body = serde_json::to_vec(&job("100", 1))?;
    let path = format!("/stay/{id}");
    let (head, text) = fixture.exchange("e-0", Method::POST, &path, body).await;
    ensure!(head.status == StatusCode::TOO_MANY_REQUESTS);
    ensure!(text.contains("\"code\":909"), "{text}");
    ensure!(text.contains("not-run"), "{text}");
    let delay = head.headers.get(RETRY_AFTER);
    let delay = delay.and_then(|delay| delay.to_str().ok()?.parse::<u64>().ok());
    ensure!(delay.is_some_and(|delay| (1..=30).contains(&delay)));
    sleep_secs(20).await;
    ensure!(fixture.state("e-1", &id).await == Err(StatusCode::GONE));
    fixture.check_invariants()
}

/// Overloads the pool without the entry `e-0` learning of it, whose commits are late.
async fn overload_unknown_to_one(seed: u64) -> Result<Fixture> {
    let fixture = Fixture::open_with_two_accounts(seed).await?;
    fixture.update_faults("e-0", |faults| {
        faults.feeds = Reach::Refused;
        faults.late_commits = 1.0;
    });
    // By then the feed call in flight has returned.
    sleep_secs(11).await;
    publish(&fixture, &overload()).await?;
    Ok(fixture)
}

async fn earlier_submission() -> Result<()> {
    let mut fixture = overload_unknown_to_one(917).await?;
    let id = fixture.next_job_id();
    let job = job("100", 1);
    fixture.send_and_leave("e-0", &id, &job).await?;
    let status = fixture.send("e-1", &id, &job).await;
    ensure!(status == StatusCode::TOO_MANY_REQUESTS, "{status}");
    sleep_secs(LATE_COMMIT_SECS).await;
    fixture.check_absent(&id).await
}

async fn earlier_gateway() -> Result<()> {
    let mut fixture = overload_unknown_to_one(918).await?;
    let id = fixture.next_job_id();
    fixture.sent.jobs.insert(id.clone(), job("100", 1));
    let path = format!("/stay/{id}");
    let body = serde_json::to_vec(&job("100", 1))?;
    let earlier = fixture.exchange("e-0", Method::POST, &path, body.clone());
    let later = async {
        sleep(LEAVE_AFTER).await;
        let (head, _text) = fixture.exchange("e-1", Method::POST, &path, body).await;
        fixture.update_faults("e-0", |faults| faults.late_commits = 0.0);
        head.status
    };
    let (earlier, later) = tokio::join!(earlier, later);
    let statuses = (earlier.0.status, later);
    let rejected = StatusCode::TOO_MANY_REQUESTS;
    ensure!(statuses == (rejected, rejected), "{statuses:?}");
    sleep_secs(LATE_COMMIT_SECS).await;
    fixture.check_absent(&id).await
}

async fn accepted_later() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(919).await?;
    publish(&fixture, &overload()).await?;
    let id = fixture.next_job_id();
    for entry in ["e-0", "e-1"] {
        let status = fixture.send(entry, &id, &job("100", 1)).await;
        ensure!(status == StatusCode::TOO_MANY_REQUESTS, "{status}");
    }
    publish(&fixture, &room()).await?;
    let status = fixture.send("e-2", &id, &job("100", 1)).await;
    ensure!(status == StatusCode::OK, "{status}");
    fixture
        .wait_for_state("e-0", &id, State::Completed, 5)
        .await?;
    fixture.check_invariants()
}

async fn cancelled_after_rejection() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(920).await?;
    publish(&fixture, &overload()).await?;
    let (id, status) = submit(&mut fixture, "e-0").await;
    ensure!(status == StatusCode::TOO_MANY_REQUESTS, "{status}");
    ensure!(fixture.cancel("e-1", &id).await == StatusCode::GONE);
    publish(&fixture, &room()).await?;
    let status = fixture.send("e-2", &id, &job("100", 1)).await;
    ensure!(status == StatusCode::CONFLICT, "{status}");
    sleep_secs(3).await;
    fixture.check_absent(&id).await
}

async fn unreadable_claims() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(903).await?;
    publish(&fixture, &overload()).await?;
    fixture.update_faults("e-0", |faults| faults.read_delay = Duration::from_secs(1));
    let (id, status) = submit(&mut fixture, "e-0").await;
    ensure!(status.is_success(), "{status}");
    fixture.update_faults("e-0", |faults| faults.read_delay = Duration::ZERO);
    fixture
        .wait_for_state("e-1", &id, State::Completed, 5)
        .await?;
    fixture.check_invariants()
}

async fn failing_feed(reach: Reach) -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(904).await?;
    fixture.update_faults("e-0", |faults| faults.feeds = reach);
    sleep_secs(27).await;
    // The accounts have a weight of one job per second.
    let accepted = accepted_of(&mut fixture, 100, 100).await?;
    ensure!((9..=13).contains(&accepted), "{accepted} of 100 in 10 s");
    fixture.update_faults("e-0", |faults| faults.feeds = Reach::Fine);
    sleep_secs(3).await;
    let accepted = accepted_of(&mut fixture, 20, 100).await?;
    ensure!(
        accepted == 20,
        "{accepted} of 20 after the feed works again"
    );
    fixture.check_invariants()
}

async fn old_row() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(905).await?;
    publish(&fixture, &overload()).await?;
    let accepted = accepted_of(&mut fixture, 20, 100).await?;
    ensure!(accepted == 0, "{accepted} of 20 with a fresh row");
    sleep_secs(4).await;
    let accepted = accepted_of(&mut fixture, 50, 100).await?;
    ensure!((4..=8).contains(&accepted), "{accepted} of 50 in 5 s");
    fixture.check_invariants()
}

async fn flood() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(906).await?;
    let load = PoolLoad {
        within_wait_ms: 0,
        within_permille: [("large".into(), 100)].into(),
        ..overload()
    };
    publish(&fixture, &load).await?;
    fixture.key = Some("large".into());
    let accepted = accepted_of(&mut fixture, 100, 10).await?;
    ensure!((2..=25).contains(&accepted), "{accepted} of the flood");
    fixture.key = Some("small".into());
    let accepted = accepted_of(&mut fixture, 20, 10).await?;
    ensure!(accepted == 20, "{accepted} of 20 within the entitlement");
    fixture.check_invariants()
}

/// Reads and feed calls of a minute.
async fn calls_per_minute(has_accounts: bool, admission: bool) -> Result<u64> {
    let plain = configuration(1, POOL);
    let configuration = if has_accounts {
        with_accounts(plain, &[("small", 0)])
    } else {
        plain
    };
    let fixture = Fixture::open_on(configuration, Options::default(), &[250; 3], 2).await?;
    fixture
        .bounds
        .send_modify(|bounds| bounds.admission = admission);
    let before = fixture.world.reads().taken;
    sleep_secs(60).await;
    Ok(fixture.world.reads().taken - before)
}

async fn calls() -> Result<()> {
    let [off, on] = [
        calls_per_minute(false, false).await?,
        calls_per_minute(false, true).await?,
    ];
    ensure!(on == off, "{on} calls instead of {off}");
    let [off, on] = [
        calls_per_minute(true, false).await?,
        calls_per_minute(true, true).await?,
    ];
    // One call in ten seconds for each of three entries.
    ensure!(
        (off + 15..=off + 21).contains(&on),
        "{on} calls, {off} without"
    );
    Ok(())
}

async fn too_large() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(907).await?;
    let load = PoolLoad {
        within_wait_ms: 0,
        beyond_wait_ms: 0,
        largest_worker: Demand {
            cpu: 1_999,
            memory: 64_000,
            accelerators: 0,
        },
        ..overload()
    };
    publish(&fixture, &load).await?;
    let (id, status) = submit(&mut fixture, "e-0").await;
    ensure!(status == StatusCode::UNPROCESSABLE_ENTITY, "{status}");
    fixture.sent.refused.insert(id);
    sleep_secs(2).await;
    fixture.check_invariants()
}

async fn unusable() -> Result<()> {
    capture();
    let mut fixture = Fixture::open_with_two_accounts(908).await?;
    let newer = PoolLoad {
        format: PoolLoad::FORMAT + 1,
        ..overload()
    };
    for _time in 0..3 {
        write(&fixture, b"{".to_vec()).await?;
        publish(&fixture, &newer).await?;
    }
    let (_id, status) = submit(&mut fixture, "e-0").await;
    ensure!(status.is_success(), "{status}");
    let text = "ignoring published load of the pool";
    let lines = captured().into_iter().filter(|line| line.text == text);
    let lines = lines.count();
    ensure!(lines == 3, "{lines} lines of three entries");
    publish(&fixture, &overload()).await?;
    let (_id, status) = submit(&mut fixture, "e-0").await;
    ensure!(status == StatusCode::TOO_MANY_REQUESTS, "{status}");
    fixture.check_invariants()
}

async fn exempt() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(909).await?;
    publish(&fixture, &overload()).await?;
    let id = fixture.submit("e-0", &long_running(1)).await?;
    fixture
        .wait_for_state("e-1", &id, State::Running, 5)
        .await?;
    fixture.check_invariants()
}

async fn without_body() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(910).await?;
    let (known, _status) = submit(&mut fixture, "e-0").await;
    let load = PoolLoad {
        within_permille: [(Name::from("small"), 0)].into(),
        ..overload()
    };
    publish(&fixture, &load).await?;
    let body = [serde_json::to_vec(&job("100", 1))?, vec![b' '; 100_000]].concat();
    let refused = fixture.next_job_id();
    for (id, expected) in [
        (known, StatusCode::OK),
        (refused, StatusCode::TOO_MANY_REQUESTS),
    ] {
        let path = format!("/stay/{id}");
        let answer = fixture.exchange("e-0", Method::POST, &path, body.clone());
        let (head, _text) = answer.await;
        ensure!(head.status == expected, "{id}: {}", head.status);
        let connection = head.headers.get(CONNECTION);
        ensure!(connection.is_some_and(|value| value == "close"));
    }
    fixture.check_invariants()
}

async fn switched_off() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(911).await?;
    fixture
        .bounds
        .send_modify(|bounds| bounds.admission = false);
    publish(&fixture, &overload()).await?;
    let accepted = accepted_of(&mut fixture, 20, 10).await?;
    ensure!(accepted == 20, "{accepted} of 20");
    fixture.check_invariants()
}

async fn compacted() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(912).await?;
    fixture.world.compact();
    // An owner repeats its row; the first one may be among what was compacted.
    for _time in 0..2 {
        publish(&fixture, &overload()).await?;
    }
    let accepted = accepted_of(&mut fixture, 10, 10).await?;
    ensure!(accepted == 0, "{accepted} of 10");
    fixture.check_invariants()
}
