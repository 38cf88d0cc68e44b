//! Presence of this entry, and the set of active entries: reads it, and publishes it where this
//! entry is among the first of those that may.

use super::{
    active_set::{self, Observed, Publisher, Standing},
    elect,
};
use crate::{
    control::{ControlView, parse, read_parts},
    entry::Components,
};
use log::{debug, info};
use parking_lot::Mutex;
use primroseroute_cell::{
    Millis,
    row::{self, ActiveSet, Presence},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, read_row},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Interval between two writes of an entry's presence. Publishers alone read it, and a passive entry
/// that is lost is no loss until it is named.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(20);

/// Time over which entries that start together spread the first write of their presence, if the
/// system has run before.
const PRESENCE_SPREAD: Duration = Duration::from_secs(2);

/// Time after the first write of its presence before an entry concludes from that of others that it
/// has to become active: entries that start together do so within 0.3 s.
const VOLUNTEER_DELAY: Duration = Duration::from_millis(400);

/// Interval between two reads of the set by a passive entry: all of them together are the largest
/// number of calls at rest.
const PASSIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The same while the set hasn't changed since the last read.
const UNCHANGED_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between two looks of an active entry at what is due.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two publications of the set.
const PUBLISH_INTERVAL: Millis = 2_000;

/// How much longer each next publisher waits for those before it.
const PUBLISHER_STAGGER: Millis = 1_000;

/// Number of entries that publish the set, each if those before it don't.
const PUBLISHERS: usize = 4;

/// Interval between two reads of the presence of all entries by a publisher.
const PRESENCE_READ_INTERVAL: Millis = 10_000;

/// Longest time that the removal of this entry's presence may take when it stops.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) struct Activity {
    components: Components,
    view: Arc<Mutex<ControlView>>,
    /// Whether this entry is to be active.
    wanted: watch::Sender<bool>,
    /// Whether it is.
    active: watch::Receiver<bool>,
    observed: Observed,
    publisher: Publisher,
    /// When the presence of all entries was last read.
    presence_read_at: Option<Millis>,
    /// When this entry's presence is to be written next.
    presence_due: Option<Instant>,
    beat: u64,
}

impl Activity {
    pub(crate) fn new(
        components: Components,
        view: Arc<Mutex<ControlView>>,
        wanted: watch::Sender<bool>,
        active: watch::Receiver<bool>,
    ) -> Self {
        Self {
            observed: Observed::new(Name::clone(&components.entry)),
            publisher: Publisher::default(),
            presence_read_at: None,
            presence_due: None,
            beat: 0,
            components,
            view,
            wanted,
            active,
        }
    }

