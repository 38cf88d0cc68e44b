//! Complete runs against the simulated backend server.

use crate::plan::{plan, profile};
use eyre::Result;
use primroseroute_load::{Loop, Plan, run};
use primroseroute_standin::backend::{Backend, Mode, Options};
use std::{net::SocketAddr, time::Duration};

async fn backend(options: Options) -> Result<Backend> {
    Ok(Backend::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options).await?)
}

fn against(backend: &Backend) -> Plan {
    plan(&backend.address().to_string())
}

#[tokio::test]
async fn closed_loop_sends_as_many_as_planned_by_weight() -> Result<()> {
    let backend = backend(Options::default()).await?;
    let plan = Plan {
        mix: vec![profile("stay", 3.0), profile("tour", 1.0)],
        ..against(&backend)
    };
    let outcome = run(&plan).await?;
    assert_eq!(outcome.total().offered, 200);
    assert_eq!(outcome.total().completed, 200);
    assert_eq!(backend.count().executions, 200);
    assert!(
        backend.count().max_running <= 4,
        "each of four callers has one request in flight"
    );
    let stay = outcome.accounts[&"stay".parse()?].completed;
    assert!(
        (120..=180).contains(&stay),
        "{stay} of 200 requests for a weight of three quarters"
    );
    Ok(())
}

#[tokio::test]
async fn keys_are_never_used_twice() -> Result<()> {
    let backend = backend(Options::default()).await?;
    let mut plan = against(&backend);
    plan.mix[0].keyed = true;
    run(&plan).await?;
    assert_eq!(backend.count().executions, 200);
    assert_eq!(backend.count().doubled, 0);
    Ok(())
}

#[tokio::test]
async fn failures_are_not_counted_as_completed() -> Result<()> {
    let backend = backend(Options::default()).await?;
    backend.set_mode(Mode::FailAll);
    let total = run(&against(&backend)).await?.total();
    assert_eq!(
        (total.completed, total.finished, total.unknown),
        (0, 0, 200)
    );
    assert_eq!(total.codes.get(&0), Some(&200));
    Ok(())
}

/// The server processes one request at a time in 20 ms, and 50 are scheduled within about 5 ms. A
/// load generator that measured latency from the actual send would report 20 ms for each, while
/// callers would have waited up to a second, and half of them more than 400 ms.
#[tokio::test]
async fn waiting_for_a_free_connection_counts_as_latency() -> Result<()> {
    let options = Options {
        delay: Duration::from_millis(20),
        ..Options::default()
    };
    let backend = backend(options).await?;
    let plan = Plan {
        pace: Loop::Open { rate: 10_000.0 },
        requests: 50,
        in_flight: 1,
        ..against(&backend)
    };
    let total = run(&plan).await?.total();
    assert_eq!(total.completed, 50);
    assert_eq!(backend.count().max_running, 1);
    assert!(
        total.latency(0.5) >= Duration::from_millis(400),
        "{:?}",
        total.latency(0.5)
    );
    Ok(())
}

#[tokio::test]
async fn plan_out_of_bounds_sends_nothing() -> Result<()> {
    let backend = backend(Options::default()).await?;
    let mut plan = against(&backend);
    plan.requests = 0;
    assert!(run(&plan).await.is_err());
    assert_eq!(backend.count().executions, 0);
    Ok(())
}
