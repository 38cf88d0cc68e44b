//! Which queue a request is for: by its host, and the longest matching path prefix.

use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Configuration, Queue};
use std::collections::BTreeMap;

/// The queues of one configuration by host, those with longer prefixes first.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: BTreeMap<Name, Vec<Queue>>,
}

impl Routes {
    /// The routes of a configuration.
    pub fn of(configuration: &Configuration) -> Self {
        let mut hosts: BTreeMap<Name, Vec<Queue>> = BTreeMap::new();
        for queue in &configuration.queues {
            let host = hosts.entry(Name::clone(&queue.host)).or_default();
            host.push(queue.clone());
        }
        for queues in hosts.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.path.len()));
        }
        Self { hosts }
    }

    /// The queue for a host and path, and what follows its prefix.
    pub fn find<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        // The port isn't part of the route.
        let host = host.split(':').next().unwrap_or(host);
        let queues = self.hosts.get(host)?;
        queues
            .iter()
            .find_map(|queue| Some((queue, path.strip_prefix(&*queue.path)?)))
    }
}
