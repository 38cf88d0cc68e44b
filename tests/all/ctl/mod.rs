//! `primrosectl` against a running site: its output and exit codes.

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
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpSocket},
};

cases! {
    apply_from_a_file_is_listed_and_in_force => apply();
    diff_shows_lines_and_faults_and_changes_nothing => diff();
    stale_version_is_rejected => if_version();
    malformed_template_file_is_reported_with_its_line => malformed();
    drain_and_release_are_listed => drain_and_release();
    drain_below_the_guarantee_is_rejected_unless_forced => budget();
    status_names_every_entry => status();
    audit_filters_by_key_and_shows_the_reason => audit();
    lists_are_printed_as_tables => tables();
    closed_port_is_unreachable => unreachable();
    lost_response_is_unknown => lost_response();
    wrong_token_is_rejected => wrong_token();
    completions_are_printed => completions();
}

/// A running site and the token file for `primrosectl`.
struct Fixture {
    site: Site,
    token: NamedTempFile,
}

/// Exit code and output of one command.
struct CommandOutput {
    code: u8,
    stdout: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|_| panic!("{:?}", self.stdout))
    }
}

fn temp_file(contents: &str) -> Result<NamedTempFile> {
    let mut file = NamedTempFile::new()?;
    file.write_all(contents.as_bytes())?;
    Ok(file)
}

async fn ctl(entry: SocketAddr, token: &Path, args: &[&str]) -> Result<CommandOutput> {
    let entry = entry.to_string();
    let token = token.to_string_lossy();
    let target = ["primrosectl", "--entry", &entry, "--token-file", &token];
    let cli = Cli::try_parse_from(target.iter().chain(args))?;
    let mut stdout = Vec::new();
    let code = run(cli, &mut stdout).await?;
    let stdout = String::from_utf8(stdout)?;
    Ok(CommandOutput { code, stdout })
}

impl Fixture {
    async fn open() -> Result<Self> {
        let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
        site.converge().await?;
        let token = temp_file(OPERATOR_TOKEN)?;
        let fixture = Self { site, token };
        fixture.all_registered().await?;
        Ok(fixture)
    }

