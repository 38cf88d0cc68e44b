//! Secrets are never logged.

use super::site;
use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use parking_lot::Mutex;
use primroseroute_testbed::{Admin, Caller, OPERATOR_TOKEN};
use std::sync::Arc;

cases! {
    secrets_are_never_logged => nothing_logged();
}

/// Collects every line logged within this test program.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.lock().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Checks tokens, keys and bodies of successful, rejected and failed requests at trace level.
async fn nothing_logged() -> Result<()> {
    let lines = Lines::default();
    log::set_boxed_logger(Box::new(lines.clone()))?;
    log::set_max_level(log::LevelFilter::Trace);
    let site = site().await?;
    let secrets = [
        "wrong-token-7f3a",
        "key-5b1c",
        "body-9d2e",
        "token-of-stay",
        OPERATOR_TOKEN,
    ];
    let [wrong, key, body, stay, _] = secrets;
    let to = site.any_entry().callers;
    for (token, path) in [(wrong, "/stay/a"), (stay, "/stay/a"), (stay, "/nowhere")] {
        let headers = [("idempotency-key", key)];
        let caller = Caller::open(token);
        caller
            .send(to, Method::POST, path, &headers, body, TIMEOUT)
            .await;
    }
    for worker in site.workers.values() {
        worker.stop();
    }
    let caller = Caller::open(stay);
    caller
        .send(to, Method::POST, "/stay/a", &[], body, TIMEOUT)
        .await;
    let admin = Admin::open(site.any_entry().entry.admin(), wrong);
    admin.status().await.expect_err("a wrong token");
    site.any_entry().admin.status().await?;

    let lines = lines.0.lock();
    assert!(!lines.is_empty(), "nothing was logged");
    let leak = lines
        .iter()
        .find(|line| secrets.iter().any(|secret| line.contains(secret)));
    assert_eq!(leak, None);
    Ok(())
}
