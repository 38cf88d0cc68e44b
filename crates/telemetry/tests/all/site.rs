//! Metrics of the job path.

use primroseroute_domain::work::{End, Name};
use primroseroute_platform::Error;
use primroseroute_telemetry::site::Meter;
use std::time::Duration;

/// A meter with a value recorded on every instrument.
fn recorded_meter() -> Meter {
    let meter = Meter::open().expect("the registry is new");
    let queue: Name = "holds".into();
    let duration = Duration::from_millis(3);
    meter.response_sent(Some(&queue), 200, duration);
    meter.response_sent(None, 404, duration);
    meter.admission_decided(&"stay".into(), "rejected_beyond");
    meter.call_finished("commit", Some(&Error::Throttled), duration);
    meter.start_finished("started");
    meter.run_ended(End::Lapsed);
    meter.runs_lost("crash", 3);
    meter.pool_taken_over(&"stay".into());
    meter.pools_owned(2);
    meter.pools_unowned(1);
    meter.demand(&"stay".into(), 5_000, 800);
    meter.expected_waits(&"stay".into(), duration, 2 * duration);
    meter.slow_workers(&"stay".into(), 2);
    meter.held_jobs(&"stay".into(), 1);
    meter.unplaceable_steps(&"stay".into(), 6);
    meter.poll_fenced(&"stay".into());
    meter.tombstones(&"stay".into(), 5);
    meter.cancel_answered("unknown");
    meter.cancelled_submission_refused();
    meter.connections_open(4);
    meter.connections_held(131_072, 1_048_576);
    meter.connections_closed("memory", 3);
    meter.runs_moved(&"stay".into(), 3);
    meter.jobs_queued(&queue, 7);
    meter.commit_finished(duration);
    meter.jobs_feed_age(&"stay".into(), duration);
    meter.round_finished(&"stay".into(), duration);
    meter.order_waited("start", duration);
    meter
}

#[test]
fn instruments_render_with_their_labels() {
    let text = recorded_meter()
        .render()
        .expect("the metrics can be rendered");
    for line in [
        "primroseroute_answers_total{queue=\"holds\",status=\"200\"} 1",
        "primroseroute_answers_total{queue=\"-\",status=\"404\"} 1",
        "primroseroute_admission_decisions_total{outcome=\"rejected_beyond\",pool=\"stay\"} 1",
        "primroseroute_calls_total{call=\"commit\",end=\"throttled\"} 1",
        "primroseroute_starts_total{outcome=\"started\"} 1",
        "primroseroute_ends_total{how=\"lapsed\"} 1",
        "primroseroute_runs_lost_total{cause=\"crash\"} 3",
        "primroseroute_takeovers_total{pool=\"stay\"} 1",
        "primroseroute_pools_owned 2",
        "primroseroute_pools_unowned 1",
        "primroseroute_running_millicores{pool=\"stay\"} 5000",
        "primroseroute_waiting_millicores{pool=\"stay\"} 800",
        "primroseroute_expected_wait_milliseconds{entitlement=\"within\",pool=\"stay\"} 3",
        "primroseroute_slow_workers{pool=\"stay\"} 2",
        "primroseroute_held_jobs{pool=\"stay\"} 1",
        "primroseroute_unplaceable_steps{pool=\"stay\"} 6",
        "primroseroute_polls_fenced_total{pool=\"stay\"} 1",
        "primroseroute_tombstones{pool=\"stay\"} 5",
        "primroseroute_cancels_total{outcome=\"unknown\"} 1",
        "primroseroute_cancelled_submissions_total 1",
        "primroseroute_connections 4",
        "primroseroute_connection_bytes 131072",
        "primroseroute_connection_bytes_limit 1048576",
        "primroseroute_connections_closed_total{reason=\"memory\"} 3",
        "primroseroute_runs_moved_total{pool=\"stay\"} 3",
        "primroseroute_expected_wait_milliseconds{entitlement=\"beyond\",pool=\"stay\"} 6",
        "primroseroute_queued_jobs{queue=\"holds\"} 7",
        "primroseroute_commit_duration_seconds_count 1",
        "primroseroute_jobs_read_age_seconds_count{pool=\"stay\"} 1",
        "primroseroute_round_duration_seconds_count{pool=\"stay\"} 1",
        "primroseroute_order_wait_seconds_count{order=\"start\"} 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

// A collector that keeps the beginning of the text has all gauges and counters.
#[test]
fn histograms_come_last() {
    let text = recorded_meter()
        .render()
        .expect("the metrics can be rendered");
    let types = text.lines().filter(|line| line.starts_with("# TYPE "));
    let is_histogram: Vec<bool> = types.map(|line| line.ends_with(" histogram")).collect();
    assert!(is_histogram.contains(&false) && is_histogram.contains(&true));
    assert!(is_histogram.is_sorted(), "{text}");
}

// The operators' page lists exactly the exported metrics.
#[test]
fn page_lists_every_metric_and_no_other() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page is readable");
    let text = recorded_meter()
        .render()
        .expect("the metrics can be rendered");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: std::collections::BTreeSet<&str> =
        types.filter_map(|line| line.split(' ').next()).collect();
    let listed = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `primroseroute_"));
    let listed = listed.filter_map(|line| line.split(['`', '{']).next());
    let listed: std::collections::BTreeSet<String> =
        listed.map(|name| format!("primroseroute_{name}")).collect();
    let exported: std::collections::BTreeSet<String> =
        exported.into_iter().map(str::to_owned).collect();
    assert_eq!(listed, exported);
}
