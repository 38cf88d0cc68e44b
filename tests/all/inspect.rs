//! `primrosectl site` where the platform is unreachable or the input is invalid.

use eyre::Result;
use std::process::{Command, Output};

/// Settings with a platform address on which nothing listens.
const SETTINGS: &str = r#"{
  "Node": "entry-1", "Zone": "z-1",
  "Listen": {"Front": "127.0.0.1:1", "Ready": "127.0.0.1:1"},
  "Bounds": {"HoldMaxMs": 10000, "LeaseMs": 3000, "GraceS": 6, "status_s": 120},
  "platform": {"Address": "127.0.0.1:1"},
  "Cloud": {"Address": "127.0.0.1:1", "DutyPerS": 64.0}
}"#;

fn site(settings: &str, arguments: &[&str]) -> Result<Output> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("node.json");
    std::fs::write(&path, settings)?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosectl"));
    command.args(["site", "--settings"]).arg(path);
    Ok(command.args(arguments).output()?)
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn unreachable_platform_is_reported_with_its_address() -> Result<()> {
    for command in ["pools", "waves"] {
        let output = site(SETTINGS, &[command])?;
        assert!(!output.status.success());
        assert!(output.stdout.is_empty());
        let error = error(&output);
        assert!(error.contains("127.0.0.1:1"), "{error}");
    }
    Ok(())
}

#[test]
fn malformed_id_is_rejected_before_any_call() -> Result<()> {
    let output = site(SETTINGS, &["job", "12"])?;
    assert!(!output.status.success());
    assert!(error(&output).contains("16 hexadecimal digits"));
    Ok(())
}

#[test]
fn faults_of_the_settings_are_reported() -> Result<()> {
    let output = site(&SETTINGS.replace("\"Front\"", "\"Back\""), &["pools"])?;
    assert!(!output.status.success());
    assert!(error(&output).contains("Listen.Front is missing"));
    Ok(())
}
