//! The fleet as the controller drives it: arrivals, departures, takeovers, failing workers.

use crate::{LIMIT, cases, reads_complete, stay};
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
    leaving_instance_is_emptied_and_removed => departure();
    controller_that_dies_is_succeeded => takeover();
    controller_that_stops_hands_over_at_once => hand_over();
    registered_entry_that_was_never_heard_is_waited_for => never_heard();
    worker_that_fails_its_checks_is_quarantined => quarantine();
    silent_entry_stops_a_removal_and_not_serving => silent_entry();
}

/// A further worker that the platform lists as live, in a rack of its own.
async fn arrive(site: &mut Site, name: &str, mode: Mode) -> Result<id::Instance> {
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

/// Waits until the row of `id` in the table, if any, is as wanted.
async fn until_row(
    site: &Site,
    id: &id::Instance,
    wanted: impl Fn(Option<&Row>) -> bool,
) -> Result<()> {
    let key = format!("instance/{id}").into();
    let give_up = tokio::time::Instant::now() + LIMIT;
    loop {
        let row = site.ledger().read::<Row>(&key).await?.map(|row| row.value);
        if wanted(row.as_ref()) {
            return Ok(());
        }
        eyre::ensure!(tokio::time::Instant::now() < give_up, "{id} stays {row:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

fn is(state: State) -> impl Fn(Option<&Row>) -> bool {
    move |row| row.is_some_and(|row| row.state == state)
}

/// The template comes to promise more than the pool has. The platform hands over an instance; it is
/// checked, placed where the deficit is, and serves.
async fn arrival() -> Result<()> {
    let mut site = stay(2).await?;
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 3;
    let order = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "more".into(),
    };
    site.any().admin.apply(&order).await?;
    let id = arrive(&mut site, "new", Mode::Ok).await?;
    until_row(&site, &id, is(State::Serving)).await?;
    let seq = site.ledger().head().await?.seq;
    site.in_force(seq).await?;

    let worker = Arc::clone(site.worker("new"));
    reads_complete(site.any().callers, 60).await;
    assert!(worker.count().executions > 0, "it serves and gets nothing");
    Ok(())
}

/// An instance arrives that fails every check. It must not get a single caller's request, however
/// great the pool's need.
async fn bad_arrival() -> Result<()> {
    let mut site = stay(1).await?;
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 3;
    let order = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "more".into(),
    };
    site.any().admin.apply(&order).await?;
    let id = arrive(&mut site, "bad", Mode::FailAll).await?;
    until_row(&site, &id, is(State::Quarantined)).await?;
    let caller = Caller::open(caller_token("stay"));
    for _ in 0..20 {
        let answer = caller
            .send(site.any().callers, Method::GET, "/stay/a", &[], "", LIMIT)
            .await;
        assert_eq!(answer.headers["x-backend"], "stay-0", "{answer:?}");
    }
    let key = format!("instance/{id}");
    let trail = site
        .any()
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

/// The platform says that an instance will leave. It drains, every entry acknowledges, it goes, and
/// its row goes last.
async fn departure() -> Result<()> {
    let site = stay(3).await?;
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    until_row(&site, &id, is(State::Leaving)).await?;
    site.platform.fleet().set_phase(&id, Phase::Gone);
    until_row(&site, &id, |row| row.is_none()).await?;
    reads_complete(site.any().callers, 20).await;
    Ok(())
}

async fn holder(site: &Site) -> Result<id::Entry> {
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

/// The entry that holds the lease is killed. The other takes over once the lease has lapsed, and
/// goes on with a departure that the first had begun. The dead entry's registration stands in the
/// way of the removal, until the platform's list or an operator says that it is gone; the drain
/// itself goes on.
async fn takeover() -> Result<()> {
    let mut site = stay(3).await?;
    let first = holder(&site).await?;
    site.take(first.as_str()).entry.abort().await;
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    until_row(&site, &id, is(State::Draining)).await?;
    assert_ne!(holder(&site).await?, first);
    Ok(())
}

async fn hand_over() -> Result<()> {
    let mut site = stay(3).await?;
    let first = holder(&site).await?;
    site.take(first.as_str()).entry.stop().await;
    let lease = site
        .ledger()
        .table()
        .read(&"lease/controller".into())
        .await?;
    let given_up = lease.is_none_or(|row| {
        !row.value
            .windows(first.as_str().len())
            .any(|part| part == first.as_str().as_bytes())
    });
    assert!(given_up, "the stopped entry still holds the lease");
    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    until_row(&site, &id, is(State::Leaving)).await?;
    Ok(())
}

/// A serving worker begins to fail. Its checks find it, it is quarantined, and callers go on.
async fn quarantine() -> Result<()> {
    let site = stay(3).await?;
    site.worker("stay-0").set_mode(Mode::FailAll);
    until_row(&site, &"stay-0".parse()?, is(State::Quarantined)).await?;
    site.worker("stay-0").set_mode(Mode::Ok);
    until_row(&site, &"stay-0".parse()?, is(State::Serving)).await?;
    Ok(())
}

/// An entry is cut off from its peers and the store: it may still be sending by its old view. The
/// instance that leaves must not be given up before that entry is known to be gone, and callers
/// are served all the while, by that entry too.
async fn silent_entry() -> Result<()> {
    let mut site = stay(3).await?;
    site.start("cut").await?;
    let seq = site.ledger().head().await?.seq;
    site.in_force(seq).await?;
    let cut: id::Entry = "cut".parse()?;
    site.platform
        .client("cut")
        .faults()
        .set_outage(Some(platform::fault::Outage::Refuse));
    site.network
        .partition_groups(&[cut], &["entry-0".parse()?, "entry-1".parse()?]);

    let id: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&id, Phase::Leaving);
    until_row(&site, &id, is(State::Draining)).await?;
    reads_complete(site.entry("cut").callers, 30).await;
    until_row(&site, &id, is(State::Draining)).await?;

    // The operator vouches for it: it is stopped and its registration removed.
    site.take("cut").entry.abort().await;
    let order = Order {
        if_version: None,
        reason: "it is gone".into(),
        force: false,
    };
    site.any().admin.remove(&"cut".parse()?, &order).await?;
    until_row(&site, &id, is(State::Leaving)).await
}

/// An entry has registered and was killed, or cut off, before any peer heard of it: it may be
/// serving by the view that it read. A leaving instance is not given up before it is known to be
/// gone.
async fn never_heard() -> Result<()> {
    let site = stay(3).await?;
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
    until_row(&site, &id, is(State::Draining)).await?;
    // Every entry that runs acknowledges within an exchange or two; the ghost never does.
    let drained = site.ledger().head().await?.seq;
    site.in_force(drained).await?;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    until_row(&site, &id, is(State::Draining)).await?;
    let order = Order {
        if_version: None,
        reason: "it is gone".into(),
        force: false,
    };
    site.any().admin.remove(&"ghost".parse()?, &order).await?;
    until_row(&site, &id, is(State::Leaving)).await
}
