//! Compares worker selection with a scan of all workers.

use crate::fixture::{check, view, worker};
use primroseroute_domain::instance::State;
use primroseroute_flow::{
    health::{Health, Status},
    limits::Limits,
    worker::{Index, Preferences, Set, Worker},
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Quota(usize, u32),
    InFlight(usize, u32),
    State(usize, bool),
    Leave(usize),
    Eject(usize),
    HalfOpen(usize),
    Choose(bool, Vec<usize>),
}

fn step(workers: usize) -> impl Strategy<Value = Step> {
    let at = 0..workers;
    prop_oneof![
        (at.clone(), 0..9u32).prop_map(|(at, quota)| Step::Quota(at, quota)),
        (at.clone(), 0..4u32).prop_map(|(at, count)| Step::InFlight(at, count)),
        (at.clone(), any::<bool>()).prop_map(|(at, serves)| Step::State(at, serves)),
        at.clone().prop_map(Step::Leave),
        at.clone().prop_map(Step::Eject),
        at.clone().prop_map(Step::HalfOpen),
        (any::<bool>(), prop::collection::vec(at, 0..3)).prop_map(|(i, t)| Step::Choose(i, t)),
    ]
}

const UNTIL: Duration = Duration::from_secs(2);

fn replay(steps: Vec<Step>, workers: usize) {
    let members = view(workers, 1).members;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut set = Set::default();
    for at in 0..workers {
        set.upsert(&worker(at), members[&worker(at)].clone());
    }
    for step in steps {
        let index = |set: &Set, at| set.find(&worker(at)).unwrap_or(usize::MAX);
        match step {
            Step::Quota(at, quota) => change(&mut set, at, |worker| worker.quota = quota),
            Step::InFlight(at, count) => change(&mut set, at, |worker| worker.in_flight = count),
            Step::Leave(at) => change(&mut set, at, |worker| worker.is_in_view = false),
            Step::HalfOpen(at) => change(&mut set, at, |worker| worker.health.allow_probe(UNTIL)),
            Step::Eject(at) => change(&mut set, at, |worker| {
                // The first ejection lasts 2 s, so it ends at `UNTIL`.
                if worker.health.status() == Status::Healthy {
                    worker.health = Health::default();
                    worker.health.eject(Duration::ZERO, &Limits::default());
                }
            }),
            Step::State(at, serves) => {
                let mut member = members[&worker(at)].clone();
                member.state = if serves {
                    State::Serving
                } else {
                    State::Draining
                };
                set.upsert(&worker(at), member);
            }
            Step::Choose(idempotent, tried) => {
                let tried: Vec<_> = tried.into_iter().map(|at| index(&set, at)).collect();
                let preferences = Preferences {
                    idempotent,
                    tried: &tried,
                };
                compare(
                    &set,
                    preferences,
                    set.choose(preferences, &mut rng),
                    workers,
                );
            }
        }
        let free = set.iter().any(|worker| free(worker) > 0);
        assert_eq!(set.has_free_slot(), free);
        let open = set
            .iter()
            .filter(|worker| worker.is_serving() && !worker.is_ejected());
        assert_eq!(
            set.totals().slots,
            open.map(|worker| worker.quota).sum::<u32>()
        );
    }
}

fn change(set: &mut Set, at: usize, change: impl FnOnce(&mut Worker)) {
    if let Some(index) = set.find(&worker(at)) {
        set.change(index, change);
    }
}

/// Number of requests that a worker could accept now.
fn free(worker: &Worker) -> u32 {
    let free = worker.quota.saturating_sub(worker.in_flight);
    match worker.health.status() {
        _ if !worker.is_in_view || worker.member.state != State::Serving => 0,
        Status::Healthy => free,
        Status::Probing if worker.in_flight == 0 => free.min(1),
        Status::Probing | Status::Ejected(_) => 0,
    }
}

fn compare(set: &Set, preferences: Preferences<'_>, chosen: Option<Index>, workers: usize) {
    let known = (0..workers).filter_map(|at| set.find(&worker(at)));
    let free_at = |index: &Index| set.get(*index).map_or(0, free);
    let available: Vec<Index> = known.filter(|index| free_at(index) > 0).collect();
    let Some(chosen) = chosen else {
        assert!(available.is_empty());
        return;
    };
    assert!(available.contains(&chosen));
    let untried: Vec<Index> = available
        .into_iter()
        .filter(|at| !preferences.tried.contains(at))
        .collect();
    if untried.is_empty() {
        return;
    }
    assert!(
        untried.contains(&chosen),
        "chose a worker that has failed the request"
    );
    let is_probe = |index: &Index| set.get(*index).is_some_and(Worker::is_ejected);
    let has_probe = untried.iter().any(is_probe);
    let only_probes = untried.iter().all(is_probe);
    if !preferences.tried.is_empty() {
        return;
    }
    if has_probe && (preferences.idempotent || only_probes) {
        assert!(
            is_probe(&chosen),
            "an idempotent request must go to the probe first"
        );
        return;
    }
    let max_free = untried.iter().filter(|at| !is_probe(at)).map(free_at).max();
    assert!(!is_probe(&chosen));
    assert_eq!(Some(free_at(&chosen)), max_free);
}

#[test]
fn selection_matches_a_full_scan() {
    let steps = prop::collection::vec(step(6), 1..120);
    check(400, &steps, |steps| replay(steps, 6));
}

#[test]
fn a_retry_goes_to_another_rack_and_zone_if_one_is_free() {
    let members = view(24, 1).members;
    let mut set = Set::default();
    for (id, member) in &members {
        let index = set.upsert(id, member.clone());
        set.change(index, |worker| worker.quota = 1);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let failed = set
            .choose(
                Preferences {
                    idempotent: true,
                    tried: &[],
                },
                &mut rng,
            )
            .expect("free");
        let tried = [failed];
        let next = set.choose(
            Preferences {
                idempotent: true,
                tried: &tried,
            },
            &mut rng,
        );
        let location = |index| &set.get(index).expect("known").member;
        assert_ne!(location(failed).zone, location(next.expect("free")).zone);
    }
}
