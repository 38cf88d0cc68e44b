//! Which instances rest when a group of instances changes its holder.

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

/// The group had no holder before, or the same entry held it.
#[test]
fn nothing_rests_where_nobody_else_has_ordered() {
    let now = Instant::now();
    let rest = Rest::after(&holder(None, None), PAUSE, now);
    assert!(rest.may_order(&"i-1".into(), now));
    assert_eq!(rest.remaining(now), Some(BTreeMap::new()));
}

/// The previous holder has died: what it ordered last is unknown.
#[test]
fn all_rest_after_a_holder_that_died() {
    let now = Instant::now();
    let rest = Rest::after(&holder(Some("e-1"), None), PAUSE, now);
    let name = Name::from("i-1");
    assert!(!rest.may_order(&name, now + PAUSE));
    assert!(rest.may_order(&name, now + PAUSE + SLACK));
    assert_eq!(rest.remaining(now + PAUSE), None);
    assert_eq!(rest.remaining(now + PAUSE + SLACK), Some(BTreeMap::new()));
}

/// The previous holder has released the group half a second after its order to one of the
/// instances: only that one rests, and a third holder is told of it too.
#[test]
fn only_what_was_ordered_rests_after_a_release() {
    let begin = Instant::now();
    let mut first = Rest::after(&holder(None, None), PAUSE, begin);
    first.record_order(&"i-1".into(), PAUSE, begin);
    let released_at = begin + Duration::from_millis(500);
    let left = first.remaining(released_at).expect("all is known");
    assert_eq!(left, [("i-1".into(), 2_501)].into());
    let second = Rest::after(
        &holder(Some("e-1"), Some(&[("i-1", 2_501)])),
        PAUSE,
        released_at,
    );
    assert!(second.may_order(&"i-2".into(), released_at));
    assert!(!second.may_order(&"i-1".into(), begin + PAUSE));
    assert!(second.may_order(
        &"i-1".into(),
        begin + PAUSE + SLACK + Duration::from_millis(1)
    ));
    let stated = second.remaining(released_at).expect("all is known");
    assert_eq!(stated.keys().collect::<Vec<_>>(), [&Name::from("i-1")]);
}

/// An entry dies, comes back within the pause, and is told to stop at once. It may order again
/// itself what it had ordered before; what that was it can't tell the next holder, for which all
/// instances rest.
#[test]
fn restarted_entry_does_not_know_its_earlier_orders() {
    let now = Instant::now();
    let rest = Rest::after(&holder(Some("e-1"), Some(&[])), PAUSE, now);
    let next = rest.for_successor(false, PAUSE, now);
    assert!(rest.may_order(&"i-1".into(), now));
    assert_eq!(next.remaining(now + Duration::from_secs(1)), None);
    assert_eq!(next.remaining(now + PAUSE), Some(BTreeMap::new()));
    assert_eq!(rest.for_successor(true, PAUSE, now), rest);
}

/// An implausible row makes nothing rest for longer than the pause.
#[test]
fn nothing_rests_for_longer_than_the_pause() {
    let now = Instant::now();
    let rest = Rest::after(&holder(Some("e-1"), Some(&[("i-1", u64::MAX)])), PAUSE, now);
    assert!(rest.may_order(&"i-1".into(), now + PAUSE + SLACK));
}
