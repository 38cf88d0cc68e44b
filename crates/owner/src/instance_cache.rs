//! The list of instances, read once for all pools of an entry.

use primroseroute_platform::{
    Error,
    site::{Instance, Site},
};
use std::{fmt, sync::Arc};
use tokio::{sync::Mutex, time::Instant};

/// The instances as they were at some moment.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    /// When the list was requested: it shows whatever was done before.
    pub asked_at: Instant,
    pub instances: Arc<Vec<Instance>>,
}

/// The newest list.
pub(crate) struct InstanceCache {
    site: Arc<dyn Site>,
    newest: Mutex<Option<Listing>>,
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
            newest: Mutex::new(None),
        }
    }

    /// A list that was requested at `since` or later; pools that ask at the same time share a call.
    pub(crate) async fn list(&self, since: Instant) -> Result<Listing, Error> {
        let mut newest = self.newest.lock().await;
        if let Some(known) = newest.as_ref().filter(|known| known.asked_at >= since) {
            return Ok(known.clone());
        }
        let asked_at = Instant::now();
        let instances = Arc::new(self.site.instances().await?);
        let listing = Listing {
            asked_at,
            instances,
        };
        *newest = Some(listing.clone());
        Ok(listing)
    }
}
