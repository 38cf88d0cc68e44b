//! Polling of the store: the head, the registration rows, and this entry's own row.

use crate::{components::Listen, core::Core};
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

/// Timeout of one call to the store; the current view stays in use meanwhile.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The polling task.
#[derive(Debug)]
pub(crate) struct StorePoll {
    pub core: Arc<Core>,
    pub clock: Arc<dyn Clock>,
    pub listen: Listen,
    pub zone: id::Zone,
    pub region: Option<Arc<str>>,
    pub poll: Duration,
    pub roster: Duration,
    pub seed: u64,
}

impl StorePoll {
    /// Runs until it is aborted.
    pub(crate) async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut last_written = None;
        let mut roster_due = Instant::now();
        loop {
            // The entry registers before it reads the first view with which it serves callers: a
            // drain that did not wait for this entry is older than that view.
            self.register(&mut last_written).await;
            self.poll_head().await;
            if Instant::now() >= roster_due {
                self.read_roster().await;
                roster_due = Instant::now() + self.roster;
            }
            // Jitter, so that entries that were started together do not keep reading together.
            sleep(self.poll.mul_f64(1.0 + rng.random_range(0.0..0.1))).await;
        }
    }

    async fn poll_head(&self) {
        match timeout(STORE_TIMEOUT, poll(&self.core.ledger, &self.core.cell)).await {
            Ok(Ok(_head)) => self.core.mark_confirmed(),
            Ok(Err(error)) => self.ask_peers(&error.to_string()).await,
            Err(elapsed) => self.ask_peers(&elapsed.to_string()).await,
        }
    }

    /// If the store does not respond, a peer may have a newer view, or the first one after a start.
    async fn ask_peers(&self, cause: &str) {
        log::warn!("reading the head from the store failed: {cause}");
        if let Some(link) = self.core.link.get()
            && let Err(error) = link.pull().await
        {
            log::debug!("pulling the view from peers failed: {error}");
        }
    }

    async fn register(&self, last_written: &mut Option<LastWrite>) {
        let now = self.core.uptime();
        let acked = self.core.applied_seq();
        if write_due(*last_written, acked, now, &self.core.limits).is_none() {
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
        match timeout(STORE_TIMEOUT, self.write(&row)).await {
            Ok(Ok(())) => *last_written = Some(LastWrite { at: now, acked }),
            Ok(Err(error)) => log::warn!("writing the registration failed: {error}"),
            Err(elapsed) => log::warn!("writing the registration failed: {elapsed}"),
        }
    }

    /// Writes the row without a condition: only this entry writes it and the write is idempotent, so
    /// a lost result needs no handling.
    async fn write(&self, row: &Registration) -> Result<(), Error> {
        let json = serde_json::to_vec(row).expect("registrations are serializable");
        let write = Write::Put(key::entry(&row.name), json.into());
        let txn = Txn {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.core.ledger.table().commit(txn).await.map(|_commit| ())
    }

    async fn read_roster(&self) {
        let read = self.core.ledger.scan::<Registration>(key::ENTRIES);
        let rows = match timeout(STORE_TIMEOUT, read).await {
            Ok(Ok(rows)) => rows,
            Ok(Err(error)) => return log::warn!("reading the registrations failed: {error}"),
            Err(elapsed) => return log::warn!("reading the registrations failed: {elapsed}"),
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

/// Removes the entry's row, so that nothing waits for this entry after a planned stop.
pub(crate) async fn deregister(core: &Core) {
    let write = Write::Delete(key::entry(&core.identity.entry));
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    match timeout(STORE_TIMEOUT, core.ledger.table().commit(txn)).await {
        Ok(Ok(_commit)) => {}
        Ok(Err(error)) => log::warn!("removing the registration failed: {error}"),
        Err(elapsed) => log::warn!("removing the registration failed: {elapsed}"),
    }
}
