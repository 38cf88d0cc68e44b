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

/// Slack on the pause between two holders of an instance, for the time in which an order of a replaced
/// owner may still go out.
pub(crate) const SLACK: Duration = Duration::from_millis(500);

/// Longest time that writing the orders down may take; a store that is twenty times slower than usual is
/// within it. The pool may be taken over while the answer is on its way, so an order may go out that much
/// after the takeover, which is within [`SLACK`].
const FRESH: Duration = Duration::from_millis(400);

const _: () = assert!(
    FRESH.as_millis() < SLACK.as_millis(),
    "a successor must wait for longer than its predecessor's last order can take"
);

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
