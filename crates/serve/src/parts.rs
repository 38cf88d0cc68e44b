//! Settings turned into what the entry is given.

use crate::fields::Fields;
use eyre::{Result, WrapErr, eyre};
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_controller::HttpProbe;
use primroseroute_domain::time::SystemClock;
use primroseroute_entry::{Dial, Dialed, Parts};
use primroseroute_peer::{Address, LocalEntry, proof::Key, report::Identity, rpc};
use primroseroute_platform::http::Client;
use primroseroute_route::backend::Pool;
use primroseroute_settings::secret::Secrets;
use primroseroute_telemetry::Meter;
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// Opens the peer link on TCP.
#[derive(Debug)]
struct Rpc {
    listen: SocketAddr,
    key: Key,
    peers: Vec<Address>,
}

impl Dial for Rpc {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed> {
        let settings = rpc::Settings {
            identity,
            listen: self.listen,
            key: self.key,
            peers: self.peers,
            limits: rpc::Limits::default(),
        };
        let link = rpc::Link::bind(settings, local).wrap_err("binding the peer port")?;
        Ok(Dialed {
            address: link.address(),
            link,
        })
    }
}

/// The parts of the entry that `fields` describe.
///
/// # Errors
/// Where a secret is missing, the platform's URL cannot be used, or randomness cannot be had.
pub(crate) fn build(fields: Fields, secrets: &Secrets) -> Result<Parts> {
    let environment = |name: &str| std::env::var(name).ok();
    let secrets = secrets.resolve(&environment).map_err(|missing| {
        let lines: Vec<String> = missing.iter().map(ToString::to_string).collect();
        eyre!("secrets are missing: {}", lines.join("; "))
    })?;
    let client = Client::open(&fields.platform).wrap_err("opening the platform's client")?;
    let client = Arc::new(client);
    let identity = Identity {
        entry: fields.entry,
        incarnation: Uuid::new_v4(),
    };
    let dial = Rpc {
        listen: fields.listen.peers,
        key: Key::new(secrets.peer_key.expose()).wrap_err("reading the peer key")?,
        peers: fields.peers,
    };
    Ok(Parts {
        identity,
        zone: fields.zone,
        region: Some(fields.region),
        listen: fields.listen,
        table: Arc::clone(&client) as _,
        objects: Arc::clone(&client) as _,
        keep: Keep::default(),
        instances: Arc::clone(&client) as _,
        tasks: client,
        probe: Arc::new(HttpProbe::open(fields.health_path)),
        backend: Arc::new(Pool::open()),
        dial: Box::new(dial),
        clock: Arc::new(SystemClock),
        seed: rand::random(),
        operators: Tokens(secrets.operators),
        meter: Meter::open().wrap_err("opening the metrics")?,
        flow: fields.flow,
        path: fields.path,
        front: fields.front,
        membership: fields.membership,
        timers: fields.timers,
        controller: fields.controller,
        lifecycle: fields.lifecycle,
        jobs: fields.jobs,
        weights: fields.weights,
    })
}
