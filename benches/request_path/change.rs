//! How soon a change is in force: a drain at its worker, a configuration at seven entries.

use crate::{
    bed::{Bed, Size, apply, measured, order, owner},
    figure::{Figure, Goal},
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

/// Requests a second during the drains, a seventh of what the pool can do: each worker gets one
/// every 10 ms, which is how exact its last one is.
const RATE: f64 = 1400.0;

/// How long the worker is watched after the drain was accepted.
const WATCH: Duration = Duration::from_secs(3);

/// The same where the store is down, for which the goal is wider.
const LONG_WATCH: Duration = Duration::from_secs(6);

/// Changes of the configuration.
const CHANGES: u32 = 100;

/// How often it is looked whether something has happened.
const LOOK: Duration = Duration::from_millis(1);

/// Drains with the store up and down, then changes of the configuration.
pub async fn measure(seed: u64) -> Result<Vec<Figure>> {
    let bed = Bed::open(SIZE, seed).await?;
    let up = drain(&bed, "stay-1", WATCH, || {}).await?;
    let names: Vec<_> = bed.site.entries.keys().cloned().collect();
    let network = &bed.site.network;
    network.partition_groups(&names[..1], &names[1..]);
    let cut = drain(&bed, "stay-2", WATCH, || {}).await?;
    network.heal_all();
    let faults = bed.site.platform.faults();
    let outage = || faults.set_outage(Some(Outage::Refuse));
    let down = drain(&bed, "stay-3", LONG_WATCH, outage).await?;
    faults.set_outage(None);
    let mut times = changes(&bed).await?;
    times.sort_by(f64::total_cmp);
    // With a hundred changes, the percentile is the rank.
    let at = |percentile: usize| times[percentile - 1] * 1e3;
    Ok(vec![
        Figure::new("drain accepted to last new request", "s", up).with(Goal::AtMost(2.0)),
        Figure::new("the same, no peer hears of it", "s", cut).with(Goal::AtMost(2.0)),
        Figure::new("the same, store down from then on", "s", down).with(Goal::AtMost(5.0)),
        Figure::new("configuration in force on 7 entries, p50", "ms", at(50)),
        Figure::new("configuration in force on 7 entries, p99", "ms", at(99))
            .with(Goal::AtMost(1000.0)),
    ])
}

/// Seconds from the acceptance of a drain at the first entry to the worker's last new request;
/// `then` happens with the acceptance.
async fn drain(bed: &Bed, name: &str, watch: Duration, then: impl Fn()) -> Result<f64> {
    let plan = Plan {
        measured: watch,
        ..bed.through(Loop::Open { rate: RATE })
    };
    let load = tokio::spawn(async move { measured(&plan).await });
    sleep(Duration::from_secs(1)).await;
    let worker = Arc::clone(bed.site.worker(name));
    let before = worker.count().executions;
    if before == 0 {
        return Err(eyre!("{name} got no request before its drain"));
    }
    let admin = &bed.site.any_entry().admin;
    admin.drain(&name.parse()?, &order()).await?;
    let accepted = Instant::now();
    then();
    let last = last_request(&worker, accepted, watch).await;
    load.await??;
    Ok(last.as_secs_f64())
}

async fn last_request(worker: &Backend, accepted: Instant, watch: Duration) -> Duration {
    let mut seen = worker.count().executions;
    let mut last = Duration::ZERO;
    while accepted.elapsed() < watch {
        sleep(LOOK).await;
        let now = worker.count().executions;
        if now > seen {
            seen = now;
            last = accepted.elapsed();
        }
    }
    last
}

/// Seconds from the sending of each change, by an operator at each entry in turn, until all
/// entries have it in force.
async fn changes(bed: &Bed) -> Result<Vec<f64>> {
    let admins: Vec<_> = bed.site.entries.values().map(|r| r.admin.clone()).collect();
    let mut times = Vec::new();
    for (number, admin) in (0..CHANGES).zip(admins.iter().cycle()) {
        let sent = Instant::now();
        let template = owner(2 + number, SIZE.workers);
        let seq = admin.apply(&apply(template)).await?.version;
        while !bed
            .site
            .entries
            .values()
            .all(|running| running.entry.applied_seq() >= seq)
        {
            sleep(LOOK).await;
        }
        times.push(sent.elapsed().as_secs_f64());
    }
    Ok(times)
}
