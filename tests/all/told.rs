//! What an entry tells of itself on its admin address.

use crate::{LIMIT, cases};
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Layout, Said, Site, backend::Mode, caller_token, platform};
use std::time::Duration;

cases! {
    metrics_tell_requests_retries_ejections_and_store_calls => metrics();
    readiness_goes_with_the_view_and_the_stop => readiness();
}

/// The body of an unauthenticated page of the admin address, with its status.
async fn page(site: &Site, name: &str, path: &str) -> (u16, String) {
    let caller = Caller::open("none");
    let to = site.entry(name).admin.address();
    let answer = caller.send(to, Method::GET, path, &[], "", LIMIT).await;
    let status = answer.status.map_or(0, |status| status.as_u16());
    (status, String::from_utf8_lossy(&answer.body).into_owned())
}

/// The value of the first series of `name` whose labels contain all of `labels`.
fn series(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let fits =
        |line: &&str| line.starts_with(name) && labels.iter().all(|part| line.contains(part));
    let line = text.lines().find(fits)?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Failures in a row that eject a worker.
const CONSECUTIVE: u32 = 5;

/// Most requests until the worker that fails has got that many: it is drawn among three.
const REQUESTS: u32 = 500;

async fn metrics() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    let failing = site.worker("stay-0");
    // Health checks are answered: a quarantined worker wouldn't count as ejected.
    failing.set_mode(Mode::ResetRequests);
    let caller = Caller::open(caller_token("stay"));
    let mut requests = 0;
    while failing.count().executions < u64::from(CONSECUTIVE) && requests < REQUESTS {
        let to = site.entry("entry-0").callers;
        let answer = caller
            .send(to, Method::GET, "/stay/a", &[], "", LIMIT)
            .await;
        assert_eq!(answer.said, Said::Completed, "{answer:?}");
        requests += 1;
    }
    let (status, text) = page(&site, "entry-0", "/metrics").await;
    assert_eq!(status, 200);
    let value = |name, labels: &[&str]| series(&text, name, labels).unwrap_or_default();
    let counts = |name, labels: &[&str], want: f64| {
        let told = value(name, labels);
        assert!((told - want).abs() < 0.5, "{name} {told} {want}\n{text}");
    };
    let completed = [
        "account=\"stay\"",
        "service=\"stay\"",
        "verdict=\"completed\"",
    ];
    counts(
        "primroseroute_requests_total",
        &completed,
        f64::from(requests),
    );
    counts(
        "primroseroute_retries_total",
        &["service=\"stay\"", "code=\"302\""],
        f64::from(CONSECUTIVE),
    );
    counts("primroseroute_ejected", &["pool=\"stay\""], 1.0);
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

/// An entry without a view is alive and not ready, so the platform does not restart it and the
/// balancer does not send to it. With a view it is ready, and from the stop order on it is not,
/// while it still serves.
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
        .send(to, Method::GET, "/stay/a", &[], "", LIMIT)
        .await;
    assert_eq!((early.said, early.code), (Said::NotRun, Some(702)));

    site.platform.faults().set_outage(None);
    let order = primroseroute_api::Apply {
        template: site.templates().remove(0),
        if_version: None,
        reason: "test".into(),
    };
    site.any().admin.apply(&order).await?;
    let seq = site.place_workers().await?;
    site.in_force(seq).await?;
    assert_eq!(page(&site, "entry-0", "/readyz").await.0, 200);

    site.start_with("entry-1", |parts| {
        let timers = primroseroute_entry::Timers {
            grace: Duration::from_secs(2),
            ..parts.timers
        };
        primroseroute_entry::Components { timers, ..parts }
    })
    .await?;
    site.in_force(seq).await?;
    let admin = site.entry("entry-1").admin.address();
    let callers = site.entry("entry-1").callers;
    let stopped = tokio::spawn(site.take("entry-1").entry.stop());
    let probe = Caller::open("none");
    let mut status = Some(200);
    while status != Some(503) {
        let answer = probe
            .send(admin, Method::GET, "/readyz", &[], "", LIMIT)
            .await;
        status = answer.status.map(|status| status.as_u16());
        assert!(
            status.is_some(),
            "it stopped before it said that it is not ready"
        );
    }
    let late = caller
        .send(callers, Method::GET, "/stay/a", &[], "", LIMIT)
        .await;
    assert_eq!(late.said, Said::Completed, "{late:?}");
    stopped.await?;
    Ok(())
}
