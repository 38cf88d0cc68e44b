//! The right to order instances.

use crate::own::Context;
use bytes::Bytes;
use log::warn;
use primroseroute_cell::row::{self, Order, Orders};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version},
    site::Holder,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Longest time that writing the orders down may take. A successor is there no sooner than an entry's
/// silence is noticed, and orders nothing before the pause between two holders has passed, so an order
/// that goes out within this time is at least that pause older than the successor's first.
const FRESH: Duration = Duration::from_secs(1);

/// Writes down what is about to be ordered, on the condition that the pool is still owned; `None` where
/// it isn't, or where the answer took too long to rely on it.
///
/// The row's version is the orders' fencing token: higher than that of every order before. Without
/// the condition an owner that was replaced and doesn't know it, because the part of the store with
/// owners doesn't answer it, orders the same instances as its successor. An order without an answer
/// isn't repeated under the same token: the next round asks for a new one.
pub(crate) async fn hold(
    context: &Context,
    owner: Version,
    orders: BTreeMap<Name, Order>,
) -> Result<Option<Holder>, Error> {
    let value = serde_json::to_vec(&Orders { orders }).expect("orders have text keys");
    let txn = Txn {
        conditions: vec![(row::owner(&context.pool), owner)],
        puts: vec![(row::orders(&context.pool), Bytes::from(value))],
        deletes: Vec::new(),
    };
    let begin = Instant::now();
    let Commit::Committed(token) = context.rows.commit(txn).await? else {
        return Ok(None);
    };
    let took = begin.elapsed();
    if took > FRESH {
        warn!(pool = &*context.pool, took_ms = took.as_millis(); "orders to instances were written down too slowly to be given");
        return Ok(None);
    }
    Ok(Some(Holder {
        entry: Name::clone(&context.entry),
        token,
    }))
}
