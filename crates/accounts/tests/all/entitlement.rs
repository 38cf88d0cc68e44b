//! Which jobs of an account are within its entitlement.

use crate::cases;
use primroseroute_accounts::entitlement::{Bucket, Entitlements, Mark};
use primroseroute_domain::work::Name;
use proptest::{collection::vec, prelude::*};

cases! {
    weights_that_are_no_positive_numbers_entitle_to_nothing => no_entitlement();
    /// A weight below 1 would never have a whole job.
    account_with_a_small_weight_gets_one_job_at_a_time => small_weight();
    /// After a clock was set back by an hour, the account would get nothing for an hour.
    clock_that_is_set_back_starves_no_account => set_back();
    /// A time far ahead would fill the bucket beyond a second's entitlement.
    clock_that_jumps_ahead_adds_one_second_at_most => jump_ahead();
    /// Each new configuration would grant the burst once more.
    changed_weights_do_not_refill_buckets => changed_weights();
    removed_account_is_entitled_to_nothing => removed();
}

/// The times of those jobs that are within the entitlement.
fn within(bucket: &mut Bucket, times: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let times = times.into_iter();
    times
        .filter(|at| bucket.mark(*at) == Mark::Within)
        .collect()
}

fn count(bucket: &mut Bucket, times: impl IntoIterator<Item = u64>) -> usize {
    within(bucket, times).len()
}

fn no_entitlement() {
    for weight in [0.0, -0.0, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(Bucket::new(weight), None, "{weight}");
    }
    let name = Name::from("a");
    let mut accounts = Entitlements::default();
    accounts.set_weights([(&name, f64::NAN)].into_iter());
    assert_eq!(accounts.mark(&name, 1), Mark::Beyond);
}

fn small_weight() {
    let mut bucket = Bucket::new(0.5).expect("positive");
    assert_eq!(
        within(&mut bucket, (0..8_000).step_by(100)),
        [0, 2_000, 4_000, 6_000]
    );
}

fn set_back() {
    let hour = 3_600_000;
    let mut bucket = Bucket::new(10.0).expect("positive");
    assert_eq!(count(&mut bucket, [2 * hour; 20]), 10);
    let after = (hour..hour + 2_000).step_by(50);
    assert_eq!(count(&mut bucket, after), 19);
    // A job that is counted late adds nothing.
    assert_eq!(count(&mut bucket, [hour + 1_000; 20]), 0);
}

fn jump_ahead() {
    let mut bucket = Bucket::new(10.0).expect("positive");
    assert_eq!(count(&mut bucket, [0; 20]), 10);
    assert_eq!(count(&mut bucket, [u64::MAX; 20]), 10);
}

fn changed_weights() {
    let name = Name::from("a");
    let mut accounts = Entitlements::default();
    let set = |accounts: &mut Entitlements, weight| {
        accounts.set_weights([(&name, weight)].into_iter());
    };
    let within = |accounts: &mut Entitlements| {
        let marks = (0..50).map(|_job| accounts.mark(&name, 0));
        marks.filter(|mark| *mark == Mark::Within).count()
    };
    set(&mut accounts, 10.0);
    assert_eq!(accounts.mark(&name, 0), Mark::Within);
    set(&mut accounts, 4.0);
    set(&mut accounts, 20.0);
    assert_eq!(within(&mut accounts), 4);
    set(&mut accounts, 10.0);
    assert_eq!(within(&mut accounts), 0);
}

fn removed() {
    let name = Name::from("a");
    let mut accounts = Entitlements::default();
    accounts.set_weights([(&name, 5.0)].into_iter());
    assert!(accounts.includes(&name));
    accounts.set_weights(std::iter::empty());
    assert!(!accounts.includes(&name));
    assert_eq!(accounts.mark(&name, 10), Mark::Beyond);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// In each window of 5 s an account gets its entitlement and no more, but for the bucket's
    /// capacity.
    #[test]
    fn entitlement_holds_in_each_window(
        weight in 0.2..300.0,
        gaps in vec(0_u64..40, 500..1_200),
    ) {
        let mut bucket = Bucket::new(weight).expect("positive");
        let mut at = 0;
        let times = gaps.iter().map(|gap| {
            at += gap;
            at
        });
        let times = within(&mut bucket, times);
        for (first, from) in times.iter().enumerate() {
            let jobs = times[first..].partition_point(|at| *at < from + 5_000);
            let at_most = weight * 5.0 * 1.02 + weight.max(1.0);
            prop_assert!((jobs as f64) <= at_most, "{} of {}", jobs, at_most);
        }
    }

    /// However much the others submit, each account that submits no less than its entitlement gets
    /// it.
    #[test]
    fn no_account_is_starved(
        weights in vec(0.2..150.0, 2..6),
        flood in 2_u64..8,
    ) {
        let names: Vec<Name> = (0..weights.len()).map(|at| format!("a{at}").into()).collect();
        let mut accounts = Entitlements::default();
        accounts.set_weights(names.iter().zip(weights.iter().copied()));
        let mut granted = vec![0_u32; names.len()];
        for at in (0..10_000).step_by(4) {
            for (number, name) in names.iter().enumerate() {
                let times = if number == 0 { flood } else { 1 };
                for _job in 0..times {
                    let is_within = accounts.mark(name, at) == Mark::Within;
                    granted[number] += u32::from(is_within);
                }
            }
        }
        for (granted, weight) in granted.iter().zip(&weights) {
            prop_assert!(f64::from(*granted) >= weight * 10.0 * 0.98 - 1.0);
        }
    }
}
