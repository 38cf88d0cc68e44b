//! Secrets are read from their configured sources and never printed.

use expect_test::expect;
use primroseroute_settings::{Settings, documented};
use std::fs;

/// SHA-256 of `token`.
const HASH: &str = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

/// SHA-256 of `another`.
const ANOTHER: &str = "ae448ac86c4e8e4dec645729708ef41873ae79c6dff84eff73360989487f08e5";

/// A well-formed SHA-256 of no known token.
const OTHER: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// A peer key of the minimum length.
const KEY: &str = "0123456789abcdef";

fn settings(secrets: &str) -> Settings {
    let (before, after) = documented()
        .split_once("secrets:\n")
        .map(|(before, after)| (before.to_owned(), after.to_owned()))
        .expect("the section exists");
    let (_, after) = after.split_once("\n\n").expect("a section follows");
    Settings::parse(&format!("{before}secrets:\n{secrets}\n\n{after}")).expect("it is valid")
}

#[test]
fn tokens_by_hash_file_and_variable_are_found() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("token");
    fs::write(&file, "token\n").expect("a file can be written");
    let secrets = settings(&format!(
        "  operators: [{{name: a, hash: {OTHER}}}, {{name: b, file: {}}}, {{name: c, env: TOKEN}}]\n  \
         peer-key: {{env: KEY}}",
        file.display()
    ))
    .secrets;
    let environment = |name: &str| match name {
        "TOKEN" => Some("another".to_owned()),
        "KEY" => Some(KEY.to_owned()),
        _ => None,
    };
    let resolved = secrets
        .resolve(&environment)
        .expect("all secrets are available");
    let operators = resolved.operators.iter();
    let operators: Vec<_> = operators.map(|(name, hash)| (&**name, &*hash.0)).collect();
    assert_eq!(operators, [("a", OTHER), ("b", HASH), ("c", ANOTHER)]);
    assert_eq!(resolved.peer_key.expose(), KEY.as_bytes());
    assert!(!format!("{resolved:?}").contains(KEY), "{resolved:?}");
    let missing = secrets
        .resolve(&|_| None)
        .expect_err("two secrets are missing");
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    expect![[r"
        secrets.operators[2]: expected the environment variable TOKEN to be there and readable
        secrets.peer-key: expected the environment variable KEY to be there and readable"]]
    .assert_eq(&missing.join("\n"));
}

// With a shared token, the audit trail would show whichever of the two names comes first.
#[test]
fn token_of_two_operators_is_refused() {
    let secrets = settings(&format!(
        "  operators: [{{name: a, hash: {HASH}}}, {{name: b, env: TOKEN}}]\n  peer-key: {{env: KEY}}"
    ))
    .secrets;
    let missing = secrets.resolve(&|name| match name {
        "KEY" => Some(KEY.to_owned()),
        _ => Some("token".to_owned()),
    });
    let missing = missing.expect_err("both operators have the same token");
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    assert_eq!(
        missing,
        ["secrets.operators[1]: expected a token that no other operator has"]
    );
}

#[test]
fn short_peer_key_is_refused() {
    let secrets = settings("  peer-key: {env: KEY}").secrets;
    let short = format!("{}\n", &KEY[1..]);
    let missing = secrets.resolve(&|_| Some(short.clone()));
    let missing = missing.expect_err("it is too short");
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    assert_eq!(
        missing,
        ["secrets.peer-key: expected a key of at least 16 bytes"]
    );
    assert!(secrets.resolve(&|_| Some(KEY.to_owned())).is_ok());
}

#[test]
fn load_reports_missing_secrets_beside_other_faults() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("settings.yaml");
    let text = documented().replace("retries: 2", "retries: many");
    let text = text.replace("env: PRIMROSEROUTE_PEER_KEY", "file: /nowhere/key");
    fs::write(&file, text).expect("a file can be written");
    let error = Settings::load(&file).expect_err("there are two faults");
    expect![[r"
        38:5: secrets.peer-key: expected the file /nowhere/key to be there and readable
        55:12: limits.retries: expected a whole number"]]
    .assert_eq(&error.to_string());
    assert!(Settings::load(&dir.path().join("none")).is_err_and(|e| e.faults().is_empty()));
}
