//! Tickets of the advice service: when they are requested and when they are used.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task},
};
use primroseroute_cell::{Order, Outcome, Question, Tick};
use primroseroute_domain::work::{End, Name};
use primroseroute_platform::worker::Refusal;
use std::collections::BTreeMap;

cases! {
    nothing_starts_before_the_advice => requested_first();
    expiring_ticket_is_requested_again_and_not_used => expiring();
    refused_ticket_is_requested_again => refused();
    forbidden_worker_is_requested_once => forbidden();
    unanswered_request_is_repeated_after_a_pause => unanswered();
}

/// Milliseconds for which a ticket is valid.
const TICKET_VALID_MS: u64 = 3_000;

fn with_advised_queue(workers: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(workers);
    fixture.cell.advised(["queue".into()].into());
    fixture
}

fn only_request(tick: &Tick) -> Question {
    assert_eq!(tick.questions.len(), 1, "{:?}", tick.questions);
    tick.questions[0].clone()
}

/// Answers a request: all workers except `forbidden` may run the step.
fn answer(fixture: &mut Fixture, request: &Question, forbidden: &[&str]) {
    let allowed = request.workers.iter();
    let allowed = allowed.filter(|worker| !forbidden.contains(&&***worker));
    let now = fixture.now;
    let tickets: BTreeMap<Name, Name> = allowed
        .map(|worker| (Name::clone(worker), format!("{worker}@{now}").into()))
        .collect();
    fixture
        .cell
        .advice(request, Some((tickets, TICKET_VALID_MS)), now, now);
}

fn tickets(tick: &Tick) -> Vec<Option<Name>> {
    let orders = tick.orders.iter();
    let tickets = orders.filter_map(|order| match order {
        Order::Start { ticket, .. } => Some(ticket.clone()),
        _ => None,
    });
    tickets.collect()
}

fn requested_first() {
    let mut fixture = with_advised_queue(&["w-1", "w-2"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let tick = fixture.round();
    assert_eq!(starts(&tick.orders), []);
    let request = only_request(&tick);
    assert_eq!(request.workers.len(), 2);
    assert_eq!(fixture.round().questions, [], "requested twice");
    answer(&mut fixture, &request, &["w-1"]);
    let tick = fixture.round();
    assert_eq!(tickets(&tick), [Some("w-2@0".into())]);
}

/// Two tasks run on a worker one after the other; when the second can start, the ticket expires too
/// soon for the start to arrive in time.
fn expiring() {
    let mut fixture = with_advised_queue(&["w-1"]);
    let id = fixture.accept(job(vec![step(2, 9_000)]));
    let request = only_request(&fixture.round());
    answer(&mut fixture, &request, &[]);
    assert_eq!(starts(&fixture.tick()).len(), 1);
    fixture.advance(TICKET_VALID_MS - 200);
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Done);
    fixture.poll_all();
    let tick = fixture.round();
    assert_eq!(starts(&tick.orders), []);
    let request = only_request(&tick);
    answer(&mut fixture, &request, &[]);
    assert_eq!(tickets(&fixture.round()), [Some("w-1@2800".into())]);
}

fn refused() {
    let mut fixture = with_advised_queue(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let request = only_request(&fixture.round());
    answer(&mut fixture, &request, &[]);
    assert_eq!(starts(&fixture.round().orders).len(), 1);
    let outcome = Outcome::Refused(Refusal::Ticket);
    let worker = "w-1".into();
    fixture
        .cell
        .answered(&worker, &task(&id, 0, 0), 1, outcome, fixture.now);
    let tick = fixture.round();
    assert_eq!(starts(&tick.orders), []);
    only_request(&tick);
}

fn forbidden() {
    let mut fixture = with_advised_queue(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let request = only_request(&fixture.round());
    answer(&mut fixture, &request, &["w-1"]);
    fixture.advance(TICKET_VALID_MS);
    let tick = fixture.round();
    assert_eq!((starts(&tick.orders), tick.questions), (vec![], vec![]));
    fixture.cell.register(crate::fixture::worker("w-2"));
    fixture.running.insert("w-2".into(), BTreeMap::new());
    fixture.poll_all();
    assert_eq!(only_request(&fixture.round()).workers, ["w-2".into()]);
}

fn unanswered() {
    let mut fixture = with_advised_queue(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let request = only_request(&fixture.round());
    fixture
        .cell
        .advice(&request, None, fixture.now, fixture.now);
    assert_eq!(fixture.round().questions, []);
    fixture.advance(250);
    assert_eq!(only_request(&fixture.round()), request);
}
