//! Workers that restart under the same id.

use crate::{
    cases,
    fixture::{self, CAPACITY, Fixture, WALL_AT_ZERO_MS, job, starts, step, task},
};
use primroseroute_cell::{
    Cause, EndsCursor, EvacuationReason, Order, Outcome, RoundOutput, row::IncarnationTag,
};
use primroseroute_domain::work::{End, JobId, Name, Step};
use primroseroute_platform::{
    site::Worker as Registration,
    worker::{Ended, Running, WorkerStatus},
};

cases! {
    /// Guards against taking ends of a new incarnation for old ones.
    ends_of_a_new_incarnation_are_processed => new_incarnation();
    /// Guards against acknowledging ends to another incarnation than the one that listed them.
    acknowledgement_names_the_incarnation => acknowledged();
    /// Guards against runs that wait for the lease of an incarnation that is over.
    runs_of_the_previous_incarnation_are_restarted => restarted();
    /// Guards against taking a poll response of the previous incarnation for a third one.
    poll_response_of_the_previous_incarnation_is_ignored => stale_response();
    /// Guards against a start for the previous incarnation that runs in the next one beside another run.
    unanswered_start_is_stopped_in_the_next_incarnation => unanswered();
    /// Guards against relying on a stop that only the previous incarnation accepted.
    stop_accepted_by_the_previous_incarnation_resolves_nothing => stopped_before();
    /// Guards against a start that reaches the next incarnation of a worker known to have terminated.
    unanswered_start_waits_for_the_next_incarnation => waits_for_next();
    /// Guards against a task that waits for an incarnation that never comes.
    unanswered_start_is_given_up_when_another_worker_answers_in_its_place => replaced();
    /// The same where nothing answers.
    unanswered_start_is_given_up_when_no_order_can_be_in_flight => never_returns();
    /// Guards against a new owner that takes a crash for a start that was never sent.
    crash_before_a_takeover_is_attributed => before_takeover();
    /// Guards against attributing the crash of an earlier incarnation to a start that never reached the worker.
    crash_is_not_attributed_to_a_start_that_never_arrived => never_reached();
    /// Guards against a crash that goes uncounted because the next incarnation, begun after the takeover, has the same tag
    /// as the one before.
    crash_before_an_incarnation_that_began_after_the_takeover_is_attributed => began_after();
    /// Guards against ending an incarnation because a late list shows the end of the previous one.
    end_of_the_previous_incarnation_ends_no_other => late_list();
    /// Guards against losing a start that the next incarnation answered, because of a list from before that incarnation.
    start_that_was_answered_after_the_list_waits_for_a_poll => answered_by_the_next();
    /// Guards against taking a run of the next incarnation for lost with the previous one.
    start_that_reached_the_next_incarnation_continues => reached_the_next();
    /// Guards against missing crashes of workers that keep their ids.
    crash_of_a_worker_that_keeps_its_id_is_attributed => crash_with_kept_id();
    /// Guards against tasks that are placed by the labels of an incarnation that is over.
    restarted_worker_gets_nothing_by_its_old_labels => other_kind();
    /// Guards against a start that is sent after the worker has restarted as another kind.
    start_is_kept_back_if_its_worker_has_restarted => kept_back();
    /// Guards against tasks beyond the capacity of the incarnation that answers.
    restarted_worker_gets_nothing_by_its_new_registration_alone => registered_first();
    /// Guards against a pool that counts on a worker that can't register after its restart.
    restarted_worker_that_does_not_register_is_replaced => not_registered();
    /// Guards against a worker in the place of one that has registered a moment before it answers.
    worker_that_registers_before_it_answers_is_not_replaced => registers_before_it_answers();
    worker_without_a_start_time_is_used_as_registered => without_start_time();
}

const WORKER: &str = "w-1";

/// Label of the fixture's workers.
const KIND: &str = "a";

/// Label of a worker that has restarted as another kind.
const OTHER_KIND: &str = "b";

/// Start time of the next incarnation; those of the fixture's workers start at 1.
const NEXT_BOOT: u64 = 2;

fn worker() -> Name {
    WORKER.into()
}

/// An empty poll response of the incarnation that started at `born`.
fn response(born: u64) -> WorkerStatus {
    WorkerStatus {
        born,
        ..WorkerStatus::default()
    }
}

