//! Every key of the settings affects the option that it names.
//!
//! Guards against a key that is parsed but ignored: the file is valid, and the entry uses a constant
//! instead. Each key is set to a non-default value, alone and together with all others.

use expect_test::expect;
use primroseroute_domain::id;
use primroseroute_serve::EntryOptions;
use primroseroute_settings::{Settings, documented};
use std::collections::BTreeSet;

/// A non-default value for each key; no two values of one type are equal, so that swapped keys are
/// detected.
const NON_DEFAULTS: [(&str, &str); 42] = [
    ("entry.name", "entry-7"),
    ("entry.zone", "zone-q"),
    ("entry.region", "region-9"),
    ("listen.callers", "127.0.0.1:1001"),
    ("listen.admin", "127.0.0.1:1002"),
    ("listen.peers", "127.0.0.1:1003"),
    ("platform.url", "http://127.0.0.1:7001"),
    ("platform.timeout", "2100ms"),
    ("limits.queue-per-account", "11"),
    ("limits.body-bytes", "12"),
    ("limits.head-bytes", "13"),
    ("limits.head-timeout", "14s"),
    ("limits.default-timeout", "15s"),
    ("limits.max-timeout", "16s"),
    ("limits.retries", "17"),
    ("limits.retry-budget", "0.18"),
    ("limits.caller-connections", "19"),
    ("limits.connection-memory", "48MiB"),
    ("timers.poll", "1020ms"),
    ("timers.roster", "21s"),
    ("timers.heartbeat", "22s"),
    ("timers.batch", "2300ms"),
    ("timers.cycle", "24s"),
    ("timers.renew", "2500ms"),
    ("timers.lease", "26s"),
    ("timers.check-waiting", "27s"),
    ("timers.check-serving", "28s"),
    ("timers.drain-grace", "29s"),
    ("fleet.weights.buffer", "0.29"),
    ("fleet.weights.moves", "31"),
    ("fleet.weights.roll-out", "32"),
    ("fleet.capacity.cores", "33"),
    ("fleet.capacity.memory", "34GiB"),
    ("fleet.capacity.accelerators", "35"),
    ("fleet.lifecycle.health-path", "/health"),
    ("fleet.lifecycle.good-checks", "6"),
    ("fleet.lifecycle.bad-checks", "7"),
    ("fleet.lifecycle.probation", "38m"),
    ("fleet.lifecycle.maintenance", "39m"),
    ("telemetry.level", "debug"),
    // Lists and secrets have separate tests.
    ("peers", ""),
    ("secrets.operators", ""),
];

/// Rewrites the documented settings with the values that `change` returns for a key's path and value.
fn rewrite(mut change: impl FnMut(&str, &str) -> Option<String>) -> String {
    let mut parents: Vec<&str> = Vec::new();
    let mut out = String::new();
    let text = documented();
    for line in text.lines() {
        let key = line.trim_start();
        let depth = (line.len() - key.len()) / 2;
        let mut new = None;
        if let Some((name, value)) = key.split_once(':').filter(|_| !key.starts_with('#')) {
            parents.truncate(depth);
            parents.push(name);
            if !value.is_empty() {
                let start = &line[..line.len() - key.len()];
                let value = change(&parents.join("."), value.trim());
                new = value.map(|value| format!("{start}{name}: {value}"));
            }
        }
        out.push_str(new.as_deref().unwrap_or(line));
        out.push('\n');
    }
    out
}

fn non_default(path: &str) -> Option<&'static str> {
    let found = NON_DEFAULTS.iter().find(|(key, _)| *key == path);
    found
        .map(|(_, value)| *value)
        .filter(|value| !value.is_empty())
}

/// The options that `text` results in, one per line.
fn options_of(text: &str) -> String {
    let settings = Settings::parse(text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    format!("{:#?}", EntryOptions::of(&settings))
}

#[test]
fn every_key_has_a_non_default_value() {
    let mut documented = BTreeSet::new();
    rewrite(|path, _| {
        documented.insert(path.to_owned());
        None
    });
    // A secret accepts more keys than the one that the documented settings show.
    assert!(documented.remove("secrets.peer-key.env"));
    let listed: BTreeSet<String> = NON_DEFAULTS
        .iter()
        .map(|(key, _)| (*key).to_owned())
        .collect();
    assert_eq!(listed, documented);
}

#[test]
fn each_key_alone_changes_an_option() {
    let default = options_of(&documented());
    for (key, value) in NON_DEFAULTS.iter().filter(|(_, value)| !value.is_empty()) {
        let text = rewrite(|path, _| (path == *key).then(|| (*value).to_owned()));
        assert_ne!(options_of(&text), default, "{key} changes nothing");
    }
}

#[test]
fn all_keys_change_the_options_they_name() {
    let default = options_of(&documented());
    let all = options_of(&rewrite(|path, _| non_default(path).map(str::to_owned)));
    let lines = default.lines().zip(all.lines());
    let changed = lines.filter(|(before, after)| before != after);
    let changed: Vec<&str> = changed.map(|(_, after)| after.trim()).collect();
    expect![[r#"
        entry: "entry-7",
        zone: "zone-q",
        region: "region-9",
        callers: 127.0.0.1:1001,
        admin: 127.0.0.1:1002,
        peers: 127.0.0.1:1003,
        url: "http://127.0.0.1:7001",
        timeout: 2.1s,
        caller: "entry-7",
        health_path: "/health",
        max_queued: 11,
        max_attempts: 18,
        retry_ratio: 0.18,
        max_body_bytes: 12,
        default: 15s,
        max: 16s,
        max_head_bytes: 13,
        head_timeout: 14s,
        max_connections: 19,
        limit: 50331648,
        batch: 2.3s,
        heartbeat: 22s,
        poll: 1.02s,
        roster: 21s,
        grace: 29s,
        cycle: 24s,
        renew: 2.5s,
        lease: 26s,
        check_waiting: 27s,
        check_serving: 28s,
        good_checks: 6,
        bad_checks: 7,
        probation_seconds: 2280,
        maintenance_seconds: 2340,
        cores: 33.0,
        memory: 36507222016.0,
        accelerators: 35.0,
        buffer: 29,
        moves: 3100,
        rollout: 3200,
        level: Debug,"#]]
    .assert_eq(&changed.join("\n"));
    assert_eq!(default.lines().count(), all.lines().count());
}

#[test]
fn peers_are_dialed_by_name_and_address() {
    let text = documented().replace(
        "peers: []",
        "peers: [{name: entry-8, address: '127.0.0.1:1004'}]",
    );
    let settings = Settings::parse(&text).expect("it is valid");
    let [peer] = &*EntryOptions::of(&settings).peers else {
        panic!("one peer is listed");
    };
    assert_eq!(peer.entry.as_ref().map(id::Entry::as_str), Some("entry-8"));
    assert_eq!(peer.socket.port(), 1004);
}
