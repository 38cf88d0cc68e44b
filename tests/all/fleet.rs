//! The fleet under the controller: arrivals, departures, takeovers and failing workers.

use crate::{TIMEOUT, assert_reads_complete, cases, site_with_workers};
use eyre::Result;
use http::Method;
use primroseroute_api::Order;
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_peer::membership::Registration;
use primroseroute_platform::{
    fleet::{Listed, Phase},
    table::{Txn, Write},
};
use primroseroute_testbed::{
    Caller, Site,
    backend::{Backend, Mode, Options},
    caller_token, platform,
};
use std::{net::Ipv4Addr, sync::Arc};

cases! {
    arriving_instance_fills_a_deficit => arrival();
    arriving_instance_that_fails_stays_out => bad_arrival();
    leaving_instance_is_drained_and_removed => departure();
    killed_controller_is_taken_over => takeover();
    stopped_controller_hands_over_immediately => hand_over();
    removal_waits_for_a_registered_entry_without_contact => entry_without_contact();
    worker_that_fails_its_checks_is_quarantined => quarantine();
    unresponsive_entry_blocks_a_removal_but_not_serving => unresponsive_entry();
}

/// Starts another worker that the platform lists as live, in a rack of its own.
async fn add_worker(site: &mut Site, name: &str, mode: Mode) -> Result<id::Instance> {
    let options = Options {
        name: name.into(),
        mode,
        ..Options::default()
    };
    let worker = Backend::bind((Ipv4Addr::LOCALHOST, 0).into(), options).await?;
    let id: id::Instance = name.parse()?;
    site.platform.fleet().add(Listed {
        id: id.clone(),
        address: worker.address(),
        zone: "zone-2".parse()?,
        rack: "rack-new".parse()?,
        phase: Phase::Live,
        boots: 1,
    });
    site.workers.insert(id.clone(), Arc::new(worker));
    Ok(id)
}

/// Waits until `wanted` holds for the row of `id` in the table, if there is one.
async fn wait_for_row(
    site: &Site,
    id: &id::Instance,
    wanted: impl Fn(Option<&Row>) -> bool,
) -> Result<()> {
    let key = format!("instance/{id}").into();
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let row = site.ledger().read::<Row>(&key).await?.map(|row| row.value);
        if wanted(row.as_ref()) {
            return Ok(());
        }
        eyre::ensure!(tokio::time::Instant::now() < deadline, "{id} stays {row:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

fn has_state(state: State) -> impl Fn(Option<&Row>) -> bool {
    move |row| row.is_some_and(|row| row.state == state)
}

/// A new template promises more instances than the pool has. The platform provides an instance;
/// it is health-checked, placed into the pool with the deficit, and serves.
async fn arrival() -> Result<()> {
    let mut site = site_with_workers(2).await?;
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 3;
    let order = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "more".into(),
    };
    site.any_entry().admin.apply(&order).await?;
    let id = add_worker(&mut site, "new", Mode::Ok).await?;
    wait_for_row(&site, &id, has_state(State::Serving)).await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;

    let worker = Arc::clone(site.worker("new"));
    assert_reads_complete(site.any_entry().callers, 60).await;
    assert!(
        worker.count().executions > 0,
        "the new instance serves but gets no requests"
    );
    Ok(())
}

/// An instance arrives that fails every health check. It must not get any caller's request, however
/// large the pool's deficit.
async fn bad_arrival() -> Result<()> {
    let mut site = site_with_workers(1).await?;
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 3;
    let order = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "more".into(),
    };
    site.any_entry().admin.apply(&order).await?;
    let id = add_worker(&mut site, "bad", Mode::FailAll).await?;
    wait_for_row(&site, &id, has_state(State::Quarantined)).await?;
    let caller = Caller::open(caller_token("stay"));
    for _ in 0..20 {
        let answer = caller
            .send(
                site.any_entry().callers,
                Method::GET,
                "/stay/a",
                &[],
                "",
                TIMEOUT,
            )
            .await;
        assert_eq!(answer.headers["x-backend"], "stay-0", "{answer:?}");
    }
    let key = format!("instance/{id}");
    let trail = site
        .any_entry()
        .admin
        .audit(Seq(0), 1000, None, Some(&key))
        .await?;
    let edits = trail.records.iter().flat_map(|record| &record.edits);
    let rows = edits
        .filter(|edit| *edit.key == *key)
        .filter_map(|edit| edit.after.as_deref());
    assert!(rows.clone().count() >= 2, "{trail:?}");
    assert!(
        rows.clone().all(|row| !row.contains("\"serving\"")),
        "{trail:?}"
    );
    Ok(())
}

