//! Client accounts: whose calls are accepted, and how much each account has running.

use crate::{
    cases,
    fixture::{
        Fixture, POOL, REVOCATION_BOUND, configuration, job, long_running, sleep_secs,
        with_accounts,
    },
    log_capture::{capture, captured},
};
use eyre::{Result, ensure};
use http::{Method, StatusCode, header::CONNECTION};
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, State};
use primroseroute_platform::{rows::read_row, site::Configuration};
use primroseroute_standin::site::{Event, Options, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    calls_without_a_valid_key_are_rejected => rejected();
    calls_on_a_public_queue_need_no_key => public();
    /// A caller that learns of a job of another account, or cancels it.
    job_is_accessible_to_its_own_account_only => own_jobs();
    id_of_another_account_is_not_accepted_twice => same_id();
    job_of_a_queue_that_becomes_public_stays_accessible => becomes_public();
    key_that_was_taken_away_is_rejected => taken_away();
    /// An entry that doesn't learn of the change, whatever keeps it from that.
    revoked_key_is_rejected_by_an_entry_without_the_store => cut_off(Reach::Silent);
    revoked_key_is_rejected_by_an_entry_that_the_store_rejects => cut_off(Reach::Refused);
    revoked_key_is_rejected_after_a_suspension => suspended();
    entry_accepts_keys_again_after_the_first_read => regained();
    keys_do_not_reach_logs => secret();
    account_stays_within_its_maximum_across_pools => across_pools();
    lowered_maximum_holds_while_an_owner_is_replaced => lowered(Fault::KillOwner);
    lowered_maximum_holds_while_an_owner_loses_the_store => lowered(Fault::CutOwnerOff);
    lowered_maximum_holds_while_writes_are_lost => lowered(Fault::LoseWrites);
    lowered_maximum_holds_while_commits_are_slow => lowered(Fault::SlowCommits);
    /// Room that a pool held before it became idle would be lost to the others.
    idle_pool_gives_its_room_to_a_busy_one => room_moves();
    account_without_a_maximum_is_not_limited => unlimited();
    /// A long-running task of an account at its maximum would stop the batch tasks of others.
    task_that_its_account_keeps_waiting_stops_no_others => preempts_nothing();
    task_beyond_the_maximum_runs => large_task();
    jobs_of_an_account_that_is_removed_complete => removed();
    /// Guards against a budget that the store refuses keeping those of all other accounts from being written.
    refused_budget_holds_only_its_account => refused_budget();
}

/// A site with two accounts, of which one may use 16 cores, and room for three times that.
async fn open(seed: u64) -> Result<Fixture> {
    open_with(seed, &[("small", 16_000), ("large", 0)]).await
}

async fn open_with(seed: u64, maximums: &[(&str, u64)]) -> Result<Fixture> {
    let options = Options {
        seed,
        ..Options::default()
    };
    let configuration = accounts(1, maximums);
    let mut fixture = Fixture::open_on(configuration, options, &[250; 3], 3).await?;
    fixture.key = Some("small".into());
    // The second pool has a single instance at first.
    for number in 1..3 {
        fixture.world.add_instance(&format!("j-{number}"), "rest");
    }
    sleep_secs(2).await;
    Ok(fixture)
}

fn accounts(number: u64, maximums: &[(&str, u64)]) -> Configuration {
    with_accounts(configuration(number, POOL), maximums)
}

/// Sends a call of each kind; returns the statuses.
async fn call_all(fixture: &Fixture, entry: &str, id: &JobId) -> Result<Vec<StatusCode>> {
    let calls = [
        (
            Method::POST,
            format!("/stay/{id}"),
            serde_json::to_string(&job("100", 1))?,
        ),
        (Method::GET, format!("/stay/{id}"), String::new()),
        (Method::GET, "/stay/".to_owned(), String::new()),
        (Method::DELETE, format!("/stay/{id}"), String::new()),
    ];
    let mut statuses = Vec::new();
    for (method, path, body) in calls {
        let (head, _text) = fixture.exchange(entry, method, &path, body).await;
        statuses.push(head.status);
    }
    Ok(statuses)
}