/// A poll response of the next incarnation that shows the first run of a job's first task.
fn running_response(id: &JobId, percent: u32) -> WorkerStatus {
    WorkerStatus {
        running: vec![Running {
            task: task(id, 0, 0),
            run: 1,
            checkpoint: None,
            percent,
            load: 0,
        }],
        ..response(NEXT_BOOT)
    }
}

/// Delivers a poll response.
fn deliver_alone(fixture: &mut Fixture, response: &WorkerStatus) {
    let now = fixture.now;
    fixture
        .cell
        .apply_status(&worker(), response, now, now, WALL_AT_ZERO_MS + now);
}

/// Delivers a poll response, and the registration of the incarnation that it is from.
fn deliver(fixture: &mut Fixture, response: &WorkerStatus) {
    deliver_alone(fixture, response);
    fixture.cell.register(registration(response.born, KIND));
}

/// The registration of an incarnation of a kind.
fn registration(born: u64, kind: &str) -> Registration {
    Registration {
        born,
        labels: [kind.into()].into(),
        ..fixture::worker(WORKER)
    }
}

fn acknowledged_up_to(output: &RoundOutput) -> EndsCursor {
    let found = output
        .ends_committed
        .iter()
        .find(|(id, _seen)| &**id == WORKER);
    found.expect("the worker is known").1
}

/// The end of a job's first task.
fn end(id: &JobId, number: u64, run: u32) -> Ended {
    Ended {
        number,
        task: task(id, 0, 0),
        run,
        how: End::Done,
        checkpoint: None,
    }
}

/// A fixture whose worker has run some tasks to their ends.
fn with_ends() -> Fixture {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(5, 1_000)]));
    fixture.execute_round();
    for index in 0..5 {
        fixture.end_run(&worker(), &task(&id, 0, index), End::Done);
    }
    fixture.advance(100);
    let output = fixture.round();
    assert_eq!(
        acknowledged_up_to(&output),
        EndsCursor {
            incarnation: 1,
            number: 5
        }
    );
    fixture
}

fn new_incarnation() {
    let mut fixture = with_ends();
    deliver(&mut fixture, &response(NEXT_BOOT));
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    assert_eq!(starts(&fixture.round().orders).len(), 1);
    fixture.now += 100;
    let with_end = WorkerStatus {
        ended: vec![end(&id, 1, 1)],
        ..response(NEXT_BOOT)
    };
    deliver(&mut fixture, &with_end);
    let output = fixture.round();
    assert_eq!(output.ended.len(), 1, "the job is completed");
    assert_eq!(starts(&output.orders), Vec::new());
}

fn acknowledged() {
    let mut fixture = with_ends();
    deliver(&mut fixture, &response(NEXT_BOOT));
    let output = fixture.round();
    let none = EndsCursor {
        incarnation: NEXT_BOOT,
        number: 0,
    };
    assert_eq!(acknowledged_up_to(&output), none);
}

fn restarted() {
    let mut fixture = Fixture::new(&[WORKER]);
    fixture.accept(job(vec![step(3, 1_000)]));
    assert_eq!(starts(&fixture.execute_round()).len(), 3);
    fixture.advance(1_500);
    fixture.now += 100;
    deliver(&mut fixture, &response(NEXT_BOOT));
    let output = fixture.round();
    assert_eq!(starts(&output.orders).len(), 3);
    assert_eq!(output.losses[0].cause, Cause::Crash);
    assert_eq!(output.losses[0].attributed_to, Vec::new());
}

fn stale_response() {
    let mut fixture = with_ends();
    deliver(&mut fixture, &response(NEXT_BOOT));
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 100;
    deliver(&mut fixture, &response(1));
    let output = fixture.round();
    assert_eq!(acknowledged_up_to(&output).incarnation, NEXT_BOOT);
    assert_eq!(starts(&output.orders), Vec::new(), "{id} runs");
}

/// Submits a job whose only start gets no answer.
fn without_answer(fixture: &mut Fixture) -> JobId {
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    let now = fixture.now;
    let unknown = Outcome::Unknown;
    fixture
        .cell
        .record_start_outcome(&worker(), &task(&id, 0, 0), 1, unknown, now);
    id
}

fn stops(output: &RoundOutput) -> usize {
    let stops = output.orders.iter();
    let stops = stops.filter(|order| matches!(order, Order::Stop { .. }));
    stops.count()
}

