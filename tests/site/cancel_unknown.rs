//! Cancels of jobs that aren't stored: nothing that was or is sent under their ids runs.

use crate::{
    cases,
    fixture::{Fixture, LATE_COMMIT_SECS, LEAVE_AFTER, POOL, job, sleep_secs},
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_cell::row::{self, tombstone};
use primroseroute_domain::work::{JobId, State};
use primroseroute_platform::rows::{Range, Rows, read_row};
use tokio::time::sleep;

cases! {
    /// A job that runs seconds after its cancel was answered 410, since the store carries its submission out late.
    submission_carried_out_after_its_cancel_does_not_run => late_commit();
    /// A job that runs since its gateway sends it again after another gateway has acknowledged its cancel.
    submission_retried_after_its_cancel_does_not_run => retried();
    /// A job that runs since its caller's request arrives again after the cancel.
    submission_sent_again_after_its_cancel_is_refused => sent_again();
    cancels_at_two_entries_at_once_are_acknowledged => cancelled_twice();
    cancel_through_another_queue_holds_the_id => another_queue();
    cancel_that_gets_no_response_is_resolved => lost_cancel();
    /// A job that is lost since the cancel of an earlier state is carried out late.
    job_accepted_before_a_late_cancel_completes => late_cancel();
    /// An account that keeps others from ids that it has cancelled.
    id_that_another_account_cancelled_is_accepted => other_account();
    submission_that_two_accounts_cancelled_is_refused => two_accounts();
    /// Rows that cancels leave for good.
    tombstones_are_deleted => deleted();
    tombstones_are_deleted_after_the_loss_of_all_entries => deleted_after_restart();
    /// A job that is lost together with the tombstone that it has replaced.
    job_outlives_the_tombstone_that_it_replaced => replaced();
    tombstones_of_many_random_ids_are_deleted_in_batches => many_ids();
}

/// Submits a job through an entry whose commits are late, as a caller that leaves before the answer.
async fn submit_late(fixture: &mut Fixture, entry: &str) -> Result<JobId> {
    fixture.update_faults(entry, |faults| faults.late_commits = 1.0);
    let id = fixture.next_job_id();
    fixture.send_and_leave(entry, &id, &job("500", 2)).await?;
    fixture.update_faults(entry, |faults| faults.late_commits = 0.0);
    Ok(id)
}

/// Fails if a task of the job was started, or if the job is shown or counted.
async fn check_absent(fixture: &Fixture, id: &JobId) -> Result<()> {
    for entry in fixture.nodes.keys() {
        let queued = fixture.queued(entry).await;
        ensure!(queued == 0, "{queued} jobs are reported as queued");
    }
    fixture.check_absent(id).await
}

async fn late_commit() -> Result<()> {
    let mut fixture = Fixture::open(91, 3, 2).await?;
    let entry = fixture.non_owner(POOL).await?;
    let owner = fixture.owner(POOL).await?;
    let id = submit_late(&mut fixture, &entry).await?;
    let status = fixture.cancel(&owner, &id).await;
    ensure!(status == StatusCode::GONE, "{status}");
    sleep_secs(LATE_COMMIT_SECS).await;
    check_absent(&fixture, &id).await
}

// The caller waits, and its gateway retries, while another gateway acknowledges the cancel.
async fn retried() -> Result<()> {
    let mut fixture = Fixture::open(92, 3, 2).await?;
    let entry = fixture.non_owner(POOL).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&entry, |faults| faults.late_commits = 1.0);
    let id = fixture.next_job_id();
    let path = format!("/stay/{id}");
    let body = serde_json::to_vec(&job("500", 2))?;
    fixture.sent.jobs.insert(id.clone(), job("500", 2));
    fixture.sent.cancel_sent.insert(id.clone());
    let submission = fixture.exchange(&entry, http::Method::POST, &path, body);
    let cancel = async {
        sleep(LEAVE_AFTER).await;
        let cancelled = fixture
            .exchange(&owner, http::Method::DELETE, &path, "")
            .await;
        fixture.update_faults(&entry, |faults| faults.late_commits = 0.0);
        cancelled
    };
    let (submitted, cancelled) = tokio::join!(submission, cancel);
    ensure!(cancelled.0.status == StatusCode::GONE);
    ensure!(submitted.0.status == StatusCode::CONFLICT, "{submitted:?}");
    sleep_secs(LATE_COMMIT_SECS).await;
    check_absent(&fixture, &id).await
}

