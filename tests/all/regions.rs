//! A network partition between two regions, with the store on one side.

use crate::{TIMEOUT, cases};
use eyre::{Result, ensure};
use http::Method;
use primroseroute_api::Apply;
use primroseroute_domain::{account::Template, change::Seq, id, instance::State};
use primroseroute_ledger::key;
use primroseroute_platform::fleet::Phase;
use primroseroute_testbed::{
    Answer, Caller, Layout, Said, Site, caller_token,
    platform::{self, fault::Outage},
    template,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{Instant, sleep};

cases! {
    partitioned_regions_converge_and_nothing_reverts => partition_and_heal();
}

const NEAR: [&str; 2] = ["entry-0", "entry-1"];
const FAR: [&str; 2] = ["entry-2", "entry-3"];

/// Changes that are accepted during the partition.
const CHANGES: u32 = 5;

/// Rounds of reads and keyed requests at each entry, in each phase of the test.
const REQUESTS: u32 = 2;

fn names(names: [&str; 2]) -> Result<[id::Entry; 2]> {
    let [a, b] = names;
    Ok([a.parse()?, b.parse()?])
}

fn partition(site: &Site) -> Result<()> {
    site.network.partition_groups(&names(NEAR)?, &names(FAR)?);
    for name in FAR {
        let faults = site.platform.client(name);
        faults.faults().set_outage(Some(Outage::Refuse));
    }
    Ok(())
}

fn heal(site: &Site) {
    site.network.heal_all();
    for name in FAR {
        site.platform.client(name).faults().set_outage(None);
    }
}

fn apply(share: u32) -> Apply {
    Apply {
        template: template("stay", share, 2),
        if_version: None,
        reason: "during the partition".into(),
    }
}

async fn read(site: &Site, entry: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry(entry).callers;
    caller
        .send(to, Method::GET, "/stay/beds", &[], "", TIMEOUT)
        .await
}

async fn send_hold(site: &Site, entry: &str, key: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry(entry).callers;
    let headers = [("idempotency-key", key)];
    caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", TIMEOUT)
        .await
}

fn executions(site: &Site, key: &str) -> u64 {
    let workers = site.workers.values();
    workers.map(|worker| worker.executions(key)).sum()
}

/// The last sequence number that each entry had applied; it must never decrease.
#[derive(Debug, Default)]
struct AppliedSeqs(BTreeMap<id::Entry, Seq>);

impl AppliedSeqs {
    fn check(&mut self, site: &Site) -> Result<()> {
        for (name, running) in &site.entries {
            let now = running.entry.applied_seq();
            let before = self.0.insert(name.clone(), now);
            ensure!(
                before <= Some(now),
                "{name} reverted from {before:?} to {now}"
            );
        }
        Ok(())
    }
}

async fn state(site: &Site, worker: &str) -> Result<State> {
    let rows = site.any_entry().admin.instances().await?;
    let row = rows
        .into_iter()
        .find(|row| row.row.value.id.as_str() == worker);
    Ok(row
        .ok_or_else(|| eyre::eyre!("no row of {worker}"))?
        .row
        .value
        .state)
}

/// Waits until the state of the leaving worker `stay-0` satisfies `fits`.
async fn wait_for_state(
    site: &Site,
    applied: &mut AppliedSeqs,
    fits: impl Fn(State) -> bool,
) -> Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    while !fits(state(site, "stay-0").await?) {
        applied.check(site)?;
        ensure!(
            Instant::now() < deadline,
            "the state of stay-0 does not change as expected"
        );
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn requests_during_partition(site: &Site, number: u32) {
    for entry in NEAR.into_iter().chain(FAR) {
        let answer = read(site, entry).await;
        assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
    }
    for entry in NEAR {
        let key = format!("cut-{entry}-{number}");
        let answer = send_hold(site, entry, &key).await;
        assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
        assert_eq!(executions(site, &key), 1, "{entry}");
    }
    let keys = FAR.map(|entry| format!("cut-{entry}-{number}"));
    let [a, b] = FAR;
    let refused = tokio::join!(send_hold(site, a, &keys[0]), send_hold(site, b, &keys[1]));
    for (key, answer) in keys.iter().zip([refused.0, refused.1]) {
        assert_eq!(answer.said, Said::NotRun, "{key}: {answer:?}");
        assert_eq!(executions(site, key), 0, "{key}");
    }
}

/// The regions are partitioned; only the near one reaches the store. Callers' reads are served on
/// both sides. Keyed requests run in the near region; in the far one they are rejected as "not run"
/// and run nowhere, since no claim can be written. Changes are accepted near and rejected far. A
/// leaving worker is drained but not released, as the far entries may still send to it. Once
/// healed, every entry applies the last change, the worker is released, and the rejected requests
/// run once when repeated.
async fn partition_and_heal() -> Result<()> {
    let layout = Layout {
        entries: 4,
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    let mut applied = AppliedSeqs::default();
    applied.check(&site)?;

    partition(&site)?;
    let old = site.entry("entry-2").entry.applied_seq();
    let mut last = Seq(0);
    for change in 0..CHANGES {
        last = site
            .entry("entry-0")
            .admin
            .apply(&apply(10 + change))
            .await?
            .version;
        applied.check(&site)?;
    }
    let refused = site.entry("entry-2").admin.apply(&apply(99)).await;
    ensure!(
        refused.is_err(),
        "the far region accepted a change: {refused:?}"
    );
    site.platform
        .fleet()
        .set_phase(&"stay-0".parse()?, Phase::Leaving);
    wait_for_state(&site, &mut applied, |state| state == State::Draining).await?;
    for number in 0..REQUESTS {
        requests_during_partition(&site, number).await;
        applied.check(&site)?;
    }
    for entry in FAR {
        assert_eq!(
            site.entry(entry).entry.applied_seq(),
            old,
            "{entry} applied a change during the partition"
        );
    }
    assert_eq!(
        state(&site, "stay-0").await?,
        State::Draining,
        "a far entry may still send to it"
    );

    heal(&site);
    site.wait_until_applied(last).await?;
    applied.check(&site)?;
    for entry in NEAR.into_iter().chain(FAR) {
        let stored = site.entry(entry).admin.account(&"stay".parse()?).await?;
        assert_eq!(stored.value.share, 9 + CHANGES, "{entry}");
    }
    wait_for_state(&site, &mut applied, |state| state != State::Draining).await?;
    for number in 0..REQUESTS {
        for entry in FAR {
            let key = format!("cut-{entry}-{number}");
            let answer = send_hold(&site, entry, &key).await;
            assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
            assert_eq!(executions(&site, &key), 1, "{entry}");
        }
        applied.check(&site)?;
    }
    let head = site.ledger().head().await?.seq;
    site.wait_until_applied(head).await?;
    let (ledger, account) = (site.ledger(), key::account(&"stay".parse()?));
    let stored = ledger.read::<Template>(&account).await?;
    let stored = stored.map(|row| row.value.share);
    assert_eq!(stored, Some(9 + CHANGES), "a change was lost");
    Ok(())
}
