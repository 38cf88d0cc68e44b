//! Which jobs a gateway accepts.

use primroseroute_admission::{
    Gate, PoolLoad,
    gate::{
        CONFIRMED_MS, Decision, FRESH_MS, Figures, Published, Reason, Size, Submission, share_place,
    },
};
use primroseroute_domain::work::{Demand, JobId, Name};
use proptest::prelude::*;

/// Any number, with the extremes and ordinary values often among them.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0..60_000_u64, any::<u64>()]
}

fn weight() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        0.1..200.0
    ]
}

prop_compose! {
    fn load()(
        rate_cpu in number(),
        within_wait_ms in number(),
        beyond_wait_ms in number(),
        permille in proptest::option::of(any::<u16>()),
    ) -> PoolLoad {
        PoolLoad {
            format: PoolLoad::FORMAT,
            rate_cpu,
            within_wait_ms,
            beyond_wait_ms,
            within_permille: permille.map(|permille| ("a".into(), permille)).into_iter().collect(),
            ..PoolLoad::default()
        }
    }
}

prop_compose! {
    fn size()(chain_ms in number(), objective_ms in number(), work_core_ms in number(), cpu in number()) -> Size {
        let largest_task = Demand { cpu, ..Demand::default() };
        Size { chain_ms, objective_ms, work_core_ms, largest_task }
    }
}

fn id(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("16 digits")
}

fn figures(load: &PoolLoad, age_ms: u64, confirmed_ms: Option<u64>) -> Figures<'_> {
    let version = 1;
    let published = Some(Published {
        load,
        version,
        age_ms,
    });
    Figures {
        published,
        confirmed_ms,
    }
}

/// Decides about the job `number` of the account `a` at `now_ms`.
fn decide(
    gate: &mut Gate,
    weight: f64,
    number: u64,
    size: &Size,
    figures: Figures<'_>,
    now_ms: u64,
) -> Decision {
    let (account, pool): (Name, Name) = ("a".into(), "p".into());
    let id = id(number);
    let submission = Submission {
        account: Some(&account),
        weight,
        pool: &pool,
        id: &id,
    };
    gate.decide(&submission, size, figures, now_ms)
}

proptest! {
    #[test]
    fn nothing_is_rejected_while_waits_are_0(
        load in load(), size in size(), weight in weight(), age in number(), jobs in proptest::collection::vec(any::<u64>(), 1..20),
    ) {
        let idle = PoolLoad { within_wait_ms: 0, beyond_wait_ms: 0, ..load };
        let mut gate = Gate::default();
        for job in jobs {
            let decision = decide(&mut gate, weight, job, &size, figures(&idle, age, Some(0)), 0);
            prop_assert_eq!(decision, Decision::Accept);
        }
    }

    /// A burst beyond the entitlement that keeps out the jobs of an account within it.
    #[test]
    fn waits_beyond_the_entitlement_reject_nothing_within_it(
        load in load(), size in size(), beyond in number(), jobs in proptest::collection::vec(any::<u64>(), 1..20),
    ) {
        let quiet = PoolLoad { within_wait_ms: 0, beyond_wait_ms: beyond, within_permille: [("a".into(), 0)].into(), ..load };
        let mut gate = Gate::default();
        for job in jobs {
            // Work of another account beyond its entitlement is accepted here before.
            decide(&mut gate, 1.0, job, &Size { objective_ms: u64::MAX, ..size }, figures(&quiet, 0, Some(0)), 0);
        }
        let within = PoolLoad { within_permille: [].into(), ..quiet };
        let decision = decide(&mut gate, 1.0, 0, &size, figures(&within, 0, Some(0)), 0);
        prop_assert_eq!(decision, Decision::Accept);
    }

    /// A job that is overtaken again and again by later ones.
    #[test]
    fn lower_hash_is_never_rejected_where_a_higher_one_is_accepted(
        load in load(), size in size(), weight in weight(), age in 0..2 * FRESH_MS, confirmed in proptest::option::of(0..2 * CONFIRMED_MS),
        jobs in proptest::collection::vec(any::<u64>(), 0..10), pair in [any::<u64>(), any::<u64>()],
    ) {
        let figures = figures(&load, age, confirmed);
        let mut gate = Gate::default();
        for job in jobs {
            decide(&mut gate, weight, job, &size, figures, 0);
        }
        let [one, other] = pair;
        let (lower, higher) = if share_place(&id(one)) <= share_place(&id(other)) { (one, other) } else { (other, one) };
        if decide(&mut gate.clone(), weight, higher, &size, figures, 0) == Decision::Accept {
            prop_assert_eq!(decide(&mut gate, weight, lower, &size, figures, 0), Decision::Accept);
        }
    }

    /// An owner that died, or a feed that fails: its last figures would decide for hours.
    #[test]
    fn old_figures_let_through_neither_everything_nor_nothing(
        load in load(), weight in weight(), is_confirmed in any::<bool>(), age in FRESH_MS..,
    ) {
        let load = PoolLoad { within_wait_ms: load.within_wait_ms.max(1), ..load };
        let confirmed = is_confirmed.then_some(0);
        prop_assume!(weight.is_nan() || weight < 1_000.0);
        let mut gate = Gate::default();
        let size = Size { objective_ms: 1_000, ..Size::default() };
        let accepted = (0..10_000_u64).filter(|job| {
            decide(&mut gate, weight, *job, &size, figures(&load, age, confirmed), job * 2) == Decision::Accept
        });
        // 20 s of 500 jobs per second.
        let accepted = accepted.count() as f64;
        let expected = weight.max(0.2) * 20.0;
        prop_assert!(accepted >= 1.0 && accepted >= expected * 0.9, "{} of {}", accepted, expected);
        prop_assert!(accepted <= expected + weight.max(1.0) + 1.0, "{} of {}", accepted, expected);
    }

    #[test]
    fn callers_come_back_after_1_to_30_s(
        load in load(), size in size(), weight in weight(), job in any::<u64>(), age in number(), confirmed in proptest::option::of(number()), now in number(),
    ) {
        let mut gate = Gate::default();
        for _try in 0..3 {
            if let Decision::Reject(rejection) = decide(&mut gate, weight, job, &size, figures(&load, age, confirmed), now) {
                let delay = rejection.retry_after_ms;
                prop_assert!((1_000..=30_000).contains(&delay), "{}", delay);
            }
        }
    }
}

