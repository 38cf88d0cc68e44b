//! Tasks that crash their workers.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task, worker},
};
use primroseroute_cell::{Cause, Loss, Millis, Order, Outcome, RoundOutput, row::Progress};
use primroseroute_domain::work::{JobId, Name, State, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

cases! {
    /// Guards against unbounded retries of a task that crashes its workers.
    task_fails_after_its_fourth_crash => fails_after_four();
    /// Guards against attributing a crash to runs that the worker had long survived.
    crash_is_not_attributed_to_a_long_established_run => long_established();
    /// Guards against losing other tasks with a suspect task again and again.
    suspect_task_is_isolated_from_new_runs => isolated();
    /// Guards against a suspect task that never starts because batch tasks start on its worker all the time.
    suspect_task_gets_a_worker_of_a_busy_pool => busy_pool();
    /// Guards against losing the crash count with the owner.
    new_owner_continues_the_crash_count => count_survives_takeover();
    /// Guards against abandoning a task for a crash long after its start, by an owner that didn't start it.
    crash_is_not_attributed_to_an_established_discovered_run => discovered();
    /// Guards against attributing a planned shutdown to the tasks of the worker.
    planned_end_is_no_crash => planned();
    /// Guards against taking an expired lease for a crash.
    expired_lease_is_no_crash => lease_expired();
    /// Guards against accumulating unrelated crashes over a long-lived task.
    crashes_of_a_task_that_survives_its_isolated_run_are_cleared => cleared();
    /// Guards against attributing to the suspect task the end of a worker that was already dead when the isolated run began.
    isolated_run_waits_until_its_worker_answers => answers_first();
    /// Guards against an owner that dies without having seen that the suspect task survived its isolated run.
    worker_is_polled_at_once_when_an_isolated_run_ends => end_of_isolation();
    /// Guards against ignoring a crash that becomes known only after the lease has expired.
    expiry_that_was_a_crash_counts => expiry_was_crash();
    /// Guards against taking an earlier lease expiry for a crash when the worker comes back and crashes later.
    expiry_is_no_crash_of_a_worker_that_came_back => came_back();
    /// Guards against crashes that make suspects of tasks without any crash, and take them down as well.
    tasks_with_a_crash_are_isolated_from_those_without => isolated_from_crash_free();
    /// Guards against isolating every task that loses a worker, forever, because a long-running task was abandoned once.
    failed_long_running_task_is_no_suspect => failed_long_running();
    /// Guards against isolated runs one after the other while other workers are idle.
    suspect_tasks_use_all_idle_workers => on_all_idle();
    /// Guards against attributing a crash to a run that its worker survived while partitioned.
    crash_is_not_attributed_to_a_run_survived_by_a_partitioned_worker => survived_partition();
    /// Guards against attributing a crash to a run that its worker survived, because lists arrived in another order.
    late_list_shows_that_a_worker_survived_its_run => late_list();
    /// Guards against abandoning a suspect task for a crash that may have come long after its run had ended.
    inconclusive_crash_does_not_count_against_a_suspect_task => inconclusive();
    /// Guards against abandoning a suspect task for a crash of a worker that was listed long after its start.
    crash_of_a_relisted_worker_does_not_count_against_a_suspect_task => relisted();
    /// Guards against abandoning a suspect task for a crash long after a takeover, by an owner that never reached the worker.
    crash_long_after_a_takeover_does_not_count_against_a_suspect_task => long_after_takeover();
    /// Guards against clearing the crashes of a poison task by a start that never reached its worker.
    start_without_an_answer_clears_no_crashes => never_started();
    /// Guards against a crash that goes uncounted because the worker's next incarnation is taken for the one that crashed.
    next_incarnation_under_the_same_id_clears_no_crashes => next_incarnation_listed();
    /// Guards against losing together once more all tasks that were lost together.
    tasks_of_one_crash_are_spread => spread();
}

/// Terminates a worker and returns the next round.
fn crash(fixture: &mut Fixture, id: &Name) -> RoundOutput {
    terminate(fixture, id);
    fixture.round()
}

/// Adds a worker.
fn join(fixture: &mut Fixture, id: &str) {
    fixture.cell.register(worker(id));
    fixture.running.insert(id.into(), BTreeMap::new());
    fixture.poll_all();
}

/// Runs a round and returns the worker on which it starts a task.
fn start_in_round(fixture: &mut Fixture, task: &TaskId) -> Option<Name> {
    let starts = starts(&fixture.execute_round());
    let found = starts.into_iter().find(|(of, _on)| of == task);
    found.map(|(_task, on)| on)
}

fn state(output: &RoundOutput, id: &JobId) -> State {
    let row = output.puts.iter().find(|(of, _row)| of == id);
    let (_id, row) = row.expect("its row is written");
    let progress: Progress = serde_json::from_slice(row).expect("progress");
    progress.state
}

/// Submits a job whose first task crashes two workers and then waits.
fn with_two_crashes(fixture: &mut Fixture) -> JobId {
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    for _crash in 0..2 {
        let on = start_in_round(fixture, &task(&id, 0, 0)).expect("the task starts");
        fixture.advance(10);
        terminate(fixture, &on);
    }
    id
}

/// Terminates a worker without a round after it.
fn terminate(fixture: &mut Fixture, id: &Name) {
    fixture.running.remove(id);
    // A new owner that hasn't polled the worker doesn't know the start time of its incarnation.
    let now = fixture.now;
    assert!(
        fixture.cell.worker_terminated(id, 1, now) || fixture.cell.worker_terminated(id, 0, now)
    );
}

fn fails_after_four() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5"]);
    let id = with_two_crashes(&mut fixture);
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.advance(10);
    terminate(&mut fixture, &on);
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.advance(10);
    let output = crash(&mut fixture, &on);
    assert_eq!(state(&output, &id), State::Failed);
    assert_eq!(output.poison_tasks.len(), 1);
    assert_eq!(output.losses[0].cause, Cause::Crash);
    assert_eq!(starts(&output.orders), Vec::new());
}

