//! Seven entries at and over capacity, with callers spread evenly and with most at one entry, and
//! with a worker that fails everything.

use crate::{
    bed::{ACCOUNTS, Bed, Size, measured},
    figure::{Figure, Goal},
};
use eyre::Result;
use primroseroute_domain::id;
use primroseroute_load::{
    Loop, Outcome, Plan,
    share::{AccountDemand, allocate},
};
use primroseroute_testbed::backend::Mode;
use std::{collections::BTreeMap, time::Duration};

/// The brief's number of entries of the smaller deployment, before a pool that divides evenly.
const SIZE: Size = Size {
    entries: 7,
    workers: 14,
    delay: Duration::from_millis(40),
};

/// Offered load as a part of what the pool can do.
const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];

/// Part of the callers at one entry in the uneven case.
const HOT: f64 = 0.7;

/// From the start of the failure until its part of the requests is counted.
const SETTLED: Duration = Duration::from_secs(5);

/// Goodput and fairness at each load, and the pull of a failing worker.
pub async fn measure(seed: u64) -> Result<Vec<Figure>> {
    let bed = Bed::open(SIZE, seed).await?;
    let capacity = bed.capacity().await?;
    let mut figures = vec![Figure::new("capacity of the pool", "requests/s", capacity)];
    for hot in [None, Some(HOT)] {
        for load in LOADS {
            figures.extend(at_load(&bed, capacity, load, hot).await?);
        }
    }
    figures.push(failing(&bed, capacity).await?);
    Ok(figures)
}

fn plan(bed: &Bed, rate: f64, hot: Option<f64>) -> Plan {
    let mut plan = bed.through(Loop::Open { rate });
    if let Some(hot) = hot {
        let others = (1.0 - hot) / (SIZE.entries - 1) as f64;
        for (index, target) in plan.targets.iter_mut().enumerate() {
            target.weight = if index == 0 { hot } else { others };
        }
    }
    plan
}

async fn at_load(bed: &Bed, capacity: f64, load: f64, hot: Option<f64>) -> Result<Vec<Figure>> {
    let before = bed.count();
    let outcome = measured(&plan(bed, capacity * load, hot)).await?;
    let after = bed.count();
    let overruns = (after.overruns - before.overruns) as f64;
    let executions = (after.executions - before.executions) as f64;
    let spread = hot.map_or("", |_| ", 70% at one entry");
    let name = |what: &str| format!("{what} at {load}{spread}");
    let total = outcome.total();
    let goodput = outcome.goodput() / capacity;
    let goodput = Figure::new(name("goodput"), "of capacity", goodput);
    let fair = Figure::new(
        name("least part of what is due"),
        "ratio",
        fairness(&outcome, capacity),
    );
    let is_over = load > 1.0;
    let p99 = total.latency(0.99).as_secs_f64() * 1e3;
    Ok(vec![
        if is_over {
            goodput.with(Goal::AtLeast(0.95))
        } else {
            goodput
        },
        if is_over {
            fair.with(Goal::AtLeast(0.9))
        } else {
            fair
        },
        Figure::new(name("slot overruns"), "of requests", overruns / executions)
            .with(Goal::AtMost(0.01)),
        Figure::new(name("unknown"), "requests", total.unknown as f64).with(Goal::AtMost(0.0)),
        Figure::new(name("answer p99"), "ms", p99),
    ])
}

/// The least part that an account got of what it was due.
fn fairness(outcome: &Outcome, capacity: f64) -> f64 {
    let demands: BTreeMap<id::Account, AccountDemand> = ACCOUNTS
        .iter()
        .map(|(name, share, _)| {
            let account: id::Account = name.parse().expect("an account's name");
            let offered = outcome.accounts[&account].offered;
            let account_demand = AccountDemand {
                share: f64::from(*share),
                demand: outcome.per_second(offered),
            };
            (account, account_demand)
        })
        .collect();
    let parts = allocate(capacity, &demands).into_iter();
    parts
        .map(|(account, due)| outcome.per_second(outcome.accounts[&account].finished) / due)
        .fold(f64::INFINITY, f64::min)
}

/// The part of requests that a worker draws which fails everything, from 5 s after its start.
async fn failing(bed: &Bed, capacity: f64) -> Result<Figure> {
    let worker = bed.site.worker("stay-0");
    let half = Plan {
        warm_up: SETTLED,
        ..plan(bed, capacity / 2.0, None)
    };
    worker.set_mode(Mode::FailAll);
    let running = tokio::spawn(async move { measured(&half).await });
    tokio::time::sleep(SETTLED).await;
    // Health checks count too: the stand-in refuses them in this mode.
    let before = worker.count().refused;
    let outcome = running.await??;
    let drawn = (worker.count().refused - before) as f64;
    worker.set_mode(Mode::Ok);
    let part = drawn / outcome.total().offered as f64;
    let name = "drawn by a worker that fails everything, after 5 s";
    Ok(Figure::new(name, "of requests", part).with(Goal::AtMost(0.02)))
}
