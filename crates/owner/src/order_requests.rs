//! Requests to the holders of instance groups for orders to a pool's instances.

use crate::{ownership::Context, rest::SLACK};
use bytes::Bytes;
use log::info;
use primroseroute_cell::row::{self, Order, OrderResult, Orders};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Row, Txn, Version, read_row},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout_at};

/// Longest wait for the holders' answers. Two commits, a call to the platform and two reads of the
/// change feed take a fifth of it; a holder that doesn't answer in this time is down, or its store
/// is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum age of the list of instances for orders that are based on it. An instance's next
/// incarnation starts at the earliest a second and a half after the previous one ended; until then
/// nothing runs there, and an order based on this list, which its holder issues within [`ANSWER_TIMEOUT`],
/// cuts nothing off. The platform's answers may take seconds: an order based on an older list ended
/// tasks of an incarnation that the list didn't show.
const MAX_LIST_AGE: Duration = Duration::from_millis(500);

/// The requests of a pool's owner; one at a time.
#[derive(Debug)]
pub(crate) struct OrderRequests {
    context: Context,
    /// Version of the owner's row.
    owner: Version,
    /// Version of the row of requests; `None` if it isn't known.
    last: Option<Version>,
    /// Whether a request may be open that nobody waits for.
    may_be_open: bool,
    /// When the list of instances on which orders are based was requested.
    listed_at: Option<Instant>,
}

impl OrderRequests {
    /// The requests of an owner that has just taken over. Those of its predecessor are no longer
    /// valid.
    pub(crate) fn new(context: Context, owner: Version) -> Self {
        Self {
            context,
            owner,
            last: None,
            may_be_open: false,
            listed_at: None,
        }
    }

    /// Records when the list on which the next orders are based was requested.
    pub(crate) fn set_listed_at(&mut self, asked_at: Instant) {
        self.listed_at = Some(asked_at);
    }

    /// Requests orders to instances of the pool; returns the result of each that was answered: of
    /// none if the list is too old.
    ///
    /// If an answer is missing the request is withdrawn, and this returns only when no order of it
    /// can go out any more, since the owner may use the instances again.
    ///
    /// # Errors
    /// Those of the writes. A request that may be open is withdrawn by [`Self::withdraw`].
    pub(crate) async fn send(
        &mut self,
        orders: BTreeMap<Name, Order>,
    ) -> Result<BTreeMap<Name, OrderResult>, Error> {
        if let Some(listed_at) = self.listed_at
            && listed_at.elapsed() > MAX_LIST_AGE
        {
            let age_ms = listed_at.elapsed().as_millis();
            info!(pool = &*self.context.pool, orders = orders.len(), age_ms; "orders to instances deferred: list of instances too old");
            return Ok(BTreeMap::new());
        }
        let instances: BTreeSet<Name> = orders.keys().map(Name::clone).collect();
        self.may_be_open = true;
        let Some(asked) = self.write(orders).await? else {
            return Ok(BTreeMap::new());
        };
        let results = wait_for_answers(&self.context, asked, &instances).await;
        if results.len() < instances.len() {
            let missing = instances.len() - results.len();
            info!(pool = &*self.context.pool, asked, missing; "orders to instances not answered in time");
            self.withdraw().await?;
        }
        self.may_be_open = false;
        Ok(results)
    }

    /// Withdraws a request that may be open. Without this, an abandoned order could end tasks that
    /// were placed on the instance since.
    ///
    /// # Errors
    /// Those of the write; the instances must not be used before it succeeds.
    pub(crate) async fn withdraw(&mut self) -> Result<(), Error> {
        if self.may_be_open && self.write(BTreeMap::new()).await?.is_some() {
            // Orders that were proven valid before the withdrawal arrive within this time.
            sleep(SLACK).await;
            self.may_be_open = false;
        }
        Ok(())
    }

    /// Writes a request on the condition that the pool is still owned and no other was written
    /// since: one whose answer was lost must not take effect after it. Returns the version of its
    /// row.
    async fn write(&mut self, orders: BTreeMap<Name, Order>) -> Result<Option<Version>, Error> {
        let pool = &self.context.pool;
        let place = row::orders(pool);
        let last = if let Some(last) = self.last.take() {
            last
        } else {
            let known = read_row(&*self.context.rows, place.clone()).await?;
            known.map_or(0, |row| row.version)
        };
        let owner = self.owner;
        let value = serde_json::to_vec(&Orders { owner, orders }).expect("orders have text keys");
        let value = Bytes::from(value);
        let txn = Txn {
            conditions: vec![(row::owner(pool), owner), (place.clone(), last)],
            puts: vec![(place.clone(), value.clone())],
            deletes: Vec::new(),
        };
        let Commit::Committed(version) = self.context.rows.commit(txn).await? else {
            return Ok(None);
        };
        self.last = Some(version);
        self.context.view.lock().record_own_write(&Row {
            place,
            value: Some(value),
            version,
        });
        Ok(Some(version))
    }
}

/// Waits until all instances are answered for, or the time is over.
async fn wait_for_answers(
    context: &Context,
    asked: Version,
    instances: &BTreeSet<Name>,
) -> BTreeMap<Name, OrderResult> {
    let groups: BTreeSet<Name> = instances.iter().map(|name| row::group(name)).collect();
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut updates = context.view.lock().changes();
    loop {
        updates.mark_unchanged();
        let results: BTreeMap<Name, OrderResult> = {
            let view = context.view.lock();
            let answers = groups.iter();
            let answers = answers.filter_map(|group| view.answer(&context.pool, group, asked));
            let results = answers.flat_map(|answer| &answer.results);
            results
                .map(|(instance, result)| (Name::clone(instance), *result))
                .collect()
        };
        let complete = results.len() >= instances.len();
        if complete || timeout_at(deadline, updates.changed()).await.is_err() {
            return results;
        }
    }
}
