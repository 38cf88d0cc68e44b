//! Time until a change takes effect: a drain at its worker, a configuration at seven entries.

use crate::{
    fixture::{Fixture, Size, apply, order, owner_template, run_plan},
    results::{Goal, Measurement},
};
use eyre::{Result, eyre};
use primroseroute_load::{Loop, Plan};
use primroseroute_testbed::{backend::Backend, platform::fault::Outage};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

const SIZE: Size = Size {
    entries: 7,
    workers: 14,
    delay: Duration::from_millis(10),
};

/// Requests per second during the drains, a seventh of the pool's capacity: each worker gets one every
/// 10 ms, which is the resolution of the time of its last request.
const RATE: f64 = 1400.0;

/// Time for which the worker is observed after the drain is accepted.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// [`OBSERVATION_TIME`] while the store is unavailable, for which the goal is less strict.
const OUTAGE_OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Number of configuration changes.
const CHANGES: u32 = 100;

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Measures drains with the store available and unavailable, then configuration changes.
pub async fn measure(seed: u64) -> Result<Vec<Measurement>> {
    let fixture = Fixture::start(SIZE, seed).await?;
    let up = drain(&fixture, "stay-1", OBSERVATION_TIME, || {}).await?;
    let names: Vec<_> = fixture.site.entries.keys().cloned().collect();
    let network = &fixture.site.network;
    network.partition_groups(&names[..1], &names[1..]);
    let partitioned = drain(&fixture, "stay-2", OBSERVATION_TIME, || {}).await?;
    network.heal_all();
    let faults = fixture.site.platform.faults();
    let outage = || faults.set_outage(Some(Outage::Refuse));
    let down = drain(&fixture, "stay-3", OUTAGE_OBSERVATION_TIME, outage).await?;
    faults.set_outage(None);
    let mut times = changes(&fixture).await?;
    times.sort_by(f64::total_cmp);
    // With 100 changes the percentile equals the rank.
    let percentile = |rank: usize| times[rank - 1] * 1e3;
    Ok(vec![
        Measurement::new("drain accepted to last new request", "s", up)
            .with_goal(Goal::AtMost(2.0)),
        Measurement::new("the same, no peer hears of it", "s", partitioned)
            .with_goal(Goal::AtMost(2.0)),
        Measurement::new("the same, store down from then on", "s", down)
            .with_goal(Goal::AtMost(5.0)),
        Measurement::new(
            "configuration in force on 7 entries, p50",
            "ms",
            percentile(50),
        ),
        Measurement::new(
            "configuration in force on 7 entries, p99",
            "ms",
            percentile(99),
        )
        .with_goal(Goal::AtMost(1000.0)),
    ])
}

/// Seconds from the acceptance of a drain at the first entry to the worker's last new request;
/// `on_accepted` is called upon the acceptance.
async fn drain(
    fixture: &Fixture,
    name: &str,
    observation_time: Duration,
    on_accepted: impl Fn(),
) -> Result<f64> {
    let plan = Plan {
        measured: observation_time,
        ..fixture.through_entries(Loop::Open { rate: RATE })
    };
    let load = tokio::spawn(async move { run_plan(&plan).await });
    sleep(Duration::from_secs(1)).await;
    let worker = Arc::clone(fixture.site.worker(name));
    let before = worker.count().executions;
    if before == 0 {
        return Err(eyre!("{name} got no request before its drain"));
    }
    let admin = &fixture.site.any_entry().admin;
    admin.drain(&name.parse()?, &order()).await?;
    let accepted = Instant::now();
    on_accepted();
    let last = last_request(&worker, accepted, observation_time).await;
    load.await??;
    Ok(last.as_secs_f64())
}

async fn last_request(worker: &Backend, accepted: Instant, observation_time: Duration) -> Duration {
    let mut seen = worker.count().executions;
    let mut last = Duration::ZERO;
    while accepted.elapsed() < observation_time {
        sleep(POLL_INTERVAL).await;
        let now = worker.count().executions;
        if now > seen {
            seen = now;
            last = accepted.elapsed();
        }
    }
    last
}

/// Seconds from the sending of each change, to one entry after another, until it is in effect at all
/// entries.
async fn changes(fixture: &Fixture) -> Result<Vec<f64>> {
    let admins: Vec<_> = fixture
        .site
        .entries
        .values()
        .map(|r| r.admin.clone())
        .collect();
    let mut times = Vec::new();
    for (number, admin) in (0..CHANGES).zip(admins.iter().cycle()) {
        let sent = Instant::now();
        let template = owner_template(2 + number, SIZE.workers);
        let seq = admin.apply(&apply(template)).await?.version;
        while !fixture
            .site
            .entries
            .values()
            .all(|running| running.entry.applied_seq() >= seq)
        {
            sleep(POLL_INTERVAL).await;
        }
        times.push(sent.elapsed().as_secs_f64());
    }
    Ok(times)
}
