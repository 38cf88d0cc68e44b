//! Secrets are read from where the settings say, and never shown.

use expect_test::expect;
use primroseroute_settings::{Settings, documented};
use std::fs;

/// SHA-256 of `token`.
const HASH: &str = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

fn settings(secrets: &str) -> Settings {
    let (before, after) = documented()
        .split_once("secrets:\n")
        .map(|(before, after)| (before.to_owned(), after.to_owned()))
        .expect("the section is there");
    let (_, after) = after.split_once("\n\n").expect("a section follows");
    Settings::parse(&format!("{before}secrets:\n{secrets}\n\n{after}")).expect("it is valid")
}

#[test]
fn tokens_by_hash_file_and_variable_are_the_same() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("token");
    fs::write(&file, "token\n").expect("a file can be written");
    let secrets = settings(&format!(
        "  operator-tokens: [{{hash: {HASH}}}, {{file: {}}}, {{env: TOKEN}}]\n  \
         peer-key: {{env: KEY}}",
        file.display()
    ))
    .secrets;
    let environment = |name: &str| match name {
        "TOKEN" => Some("token".to_owned()),
        "KEY" => Some("key".to_owned()),
        _ => None,
    };
    let resolved = secrets.resolve(&environment).expect("all are there");
    assert!(
        resolved
            .operator_tokens
            .iter()
            .all(|token| &*token.0 == HASH)
    );
    assert_eq!(resolved.operator_tokens.len(), 3);
    assert_eq!(resolved.peer_key.expose(), b"key");
    assert!(!format!("{resolved:?}").contains("key\""), "{resolved:?}");
    let missing = secrets.resolve(&|_| None).expect_err("two are missing");
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    expect![[r"
        secrets.operator-tokens[2]: expected the environment variable TOKEN to be there and readable
        secrets.peer-key: expected the environment variable KEY to be there and readable"]]
    .assert_eq(&missing.join("\n"));
}

#[test]
fn load_reports_missing_secrets_beside_other_faults() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("settings.yaml");
    let text = documented().replace("slots: 8", "slots: many");
    let text = text.replace("env: PRIMROSEROUTE_PEER_KEY", "file: /nowhere/key");
    fs::write(&file, text).expect("a file can be written");
    let error = Settings::load(&file).expect_err("two things are wrong");
    expect![[r"
        38:5: secrets.peer-key: expected the file /nowhere/key to be there and readable
        59:10: limits.slots: expected a whole number"]]
    .assert_eq(&error.to_string());
    assert!(Settings::load(&dir.path().join("none")).is_err_and(|e| e.faults().is_empty()));
}