async fn rejected() -> Result<()> {
    let mut fixture = open(801).await?;
    let id = fixture.next_job_id();
    for key in [
        None,
        Some(""),
        Some("smal"),
        Some("small "),
        Some("unknown"),
    ] {
        fixture.key = key.map(str::to_owned);
        let statuses = call_all(&fixture, "e-0", &id).await?;
        let expected = vec![StatusCode::UNAUTHORIZED; 4];
        ensure!(statuses == expected, "{key:?}: {statuses:?}");
    }
    fixture.key = Some("small".into());
    let statuses = call_all(&fixture, "e-0", &id).await?;
    ensure!(statuses == vec![StatusCode::OK; 4], "{statuses:?}");
    Ok(())
}

async fn public() -> Result<()> {
    let mut fixture = open(802).await?;
    let mut configuration = accounts(2, &[("small", 16_000)]);
    configuration.queues[0].public = true;
    fixture.publish(configuration);
    sleep_secs(2).await;
    let id = fixture.next_job_id();
    for key in [None, Some("unknown"), Some("small")] {
        fixture.key = key.map(str::to_owned);
        let statuses = call_all(&fixture, "e-0", &id).await?;
        ensure!(statuses == vec![StatusCode::OK; 4], "{key:?}: {statuses:?}");
    }
    Ok(())
}

async fn own_jobs() -> Result<()> {
    let mut fixture = open(803).await?;
    let pending = fixture.submit("e-0", &long_running(2)).await?;
    let done = fixture.submit("e-0", &job("100", 1)).await?;
    fixture
        .wait_for_state("e-1", &done, State::Completed, 5)
        .await?;
    fixture.key = Some("large".into());
    for id in [&pending, &done] {
        for entry in ["e-1", "e-2"] {
            let state = fixture.state(entry, id).await;
            ensure!(state == Err(StatusCode::GONE), "{id}: {state:?}");
        }
    }
    let status = fixture.cancel("e-0", &pending).await;
    ensure!(status == StatusCode::GONE, "{status}");
    fixture.key = Some("small".into());
    ensure!(fixture.state("e-2", &pending).await == Ok(State::Running));
    ensure!(fixture.state("e-1", &done).await == Ok(State::Completed));
    Ok(())
}

async fn same_id() -> Result<()> {
    let mut fixture = open(804).await?;
    let id = fixture.submit("e-0", &job("100", 1)).await?;
    let again = fixture.send("e-1", &id, &job("100", 1)).await;
    ensure!(again == StatusCode::OK, "{again}");
    fixture.key = Some("large".into());
    let other = fixture.send("e-1", &id, &job("100", 1)).await;
    ensure!(other == StatusCode::CONFLICT, "{other}");
    Ok(())
}

async fn becomes_public() -> Result<()> {
    let mut fixture = open(805).await?;
    let id = fixture.submit("e-0", &job("100", 1)).await?;
    let elsewhere = fixture.submit("e-0", &job("100", 1)).await?;
    let mut configuration = accounts(2, &[("small", 16_000)]);
    configuration.queues[0].public = true;
    configuration.queues[1].public = true;
    fixture.publish(configuration);
    sleep_secs(2).await;
    fixture.key = None;
    ensure!(fixture.state("e-1", &id).await == Ok(State::Completed));
    fixture.queue = "/rest/";
    let state = fixture.state("e-1", &elsewhere).await;
    ensure!(state == Err(StatusCode::GONE), "{state:?}");
    Ok(())
}

async fn taken_away() -> Result<()> {
    let mut fixture = open(806).await?;
    fixture.publish(accounts(2, &[("large", 0)]));
    sleep_secs(2).await;
    let id = fixture.next_job_id();
    for entry in ["e-0", "e-1", "e-2"] {
        let statuses = call_all(&fixture, entry, &id).await?;
        ensure!(
            statuses == vec![StatusCode::UNAUTHORIZED; 4],
            "{statuses:?}"
        );
    }
    Ok(())
}

/// Checks that an entry accepts none of the calls with a key, and that it accepts those of a public
/// queue as far as it can.
async fn check_rejects(fixture: &Fixture, entry: &str) -> Result<()> {
    let id = JobId::parse("00000000000000ff").expect("an id");
    let statuses = call_all(fixture, entry, &id).await?;
    ensure!(
        statuses.iter().all(|status| !status.is_success()),
        "{statuses:?}"
    );
    let (head, _text) = fixture
        .exchange(entry, Method::GET, &format!("/stay/{id}"), "")
        .await;
    ensure!(
        head.status == StatusCode::SERVICE_UNAVAILABLE,
        "{}",
        head.status
    );
    let close = head.headers.get(CONNECTION);
    ensure!(close.is_some_and(|value| value == "close"), "{close:?}");
    Ok(())
}

