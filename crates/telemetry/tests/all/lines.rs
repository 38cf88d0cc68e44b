//! Format and levels of log lines.

use expect_test::expect;
use flexi_logger::DeferredNow;
use log::{Level, LevelFilter, Record};
use primroseroute_telemetry::log::{Log, REQUEST_ID, line};
use serde_json::Value;
use std::collections::BTreeMap;

fn rendered(record: &Record<'_>) -> String {
    let mut out = Vec::new();
    line(&mut out, &mut DeferredNow::new(), record).expect("writing to a vector cannot fail");
    String::from_utf8(out).expect("the line is UTF-8")
}

#[test]
fn line_is_one_json_object_with_the_request() {
    let fields = [(REQUEST_ID, "r-1")];
    let record = Record::builder()
        .level(Level::Warn)
        .module_path(Some("primroseroute_entry"))
        .key_values(&fields)
        .args(format_args!("two\nlines and a \"quote\""))
        .build();
    let line = rendered(&record);
    assert_eq!(line.lines().count(), 1, "{line}");
    // Sorted, since the order of the JSON library's maps depends on a feature flag.
    let mut object: BTreeMap<String, Value> = serde_json::from_str(&line).expect("it is an object");
    assert!(object.remove("timestamp").is_some());
    object.remove("thread");
    let fields = object
        .iter()
        .map(|(name, value)| format!("{name} = {value}\n"));
    expect![[r#"
        kv = {"request_id":"r-1"}
        level = "WARN"
        module_path = "primroseroute_entry"
        text = "two\nlines and a \"quote\""
    "#]]
    .assert_eq(&fields.collect::<Vec<_>>().concat());
}

#[test]
fn start_sets_levels_of_own_modules_and_libraries() {
    // No other test may start the logger, of which there is one per process.
    let log = Log::start(LevelFilter::Info).expect("no logger is set yet");
    assert!(Log::start(LevelFilter::Info).is_err());
    let enabled = |target, level| log::log_enabled!(target: target, level);
    assert!(enabled("primroseroute_flow::queue", Level::Info));
    assert!(!enabled("primroseroute_flow::queue", Level::Debug));
    assert!(!enabled("hyper::proto", Level::Info));
    assert!(enabled("hyper::proto", Level::Warn));
    log.set_level(LevelFilter::Error);
    assert!(!enabled("primroseroute_flow::queue", Level::Info));
    assert!(!enabled("hyper::proto", Level::Warn));
}
