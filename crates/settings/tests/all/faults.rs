//! All faults are reported at once, each with its position, path and expectation.

use expect_test::{Expect, expect};
use primroseroute_settings::{Settings, documented};

fn assert_faults(text: &str, expected: &Expect) {
    let error = Settings::parse(text).expect_err("the settings are invalid");
    expected.assert_eq(&format!("{error}\n"));
}

/// The documented default with `from` replaced by `to`.
fn with(from: &str, to: &str) -> String {
    let text = documented();
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

/// One test per case: a replacement in the documented default, and the resulting faults.
macro_rules! cases {
    ($($name:ident($from:literal => $to:literal) $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_faults(&with($from, $to), &$expected);
        }
    )*};
}

#[test]
fn every_fault_at_once() {
    assert_faults(
        "entry:\n  name: Entry 1\n  zone: zone-a\n  colour: red\n\
         listen:\n  callers: somewhere\n\
         peers:\n  - name: entry-2\n    address: [1]\n    weight: 3\n  - entry-3\n\
         limits:\n  retries: -1\n  body-bytes: 1 MB\n  head-timeout: 5\n\
         telemetry:\n  level: loud\n\
         nothing: 1\n",
        &expect![[r"
            1:1: platform.url: expected a URL of the form http://HOST:PORT; this key is required
            1:1: secrets.peer-key: expected `file: PATH` or `env: NAME`; a secret is never written here
            2:3: entry.region: expected a text that is not empty; this key is required
            2:9: entry.name: expected a name of 1 to 63 of a-z, 0-9, `-`, `.`
            4:3: entry.colour: expected one of the keys name, zone, region
            6:3: listen.peers: expected an IP address and port, such as 127.0.0.1:8080; this key is required
            6:12: listen.callers: expected an IP address and port, such as 127.0.0.1:8080
            9:14: peers[0].address: expected an IP address and port, such as 127.0.0.1:8080
            10:5: peers[0].weight: expected one of the keys name, address
            11:5: peers[1]: expected a map
            13:12: limits.retries: expected a whole number
            14:15: limits.body-bytes: expected a whole number
            15:17: limits.head-timeout: expected a duration, such as 500ms, 30s or 2m
            17:10: telemetry.level: expected one of off, error, warn, info, debug, trace
            18:1: nothing: expected one of the keys entry, listen, platform, peers, secrets, limits, timers, fleet, telemetry
        "]],
    );
}

#[test]
fn empty_file_misses_required_keys() {
    assert_faults(
        "",
        &expect![[r"
            1:1: entry.name: expected a name of 1 to 63 of a-z, 0-9, `-`, `.`; this key is required
            1:1: entry.region: expected a text that is not empty; this key is required
            1:1: entry.zone: expected a name of 1 to 63 of a-z, 0-9, `-`, `.`; this key is required
            1:1: listen.peers: expected an IP address and port, such as 127.0.0.1:8080; this key is required
            1:1: platform.url: expected a URL of the form http://HOST:PORT; this key is required
            1:1: secrets.peer-key: expected `file: PATH` or `env: NAME`; a secret is never written here
        "]],
    );
}

/// A well-formed SHA-256 of no known token.
const ZEROS: &str = "0000000000000000000000000000000000000000000000000000000000000000";

#[test]
fn rules_between_values() {
    let text = with("default-timeout: 10s", "default-timeout: 2m")
        .replace("poll: 1s", "poll: 0s")
        .replace("caller-connections: 4096", "caller-connections: 0")
        .replace("lease: 10s", "lease: 5s")
        .replace("heartbeat: 15s", "heartbeat: 1s")
        .replace("cores: 64", "cores: 0")
        .replace("memory: 256GiB", "memory: 0KiB")
        .replace("accelerators: 0", "accelerators: -1")
        .replace("health-path: /healthz", "health-path: healthz")
        .replace("good-checks: 3", "good-checks: 0")
        .replace("bad-checks: 3", "bad-checks: 0")
        .replace("maintenance: 20m", "maintenance: 1500ms")
        .replace("roll-out: 1", "roll-out: 0.001")
        .replace("buffer: 1", "buffer: 1001")
        .replace(
            "operators: []",
            &format!("operators: [{{name: a, hash: '{ZEROS}'}}, {{name: a, env: T}}]"),
        )
        .replace("retry-budget: 0.1", "retry-budget: 1.5")
        .replace("moves: 1", "moves: -1")
        .replace("0.0.0.0:8081", "0.0.0.0:8080")
        .replace(
            "peers: []",
            "peers: [{name: entry-1, address: '127.0.0.1:1'}]",
        );
    assert_faults(
        &text,
        &expect![[r"
            17:10: listen.admin: expected an address of its own
            30:16: peers[0].name: expected the name of another entry, listed once
            35:107: secrets.operators[1].name: expected a name that no other operator has
            51:20: limits.default-timeout: expected at most limits.max-timeout
            57:17: limits.retry-budget: expected a number from 0 to 1
            59:23: limits.caller-connections: expected a whole number of at least 1
            66:9: timers.poll: expected a duration of at least 1ms
            70:14: timers.heartbeat: expected at least timers.batch
            78:10: timers.lease: expected longer than timers.renew and platform.timeout together
            91:13: fleet.weights.buffer: expected 0, or a number from 0.01 to 1000
            93:12: fleet.weights.moves: expected 0, or a number from 0.01 to 1000
            95:15: fleet.weights.roll-out: expected 0, or a number from 0.01 to 1000
            99:12: fleet.capacity.cores: expected a number above 0
            101:13: fleet.capacity.memory: expected an amount above 0
            103:19: fleet.capacity.accelerators: expected a number of at least 0
            107:18: fleet.lifecycle.health-path: expected a path that starts with `/`
            109:18: fleet.lifecycle.good-checks: expected a whole number of at least 1
            111:17: fleet.lifecycle.bad-checks: expected a whole number of at least 1
            115:18: fleet.lifecycle.maintenance: expected whole seconds, at least 1s
        "]],
    );
}

cases! {
    no_yaml("listen:" => "listen: [") expect![[r"
        17:3: expected YAML (while parsing a flow mapping, did not find expected ',' or '}' at line 17, column 3)
    "]];
    key_twice("  admin:" => "  callers:") expect![[r"
        17:3: expected YAML (duplicate mapping key: callers at line 17, column 3)
    "]];
    unreachable_peer_port("127.0.0.1:8082" => "0.0.0.0:8082") expect![[r"
        19:10: listen.peers: expected an address that other entries can reach
    "]];
    slow_poll("poll: 1s" => "poll: 2100ms") expect![[r"
        66:9: timers.poll: expected a duration of at most 2s
    "]];
    short_probation("probation: 5m" => "probation: 3s") expect![[r"
        113:16: fleet.lifecycle.probation: expected longer than good-checks times timers.check-waiting
    "]];
    no_size("256GiB" => "256 GB") expect![[r"
        101:13: fleet.capacity.memory: expected an amount of memory in KiB, MiB, GiB or TiB, such as 256GiB
    "]];
    huge_size("256GiB" => "99999999TiB") expect![[r"
        101:13: fleet.capacity.memory: expected an amount of memory in KiB, MiB, GiB or TiB, such as 256GiB
    "]];
    operator_without_token("operators: []" => "operators: [{name: ada}]") expect![[r"
        35:15: secrets.operators[0]: expected `name: NAME` and one of `hash: SHA-256`, `file: PATH`, `env: NAME`; a secret is never written here
    "]];
    no_weight("1\n" => "0\n") expect![[r"
        17:10: listen.admin: expected an address of its own
        91:5: fleet.weights: expected at least one weight above 0
    "]];
    inline_secret("peer-key:\n    env: PRIMROSEROUTE_PEER_KEY" => "peer-key: hunter2") expect![[r"
        37:13: secrets.peer-key: expected `file: PATH` or `env: NAME`; a secret is never written here
    "]];
    two_sources("peer-key:\n" => "peer-key:\n    file: /run/key\n") expect![[r"
        38:5: secrets.peer-key: expected `file: PATH` or `env: NAME`; a secret is never written here
    "]];
    short_hash("operators: []" => "operators: [{name: ada, hash: abc}, {token: x}]") expect![[r"
        35:15: secrets.operators[0]: expected a SHA-256 as 64 lower-case hexadecimal digits
        35:39: secrets.operators[1]: expected `name: NAME` and one of `hash: SHA-256`, `file: PATH`, `env: NAME`; a secret is never written here
        35:39: secrets.operators[1].name: expected a text that is not empty; this key is required
        35:40: secrets.operators[1].token: expected one of the keys name, hash, file, env
    "]];
}

#[test]
fn faults_never_repeat_a_value() {
    // Replaces each value of the documented default in turn by a secret: once as an invalid value, and
    // once next to a YAML syntax error.
    let text = documented();
    let lines = text.lines();
    let lines = lines.filter(|line| !line.starts_with('#') && line.contains(": "));
    let mut invalid = 0;
    for line in lines {
        let (key, _) = line.split_once(": ").expect("the line has a value");
        for secret in ["hunter2 [x", "hunter2\n  ]"] {
            let swapped = text.replace(line, &format!("{key}: {secret}"));
            if let Err(error) = Settings::parse(&swapped) {
                assert!(!error.to_string().contains("hunter2"), "{error}");
                invalid += 1;
            }
        }
    }
    assert!(invalid > 40, "only {invalid} were invalid");
}

#[test]
fn names_that_look_like_other_types_are_text() {
    for name in ["n", "off", "true", "12"] {
        let settings = Settings::parse(&with("name: entry-1", &format!("name: {name}")));
        let settings = settings.expect("the name is valid");
        assert_eq!(settings.entry.name.as_str(), name);
    }
}
