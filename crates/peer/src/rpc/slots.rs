//! Conversion of slot reports between the flow crate's types and the schema types.

use super::codec::rpc_error;
use crate::SlotReport;
use capnp::{Error, struct_list};
use primroseroute_domain::id;
use primroseroute_flow::report::{Report, Seen};
use primroseroute_peer_schema::peer_capnp as schema;
use std::collections::BTreeMap;

fn list_len(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(rpc_error)
}

pub(super) fn write_slots(
    mut to: struct_list::Builder<'_, schema::slots::Owned>,
    pools: &[SlotReport],
) -> Result<(), Error> {
    for (index, slots) in (0..).zip(pools) {
        write_one(to.reborrow().get(index), slots)?;
    }
    Ok(())
}

fn write_one(mut to: schema::slots::Builder<'_>, slots: &SlotReport) -> Result<(), Error> {
    let report = &slots.report;
    to.set_pool(slots.pool.as_str());
    to.set_incarnation(report.incarnation);
    to.set_number(report.seq);
    let mut demand = to.reborrow().init_demand(list_len(report.demand.len())?);
    for (index, (account, slots)) in (0..).zip(&report.demand) {
        let mut one = demand.reborrow().get(index);
        one.set_account(account.as_str());
        one.set_slots(*slots);
    }
    let mut lent = to.reborrow().init_lent(list_len(report.lent.len())?);
    for (index, (stripe, borrower)) in (0..).zip(&report.lent) {
        let mut one = lent.reborrow().get(index);
        one.set_stripe(*stripe);
        one.set_borrower(borrower.as_str());
    }
    let mut seen = to.init_seen(list_len(report.seen.len())?);
    for (index, (lender, found)) in (0..).zip(&report.seen) {
        let mut one = seen.reborrow().get(index);
        one.set_lender(lender.as_str());
        one.set_incarnation(found.incarnation);
        one.set_number(found.seq);
        one.set_returning(&found.returning);
    }
    Ok(())
}

/// Decodes the slot reports of `peer`; they are always attributed to `peer` itself.
pub(super) fn read_slots(
    peer: &id::Entry,
    from: struct_list::Reader<'_, schema::slots::Owned>,
) -> Result<Vec<SlotReport>, Error> {
    from.iter().map(|slots| read_one(peer, slots)).collect()
}

fn read_one(peer: &id::Entry, from: schema::slots::Reader<'_>) -> Result<SlotReport, Error> {
    let mut demand = BTreeMap::new();
    for one in from.get_demand()? {
        demand.insert(name(one.get_account()?)?, one.get_slots());
    }
    let mut lent = BTreeMap::new();
    for one in from.get_lent()? {
        lent.insert(one.get_stripe(), name(one.get_borrower()?)?);
    }
    let mut seen = BTreeMap::new();
    for one in from.get_seen()? {
        let found = Seen {
            incarnation: one.get_incarnation(),
            seq: one.get_number(),
            returning: one.get_returning()?.to_vec(),
        };
        seen.insert(name(one.get_lender()?)?, found);
    }
    let report = Report {
        entry: peer.clone(),
        incarnation: from.get_incarnation(),
        seq: from.get_number(),
        demand,
        lent,
        seen,
    };
    Ok(SlotReport {
        pool: name(from.get_pool()?)?,
        report,
    })
}

fn name<I: std::str::FromStr<Err = id::Malformed>>(
    text: capnp::text::Reader<'_>,
) -> Result<I, Error> {
    text.to_str()?.parse().map_err(rpc_error)
}