fn long_established() {
    let mut fixture = Fixture::new(&["w-1"]);
    let old = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.advance(1_500);
    let new = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.advance(10);
    let output = crash(&mut fixture, &"w-1".into());
    assert_eq!(output.losses[0].runs.len(), 2);
    assert_eq!(
        output.losses[0].attributed_to,
        vec![task(&new, 0, 0)],
        "{old}"
    );
}

fn isolated() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let id = with_two_crashes(&mut fixture);
    let other = fixture.accept(job(vec![step(4, 1_000)]));
    let orders = starts(&fixture.execute_round());
    assert_eq!(
        orders.len(),
        1,
        "{other} starts beside an isolated run: {orders:?}"
    );
    assert_eq!(orders[0].0, task(&id, 0, 0));
    fixture.advance(500);
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    fixture.advance(600);
    assert_eq!(starts(&fixture.execute_round()).len(), 4);
}

fn busy_pool() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    let id = with_two_crashes(&mut fixture);
    let mut waited = 0;
    loop {
        // Each round adds more tasks than fit, and each task ends 300 ms after its start.
        fixture.accept(job(vec![step(12, 2_000)]));
        if start_in_round(&mut fixture, &task(&id, 0, 0)).is_some() {
            break;
        }
        fixture.advance(100);
        waited += 100;
        assert!(waited < 5_000, "the task never starts");
        if waited % 300 == 0 {
            end_all(&mut fixture, &id);
        }
    }
}

/// Ends all runs except those of job `except`.
fn end_all(fixture: &mut Fixture, except: &JobId) {
    let all = fixture.running.iter();
    let all = all.flat_map(|(id, runs)| runs.keys().map(|task| (Name::clone(id), task.clone())));
    let all: Vec<(Name, TaskId)> = all.filter(|(_id, task)| task.job != *except).collect();
    for (on, task) in all {
        fixture.end_run(&on, &task, primroseroute_domain::work::End::Done);
    }
    fixture.poll_all();
}

fn count_survives_takeover() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4"]);
    let id = with_two_crashes(&mut fixture);
    fixture.round();
    fixture.advance(3_000);
    fixture.replace_owner();
    fixture.poll_all();
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.replace_owner();
    crash(&mut fixture, &on);
    fixture.advance(100);
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.replace_owner();
    let output = crash(&mut fixture, &on);
    assert_eq!(state(&output, &id), State::Failed);
}

fn discovered() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.advance(3_000);
    fixture.replace_owner();
    fixture.poll_all();
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].runs.len(), 1);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
}

fn planned() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    let mut draining_worker = worker(&on);
    draining_worker.draining = true;
    fixture.cell.register(draining_worker);
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].cause, Cause::Planned);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
}

fn cleared() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    let id = with_two_crashes(&mut fixture);
    for _crash in 0..3 {
        let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
        fixture.advance(1_100);
        fixture.round();
        fixture.replace_owner();
        // The new owner never gets a response of the worker, and can't tell when the run began.
        let output = crash(&mut fixture, &on);
        assert_eq!(output.poison_tasks, Vec::new());
        fixture.poll_all();
    }
    assert!(start_in_round(&mut fixture, &task(&id, 0, 0)).is_some());
}

