//! Owners that are killed, partitioned or suspended: their pools are taken over, and no task runs twice.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure, eyre};
use primroseroute_cell::{
    Limits,
    row::{self, Member, Owner},
};
use primroseroute_domain::work::{JobId, Name, State, TaskId};
use primroseroute_owner::membership::elect;
use primroseroute_platform::{
    rows::{Range, Rows, Txn},
    site::{Instruction, Wave},
};
use primroseroute_standin::site::{Event, Reach};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{sleep, timeout};

cases! {
    killed_owner_is_replaced_and_its_runs_continue => killed();
    all_entries_killed_at_once_lose_nothing => all_killed();
    owner_partitioned_from_the_store_is_replaced => partitioned();
    suspended_owner_resumes_after_its_replacement => suspended();
    owner_killed_twice_in_a_row => killed_twice();
    stopped_owner_is_replaced_at_once => stopped();
    successor_counts_a_task_that_is_being_stopped => stop_under_way();
    slow_store_moves_no_pool => slow_store();
    store_that_rejects_commits_moves_no_pool => commits_refused();
    restarted_entry_takes_its_old_pool_over => restarted();
    newer_bounds_take_effect_at_a_takeover => newer_bounds();
    replaced_owner_starts_nothing => replaced();
    applied_commit_does_not_prove_ownership => applied_commit(0.0);
    applied_commit_found_by_reading_does_not_prove_ownership => applied_commit(1.0);
    end_is_acknowledged_only_once_it_is_stored => acknowledged();
    strong_entry_regains_its_pools_after_a_restart => strong_entry_returns();
    joining_entry_takes_over_what_is_released => joins();
    pool_goes_to_a_candidate => candidate_takes_over();
    observers_take_over_when_all_candidates_are_killed => all_candidates_killed();
}

// The owner is killed while tasks run. Their leases outlast the takeover, so the successor discovers the runs and
// starts none of them again; the job completes with its first runs.
async fn killed() -> Result<()> {
    let mut fixture = Fixture::open(21, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &job("5000", 4)).await?;
    sleep_secs(1).await;
    fixture.kill(&owner);
    fixture
        .wait_for_state(&other, &id, State::Completed, 9)
        .await?;
    for index in 0..4 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index)).len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    fixture.check_invariants()
}

// All entries are killed right after a job was accepted, and new ones start. The job is in the store, so it runs;
// tasks that ran before are not started again while their leases may be valid.
async fn all_killed() -> Result<()> {
    let mut fixture = Fixture::open(22, 3, 3).await?;
    let running = fixture.submit("e-0", &job("3000", 4)).await?;
    sleep_secs(1).await;
    let waiting = fixture.submit("e-1", &job("500", 4)).await?;
    for name in ["e-0", "e-1", "e-2"] {
        fixture.kill(name);
    }
    sleep_secs(1).await;
    for name in ["e-0", "e-1", "e-2"] {
        fixture.start(name);
    }
    fixture
        .wait_for_state("e-0", &waiting, State::Completed, 10)
        .await?;
    fixture
        .wait_for_state("e-0", &running, State::Completed, 15)
        .await?;
    fixture.check_invariants()
}

