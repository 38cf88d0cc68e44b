//! Validation of constraints between values that are individually valid.

use crate::{reader::Reader, schema::Settings};
use http::uri::PathAndQuery;
use std::{collections::BTreeSet, time::Duration};

/// Maximum interval between two reads of the newest change. A view counts as current for 3 s after
/// the store confirmed it; this leaves 10% for random jitter and 800 ms for the read.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum non-zero weight. The planner uses hundredths, so a smaller weight would round to zero.
const MIN_WEIGHT: f64 = 0.01;

/// Maximum weight, so that costs stay far within the range of the planner's integers.
const MAX_WEIGHT: f64 = 1000.0;

/// Reports every violated constraint of `settings` to `reader`.
pub(crate) fn check(settings: &Settings, reader: &mut Reader) {
    durations(settings, reader);
    limits(settings, reader);
    weights(settings, reader);
    addresses(settings, reader);
    peers(settings, reader);
    operators(settings, reader);
    timers(settings, reader);
    capacity(settings, reader);
    lifecycle(settings, reader);
}

fn durations(settings: &Settings, reader: &mut Reader) {
    let Settings {
        platform,
        limits,
        timers,
        ..
    } = settings;
    let all = [
        ("platform.timeout", platform.timeout),
        ("limits.head-timeout", limits.head_timeout),
        ("limits.default-timeout", limits.default_timeout),
        ("limits.max-timeout", limits.max_timeout),
        ("timers.poll", timers.poll),
        ("timers.roster", timers.roster),
        ("timers.heartbeat", timers.heartbeat),
        ("timers.batch", timers.batch),
        ("timers.cycle", timers.cycle),
        ("timers.renew", timers.renew),
        ("timers.lease", timers.lease),
        ("timers.check-waiting", timers.check_waiting),
        ("timers.check-serving", timers.check_serving),
    ];
    for (path, duration) in all {
        if duration < Duration::from_millis(1) {
            reader.fault_at(path, "a duration of at least 1ms");
        }
    }
    if limits.default_timeout > limits.max_timeout {
        reader.fault_at("limits.default-timeout", "at most limits.max-timeout");
    }
}

fn limits(settings: &Settings, reader: &mut Reader) {
    let limits = &settings.limits;
    let all = [
        (
            "limits.queue-per-account",
            u64::from(limits.queue_per_account),
        ),
        ("limits.body-bytes", limits.body_bytes),
        ("limits.head-bytes", u64::from(limits.head_bytes)),
        (
            "limits.caller-connections",
            u64::from(limits.caller_connections),
        ),
    ];
    for (path, number) in all {
        if number == 0 {
            reader.fault_at(path, "a whole number of at least 1");
        }
    }
    // The body of a request is held twice while it is joined from its parts.
    if limits.connection_memory.0 < limits.body_bytes.saturating_mul(2) {
        reader.fault_at(
            "limits.connection-memory",
            "at least twice limits.body-bytes",
        );
    }
    if !(0.0..=1.0).contains(&limits.retry_budget) {
        reader.fault_at("limits.retry-budget", "a number from 0 to 1");
    }
}

fn weights(settings: &Settings, reader: &mut Reader) {
    let weights = &settings.fleet.weights;
    let all = [
        ("fleet.weights.buffer", weights.buffer),
        ("fleet.weights.moves", weights.moves),
        ("fleet.weights.roll-out", weights.roll_out),
    ];
    for (path, weight) in all {
        if weight != 0.0 && !(MIN_WEIGHT..=MAX_WEIGHT).contains(&weight) {
            reader.fault_at(path, "0, or a number from 0.01 to 1000");
        }
    }
    if all.iter().all(|(_, weight)| *weight == 0.0) {
        reader.fault_at("fleet.weights", "at least one weight above 0");
    }
}

fn addresses(settings: &Settings, reader: &mut Reader) {
    let listen = &settings.listen;
    let all = [
        ("listen.callers", listen.callers),
        ("listen.admin", listen.admin),
        ("listen.peers", listen.peers),
    ];
    // The address is published unchanged in the registration row: entries that read 0.0.0.0 there
    // would connect to themselves, and reach this entry only if their settings list it as a peer.
    if listen.peers.ip().is_unspecified() {
        reader.fault_at("listen.peers", "an address that other entries can reach");
    }
    let mut seen = BTreeSet::new();
    for (path, address) in all {
        // Port 0 binds to any free port, so two such addresses never conflict.
        if address.port() != 0 && !seen.insert(address) {
            reader.fault_at(path, "an address of its own");
        }
    }
}

fn peers(settings: &Settings, reader: &mut Reader) {
    let mut seen = BTreeSet::from([&settings.entry.name]);
    for (index, peer) in settings.peers.iter().enumerate() {
        if !seen.insert(&peer.name) {
            let path = format!("peers[{index}].name");
            reader.fault_at(&path, "the name of another entry, listed once");
        }
    }
}

fn operators(settings: &Settings, reader: &mut Reader) {
    let mut seen = BTreeSet::new();
    for (index, operator) in settings.secrets.operators.iter().enumerate() {
        if !seen.insert(&operator.name) {
            let path = format!("secrets.operators[{index}].name");
            reader.fault_at(&path, "a name that no other operator has");
        }
    }
}

fn timers(settings: &Settings, reader: &mut Reader) {
    let timers = &settings.timers;
    if timers.poll > MAX_POLL_INTERVAL {
        reader.fault_at("timers.poll", "a duration of at most 2s");
    }
    let renewal = timers.renew.saturating_add(settings.platform.timeout);
    if timers.lease <= renewal {
        let expected = "longer than timers.renew and platform.timeout together";
        reader.fault_at("timers.lease", expected);
    }
    if timers.heartbeat < timers.batch {
        reader.fault_at("timers.heartbeat", "at least timers.batch");
    }
}

fn capacity(settings: &Settings, reader: &mut Reader) {
    let capacity = &settings.fleet.capacity;
    if capacity.cores <= 0.0 {
        reader.fault_at("fleet.capacity.cores", "a number above 0");
    }
    if capacity.memory.0 == 0 {
        reader.fault_at("fleet.capacity.memory", "an amount above 0");
    }
    if capacity.accelerators < 0.0 {
        reader.fault_at("fleet.capacity.accelerators", "a number of at least 0");
    }
}

fn lifecycle(settings: &Settings, reader: &mut Reader) {
    let lifecycle = &settings.fleet.lifecycle;
    let path = &*lifecycle.health_path;
    if !path.starts_with('/') || path.parse::<PathAndQuery>().is_err() {
        reader.fault_at("fleet.lifecycle.health-path", "a path that starts with `/`");
    }
    let checks = [
        ("fleet.lifecycle.good-checks", lifecycle.good_checks),
        ("fleet.lifecycle.bad-checks", lifecycle.bad_checks),
    ];
    for (path, number) in checks {
        if number == 0 {
            reader.fault_at(path, "a whole number of at least 1");
        }
    }
    let durations = [
        ("fleet.lifecycle.probation", lifecycle.probation),
        ("fleet.lifecycle.maintenance", lifecycle.maintenance),
    ];
    for (path, duration) in durations {
        if duration.is_zero() || duration.subsec_nanos() != 0 {
            reader.fault_at(path, "whole seconds, at least 1s");
        }
    }
    let waiting = settings.timers.check_waiting;
    if lifecycle.probation <= waiting.saturating_mul(lifecycle.good_checks) {
        let expected = "longer than good-checks times timers.check-waiting";
        reader.fault_at("fleet.lifecycle.probation", expected);
    }
}