fn unanswered() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = without_answer(&mut fixture);
    fixture.now += 3_000;
    deliver(&mut fixture, &response(NEXT_BOOT));
    let output = fixture.round();
    assert_eq!(starts(&output.orders), Vec::new());
    assert_eq!(stops(&output), 1);
    fixture
        .cell
        .record_stop_accepted(&worker(), &task(&id, 0, 0), 1, fixture.now);
    fixture.now += 10;
    deliver(&mut fixture, &response(NEXT_BOOT));
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

fn stopped_before() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = without_answer(&mut fixture);
    fixture.round();
    fixture
        .cell
        .record_stop_accepted(&worker(), &task(&id, 0, 0), 1, fixture.now);
    fixture.now += 3_000;
    deliver(&mut fixture, &response(NEXT_BOOT));
    let output = fixture.round();
    assert_eq!(starts(&output.orders), Vec::new());
    assert_eq!(stops(&output), 1);
}

fn waits_for_next() {
    let mut fixture = Fixture::new(&[WORKER, "w-2"]);
    let id = lost_without_answer(&mut fixture);
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture.now += 3_000;
    fixture.poll(&"w-2".into());
    deliver(&mut fixture, &response(NEXT_BOOT));
    assert_eq!(stops(&fixture.round()), 1);
    fixture
        .cell
        .record_stop_accepted(&worker(), &task(&id, 0, 0), 1, fixture.now);
    fixture.now += 10;
    deliver(&mut fixture, &response(NEXT_BOOT));
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

/// Submits a job whose only start got no answer from a worker that has terminated; another worker is free.
fn lost_without_answer(fixture: &mut Fixture) -> JobId {
    fixture
        .cell
        .set_evacuating(&"w-2".into(), Some(EvacuationReason::Move));
    let id = without_answer(fixture);
    fixture.cell.set_evacuating(&"w-2".into(), None);
    assert!(fixture.cell.worker_terminated(&worker(), 1, fixture.now));
    id
}

fn replaced() {
    let mut fixture = Fixture::new(&[WORKER, "w-2"]);
    lost_without_answer(&mut fixture);
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture.cell.worker_replaced(&worker());
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

fn never_returns() {
    let mut fixture = Fixture::new(&[WORKER, "w-2"]);
    lost_without_answer(&mut fixture);
    fixture.round();
    let lost_at = fixture.now;
    loop {
        fixture.now += 500;
        fixture.poll(&"w-2".into());
        if !starts(&fixture.round().orders).is_empty() {
            break;
        }
        assert!(fixture.now < lost_at + 20_000, "the task never starts");
    }
    assert!(
        fixture.now >= lost_at + 12_000,
        "an order may still be in flight"
    );
}

fn before_takeover() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 3_000;
    fixture.replace_owner();
    deliver(&mut fixture, &response(WALL_AT_ZERO_MS + 2_000));
    let output = fixture.round();
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
}

fn never_reached() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 3_000;
    let second = response(WALL_AT_ZERO_MS + 2_000);
    deliver(&mut fixture, &second);
    let output = fixture.round();
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
    assert_eq!(starts(&output.orders).len(), 1);
    fixture.replace_owner();
    deliver(&mut fixture, &second);
    let output = fixture.round();
    assert_eq!(output.losses, Vec::new());
    assert_eq!(starts(&output.orders).len(), 1);
}

fn began_after() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 3_000;
    let born = WALL_AT_ZERO_MS + 2_000;
    deliver(&mut fixture, &response(born));
    assert_eq!(starts(&fixture.execute_round()).len(), 1);
    fixture.replace_owner();
    fixture.now += 20_000;
    let next = born + 20_000;
    assert_eq!(IncarnationTag::of(born), IncarnationTag::of(next));
    deliver(&mut fixture, &response(next));
    let output = fixture.round();
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
}

fn late_list() {
    let mut fixture = Fixture::new(&[WORKER]);
    deliver(&mut fixture, &response(NEXT_BOOT));
    fixture.accept(job(vec![step(1, 1_000)]));
    assert_eq!(starts(&fixture.execute_round()).len(), 1);
    assert!(!fixture.cell.worker_terminated(&worker(), 1, fixture.now));
    assert_eq!(fixture.round().losses, Vec::new());
}

