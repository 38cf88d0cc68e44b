//! Rules between values that each are valid alone.

use crate::{reader::Reader, schema::Settings};
use std::{collections::BTreeSet, time::Duration};

/// Reports every broken rule of `settings` to `reader`.
pub(crate) fn check(settings: &Settings, reader: &mut Reader) {
    durations(settings, reader);
    limits(settings, reader);
    weights(settings, reader);
    addresses(settings, reader);
    peers(settings, reader);
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
        ("timers.heartbeat", timers.heartbeat),
        ("timers.probe", timers.probe),
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
        ("limits.slots", u64::from(limits.slots)),
    ];
    for (path, number) in all {
        if number == 0 {
            reader.fault_at(path, "a whole number of at least 1");
        }
    }
    if limits.connections < limits.slots {
        reader.fault_at("limits.connections", "at least limits.slots");
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
        if weight < 0.0 {
            reader.fault_at(path, "a number of at least 0");
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
    let mut taken = BTreeSet::new();
    for (path, address) in all {
        // Port 0 takes any free port, so two of them never clash.
        if address.port() != 0 && !taken.insert(address) {
            reader.fault_at(path, "an address of its own");
        }
    }
}

fn peers(settings: &Settings, reader: &mut Reader) {
    let mut taken = BTreeSet::from([&settings.entry.name]);
    for (index, peer) in settings.peers.iter().enumerate() {
        if !taken.insert(&peer.name) {
            let path = format!("peers[{index}].name");
            reader.fault_at(&path, "the name of another entry, listed once");
        }
    }
}