async fn sent_again() -> Result<()> {
    let mut fixture = Fixture::open(93, 3, 2).await?;
    let id = fixture.next_job_id();
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    for entry in ["e-1", "e-0"] {
        let status = fixture.send(entry, &id, &job("500", 2)).await;
        ensure!(status == StatusCode::CONFLICT, "{status}");
    }
    sleep_secs(3).await;
    check_absent(&fixture, &id).await
}

async fn cancelled_twice() -> Result<()> {
    let mut fixture = Fixture::open(94, 3, 2).await?;
    let entry = fixture.non_owner(POOL).await?;
    let id = submit_late(&mut fixture, &entry).await?;
    fixture.sent.cancel_sent.insert(id.clone());
    let path = format!("/stay/{id}");
    let cancel = |entry| fixture.exchange(entry, http::Method::DELETE, &path, "");
    let (first, second, third) = tokio::join!(cancel("e-0"), cancel("e-1"), cancel("e-2"));
    for (head, _body) in [first, second, third] {
        ensure!(head.status == StatusCode::GONE, "{}", head.status);
    }
    sleep_secs(LATE_COMMIT_SECS).await;
    check_absent(&fixture, &id).await
}

async fn another_queue() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(95).await?;
    let id = submit_late(&mut fixture, "e-0").await?;
    fixture.queue = "/rest/";
    ensure!(fixture.cancel("e-1", &id).await == StatusCode::GONE);
    fixture.queue = "/stay/";
    sleep_secs(LATE_COMMIT_SECS).await;
    check_absent(&fixture, &id).await
}

async fn lost_cancel() -> Result<()> {
    let mut fixture = Fixture::open(96, 3, 2).await?;
    let entry = fixture.non_owner(POOL).await?;
    let owner = fixture.owner(POOL).await?;
    let id = submit_late(&mut fixture, &entry).await?;
    fixture.update_faults(&owner, |faults| faults.lost_commits = 1.0);
    let status = fixture.cancel(&owner, &id).await;
    fixture.update_faults(&owner, |faults| faults.lost_commits = 0.0);
    ensure!(status == StatusCode::GONE, "{status}");
    sleep_secs(LATE_COMMIT_SECS).await;
    check_absent(&fixture, &id).await
}

async fn late_cancel() -> Result<()> {
    let mut fixture = Fixture::open(97, 3, 2).await?;
    let entry = fixture.non_owner(POOL).await?;
    let owner = fixture.owner(POOL).await?;
    let id = fixture.next_job_id();
    fixture.update_faults(&entry, |faults| faults.late_commits = 1.0);
    let status = fixture.cancel(&entry, &id).await;
    fixture.update_faults(&entry, |faults| faults.late_commits = 0.0);
    ensure!(status == StatusCode::GATEWAY_TIMEOUT, "{status}");
    ensure!(fixture.send(&owner, &id, &job("500", 2)).await.is_success());
    sleep_secs(LATE_COMMIT_SECS).await;
    ensure!(fixture.state(&entry, &id).await == Ok(State::Completed));
    fixture.check_invariants()
}

/// Cancels an unknown id as `small`, and submits a job under it as `large`.
async fn cancel_and_submit_as_another(fixture: &mut Fixture) -> Result<JobId> {
    let id = fixture.next_job_id();
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    fixture.sent.cancelled.clear();
    fixture.key = Some("large".into());
    let status = fixture.send("e-1", &id, &job("300", 2)).await;
    ensure!(status == StatusCode::OK, "{status}");
    Ok(id)
}

async fn other_account() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(98).await?;
    let id = cancel_and_submit_as_another(&mut fixture).await?;
    fixture
        .wait_for_state("e-2", &id, State::Completed, 4)
        .await?;
    fixture.key = Some("small".into());
    ensure!(fixture.state("e-0", &id).await == Err(StatusCode::GONE));
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    let body = serde_json::to_vec(&job("300", 2))?;
    let path = format!("/stay/{id}");
    let (head, _body) = fixture
        .exchange("e-0", http::Method::POST, &path, body)
        .await;
    ensure!(head.status == StatusCode::CONFLICT, "{}", head.status);
    fixture.key = Some("large".into());
    ensure!(fixture.state("e-0", &id).await == Ok(State::Completed));
    fixture.check_invariants()
}

