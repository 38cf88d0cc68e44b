//! Keys and the accounts that they belong to.

use crate::cases;
use primroseroute_accounts::{
    Account, Fault, check,
    key::{Digest, Ring},
};
use primroseroute_domain::work::Demand;

cases! {
    key_finds_its_account => found();
    unknown_key_finds_nothing => unknown();
    /// A log line with a digest would let a key be guessed offline.
    digest_is_not_printed => not_printed();
    accounts_with_the_same_key_are_rejected => shared_key();
    account_that_is_listed_twice_is_rejected => repeated();
    key_that_an_account_lists_twice_is_accepted => listed_twice();
}

fn account(name: &str, keys: &[&str]) -> Account {
    let digest = |key: &&str| Digest::of(key.as_bytes());
    Account {
        name: name.into(),
        keys: keys.iter().map(digest).collect(),
        weight: 1.0,
        maximum: Demand::default(),
    }
}

fn ring() -> Ring<usize> {
    let mut ring = Ring::default();
    for number in 0..40 {
        ring.add(Digest::of(format!("key-{number}").as_bytes()), number);
    }
    ring
}

fn found() {
    let ring = ring();
    for number in 0..40 {
        let digest = Digest::of(format!("key-{number}").as_bytes());
        assert_eq!(ring.find(&digest), Some(&number));
    }
}

fn unknown() {
    for key in ["", "key-", "key-40", "KEY-1", "key-1 "] {
        assert_eq!(ring().find(&Digest::of(key.as_bytes())), None, "{key}");
    }
}

fn not_printed() {
    assert_eq!(format!("{:?}", Digest::of(b"key")), "Digest");
    let shown = format!("{:?}", account("a", &["secret-key"]));
    assert!(
        !shown.contains("secret") && shown.contains("Digest"),
        "{shown}"
    );
}

fn shared_key() {
    let accounts = [account("a", &["k", "l"]), account("b", &["m", "l"])];
    let fault = Fault::SharedKey("a".into(), "b".into());
    assert_eq!(check(&accounts), Err(fault));
}

fn repeated() {
    let accounts = [account("a", &["k"]), account("a", &["l"])];
    assert_eq!(check(&accounts), Err(Fault::Repeated("a".into())));
}

fn listed_twice() {
    assert_eq!(
        check(&[account("a", &["k", "k"]), account("b", &[])]),
        Ok(())
    );
}
