//! The sections of the settings and their keys.

use crate::{
    check,
    fault::{Error, Position},
    node::Node,
    reader::{A_MAP, Map, Reader, Section, sections},
    secret::Secrets,
    value::{Bytes, Url},
};
use log::LevelFilter;
use primroseroute_domain::id;
use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

sections! {
    /// Who this entry is. Its incarnation is no setting: each start makes a new one.
    Entry {
        /// Name of this entry, unique over all entries.
        name: id::Entry, required "entry-1";
        /// Availability zone that it runs in.
        zone: id::Zone, required "zone-a";
        /// Region of that zone.
        region: Arc<str>, required "region-1";
    }

    /// Addresses that this entry listens on.
    Listen {
        /// Where callers connect, through the balancer.
        callers: SocketAddr, default "0.0.0.0:8080";
        /// Where operators, health checks and metrics connect.
        admin: SocketAddr, default "0.0.0.0:8081";
        /// Where other entries connect; they are told just this address, so it names one of this instance's.
        peers: SocketAddr, required "127.0.0.1:8082";
    }

    /// The platform's service.
    Platform {
        /// Where it listens.
        url: Url, required "http://127.0.0.1:7000";
        /// How long one call may take, connection and answer included.
        timeout: Duration, default "2s";
    }

    /// Another entry to connect to at the start; further ones are found through the table.
    Peer {
        /// Its name.
        name: id::Entry, required "entry-2";
        /// Where it listens for other entries.
        address: SocketAddr, required "127.0.0.1:9082";
    }

    /// Bounds on what one entry takes on.
    Limits {
        /// Requests that may wait for a slot, for each account and service.
        queue_per_account: u32, default "256";
        /// Largest body of a request or an answer, in bytes.
        body_bytes: u64, default "10485760";
        /// Largest head of a request or an answer, in bytes.
        head_bytes: u32, default "16384";
        /// How long a caller may take to send the head of a request.
        head_timeout: Duration, default "5s";
        /// Timeout of a request that names none.
        default_timeout: Duration, default "10s";
        /// Longest timeout that a request may name.
        max_timeout: Duration, default "1m";
        /// Further attempts for one request, where a repeat is safe.
        retries: u32, default "2";
        /// Retries over all requests, as a part of the requests, 0 to 1.
        retry_budget: f64, default "0.1";
        /// Connections open at the same time, of callers and of operators each.
        caller_connections: u32, default "4096";
        /// Memory that the connections of callers and operators hold together, with their requests; beyond it, those are closed that keep the entry waiting.
        connection_memory: Bytes, default "32MiB";
    }

    /// How often things happen.
    Timers {
        /// Between two reads of the table's newest change.
        poll: Duration, default "1s";
        /// Between two reads of the rows by which entries register.
        roster: Duration, default "5s";
        /// Longest time between two writes of this entry's registration row.
        heartbeat: Duration, default "15s";
        /// Least time between two writes of that row that acknowledge new changes.
        batch: Duration, default "2s";
        /// Between two cycles of the controller.
        cycle: Duration, default "1s";
        /// Between two renewals of the controller's lease, and two looks of the others at it.
        renew: Duration, default "3s";
        /// How long the lease stands unrenewed before another entry takes it.
        lease: Duration, default "10s";
        /// Between two health checks of a worker that waits to serve.
        check_waiting: Duration, default "1s";
        /// Between two health checks of a worker that serves.
        check_serving: Duration, default "10s";
        /// How long a stopping entry goes on listening, so that the balancer looks away.
        drain_grace: Duration, default "5s";
    }

    /// What the planner of moves and waves weighs against each other; only their ratios count.
    Weights {
        /// Capacity held idle.
        buffer: f64, default "1";
        /// Moves of instances between pools.
        moves: f64, default "1";
        /// Time until a wave is through.
        roll_out: f64, default "1";
    }

    /// What each worker has for jobs; the platform's list says nothing of sizes, so all are alike.
    Capacity {
        /// Processor cores.
        cores: f64, default "64";
        /// Memory.
        memory: Bytes, default "256GiB";
        /// Accelerators.
        accelerators: f64, default "0";
    }

    /// When a worker passes from one state to the next.
    Lifecycle {
        /// Path of a worker's health check.
        health_path: Arc<str>, default "/healthz";
        /// Good checks in a row before a worker leaves probation or quarantine.
        good_checks: u32, default "3";
        /// Bad checks in a row before a worker is quarantined.
        bad_checks: u32, default "3";
        /// Time in probation after which a worker with bad checks is quarantined, in whole seconds.
        probation: Duration, default "5m";
        /// Maintenance after which a worker that did not come back is quarantined, in whole seconds.
        maintenance: Duration, default "20m";
    }

    /// Logs and metrics.
    Telemetry {
        /// Least severe level that is logged.
        level: LevelFilter, default "info";
    }
}