    /// Keeps this entry present, and learns whether it is to be active, until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let interval = self.look().await;
            self.write_presence_if_due().await;
            let mut active = self.active.clone();
            active.mark_unchanged();
            match timeout(interval, active.changed()).await {
                Ok(Ok(())) => debug!("activity of the entry changed"),
                Ok(Err(_stopped)) => return,
                Err(_elapsed) => {}
            }
        }
    }

    /// Publishes or reads the set, if that is due; returns the time until the next look.
    async fn look(&mut self) -> Duration {
        if *self.active.borrow() {
            match self.publisher_rank() {
                Some(0) => self.publish_if_due(0).await,
                Some(rank) => {
                    self.read().await;
                    self.publish_if_due(rank).await;
                }
                // An active entry is named again in time, or needn't be active any more.
                None if self.observed.unchanged_for(self.now()) < millis(PASSIVE_INTERVAL) => {}
                None => {
                    self.read().await;
                }
            }
            return ACTIVE_INTERVAL;
        }
        match self.read().await {
            Standing::Active => ACTIVE_INTERVAL,
            Standing::Passive => PASSIVE_INTERVAL,
            Standing::Unknown | Standing::Unpublished => UNCHANGED_INTERVAL,
        }
    }

    fn now(&self) -> Millis {
        self.components.clock.now()
    }

    /// Reads the set, and acts on it.
    async fn read(&mut self) -> Standing {
        let sent_at = self.now();
        let read = read_row(&*self.components.rows, row::active_set()).await;
        let standing = match read {
            Ok(row) => {
                let set = row.and_then(|row| Some((parse::<ActiveSet>(&row)?, row.version)));
                let now = self.now();
                self.observed.record(set, sent_at, now)
            }
            Err(error) => {
                debug!("reading the active set failed: {error}");
                let now = self.now();
                self.observed.record_failure(now);
                return Standing::Unknown;
            }
        };
        match standing {
            Standing::Active => self.set_wanted(true, "named"),
            Standing::Passive => self.set_wanted(false, "others are named"),
            Standing::Unknown => {}
            Standing::Unpublished => {
                if !*self.wanted.borrow() {
                    self.volunteer().await;
                }
            }
        }
        standing
    }

    fn set_wanted(&self, wanted: bool, reason: &'static str) {
        if self.wanted.send_replace(wanted) != wanted {
            info!(wanted, reason; "wanted activity of this entry changed");
        }
    }

    /// Becomes active without being named, if this entry is among the first of its partition.
    async fn volunteer(&mut self) {
        if self.beat == 0 {
            self.write_presence().await;
            sleep(VOLUNTEER_DELAY).await;
        }
        let part = row::presence_part(&self.components.entry);
        match read_parts(&*self.components.rows, row::PRESENCE, &[part]).await {
            Ok((rows, _version)) => {
                let present = rows.iter().filter_map(presence_of);
                let mut present: BTreeMap<Name, u32> = present
                    .map(|(entry, presence)| (entry, presence.strength))
                    .collect();
                let own = Name::clone(&self.components.entry);
                present.insert(own, self.components.strength);
                if self.observed.volunteers(&present) {
                    self.set_wanted(true, "no active set is published");
                }
            }
            Err(error) => debug!("reading presence failed: {error}"),
        }
    }

    /// The number of entries that publish the set before this one does; `None` if it doesn't.
    fn publisher_rank(&self) -> Option<usize> {
        let view = self.view.lock();
        let now = self.now();
        if !view.can_judge(now) {
            return None;
        }
        let eligible = view.members.eligible(now);
        let first = elect::ranked(&eligible).into_iter().take(PUBLISHERS);
        let mut first = first.enumerate();
        first
            .find(|(_rank, entry)| **entry == self.components.entry)
            .map(|(rank, _entry)| rank)
    }

    async fn publish_if_due(&mut self, rank: usize) {
        let now = self.now();
        let patience = PUBLISH_INTERVAL + PUBLISHER_STAGGER * rank as u64;
        if self.observed.unchanged_for(now) < patience && self.observed.is_known() {
            return;
        }
        if let Err(error) = self.publish().await {
            debug!("publishing the active set failed: {error}");
            self.observed.record_failure(now);
        }
    }

    async fn publish(&mut self) -> Result<(), Error> {
        let rows = Arc::clone(&self.components.rows);
        let now = self.now();
        let read_due = self
            .presence_read_at
            .is_none_or(|at| now >= at + PRESENCE_READ_INTERVAL);
        if read_due {
            let (read, _version) =
                read_parts(&*rows, row::PRESENCE, &row::presence_parts()).await?;
            let read = read.iter().filter_map(presence_of).collect();
            self.publisher.record_presence(read, now);
            self.presence_read_at = Some(now);
        }
        let (active, size) = {
            let configuration = self.components.watch.configuration.borrow();
            let pools = configuration.iter().flat_map(|known| &known.pools);
            let pools_and_groups = pools.count() + row::groups().count();
            let active = self.view.lock().members.eligible(now);
            (active, active_set::size(pools_and_groups))
        };
        let set = self.publisher.publish(&active, size, now);
        let value = serde_json::to_vec(&set).expect("a set of names has plain fields");
        let txn = Txn {
            puts: vec![(row::active_set(), value.into())],
            ..Txn::default()
        };
        if let Commit::Committed(version) = rows.commit(txn).await? {
            let is_named = set.entries.contains(&self.components.entry);
            self.observed.record_own(set, version, self.now());
            self.set_wanted(is_named, "published");
        }
        Ok(())
    }

    async fn write_presence_if_due(&mut self) {
        let name = &self.components.entry;
        let Some(due) = self.presence_due else {
            let spread = row::hash(name) % millis(PRESENCE_SPREAD);
            self.presence_due = Some(Instant::now() + Duration::from_millis(spread));
            return;
        };
        if Instant::now() >= due {
            self.write_presence().await;
        }
    }

    async fn write_presence(&mut self) {
        self.beat += 1;
        let presence = Presence {
            incarnation: self.components.incarnation,
            beat: self.beat,
            strength: self.components.strength,
        };
        let value = serde_json::to_vec(&presence).expect("presence has plain fields");
        let txn = Txn {
            puts: vec![(row::presence(&self.components.entry), value.into())],
            ..Txn::default()
        };
        self.presence_due = Some(Instant::now() + PRESENCE_INTERVAL);
        if let Err(error) = self.components.rows.commit(txn).await {
            debug!("writing the entry's presence failed: {error}");
            self.presence_due = Some(Instant::now() + PASSIVE_INTERVAL);
        }
    }
}

/// Removes the presence of an entry that stops, so that it isn't named any more.
pub(crate) async fn remove_presence(components: &Components) {
    let txn = Txn {
        deletes: vec![row::presence(&components.entry)],
        ..Txn::default()
    };
    match timeout(REMOVAL_TIMEOUT, components.rows.commit(txn)).await {
        Ok(Ok(_commit)) => {}
        Ok(Err(error)) => debug!("removing the entry's presence failed: {error}"),
        Err(_elapsed) => debug!("removing the entry's presence timed out"),
    }
}

fn presence_of(row: &primroseroute_platform::rows::Row) -> Option<(Name, Presence)> {
    Some((Name::clone(&row.place.key), parse(row)?))
}

fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
