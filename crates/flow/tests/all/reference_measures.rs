//! Compares incremental statistics with values computed from the whole history.

use crate::fixture::{check, ms, name};
use primroseroute_flow::{
    demand::Meter,
    health::{Health, PoolStats, Sample, Status},
    limits::Limits,
    request::AttemptOutcome,
    retry::{self, Budget},
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn the_retry_budget_is_what_first_attempts_paid_for() {
    check(
        200,
        &prop::collection::vec(any::<bool>(), 1..300),
        |attempts| {
            let limits = Limits::default();
            let mut budget = Budget::new(&limits);
            // Counted in fifths of a token, so that sums are exact.
            let mut fifths: u32 = 50;
            for is_first in attempts {
                if is_first {
                    budget.deposit();
                    fifths = (fifths + 1).min(50);
                } else {
                    assert_eq!(budget.withdraw(), fifths >= 5, "{fifths}");
                    fifths = if fifths >= 5 { fifths - 5 } else { fifths };
                }
            }
        },
    );
}

#[test]
fn backoffs_stay_below_a_doubling_limit() {
    let limits = Limits::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (attempt, upper_bound) in [(1, 10), (2, 20), (3, 40), (6, 250), (40, 250)] {
        let draws: Vec<_> = (0..100)
            .map(|_| retry::backoff(&limits, attempt, &mut rng))
            .collect();
        assert!(draws.iter().all(|draw| *draw <= ms(upper_bound)));
        assert!(
            draws.iter().any(|draw| *draw > ms(upper_bound) / 2),
            "no jitter"
        );
        assert!(
            draws.iter().any(|draw| *draw < ms(upper_bound) / 2),
            "no jitter"
        );
    }
}

#[test]
fn only_safe_attempts_are_retried() {
    let answered = AttemptOutcome::Responded {
        latency: ms(1),
        failure: true,
    };
    let endings = [
        answered,
        AttemptOutcome::NotSent,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
    ];
    let safe = |idempotent| endings.map(|ending| retry::is_safe(ending, idempotent));
    assert_eq!(safe(false), [false, true, false, false, false]);
    assert_eq!(safe(true), [false, true, true, false, false]);
}

#[test]
fn demand_is_the_decayed_sum_of_all_arrivals() {
    let arrival = (0..3usize, 0..500u64, 1..100u64);
    check(100, &prop::collection::vec(arrival, 1..100), |arrivals| {
        let mut meter = Meter::default();
        let mut history = Vec::new();
        let mut now = ms(0);
        for (account, gap, cost) in arrivals {
            now += ms(gap);
            let cost = ms(cost).as_secs_f64();
            meter.add(now, &name(&format!("a{account}")), cost);
            history.push((account, now, cost));
        }
        for (account, measured) in meter.read(now) {
            let own = history
                .iter()
                .filter(|(of, ..)| account.as_str() == format!("a{of}"));
            let decayed = own
                .map(|(_, at, cost)| cost * (-now.saturating_sub(*at).as_secs_f64() / 2.0).exp());
            let sum: f64 = decayed.sum();
            assert!((measured - sum / 2.0).abs() < 1e-9);
        }
    });
}

/// Evaluates the newest sample from the whole history since the worker was last readmitted.
fn is_failing(history: &[Sample], pool_stats: &PoolStats, limits: &Limits) -> bool {
    let is_bad = |sample: &&Sample| **sample == Sample::Failure;
    let consecutive = history.iter().rev().take_while(is_bad).count();
    let weight = |age: usize| 0.98_f64.powi(i32::try_from(age).expect("short"));
    let by_age = || history.iter().rev().enumerate();
    let all: f64 = by_age().map(|(age, _)| weight(age)).sum();
    let bad: f64 = by_age()
        .filter(|(_, s)| is_bad(s))
        .map(|(age, _)| weight(age))
        .sum();
    let pool = pool_stats.failure_ratio.value().unwrap_or(0.0);
    let good = history.iter().filter_map(|sample| match sample {
        Sample::Success(latency) => Some(latency.as_secs_f64()),
        Sample::Failure => None,
    });
    let good: Vec<_> = good.collect();
    let mean = good
        .iter()
        .copied()
        .reduce(|mean, next| mean + 0.05 * (next - mean));
    let is_slow = good.len() >= 20
        && pool_stats.latency.is_known()
        && mean.is_some_and(|mean| mean > limits.slow_factor * pool_stats.latency.seconds());
    consecutive >= 5 || (all >= 20.0 && bad / all > pool + 0.3) || is_slow
}

#[test]
fn health_matches_an_evaluation_of_the_whole_history() {
    let sample = prop_oneof![
        3 => (1..90u64).prop_map(|latency| Sample::Success(ms(latency))),
        2 => Just(Sample::Failure),
    ];
    let samples = prop::collection::vec(sample, 1..80);
    check(300, &(samples, 5..40u64), |(samples, latency)| {
        let limits = Limits::default();
        let mut pool_stats = PoolStats::default();
        (0..100).for_each(|at| pool_stats.failure_ratio.add(at % 10 == 0));
        pool_stats.latency.add(ms(latency));
        let mut health = Health::default();
        let mut history = Vec::new();
        for sample in samples {
            history.push(sample);
            let failing = is_failing(&history, &pool_stats, &limits);
            assert_eq!(
                health.record(sample, &pool_stats, &limits),
                failing,
                "{history:?}"
            );
        }
    });
}

#[test]
fn ejections_double_up_to_a_limit_and_a_successful_probe_ends_them() {
    let limits = Limits::default();
    let mut health = Health::default();
    let mut now = ms(0);
    for seconds in [2, 4, 8, 16, 30, 30] {
        let until = health.eject(now, &limits);
        assert_eq!(until.saturating_sub(now).as_secs(), seconds);
        health.allow_probe(until.saturating_sub(ms(1)));
        assert_eq!(health.status(), Status::Ejected(until));
        health.allow_probe(until);
        assert_eq!(health.status(), Status::Probing);
        assert!(health.record(Sample::Failure, &PoolStats::default(), &limits));
        now = until;
    }
    health.eject(now, &limits);
    health.allow_probe(now + ms(30_000));
    assert!(!health.record(Sample::Success(ms(5)), &PoolStats::default(), &limits));
    assert_eq!(health.status(), Status::Healthy);
}

#[test]
fn successes_offset_ejections() {
    let limits = Limits::default();
    let pool_stats = PoolStats::default();
    let mut health = Health::default();
    for seconds in [2, 4, 8] {
        assert_eq!(health.eject(ms(0), &limits), ms(1_000 * seconds));
    }
    health.allow_probe(ms(8_000));
    for _ in 0..=200 {
        assert!(!health.record(Sample::Success(ms(5)), &pool_stats, &limits));
    }
    assert_eq!(health.eject(ms(0), &limits), ms(4_000));
}
