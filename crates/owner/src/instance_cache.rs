//! The list of instances, read once for all pools of an entry.
//!
//! Pools that ask at the same time share a call, unless it takes long.

use primroseroute_cell::{Fleet, Inventory};
use primroseroute_platform::{
    Error,
    site::{Instance, Site},
};
use std::{fmt, pin::pin, sync::Arc, time::Duration};
use tokio::{
    sync::Mutex,
    time::{Instant, timeout},
};

/// Time after which a call that isn't answered keeps no other from being sent.
const EXCLUSIVE_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two computations of the capacities of all instances, which seldom change.
const FLEET_INTERVAL: Duration = Duration::from_secs(1);

/// The instances as they were at some moment.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    /// When the list was requested: it shows whatever was done before.
    pub asked_at: Instant,
    pub instances: Arc<Vec<Instance>>,
}

fn fleet(instances: &[Instance]) -> Fleet {
    let mut inventory = Inventory::default();
    for instance in instances {
        let Some(capacity) = instance.capacity else {
            return Fleet::Unknown;
        };
        inventory.add(capacity, &instance.labels);
    }
    Fleet::Known(Arc::new(inventory))
}

/// The newest list.
pub(crate) struct InstanceCache {
    site: Arc<dyn Site>,
    newest: parking_lot::Mutex<Option<Listing>>,
    /// The capacities of all instances, and when the list that shows them was requested.
    fleet: parking_lot::Mutex<Option<(Instant, Fleet)>>,
    /// Held while a call is sent, for a limited time.
    sending: Mutex<()>,
}

impl fmt::Debug for InstanceCache {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").finish_non_exhaustive()
    }
}

impl InstanceCache {
    pub(crate) fn new(site: Arc<dyn Site>) -> Self {
        Self {
            site,
            newest: parking_lot::Mutex::new(None),
            fleet: parking_lot::Mutex::new(None),
            sending: Mutex::new(()),
        }
    }

    /// A list that was requested at `since` or later.
    ///
    /// # Errors
    /// Those of the call.
    pub(crate) async fn list(&self, since: Instant) -> Result<Listing, Error> {
        let sending = self.sending.lock().await;
        if let Some(known) = self.newest_since(since) {
            return Ok(known);
        }
        let asked_at = Instant::now();
        let mut call = pin!(self.site.instances());
        let instances = match timeout(EXCLUSIVE_TIME, &mut call).await {
            Ok(instances) => instances?,
            Err(_elapsed) => {
                drop(sending);
                call.await?
            }
        };
        let listing = Listing {
            asked_at,
            instances: Arc::new(instances),
        };
        let mut newest = self.newest.lock();
        if newest
            .as_ref()
            .is_none_or(|known| known.asked_at < asked_at)
        {
            *newest = Some(listing.clone());
        }
        Ok(listing)
    }

    /// The capacities of all instances, as listed a moment ago.
    pub(crate) fn fleet(&self) -> Fleet {
        let newest = self.newest.lock().clone();
        let mut known = self.fleet.lock();
        if let Some(listing) = newest {
            let since = known.as_ref().map(|(asked_at, _fleet)| *asked_at);
            let is_due = |since: Instant| listing.asked_at >= since + FLEET_INTERVAL;
            if since.is_none_or(is_due) {
                *known = Some((listing.asked_at, fleet(&listing.instances)));
            }
        }
        let fleet = known.as_ref().map(|(_asked_at, fleet)| fleet.clone());
        fleet.unwrap_or(Fleet::Unlisted)
    }

    fn newest_since(&self, since: Instant) -> Option<Listing> {
        let newest = self.newest.lock();
        newest.clone().filter(|known| known.asked_at >= since)
    }
}
