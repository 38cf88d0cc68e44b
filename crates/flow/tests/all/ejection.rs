//! Ejection of failing workers.

use crate::fixture::{arrival, bad, good, ms, pool, sent, view, worker};
use primroseroute_domain::{id, instance::State};
use primroseroute_flow::{limits::Limits, pool::Pool, request::AttemptOutcome};
use std::{collections::BTreeSet, time::Duration};

/// Sends a request, ends it with `ending`, and returns the instance that it was sent to.
fn serve(
    pool: &mut Pool,
    now: Duration,
    request: u64,
    ending: impl Fn(&id::Instance) -> AttemptOutcome,
) -> id::Instance {
    let mut idempotent = arrival(request, now + ms(1_000));
    idempotent.idempotent = true;
    let (_, instance) = sent(&pool.arrive(now, idempotent)).remove(0);
    pool.finish(now + ms(1), request, ending(&instance));
    instance
}

/// Guards against a worker that attracts most of the load by failing fast, so that most requests
/// fail: it responds immediately with 500 and therefore always has free slots.
#[test]
fn a_worker_that_fails_all_requests_receives_few() {
    let mut pool = pool(10, 1, Limits::default());
    let fails = |at: &id::Instance| if *at == worker(3) { bad() } else { good(5) };
    let hits = |pool: &mut Pool, from: u64, to: u64| {
        let drawn = (from..to).filter(|at| serve(pool, ms(10 * at), *at, fails) == worker(3));
        drawn.count()
    };
    hits(&mut pool, 0, 500);
    assert_eq!(pool.ejected(), [worker(3)]);
    assert_eq!((pool.totals().serving, pool.totals().ejected), (10, 1));
    // From 5 s to 15 s: at most one probe after each ejection, which double from 2 s.
    assert!(hits(&mut pool, 500, 1_500) <= 2);
}

/// Guards against the failure of a whole service when a common fault, such as a bad release, ejects
/// all workers one after the other and overloads the last ones.
#[test]
fn a_common_fault_ejects_at_most_half_of_the_pool() {
    let mut pool = pool(10, 1, Limits::default());
    for request in 0..1_000 {
        serve(&mut pool, ms(request), request, |_| bad());
    }
    let late: BTreeSet<_> = (1_000..1_100)
        .map(|at| serve(&mut pool, ms(at), at, |_| bad()))
        .collect();
    assert_eq!(late.len(), 5);
}

/// Guards against ejection of healthy workers by callers with a timeout header of 1 ms, which would
/// lead to 503 responses for all callers.
#[test]
fn short_timeouts_do_not_eject_workers() {
    let mut pool = pool(4, 1, Limits::default());
    for request in 0..100 {
        serve(&mut pool, ms(request), request, |_| good(50));
    }
    for request in 100..200 {
        let now = ms(10 * request);
        assert_eq!(
            sent(&pool.arrive(now, arrival(request, now + ms(1)))).len(),
            1
        );
        pool.finish(now + ms(1), request, AttemptOutcome::TimedOut);
    }
    let used: BTreeSet<_> = (200..300)
        .map(|at| serve(&mut pool, ms(2_200), at, |_| good(50)))
        .collect();
    assert_eq!(used.len(), 4);
}

#[test]
fn a_probe_is_one_request_and_readmits_the_worker() {
    let mut pool = pool(2, 1, Limits::default());
    for request in 0..40 {
        serve(&mut pool, ms(request), request, |at| {
            if *at == worker(0) { bad() } else { good(5) }
        });
    }
    let now = ms(2_100);
    let mut probe = arrival(100, ms(9_000));
    probe.idempotent = true;
    assert_eq!(sent(&pool.arrive(now, probe.clone()))[0].1, worker(0));
    probe.request = 101;
    assert_eq!(sent(&pool.arrive(now, probe))[0].1, worker(1));
    pool.finish(now, 100, good(5));
    pool.finish(now, 101, good(5));
    let used: BTreeSet<_> = (200..220)
        .map(|at| serve(&mut pool, now, at, |_| good(5)))
        .collect();
    assert_eq!(used.len(), 2);
}

#[test]
fn a_non_idempotent_request_is_no_probe_while_another_worker_is_free() {
    let mut pool = pool(2, 1, Limits::default());
    for request in 0..40 {
        serve(&mut pool, ms(request), request, |at| {
            if *at == worker(0) { bad() } else { good(5) }
        });
    }
    let hold = |request| arrival(request, ms(9_000));
    let others: Vec<_> = (100..108)
        .map(|at| sent(&pool.arrive(ms(2_100), hold(at))))
        .collect();
    assert!(others.iter().all(|sent| sent[0].1 == worker(1)));
    assert_eq!(sent(&pool.arrive(ms(2_100), hold(108)))[0].1, worker(0));
    assert!(sent(&pool.arrive(ms(2_100), hold(109))).is_empty());
}

#[test]
fn a_rebooted_worker_starts_with_a_clean_record() {
    let mut pool = pool(2, 1, Limits::default());
    for request in 0..40 {
        serve(&mut pool, ms(request), request, |at| {
            if *at == worker(0) { bad() } else { good(5) }
        });
    }
    let mut rebooting = view(2, 1);
    rebooting
        .members
        .get_mut(&worker(0))
        .expect("a member")
        .state = State::Maintenance;
    pool.apply_view(ms(100), &rebooting);
    pool.apply_view(ms(200), &view(2, 1));
    let used: BTreeSet<_> = (100..140)
        .map(|at| serve(&mut pool, ms(300), at, |_| good(5)))
        .collect();
    assert_eq!(used.len(), 2);
}

/// Guards against workers that run more requests than they have slots. When a caller cancels, the
/// worker continues; if its slot counted as free, a second request would run beside the first, and
/// under overload latencies would rise at all workers until requests time out.
#[test]
fn the_slot_of_a_cancelled_request_is_held() {
    let mut pool = pool(1, 8, Limits::default());
    pool.arrive(ms(0), arrival(1, ms(1_000)));
    pool.finish(ms(100), 1, good(100));
    pool.arrive(ms(100), arrival(2, ms(1_000)));
    pool.arrive(ms(100), arrival(3, ms(5_000)));
    assert!(
        pool.finish(ms(200), 2, AttemptOutcome::Cancelled)
            .is_empty()
    );
    assert_eq!(pool.in_flight(&worker(0)), 1);
    assert!(sent(&pool.tick(ms(399))).is_empty());
    assert_eq!(sent(&pool.tick(ms(400))), [(3, worker(0))]);
}