fn answers_first() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let id = with_two_crashes(&mut fixture);
    fixture.now += 300;
    let output = fixture.round();
    let [on] = &*output.immediate_polls else {
        panic!("one worker is polled: {:?}", output.immediate_polls);
    };
    assert_eq!(starts(&output.orders), Vec::new());
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture.now += 50;
    fixture.poll(on);
    // The next round may be delayed by the store.
    fixture.now += 400;
    let placed = starts(&fixture.round().orders);
    assert_eq!(placed, vec![(task(&id, 0, 0), Name::clone(on))]);
}

fn end_of_isolation() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let id = with_two_crashes(&mut fixture);
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.now += 900;
    assert_eq!(fixture.round().immediate_polls, Vec::<Name>::new());
    fixture.now += 100;
    assert_eq!(fixture.round().immediate_polls, vec![Name::clone(&on)]);
    assert_eq!(fixture.round().immediate_polls, Vec::<Name>::new());
    fixture.poll(&on);
    assert_eq!(fixture.round().crashes_cleared, vec![task(&id, 0, 0)]);
}

/// Starts a task whose worker stays unresponsive until its lease has expired; returns the job, the worker and the loss.
fn expire_lease(fixture: &mut Fixture) -> (JobId, Name, Loss) {
    expire_lease_while_listed(fixture, |_now| false)
}

/// The same; the platform lists the worker at the times for which `is_listed` holds.
fn expire_lease_while_listed(
    fixture: &mut Fixture,
    is_listed: impl Fn(Millis) -> bool,
) -> (JobId, Name, Loss) {
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let on = start_in_round(fixture, &task(&id, 0, 0)).expect("the task starts");
    let other: Name = if &*on == "w-1" { "w-2" } else { "w-1" }.into();
    loop {
        fixture.now += 200;
        fixture.poll(&other);
        if fixture.cell.possibly_crashed(fixture.now).contains(&on) && is_listed(fixture.now) {
            fixture.cell.worker_listed(&on, 1, fixture.now);
        }
        let mut output = fixture.round();
        if let Some(loss) = output.losses.pop() {
            return (id, on, loss);
        }
        assert!(fixture.now < 20_000, "the run is never lost");
    }
}

fn lease_expired() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (_id, _on, loss) = expire_lease(&mut fixture);
    assert_eq!(loss.cause, Cause::Lapse);
    assert_eq!(loss.attributed_to, Vec::new());
}

fn expiry_was_crash() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (id, on, _loss) = expire_lease(&mut fixture);
    assert!(fixture.cell.unresponsive(fixture.now).contains(&on));
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].cause, Cause::Crash);
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
}

fn came_back() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (_id, on, _loss) = expire_lease(&mut fixture);
    fixture.running.insert(Name::clone(&on), BTreeMap::new());
    fixture.poll(&on);
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses, Vec::new());
}

fn spread() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(8, 1_000)]));
    assert_eq!(starts(&fixture.execute_round()).len(), 8);
    fixture.advance(10);
    terminate(&mut fixture, &"w-1".into());
    join(&mut fixture, "w-2");
    join(&mut fixture, "w-3");
    let starts = starts(&fixture.execute_round());
    assert_eq!(starts.len(), 8, "{id}");
    let on_second = starts.iter().filter(|(_task, on)| &**on == "w-2");
    assert_eq!(on_second.count(), 4);
}

/// Crashes the worker of a job's first task `crashes` times; afterwards its tasks wait.
fn crash_under(fixture: &mut Fixture, id: &JobId, crashes: usize) {
    for _crash in 0..crashes {
        let on = start_in_round(fixture, &task(id, 0, 0)).expect("the task starts");
        fixture.advance(10);
        terminate(fixture, &on);
    }
}

fn isolated_from_crash_free() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"]);
    with_two_crashes(&mut fixture);
    let once = fixture.accept(job(vec![step(2, 1_000)]));
    crash_under(&mut fixture, &once, 1);
    let crash_free = fixture.accept(job(vec![step(20, 1_000)]));
    let starts = starts(&fixture.execute_round());
    let on = |id: &JobId| -> BTreeSet<Name> {
        let of_job = starts.iter().filter(|(task, _on)| task.job == *id);
        of_job.map(|(_task, on)| Name::clone(on)).collect()
    };
    assert_eq!(on(&once).len(), 1, "the tasks share a worker: {starts:?}");
    assert_eq!(on(&crash_free).len(), 2, "{starts:?}");
    assert!(on(&once).is_disjoint(&on(&crash_free)), "{starts:?}");
}

