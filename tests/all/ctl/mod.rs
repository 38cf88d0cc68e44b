//! `primrosectl` against a running site: what it prints and which exit code a script sees.

mod history;
mod wait;

use crate::cases;
use clap::Parser;
use eyre::Result;
use primroseroute_ctl::{Cli, exit, run};
use primroseroute_testbed::{Layout, OPERATOR_TOKEN, Site, platform, template};
use serde_json::Value;
use std::{io::Write, net::SocketAddr, path::Path};
use tempfile::NamedTempFile;
use tokio::{io::AsyncReadExt, net::TcpListener};

cases! {
    apply_from_a_file_is_listed_and_in_force => apply();
    diff_shows_lines_and_faults_and_changes_nothing => diff();
    named_version_refuses_the_slower_operator => if_version();
    file_that_is_no_template_names_the_place => malformed();
    drain_and_release_show_in_the_list => drain_and_release();
    drain_below_the_promise_is_refused_unless_forced => budget();
    status_names_every_entry => status();
    audit_filters_by_key_and_shows_the_reason => audit();
    lists_are_tables_for_people => tables();
    nobody_who_listens_is_unreachable => unreachable();
    answer_that_is_lost_is_unknown => lost();
    wrong_token_is_refused => wrong_token();
    completions_are_printed => completions();
}

/// A site with an operator's command line.
struct Desk {
    site: Site,
    token: NamedTempFile,
}

/// What one command did.
struct Done {
    code: u8,
    printed: String,
}

impl Done {
    fn json(&self) -> Value {
        serde_json::from_str(&self.printed).unwrap_or_else(|_| panic!("{:?}", self.printed))
    }
}

fn file(text: &str) -> Result<NamedTempFile> {
    let mut file = NamedTempFile::new()?;
    file.write_all(text.as_bytes())?;
    Ok(file)
}

async fn ctl(entry: SocketAddr, token: &Path, words: &[&str]) -> Result<Done> {
    let entry = entry.to_string();
    let token = token.to_string_lossy();
    let target = ["primrosectl", "--entry", &entry, "--token-file", &token];
    let cli = Cli::try_parse_from(target.iter().chain(words))?;
    let mut printed = Vec::new();
    let code = run(cli, &mut printed).await?;
    let printed = String::from_utf8(printed)?;
    Ok(Done { code, printed })
}

impl Desk {
    async fn open() -> Result<Self> {
        let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
        site.converge().await?;
        let token = file(OPERATOR_TOKEN)?;
        let desk = Self { site, token };
        desk.all_registered().await?;
        Ok(desk)
    }

