//! The budgets of accounts, as the owner of one pool uses and changes them.

use crate::{
    control::{parse, read_parts},
    event::Event,
    follow::Source,
};
use async_trait::async_trait;
use log::{debug, error, info, warn};
use primroseroute_accounts::{
    budget::{Budget, Usage, User, is_limited},
    meter::{Limit, Meter},
};
use primroseroute_backoff::Retry;
use primroseroute_cell::{Millis, row};
use primroseroute_domain::work::{Demand, Name};
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Row, Rows, Txn, Version},
    site::{Account, Configuration},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::sync::mpsc::UnboundedSender;

/// Minimum time between two writes of budgets by one owner.
const WRITE_INTERVAL_MS: Millis = 250;

/// Maximum budgets per write; each takes two of the 100 entries of a transaction.
const MAX_BUDGETS: usize = 45;

/// Length of the values of a write in bytes from which on no budget is added. Budgets grow with the
/// number of pools; the store accepts 1 MB, in base64.
const MAX_BYTES: usize = 500_000;

/// Time after which a budget that the store refuses is written again.
const REFUSED_RETRY_MS: Millis = 5_000;

/// First and longest delay before a write is retried.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(400)];

/// The table of budgets.
pub(crate) struct Table {
    pub rows: Arc<dyn Rows>,
    /// The store for the first read: until then, no task of an account with a maximum starts.
    pub takeover_rows: Arc<dyn Rows>,
}

#[async_trait]
impl Source for Table {
    type Item = Row;

    async fn read_full(&self) -> Result<(Vec<Row>, Version), Error> {
        read_parts(&*self.takeover_rows, row::ACCOUNTS, &[row::ACCOUNTS.into()]).await
    }

    async fn changes_after(&self, after: Version, wait: Duration) -> Result<Feed<Row>, Error> {
        self.rows.feed(row::ACCOUNTS, after, wait).await
    }
}

/// Sends the rows to the pool's loop.
pub(crate) struct Sink(pub UnboundedSender<Event>);

impl crate::follow::Sink for Sink {
    type Item = Row;

    fn reset(&mut self, items: Vec<Row>) {
        self.apply(items);
    }

    fn apply(&mut self, items: Vec<Row>) {
        if self.0.send(Event::Budgets(items)).is_err() {
            debug!("the pool's loop has ended");
        }
    }
}

/// The outcome of a write of budgets.
#[derive(Clone, Debug)]
pub(crate) enum Written {
    /// All are written, with this version.
    Committed(Version),
    /// None is written: some had changed, and these are the current rows.
    Conflict(Vec<Row>),
    /// None is written: the store rejects the write as invalid.
    Refused(Error),
}

/// The budgets of one owner's pool.
#[derive(Debug)]
pub(crate) struct Budgets {
    pool: Name,
    token: Version,
    /// Each budget with its version, as last read or written; `None` before the first read.
    known: Option<BTreeMap<Name, (Version, Budget)>>,
    /// What is being written. It restricts this owner already, and entitles it to nothing yet.
    pending: Option<BTreeMap<Name, Budget>>,
    written_at: Option<Millis>,
    /// Maximum budgets of the next write; fewer after one that the store has refused.
    batch_limit: usize,
    /// Accounts whose budgets the store refuses, with the time at which they are written again.
    refused_until: BTreeMap<Name, Millis>,
    /// Accounts with tasks that their limit keeps from starting.
    refused: BTreeSet<Name>,
}

impl Budgets {
    pub(crate) fn new(pool: Name, token: Version) -> Self {
        Self {
            pool,
            token,
            known: None,
            pending: None,
            written_at: None,
            batch_limit: MAX_BUDGETS,
            refused_until: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    fn user<'a>(&'a self, configuration: &Configuration, account: &Account) -> User<'a> {
        User {
            pool: &self.pool,
            token: self.token,
            configuration: configuration.number,
            maximum: account.maximum,
        }
    }

    /// The limits of the accounts in the pool. `is_current` tells whether the configuration is known
    /// to be in force; without that, a maximum may have been lowered.
    pub(crate) fn limits(
        &self,
        configuration: &Configuration,
        is_current: bool,
    ) -> BTreeMap<Name, Limit> {
        // A maximum that is no longer configured holds until the budget is written without it.
        let has_budget = |account: &Name| {
            self.known
                .as_ref()
                .is_some_and(|known| known.contains_key(account))
        };
        let accounts = configuration.accounts.iter();
        let limited =
            accounts.filter(|account| is_limited(account.maximum) || has_budget(&account.name));
        let limits = limited.map(|account| {
            let user = self.user(configuration, account);
            let limit = Limit {
                room: if is_current {
                    self.room(&account.name, &user)
                } else {
                    Demand::default()
                },
                maximum: account.maximum,
            };
            (Name::clone(&account.name), limit)
        });
        limits.collect()
    }

    fn room(&self, account: &Name, user: &User<'_>) -> Demand {
        let known = self.known.as_ref().and_then(|known| known.get(account));
        let Some((_version, budget)) = known else {
            return Demand::default();
        };
        let room = budget.room(user);
        let pending = self.pending.as_ref();
        match pending.and_then(|pending| pending.get(account)) {
            Some(pending) => room.smaller(pending.room(user)),
            None => room,
        }
    }

