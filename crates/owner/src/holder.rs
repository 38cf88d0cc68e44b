//! The holder of a group of instances: issues the orders that the owners of their pools request.
//!
//! Orders of two different holders to one instance must be a minimum time apart. An instance
//! changes its pool, and with it the owner of its pool, several times a minute; its group never
//! changes. So the owners decide, and the holder of the group issues the orders: the wait is due
//! when a holder is replaced, and not between the moves of an instance.
//!
//! # Why a holder that was replaced does no harm
//!
//! Before each order it reads its own row and finds its own version there, and issues the order
//! within [`PROOF_MAX_AGE`] of sending that read, or not at all. An order that isn't answered within
//! [`ORDER_TIMEOUT`] is given up, and what hasn't arrived of it by then never does. So its last order
//! arrives less than the sum of both after its replacement, whether or not instances check fencing
//! tokens, and its successor issues none before the minimum time and [`SLACK`] have passed.
//!
//! Nor does an owner that was replaced, or has changed its decision: at the same time a commit on
//! the condition of the owner's row and of the row with its request proves that the request is
//! still valid.

use crate::{
    control::ControlView,
    ownership::{OwnershipEnd, release},
    rest::{Rest, SLACK},
};
use bytes::Bytes;
use futures::future::join_all;
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_cell::row::{self, Answer, Order, OrderResult, Orders};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Rows, Txn, Version, read_row},
    site::{self, OrderOutcome, Site},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Maximum age of the proof that the group is held and the request is valid for orders to be
/// issued; this covers a store that is twenty times slower than usual.
const PROOF_MAX_AGE: Duration = Duration::from_millis(400);

/// Time after which an order without an answer is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

const _: () = assert!(
    PROOF_MAX_AGE.as_millis() + ORDER_TIMEOUT.as_millis() < SLACK.as_millis(),
    "a successor must wait for longer than its predecessor's last order can take"
);

/// Longest time between two checks whether the group is still held and what is requested.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The components of a group holder.
#[derive(Clone, Debug)]
pub(crate) struct Components {
    pub entry: Name,
    pub group: Name,
    pub rows: Arc<dyn Rows>,
    pub site: Arc<dyn Site>,
    pub view: Arc<Mutex<ControlView>>,
    /// Minimum time between the orders of two holders to one instance.
    pub order_pause: Duration,
}

/// The orders of one pool's request to this group, and the version of its row.
struct GroupRequest {
    pool: Name,
    version: Version,
    orders: Orders,
}

struct GroupHolder {
    components: Components,
    /// Version of the group's row.
    token: Version,
    /// Which instances the previous holder may have ordered a moment ago.
    rest: Rest,
    /// The same for the next holder: those, and what this one has ordered.
    next: Rest,
    /// For each pool, the version of the newest request that was handled.
    handled: BTreeMap<Name, Version>,
}

/// Holds the group under `token` until it is lost, or `stop` signals to release it; `rest` is what
/// its instances need after the previous holder, and `next` what they need before the next one as
/// long as nothing is ordered.
pub(crate) async fn hold(
    components: Components,
    token: Version,
    (rest, next): (Rest, Rest),
    mut stop: watch::Receiver<bool>,
) -> OwnershipEnd {
    let mut updates = components.view.lock().changes();
    let mut group = GroupHolder {
        token,
        next,
        rest,
        components,
        handled: BTreeMap::new(),
    };
    loop {
        if *stop.borrow() {
            let GroupHolder {
                components, next, ..
            } = &group;
            let Components {
                rows,
                entry,
                group: name,
                ..
            } = components;
            let resting = next.remaining(Instant::now());
            release(&**rows, entry, (name, token), resting).await;
            return OwnershipEnd::Released;
        }
        updates.mark_unchanged();
        for request in group.open_requests() {
            group.serve(request).await;
        }
        if group.is_lost() {
            warn!(group = &*group.components.group, token; "another entry holds the group");
            return OwnershipEnd::Lost;
        }
        let wake = async {
            tokio::select! {
                biased;
                () = stopped(&mut stop) => {}
                changed = updates.changed() => drop(changed),
            }
        };
        if timeout(MAX_CHECK_INTERVAL, wake).await.is_err() {
            log::trace!("no new requests");
        }
    }
}

