//! Names, labels and values of the metrics.

use expect_test::expect;
use primroseroute_domain::{
    change::Seq,
    outcome::{Code, Verdict},
};
use primroseroute_platform::error::Error;
use primroseroute_telemetry::{
    Meter,
    meter::{Request, StoreCall},
};
use std::{str::FromStr, time::Duration};

fn name<N: FromStr<Err: std::fmt::Debug>>(text: &str) -> N {
    text.parse().expect("the name is valid")
}

fn new_meter() -> Meter {
    Meter::open().expect("the registry is new")
}

/// The rendered metrics, with only two of the buckets of each histogram.
fn rendered(meter: &Meter) -> String {
    let text = meter.render().expect("the metrics can be rendered");
    let is_kept = |line: &&str| {
        !line.contains("_bucket")
            || ["le=\"0.002\"", "le=\"0.005\""]
                .iter()
                .any(|le| line.contains(le))
    };
    text.split_inclusive('\n').filter(is_kept).collect()
}

#[test]
fn every_instrument_renders() {
    let meter = new_meter();
    let (account, service) = (name("acme"), name("book"));
    let request = Request {
        account: Some(&account),
        service: Some(&service),
        code: None,
        verdict: Verdict::Completed,
        duration: Duration::from_millis(3),
    };
    meter.request(request);
    meter.request(request);
    meter.request(Request {
        account: None,
        service: None,
        code: Some(Code::UnknownToken),
        verdict: Verdict::NotRun,
        ..request
    });
    meter.queue_depth(&account, &service, 7);
    meter.queue_depth(&account, &service, 4);
    meter.retry(&service, Code::ConnectFailed);
    meter.ejected(&name("pool-a"), 2);
    meter.ejected(&name("pool-a"), 1);
    let duration = Duration::from_millis(4);
    meter.store_call(StoreCall::Commit, None, duration);
    meter.store_call(
        StoreCall::Commit,
        Some(&Error::Unknown("lost".into())),
        duration,
    );
    meter.store_call(StoreCall::Read, Some(&Error::Throttled), duration);
    meter.view(Seq(41));
    meter.view(Seq(42));
    expect![[r#"
        # HELP primroseroute_ejected Workers that are out of the choice
        # TYPE primroseroute_ejected gauge
        primroseroute_ejected{pool="pool-a"} 1
        # HELP primroseroute_queue_depth Requests that wait for a slot
        # TYPE primroseroute_queue_depth gauge
        primroseroute_queue_depth{account="acme",service="book"} 4
        # HELP primroseroute_request_duration_seconds Time from a request's head to its end
        # TYPE primroseroute_request_duration_seconds histogram
        primroseroute_request_duration_seconds_bucket{service="-",le="0.002"} 0
        primroseroute_request_duration_seconds_bucket{service="-",le="0.005"} 1
        primroseroute_request_duration_seconds_sum{service="-"} 0.003
        primroseroute_request_duration_seconds_count{service="-"} 1
        primroseroute_request_duration_seconds_bucket{service="book",le="0.002"} 0
        primroseroute_request_duration_seconds_bucket{service="book",le="0.005"} 2
        primroseroute_request_duration_seconds_sum{service="book"} 0.006
        primroseroute_request_duration_seconds_count{service="book"} 2
        # HELP primroseroute_requests_total Finished requests
        # TYPE primroseroute_requests_total counter
        primroseroute_requests_total{account="-",code="102",service="-",verdict="not-run"} 1
        primroseroute_requests_total{account="acme",code="0",service="book",verdict="completed"} 2
        # HELP primroseroute_retries_total Further attempts, by the code of the failed one
        # TYPE primroseroute_retries_total counter
        primroseroute_retries_total{code="301",service="book"} 1
        # HELP primroseroute_store_call_duration_seconds Time of calls to the platform
        # TYPE primroseroute_store_call_duration_seconds histogram
        primroseroute_store_call_duration_seconds_bucket{call="commit",le="0.002"} 0
        primroseroute_store_call_duration_seconds_bucket{call="commit",le="0.005"} 2
        primroseroute_store_call_duration_seconds_sum{call="commit"} 0.008
        primroseroute_store_call_duration_seconds_count{call="commit"} 2
        primroseroute_store_call_duration_seconds_bucket{call="read",le="0.002"} 0
        primroseroute_store_call_duration_seconds_bucket{call="read",le="0.005"} 1
        primroseroute_store_call_duration_seconds_sum{call="read"} 0.004
        primroseroute_store_call_duration_seconds_count{call="read"} 1
        # HELP primroseroute_store_calls_total Calls to the platform, by how they ended
        # TYPE primroseroute_store_calls_total counter
        primroseroute_store_calls_total{call="commit",end="ok"} 1
        primroseroute_store_calls_total{call="commit",end="unknown"} 1
        primroseroute_store_calls_total{call="read",end="throttled"} 1
        # HELP primroseroute_view_seq Newest change in force on this entry
        # TYPE primroseroute_view_seq gauge
        primroseroute_view_seq 42
    "#]]
    .assert_eq(&rendered(&meter));
}

#[test]
fn meters_of_two_entries_are_separate() {
    let (one, two) = (new_meter(), new_meter());
    one.view(Seq(1));
    two.view(Seq(2));
    assert!(
        one.render()
            .expect("the metrics can be rendered")
            .contains("primroseroute_view_seq 1\n")
    );
    assert!(
        two.clone()
            .render()
            .expect("the metrics can be rendered")
            .contains("primroseroute_view_seq 2\n")
    );
}

#[test]
fn thousands_of_series_are_not_merged() {
    // More services than the library's default series limit; each must keep its own count.
    let meter = new_meter();
    for index in 0..3000 {
        meter.retry(&name(&format!("s-{index}")), Code::ConnectFailed);
    }
    let text = meter.render().expect("the metrics can be rendered");
    assert_eq!(text.matches("primroseroute_retries_total{").count(), 3000);
    assert!(!text.contains("overflow"));
}