    /// The write that is due, if any. It has to be sent, and its outcome recorded.
    pub(crate) fn write(
        &mut self,
        configuration: &Configuration,
        meter: &Meter,
        now: Millis,
    ) -> Option<Txn> {
        let is_early = |at: Millis| now < at + WRITE_INTERVAL_MS;
        if self.pending.is_some() || self.written_at.is_some_and(is_early) {
            return None;
        }
        let known = self.known.as_ref()?;
        let is_standby = configuration
            .pools
            .iter()
            .any(|pool| pool.standby && pool.name == self.pool);
        let pools = || {
            let pools = configuration.pools.iter();
            pools.filter(|pool| !pool.standby).map(|pool| &pool.name)
        };
        let mut pending = BTreeMap::new();
        let mut txn = Txn::default();
        let mut bytes = 0;
        for account in &configuration.accounts {
            let found = known.get(&account.name);
            let is_full = pending.len() >= self.batch_limit || bytes >= MAX_BYTES;
            let refused_until = self.refused_until.get(&account.name);
            if is_full
                || refused_until.is_some_and(|until| now < *until)
                || (found.is_none() && !is_limited(account.maximum))
            {
                continue;
            }
            let user = self.user(configuration, account);
            let usage = meter.usage(&account.name);
            if is_standby && usage == Usage::default() {
                continue;
            }
            let next = if let Some((_version, budget)) = found {
                budget.decide(&user, usage)
            } else {
                let new = Budget::new(&user, pools());
                Some(new.decide(&user, usage).unwrap_or(new))
            };
            let Some(next) = next else {
                continue;
            };
            let place = row::budget(&account.name);
            let version = found.map_or(0, |(version, _budget)| *version);
            let value = serde_json::to_vec(&next).expect("a budget has text keys");
            bytes += value.len();
            txn.conditions.push((place.clone(), version));
            txn.puts.push((place, value.into()));
            pending.insert(Name::clone(&account.name), next);
        }
        if pending.is_empty() {
            return None;
        }
        self.pending = Some(pending);
        self.written_at = Some(now);
        Some(txn)
    }

    /// Records the outcome of a write.
    pub(crate) fn record_written(&mut self, written: Written, now: Millis) {
        let pending = self.pending.take().unwrap_or_default();
        match written {
            Written::Committed(version) => {
                self.batch_limit = MAX_BUDGETS.min(self.batch_limit * 2);
                let known = self.known.get_or_insert_default();
                for (account, budget) in pending {
                    self.refused_until.remove(&account);
                    known.insert(account, (version, budget));
                }
            }
            Written::Conflict(rows) => {
                // The owner that has written them in between may need another write.
                self.written_at = None;
                self.apply(&rows);
            }
            Written::Refused(reason) => {
                self.batch_limit = (pending.len() / 2).max(1);
                if let Some(account) = pending.keys().next().filter(|_| pending.len() == 1) {
                    error!(pool = &*self.pool, account = &**account, error:% = reason; "store refuses the budget of an account");
                    let until = now + REFUSED_RETRY_MS;
                    self.refused_until.insert(Name::clone(account), until);
                }
            }
        }
    }

    /// Applies rows that were read.
    pub(crate) fn apply(&mut self, rows: &[Row]) {
        let known = self.known.get_or_insert_default();
        for row in rows {
            let version = known.get(&row.place.key).map_or(0, |(version, _)| *version);
            if row.version > version
                && let Some(budget) = parse::<Budget>(row)
            {
                known.insert(Name::clone(&row.place.key), (row.version, budget));
            }
        }
    }

    /// Logs which accounts have reached their limit in the pool, and which no longer have.
    pub(crate) fn log_refusals(&mut self, configuration: &Configuration, meter: &Meter) {
        let refused = meter.usages();
        let refused = refused.filter(|(_, usage)| usage.refused != Demand::default());
        let refused: BTreeMap<Name, Usage> = refused
            .map(|(name, usage)| (Name::clone(name), usage))
            .collect();
        let known = self.known.as_ref();
        for (account, usage) in &refused {
            if self.refused.contains(account) {
                continue;
            }
            let budget = known.and_then(|known| known.get(account));
            let budget = budget.map(|(_version, budget)| budget);
            let held = budget.and_then(|budget| budget.pools.get(&self.pool));
            let held_cpu = held.map_or(0, |holding| holding.held.cpu);
            let maximum_cpu = budget.map_or(0, |budget| budget.maximum.cpu);
            let (used_cpu, refused_cpu) = (usage.used.cpu, usage.refused.cpu);
            let configuration = configuration.number;
            info!(pool = &*self.pool, account = &**account, used_cpu, refused_cpu, held_cpu, maximum_cpu, configuration; "account has reached its limit in the pool");
        }
        for account in &self.refused {
            if !refused.contains_key(account) {
                info!(pool = &*self.pool, account = &**account; "account is below its limit in the pool again");
            }
        }
        self.refused = refused.into_keys().collect();
    }
}

/// Sends a write of budgets until it has an answer.
///
/// Without an answer it may still take effect. Sending it again resolves that: the conditions hold
/// for one of the two only.
pub(crate) async fn send(
    rows: Arc<dyn Rows>,
    txn: Txn,
    pool: Name,
    events: UnboundedSender<Event>,
) {
    let [first, longest] = RETRY_DELAYS;
    let mut retry = Retry::new(first, longest, &pool);
    let mut is_failing = false;
    let written = loop {
        match rows.commit(txn.clone()).await {
            Ok(Commit::Committed(version)) => break Written::Committed(version),
            Ok(Commit::Conflict(rows)) => break Written::Conflict(rows),
            Err(error @ Error::Invalid(_)) => break Written::Refused(error),
            Err(error) if !std::mem::replace(&mut is_failing, true) => {
                warn!(pool = &*pool, error:% = error; "budgets not written yet");
            }
            Err(_again) => {}
        }
        retry.sleep().await;
    };
    if events.send(Event::BudgetsWritten(written)).is_err() {
        debug!("the pool's loop has ended");
    }
}