fn with_largest_worker(cpu: u64) -> PoolLoad {
    PoolLoad {
        largest_worker: Demand {
            cpu,
            ..Demand::default()
        },
        ..PoolLoad::default()
    }
}

fn decide_size(load: &PoolLoad, cpu: u64) -> Decision {
    let largest_task = Demand {
        cpu,
        ..Demand::default()
    };
    let size = Size {
        largest_task,
        ..Size::default()
    };
    decide(
        &mut Gate::default(),
        1.0,
        0,
        &size,
        figures(load, u64::MAX, Some(0)),
        0,
    )
}

#[test]
fn task_larger_than_any_worker_is_rejected() {
    let decision = decide_size(&with_largest_worker(8_000), 8_001);
    let is_size =
        |rejection| matches!(rejection, Decision::Reject(found) if found.reason == Reason::Size);
    assert!(is_size(decision), "{decision:?}");
    assert_eq!(
        decide_size(&with_largest_worker(8_000), 8_000),
        Decision::Accept
    );
}

/// An owner that knows no worker yet would have every job rejected.
#[test]
fn unknown_largest_worker_rejects_nothing() {
    assert_eq!(
        decide_size(&with_largest_worker(0), u64::MAX),
        Decision::Accept
    );
}

/// A burst between two publications that is accepted as a whole, since the published wait is short.
#[test]
fn work_accepted_since_the_publication_adds_to_the_wait() {
    let load = PoolLoad {
        rate_cpu: 1_000,
        within_wait_ms: 7_500,
        beyond_wait_ms: 7_500,
        ..PoolLoad::default()
    };
    let size = Size {
        chain_ms: 100,
        objective_ms: 1_000,
        work_core_ms: 1_000,
        ..Size::default()
    };
    let mut gate = Gate::default();
    let accepted = (0..10).filter(|job| {
        decide(&mut gate, 1.0, *job, &size, figures(&load, 0, Some(0)), 0) == Decision::Accept
    });
    assert_eq!(accepted.count(), 3);
}

/// Short jobs go first: most wait for less than the expected time.
#[test]
fn job_within_its_entitlement_is_accepted_while_it_may_be_served() {
    let load = |wait_ms| PoolLoad {
        rate_cpu: 1_000,
        within_wait_ms: wait_ms,
        beyond_wait_ms: wait_ms,
        ..PoolLoad::default()
    };
    let size = Size {
        chain_ms: 100,
        objective_ms: 700,
        ..Size::default()
    };
    let decide = |wait_ms| {
        let load = load(wait_ms);
        let mut gate = Gate::default();
        decide(&mut gate, 1.0, 1, &size, figures(&load, 0, Some(0)), 0)
    };
    assert_eq!(decide(10_000), Decision::Accept);
    assert!(matches!(decide(10_001), Decision::Reject(_)));
}
