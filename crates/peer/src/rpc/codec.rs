//! Conversion between the domain types and the schema types.

use crate::{
    Newer, Row, Snapshot,
    delta::{Delta, DrainChange, LoadChange},
    report::{Drain, Identity, Load},
};
use capnp::{Error, data_list};
use primroseroute_domain::change::{Record, Seq};
use primroseroute_peer_schema::peer_capnp as schema;
use serde::de::DeserializeOwned;
use std::{fmt::Display, time::Duration};
use uuid::Uuid;

/// Encoding of the confirmed age of a view that the store never confirmed.
const NEVER_CONFIRMED: u64 = u64::MAX;

/// Maximum bytes of records in one pull response; the rest is fetched by the next pull.
const MAX_PULL_BYTES: usize = 1 << 20;

pub(super) fn rpc_error(cause: impl Display) -> Error {
    Error::failed(cause.to_string())
}

/// Converts a length to the list length type of the schema.
fn list_len(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(rpc_error)
}

pub(super) fn write_identity(mut to: schema::identity::Builder<'_>, identity: &Identity) {
    to.set_entry(identity.entry.as_str());
    to.set_incarnation(identity.incarnation.as_bytes());
}

pub(super) fn read_identity(from: schema::identity::Reader<'_>) -> Result<Identity, Error> {
    Ok(Identity {
        entry: from.get_entry()?.to_str()?.parse().map_err(rpc_error)?,
        incarnation: Uuid::from_slice(from.get_incarnation()?).map_err(rpc_error)?,
    })
}

pub(super) fn write_delta(mut to: schema::delta::Builder<'_>, delta: &Delta) -> Result<(), Error> {
    to.set_number(delta.number);
    to.set_seq(delta.seq.0);
    let age = delta.confirmed.map(|age| age.as_millis());
    let age = age.and_then(|age| u64::try_from(age).ok());
    to.set_confirmed_age(age.unwrap_or(NEVER_CONFIRMED));
    let mut names = to.reborrow().init_names(list_len(delta.names.len())?);
    for (index, name) in (0..).zip(&delta.names) {
        names.set(index, name.as_str());
    }
    let mut loads = to.reborrow().init_loads(list_len(delta.loads.len())?);
    for (index, change) in (0..).zip(&delta.loads) {
        let mut load = loads.reborrow().get(index);
        load.set_instance(change.index);
        load.set_in_flight(change.load.in_flight);
        load.set_demand(change.load.demand);
    }
    let mut drains = to.init_drains(list_len(delta.drains.len())?);
    for (index, change) in (0..).zip(&delta.drains) {
        let mut drain = drains.reborrow().get(index);
        drain.set_instance(change.index);
        if let Some(applied) = change.drain {
            drain.set_seq(applied.seq.0);
            drain.set_in_flight(applied.in_flight);
        }
    }
    Ok(())
}

pub(super) fn read_delta(from: schema::delta::Reader<'_>) -> Result<Delta, Error> {
    let mut delta = Delta {
        number: from.get_number(),
        seq: Seq(from.get_seq()),
        ..Delta::default()
    };
    let age = from.get_confirmed_age();
    delta.confirmed = (age != NEVER_CONFIRMED).then(|| Duration::from_millis(age));
    for name in from.get_names()? {
        delta
            .names
            .push(name?.to_str()?.parse().map_err(rpc_error)?);
    }
    for load in from.get_loads()? {
        delta.loads.push(LoadChange {
            index: load.get_instance(),
            load: Load {
                in_flight: load.get_in_flight(),
                demand: load.get_demand(),
            },
        });
    }
    for drain in from.get_drains()? {
        let seq = Seq(drain.get_seq());
        let in_flight = drain.get_in_flight();
        delta.drains.push(DrainChange {
            index: drain.get_instance(),
            drain: (seq != Seq(0)).then_some(Drain { seq, in_flight }),
        });
    }
    Ok(delta)
}

/// Encodes records as JSON, as many as fit into `bytes` but at least one.
pub(super) fn encode_records(records: &[Record], bytes: usize) -> Result<Vec<Vec<u8>>, Error> {
    let mut encoded = Vec::new();
    let mut total = 0;
    for record in records {
        let json = serde_json::to_vec(record).map_err(rpc_error)?;
        total += json.len();
        if total > bytes && !encoded.is_empty() {
            break;
        }
        encoded.push(json);
    }
    Ok(encoded)
}

pub(super) fn write_records(mut to: data_list::Builder<'_>, records: &[Vec<u8>]) {
    for (index, json) in (0..).zip(records) {
        to.set(index, json);
    }
}

pub(super) fn read_records(from: data_list::Reader<'_>) -> Result<Vec<Record>, Error> {
    from.iter().map(|json| decode(json?)).collect()
}

fn decode<T: DeserializeOwned>(json: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(json).map_err(rpc_error)
}

pub(super) fn write_newer(mut to: schema::newer::Builder<'_>, newer: &Newer) -> Result<(), Error> {
    match newer {
        Newer::Nothing => to.set_nothing(()),
        Newer::Records(records) => {
            let encoded = encode_records(records, MAX_PULL_BYTES)?;
            write_records(to.init_records(list_len(encoded.len())?), &encoded);
        }
        Newer::Snapshot(snapshot) => {
            let mut to = to.init_snapshot();
            to.set_seq(snapshot.seq.0);
            let mut rows = to.init_rows(list_len(snapshot.rows.len())?);
            for (index, row) in (0..).zip(&snapshot.rows) {
                let mut to = rows.reborrow().get(index);
                to.set_key(&*row.key);
                to.set_json(&*row.json);
            }
        }
    }
    Ok(())
}

pub(super) fn read_newer(from: schema::newer::Reader<'_>) -> Result<Newer, Error> {
    Ok(match from.which()? {
        schema::newer::Nothing(()) => Newer::Nothing,
        schema::newer::Records(records) => Newer::Records(read_records(records?)?),
        schema::newer::Snapshot(snapshot) => {
            let snapshot = snapshot?;
            let mut rows = Vec::new();
            for row in snapshot.get_rows()? {
                rows.push(Row {
                    key: row.get_key()?.to_str()?.into(),
                    json: row.get_json()?.to_str()?.into(),
                });
            }
            Newer::Snapshot(Snapshot {
                seq: Seq(snapshot.get_seq()),
                rows,
            })
        }
    })
}
