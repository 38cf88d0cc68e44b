//! Tickets of the advice service: when they are asked for, and when they are used.

use crate::{
    bed::{Bed, job, starts, step, task},
    cases,
};
use primroseroute_cell::{Order, Outcome, Question, Tick};
use primroseroute_domain::work::{End, Name};
use primroseroute_platform::worker::Refusal;
use std::collections::BTreeMap;

cases! {
    nothing_starts_before_the_answer => asked_first();
    old_ticket_is_asked_for_again_and_not_used => expired();
    refused_ticket_is_asked_for_again => refused();
    forbidden_worker_is_asked_about_once => forbidden();
    question_without_an_answer_is_repeated_after_a_pause => unanswered();
}

/// Milliseconds for which a ticket is valid.
const VALID: u64 = 3_000;

fn open(workers: &[&str]) -> Bed {
    let mut bed = Bed::new(workers);
    bed.cell.advised(["queue".into()].into());
    bed
}

fn only(tick: &Tick) -> Question {
    assert_eq!(tick.questions.len(), 1, "{:?}", tick.questions);
    tick.questions[0].clone()
}

/// Answers a question: all workers but `forbidden` may run the step.
fn answer(bed: &mut Bed, question: &Question, forbidden: &[&str]) {
    let allowed = question.workers.iter();
    let allowed = allowed.filter(|worker| !forbidden.contains(&&***worker));
    let now = bed.now;
    let tickets: BTreeMap<Name, Name> = allowed
        .map(|worker| (Name::clone(worker), format!("{worker}@{now}").into()))
        .collect();
    bed.cell.advice(question, Some((tickets, VALID)), now, now);
}

fn tickets(tick: &Tick) -> Vec<Option<Name>> {
    let orders = tick.orders.iter();
    let tickets = orders.filter_map(|order| match order {
        Order::Start { ticket, .. } => Some(ticket.clone()),
        _ => None,
    });
    tickets.collect()
}

fn asked_first() {
    let mut bed = open(&["w-1", "w-2"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), []);
    let question = only(&tick);
    assert_eq!(question.workers.len(), 2);
    assert_eq!(bed.round().questions, [], "asked twice");
    answer(&mut bed, &question, &["w-1"]);
    let tick = bed.round();
    assert_eq!(tickets(&tick), [Some("w-2@0".into())]);
}

/// Two tasks share a worker, one after the other; the second one's turn comes when the ticket is too
/// old for its start to arrive in time.
fn expired() {
    let mut bed = open(&["w-1"]);
    let id = bed.accept(job(vec![step(2, 9_000)]));
    let question = only(&bed.round());
    answer(&mut bed, &question, &[]);
    assert_eq!(starts(&bed.tick()).len(), 1);
    bed.after(VALID - 200);
    bed.end(&"w-1".into(), &task(&id, 0, 0), End::Done);
    bed.look();
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), []);
    let question = only(&tick);
    answer(&mut bed, &question, &[]);
    assert_eq!(tickets(&bed.round()), [Some("w-1@2800".into())]);
}

fn refused() {
    let mut bed = open(&["w-1"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    let question = only(&bed.round());
    answer(&mut bed, &question, &[]);
    assert_eq!(starts(&bed.round().orders).len(), 1);
    let outcome = Outcome::Refused(Refusal::Ticket);
    let worker = "w-1".into();
    bed.cell
        .answered(&worker, &task(&id, 0, 0), 1, outcome, bed.now);
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), []);
    only(&tick);
}

fn forbidden() {
    let mut bed = open(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let question = only(&bed.round());
    answer(&mut bed, &question, &["w-1"]);
    bed.after(VALID);
    let tick = bed.round();
    assert_eq!((starts(&tick.orders), tick.questions), (vec![], vec![]));
    bed.cell.register(crate::bed::worker("w-2"));
    bed.running.insert("w-2".into(), BTreeMap::new());
    bed.look();
    assert_eq!(only(&bed.round()).workers, ["w-2".into()]);
}

fn unanswered() {
    let mut bed = open(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let question = only(&bed.round());
    bed.cell.advice(&question, None, bed.now, bed.now);
    assert_eq!(bed.round().questions, []);
    bed.after(250);
    assert_eq!(only(&bed.round()), question);
}
