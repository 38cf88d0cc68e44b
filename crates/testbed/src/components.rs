//! The components with which the entries of a site are started.

use crate::spec::{OPERATOR_TOKEN, token_hash};
use eyre::Result;
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_controller::{HttpProbe, Timers as ControllerTimers, jobs::Settings};
use primroseroute_domain::{id, time::SystemClock};
use primroseroute_entry::{Components, Dial, Dialed, Listen, Timers};
use primroseroute_peer::{LocalEntry, memory::Network, report::Identity};
use primroseroute_route::backend::ConnectionPool;
use primroseroute_standin::{backend::HEALTH_PATH, platform::Platform};
use primroseroute_telemetry::Meter;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use uuid::Uuid;

/// Connects an entry to the site's in-memory peer network.
#[derive(Debug)]
struct InMemoryDial(Network);

impl Dial for InMemoryDial {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed> {
        Ok(Dialed {
            link: self.0.join(identity, local),
            address: ANY_PORT,
        })
    }
}

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// The default components of the entry `name` of a site.
pub(crate) fn components(name: id::Entry, platform: &Platform, network: &Network) -> Components {
    let incarnation = Uuid::new_v4();
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(incarnation.as_bytes());
    seed[16..].copy_from_slice(Uuid::new_v4().as_bytes());
    let operator = ("test".into(), token_hash(OPERATOR_TOKEN));
    Components {
        zone: "zone-0".parse().expect("a zone's name is valid"),
        region: None,
        listen: Listen {
            callers: ANY_PORT,
            admin: ANY_PORT,
            peers: ANY_PORT,
        },
        table: Arc::new(platform.client(name.as_str())),
        instances: Arc::new(platform.client(name.as_str())),
        tasks: Arc::new(platform.client(name.as_str())),
        jobs: Settings {
            cycle: Duration::from_millis(100),
            ..Settings::default()
        },
        objects: Arc::new(platform.client(name.as_str())),
        keep: Keep::default(),
        probe: Arc::new(HttpProbe::new(HEALTH_PATH)),
        backend: Arc::new(ConnectionPool::new()),
        dial: Box::new(InMemoryDial(network.clone())),
        clock: Arc::new(SystemClock),
        seed,
        operators: Tokens([operator].into()),
        meter: Meter::open().expect("instruments open"),
        flow: primroseroute_flow::limits::Limits::default(),
        request_options: primroseroute_route::Options::default(),
        server_options: primroseroute_front::Options::default(),
        membership: primroseroute_peer::membership::Limits::default(),
        timers: Timers {
            poll: Duration::from_millis(200),
            roster: Duration::from_millis(500),
            grace: Duration::from_millis(200),
        },
        controller: ControllerTimers {
            cycle: Duration::from_millis(100),
            renew: Duration::from_millis(300),
            lease: Duration::from_secs(1),
            check_waiting: Duration::from_millis(50),
            check_serving: Duration::from_millis(100),
        },
        lifecycle: primroseroute_fleet::lifecycle::Limits::default(),
        weights: primroseroute_fleet::placement::Weights::default(),
        identity: Identity {
            entry: name,
            incarnation,
        },
    }
}
