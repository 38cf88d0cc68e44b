//! Following the store: the head, the registration rows, and this entry's own row.

use crate::{core::Core, parts::Listen};
use primroseroute_domain::{id, time::Clock};
use primroseroute_ledger::key;
use primroseroute_peer::{
    Address,
    membership::{LastWrite, Registration, write_due},
};
use primroseroute_platform::{
    error::Error,
    table::{Txn, Write},
};
use primroseroute_view::poll;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for the store in one round; the view goes on meanwhile.
const CALL: Duration = Duration::from_secs(5);

/// What the task needs besides the shared state.
#[derive(Debug)]
pub(crate) struct Follow {
    pub core: Arc<Core>,
    pub clock: Arc<dyn Clock>,
    pub listen: Listen,
    pub zone: id::Zone,
    pub region: Option<Arc<str>>,
    pub poll: Duration,
    pub roster: Duration,
    pub seed: u64,
}

impl Follow {
    /// Runs until it is aborted.
    pub(crate) async fn run(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut written = None;
        let mut roster_due = Instant::now();
        loop {
            // Registered first, and then the view that callers are served by is read: a drain that
            // did not wait for this entry is older than that view.
            self.register(&mut written).await;
            self.follow_head().await;
            if Instant::now() >= roster_due {
                self.read_roster().await;
                roster_due = Instant::now() + self.roster;
            }
            // Entries that were started together must not read together for ever.
            sleep(self.poll.mul_f64(1.0 + random.random_range(0.0..0.1))).await;
        }
    }

    async fn follow_head(&self) {
        match timeout(CALL, poll(&self.core.ledger, &self.core.cell)).await {
            Ok(Ok(_head)) => self.core.confirm(),
            Ok(Err(error)) => self.ask_peers(&error.to_string()).await,
            Err(elapsed) => self.ask_peers(&elapsed.to_string()).await,
        }
    }

    /// Where the store is silent, a peer may have a newer view, or the first one after a start.
    async fn ask_peers(&self, cause: &str) {
        log::warn!("the store's head could not be read: {cause}");
        if let Some(link) = self.core.link.get()
            && let Err(error) = link.pull().await
        {
            log::debug!("no peer helps: {error}");
        }
    }

    async fn register(&self, written: &mut Option<LastWrite>) {
        let now = self.core.uptime();
        let acked = self.core.in_force();
        if write_due(*written, acked, now, &self.core.limits).is_none() {
            return;
        }
        let row = Registration {
            name: self.core.identity.entry.clone(),
            incarnation: self.core.identity.incarnation,
            peer: self.listen.peers,
            admin: self.listen.admin,
            zone: self.zone.clone(),
            region: self.region.clone(),
            acked,
            heartbeat: self.clock.now(),
        };
        match timeout(CALL, self.write(&row)).await {
            Ok(Ok(())) => *written = Some(LastWrite { at: now, acked }),
            Ok(Err(error)) => log::warn!("the registration was not written: {error}"),
            Err(elapsed) => log::warn!("the registration was not written: {elapsed}"),
        }
    }

    /// Writes the row without a condition: it is this entry's alone, and writing it twice is
    /// writing it once, so a lost answer needs no care.
    async fn write(&self, row: &Registration) -> Result<(), Error> {
        let json = serde_json::to_vec(row).expect("registrations serialize");
        let write = Write::Put(key::entry(&row.name), json.into());
        let txn = Txn {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.core.ledger.table().commit(txn).await.map(|_commit| ())
    }

    async fn read_roster(&self) {
        let read = self.core.ledger.scan::<Registration>(key::ENTRIES);
        let rows = match timeout(CALL, read).await {
            Ok(Ok(rows)) => rows,
            Ok(Err(error)) => return log::warn!("the registrations could not be read: {error}"),
            Err(elapsed) => return log::warn!("the registrations could not be read: {elapsed}"),
        };
        let rows: Vec<Registration> = rows.into_iter().map(|(_key, row)| row).collect();
        let own = &self.core.identity.entry;
        let peers = rows.iter().filter(|row| row.name != *own);
        let addresses = peers
            .map(|row| Address {
                entry: Some(row.name.clone()),
                socket: row.peer,
            })
            .collect();
        if let Some(link) = self.core.link.get() {
            link.set_peers(addresses);
        }
        *self.core.registered.lock() = rows
            .into_iter()
            .map(|row| (row.name.clone(), row))
            .collect();
    }
}

/// Removes the entry's row, so that nothing waits for it after a planned stop.
pub(crate) async fn deregister(core: &Core) {
    let write = Write::Delete(key::entry(&core.identity.entry));
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    match timeout(CALL, core.ledger.table().commit(txn)).await {
        Ok(Ok(_commit)) => {}
        Ok(Err(error)) => log::warn!("the registration was not removed: {error}"),
        Err(elapsed) => log::warn!("the registration was not removed: {elapsed}"),
    }
}
