//! I6 and I8: an accepted configuration is applied everywhere and never reverts; a drained worker
//! gets no new requests, even while the store is unavailable.

use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_api::{Apply, Order};
use primroseroute_domain::{change::Seq, outcome::Code};
use primroseroute_testbed::{
    Caller, Layout, Said, Site, caller_token, platform, platform::fault::Outage, template,
};
use std::time::Duration;

cases! {
    change_reaches_an_entry_that_cannot_read_the_store => change_over_peers();
    drain_is_applied_during_a_store_outage => drain_then_outage();
    concurrent_applies_converge_on_the_later => concurrent_applies();
    stale_version_is_rejected => stale_version();
    lost_response_of_an_apply_is_resolved => lost_apply_response();
    entry_started_in_a_store_outage_gets_the_view_from_its_peers => start_without_store();
    entry_started_from_a_stale_peer_never_reverts => start_from_stale_peer();
}

fn apply(share: u32) -> Apply {
    Apply {
        template: template("stay", share, 2),
        if_version: None,
        reason: "test".into(),
    }
}

async fn site(entries: usize) -> Result<Site> {
    let layout = Layout {
        entries,
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    Ok(site)
}

/// One entry is partitioned from the store. A change accepted at another reaches it over the peer
/// link, so it does not keep the old configuration for the duration of the partition.
async fn change_over_peers() -> Result<()> {
    let site = site(3).await?;
    site.platform
        .client("entry-2")
        .faults()
        .set_outage(Some(Outage::Refuse));
    let accepted = site.entry("entry-0").admin.apply(&apply(7)).await?;
    site.wait_until_applied(accepted.version).await?;
    Ok(())
}

/// The drain is accepted and reaches one entry; then the store becomes unavailable to all. The
/// other entries must still apply it and send the worker nothing.
async fn drain_then_outage() -> Result<()> {
    let site = site(3).await?;
    for name in ["entry-1", "entry-2"] {
        site.platform
            .client(name)
            .faults()
            .set_outage(Some(Outage::Refuse));
    }
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: false,
    };
    let accepted = site
        .entry("entry-0")
        .admin
        .drain(&"stay-0".parse()?, &order)
        .await?;
    site.platform.faults().set_outage(Some(Outage::Refuse));
    site.wait_until_applied(accepted.version).await?;

    let before = site.worker("stay-0").count().executions;
    let caller = Caller::open(caller_token("stay"));
    for running in site.entries.values() {
        for _ in 0..10 {
            let answer = caller
                .send(running.callers, Method::GET, "/stay/a", &[], "", TIMEOUT)
                .await;
            assert_eq!(answer.said, Said::Completed, "{answer:?}");
        }
    }
    assert_eq!(site.worker("stay-0").count().executions, before);
    Ok(())
}

/// Two operators apply different templates at two entries at the same time. Both are accepted, one
/// after the other; every entry ends with the later one, and none ever shows a lower version.
async fn concurrent_applies() -> Result<()> {
    let site = site(3).await?;
    let [a, b] = ["entry-0", "entry-1"].map(|name| site.entry(name).admin.clone());
    let mut last = Seq(0);
    for round in 0..10 {
        let (first, second) = (apply(10 + round), apply(110 + round));
        let (one, other) = tokio::join!(a.apply(&first), b.apply(&second));
        let (one, other) = (one?.version, other?.version);
        assert_ne!(one, other);
        assert!(one > last && other > last);
        last = one.max(other);
        site.wait_until_applied(last).await?;
        let share = if one > other { 10 + round } else { 110 + round };
        for running in site.entries.values() {
            let stored = running.admin.account(&"stay".parse()?).await?;
            assert_eq!((stored.value.share, stored.version), (share, last));
        }
    }
    Ok(())
}

async fn stale_version() -> Result<()> {
    let site = site(2).await?;
    let admin = &site.any_entry().admin;
    let version = admin.account(&"stay".parse()?).await?.version;
    admin
        .apply(&Apply {
            if_version: Some(version),
            ..apply(3)
        })
        .await?;
    let refused = admin
        .apply(&Apply {
            if_version: Some(version),
            ..apply(4)
        })
        .await;
    let code = refused
        .expect_err("the version is stale")
        .code()
        .map(Code::number);
    assert_eq!(code, Some(502));
    assert_eq!(admin.account(&"stay".parse()?).await?.value.share, 3);
    Ok(())
}

/// The store commits the operator's change and its response is lost. The operator must be told that
/// the change was accepted, and the audit trail must contain it once.
async fn lost_apply_response() -> Result<()> {
    let site = site(2).await?;
    let table = site.platform.client("entry-0");
    table
        .faults()
        .lose_answers(platform::tally::Kind::Commit, 1);
    let accepted = site.entry("entry-0").admin.apply(&apply(9)).await?;
    site.wait_until_applied(accepted.version).await?;
    let trail = site
        .any_entry()
        .admin
        .audit(Seq(0), 1000, None, Some("account/stay"))
        .await?;
    let applied = trail
        .records
        .iter()
        .filter(|record| &*record.reason == "test")
        .count();
    assert_eq!(applied, 1);
    Ok(())
}

async fn start_without_store() -> Result<()> {
    let mut site = site(2).await?;
    site.platform.faults().set_outage(Some(Outage::Refuse));
    let seq = site.any_entry().entry.applied_seq();
    site.start("late").await?;
    site.wait_until_applied(seq).await?;
    let caller = Caller::open(caller_token("stay"));
    let answer = caller
        .send(
            site.entry("late").callers,
            Method::GET,
            "/stay/a",
            &[],
            "",
            TIMEOUT,
        )
        .await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    Ok(())
}

/// `entry-1` is partitioned from store and peers and keeps an old view. A new entry can reach only
/// `entry-1` and starts with the old view. Once it reaches the other entry it must apply the new
/// view, and must not revert when the stale peer reports again.
async fn start_from_stale_peer() -> Result<()> {
    let mut site = site(2).await?;
    let stale = "entry-1".parse()?;
    let fresh = "entry-0".parse()?;
    let late = "late".parse()?;
    site.network.partition(&stale, &fresh);
    site.platform
        .client("entry-1")
        .faults()
        .set_outage(Some(Outage::Refuse));
    let old = site.entry("entry-1").entry.applied_seq();
    let accepted = site.entry("entry-0").admin.apply(&apply(7)).await?.version;

    site.network.partition(&late, &fresh);
    site.platform
        .client("late")
        .faults()
        .set_outage(Some(Outage::Refuse));
    site.start("late").await?;
    primroseroute_testbed::wait_until("the new entry has the old view", || {
        site.entry("late").entry.applied_seq() >= old
    })
    .await?;
    assert!(site.entry("late").entry.applied_seq() < accepted);

    site.network.heal(&late, &fresh);
    primroseroute_testbed::wait_until("the new entry has the new view", || {
        site.entry("late").entry.applied_seq() >= accepted
    })
    .await?;
    // The stale peer gets the new view from the new entry, and no entry reverts.
    for _ in 0..50 {
        assert!(site.entry("late").entry.applied_seq() >= accepted);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    site.wait_until_applied(accepted).await?;
    Ok(())
}
