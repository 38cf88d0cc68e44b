//! Settings turned into what the entry is given.

use eyre::{Result, WrapErr, eyre};
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_controller::{
    HttpProbe, Timers as ControllerTimers, jobs::Settings as JobSettings,
};
use primroseroute_domain::time::SystemClock;
use primroseroute_entry::{Dial, Dialed, Listen, Parts, Timers};
use primroseroute_fleet::{lifecycle, placement::Weights};
use primroseroute_flow::limits::Limits as FlowLimits;
use primroseroute_front::Options as FrontOptions;
use primroseroute_peer::{Address, Local, membership, proof::Key, report::Identity, rpc};
use primroseroute_platform::http::{Client, Options as ClientOptions};
use primroseroute_route::{Options as PathOptions, backend::Pool, request::Timeouts};
use primroseroute_settings::{Settings, secret::Resolved};
use primroseroute_telemetry::Meter;
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// Path of the workers' health checks.
const HEALTH_PATH: &str = "/healthz";

/// Weights of the settings are ratios; the planner's are whole numbers of this resolution.
const WEIGHT_UNIT: f64 = 100.0;

/// Opens the peer link on TCP.
#[derive(Debug)]
struct Rpc {
    listen: SocketAddr,
    key: Key,
    peers: Vec<Address>,
}

impl Dial for Rpc {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn Local>) -> Result<Dialed> {
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

/// The parts of the entry that `settings` describe.
///
/// # Errors
/// Where a secret is missing, the platform's URL cannot be used, or randomness cannot be had.
pub(crate) fn build(settings: &Settings) -> Result<Parts> {
    let environment = |name: &str| std::env::var(name).ok();
    let secrets = settings.secrets.resolve(&environment).map_err(|missing| {
        let lines: Vec<String> = missing.iter().map(ToString::to_string).collect();
        eyre!("secrets are missing: {}", lines.join("; "))
    })?;
    let options = ClientOptions {
        url: settings.platform.url.as_str().into(),
        timeout: settings.platform.timeout,
        caller: settings.entry.name.as_str().into(),
    };
    let client = Client::open(&options).wrap_err("opening the platform's client")?;
    let client = Arc::new(client);
    let identity = Identity {
        entry: settings.entry.name.clone(),
        incarnation: Uuid::new_v4(),
    };
    Ok(Parts {
        identity,
        zone: settings.entry.zone.clone(),
        region: Some(Arc::clone(&settings.entry.region)),
        listen: Listen {
            callers: settings.listen.callers,
            admin: settings.listen.admin,
            peers: settings.listen.peers,
        },
        table: Arc::clone(&client) as _,
        objects: Arc::clone(&client) as _,
        keep: Keep::default(),
        instances: Arc::clone(&client) as _,
        tasks: client,
        probe: Arc::new(HttpProbe::open(HEALTH_PATH)),
        backend: Arc::new(Pool::open()),
        dial: Box::new(rpc(settings, &secrets)?),
        clock: Arc::new(SystemClock),
        seed: rand::random(),
        operators: operators(&secrets),
        meter: Meter::open().wrap_err("opening the metrics")?,
        flow: flow(settings),
        path: path(settings),
        front: FrontOptions {
            head_bytes: settings.limits.head_bytes as usize,
            head_timeout: settings.limits.head_timeout,
            ..FrontOptions::default()
        },
        membership: membership::Limits::default(),
        timers: Timers {
            poll: settings.timers.poll,
            grace: settings.timers.drain_grace,
            ..Timers::default()
        },
        controller: ControllerTimers::default(),
        lifecycle: lifecycle::Limits::default(),
        jobs: JobSettings::default(),
        weights: weights(settings),
    })
}

fn rpc(settings: &Settings, secrets: &Resolved) -> Result<Rpc> {
    let address = |peer: &primroseroute_settings::Peer| Address {
        entry: Some(peer.name.clone()),
        socket: peer.address,
    };
    Ok(Rpc {
        listen: settings.listen.peers,
        key: Key::new(secrets.peer_key.expose()).wrap_err("reading the peer key")?,
        peers: settings.peers.iter().map(address).collect(),
    })
}

fn operators(secrets: &Resolved) -> Tokens {
    let named = |(index, hash): (usize, &_)| (format!("token-{index}").into(), Clone::clone(hash));
    Tokens(
        secrets
            .operator_tokens
            .iter()
            .enumerate()
            .map(named)
            .collect(),
    )
}

fn flow(settings: &Settings) -> FlowLimits {
    FlowLimits {
        queue: settings.limits.queue_per_account as usize,
        attempts: settings.limits.retries + 1,
        retry_ratio: settings.limits.retry_budget,
        ..FlowLimits::default()
    }
}

fn path(settings: &Settings) -> PathOptions {
    let limits = &settings.limits;
    PathOptions {
        body_bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
        timeouts: Timeouts {
            default: limits.default_timeout,
            max: limits.max_timeout,
        },
        ..PathOptions::default()
    }
}

fn weights(settings: &Settings) -> Weights {
    let weights = &settings.fleet.weights;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings check that weights are small and not negative; `as` saturates"
    )]
    let whole = |weight: f64| (weight * WEIGHT_UNIT) as u32;
    Weights {
        buffer: whole(weights.buffer),
        moves: whole(weights.moves),
        rollout: whole(weights.roll_out),
    }
}
