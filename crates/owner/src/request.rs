//! Orders to a pool's instances, asked of the holders of their groups.

use crate::{own::Context, rest::SLACK};
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

/// Longest wait for the holders' answers. Two commits, a call to the platform and two looks at the feed
/// take a fifth of it; a holder that doesn't answer in this time is away, or its store is slow.
const ANSWERS: Duration = Duration::from_millis(800);

/// Age of the list of instances up to which orders are asked for by it. An instance's next life begins a second and a half after
/// the end of the one before at the earliest; until then nothing runs there, and an order by this list, which its holder gives
/// within [`ANSWERS`], cuts nothing off. The platform's answers may take seconds: an order by an older list ended tasks of a
/// life that the list didn't show.
const LIST_AGE: Duration = Duration::from_millis(500);

/// What a pool's owner asks for; one request at a time.
#[derive(Debug)]
pub(crate) struct Requests {
    context: Context,
    /// Version of the owner's row.
    owner: Version,
    /// Version of the row of requests; `None` where it isn't known.
    last: Option<Version>,
    /// Whether a request may stand that nobody waits for.
    standing: bool,
    /// When the list of instances was asked for by which orders are decided.
    listed_at: Option<Instant>,
}

impl Requests {
    /// The requests of an owner that has just taken over. Those of its predecessor don't stand any more.
    pub(crate) fn new(context: Context, owner: Version) -> Self {
        Self {
            context,
            owner,
            last: None,
            standing: false,
            listed_at: None,
        }
    }

    /// Takes in when the list was asked for by which the next orders are decided.
    pub(crate) fn listed(&mut self, asked_at: Instant) {
        self.listed_at = Some(asked_at);
    }

    /// Asks for orders to instances of the pool; what came of each that was answered: of none where the list is too old.
    ///
    /// Where an answer is missing the request is withdrawn, and this returns only when no order of it can
    /// go out any more, since the owner may use the instances again.
    ///
    /// # Errors
    /// Those of the writes. A request that may stand is withdrawn by [`Self::settle`].
    pub(crate) async fn order(
        &mut self,
        orders: BTreeMap<Name, Order>,
    ) -> Result<BTreeMap<Name, OrderResult>, Error> {
        if let Some(listed_at) = self.listed_at
            && listed_at.elapsed() > LIST_AGE
        {
            let age_ms = listed_at.elapsed().as_millis();
            info!(pool = &*self.context.pool, orders = orders.len(), age_ms; "orders to instances wait for a newer list");
            return Ok(BTreeMap::new());
        }
        let instances: BTreeSet<Name> = orders.keys().map(Name::clone).collect();
        self.standing = true;
        let Some(asked) = self.write(orders).await? else {
            return Ok(BTreeMap::new());
        };
        let results = answers(&self.context, asked, &instances).await;
        if results.len() < instances.len() {
            let missing = instances.len() - results.len();
            info!(pool = &*self.context.pool, asked, missing; "orders to instances were not answered in time");
            self.settle().await?;
        }
        self.standing = false;
        Ok(results)
    }

    /// Withdraws a request that may stand. Without this, an order that was asked for and given up on could
    /// end tasks that were placed on the instance since.
    ///
    /// # Errors
    /// Those of the write; the instances must not be used before it succeeds.
    pub(crate) async fn settle(&mut self) -> Result<(), Error> {
        if self.standing && self.write(BTreeMap::new()).await?.is_some() {
            // What was proven before the withdrawal goes out within this time.
            sleep(SLACK).await;
            self.standing = false;
        }
        Ok(())
    }

    /// Writes a request on the condition that the pool is still owned and no other was written since:
    /// one whose answer was lost must not come to stand after it. The version of its row.
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
        self.context.picture.lock().written(&Row {
            place,
            value: Some(value),
            version,
        });
        Ok(Some(version))
    }
}

/// Waits until all instances are answered for, or the time is over.
async fn answers(
    context: &Context,
    asked: Version,
    instances: &BTreeSet<Name>,
) -> BTreeMap<Name, OrderResult> {
    let groups: BTreeSet<Name> = instances.iter().map(|name| row::group(name)).collect();
    let deadline = Instant::now() + ANSWERS;
    let mut news = context.picture.lock().news();
    loop {
        news.mark_unchanged();
        let results: BTreeMap<Name, OrderResult> = {
            let picture = context.picture.lock();
            let answers = groups.iter();
            let answers = answers.filter_map(|group| picture.answer(&context.pool, group, asked));
            let results = answers.flat_map(|answer| &answer.results);
            results
                .map(|(instance, given)| (Name::clone(instance), *given))
                .collect()
        };
        let complete = results.len() >= instances.len();
        if complete || timeout_at(deadline, news.changed()).await.is_err() {
            return results;
        }
    }
}