fn answered_by_the_next() {
    let mut fixture = Fixture::new(&[WORKER, "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.now += 100;
    let asked_at = fixture.now;
    fixture.now += 500;
    let started = fixture.execute_round();
    let [(_task, on)] = &*starts(&started) else {
        panic!("{started:?}");
    };
    assert!(fixture.cell.worker_terminated(on, 1, asked_at));
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    fixture.now += 300;
    let with_run = running_response(&id, 30);
    let now = fixture.now;
    fixture
        .cell
        .apply_status(on, &with_run, now, now, WALL_AT_ZERO_MS + now);
    let output = fixture.round();
    assert_eq!(starts(&output.orders), Vec::new());
    let lost = output.losses.iter().map(|loss| loss.runs.len());
    assert_eq!(lost.sum::<usize>(), 0);
}

fn reached_the_next() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 100;
    let with_run = running_response(&id, 10);
    deliver(&mut fixture, &with_run);
    let output = fixture.round();
    assert_eq!(output.orders, Vec::new());
    assert_eq!(output.losses[0].runs, Vec::new());
}

fn crash_with_kept_id() {
    let mut fixture = Fixture::new(&[WORKER]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.now += 100;
    deliver(&mut fixture, &response(NEXT_BOOT));
    let output = fixture.round();
    assert_eq!(output.losses[0].attributed_to, vec![task(&id, 0, 0)]);
}

fn requiring(kind: &str) -> Step {
    Step {
        label: Some(kind.into()),
        ..step(2, 1_000)
    }
}

fn next_starts(fixture: &mut Fixture) -> usize {
    fixture.now += 25;
    starts(&fixture.execute_round()).len()
}

fn other_kind() {
    let mut fixture = Fixture::new(&[WORKER]);
    deliver_alone(&mut fixture, &response(NEXT_BOOT));
    fixture.accept(job(vec![requiring(KIND)]));
    fixture.accept(job(vec![requiring(OTHER_KIND)]));
    fixture.accept(job(vec![step(1, 1_000)]));
    assert_eq!(next_starts(&mut fixture), 0);
    fixture.cell.register(registration(NEXT_BOOT, OTHER_KIND));
    assert_eq!(next_starts(&mut fixture), 3);
}

fn kept_back() {
    let mut fixture = Fixture::new(&[WORKER]);
    fixture.accept(job(vec![requiring(KIND)]));
    fixture.now += 25;
    let output = fixture.round();
    assert_eq!(starts(&output.orders).len(), 2);
    deliver_alone(&mut fixture, &response(NEXT_BOOT));
    assert_eq!(fixture.revalidate(output), []);
}

fn registered_first() {
    let mut fixture = Fixture::new(&[WORKER]);
    fixture.cell.register(Registration {
        capacity: CAPACITY.times(2),
        ..registration(NEXT_BOOT, KIND)
    });
    fixture.accept(job(vec![requiring(KIND)]));
    assert_eq!(next_starts(&mut fixture), 0);
    deliver_alone(&mut fixture, &response(NEXT_BOOT));
    assert_eq!(next_starts(&mut fixture), 2);
}

fn not_registered() {
    let mut fixture = Fixture::new(&[WORKER]);
    let mut needs = Vec::new();
    for _second in 0..3 {
        deliver_alone(&mut fixture, &response(NEXT_BOOT));
        needs.push(fixture.round().scaling.now);
        fixture.now += 1_000;
    }
    assert_eq!(needs, [1, 1, 2]);
}

fn registers_before_it_answers() {
    let mut fixture = Fixture::new(&[WORKER]);
    fixture.advance(60_000);
    fixture.round();
    fixture.cell.register(registration(NEXT_BOOT, KIND));
    let mut needs = Vec::new();
    for _second in 0..3 {
        fixture.poll(&worker());
        needs.push(fixture.round().scaling.now);
        fixture.now += 1_000;
    }
    assert_eq!(needs, [1, 1, 2]);
}

fn without_start_time() {
    for (registered, answered) in [(0, 0), (0, NEXT_BOOT), (NEXT_BOOT, 0)] {
        let mut fixture = Fixture::just_taken_over(&[]);
        fixture.cell.register(registration(registered, KIND));
        fixture.running.insert(worker(), [].into());
        deliver_alone(&mut fixture, &response(answered));
        fixture.accept(job(vec![requiring(KIND)]));
        assert_eq!(next_starts(&mut fixture), 2, "{registered} {answered}");
    }
}