/// The platform announces that an instance will leave. It is drained, every entry acknowledges, the
/// instance terminates, and its row is removed last.
async fn departure() -> Result<()> {
    let site = site_with_workers(3).await?;
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    wait_for_row(&site, &id, has_state(State::Leaving)).await?;
    site.platform.fleet().set_phase(&id, Phase::Gone);
    wait_for_row(&site, &id, |row| row.is_none()).await?;
    assert_reads_complete(site.any_entry().callers, 20).await;
    Ok(())
}

async fn lease_holder(site: &Site) -> Result<id::Entry> {
    loop {
        for running in site.entries.values() {
            if let Some(name) = running.admin.status().await?.controller
                && site.entries.contains_key(&name)
            {
                return Ok(name);
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// The entry that holds the lease is killed. The other takes over once the lease has expired, and
/// continues a departure that the first had begun. The dead entry's registration blocks the removal
/// until the platform's list or an operator reports it gone; the drain itself proceeds.
async fn takeover() -> Result<()> {
    let mut site = site_with_workers(3).await?;
    let first = lease_holder(&site).await?;
    site.take_entry(first.as_str()).entry.abort().await;
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    wait_for_row(&site, &id, has_state(State::Draining)).await?;
    assert_ne!(lease_holder(&site).await?, first);
    Ok(())
}

async fn hand_over() -> Result<()> {
    let mut site = site_with_workers(3).await?;
    let first = lease_holder(&site).await?;
    site.take_entry(first.as_str()).entry.stop().await;
    let lease = site
        .ledger()
        .table()
        .read(&"lease/controller".into())
        .await?;
    let released = lease.is_none_or(|row| {
        !row.value
            .windows(first.as_str().len())
            .any(|part| part == first.as_str().as_bytes())
    });
    assert!(released, "the stopped entry still holds the lease");
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    wait_for_row(&site, &id, has_state(State::Leaving)).await?;
    Ok(())
}

/// A serving worker starts to fail its health checks and is quarantined; once they pass, it serves
/// again.
async fn quarantine() -> Result<()> {
    let site = site_with_workers(3).await?;
    site.worker("stay-0").set_mode(Mode::FailAll);
    wait_for_row(&site, &"stay-0".parse()?, has_state(State::Quarantined)).await?;
    site.worker("stay-0").set_mode(Mode::Ok);
    wait_for_row(&site, &"stay-0".parse()?, has_state(State::Serving)).await?;
    Ok(())
}

/// An entry is partitioned from its peers and the store, so it may still send by its old view. The
/// leaving instance must not be released before that entry is known to be gone, and callers are
/// served throughout, by that entry too.
async fn unresponsive_entry() -> Result<()> {
    let mut site = site_with_workers(3).await?;
    site.start("cut").await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    let partitioned: id::Entry = "cut".parse()?;
    site.platform
        .client("cut")
        .faults()
        .set_outage(Some(platform::fault::Outage::Refuse));
    site.network
        .partition_groups(&[partitioned], &["entry-0".parse()?, "entry-1".parse()?]);

    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    wait_for_row(&site, &id, has_state(State::Draining)).await?;
    assert_reads_complete(site.entry("cut").callers, 30).await;
    wait_for_row(&site, &id, has_state(State::Draining)).await?;

    // The operator confirms that the entry has stopped by removing its registration.
    site.take_entry("cut").entry.abort().await;
    let order = Order {
        if_version: None,
        reason: "it is gone".into(),
        force: false,
    };
    site.any_entry()
        .admin
        .remove(&"cut".parse()?, &order)
        .await?;
    wait_for_row(&site, &id, has_state(State::Leaving)).await
}

/// An entry registered and was killed or partitioned before any peer had contact with it, so it may
/// be serving by the view that it read. A leaving instance is not released before that entry is
/// known to be gone.
async fn entry_without_contact() -> Result<()> {
    let site = site_with_workers(3).await?;
    let row = Registration {
        name: "ghost".parse()?,
        incarnation: uuid::Uuid::from_u128(1),
        peer: (Ipv4Addr::LOCALHOST, 1).into(),
        admin: (Ipv4Addr::LOCALHOST, 1).into(),
        zone: "zone-0".parse()?,
        region: None,
        acked: Seq(0),
        heartbeat: Instant(0),
    };
    let write = Write::Put("entry/ghost".into(), serde_json::to_vec(&row)?.into());
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    site.ledger().table().commit(txn).await?;

    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    wait_for_row(&site, &id, has_state(State::Draining)).await?;
    // Every running entry acknowledges within one or two exchanges; `ghost` never does.
    let drained = site.ledger().head().await?.seq;
    site.wait_until_applied(drained).await?;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    wait_for_row(&site, &id, has_state(State::Draining)).await?;
    let order = Order {
        if_version: None,
        reason: "it is gone".into(),
        force: false,
    };
    site.any_entry()
        .admin
        .remove(&"ghost".parse()?, &order)
        .await?;
    wait_for_row(&site, &id, has_state(State::Leaving)).await
}
