//! Owners of pools and heartbeats of entries, as the store's change feed shows them.

use crate::{
    clock::Clock,
    follow::{Sink, Source},
    membership::members::Members,
};
use async_trait::async_trait;
use bytes::Bytes;
use futures::future::try_join_all;
use parking_lot::Mutex;
use primroseroute_cell::{
    Millis,
    row::{self, Answer, ControlKey, DesiredWorkers, Member, Orders, Owner},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Page, Range, Row, Rows, Version, read_all},
    site::Configuration,
};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch::{self, Receiver},
    time::{Instant, timeout},
};

/// Interval between two reads of the change feed by an entry that is no candidate.
const OBSERVER_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum age of what such an entry sees: one interval, and a call that is late.
const OBSERVER_LAG: Millis = 2_400;

/// How much later than a candidate any other entry may learn that an entry has died: it allows it
/// [`OBSERVER_LAG`] longer, and reads heartbeats that late.
pub(crate) const NOTICE_SPREAD: Millis = 2 * OBSERVER_LAG;

/// The table of owners and heartbeats.
#[derive(Debug)]
pub(crate) struct Table {
    pub rows: Arc<dyn Rows>,
    pub configuration: Receiver<Option<Arc<Configuration>>>,
    /// Whether this entry owns something, or would take it over.
    pub candidate: Receiver<bool>,
}

impl Table {
    /// Waits until the next read is due; a candidate doesn't wait.
    async fn wait_until_due(&self) {
        let mut candidate = self.candidate.clone();
        let becomes_candidate = candidate.wait_for(|candidate| *candidate);
        if timeout(OBSERVER_INTERVAL, becomes_candidate).await.is_err() {
            log::trace!("control table is read again");
        }
    }
}

#[async_trait]
impl Source for Table {
    type Item = Row;

    async fn read_full(&self) -> Result<(Vec<Row>, Version), Error> {
        // Without the pools' partitions the current owners would be taken for absent.
        let mut configuration = self.configuration.clone();
        let parts = {
            let known = configuration.wait_for(Option::is_some).await;
            let known = known.map_err(|_closed| Error::Unavailable("the entry stops".into()))?;
            let pools = known.iter().flat_map(|known| &known.pools);
            row::control_parts(pools.map(|pool| &pool.name))
        };
        read_parts(&*self.rows, row::CONTROL, &parts).await
    }

    async fn changes_after(&self, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.wait_until_due().await;
        self.rows.feed(row::CONTROL, after, wait).await
    }
}

/// Partitions that are read concurrently: enough to load a pool in a few round trips, and few
/// enough that the new owners of all pools together stay far below the store's rate limit.
const CONCURRENT_READS: usize = 8;

/// How long a partition that the store throttles is read again while the results of the others are
/// kept.
const THROTTLED_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads partitions of a table in full; a change feed from the returned version misses nothing.
///
/// A throttled partition is read again on its own: a read that restarts with each throttled call
/// never ends if the store accepts fewer calls than all entries' reads need together.
pub(crate) async fn read_parts(
    rows: &dyn Rows,
    table: &str,
    parts: &[Name],
) -> Result<(Vec<Row>, Version), Error> {
    let mut all = Vec::new();
    let mut oldest = Version::MAX;
    for chunk in parts.chunks(CONCURRENT_READS) {
        let reads = chunk.iter().map(|part| {
            let range = Range {
                table: table.into(),
                partition: Name::clone(part),
                from: None,
                to: None,
            };
            read_part(rows, range)
        });
        for page in try_join_all(reads).await? {
            oldest = oldest.min(page.version);
            all.extend(page.rows);
        }
    }
    Ok((all, oldest))
}

/// Reads one partition, and retries while the store throttles it; the delays between attempts are
/// those of `rows`.
async fn read_part(rows: &dyn Rows, range: Range) -> Result<Page, Error> {
    let begin = Instant::now();
    loop {
        match read_all(rows, range.clone()).await {
            Err(Error::Throttled) if begin.elapsed() < THROTTLED_READ_TIMEOUT => {}
            result => return result,
        }
    }
}

