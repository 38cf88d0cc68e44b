//! The path of a request through the pool, by example.

use crate::fixture::{arrival, bad, cases, good, ms, pool, refused, sent, view, worker};
use primroseroute_domain::instance::State;
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    request::{Action, AttemptOutcome},
    view::View,
};

#[test]
fn a_request_is_sent_and_its_response_frees_the_slot() {
    let mut pool = pool(1, 8, Limits::default());
    let first = sent(&pool.arrive(ms(0), arrival(1, ms(1_000))));
    assert_eq!(first, [(1, worker(0))]);
    assert!(sent(&pool.arrive(ms(1), arrival(2, ms(1_000)))).is_empty());
    assert_eq!(pool.in_flight(&worker(0)), 1);
    let second = sent(&pool.finish(ms(5), 1, good(5)));
    assert_eq!(second, [(2, worker(0))]);
}

#[test]
fn without_a_serving_instance_requests_are_refused_at_once() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    pool.arrive(ms(0), arrival(2, ms(1_000)));
    let mut draining = view(1, 8);
    draining
        .members
        .get_mut(&worker(0))
        .expect("a member")
        .state = State::Draining;
    assert_eq!(refused(&pool.apply_view(ms(1), &draining)), [(2, 203)]);
    assert_eq!(
        refused(&pool.arrive(ms(2), arrival(3, ms(1_000)))),
        [(3, 203)]
    );
    assert_eq!(pool.in_flight(&worker(0)), 1);
    assert!(pool.finish(ms(3), 1, good(3)).is_empty());
    assert_eq!(pool.in_flight(&worker(0)), 0);
}

#[test]
fn a_full_queue_refuses() {
    let mut pool = pool(
        1,
        8,
        Limits {
            max_queued: 1,
            ..Limits::default()
        },
    );
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    pool.arrive(ms(0), arrival(2, ms(1_000)));
    assert_eq!(
        refused(&pool.arrive(ms(0), arrival(3, ms(1_000)))),
        [(3, 201)]
    );
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_cannot_be_met() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    pool.finish(ms(100), 1, good(100));
    pool.arrive(ms(100), arrival(2, ms(1_000)));
    pool.arrive(ms(100), arrival(3, ms(300)));
    assert_eq!(pool.next_tick(), Some(ms(200)));
    assert_eq!(refused(&pool.tick(ms(200))), [(3, 202)]);
}

#[test]
fn a_lost_response_is_retried_only_if_the_request_is_idempotent() {
    let mut pool = pool(8, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    assert_eq!(
        refused(&pool.finish(ms(1), 1, AttemptOutcome::ConnectionLost)),
        [(1, 302)]
    );
    let mut idempotent = arrival(2, ms(1_000));
    idempotent.idempotent = true;
    let first = sent(&pool.arrive(ms(2), idempotent));
    assert!(
        pool.finish(ms(3), 2, AttemptOutcome::ConnectionLost)
            .is_empty()
    );
    let due = pool.next_tick().expect("a back-off");
    let second = sent(&pool.tick(due));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn an_error_response_is_not_retried() {
    let mut pool = pool(8, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    assert!(pool.finish(ms(1), 1, bad()).is_empty());
    assert_eq!(pool.next_tick(), None);
}

/// Guards against retries that multiply the load of a failing pool by three. Every attempt is lost;
/// without a budget, each of a thousand callers would have two more attempts.
#[test]
fn retries_stay_within_the_budget() {
    let mut pool = pool(8, 1, Limits::default());
    let mut attempts = 0;
    for request in 0..1_000 {
        let now = ms(1_000 * request);
        let mut idempotent = arrival(request, now + ms(900));
        idempotent.idempotent = true;
        let mut actions = pool.arrive(now, idempotent);
        while !sent(&actions).is_empty() {
            attempts += 1;
            pool.finish(now, request, AttemptOutcome::ConnectionLost);
            actions = pool.tick(now + ms(500));
        }
    }
    // A full bucket of 10, plus a fifth of a token from each first attempt except the first, which
    // finds the bucket full.
    assert_eq!(attempts, 1_000 + 10 + 999 / 5);
}

/// Guards against permanent 503 responses after workers have recovered. While responses take longer
/// than the deadlines, the estimate would refuse all requests, and no response would correct it.
#[test]
fn a_request_that_starts_at_once_is_not_refused_by_an_estimate() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(9_000)));
    pool.finish(ms(5_000), 1, good(5_000));
    assert_eq!(
        sent(&pool.arrive(ms(5_000), arrival(2, ms(6_000)))).len(),
        1
    );
    assert_eq!(
        refused(&pool.arrive(ms(5_000), arrival(3, ms(6_000)))),
        [(3, 202)]
    );
}

/// Guards against refusals at the deadline instead of on arrival. The workers have become slower than
/// all deadlines, so no response ever shows how slow they are.
#[test]
fn timed_out_responses_raise_the_estimate() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(0, ms(1_000)));
    pool.finish(ms(10), 0, good(10));
    for request in 1..100 {
        let now = ms(10_000 * request);
        assert_eq!(
            sent(&pool.arrive(now, arrival(request, now + ms(1_000)))).len(),
            1
        );
        pool.finish(now + ms(1_000), request, AttemptOutcome::TimedOut);
    }
    let now = ms(2_000_000);
    pool.arrive(now, arrival(100, now + ms(1_000)));
    assert_eq!(
        refused(&pool.arrive(now, arrival(101, now + ms(500)))),
        [(101, 202)]
    );
}

/// Guards against a worker executing a request that its caller has abandoned. A slot becomes free
/// after the deadline but before the I/O layer's timer has fired.
#[test]
fn nothing_is_sent_after_its_deadline_however_late_the_tick() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    pool.arrive(ms(0), arrival(2, ms(100)));
    let actions = pool.finish(ms(200), 1, good(200));
    assert_eq!(refused(&actions), [(2, 202)]);
    assert!(sent(&actions).is_empty());
}

/// Guards against a "not run" refusal of a request that may have been executed, after which the caller
/// would send it again and it would run twice. The response to the first attempt is lost; the retry
/// finds no connection, no time or no worker, each of which alone would prove that nothing was run.
fn a_failed_retry_is_not_reported_as_not_run(end: impl Fn(&mut Pool) -> Vec<Action>) {
    let mut pool = pool(
        8,
        1,
        Limits {
            max_attempts: 2,
            ..Limits::default()
        },
    );
    let mut idempotent = arrival(1, ms(1_000));
    idempotent.idempotent = true;
    pool.arrive(ms(0), idempotent);
    assert!(
        pool.finish(ms(1), 1, AttemptOutcome::ConnectionLost)
            .is_empty()
    );
    assert_eq!(refused(&end(&mut pool)), [(1, 302)]);
}

cases! {
    a_failed_retry_is_not_reported_as_not_run:
    a_lost_response_then_no_connection(|pool| {
        assert_eq!(sent(&pool.tick(ms(500))).len(), 1);
        pool.finish(ms(501), 1, AttemptOutcome::NotSent)
    });
    a_lost_response_then_no_instance(|pool| pool.apply_view(ms(2), &View::default()));
    a_lost_response_then_no_time(|pool| {
        // 64 other requests occupy every slot for longer than the request can wait.
        (2..66).for_each(|at| assert_eq!(sent(&pool.arrive(ms(1), arrival(at, ms(9_000)))).len(), 1));
        assert!(pool.tick(ms(999)).is_empty());
        pool.tick(ms(1_000))
    });
}
