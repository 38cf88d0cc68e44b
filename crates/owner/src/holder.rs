//! The holder of a group of instances: gives the orders that the owners of their pools ask for.
//!
//! Two holders that take turns at one instance have to be a pause apart. An instance changes its pool, and
//! with it the owner of its pool, several times a minute; its group never changes. So the owners decide,
//! and the holder of the group orders: the pause is due where a holder is replaced, and not between the
//! moves of an instance.
//!
//! # Why a holder that was replaced does no harm
//!
//! Before each order it reads its own row and finds its own version there, and orders within
//! [`FRESH`] of the sending of that read, or not at all. So its last order goes out less than [`FRESH`] after its
//! replacement, and its successor gives none before the pause and [`SLACK`] have passed.
//!
//! Nor does an owner that was replaced, or has changed its mind: the same moment proves, by a commit on
//! the condition of the owner's row and of the row with its request, that the request still stands.

use crate::{
    control::Picture,
    own::{Over, release},
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

/// Age of the proof that the group is held and the request stands up to which orders are given; a store that
/// is twenty times slower than usual is within it.
const FRESH: Duration = Duration::from_millis(400);

const _: () = assert!(
    FRESH.as_millis() < SLACK.as_millis(),
    "a successor must wait for longer than its predecessor's last order can take"
);

/// Longest time between two looks whether the group is still held and what is asked for.
const QUIET: Duration = Duration::from_millis(300);

/// What the holder of a group needs.
#[derive(Clone, Debug)]
pub(crate) struct Parts {
    pub entry: Name,
    pub group: Name,
    pub rows: Arc<dyn Rows>,
    pub site: Arc<dyn Site>,
    pub picture: Arc<Mutex<Picture>>,
    /// Pause between the orders of two holders to one instance.
    pub order_pause: Duration,
}

/// A request, and the version of its row.
struct Request {
    pool: Name,
    version: Version,
    orders: Orders,
}

struct Group {
    parts: Parts,
    /// Version of the group's row.
    token: Version,
    /// Which instances the holder before may have ordered a moment ago.
    rest: Rest,
    /// The same for the next one: those, and what this one has ordered.
    next: Rest,
    /// For each pool, the version of the newest request that was dealt with.
    settled: BTreeMap<Name, Version>,
}

/// Holds the group under `token` until it is lost, or `stop` says to give it up; `rest` is what its instances
/// need after the holder before, and `next` what they need before the next one as long as nothing is ordered.
pub(crate) async fn hold(
    parts: Parts,
    token: Version,
    (rest, next): (Rest, Rest),
    mut stop: watch::Receiver<bool>,
) -> Over {
    let mut news = parts.picture.lock().news();
    let mut group = Group {
        token,
        next,
        rest,
        parts,
        settled: BTreeMap::new(),
    };
    loop {
        if *stop.borrow() {
            let Group { parts, next, .. } = &group;
            let Parts {
                rows,
                entry,
                group: name,
                ..
            } = parts;
            let resting = next.left(Instant::now());
            release(&**rows, entry, (name, token), resting).await;
            return Over::Released;
        }
        news.mark_unchanged();
        for request in group.open() {
            group.serve(request).await;
        }
        if group.is_lost() {
            warn!(group = &*group.parts.group, token; "another entry holds the group");
            return Over::Lost;
        }
        let wake = async {
            tokio::select! {
                biased;
                () = stopped(&mut stop) => {}
                changed = news.changed() => drop(changed),
            }
        };
        if timeout(QUIET, wake).await.is_err() {
            log::trace!("no news of requests");
        }
    }
}

/// Waits for the word to stop; without end where whoever could give it is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl Group {
    /// Whether the feed shows a successor.
    fn is_lost(&self) -> bool {
        let picture = self.parts.picture.lock();
        let shown = picture.owners.get(&self.parts.group);
        shown.is_some_and(|(_owner, version)| *version > self.token)
    }

    /// Requests that haven't been dealt with, and that are for this group.
    ///
    /// Those from before this holder's time are left out: a predecessor may have carried them out long ago,
    /// and the instances may be back in their pool and at work. Their owners withdraw them and ask anew.
    fn open(&mut self) -> Vec<Request> {
        let picture = self.parts.picture.lock();
        let mut open = Vec::new();
        for (pool, (orders, version)) in &picture.orders {
            let settled = self.settled.get(pool).copied().unwrap_or(self.token);
            if *version <= settled {
                continue;
            }
            let own = orders.orders.iter();
            let own = own.filter(|(instance, _order)| row::group(instance) == self.parts.group);
            let own: BTreeMap<Name, Order> = own
                .map(|(instance, order)| (Name::clone(instance), order.clone()))
                .collect();
            let now = Instant::now();
            if !own.keys().all(|instance| self.rest.is_over(instance, now)) {
                continue;
            }
            if own.is_empty() {
                self.settled.insert(Name::clone(pool), *version);
                continue;
            }
            open.push(Request {
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

    /// Gives the orders of a request, if it stands and the group is held.
    async fn serve(&mut self, request: Request) {
        let group = &*self.parts.group;
        let pool = &*request.pool;
        let begin = Instant::now();
        let token = match self.prove(&request).await {
            Ok(Some(token)) => token,
            Ok(None) => {
                info!(group, pool, asked = request.version; "orders to instances were withdrawn, or the group is lost");
                self.settled.insert(request.pool, request.version);
                return;
            }
            Err(error) => {
                info!(group, pool, asked = request.version, error:% = error; "orders to instances can't be given now");
                return;
            }
        };
        let took = begin.elapsed();
        if took > FRESH {
            warn!(group, pool, took_ms = took.as_millis(); "orders to instances were written down too slowly to be given");
            return;
        }
        for instance in request.orders.orders.keys() {
            self.next
                .ordered(instance, self.parts.order_pause, Instant::now());
        }
        let results = self.give(&request, token).await;
        self.settled
            .insert(Name::clone(&request.pool), request.version);
        self.answer(&request, results).await;
    }

    /// Proves that the request stands and the group is held, at a moment after this call; the fencing
    /// token of the orders. `None` where it doesn't, or isn't.
    async fn prove(&self, request: &Request) -> Result<Option<Version>, Error> {
        let Parts { rows, group, .. } = &self.parts;
        let Request { pool, version, .. } = request;
        let answer = Answer {
            asked: *version,
            results: BTreeMap::new(),
        };
        let txn = Txn {
            conditions: vec![
                (row::owner(pool), request.orders.owner),
                (row::orders(pool), *version),
            ],
            puts: vec![(row::answer(pool, group), written(&answer))],
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

    async fn give(&self, request: &Request, token: Version) -> BTreeMap<Name, OrderResult> {
        let holder = site::LeaseHolder {
            entry: Name::clone(&self.parts.entry),
            token,
        };
        let site = &self.parts.site;
        let by = &holder;
        let orders = request.orders.orders.iter();
        let orders = orders.map(|(instance, order)| async move {
            let result = match order {
                Order::Move(to) => site.relocate(instance, to, by).await,
                Order::Maintain(wave) => site.maintain(instance, *wave, by).await,
            };
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
                    warn!(instance = &*instance, token, error:% = error; "an order to an instance failed");
                    OrderResult::Unknown
                }
            };
            info!(instance = &*instance, pool = &*request.pool, asked = request.version, order:?, token, given:?; "order to an instance given");
            results.insert(instance, given);
        }
        results
    }

    /// Tells the pool's owner. Without an answer it asks again, and orders are idempotent.
    async fn answer(&self, request: &Request, results: BTreeMap<Name, OrderResult>) {
        let Parts { rows, group, .. } = &self.parts;
        let answer = Answer {
            asked: request.version,
            results,
        };
        let place = row::answer(&request.pool, group);
        let value = written(&answer);
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
                self.parts.picture.lock().written(&known);
            }
            Ok(Commit::Conflict(_rows)) => unreachable!("a commit without conditions"),
            Err(error) => {
                info!(group = &**group, pool = &*request.pool, error:% = error; "the answer to a pool's owner failed");
            }
        }
    }
}

fn written(answer: &Answer) -> Bytes {
    let json = serde_json::to_vec(answer).expect("an answer has text keys");
    json.into()
}