async fn cut_off(reach: Reach) -> Result<()> {
    let mut fixture = open(807).await?;
    let done = fixture.submit("e-0", &job("100", 1)).await?;
    fixture
        .wait_for_state("e-0", &done, State::Completed, 5)
        .await?;
    fixture.update_faults("e-0", |faults| faults.store = reach);
    fixture.publish(accounts(2, &[("large", 0)]));
    sleep(REVOCATION_BOUND).await;
    // The state is known without the store, and yet isn't shown.
    let state = fixture.state("e-0", &done).await;
    ensure!(state == Err(StatusCode::SERVICE_UNAVAILABLE), "{state:?}");
    check_rejects(&fixture, "e-0").await
}

async fn suspended() -> Result<()> {
    let mut fixture = open(808).await?;
    let done = fixture.submit("e-0", &job("100", 1)).await?;
    fixture
        .wait_for_state("e-0", &done, State::Completed, 5)
        .await?;
    fixture.update_faults("e-0", |faults| faults.frozen = true);
    fixture.publish(accounts(2, &[("large", 0)]));
    sleep(REVOCATION_BOUND).await;
    fixture.update_faults("e-0", |faults| faults.frozen = false);
    let state = fixture.state("e-0", &done).await;
    ensure!(state.is_err(), "{state:?}");
    Ok(())
}

async fn regained() -> Result<()> {
    let mut fixture = open(809).await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Silent);
    sleep_secs(8).await;
    check_rejects(&fixture, "e-0").await?;
    fixture.update_faults("e-0", |faults| faults.store = Reach::Fine);
    sleep_secs(3).await;
    fixture.submit("e-0", &job("100", 1)).await?;
    Ok(())
}

async fn secret() -> Result<()> {
    capture();
    let mut fixture = open_with(810, &[("small", 16_000), ("key-of-an-account", 0)]).await?;
    for key in ["key-of-an-account", "key-of-nobody"] {
        fixture.key = Some(key.into());
        let id = fixture.next_job_id();
        let _statuses = call_all(&fixture, "e-0", &id).await?;
    }
    let lines: Vec<String> = captured().iter().map(ToString::to_string).collect();
    ensure!(!lines.is_empty());
    let found = lines.iter().find(|line| line.contains("key-of-nobody"));
    ensure!(found.is_none(), "{found:?}");
    Ok(())
}

/// Processor share in use by runs at the end of the journal.
fn running_cpu(fixture: &Fixture) -> u64 {
    let journal = fixture.world.journal();
    let started = |event: &&Event| matches!(event, Event::Started { .. });
    let ended = |event: &&Event| matches!(event, Event::Ended { .. });
    let started = journal.events.iter().filter(started).count();
    let ended = journal.events.iter().filter(ended).count();
    2_000 * (started - ended) as u64
}

async fn across_pools() -> Result<()> {
    let mut fixture = open(811).await?;
    for _second in 0..8 {
        for queue in ["/stay/", "/rest/"] {
            fixture.queue = queue;
            fixture.submit("e-0", &job("1500", 10)).await?;
        }
        sleep_secs(1).await;
    }
    // Nearly all of the maximum is in use while more waits.
    let running = running_cpu(&fixture);
    ensure!(running >= 12_000, "{running}");
    sleep_secs(30).await;
    ensure!(fixture.queued("e-0").await == 0);
    fixture.check_invariants()
}

#[derive(Clone, Copy)]
enum Fault {
    KillOwner,
    CutOwnerOff,
    LoseWrites,
    SlowCommits,
}