    /// Waits until `entry-0`, which the commands use, has read the registrations of all entries.
    async fn all_registered(&self) -> Result<()> {
        let admin = &self.site.entry("entry-0").admin;
        while admin.status().await?.entries.len() < self.site.entries.len() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn ctl(&self, args: &[&str]) -> Result<CommandOutput> {
        let entry = self.site.entry("entry-0").entry.admin();
        ctl(entry, self.token.path(), args).await
    }

    /// Runs a command with JSON output and asserts that it succeeds.
    async fn json(&self, args: &[&str]) -> Result<Value> {
        let args: Vec<&str> = args.iter().copied().chain(["--output", "json"]).collect();
        let done = self.ctl(&args).await?;
        assert_eq!(done.code, exit::DONE, "{}", done.stdout);
        Ok(done.json())
    }
}

/// A template file of `stay` with the given share.
fn stay_template(share: u32) -> Result<NamedTempFile> {
    temp_file(&serde_json::to_string(&template("stay", share, 2))?)
}

fn path_text(file: &NamedTempFile) -> String {
    file.path().to_string_lossy().into_owned()
}

async fn apply() -> Result<()> {
    let fixture = Fixture::open().await?;
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
    let yaml = temp_file(yaml)?;
    let accepted = fixture
        .json(&[
            "account",
            "apply",
            &path_text(&yaml),
            "--wait",
            "--reason",
            "r",
        ])
        .await?;
    let found = fixture.json(&["account", "get", "stay"]).await?;
    assert_eq!(found["value"]["share"], 7);
    assert_eq!(found["version"], accepted["version"]);
    let listed = fixture.json(&["account", "list"]).await?;
    assert_eq!(listed, Value::Array(vec![found]));
    for running in fixture.site.entries.values() {
        assert!(running.entry.applied_seq().0 >= accepted["version"].as_u64().unwrap_or(u64::MAX));
    }
    Ok(())
}

async fn diff() -> Result<()> {
    let fixture = Fixture::open().await?;
    let before = fixture.json(&["account", "get", "stay"]).await?;
    let done = fixture
        .ctl(&["account", "diff", &path_text(&stay_template(5)?)])
        .await?;
    assert_eq!(done.code, exit::DONE);
    let changed = |sign: char| move |line: &&str| line.starts_with(sign);
    let lines = || done.stdout.lines();
    assert_eq!(lines().filter(changed('-')).count(), 1, "{}", done.stdout);
    assert_eq!(lines().filter(changed('+')).count(), 1, "{}", done.stdout);

    let faulty = fixture
        .ctl(&["account", "diff", &path_text(&stay_template(0)?)])
        .await?;
    assert_eq!(faulty.code, exit::REFUSED);
    assert!(faulty.stdout.contains("fault: share"), "{}", faulty.stdout);
    assert_eq!(fixture.json(&["account", "get", "stay"]).await?, before);
    Ok(())
}

async fn if_version() -> Result<()> {
    let fixture = Fixture::open().await?;
    let version = fixture.json(&["account", "get", "stay"]).await?["version"].to_string();
    let (a, b) = (stay_template(3)?, stay_template(4)?);
    fixture
        .json(&["account", "apply", &path_text(&a), "--if-version", &version])
        .await?;
    let args = ["account", "apply", &path_text(&b), "--if-version", &version];
    let refused = fixture
        .ctl(&[&args[..], &["--output", "json"]].concat())
        .await?;
    assert_eq!(refused.code, exit::REFUSED);
    assert_eq!(refused.json()["code"], 502);
    let found = fixture.json(&["account", "get", "stay"]).await?;
    assert_eq!(found["value"]["share"], 3);
    Ok(())
}

/// The report has the line of an invalid value. It has an unknown field too, but the YAML library
/// locates that at the start of its mapping.
async fn malformed() -> Result<()> {
    let fixture = Fixture::open().await?;
    for (yaml, wanted) in [
        ("account: stay\nshare: many\n", ["line 2", "many"]),
        (
            "account: stay\nshare: 1\nshares: 2\n",
            ["line 1", "`shares`"],
        ),
    ] {
        let yaml = temp_file(yaml)?;
        let failed = fixture.ctl(&["account", "apply", &path_text(&yaml)]).await;
        let report = failed.err().expect("not a valid template");
        let report = format!("{report:#}");
        for part in wanted {
            assert!(report.contains(part), "{report}");
        }
    }
    Ok(())
}

/// The state of the instance `name` in the list.
fn state(instances: &Value, name: &str) -> Value {
    let rows = instances.as_array().expect("a list");
    let row = rows.iter().find(|row| row["row"]["value"]["id"] == name);
    row.expect("the instance is listed")["row"]["value"]["state"].clone()
}

async fn drain_and_release() -> Result<()> {
    let fixture = Fixture::open().await?;
    fixture
        .json(&["instance", "drain", "stay-0", "--wait"])
        .await?;
    let listed = fixture.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "draining");
    assert_eq!(state(&listed, "stay-1"), "serving");
    let pools = fixture.json(&["pool", "list"]).await?;
    assert_eq!(pools[0]["serving"], 2);

    fixture
        .json(&["instance", "release", "stay-0", "--wait"])
        .await?;
    let listed = fixture.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "serving");
    Ok(())
}

async fn budget() -> Result<()> {
    let fixture = Fixture::open().await?;
    fixture
        .json(&["instance", "drain", "stay-0", "--wait"])
        .await?;
    let args = ["instance", "drain", "stay-1", "--output", "json"];
    let refused = fixture.ctl(&args).await?;
    assert_eq!(refused.code, exit::REFUSED);
    assert_eq!(refused.json()["outcome"], "not-run");
    let listed = fixture.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-1"), "serving");

    fixture
        .json(&["instance", "drain", "stay-1", "--force", "--wait"])
        .await?;
    let listed = fixture.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-1"), "draining");
    Ok(())
}

