//! Metrics, liveness and readiness on an entry's admin address.

use crate::{TIMEOUT, cases};
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Layout, Said, Site, backend::Mode, caller_token, platform};
use std::time::Duration;

cases! {
    metrics_count_requests_retries_ejections_and_store_calls => metrics();
    readiness_follows_the_view_and_the_stop => readiness();
}

/// Status and body of an unauthenticated page of the admin address.
async fn page(site: &Site, name: &str, path: &str) -> (u16, String) {
    let caller = Caller::open("none");
    let to = site.entry(name).admin.address();
    let answer = caller.send(to, Method::GET, path, &[], "", TIMEOUT).await;
    let status = answer.status.map_or(0, |status| status.as_u16());
    (status, String::from_utf8_lossy(&answer.body).into_owned())
}

/// The value of the first series of `name` whose labels contain all of `labels`.
fn series(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let matches_labels =
        |line: &&str| line.starts_with(name) && labels.iter().all(|part| line.contains(part));
    let line = text.lines().find(matches_labels)?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Consecutive failures that eject a worker.
const EJECTION_FAILURES: u32 = 5;

/// Maximum requests until the failing worker, one of three chosen at random, has received that
/// many.
const MAX_REQUESTS: u32 = 500;

async fn metrics() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let failing = site.worker("stay-0");
    // Health checks still pass: a quarantined worker would not count as ejected.
    failing.set_mode(Mode::ResetRequests);
    let caller = Caller::open(caller_token("stay"));
    let mut requests = 0;
    while failing.count().executions < u64::from(EJECTION_FAILURES) && requests < MAX_REQUESTS {
        let to = site.entry("entry-0").callers;
        let answer = caller
            .send(to, Method::GET, "/stay/a", &[], "", TIMEOUT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        requests += 1;
    }
    let (status, text) = page(&site, "entry-0", "/metrics").await;
    assert_eq!(status, 200);
    let value = |name, labels: &[&str]| series(&text, name, labels).unwrap_or_default();
    let assert_value = |name, labels: &[&str], want: f64| {
        let found = value(name, labels);
        assert!((found - want).abs() < 0.5, "{name} {found} {want}\n{text}");
    };
    let completed = [
        "account=\"stay\"",
        "service=\"stay\"",
        "verdict=\"completed\"",
    ];
    assert_value(
        "primroseroute_requests_total",
        &completed,
        f64::from(requests),
    );
    assert_value(
        "primroseroute_retries_total",
        &["service=\"stay\"", "code=\"302\""],
        f64::from(EJECTION_FAILURES),
    );
    assert_value("primroseroute_ejected", &["pool=\"stay\""], 1.0);
    assert!(
        value(
            "primroseroute_store_calls_total",
            &["call=\"read\"", "end=\"ok\""]
        ) >= 1.0,
        "{text}"
    );
    assert!(value("primroseroute_view_seq", &[]) >= 2.0, "{text}");
    Ok(())
}

/// An entry without a view is live but not ready, so the platform does not restart it and the load
/// balancer does not send to it. With a view it is ready; after the stop order it is no longer
/// ready, but still serves.
async fn readiness() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    let outage = platform::fault::Outage::Refuse;
    site.platform.faults().set_outage(Some(outage));
    site.start("entry-0").await?;
    assert_eq!(page(&site, "entry-0", "/healthz").await.0, 200);
    assert_eq!(page(&site, "entry-0", "/readyz").await.0, 503);
    let caller = Caller::open(caller_token("stay"));
    let to = site.entry("entry-0").callers;
    let early = caller
        .send(to, Method::GET, "/stay/a", &[], "", TIMEOUT)
        .await;
    assert_eq!((early.said, early.code), (Said::NotRun, Some(702)));

    site.platform.faults().set_outage(None);
    let order = primroseroute_api::Apply {
        template: site.templates().remove(0),
        if_version: None,
        reason: "test".into(),
    };
    site.any_entry().admin.apply(&order).await?;
    let seq = site.place_workers().await?;
    site.wait_until_applied(seq).await?;
    assert_eq!(page(&site, "entry-0", "/readyz").await.0, 200);

    site.start_with("entry-1", |parts| {
        let timers = primroseroute_entry::Timers {
            grace: Duration::from_secs(2),
            ..parts.timers
        };
        primroseroute_entry::Components { timers, ..parts }
    })
    .await?;
    site.wait_until_applied(seq).await?;
    let admin = site.entry("entry-1").admin.address();
    let callers = site.entry("entry-1").callers;
    let stopped = tokio::spawn(site.take_entry("entry-1").entry.stop());
    let probe = Caller::open("none");
    let mut status = Some(200);
    while status != Some(503) {
        let answer = probe
            .send(admin, Method::GET, "/readyz", &[], "", TIMEOUT)
            .await;
        status = answer.status.map(|status| status.as_u16());
        assert!(
            status.is_some(),
            "the entry stopped before it reported that it is not ready"
        );
    }
    let late = caller
        .send(callers, Method::GET, "/stay/a", &[], "", TIMEOUT)
        .await;
    assert_eq!(late.said, Said::Completed, "{late:?}");
    stopped.await?;
    Ok(())
}