/// Parses a row's JSON; a row that can't be parsed is logged and left out.
pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    let value: &Bytes = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(read) => Some(read),
        Err(error) => {
            let key = &*row.place.key;
            log::error!(key, error:% = error; "ignoring row that can't be parsed");
            None
        }
    }
}

/// This entry's view of the table.
#[derive(Debug, Default)]
pub(crate) struct ControlView {
    pub members: Members,
    pub owners: BTreeMap<Name, (Owner, Version)>,
    /// How many workers each pool needs.
    pub desired_workers: BTreeMap<Name, DesiredWorkers>,
    /// The orders that the owner of each pool requests, with the version of their row.
    pub orders: BTreeMap<Name, (Orders, Version)>,
    /// The answers of the group holders to the owners of pools.
    answers: BTreeMap<(Name, Name), (Answer, Version)>,
    /// Notified of each row that is recorded.
    changes: watch::Sender<()>,
    /// Whether the change feed is up to date: not before the first read, nor while calls fail.
    pub is_current: bool,
    /// When this entry's own heartbeat was last written without delay.
    pub own_heartbeat_at: Option<Millis>,
    /// Since when this entry has been a candidate; `None` while it isn't one.
    candidate_since: Option<Millis>,
}

/// Maximum age of this entry's own last timely heartbeat for it to judge others. A store that is
/// slow or rejects calls for everyone blocks their heartbeats as well: without this, all entries
/// would take over each other's pools at the same moment.
const OWN_HEARTBEAT_MAX_AGE: Millis = 1_300;

impl ControlView {
    /// Forgets what was seen of the entries: from now on their heartbeats aren't followed.
    pub(crate) fn stop_following(&mut self) {
        self.members = Members::default();
        self.is_current = false;
        self.own_heartbeat_at = None;
        self.candidate_since = None;
    }

    /// Whether missing heartbeats of others prove anything.
    pub(crate) fn can_judge(&self, now: Millis) -> bool {
        let is_timely = self
            .own_heartbeat_at
            .is_some_and(|at| now < at + OWN_HEARTBEAT_MAX_AGE);
        self.is_current && is_timely
    }

    /// Records whether this entry is a candidate, and so reads the table continuously.
    ///
    /// What it saw before it became one is outdated: for that long it still allows others the
    /// longer time.
    pub(crate) fn set_candidate(&mut self, candidate: bool, now: Millis) {
        if !candidate {
            self.candidate_since = None;
            self.members.set_lag(OBSERVER_LAG);
            return;
        }
        let since = *self.candidate_since.get_or_insert(now);
        if now >= since + OBSERVER_LAG {
            self.members.set_lag(0);
        }
    }

    /// Records that this entry's own heartbeat was written. After a time in which none was, others
    /// get the full timeout again.
    pub(crate) fn record_own_heartbeat(&mut self, now: Millis) {
        if !self.can_judge(now) {
            self.members.restart_timeouts(now);
        }
        self.own_heartbeat_at = Some(now);
    }

    /// The answer of the holder of `group` to the request of `pool`'s owner whose row has version
    /// `asked`.
    pub(crate) fn answer(&self, pool: &Name, group: &Name, asked: Version) -> Option<&Answer> {
        let key = (Name::clone(pool), Name::clone(group));
        let (answer, _version) = self.answers.get(&key)?;
        (answer.asked == asked).then_some(answer)
    }

    /// The live entry that owns a pool or holds a group, and the version of its row.
    pub(crate) fn live_owner(&self, name: &Name, now: Millis) -> Option<(&Owner, Version)> {
        let (owner, version) = self.owners.get(name)?;
        let alive = self.members.is_alive(&owner.entry, owner.incarnation, now);
        (alive && !owner.released).then_some((owner, *version))
    }

    /// Notifies of each row that is recorded from now on.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Pools or groups of `names` without a live owner, each with the entry that had it last and
    /// didn't release it.
    pub(crate) fn unowned(&self, names: &[Name], now: Millis) -> BTreeMap<Name, Option<Name>> {
        let unowned = names
            .iter()
            .filter(|name| self.live_owner(name, now).is_none());
        unowned
            .map(|name| {
                let last = self.owners.get(name);
                let last = last.filter(|(owner, _version)| !owner.released);
                let last = last.map(|(owner, _version)| Name::clone(&owner.entry));
                (Name::clone(name), last)
            })
            .collect()
    }

