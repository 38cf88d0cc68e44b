//! `primroseroute check` reports all faults of a settings file at once and prints nothing else.

use expect_test::expect;
use eyre::Result;
use std::process::{Command, Output};

const PLATFORM: &str = r#"{
  "Node": "entry-1", "Zone": "z-1",
  "Listen": {"Front": "10.1.0.9:8624", "Ready": "10.1.0.9:8622"},
  "Bounds": {"HoldMaxMs": 10000, "LeaseMs": 3000, "GraceS": 6, "status_s": 120},
  "platform": {"Address": "10.200.1.7:8621"},
  "Cloud": {"Address": "10.200.0.107:8621", "DutyPerS": 64.0}
}"#;

fn check(option: &str, text: &str) -> Result<Output> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("settings");
    std::fs::write(&path, text)?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_primroseroute"));
    Ok(command.arg("check").arg(option).arg(path).output()?)
}

#[test]
fn valid_platform_settings_pass_silently() -> Result<()> {
    let output = check("--platform", PLATFORM)?;
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stdout.is_empty() && output.stderr.is_empty());
    Ok(())
}

#[test]
fn every_fault_of_platform_settings_has_a_line() -> Result<()> {
    let text = PLATFORM
        .replace("\"Front\"", "\"Back\"")
        .replace("\"HoldMaxMs\": 10000", "\"HoldMaxMs\": 0")
        .replace("64.0", "-1");
    let output = check("--platform", &text)?;
    assert_eq!(output.status.code(), Some(2));
    expect![[r"
        Listen.Front is missing
        Bounds.HoldMaxMs must be above 0
        Cloud.DutyPerS must be above 0
    "]]
    .assert_eq(&String::from_utf8_lossy(&output.stderr));
    Ok(())
}

#[test]
fn missing_file_argument_is_rejected() -> Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_primroseroute"))
        .arg("check")
        .output()?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}
