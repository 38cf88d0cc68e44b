//! Generates the documented default settings and the reference page from the section declarations.

use crate::{
    reader::{Key, Section, key_of},
    schema::{
        Capacity, Entry, Lifecycle, Limits, Listen, Peer, Platform, Telemetry, Timers, Weights,
    },
    secret::PEER_KEY,
};
use std::fmt::Write;

/// Documentation of a section.
struct SectionDoc {
    path: &'static str,
    doc: &'static str,
    keys: &'static [Key],
}

fn section_doc<S: Section>(path: &'static str) -> SectionDoc {
    SectionDoc {
        path,
        doc: S::DOC.trim(),
        keys: S::KEYS,
    }
}

fn section_docs() -> [SectionDoc; 10] {
    [
        section_doc::<Entry>("entry"),
        section_doc::<Listen>("listen"),
        section_doc::<Platform>("platform"),
        section_doc::<Peer>("peers[]"),
        section_doc::<Limits>("limits"),
        section_doc::<Timers>("timers"),
        section_doc::<Weights>("fleet.weights"),
        section_doc::<Capacity>("fleet.capacity"),
        section_doc::<Lifecycle>("fleet.lifecycle"),
        section_doc::<Telemetry>("telemetry"),
    ]
}

/// Returns commented settings with every key at its default, or an example value if it has none.
///
/// They parse to `Settings::default()`.
pub fn documented() -> String {
    let mut out =
        String::from("# Settings of one entry. A key without \"required\" may be left out.\n");
    let mut fleet_started = false;
    for section in section_docs() {
        if section.path == "peers[]" {
            peers_and_secrets(&mut out, &section);
            continue;
        }
        let Some(name) = section.path.strip_prefix(FLEET_PREFIX) else {
            write_section(&mut out, "\n", "", section.path, &section);
            continue;
        };
        if !std::mem::replace(&mut fleet_started, true) {
            out.push_str("\n# Fleet planning.\nfleet:\n");
        }
        write_section(&mut out, "  ", "  ", name, &section);
    }
    out
}

/// Path prefix of the sections inside `fleet`.
const FLEET_PREFIX: &str = "fleet.";

fn write_section(out: &mut String, before: &str, indent: &str, name: &str, section: &SectionDoc) {
    write_doc(out, before, section.doc);
    writeln!(out, "{indent}{name}:").expect("writing to a string cannot fail");
    write_keys(out, &format!("{indent}  "), section.keys);
}

fn write_doc(out: &mut String, before: &str, doc: &str) {
    writeln!(out, "{before}# {doc}").expect("writing to a string cannot fail");
}

fn write_keys(out: &mut String, indent: &str, keys: &[Key]) {
    for key in keys {
        let required = if key.required { " Required." } else { "" };
        write_doc(out, indent, &format!("{}{required}", key.doc.trim()));
        let name = key_of(key.field);
        writeln!(out, "{indent}{name}: {}", key.sample).expect("writing to a string cannot fail");
    }
}

fn peers_and_secrets(out: &mut String, peers: &SectionDoc) {
    write_doc(out, "\n", peers.doc);
    let keys = peers.keys.iter();
    let keys = keys.map(|key| format!("`{}: {}`", key_of(key.field), key.sample));
    let keys = keys.collect::<Vec<_>>().join(" and ");
    writeln!(out, "# Each has {keys}.").expect("writing to a string cannot fail");
    out.push_str("peers: []\n");
    write!(
        out,
        "\n# Where the secrets are; a secret itself is never written here.\nsecrets:\n  \
         # Operators: each has `name: NAME`, and its token as `hash: SHA-256`, `file: PATH` or \
         `env: NAME`.\n  \
         operators: []\n  \
         # The key that entries show each other: `file: PATH` or `env: NAME`. Required.\n  \
         peer-key:\n    env: {PEER_KEY}\n"
    )
    .expect("writing to a string cannot fail");
}

/// Returns the reference page in Markdown.
pub fn reference() -> String {
    let mut out = String::from(INTRODUCTION);
    for section in section_docs() {
        write!(
            out,
            "\n## `{}`\n\n{}\n\n| key | default | value | meaning |\n|---|---|---|---|\n",
            section.path, section.doc
        )
        .expect("writing to a string cannot fail");
        for key in section.keys {
            let default = if key.required {
                format!("required, such as `{}`", key.sample)
            } else {
                format!("`{}`", key.sample)
            };
            let (name, doc) = (key_of(key.field), key.doc.trim());
            writeln!(out, "| `{name}` | {default} | {} | {doc} |", key.expected)
                .expect("writing to a string cannot fail");
        }
    }
    out.push_str(SECRETS_AND_RULES);
    write!(
        out,
        "\n## The documented default\n\n```yaml\n{}```\n",
        documented()
    )
    .expect("writing to a string cannot fail");
    out
}

const INTRODUCTION: &str = "\
# Settings

An entry reads its settings from one YAML file: `primroseroute serve --settings FILE`.
`primroseroute check --settings FILE` reports every fault at once, each as
`LINE:COLUMN: PATH: expected WHAT`; `primroseroute settings` prints the documented default.

An unknown key is a fault. A fault names keys and never repeats a value, since that may be a secret in
the wrong place. A text that looks like a number, such as a hash of digits alone, is put in quotes. Where
the file is no YAML at all, or names a key twice, the first such fault is the only
one. Rules between values are checked once each value is valid alone.

This page is made from the code; a test compares the two.
";

const SECRETS_AND_RULES: &str = "
## `secrets`

A secret is named by a file or an environment variable and never written into the settings. White
space at the end of a file does not count.

| key | default | value | meaning |
|---|---|---|---|
| `operators` | none | a list, each item `name: NAME` and one of `hash: SHA-256`, `file: PATH`, \
`env: NAME` | Operators by the name that the audit trail shows, each with its token; with none, nobody may \
operate through this entry. |
| `peer-key` | required | `file: PATH` or `env: NAME` | The key that entries show each other, at least 16 bytes. |

## Rules between values

- Durations are at least 1 ms, but for `timers.drain-grace`.
- `limits.default-timeout` is at most `limits.max-timeout`.
- Queue, sizes and connections are at least 1.
- `limits.connection-memory` is at least twice `limits.body-bytes`.
- `limits.retry-budget` is from 0 to 1.
- `timers.poll` is at most 2 s: a view counts as current for 3 s.
- `timers.lease` is longer than `timers.renew` and `platform.timeout` together.
- `timers.heartbeat` is at least `timers.batch`.
- A weight is 0, or from 0.01 to 1000; one is above 0.
- Cores and memory of a worker are above 0, accelerators at least 0.
- `fleet.lifecycle.health-path` is a path that starts with `/`; checks are at least 1.
- `fleet.lifecycle.probation` and `maintenance` are whole seconds, at least 1. Probation is longer than
  `good-checks` times `timers.check-waiting`.
- Operators differ in their names and in their tokens.
- The addresses under `listen` differ, unless their port is 0. `listen.peers` is not `0.0.0.0` or `::`.
- The names under `peers` differ from each other and from `entry.name`.
";