fn on_all_idle() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7"]);
    let id = fixture.accept(job(vec![step(4, 1_000)]));
    crash_under(&mut fixture, &id, 2);
    let starts = starts(&fixture.execute_round());
    let on: BTreeSet<&Name> = starts.iter().map(|(_task, on)| on).collect();
    assert_eq!((starts.len(), on.len()), (4, 4), "{starts:?}");
}

fn survived_partition() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (_id, on, loss) = expire_lease_while_listed(&mut fixture, |_now| true);
    assert_eq!(loss.attributed_to, Vec::new());
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses, Vec::new());
}

fn next_incarnation_listed() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (id, on, _loss) =
        expire_lease_while_listed(&mut fixture, |now| !(2_000..4_500).contains(&now));
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
}

fn late_list() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let (_id, on, _loss) =
        expire_lease_while_listed(&mut fixture, |now| !(2_000..4_500).contains(&now));
    fixture.cell.worker_listed(&on, 1, 3_000);
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses, Vec::new());
}

/// Starts a suspect task, whose worker stays unresponsive for `millis`; returns the job and the worker.
fn start_suspect(fixture: &mut Fixture, millis: Millis) -> (JobId, Name) {
    let id = with_two_crashes(fixture);
    let on = start_in_round(fixture, &task(&id, 0, 0)).expect("the task starts");
    let others: Vec<Name> = fixture.running.keys().cloned().collect();
    let until = fixture.now + millis;
    while fixture.now < until {
        fixture.now += 100;
        for other in others.iter().filter(|other| **other != on) {
            fixture.poll(other);
        }
        assert_eq!(fixture.round().poison_tasks, Vec::new());
    }
    (id, on)
}

fn inconclusive() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    let (id, on) = start_suspect(&mut fixture, 6_200);
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].cause, Cause::Crash);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
    assert_eq!(output.poison_tasks, Vec::new());
    // The second crash right after a start from then on abandons it.
    let mut output = output;
    for crashes in 3..=4 {
        for order in &output.orders {
            fixture.execute(order);
        }
        fixture.advance(10);
        let on = fixture.workers_running(&task(&id, 0, 0)).pop();
        output = crash(&mut fixture, &on.expect("the task runs"));
        assert_eq!(output.losses[0].attributed_to.len(), 1);
        assert_eq!(output.poison_tasks.len(), crashes / 4);
    }
    assert_eq!(state(&output, &id), State::Failed);
}

fn relisted() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5"]);
    let (_id, on) = start_suspect(&mut fixture, 5_000);
    let now = fixture.now;
    fixture.cell.worker_listed(&on, 1, now - 1_000);
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
    assert_eq!(output.poison_tasks, Vec::new());
}

fn long_after_takeover() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5"]);
    let id = with_two_crashes(&mut fixture);
    let on = start_in_round(&mut fixture, &task(&id, 0, 0)).expect("the task starts");
    fixture.replace_owner();
    for _listing in 0..50 {
        fixture.now += 100;
        fixture.cell.worker_listed(&on, 0, fixture.now);
        fixture.round();
    }
    let output = crash(&mut fixture, &on);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
    assert_eq!(output.poison_tasks, Vec::new());
}

fn never_started() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let id = with_two_crashes(&mut fixture);
    let output = fixture.round();
    let [
        Order::Start {
            worker, task, run, ..
        },
    ] = &*output.orders
    else {
        panic!("one isolated run begins: {:?}", output.orders);
    };
    assert_eq!(task.job, id);
    fixture
        .cell
        .record_start_outcome(worker, task, *run, Outcome::Unknown, fixture.now);
    for _listing in 0..60 {
        fixture.now += 100;
        if fixture.cell.possibly_crashed(fixture.now).contains(worker) {
            fixture.cell.worker_listed(worker, 1, fixture.now);
        }
        assert_eq!(fixture.round().crashes_cleared, Vec::new());
    }
}

fn failed_long_running() {
    let ids: Vec<String> = (1..=9).map(|number| format!("w-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut fixture = Fixture::new(&ids);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    let id = fixture.accept(job(vec![long_running]));
    crash_under(&mut fixture, &id, 4);
    assert_eq!(fixture.round().poison_tasks.len(), 1);
    let once = fixture.accept(job(vec![step(2, 1_000)]));
    crash_under(&mut fixture, &once, 1);
    fixture.accept(job(vec![step(8, 1_000)]));
    let starts = starts(&fixture.execute_round());
    let on: BTreeSet<&Name> = starts.iter().map(|(_task, on)| on).collect();
    assert_eq!((starts.len(), on.len()), (10, 1), "{starts:?}");
}