    /// Whether the last owner of a pool or a group has released it.
    pub(crate) fn is_released(&self, name: &Name) -> bool {
        let owner = self.owners.get(name);
        owner.is_some_and(|(owner, _version)| owner.released)
    }

    /// Pools and groups whose row names this incarnation of an entry as the owner.
    pub(crate) fn owned_by(&self, entry: &Name, incarnation: u64) -> Vec<Name> {
        let owned = self.owners.iter().filter(|(_pool, (owner, _version))| {
            !owner.released && owner.entry == *entry && owner.incarnation == incarnation
        });
        owned.map(|(pool, _owner)| Name::clone(pool)).collect()
    }

    /// For each entry, the number of pools that it owns, or of groups that it holds.
    pub(crate) fn owned_counts(&self, groups: bool) -> BTreeMap<Name, usize> {
        let mut counts = BTreeMap::new();
        for (name, (owner, _version)) in &self.owners {
            if !owner.released && row::is_group(name) == groups {
                *counts.entry(Name::clone(&owner.entry)).or_default() += 1;
            }
        }
        counts
    }
}

impl ControlView {
    /// Records a row of requests or answers that this entry has just written, so that its other
    /// parts needn't wait for the change feed.
    pub(crate) fn record_own_write(&mut self, row: &Row) {
        self.record(row, 0);
    }

    pub(crate) fn record(&mut self, row: &Row, now: Millis) {
        match ControlKey::of(&row.place) {
            Some(ControlKey::Member(entry)) => {
                let member: Option<Member> = parse(row);
                self.members.record(entry, member, now);
            }
            Some(ControlKey::Owner(pool)) => match parse::<Owner>(row) {
                Some(owner) => {
                    self.owners.insert(pool, (owner, row.version));
                }
                None => {
                    self.owners.remove(&pool);
                }
            },
            Some(ControlKey::DesiredWorkers(pool)) => {
                if let Some(wanted) = parse::<DesiredWorkers>(row) {
                    self.desired_workers.insert(pool, wanted);
                }
            }
            Some(ControlKey::Orders(pool)) => {
                let known = self
                    .orders
                    .get(&pool)
                    .map_or(0, |(_orders, version)| *version);
                if row.version > known
                    && let Some(orders) = parse::<Orders>(row)
                {
                    self.orders.insert(pool, (orders, row.version));
                }
            }
            Some(ControlKey::Answer { pool, group }) => {
                let key = (pool, group);
                let known = self
                    .answers
                    .get(&key)
                    .map_or(0, |(_answer, version)| *version);
                if row.version > known
                    && let Some(answer) = parse::<Answer>(row)
                {
                    self.answers.insert(key, (answer, row.version));
                }
            }
            None => log::warn!(key = &*row.place.key; "ignoring unknown row in the control table"),
        }
        self.changes.send_replace(());
    }
}

/// Applies the change feed to the view.
#[derive(Debug)]
pub(crate) struct ControlSink {
    pub view: Arc<Mutex<ControlView>>,
    pub clock: Clock,
    pub was_interrupted: bool,
}

impl Sink for ControlSink {
    type Item = Row;

    fn reset(&mut self, items: Vec<Row>) {
        let mut view = self.view.lock();
        let now = self.clock.now();
        for row in &items {
            view.record(row, now);
        }
    }

    fn apply(&mut self, items: Vec<Row>) {
        let mut view = self.view.lock();
        let now = self.clock.now();
        for row in &items {
            view.record(row, now);
        }
    }

    fn confirmed(&mut self, _at: Instant) {
        if std::mem::take(&mut self.was_interrupted) {
            let mut view = self.view.lock();
            view.members.restart_timeouts(self.clock.now());
            view.is_current = true;
        }
    }

    fn interrupted(&mut self) {
        self.was_interrupted = true;
        self.view.lock().is_current = false;
    }
}