/// Waits for the stop signal; never returns if its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl GroupHolder {
    /// Whether the change feed shows a successor.
    fn is_lost(&self) -> bool {
        let view = self.components.view.lock();
        let shown = view.owners.get(&self.components.group);
        shown.is_some_and(|(_owner, version)| *version > self.token)
    }

    /// Requests to this group that haven't been handled.
    ///
    /// Those from before this holder's time are left out: a predecessor may have carried them out
    /// long ago, and the instances may be back in use in their pool. Their owners withdraw them and
    /// request again.
    fn open_requests(&mut self) -> Vec<GroupRequest> {
        let view = self.components.view.lock();
        let mut open = Vec::new();
        for (pool, (orders, version)) in &view.orders {
            let handled = self.handled.get(pool).copied().unwrap_or(self.token);
            if *version <= handled {
                continue;
            }
            let own = orders.orders.iter();
            let own =
                own.filter(|(instance, _order)| row::group(instance) == self.components.group);
            let own: BTreeMap<Name, Order> = own
                .map(|(instance, order)| (Name::clone(instance), order.clone()))
                .collect();
            let now = Instant::now();
            if !own
                .keys()
                .all(|instance| self.rest.may_order(instance, now))
            {
                continue;
            }
            if own.is_empty() {
                self.handled.insert(Name::clone(pool), *version);
                continue;
            }
            open.push(GroupRequest {
                pool: Name::clone(pool),
                version: *version,
                orders: Orders {
                    owner: orders.owner,
                    orders: own,
                },
            });
        }
        open
    }

    /// Issues the orders of a request, if it is valid and the group is held.
    async fn serve(&mut self, request: GroupRequest) {
        let group = &*self.components.group;
        let pool = &*request.pool;
        let begin = Instant::now();
        let token = match self.prove(&request).await {
            Ok(Some(token)) => token,
            Ok(None) => {
                info!(group, pool, asked = request.version; "orders to instances not issued: request withdrawn or group lost");
                self.handled.insert(request.pool, request.version);
                return;
            }
            Err(error) => {
                info!(group, pool, asked = request.version, error:% = error; "orders to instances not issued: call to the store failed");
                return;
            }
        };
        let took = begin.elapsed();
        if took > PROOF_MAX_AGE {
            warn!(group, pool, took_ms = took.as_millis(); "orders to instances not issued: store answered too slowly");
            return;
        }
        for instance in request.orders.orders.keys() {
            self.next
                .record_order(instance, self.components.order_pause, Instant::now());
        }
        let results = self.issue(&request, token).await;
        self.handled
            .insert(Name::clone(&request.pool), request.version);
        self.answer(&request, results).await;
    }

    /// Proves that the request is valid and the group is held, at a moment after this call; returns
    /// the fencing token of the orders, or `None` if either is not the case.
    async fn prove(&self, request: &GroupRequest) -> Result<Option<Version>, Error> {
        let Components { rows, group, .. } = &self.components;
        let GroupRequest { pool, version, .. } = request;
        let answer = Answer {
            asked: *version,
            results: BTreeMap::new(),
        };
        let txn = Txn {
            conditions: vec![
                (row::owner(pool), request.orders.owner),
                (row::orders(pool), *version),
            ],
            puts: vec![(row::answer(pool, group), encode(&answer))],
            deletes: Vec::new(),
        };
        let own = read_row(&**rows, row::owner(group));
        let (commit, own) = tokio::join!(rows.commit(txn), own);
        let held = own?.is_some_and(|row| row.version == self.token);
        Ok(match commit? {
            Commit::Committed(token) if held => Some(token),
            _ => None,
        })
    }

    async fn issue(&self, request: &GroupRequest, token: Version) -> BTreeMap<Name, OrderResult> {
        let holder = site::LeaseHolder {
            entry: Name::clone(&self.components.entry),
            token,
        };
        let site = &self.components.site;
        let by = &holder;
        let orders = request.orders.orders.iter();
        let orders = orders.map(|(instance, order)| async move {
            let given = match order {
                Order::Move(to) => site.relocate(instance, to, by),
                Order::Maintain(wave) => site.maintain(instance, *wave, by),
            };
            let result = timeout(ORDER_TIMEOUT, given).await;
            let result = result.unwrap_or_else(|elapsed| Err(Error::Unknown(elapsed.to_string())));
            (Name::clone(instance), result)
        });
        let mut results = BTreeMap::new();
        for (instance, result) in join_all(orders).await {
            let order = &request.orders.orders[&instance];
            let given = match result {
                Ok(OrderOutcome::Taken) => OrderResult::Taken,
                Ok(OrderOutcome::Busy) => OrderResult::Busy,
                Ok(OrderOutcome::Refused) => OrderResult::Refused,
                Err(error) => {
                    warn!(instance = &*instance, token, error:% = error; "order to instance failed");
                    OrderResult::Unknown
                }
            };
            info!(instance = &*instance, pool = &*request.pool, asked = request.version, order:?, token, given:?; "order to instance issued");
            results.insert(instance, given);
        }
        results
    }

    /// Answers the pool's owner. Without an answer it requests again, and orders are idempotent.
    async fn answer(&self, request: &GroupRequest, results: BTreeMap<Name, OrderResult>) {
        let Components { rows, group, .. } = &self.components;
        let answer = Answer {
            asked: request.version,
            results,
        };
        let place = row::answer(&request.pool, group);
        let value = encode(&answer);
        let txn = Txn {
            puts: vec![(place.clone(), value.clone())],
            ..Txn::default()
        };
        match rows.commit(txn).await {
            Ok(Commit::Committed(version)) => {
                let known = primroseroute_platform::rows::Row {
                    place,
                    value: Some(value),
                    version,
                };
                self.components.view.lock().record_own_write(&known);
            }
            Ok(Commit::Conflict(_rows)) => unreachable!("a commit without conditions"),
            Err(error) => {
                info!(group = &**group, pool = &*request.pool, error:% = error; "answer to the pool's owner failed");
            }
        }
    }
}

fn encode(answer: &Answer) -> Bytes {
    let json = serde_json::to_vec(answer).expect("an answer has text keys");
    json.into()
}
