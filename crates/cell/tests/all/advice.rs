//! Tickets of the advice service: when they are requested and when they are used.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task},
};
use primroseroute_cell::{AdviceRequest, Order, Outcome, RoundOutput};
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
    fixture.cell.set_advised_queues(["queue".into()].into());
    fixture
}

fn only_request(output: &RoundOutput) -> AdviceRequest {
    assert_eq!(
        output.advice_requests.len(),
        1,
        "{:?}",
        output.advice_requests
    );
    output.advice_requests[0].clone()
}

/// Answers a request: all workers except `forbidden` may run the step.
fn answer(fixture: &mut Fixture, request: &AdviceRequest, forbidden: &[&str]) {
    let allowed = request.workers.iter();
    let allowed = allowed.filter(|worker| !forbidden.contains(&&***worker));
    let now = fixture.now;
    let tickets: BTreeMap<Name, Name> = allowed
        .map(|worker| (Name::clone(worker), format!("{worker}@{now}").into()))
        .collect();
    fixture
        .cell
        .record_advice(request, Some((tickets, TICKET_VALID_MS)), now, now);
}

fn tickets(output: &RoundOutput) -> Vec<Option<Name>> {
    let orders = output.orders.iter();
    let tickets = orders.filter_map(|order| match order {
        Order::Start { ticket, .. } => Some(ticket.clone()),
        _ => None,
    });
    tickets.collect()
}

fn requested_first() {
    let mut fixture = with_advised_queue(&["w-1", "w-2"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let output = fixture.round();
    assert_eq!(starts(&output.orders), []);
    let request = only_request(&output);
    assert_eq!(request.workers.len(), 2);
    assert_eq!(fixture.round().advice_requests, [], "requested twice");
    answer(&mut fixture, &request, &["w-1"]);
    let output = fixture.round();
    assert_eq!(tickets(&output), [Some("w-2@0".into())]);
}

/// Two tasks run on a worker one after the other; when the second can start, the ticket expires too
/// soon for the start to arrive in time.
fn expiring() {
    let mut fixture = with_advised_queue(&["w-1"]);
    let id = fixture.accept(job(vec![step(2, 9_000)]));
    let request = only_request(&fixture.round());
    answer(&mut fixture, &request, &[]);
    assert_eq!(starts(&fixture.execute_round()).len(), 1);
    fixture.advance(TICKET_VALID_MS - 200);
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Done);
    fixture.poll_all();
    let output = fixture.round();
    assert_eq!(starts(&output.orders), []);
    let request = only_request(&output);
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
        .record_start_outcome(&worker, &task(&id, 0, 0), 1, outcome, fixture.now);
    let output = fixture.round();
    assert_eq!(starts(&output.orders), []);
    only_request(&output);
}

fn forbidden() {
    let mut fixture = with_advised_queue(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let request = only_request(&fixture.round());
    answer(&mut fixture, &request, &["w-1"]);
    fixture.advance(TICKET_VALID_MS);
    let output = fixture.round();
    assert_eq!(
        (starts(&output.orders), output.advice_requests),
        (vec![], vec![])
    );
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
        .record_advice(&request, None, fixture.now, fixture.now);
    assert_eq!(fixture.round().advice_requests, []);
    fixture.advance(250);
    assert_eq!(only_request(&fixture.round()), request);
}
