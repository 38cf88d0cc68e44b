//! Construction of the entry's components from its settings.

use crate::entry_options::EntryOptions;
use eyre::{Result, WrapErr, eyre};
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_controller::HttpProbe;
use primroseroute_domain::time::SystemClock;
use primroseroute_entry::{Components, Dial, Dialed};
use primroseroute_peer::{Address, LocalEntry, proof::Key, report::Identity, rpc};
use primroseroute_platform::http::Client;
use primroseroute_route::backend::ConnectionPool;
use primroseroute_settings::secret::Secrets;
use primroseroute_telemetry::Meter;
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// Opens the peer link over TCP.
#[derive(Debug)]
struct TcpDialer {
    listen: SocketAddr,
    key: Key,
    peers: Vec<Address>,
}

impl Dial for TcpDialer {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed> {
        let settings = rpc::Settings {
            identity,
            listen: self.listen,
            key: self.key,
            peers: self.peers,
            limits: rpc::Limits::default(),
        };
        let link = rpc::Link::bind(settings, local).wrap_err("failed to bind the peer port")?;
        Ok(Dialed {
            address: link.address(),
            link,
        })
    }
}

/// Builds the components of the entry.
///
/// # Errors
/// If a secret is missing, the platform's URL is unusable, or no randomness is available.
pub(crate) fn build(options: EntryOptions, secrets: &Secrets) -> Result<Components> {
    let environment = |name: &str| std::env::var(name).ok();
    let secrets = secrets.resolve(&environment).map_err(|missing| {
        let lines: Vec<String> = missing.iter().map(ToString::to_string).collect();
        eyre!("missing secrets: {}", lines.join("; "))
    })?;
    let client =
        Client::open(&options.platform).wrap_err("failed to create the platform client")?;
    let client = Arc::new(client);
    let identity = Identity {
        entry: options.entry,
        incarnation: Uuid::new_v4(),
    };
    let dial = TcpDialer {
        listen: options.listen.peers,
        key: Key::new(secrets.peer_key.expose()).wrap_err("invalid peer key")?,
        peers: options.peers,
    };
    Ok(Components {
        identity,
        zone: options.zone,
        region: Some(options.region),
        listen: options.listen,
        table: Arc::clone(&client) as _,
        objects: Arc::clone(&client) as _,
        keep: Keep::default(),
        instances: Arc::clone(&client) as _,
        tasks: client,
        probe: Arc::new(HttpProbe::new(options.health_path)),
        backend: Arc::new(ConnectionPool::new()),
        dial: Box::new(dial),
        clock: Arc::new(SystemClock),
        seed: rand::random(),
        operators: Tokens(secrets.operators),
        meter: Meter::open().wrap_err("failed to set up metrics")?,
        flow: options.flow,
        request_options: options.path,
        server_options: options.front,
        membership: options.membership,
        timers: options.timers,
        controller: options.controller,
        lifecycle: options.lifecycle,
        jobs: options.jobs,
        weights: options.weights,
    })
}