/// Fleet planning.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Weights of the planner's objectives.
    pub weights: Weights,
    /// Capacity of each worker for jobs.
    pub capacity: Capacity,
    /// Conditions for a worker's state transitions.
    pub lifecycle: Lifecycle,
}

/// The settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity of this entry.
    pub entry: Entry,
    /// Listen addresses.
    pub listen: Listen,
    /// Connection to the platform.
    pub platform: Platform,
    /// Other entries to connect to at start.
    pub peers: Vec<Peer>,
    /// Sources of the secrets.
    pub secrets: Secrets,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timers: Timers,
    /// Fleet planning.
    pub fleet: Fleet,
    /// Logs and metrics.
    pub telemetry: Telemetry,
}

impl Default for Settings {
    /// All defaults, and the examples of [`crate::documented`] for keys without a default.
    fn default() -> Self {
        Self::take(&mut Reader::default(), None)
    }
}

impl Settings {
    /// Loads settings from the file at `path` and checks that their secrets can be read.
    ///
    /// # Errors
    /// [`Error::Unreadable`] if the file cannot be read, or [`Error::Invalid`] with all faults.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        let (settings, mut reader) = Self::parse_tree(&text)?;
        if reader.is_clean("secrets") {
            let environment = |name: &str| std::env::var(name).ok();
            let faults = settings.secrets.resolve(&environment).err();
            for fault in faults.unwrap_or_default() {
                reader.fault_at(&fault.path, &fault.expected);
            }
        }
        settings.into_result(reader)
    }

    /// Parses settings from `text`, without reading their secrets.
    ///
    /// # Errors
    /// [`Error::Invalid`] with all faults.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let (settings, reader) = Self::parse_tree(text)?;
        settings.into_result(reader)
    }

    fn parse_tree(text: &str) -> Result<(Self, Reader), Error> {
        let node = Node::parse(text).map_err(|fault| Error::Invalid {
            faults: vec![fault],
        })?;
        let mut reader = Reader::default();
        let settings = Self::take(&mut reader, Some(&node));
        // An invalid value was replaced by its default, which could violate a constraint that the file
        // itself satisfies.
        if reader.is_clean("") {
            check::check(&settings, &mut reader);
        }
        Ok((settings, reader))
    }

    fn into_result(self, reader: Reader) -> Result<Self, Error> {
        let faults = reader.into_faults();
        if faults.is_empty() {
            Ok(self)
        } else {
            Err(Error::Invalid { faults })
        }
    }

    fn take(reader: &mut Reader, node: Option<&Node>) -> Self {
        let mut map = reader.map("", node, Position::START, A_MAP);
        let settings = Self {
            entry: reader.section(&mut map, "entry"),
            listen: reader.section(&mut map, "listen"),
            platform: reader.section(&mut map, "platform"),
            peers: Self::take_peers(reader, &mut map),
            secrets: Secrets::take(reader, &mut map),
            limits: reader.section(&mut map, "limits"),
            timers: reader.section(&mut map, "timers"),
            fleet: Fleet::take(reader, &mut map),
            telemetry: reader.section(&mut map, "telemetry"),
        };
        reader.finish(&map);
        settings
    }

    fn take_peers(reader: &mut Reader, map: &mut Map<'_>) -> Vec<Peer> {
        let items = reader.list(map, "peers", A_MAP);
        let peer = |mut item| {
            let peer = Peer::take(reader, &mut item);
            reader.finish(&item);
            peer
        };
        items.into_iter().map(peer).collect()
    }
}

impl Fleet {
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Self {
        let mut child = reader.child(map, "fleet", A_MAP);
        let fleet = Self {
            weights: reader.section(&mut child, "weights"),
            capacity: reader.section(&mut child, "capacity"),
            lifecycle: reader.section(&mut child, "lifecycle"),
        };
        reader.finish(&child);
        fleet
    }
}
