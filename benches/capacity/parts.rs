//! Single operations outside an entry: on views, dispatchers and placement plans.

use crate::{process_stats, results::Measurement};
use eyre::Result;
use primroseroute_capacity::{Size, templates, workers};
use primroseroute_domain::{
    change::{Edit, Record, Seq},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    placement::{Weights, plan},
};
use primroseroute_flow::limits::Limits;
use primroseroute_ledger::{Versioned, key};
use primroseroute_peer::membership::Registration;
use primroseroute_platform::fleet::{List, Listed, Phase};
use primroseroute_route::Dispatchers;
use primroseroute_view::Snapshot;
use serde::Serialize;
use std::{collections::BTreeSet, hint::black_box, net::SocketAddr, sync::Arc};
use tokio::runtime::Builder;
use uuid::Uuid;

/// Views held at the same time to measure the memory of one.
const HELD_VIEWS: usize = 20;

type Row = (Arc<str>, Arc<str>);

fn row<T: Serialize>(key: Arc<str>, version: Seq, value: &T) -> Result<Row> {
    let json = serde_json::to_string(&Versioned { version, value })?;
    Ok((key, json.into()))
}

fn rows(size: Size) -> Result<Vec<Row>> {
    let accounts = templates(size);
    let accounts = accounts
        .iter()
        .map(|template| row(key::account(&template.account), Seq(1), template));
    let instances = workers(size);
    let instances = instances
        .iter()
        .map(|worker| row(key::instance(&worker.id), Seq(1), worker));
    accounts.chain(instances).collect()
}

fn record((key, json): Row) -> Record {
    Record {
        seq: Seq(2),
        at: Instant(1),
        actor: "operator:capacity".into(),
        reason: "measurement".into(),
        operation: Uuid::nil(),
        edits: vec![Edit {
            key,
            before: Some(Seq(1)),
            after: Some(json),
        }],
    }
}

/// Takes all measurements of one size; the number of entries affects the dispatchers and registrations.
pub fn measure(size: Size) -> Result<Vec<Measurement>> {
    let rows = rows(size)?;
    let bytes: usize = rows.iter().map(|(key, json)| key.len() + json.len()).sum();
    let build = || {
        let copies = rows
            .iter()
            .map(|(key, json)| (Arc::from(&**key), Arc::from(&**json)));
        Snapshot::from_rows(Seq(1), copies).expect("rows parse")
    };
    let before = process_stats::resident_bytes()?;
    let mut held: Vec<Snapshot> = (0..HELD_VIEWS).map(|_| build()).collect();
    let memory = process_stats::resident_bytes()?.saturating_sub(before) as f64 / HELD_VIEWS as f64;
    let load = process_stats::micros_per_call(|| {
        black_box(build());
    })?;
    let snapshot = held.swap_remove(0);
    // Not freed before the process ends: reusing freed memory would hide what the next size allocates.
    std::mem::forget(held);

    let template = &templates(size)[0];
    let change = record(row(key::account(&template.account), Seq(2), template)?);
    let worker = &workers(size)[0];
    let step = record(row(key::instance(&worker.id), Seq(2), worker)?);
    let apply = |record: &Record| {
        process_stats::micros_per_call(|| {
            black_box(snapshot.apply(record).expect("the record follows the view"));
        })
    };
    let sent = serde_json::to_vec(&change)?.len();
    Ok(vec![
        Measurement::new("rows of the view, serialized", "MB", bytes as f64 / 1e6),
        Measurement::new("memory of one view", "MB", memory / 1e6),
        Measurement::new("full load of a view from rows", "us", load),
        Measurement::new("view takes a change of an account", "us", apply(&change)?),
        Measurement::new("view takes a change of an instance", "us", apply(&step)?),
        Measurement::new(
            "record of a change of an account, serialized",
            "B",
            sent as f64,
        ),
        Measurement::new("list of instances, serialized", "B", list_bytes(size)?),
        Measurement::new("registrations, serialized", "B", registrations_bytes(size)?),
        Measurement::new(
            "gates take a view",
            "us",
            micros_to_apply_view(size, &snapshot)?,
        ),
        Measurement::new(
            "placement plan with nothing to do",
            "us",
            micros_to_plan(&snapshot)?,
        ),
    ])
}

/// Bytes of a response with the platform's list of instances.
fn list_bytes(size: Size) -> Result<f64> {
    let listed = workers(size).into_iter().map(|row| Listed {
        id: row.id,
        address: row.address,
        zone: row.zone,
        rack: row.rack,
        phase: Phase::Live,
        boots: 1,
    });
    let list = List {
        as_of: Instant(1),
        instances: listed.collect(),
    };
    Ok(serde_json::to_vec(&list)?.len() as f64)
}

/// Bytes of the row values of all entries' registrations.
fn registrations_bytes(size: Size) -> Result<f64> {
    let address = SocketAddr::from(([192, 0, 2, 1], 8080));
    let mut bytes = 0;
    for index in 0..size.entries {
        let row = Registration {
            name: format!("entry-{index}").parse()?,
            incarnation: Uuid::max(),
            peer: address,
            admin: address,
            zone: "zone-0".parse()?,
            region: Some("region-0".into()),
            acked: Seq(1_000_000),
            heartbeat: Instant(1_800_000_000_000),
        };
        bytes += serde_json::to_vec(&row)?.len();
    }
    Ok(bytes as f64)
}

fn micros_to_apply_view(size: Size, snapshot: &Snapshot) -> Result<f64> {
    let names = (0..size.entries).map(|index| format!("entry-{index}").parse());
    let entries: BTreeSet<_> = names.collect::<Result<_, _>>()?;
    Builder::new_current_thread().build()?.block_on(async {
        let dispatchers = Dispatchers::new("entry-0".parse()?, 1, Limits::default(), 1);
        dispatchers.apply_view(snapshot, &entries);
        process_stats::micros_per_call(|| dispatchers.apply_view(snapshot, &entries))
    })
}

fn micros_to_plan(snapshot: &Snapshot) -> Result<f64> {
    let instances = snapshot.instances().iter();
    let accounts = snapshot.accounts().values();
    let fleet = Fleet {
        rows: instances
            .map(|(id, row)| (id.clone(), row.value.clone()))
            .collect(),
        budgets: Fleet::budgets(accounts.map(|row| &row.value)),
        absent: BTreeSet::new(),
    };
    process_stats::micros_per_call(|| {
        black_box(plan(&fleet, Weights::default()));
    })
}
