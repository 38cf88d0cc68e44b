//! Which instances rest when a group of instances changes hands.

use primroseroute_cell::row::Owner;
use primroseroute_domain::work::Name;
use primroseroute_owner::rest::{Rest, SLACK};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const PAUSE: Duration = Duration::from_secs(3);

fn holder(after: Option<&str>, resting: Option<&[(&str, u64)]>) -> Owner {
    let resting = resting.map(|known| {
        let known = known.iter();
        known
            .map(|(name, left)| (Name::from(*name), *left))
            .collect()
    });
    Owner {
        entry: "e-2".into(),
        incarnation: 1,
        attempt: 1,
        released: false,
        after: after.map(Name::from),
        resting,
    }
}

/// Nobody held the group before, or the same entry did.
#[test]
fn nothing_rests_where_nobody_else_has_ordered() {
    let now = Instant::now();
    let rest = Rest::of(&holder(None, None), PAUSE, now);
    assert!(rest.is_over(&"i-1".into(), now));
    assert_eq!(rest.left(now), Some(BTreeMap::new()));
}

/// The holder before has died: what it has ordered last isn't known.
#[test]
fn all_rest_after_a_holder_that_died() {
    let now = Instant::now();
    let rest = Rest::of(&holder(Some("e-1"), None), PAUSE, now);
    let name = Name::from("i-1");
    assert!(!rest.is_over(&name, now + PAUSE));
    assert!(rest.is_over(&name, now + PAUSE + SLACK));
    assert_eq!(rest.left(now + PAUSE), None);
    assert_eq!(rest.left(now + PAUSE + SLACK), Some(BTreeMap::new()));
}

/// The holder before has given the group up, half a second after its order to one of the instances: only that
/// one rests, and a third holder is told of it too.
#[test]
fn only_what_was_ordered_rests_after_a_holder_that_gave_up() {
    let begin = Instant::now();
    let mut first = Rest::of(&holder(None, None), PAUSE, begin);
    first.ordered(&"i-1".into(), PAUSE, begin);
    let given_up = begin + Duration::from_millis(500);
    let left = first.left(given_up).expect("all is known");
    assert_eq!(left, [("i-1".into(), 2_501)].into());
    let second = Rest::of(
        &holder(Some("e-1"), Some(&[("i-1", 2_501)])),
        PAUSE,
        given_up,
    );
    assert!(second.is_over(&"i-2".into(), given_up));
    assert!(!second.is_over(&"i-1".into(), begin + PAUSE));
    assert!(second.is_over(
        &"i-1".into(),
        begin + PAUSE + SLACK + Duration::from_millis(1)
    ));
    let told = second.left(given_up).expect("all is known");
    assert_eq!(told.keys().collect::<Vec<_>>(), [&Name::from("i-1")]);
}

/// An entry dies and comes back within the pause, and is told to stop at once. It may order itself what it had ordered before;
/// what that was it can't tell the next holder, for which all instances rest.
#[test]
fn entry_that_comes_back_knows_not_what_it_had_ordered() {
    let now = Instant::now();
    let rest = Rest::of(&holder(Some("e-1"), Some(&[])), PAUSE, now);
    let next = rest.handed_on(false, PAUSE, now);
    assert!(rest.is_over(&"i-1".into(), now));
    assert_eq!(next.left(now + Duration::from_secs(1)), None);
    assert_eq!(next.left(now + PAUSE), Some(BTreeMap::new()));
    assert_eq!(rest.handed_on(true, PAUSE, now), rest);
}

/// A row that can't be right makes nothing rest for longer than the pause.
#[test]
fn nothing_rests_for_longer_than_the_pause() {
    let now = Instant::now();
    let rest = Rest::of(&holder(Some("e-1"), Some(&[("i-1", u64::MAX)])), PAUSE, now);
    assert!(rest.is_over(&"i-1".into(), now + PAUSE + SLACK));
}
