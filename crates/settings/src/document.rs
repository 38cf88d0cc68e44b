//! The documented default and the reference page, from the sections' declarations.

use crate::{
    reader::{Key, Section, key_of},
    schema::{Entry, Limits, Listen, Peer, Platform, Telemetry, Timers, Weights},
    secret::PEER_KEY,
};
use std::fmt::Write;

/// A section as the documents show it.
struct Part {
    path: &'static str,
    doc: &'static str,
    keys: &'static [Key],
}

fn part<S: Section>(path: &'static str) -> Part {
    Part {
        path,
        doc: S::DOC.trim(),
        keys: S::KEYS,
    }
}

fn parts() -> [Part; 8] {
    [
        part::<Entry>("entry"),
        part::<Listen>("listen"),
        part::<Platform>("platform"),
        part::<Peer>("peers[]"),
        part::<Limits>("limits"),
        part::<Timers>("timers"),
        part::<Weights>("fleet.weights"),
        part::<Telemetry>("telemetry"),
    ]
}

/// Settings that hold every key with its default, and an example where a key has none.
///
/// They parse to `Settings::default()`.
pub fn documented() -> String {
    let mut out =
        String::from("# Settings of one entry. A key without \"required\" may be left out.\n");
    for part in parts() {
        match part.path {
            "peers[]" => peers_and_secrets(&mut out, &part),
            "fleet.weights" => {
                write_doc(&mut out, "\n", part.doc);
                out.push_str("fleet:\n  weights:\n");
                write_keys(&mut out, "    ", part.keys);
            }
            path => {
                write_doc(&mut out, "\n", part.doc);
                writeln!(out, "{path}:").expect("a string takes all");
                write_keys(&mut out, "  ", part.keys);
            }
        }
    }
    out
}

fn write_doc(out: &mut String, before: &str, doc: &str) {
    writeln!(out, "{before}# {doc}").expect("a string takes all");
}

fn write_keys(out: &mut String, indent: &str, keys: &[Key]) {
    for key in keys {
        let need = if key.required { " Required." } else { "" };
        write_doc(out, indent, &format!("{}{need}", key.doc.trim()));
        let name = key_of(key.field);
        writeln!(out, "{indent}{name}: {}", key.sample).expect("a string takes all");
    }
}

fn peers_and_secrets(out: &mut String, peers: &Part) {
    write_doc(out, "\n", peers.doc);
    let keys = peers.keys.iter();
    let keys = keys.map(|key| format!("`{}: {}`", key_of(key.field), key.sample));
    let keys = keys.collect::<Vec<_>>().join(" and ");
    writeln!(out, "# Each has {keys}.").expect("a string takes all");
    out.push_str("peers: []\n");
    write!(
        out,
        "\n# Where the secrets are; a secret itself is never written here.\nsecrets:\n  \
         # Tokens of operators: each `hash: SHA-256`, `file: PATH` or `env: NAME`.\n  \
         operator-tokens: []\n  \
         # The key that entries show each other: `file: PATH` or `env: NAME`. Required.\n  \
         peer-key:\n    env: {PEER_KEY}\n"
    )
    .expect("a string takes all");
}

/// The reference page in Markdown.
pub fn reference() -> String {
    let mut out = String::from(INTRODUCTION);
    for part in parts() {
        write!(
            out,
            "\n## `{}`\n\n{}\n\n| key | default | value | meaning |\n|---|---|---|---|\n",
            part.path, part.doc
        )
        .expect("a string takes all");
        for key in part.keys {
            let default = if key.required {
                format!("required, such as `{}`", key.sample)
            } else {
                format!("`{}`", key.sample)
            };
            let (name, doc) = (key_of(key.field), key.doc.trim());
            writeln!(out, "| `{name}` | {default} | {} | {doc} |", key.expected)
                .expect("a string takes all");
        }
    }
    out.push_str(SECRETS);
    write!(
        out,
        "\n## The documented default\n\n```yaml\n{}```\n",
        documented()
    )
    .expect("a string takes all");
    out
}

const INTRODUCTION: &str = "\
# Settings

An entry reads its settings from one YAML file: `primroseroute serve --settings FILE`.
`primroseroute check --settings FILE` reports every fault at once, each as
`LINE:COLUMN: PATH: expected WHAT`; `primroseroute settings` prints the documented default.

An unknown key is a fault. A fault names keys and never repeats a value, since that may be a secret in
the wrong place. Where the file is no YAML at all, or names a key twice, the first such fault is the only
one. Rules between values are checked once each value is valid alone.

This page is made from the code; a test compares the two.
";

const SECRETS: &str = "
## `secrets`

A secret is named by a file or an environment variable and never written into the settings. White
space at the end of a file does not count.

| key | default | value | meaning |
|---|---|---|---|
| `operator-tokens` | none | a list, each item `hash: SHA-256`, `file: PATH` or `env: NAME` | \
Tokens of operators; with none, nobody may operate through this entry. |
| `peer-key` | required | `file: PATH` or `env: NAME` | The key that entries show each other. |

## Rules between values

- Durations are at least 1 ms, but for `timers.drain-grace`.
- `limits.default-timeout` is at most `limits.max-timeout`.
- `limits.connections` is at least `limits.slots`; queue, sizes and slots are at least 1.
- `limits.retry-budget` is from 0 to 1.
- No weight is below 0, and one is above.
- The addresses under `listen` differ, unless their port is 0.
- The names under `peers` differ from each other and from `entry.name`.
";
