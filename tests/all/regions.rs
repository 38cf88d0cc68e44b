//! Two regions that lose each other, with the store on one side.

use crate::{LIMIT, cases};
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
    regions_that_lose_each_other_converge_and_nothing_reverts => cut_and_heal();
}

const NEAR: [&str; 2] = ["entry-0", "entry-1"];
const FAR: [&str; 2] = ["entry-2", "entry-3"];

/// Changes that are accepted during the cut.
const CHANGES: u32 = 5;

/// Reads and keyed requests of each entry in each part of the test.
const REQUESTS: u32 = 2;

fn names(names: [&str; 2]) -> Result<[id::Entry; 2]> {
    let [a, b] = names;
    Ok([a.parse()?, b.parse()?])
}

fn cut(site: &Site) -> Result<()> {
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
        reason: "during the cut".into(),
    }
}

async fn read(site: &Site, entry: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry(entry).callers;
    caller
        .send(to, Method::GET, "/stay/beds", &[], "", LIMIT)
        .await
}

async fn hold(site: &Site, entry: &str, key: &str) -> Answer {
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry(entry).callers;
    let headers = [("idempotency-key", key)];
    caller
        .send(to, Method::POST, "/stay/holds", &headers, "bed 1", LIMIT)
        .await
}

fn executions(site: &Site, key: &str) -> u64 {
    let workers = site.workers.values();
    workers.map(|worker| worker.executions(key)).sum()
}

/// What each entry has had in force; it may only grow.
#[derive(Debug, Default)]
struct Watch(BTreeMap<id::Entry, Seq>);

impl Watch {
    fn look(&mut self, site: &Site) -> Result<()> {
        for (name, running) in &site.entries {
            let now = running.entry.applied_seq();
            let before = self.0.insert(name.clone(), now);
            ensure!(
                before <= Some(now),
                "{name} went back from {before:?} to {now}"
            );
        }
        Ok(())
    }
}

async fn state(site: &Site, worker: &str) -> Result<State> {
    let rows = site.any().admin.instances().await?;
    let row = rows
        .into_iter()
        .find(|row| row.row.value.id.as_str() == worker);
    Ok(row
        .ok_or_else(|| eyre::eyre!("no row of {worker}"))?
        .row
        .value
        .state)
}

/// Waits until the leaving worker's state `fits`.
async fn until_state(site: &Site, watch: &mut Watch, fits: impl Fn(State) -> bool) -> Result<()> {
    let give_up = Instant::now() + LIMIT;
    while !fits(state(site, "stay-0").await?) {
        watch.look(site)?;
        ensure!(Instant::now() < give_up, "stay-0 stays as it is");
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn requests_during_the_cut(site: &Site, number: u32) {
    for entry in NEAR.into_iter().chain(FAR) {
        let answer = read(site, entry).await;
        assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
    }
    for entry in NEAR {
        let key = format!("cut-{entry}-{number}");
        let answer = hold(site, entry, &key).await;
        assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
        assert_eq!(executions(site, &key), 1, "{entry}");
    }
    let keys = FAR.map(|entry| format!("cut-{entry}-{number}"));
    let [a, b] = FAR;
    let refused = tokio::join!(hold(site, a, &keys[0]), hold(site, b, &keys[1]));
    for (key, answer) in keys.iter().zip([refused.0, refused.1]) {
        assert_eq!(answer.said, Said::NotRun, "{key}: {answer:?}");
        assert_eq!(executions(site, key), 0, "{key}");
    }
}

/// The regions lose each other; only the near one reaches the store. Callers' reads are served on
/// both sides. Keyed requests run near; far they are refused as "not run" and run nowhere, since no
/// claim can be written. Changes are accepted near and refused far. A worker that leaves is drained
/// but not given up, as the far entries may still send to it. Once healed, every entry has the
/// last change, the worker goes, and what was refused runs once.
async fn cut_and_heal() -> Result<()> {
    let layout = Layout {
        entries: 4,
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.converge().await?;
    let mut watch = Watch::default();
    watch.look(&site)?;

    cut(&site)?;
    let old = site.entry("entry-2").entry.applied_seq();
    let mut last = Seq(0);
    for change in 0..CHANGES {
        last = site
            .entry("entry-0")
            .admin
            .apply(&apply(10 + change))
            .await?
            .version;
        watch.look(&site)?;
    }
    let refused = site.entry("entry-2").admin.apply(&apply(99)).await;
    ensure!(
        refused.is_err(),
        "the far side accepted a change: {refused:?}"
    );
    site.platform
        .fleet()
        .set_phase(&"stay-0".parse()?, Phase::Leaving);
    until_state(&site, &mut watch, |state| state == State::Draining).await?;
    for number in 0..REQUESTS {
        requests_during_the_cut(&site, number).await;
        watch.look(&site)?;
    }
    for entry in FAR {
        assert_eq!(
            site.entry(entry).entry.applied_seq(),
            old,
            "{entry} learned of a change"
        );
    }
    assert_eq!(
        state(&site, "stay-0").await?,
        State::Draining,
        "a far entry may still send to it"
    );

    heal(&site);
    site.in_force(last).await?;
    watch.look(&site)?;
    for entry in NEAR.into_iter().chain(FAR) {
        let stored = site.entry(entry).admin.account(&"stay".parse()?).await?;
        assert_eq!(stored.value.share, 9 + CHANGES, "{entry}");
    }
    until_state(&site, &mut watch, |state| state != State::Draining).await?;
    for number in 0..REQUESTS {
        for entry in FAR {
            let key = format!("cut-{entry}-{number}");
            let answer = hold(&site, entry, &key).await;
            assert_eq!(answer.said, Said::Completed, "{entry}: {answer:?}");
            assert_eq!(executions(&site, &key), 1, "{entry}");
        }
        watch.look(&site)?;
    }
    let head = site.ledger().head().await?.seq;
    site.in_force(head).await?;
    let (ledger, account) = (site.ledger(), key::account(&"stay".parse()?));
    let stored = ledger.read::<Template>(&account).await?;
    let stored = stored.map(|row| row.value.share);
    assert_eq!(stored, Some(9 + CHANGES), "a change was lost");
    Ok(())
}