    /// Waits until the entry that is asked has read that the other one is registered.
    async fn all_registered(&self) -> Result<()> {
        let admin = &self.site.entry("entry-0").admin;
        while admin.status().await?.entries.len() < self.site.entries.len() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn ctl(&self, words: &[&str]) -> Result<Done> {
        let entry = self.site.entry("entry-0").entry.admin();
        ctl(entry, self.token.path(), words).await
    }

    /// The same, which must succeed and print JSON.
    async fn json(&self, words: &[&str]) -> Result<Value> {
        let words: Vec<&str> = words.iter().copied().chain(["--output", "json"]).collect();
        let done = self.ctl(&words).await?;
        assert_eq!(done.code, exit::DONE, "{}", done.printed);
        Ok(done.json())
    }
}

/// The template of `stay` with another share, as an operator's file.
fn stay(share: u32) -> Result<NamedTempFile> {
    file(&serde_json::to_string(&template("stay", share, 2))?)
}

fn text(file: &NamedTempFile) -> String {
    file.path().to_string_lossy().into_owned()
}

async fn apply() -> Result<()> {
    let desk = Desk::open().await?;
    let yaml = "
account: stay
share: 7
tokens: []
pools:
  - name: stay
    budget: { promised: 2, max-absent: 1, survive: nothing }
    services:
      - { name: stay, path-prefix: /stay }
";
    let yaml = file(yaml)?;
    let accepted = desk
        .json(&["account", "apply", &text(&yaml), "--wait", "--reason", "r"])
        .await?;
    let found = desk.json(&["account", "get", "stay"]).await?;
    assert_eq!(found["value"]["share"], 7);
    assert_eq!(found["version"], accepted["version"]);
    let listed = desk.json(&["account", "list"]).await?;
    assert_eq!(listed, Value::Array(vec![found]));
    for running in desk.site.entries.values() {
        assert!(running.entry.applied_seq().0 >= accepted["version"].as_u64().unwrap_or(u64::MAX));
    }
    Ok(())
}

async fn diff() -> Result<()> {
    let desk = Desk::open().await?;
    let before = desk.json(&["account", "get", "stay"]).await?;
    let done = desk.ctl(&["account", "diff", &text(&stay(5)?)]).await?;
    assert_eq!(done.code, exit::DONE);
    let changed = |sign: char| move |line: &&str| line.starts_with(sign);
    let lines = || done.printed.lines();
    assert_eq!(lines().filter(changed('-')).count(), 1, "{}", done.printed);
    assert_eq!(lines().filter(changed('+')).count(), 1, "{}", done.printed);

    let faulty = desk.ctl(&["account", "diff", &text(&stay(0)?)]).await?;
    assert_eq!(faulty.code, exit::REFUSED);
    assert!(
        faulty.printed.contains("fault: share"),
        "{}",
        faulty.printed
    );
    assert_eq!(desk.json(&["account", "get", "stay"]).await?, before);
    Ok(())
}

async fn if_version() -> Result<()> {
    let desk = Desk::open().await?;
    let version = desk.json(&["account", "get", "stay"]).await?["version"].to_string();
    let (a, b) = (stay(3)?, stay(4)?);
    desk.json(&["account", "apply", &text(&a), "--if-version", &version])
        .await?;
    let words = ["account", "apply", &text(&b), "--if-version", &version];
    let refused = desk
        .ctl(&[&words[..], &["--output", "json"]].concat())
        .await?;
    assert_eq!(refused.code, exit::REFUSED);
    assert_eq!(refused.json()["code"], 502);
    let found = desk.json(&["account", "get", "stay"]).await?;
    assert_eq!(found["value"]["share"], 3);
    Ok(())
}

/// A wrong value is named by its line. An unknown field is named too, but the YAML library places
/// it at the start of its mapping.
async fn malformed() -> Result<()> {
    let desk = Desk::open().await?;
    for (yaml, wanted) in [
        ("account: stay\nshare: many\n", ["line 2", "many"]),
        (
            "account: stay\nshare: 1\nshares: 2\n",
            ["line 1", "`shares`"],
        ),
    ] {
        let yaml = file(yaml)?;
        let failed = desk.ctl(&["account", "apply", &text(&yaml)]).await;
        let report = failed.err().expect("it is no template");
        let report = format!("{report:#}");
        for part in wanted {
            assert!(report.contains(part), "{report}");
        }
    }
    Ok(())
}

/// The state of `name` in the list of instances.
fn state(instances: &Value, name: &str) -> Value {
    let rows = instances.as_array().expect("a list");
    let row = rows.iter().find(|row| row["row"]["value"]["id"] == name);
    row.expect("the instance is listed")["row"]["value"]["state"].clone()
}

async fn drain_and_release() -> Result<()> {
    let desk = Desk::open().await?;
    desk.json(&["instance", "drain", "stay-0", "--wait"])
        .await?;
    let listed = desk.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "draining");
    assert_eq!(state(&listed, "stay-1"), "serving");
    let pools = desk.json(&["pool", "list"]).await?;
    assert_eq!(pools[0]["serving"], 2);

    desk.json(&["instance", "release", "stay-0", "--wait"])
        .await?;
    let listed = desk.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "serving");
    Ok(())
}