async fn lowered(fault: Fault) -> Result<()> {
    let mut fixture = open_with(812, &[("small", 64_000), ("large", 0)]).await?;
    for _second in 0..3 {
        for queue in ["/stay/", "/rest/"] {
            fixture.queue = queue;
            fixture.submit("e-0", &job("2500", 12)).await?;
        }
        sleep_secs(1).await;
    }
    let owner = fixture.owner("rest").await?;
    match fault {
        Fault::KillOwner => fixture.kill(&owner),
        Fault::CutOwnerOff => fixture.update_faults(&owner, |faults| faults.store = Reach::Silent),
        Fault::LoseWrites => fixture.update_all_faults(|faults| {
            faults.lost_commits = 0.3;
            faults.late_commits = 0.1;
        }),
        Fault::SlowCommits => {
            let delay = Duration::from_millis(900);
            fixture.update_all_faults(|faults| faults.delay = delay);
        }
    }
    fixture.publish(accounts(2, &[("small", 12_000), ("large", 0)]));
    let entry = fixture.non_owner("rest").await?;
    for _second in 0..12 {
        for queue in ["/stay/", "/rest/"] {
            fixture.queue = queue;
            let id = fixture.next_job_id();
            let _status = fixture.send(&entry, &id, &job("1500", 3)).await;
        }
        sleep_secs(1).await;
    }
    fixture
        .update_all_faults(|faults| *faults = primroseroute_standin::site::CallerFaults::default());
    sleep_secs(60).await;
    fixture.check_invariants()?;
    ensure!(fixture.queued(&entry).await == 0);
    Ok(())
}

async fn room_moves() -> Result<()> {
    let mut fixture = open(813).await?;
    fixture.queue = "/rest/";
    fixture.submit("e-0", &job("1000", 40)).await?;
    sleep_secs(7).await;
    fixture.queue = "/stay/";
    fixture.submit("e-0", &job("20000", 8)).await?;
    sleep_secs(2).await;
    let running = running_cpu(&fixture);
    ensure!(running == 16_000, "{running}");
    fixture.check_invariants()
}

async fn unlimited() -> Result<()> {
    let mut fixture = open(814).await?;
    fixture.key = Some("large".into());
    fixture.submit("e-0", &job("20000", 20)).await?;
    sleep_secs(1).await;
    ensure!(running_cpu(&fixture) == 40_000);
    fixture.check_invariants()
}

async fn preempts_nothing() -> Result<()> {
    let mut fixture = open(815).await?;
    fixture.submit("e-0", &job("30000", 8)).await?;
    sleep_secs(2).await;
    fixture.key = Some("large".into());
    fixture.submit("e-0", &job("30000", 16)).await?;
    sleep_secs(2).await;
    fixture.key = Some("small".into());
    fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(5).await;
    let stopped = |event: &&Event| matches!(event, Event::Stopping { .. });
    let stops = fixture
        .world
        .journal()
        .events
        .iter()
        .filter(stopped)
        .count();
    ensure!(stops == 0, "{stops}");
    ensure!(running_cpu(&fixture) == 48_000);
    fixture.check_invariants()
}

async fn large_task() -> Result<()> {
    let mut fixture = open_with(816, &[("small", 1_000)]).await?;
    let first = fixture.submit("e-0", &job("500", 1)).await?;
    let second = fixture.submit("e-0", &job("500", 2)).await?;
    for id in [first, second] {
        fixture
            .wait_for_state("e-0", &id, State::Completed, 10)
            .await?;
    }
    fixture.check_invariants()
}

async fn removed() -> Result<()> {
    let mut fixture = open(817).await?;
    let id = fixture.submit("e-0", &job("3000", 12)).await?;
    fixture.publish(accounts(2, &[("large", 0)]));
    sleep_secs(10).await;
    let rows = fixture.world.caller("observer");
    let progress = read_row(&rows, row::progress(POOL, &id)).await?;
    let value = progress.and_then(|row| row.value).unwrap_or_default();
    let progress: row::Progress = serde_json::from_slice(&value)?;
    ensure!(progress.state == State::Completed, "{:?}", progress.state);
    Ok(())
}

async fn refused_budget() -> Result<()> {
    let maximums = [("refused", 16_000), ("small", 16_000)];
    let options = Options::default();
    let mut fixture = Fixture::open_on(configuration(1, POOL), options, &[250; 3], 3).await?;
    fixture.world.refuse_rows(Some("refused"));
    fixture.publish(accounts(2, &maximums));
    sleep_secs(2).await;
    fixture.key = Some("refused".into());
    let refused = fixture.submit("e-0", &job("500", 2)).await?;
    fixture.key = Some("small".into());
    let other = fixture.submit("e-0", &job("500", 2)).await?;
    fixture
        .wait_for_state("e-1", &other, State::Completed, 4)
        .await?;
    fixture.world.refuse_rows(None);
    fixture.key = Some("refused".into());
    fixture
        .wait_for_state("e-1", &refused, State::Completed, 8)
        .await?;
    fixture.check_invariants()
}