async fn two_accounts() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(99).await?;
    let id = fixture.next_job_id();
    for key in ["small", "large"] {
        fixture.key = Some(key.into());
        ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    }
    for key in ["small", "large"] {
        fixture.key = Some(key.into());
        let status = fixture.send("e-1", &id, &job("300", 2)).await;
        ensure!(status == StatusCode::CONFLICT, "{status}");
    }
    sleep_secs(3).await;
    check_absent(&fixture, &id).await
}

/// Time in seconds after which a tombstone is certainly deleted.
const DELETED_AFTER_SECS: u64 = 165;

/// Number of rows that are stored for ids.
async fn rows_of_ids(fixture: &Fixture) -> Result<usize> {
    let rows = fixture.world.caller("reader");
    let mut found = 0;
    for table in ["ids".to_owned(), row::jobs_table(POOL)] {
        for part in row::id_parts() {
            let range = Range {
                table: table.as_str().into(),
                partition: part.into(),
                from: None,
                to: None,
            };
            found += rows.read(range).await?.rows.len();
        }
    }
    Ok(found)
}

async fn deleted() -> Result<()> {
    let mut fixture = Fixture::open(191, 2, 2).await?;
    let id = fixture.next_job_id();
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    sleep_secs(110).await;
    ensure!(rows_of_ids(&fixture).await? == 2);
    let status = fixture.send("e-1", &id, &job("300", 2)).await;
    ensure!(status == StatusCode::CONFLICT, "{status}");
    sleep_secs(DELETED_AFTER_SECS - 110).await;
    ensure!(rows_of_ids(&fixture).await? == 0);
    fixture.check_invariants()
}

async fn deleted_after_restart() -> Result<()> {
    let mut fixture = Fixture::open(192, 2, 2).await?;
    let id = fixture.next_job_id();
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    for entry in ["e-0", "e-1"] {
        fixture.kill(entry);
    }
    sleep_secs(DELETED_AFTER_SECS).await;
    ensure!(rows_of_ids(&fixture).await? == 2);
    fixture.start("e-0");
    sleep_secs(20).await;
    ensure!(rows_of_ids(&fixture).await? == 0);
    fixture.check_invariants()
}

async fn replaced() -> Result<()> {
    let mut fixture = Fixture::open_with_two_accounts(193).await?;
    let id = fixture.next_job_id();
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    fixture.sent.cancelled.clear();
    // The job's own rows are deleted that much later than the tombstone would have been.
    sleep_secs(60).await;
    fixture.key = Some("large".into());
    ensure!(fixture.send("e-1", &id, &job("300", 2)).await.is_success());
    let marker = tombstone::marker(POOL, &id);
    let found = read_row(&fixture.world.caller("reader"), marker).await?;
    ensure!(found.is_none());
    sleep_secs(2).await;
    fixture.kill("e-0");
    sleep_secs(DELETED_AFTER_SECS - 60).await;
    ensure!(fixture.state("e-1", &id).await == Ok(State::Completed));
    ensure!(rows_of_ids(&fixture).await? == 2);
    fixture.check_invariants()
}

/// Number of calls to the table of ids by entries.
fn calls_for_ids(fixture: &Fixture) -> u64 {
    let traffic = fixture.world.traffic().into_iter();
    let calls = traffic.filter(|((caller, table), _)| &**table == "ids" && &**caller != "reader");
    calls.map(|(_, traffic)| traffic.calls).sum()
}

async fn many_ids() -> Result<()> {
    const IDS: usize = 1_000;
    let mut fixture = Fixture::open(194, 2, 2).await?;
    for _id in 0..IDS {
        let id = fixture.next_job_id();
        ensure!(fixture.cancel("e-0", &id).await == StatusCode::GONE);
    }
    ensure!(rows_of_ids(&fixture).await? == 2 * IDS);
    let before = calls_for_ids(&fixture);
    sleep_secs(DELETED_AFTER_SECS).await;
    let calls = calls_for_ids(&fixture) - before;
    ensure!(rows_of_ids(&fixture).await? == 0);
    ensure!(calls <= 100, "{calls} transactions");
    fixture.check_invariants()
}