// Guards against overlapping runs of two owners: the owner's calls to the store get no response while it still
// reaches the workers, and another entry takes the pool over. The old owner may not renew a lease based on a
// confirmation from before the partition, and its late starts are rejected.
async fn partitioned() -> Result<()> {
    let mut fixture = Fixture::open(23, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let first = fixture.submit(&other, &job("2000", 6)).await?;
    fixture.update_faults(&owner, |faults| faults.store = Reach::Silent);
    let second = fixture.submit(&other, &job("500", 6)).await?;
    fixture
        .wait_for_state(&other, &first, State::Completed, 15)
        .await?;
    fixture
        .wait_for_state(&other, &second, State::Completed, 15)
        .await?;
    ensure!(
        fixture.owner(POOL).await? != owner,
        "nobody took the pool over"
    );
    fixture.update_faults(&owner, |faults| faults.store = Reach::Fine);
    sleep_secs(5).await;
    fixture.check_invariants()
}

// Guards against overlapping runs: the owner is suspended, with starts in flight, for longer than it takes to
// replace it. When it resumes, its commit fails, and its starts are late or fenced, so that only the successor's
// runs exist.
async fn suspended() -> Result<()> {
    let mut fixture = Fixture::open(24, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let mut ids = Vec::new();
    for _job in 0..4 {
        ids.push(fixture.submit(&other, &job("700", 6)).await?);
    }
    fixture.update_faults(&owner, |faults| faults.frozen = true);
    sleep_secs(7).await;
    ids.push(fixture.submit(&other, &job("700", 6)).await?);
    fixture.update_faults(&owner, |faults| faults.frozen = false);
    for id in ids {
        fixture
            .wait_for_state(&other, &id, State::Completed, 20)
            .await?;
    }
    fixture.check_invariants()
}

async fn killed_twice() -> Result<()> {
    let mut fixture = Fixture::open(25, 4, 3).await?;
    let first = fixture.owner(POOL).await?;
    let id = fixture.submit(&first, &job("4000", 6)).await?;
    sleep_secs(1).await;
    fixture.kill(&first);
    let mut second = first.clone();
    while second == first {
        sleep_secs(1).await;
        second = fixture.owner(POOL).await?;
    }
    fixture.kill(&second);
    let other = fixture.nodes.keys().next().cloned().unwrap_or_default();
    fixture
        .wait_for_state(&other, &id, State::Completed, 20)
        .await?;
    fixture.check_invariants()
}

// An owner that shuts down releases its pool in one commit, and another entry owns it within a second; an
// unresponsive owner is replaced only after more than two.
async fn stopped() -> Result<()> {
    let mut fixture = Fixture::open(26, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &job("3000", 4)).await?;
    sleep_secs(1).await;
    let node = fixture.nodes.remove(&owner);
    node.expect("the owner is one of the entries")
        .entry
        .stop()
        .await;
    sleep_secs(1).await;
    ensure!(fixture.owner(POOL).await? != owner);
    fixture
        .wait_for_state(&other, &id, State::Completed, 5)
        .await?;
    ensure!(fixture.world.journal().starts(&task(&id, 0, 0)).len() == 1);
    fixture.check_invariants()
}

// Guards against exceeding the number of tasks of a step that may be unavailable. An owner stops a long-running
// task on a worker that is due for maintenance, and shuts down while the worker is still ending the run. Status
// polls show the successor all tasks of the step as ready. A second worker is due now, and comes first in the
// successor's order: its task may only be stopped once the first one is ready elsewhere.
async fn stop_under_way() -> Result<()> {
    let slow = Duration::from_secs(2);
    let mut fixture = Fixture::open_with_slow_stops(35, 3, 10, slow).await?;
    let id = fixture.submit("e-0", &long_running(6)).await?;
    sleep_secs(2).await;
    let owner = fixture.owner(POOL).await?;
    let hosts = hosts(&fixture, &id, 6);
    let first = hosts.last().map(Name::clone);
    let first = first.ok_or_else(|| eyre!("no task runs"))?;
    let second = held_by_others(&fixture, &hosts, &owner).await?;
    ensure!(first != second, "{owner} holds all groups but one");
    fixture.world.instruct(wave(1, first));
    let stopped = async {
        while stops_of(&fixture, &id).is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(10), stopped).await?;
    fixture.world.instruct(wave(2, second));
    let node = fixture.nodes.remove(&owner);
    let node = node.ok_or_else(|| eyre!("{owner} is not an entry"))?;
    node.entry.stop().await;
    sleep_secs(15).await;
    ensure!(
        stops_of(&fixture, &id).len() == 2,
        "the second task was not moved"
    );
    fixture.check_invariants()
}

/// The instances on which tasks of a job run, in the order of their workers.
fn hosts(fixture: &Fixture, id: &JobId, tasks: u16) -> Vec<Name> {
    let on = (0..tasks).flat_map(|index| fixture.running(&task(id, 0, index)));
    let on: BTreeSet<Name> = on.collect();
    let instances = fixture.world.instances();
    let hosts = on.iter().filter_map(|worker| {
        let mut all = instances.iter();
        all.find(|known| known.worker.as_ref() == Some(worker))
    });
    hosts.map(|known| Name::clone(&known.name)).collect()
}

/// The first of `instances` whose orders come from an entry other than `owner`, as a new holder gives none for a
/// while.
async fn held_by_others(fixture: &Fixture, instances: &[Name], owner: &str) -> Result<Name> {
    for instance in instances {
        if fixture.owner(&row::group(instance)).await? != owner {
            return Ok(Name::clone(instance));
        }
    }
    Err(eyre!("{owner} holds all groups"))
}

fn wave(number: u64, instance: Name) -> Instruction {
    Instruction::Wave(Wave {
        number,
        instances: [instance].into(),
        duration: Duration::from_secs(40),
        maximum: 1,
    })
}

/// The tasks of a job whose runs were stopped, in order.
fn stops_of(fixture: &Fixture, id: &JobId) -> Vec<TaskId> {
    let events = fixture.world.journal().events.into_iter();
    let stopped = events.filter_map(|event| match event {
        Event::Stopping { task, .. } if task.job == *id => Some(task),
        _ => None,
    });
    stopped.collect()
}

// Guards against takeovers from live owners: writes reach the store seconds late, while reads work. Every entry
// sees the others become unresponsive, but its own heartbeat fails too, so none takes another's pool.
async fn slow_store() -> Result<()> {
    let fixture = Fixture::open(27, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_all_faults(|faults| faults.late_commits = 1.0);
    sleep_secs(7).await;
    fixture.update_all_faults(|faults| faults.late_commits = 0.0);
    sleep_secs(8).await;
    let after = fixture.owner(POOL).await?;
    ensure!(after == owner, "{after} took the pool of {owner}");
    Ok(())
}

// Guards against takeovers from live owners: the store rejects every commit at once, and serves reads and feeds.
// Every entry sees the others become unresponsive; its own heartbeats fail too, so this proves nothing. When
// commits work again, every entry waits for the heartbeats of all others before it considers any of them failed.
async fn commits_refused() -> Result<()> {
    let fixture = Fixture::open(30, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let token = fixture.token(POOL).await?;
    fixture.update_all_faults(|faults| faults.commits = Reach::Refused);
    sleep_secs(6).await;
    // The owner recovers last: entries that get through earlier might consider it failed.
    for name in fixture.nodes.keys().filter(|name| **name != owner) {
        fixture.update_faults(name, |faults| faults.commits = Reach::Fine);
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fixture.update_faults(&owner, |faults| faults.commits = Reach::Fine);
    sleep_secs(8).await;
    let after = fixture.token(POOL).await?;
    ensure!(
        after == token,
        "the pool was taken over: token {after} after {token}"
    );
    Ok(())
}

// The owner's process is killed and restarted at once. Its new incarnation doesn't own what the old one did: it
// takes the pool over like any other entry, and discovers the running long-running tasks.
async fn restarted() -> Result<()> {
    let mut fixture = Fixture::open(28, 1, 3).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    fixture.kill("e-0");
    fixture.start("e-0");
    sleep_secs(8).await;
    for index in 0..3 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index)).len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    fixture.check_invariants()
}

// Guards against tasks started by both the old and the new owner. Another entry has taken the pool over and
// committed nothing yet. The old owner, which doesn't know, learns of a job: its commit must fail on the owner's
// row, so that it starts nothing. The new owner has read the pool's rows already, and would start the same tasks.
async fn replaced() -> Result<()> {
    let mut fixture = Fixture::open(29, 1, 3).await?;
    let ghost = fixture.world.caller("ghost");
    let place = row::owner(POOL);
    let range = Range {
        table: Name::clone(&place.table),
        partition: Name::clone(&place.partition),
        from: None,
        to: None,
    };
    let version = ghost.read(range).await?.rows[0].version;
    let owner = Owner {
        entry: "ghost".into(),
        incarnation: 99,
        attempt: 1,
        released: false,
        after: None,
        resting: None,
    };
    let take = Txn {
        conditions: vec![(place.clone(), version)],
        puts: vec![(place, serde_json::to_vec(&owner)?.into())],
        deletes: Vec::new(),
    };
    // The old owner checks its ownership every 600 ms; this takeover falls between two checks.
    let id = fixture.next_job_id();
    let sent = job("300", 2);
    let heartbeat = tokio::spawn(async move {
        for beat in 0.. {
            let member = Member {
                incarnation: 99,
                beat,
                leaving: false,
                strength: 250,
            };
            let value = serde_json::to_vec(&member).expect("a heartbeat has plain fields");
            let txn = Txn {
                puts: vec![(row::member("ghost"), value.into())],
                ..Txn::default()
            };
            if ghost.commit(txn).await.is_err() {
                return;
            }
            if beat == 0 {
                ghost.commit(take.clone()).await.expect("the store answers");
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    ensure!(fixture.send("e-0", &id, &sent).await.is_success());
    sleep_secs(3).await;
    heartbeat.abort();
    let starts = fixture.world.journal().starts(&task(&id, 0, 0));
    ensure!(starts.is_empty(), "{starts:?}");
    Ok(())
}

// Guards against a former owner that takes an old commit of its own for proof of its ownership. The commit is
// applied but its response is lost, and the store rejects the owner from then on. Another entry takes the pool
// over and commits nothing yet; the workers don't learn of it, since it reaches none of them. Then the store
// accepts the former owner's calls again, and shows the old commit as the newest. Starts with a deadline counted
// from then would arrive after the takeover, for longer than the successor waits for them. The former owner learns
// of its commit from the conflict of the retry or, with a share of `lost` responses, by reading the row.
async fn applied_commit(lost: f64) -> Result<()> {
    let mut fixture = Fixture::open(33, 2, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let token = fixture.token(POOL).await?;
    fixture.update_faults(&other, |faults| faults.workers = Reach::Silent);
    fixture.update_faults(&owner, |faults| faults.lost_commits = 1.0);
    let id = fixture.submit(&other, &job("300", 2)).await?;
    tokio::time::sleep(Duration::from_millis(60)).await;
    fixture.update_faults(&owner, |faults| {
        faults.lost_commits = 0.0;
        faults.store = Reach::Refused;
    });
    while fixture.token(POOL).await? == token {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    fixture.update_faults(&other, |faults| faults.commits = Reach::Refused);
    sleep_secs(3).await;
    fixture.update_faults(&owner, |faults| {
        faults.store = Reach::Fine;
        faults.lost_commits = lost;
    });
    sleep_secs(1).await;
    let starts = fixture.world.journal().starts(&task(&id, 0, 0));
    ensure!(starts.is_empty(), "{starts:?}");
    fixture.update_faults(&owner, |faults| faults.lost_commits = 0.0);
    fixture.update_faults(&other, |faults| {
        faults.commits = Reach::Fine;
        faults.workers = Reach::Fine;
    });
    fixture
        .wait_for_state(&other, &id, State::Completed, 10)
        .await?;
    fixture.check_invariants()
}

// Guards against a task that runs twice because its end was acknowledged too early. It ends while the store is
// unavailable, and all entries are killed before it is back. The end isn't stored, so it must not have been
// acknowledged: the worker still reports it to the successor.
async fn acknowledged() -> Result<()> {
    let mut fixture = Fixture::open(30, 2, 3).await?;
    let id = fixture.submit("e-0", &job("800", 2)).await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Refused);
    sleep_secs(2).await;
    fixture.kill("e-0");
    fixture.kill("e-1");
    fixture.start("e-0");
    fixture
        .wait_for_state("e-0", &id, State::Completed, 6)
        .await?;
    for index in 0..2 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index)).len();
        ensure!(starts == 1, "task {index} was started {starts} times");
    }
    fixture.check_invariants()
}

// Guards against overlapping runs after leases are made longer at run time. The owner at that time keeps using the
// shorter ones. Its successor knows that leases may last longer, and waits that long before it restarts the task
// of an unresponsive worker.
async fn newer_bounds() -> Result<()> {
    let mut fixture = Fixture::open(31, 3, 2).await?;
    let owner = fixture.owner(POOL).await?;
    fixture
        .bounds
        .send_modify(|bounds| bounds.limits = Limits::new(9_000, 120_000));
    fixture.kill(&owner);
    sleep_secs(5).await;
    let other = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&other, &long_running(1)).await?;
    sleep_secs(2).await;
    let task = task(&id, 0, 0);
    let on = fixture.running(&task);
    let partitioned_at = fixture.world.now();
    fixture.world.set_partitioned(&on[0], true);
    sleep_secs(14).await;
    let starts = fixture.world.journal().starts(&task);
    ensure!(starts.len() == 2, "{starts:?}");
    let waited = starts[1].1 - partitioned_at;
    ensure!(waited > 7_000, "restarted after {waited} ms");
    Ok(())
}

// One entry of three has four times the CPU share of the others, and owns all pools. It is killed and restarted;
// meanwhile the others own its pools, and then release them to it, one after the other. Running tasks are not
// disturbed.
async fn strong_entry_returns() -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(57, &[250, 1_000, 250], 4).await?;
    for pool in [POOL, OTHER] {
        ensure!(fixture.owner(pool).await? == "e-1", "{pool}");
    }
    let id = fixture.submit("e-0", &job("20000", 4)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Running, 2)
        .await?;
    fixture.kill("e-1");
    sleep_secs(5).await;
    for pool in [POOL, OTHER] {
        ensure!(fixture.owner(pool).await? != "e-1", "{pool}");
    }
    fixture.start("e-1");
    sleep_secs(10).await;
    for pool in [POOL, OTHER] {
        ensure!(fixture.owner(pool).await? == "e-1", "{pool}");
    }
    fixture
        .wait_for_state("e-0", &id, State::Completed, 10)
        .await?;
    for index in 0..4 {
        let task = task(&id, 0, index);
        let starts = fixture.world.journal().starts(&task);
        ensure!(starts.len() == 1, "{task} was disturbed: {starts:?}");
    }
    fixture.check_invariants()
}

// One of three entries has just restarted, and owns nothing, when another shuts down and releases what it owns.
// The third shows that they haven't all started together, so that there is no entry to wait for: everything has an
// owner again half a second later.
async fn joins() -> Result<()> {
    let mut fixture = Fixture::open(58, 3, 4).await?;
    fixture.kill("e-1");
    sleep_secs(5).await;
    fixture.start("e-1");
    tokio::time::sleep(std::time::Duration::from_millis(450)).await;
    let node = fixture.nodes.remove("e-0");
    let entry = node.map(|node| node.entry);
    entry.expect("one of the entries").stop().await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let names = [POOL, OTHER].map(Name::from).into_iter();
    for name in names.chain(row::groups()) {
        ensure!(fixture.owner(&name).await? != "e-0", "{name}");
    }
    fixture.check_invariants()
}

/// Number of entries, more than are candidates for takeovers.
const MANY_ENTRIES: usize = 24;

/// The entries that are candidates for takeovers.
fn candidates(fixture: &Fixture) -> BTreeSet<String> {
    let able = fixture.nodes.keys().map(|name| (Name::from(&**name), 250));
    let chosen = elect::candidates(&able.collect(), 2 + row::groups().count());
    chosen.into_keys().map(|name| name.to_string()).collect()
}

// Guards against late takeovers on large sites, where most entries check the others only every few seconds. An
// owner is still replaced in time, since its pool goes to a candidate, which checks continuously.
async fn candidate_takes_over() -> Result<()> {
    let mut fixture = Fixture::open(38, MANY_ENTRIES, 3).await?;
    sleep_secs(10).await;
    let owner = fixture.owner(POOL).await?;
    ensure!(
        candidates(&fixture).contains(&owner),
        "{owner} is an owner but not a candidate"
    );
    fixture.kill(&owner);
    sleep_secs(4).await;
    let successor = fixture.owner(POOL).await?;
    ensure!(successor != owner, "{owner} wasn't replaced in time");
    ensure!(
        candidates(&fixture).contains(&successor),
        "{successor} is not a candidate"
    );
    let id = fixture.submit("e-0", &job("500", 4)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// All candidates are killed at once. The others notice later, and take over: no accepted job is lost, and no live
// entry among them is considered failed.
async fn all_candidates_killed() -> Result<()> {
    let mut fixture = Fixture::open(39, MANY_ENTRIES, 3).await?;
    sleep_secs(10).await;
    let killed_entries = candidates(&fixture);
    let observer = fixture
        .nodes
        .keys()
        .find(|name| !killed_entries.contains(*name))
        .cloned();
    let observer = observer.ok_or_else(|| eyre!("all entries are candidates"))?;
    let id = fixture.submit(&observer, &job("3000", 4)).await?;
    sleep_secs(1).await;
    for name in &killed_entries {
        fixture.kill(name);
    }
    sleep_secs(9).await;
    let token = fixture.token(POOL).await?;
    fixture
        .wait_for_state(&observer, &id, State::Completed, 6)
        .await?;
    sleep_secs(10).await;
    ensure!(
        fixture.token(POOL).await? == token,
        "the pool changed hands again"
    );
    fixture.check_invariants()
}
