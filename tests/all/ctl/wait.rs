//! `--wait` and the status report "in force at every registered entry" only where that is known.

use super::{Fixture, ctl, path_text, stay_template, temp_file};
use crate::cases;
use async_trait::async_trait;
use eyre::Result;
use primroseroute_ctl::exit;
use primroseroute_entry::Components;
use primroseroute_ledger::key;
use primroseroute_platform::{
    error::Error,
    table::{Commit, Key, Page, Row, Scan, Table, Txn},
};
use primroseroute_testbed::{Layout, OPERATOR_TOKEN, Site, platform, platform::fault::Outage};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

cases! {
    wait_that_times_out_is_not_yet => not_yet();
    wait_includes_an_entry_that_has_just_registered => just_registered();
    wait_with_unreadable_registrations_is_not_yet => unread_registrations();
    status_in_an_outage_is_marked_incomplete => status_in_outage();
}

/// One entry is partitioned from store and peers. The change is accepted, but `--wait` must report
/// that it is not in force everywhere, since the unresponsive entry may still serve its old view.
async fn not_yet() -> Result<()> {
    let fixture = Fixture::open().await?;
    let [partitioned, other] = ["entry-1".parse()?, "entry-0".parse()?];
    fixture.site.network.partition(&partitioned, &other);
    let client = fixture.site.platform.client("entry-1");
    client.faults().set_outage(Some(Outage::Refuse));
    let yaml = stay_template(6)?;
    let args = [
        "account",
        "apply",
        &path_text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let done = fixture.ctl(&args).await?;
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.stdout);
    assert!(done.stdout.contains("not yet in force"), "{}", done.stdout);
    assert_eq!(
        fixture.json(&["account", "get", "stay"]).await?["value"]["share"],
        6
    );
    Ok(())
}

/// `entry-0` reads the registrations once a minute. `late` registers, loads the view, and is then
/// partitioned from store and peers, so it keeps the old view. "In force at every registered entry"
/// would be false.
async fn just_registered() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.start_with("entry-0", |mut parts| {
        parts.timers.roster = Duration::from_secs(60);
        parts
    })
    .await?;
    let seq = site.place_workers().await?;
    site.wait_until_applied(seq).await?;
    let [late, first] = ["late".parse()?, "entry-0".parse()?];
    site.network.partition(&late, &first);
    site.start("late").await?;
    let ledger = site.ledger();
    let row = key::entry(&late);
    while ledger.table().read(&row).await?.is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    site.platform
        .client("late")
        .faults()
        .set_outage(Some(Outage::Refuse));
    let yaml = stay_template(6)?;
    let args = [
        "account",
        "apply",
        &path_text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let entry = site.entry("entry-0").entry.admin();
    let done = ctl(entry, temp_file(OPERATOR_TOKEN)?.path(), &args).await?;
    assert!(site.entry("late").entry.applied_seq() <= seq);
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.stdout);
    Ok(())
}

/// A table on which scans of the registrations fail.
#[derive(Debug)]
struct Withheld(Arc<dyn Table>);

#[async_trait]
impl Table for Withheld {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.0.read(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        if &*scan.prefix == key::ENTRIES {
            return Err(Error::Unavailable("withheld".into()));
        }
        self.0.scan(scan).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.0.commit(txn).await
    }
}

/// The store accepts the change, but reading the registrations fails. All known entries have
/// applied the change; another entry may have registered, so `--wait` must not report "everywhere".
async fn unread_registrations() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.start_with("entry-0", |parts| Components {
        table: Arc::new(Withheld(Arc::clone(&parts.table))),
        ..parts
    })
    .await?;
    let seq = site.place_workers().await?;
    site.wait_until_applied(seq).await?;
    let yaml = stay_template(6)?;
    let args = [
        "account",
        "apply",
        &path_text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let entry = site.entry("entry-0").entry.admin();
    let done = ctl(entry, temp_file(OPERATOR_TOKEN)?.path(), &args).await?;
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.stdout);
    Ok(())
}

async fn status_in_outage() -> Result<()> {
    let fixture = Fixture::open().await?;
    assert_eq!(fixture.json(&["status"]).await?["complete"], true);
    fixture
        .site
        .platform
        .faults()
        .set_outage(Some(Outage::Refuse));
    let status = fixture.json(&["status"]).await?;
    assert_eq!(status["complete"], false);
    let entries = status["entries"].as_array().expect("a list");
    assert!(entries.iter().any(|entry| entry["name"] == "entry-0"));
    let shown = fixture.ctl(&["status"]).await?.stdout;
    assert!(shown.contains("may be missing"), "{shown}");
    Ok(())
}
