//! Settings converted to the option types of the crates that use them, without secrets or sockets.

use log::LevelFilter;
use primroseroute_controller::{Timers as ControllerTimers, jobs::Settings as JobSettings};
use primroseroute_domain::id;
use primroseroute_entry::{Listen, Timers};
use primroseroute_fleet::{lifecycle, placement::Weights};
use primroseroute_flow::limits::Limits as FlowLimits;
use primroseroute_front::{Options as FrontOptions, connections::Registry};
use primroseroute_peer::{Address, membership};
use primroseroute_platform::{http::Options as ClientOptions, task::Resources};
use primroseroute_route::{Options as PathOptions, request::Timeouts};
use primroseroute_settings::{Bytes, Limits, Settings};
use std::sync::Arc;

/// Scale factor from the fractional weights of the settings to the planner's whole numbers.
const WEIGHT_UNIT: f64 = 100.0;

/// Everything that the settings determine, except for the secrets.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of the entry.
    pub entry: id::Entry,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region.
    pub region: Arc<str>,
    /// Listen addresses.
    pub listen: Listen,
    /// Connection to the platform.
    pub platform: ClientOptions,
    /// Peers to connect to at start.
    pub peers: Vec<Address>,
    /// Path of the workers' health check endpoint.
    pub health_path: Arc<str>,
    /// Limits of each pool's dispatcher.
    pub flow: FlowLimits,
    /// Limits of single requests.
    pub path: PathOptions,
    /// Limits of connections.
    pub front: FrontOptions,
    /// Timing of membership.
    pub membership: membership::Limits,
    /// Intervals and timeouts of the entry.
    pub timers: Timers,
    /// Timing of the controller role.
    pub controller: ControllerTimers,
    /// Limits of instance lifecycles.
    pub lifecycle: lifecycle::Limits,
    /// Settings of background jobs.
    pub jobs: JobSettings,
    /// Weights of the planner's objectives.
    pub weights: Weights,
    /// Least severe level that is logged.
    pub level: LevelFilter,
}

impl EntryOptions {
    /// Converts `settings`.
    pub fn of(settings: &Settings) -> Self {
        let Settings { entry, listen, .. } = settings;
        Self {
            entry: entry.name.clone(),
            zone: entry.zone.clone(),
            region: Arc::clone(&entry.region),
            listen: Listen {
                callers: listen.callers,
                admin: listen.admin,
                peers: listen.peers,
            },
            platform: platform(settings),
            peers: peers(settings),
            health_path: Arc::clone(&settings.fleet.lifecycle.health_path),
            flow: flow(&settings.limits),
            path: path(&settings.limits),
            front: front(&settings.limits),
            membership: membership(settings),
            timers: timers(settings),
            controller: controller(settings),
            lifecycle: lifecycle(settings),
            jobs: jobs(settings),
            weights: weights(settings),
            level: settings.telemetry.level,
        }
    }
}

fn platform(settings: &Settings) -> ClientOptions {
    ClientOptions {
        url: settings.platform.url.as_str().into(),
        timeout: settings.platform.timeout,
        caller: settings.entry.name.as_str().into(),
    }
}

fn peers(settings: &Settings) -> Vec<Address> {
    let address = |peer: &primroseroute_settings::Peer| Address {
        entry: Some(peer.name.clone()),
        socket: peer.address,
    };
    settings.peers.iter().map(address).collect()
}

fn flow(limits: &Limits) -> FlowLimits {
    FlowLimits {
        max_queued: limits.queue_per_account as usize,
        max_attempts: limits.retries.saturating_add(1),
        retry_ratio: limits.retry_budget,
        ..FlowLimits::default()
    }
}

fn path(limits: &Limits) -> PathOptions {
    PathOptions {
        max_body_bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
        timeouts: Timeouts {
            default: limits.default_timeout,
            max: limits.max_timeout,
        },
        ..PathOptions::default()
    }
}

fn front(limits: &Limits) -> FrontOptions {
    FrontOptions {
        max_head_bytes: limits.head_bytes as usize,
        head_timeout: limits.head_timeout,
        max_connections: limits.caller_connections as usize,
        registry: Registry::open(
            usize::try_from(limits.connection_memory.0).unwrap_or(usize::MAX),
            None,
        ),
        ..FrontOptions::default()
    }
}

fn membership(settings: &Settings) -> membership::Limits {
    membership::Limits {
        batch: settings.timers.batch,
        heartbeat: settings.timers.heartbeat,
        ..membership::Limits::default()
    }
}

fn timers(settings: &Settings) -> Timers {
    Timers {
        poll: settings.timers.poll,
        roster: settings.timers.roster,
        grace: settings.timers.drain_grace,
    }
}

fn controller(settings: &Settings) -> ControllerTimers {
    let timers = &settings.timers;
    ControllerTimers {
        cycle: timers.cycle,
        renew: timers.renew,
        lease: timers.lease,
        check_waiting: timers.check_waiting,
        check_serving: timers.check_serving,
    }
}

fn lifecycle(settings: &Settings) -> lifecycle::Limits {
    let lifecycle = &settings.fleet.lifecycle;
    lifecycle::Limits {
        good_checks: lifecycle.good_checks,
        bad_checks: lifecycle.bad_checks,
        probation_seconds: lifecycle.probation.as_secs(),
        maintenance_seconds: lifecycle.maintenance.as_secs(),
    }
}

fn jobs(settings: &Settings) -> JobSettings {
    let capacity = &settings.fleet.capacity;
    let Bytes(memory) = capacity.memory;
    #[expect(
        clippy::cast_precision_loss,
        reason = "a multiple of 1 KiB is exact up to 8 EiB, which exceeds any worker's memory"
    )]
    let memory = memory as f64;
    JobSettings {
        capacity: Resources {
            cores: capacity.cores,
            memory,
            accelerators: capacity.accelerators,
        },
        ..JobSettings::default()
    }
}

fn weights(settings: &Settings) -> Weights {
    let weights = &settings.fleet.weights;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "settings validation limits weights to 0 to 1000"
    )]
    let scaled = |weight: f64| (weight * WEIGHT_UNIT).round() as u32;
    Weights {
        buffer: scaled(weights.buffer),
        moves: scaled(weights.moves),
        rollout: scaled(weights.roll_out),
    }
}
