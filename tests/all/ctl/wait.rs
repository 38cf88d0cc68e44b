//! `--wait` and the status: "in force at every registered entry" is said only where it is so.

use super::{Desk, ctl, file, stay, text};
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
    wait_that_runs_out_is_not_yet => not_yet();
    wait_knows_an_entry_that_has_just_registered => just_registered();
    wait_without_the_registrations_is_not_yet => unread_registrations();
    status_in_an_outage_says_that_it_may_lack_an_entry => status_in_outage();
}

/// One entry is cut off from store and peers. The change is accepted, and the operator is told
/// that it is not in force everywhere, since the silent entry may still serve by its old view.
async fn not_yet() -> Result<()> {
    let desk = Desk::open().await?;
    let [cut, other] = ["entry-1".parse()?, "entry-0".parse()?];
    desk.site.network.partition(&cut, &other);
    let client = desk.site.platform.client("entry-1");
    client.faults().set_outage(Some(Outage::Refuse));
    let yaml = stay(6)?;
    let words = [
        "account",
        "apply",
        &text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let done = desk.ctl(&words).await?;
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.printed);
    assert!(
        done.printed.contains("not yet in force"),
        "{}",
        done.printed
    );
    assert_eq!(
        desk.json(&["account", "get", "stay"]).await?["value"]["share"],
        6
    );
    Ok(())
}

/// `entry-0` reads the registrations once a minute. `late` registers, loads the view, and is cut off
/// from store and peers, so it goes on with the old one. "In force at every registered entry" would
/// be untrue.
async fn just_registered() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.start_with("entry-0", |mut parts| {
        parts.timers.roster = Duration::from_secs(60);
        parts
    })
    .await?;
    let seq = site.place_workers().await?;
    site.in_force(seq).await?;
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
    let yaml = stay(6)?;
    let words = [
        "account",
        "apply",
        &text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let entry = site.entry("entry-0").entry.admin();
    let done = ctl(entry, file(OPERATOR_TOKEN)?.path(), &words).await?;
    assert!(site.entry("late").entry.applied_seq() <= seq);
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.printed);
    Ok(())
}

/// A table that does not give the registrations.
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

/// The store takes the change and does not give the registrations. All entries that are known have
/// it in force, but another one could have registered, so the operator is not told "everywhere".
async fn unread_registrations() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.start_with("entry-0", |parts| Components {
        table: Arc::new(Withheld(Arc::clone(&parts.table))),
        ..parts
    })
    .await?;
    let seq = site.place_workers().await?;
    site.in_force(seq).await?;
    let yaml = stay(6)?;
    let words = [
        "account",
        "apply",
        &text(&yaml),
        "--wait",
        "--wait-limit",
        "1",
    ];
    let entry = site.entry("entry-0").entry.admin();
    let done = ctl(entry, file(OPERATOR_TOKEN)?.path(), &words).await?;
    assert_eq!(done.code, exit::NOT_YET_IN_EFFECT, "{}", done.printed);
    Ok(())
}

async fn status_in_outage() -> Result<()> {
    let desk = Desk::open().await?;
    assert_eq!(desk.json(&["status"]).await?["complete"], true);
    desk.site.platform.faults().set_outage(Some(Outage::Refuse));
    let status = desk.json(&["status"]).await?;
    assert_eq!(status["complete"], false);
    let entries = status["entries"].as_array().expect("a list");
    assert!(entries.iter().any(|entry| entry["name"] == "entry-0"));
    let shown = desk.ctl(&["status"]).await?.printed;
    assert!(shown.contains("may be missing"), "{shown}");
    Ok(())
}
