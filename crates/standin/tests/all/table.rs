//! The table's transactions and scans.

use crate::cases;
use bytes::Bytes;
use primroseroute_platform::table::{Commit, Condition, Key, Revision, Scan, Table, Txn, Write};
use primroseroute_standin::platform::{Options, Platform};

pub fn put(key: &str, value: &str) -> Write {
    Write::Put(key.into(), Bytes::copy_from_slice(value.as_bytes()))
}

pub fn writes(writes: Vec<Write>) -> Txn {
    Txn {
        conditions: Vec::new(),
        writes,
    }
}

pub fn open() -> Platform {
    Platform::open(1, Options::default())
}

pub async fn value(platform: &Platform, key: &str) -> Option<String> {
    let row = platform.read(&key.into()).await.expect("no fault is set")?;
    Some(String::from_utf8_lossy(&row.value).into_owned())
}

async fn keys(
    platform: &Platform,
    prefix: &str,
    after: Option<&str>,
    limit: u32,
) -> (String, bool) {
    let scan = Scan {
        prefix: prefix.into(),
        after: after.map(Key::from),
        limit,
    };
    let page = platform.scan(scan).await.expect("no fault is set");
    let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_ref()).collect();
    (keys.join(" "), page.more)
}

async fn all_or_nothing() {
    let platform = open();
    let first = platform
        .commit(writes(vec![put("a", "1"), put("b", "1")]))
        .await;
    assert_eq!(first, Ok(Commit::Committed(Revision(1))));
    let txn = Txn {
        conditions: vec![
            Condition::At("a".into(), Revision(1)),
            Condition::Absent("b".into()),
        ],
        writes: vec![put("a", "2"), Write::Delete("b".into())],
    };
    assert_eq!(
        platform.commit(txn.clone()).await,
        Ok(Commit::Conflict("b".into()))
    );
    assert_eq!(value(&platform, "a").await.as_deref(), Some("1"));
    let allowed = Txn {
        conditions: vec![Condition::At("a".into(), Revision(1))],
        ..txn
    };
    assert_eq!(
        platform.commit(allowed.clone()).await,
        Ok(Commit::Committed(Revision(2)))
    );
    assert_eq!(value(&platform, "b").await, None);
    assert_eq!(
        platform.commit(allowed).await,
        Ok(Commit::Conflict("a".into()))
    );
}

async fn scans_by_prefix() {
    let platform = open();
    let rows = ["b/1", "a", "b/2", "b/3", "b0", "b/"].map(|key| put(key, "x"));
    platform
        .commit(writes(rows.to_vec()))
        .await
        .expect("no fault is set");
    assert_eq!(
        keys(&platform, "b/", None, 9).await,
        ("b/ b/1 b/2 b/3".into(), false)
    );
    assert_eq!(
        keys(&platform, "b/", None, 4).await,
        ("b/ b/1 b/2 b/3".into(), false)
    );
    assert_eq!(
        keys(&platform, "b/", Some("b/1"), 1).await,
        ("b/2".into(), true)
    );
    assert_eq!(
        keys(&platform, "b/", Some("a"), 1).await,
        ("b/".into(), true)
    );
    assert_eq!(
        keys(&platform, "b/", Some("b/3"), 9).await,
        (String::new(), false)
    );
}

cases! {
    transactions_write_all_or_nothing => all_or_nothing();
    scans_stay_inside_prefix_and_limit => scans_by_prefix();
}