async fn status() -> Result<()> {
    let fixture = Fixture::open().await?;
    let status = fixture.json(&["status"]).await?;
    assert_eq!(status["entry"], "entry-0");
    let entries = status["entries"].as_array().expect("a list");
    let names: Vec<&Value> = entries.iter().map(|entry| &entry["name"]).collect();
    assert_eq!(names, ["entry-0", "entry-1"]);
    assert_eq!(status["instances"]["serving"], 3);
    let shown = fixture.ctl(&["status"]).await?.stdout;
    assert!(
        shown.contains("entry entry-0") && shown.contains("3 serving"),
        "{shown}"
    );
    Ok(())
}

async fn audit() -> Result<()> {
    let fixture = Fixture::open().await?;
    let yaml = stay_template(9)?;
    let args = [
        "account",
        "apply",
        &path_text(&yaml),
        "--reason",
        "more for stay",
    ];
    let accepted = fixture.json(&args).await?;
    fixture.json(&["instance", "drain", "stay-0"]).await?;

    let trail = fixture.json(&["audit", "--key", "account/"]).await?;
    let last = trail
        .as_array()
        .and_then(|rows| rows.last())
        .expect("changes");
    assert_eq!(last["reason"], "more for stay");
    assert_eq!(last["actor"], "operator:test");
    assert_eq!(last["seq"], accepted["version"]);
    let after = accepted["version"].to_string();
    let later = fixture
        .json(&["audit", "--after", &after, "--key", "account/"])
        .await?;
    assert_eq!(later, Value::Array(Vec::new()));
    let history = fixture.json(&["account", "history", "stay"]).await?;
    assert_eq!(history, trail);
    Ok(())
}

async fn tables() -> Result<()> {
    let fixture = Fixture::open().await?;
    for (args, wanted) in [
        (["service", "list"], "/stay"),
        (["pool", "list"], "promised"),
        (["instance", "list"], "stay-2"),
        (["account", "list"], "share"),
    ] {
        let done = fixture.ctl(&args).await?;
        assert_eq!(done.code, exit::DONE);
        assert!(done.stdout.contains(wanted), "{args:?}: {}", done.stdout);
    }
    Ok(())
}

async fn unreachable() -> Result<()> {
    // Bound but not listening: no other test's listener is assigned the port meanwhile.
    let socket = TcpSocket::new_v4()?;
    socket.bind(([127, 0, 0, 1], 0).into())?;
    let closed = socket.local_addr()?;
    let done = ctl(closed, temp_file("t")?.path(), &["status"]).await?;
    assert_eq!(done.code, exit::UNREACHABLE);
    Ok(())
}

/// The entry receives the request and closes without a response, so the change may have been
/// applied.
async fn lost_response() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        stream.read_u8().await
    });
    let args = ["instance", "drain", "stay-0"];
    let done = ctl(address, temp_file("t")?.path(), &args).await?;
    assert_eq!(done.code, exit::UNKNOWN);
    Ok(())
}

async fn wrong_token() -> Result<()> {
    let fixture = Fixture::open().await?;
    let entry = fixture.site.entry("entry-0").entry.admin();
    let args = ["instance", "drain", "stay-0", "--output", "json"];
    let done = ctl(entry, temp_file("wrong")?.path(), &args).await?;
    assert_eq!(done.code, exit::REFUSED);
    assert_eq!(done.json()["outcome"], "not-run");
    let listed = fixture.json(&["instance", "list"]).await?;
    assert_eq!(state(&listed, "stay-0"), "serving");
    Ok(())
}

async fn completions() -> Result<()> {
    let nobody = "127.0.0.1:1".parse()?;
    let done = ctl(nobody, temp_file("t")?.path(), &["completions", "bash"]).await?;
    assert_eq!(done.code, exit::DONE);
    assert!(done.stdout.contains("primrosectl"));
    Ok(())
}