async fn budget() -> Result<()> {
    let desk = Desk::open().await?;
    desk.json(&["instance", "drain", "stay-0", "--wait"])
        .await?;
    let words = ["instance", "drain", "stay-1", "--output", "json"];
    let refused = desk.ctl(&words).await?;
    assert_eq!(refused.code, exit::REFUSED);
    assert_eq!(refused.json()["outcome"], "not-run");
    let listed = desk.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-1"), "serving");

    desk.json(&["instance", "drain", "stay-1", "--force", "--wait"])
        .await?;
    let listed = desk.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-1"), "draining");
    Ok(())
}

async fn status() -> Result<()> {
    let desk = Desk::open().await?;
    let status = desk.json(&["status"]).await?;
    assert_eq!(status["entry"], "entry-0");
    let entries = status["entries"].as_array().expect("a list");
    let names: Vec<&Value> = entries.iter().map(|entry| &entry["name"]).collect();
    assert_eq!(names, ["entry-0", "entry-1"]);
    assert_eq!(status["instances"]["serving"], 3);
    let shown = desk.ctl(&["status"]).await?.printed;
    assert!(
        shown.contains("entry entry-0") && shown.contains("3 serving"),
        "{shown}"
    );
    Ok(())
}

async fn audit() -> Result<()> {
    let desk = Desk::open().await?;
    let yaml = stay(9)?;
    let words = [
        "account",
        "apply",
        &text(&yaml),
        "--reason",
        "more for stay",
    ];
    let accepted = desk.json(&words).await?;
    desk.json(&["instance", "drain", "stay-0"]).await?;

    let trail = desk.json(&["audit", "--key", "account/"]).await?;
    let last = trail
        .as_array()
        .and_then(|rows| rows.last())
        .expect("changes");
    assert_eq!(last["reason"], "more for stay");
    assert_eq!(last["actor"], "operator:test");
    assert_eq!(last["seq"], accepted["version"]);
    let after = accepted["version"].to_string();
    let later = desk
        .json(&["audit", "--after", &after, "--key", "account/"])
        .await?;
    assert_eq!(later, Value::Array(Vec::new()));
    let history = desk.json(&["account", "history", "stay"]).await?;
    assert_eq!(history, trail);
    Ok(())
}

async fn tables() -> Result<()> {
    let desk = Desk::open().await?;
    for (words, wanted) in [
        (["service", "list"], "/stay"),
        (["pool", "list"], "promised"),
        (["instance", "list"], "stay-2"),
        (["account", "list"], "share"),
    ] {
        let done = desk.ctl(&words).await?;
        assert_eq!(done.code, exit::DONE);
        assert!(done.printed.contains(wanted), "{words:?}: {}", done.printed);
    }
    Ok(())
}

async fn unreachable() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let closed = listener.local_addr()?;
    drop(listener);
    let done = ctl(closed, file("t")?.path(), &["status"]).await?;
    assert_eq!(done.code, exit::UNREACHABLE);
    Ok(())
}

/// The entry takes the order and dies before it answers: it may have been carried out.
async fn lost() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        stream.read_u8().await
    });
    let words = ["instance", "drain", "stay-0"];
    let done = ctl(address, file("t")?.path(), &words).await?;
    assert_eq!(done.code, exit::UNKNOWN);
    Ok(())
}

async fn wrong_token() -> Result<()> {
    let desk = Desk::open().await?;
    let entry = desk.site.entry("entry-0").entry.admin();
    let words = ["instance", "drain", "stay-0", "--output", "json"];
    let done = ctl(entry, file("wrong")?.path(), &words).await?;
    assert_eq!(done.code, exit::REFUSED);
    assert_eq!(done.json()["outcome"], "not-run");
    let listed = desk.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "serving");
    Ok(())
}

async fn completions() -> Result<()> {
    let nobody = "127.0.0.1:1".parse()?;
    let done = ctl(nobody, file("t")?.path(), &["completions", "bash"]).await?;
    assert_eq!(done.code, exit::DONE);
    assert!(done.printed.contains("primrosectl"));
    Ok(())
}
