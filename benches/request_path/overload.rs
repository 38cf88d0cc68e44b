//! Seven entries below and above capacity, with callers spread evenly and with most of them at one entry,
//! and with a worker that fails every request.

use crate::{
    fixture::{ACCOUNTS, Fixture, Size, run_plan},
    results::{Goal, Measurement},
};
use eyre::Result;
use primroseroute_domain::id;
use primroseroute_load::{
    Loop, Outcome, Plan,
    share::{AccountDemand, allocate},
};
use primroseroute_testbed::backend::Mode;
use std::{collections::BTreeMap, time::Duration};

/// The number of entries of the smaller reference deployment, with a pool of a multiple of it.
const SIZE: Size = Size {
    entries: 7,
    workers: 14,
    delay: Duration::from_millis(40),
};

/// Offered load as a fraction of the pool's capacity.
const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];

/// Fraction of the callers at one entry in the uneven case.
const HOT_FRACTION: f64 = 0.7;

/// Time from the start of the failure until the worker's requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Measures goodput and fairness at each load, and the fraction of requests that a failing worker attracts.
pub async fn measure(seed: u64) -> Result<Vec<Measurement>> {
    let fixture = Fixture::start(SIZE, seed).await?;
    let capacity = fixture.capacity().await?;
    let mut measurements = vec![Measurement::new(
        "capacity of the pool",
        "requests/s",
        capacity,
    )];
    for hot in [None, Some(HOT_FRACTION)] {
        for load in LOADS {
            measurements.extend(at_load(&fixture, capacity, load, hot).await?);
        }
    }
    measurements.push(failing_worker(&fixture, capacity).await?);
    Ok(measurements)
}

fn plan(fixture: &Fixture, rate: f64, hot: Option<f64>) -> Plan {
    let mut plan = fixture.through_entries(Loop::Open { rate });
    if let Some(hot) = hot {
        let others = (1.0 - hot) / (SIZE.entries - 1) as f64;
        for (index, target) in plan.targets.iter_mut().enumerate() {
            target.weight = if index == 0 { hot } else { others };
        }
    }
    plan
}

async fn at_load(
    fixture: &Fixture,
    capacity: f64,
    load: f64,
    hot: Option<f64>,
) -> Result<Vec<Measurement>> {
    let before = fixture.count();
    let outcome = run_plan(&plan(fixture, capacity * load, hot)).await?;
    let after = fixture.count();
    let overruns = (after.overruns - before.overruns) as f64;
    let executions = (after.executions - before.executions) as f64;
    let suffix = hot.map_or("", |_| ", 70% at one entry");
    let name = |what: &str| format!("{what} at {load}{suffix}");
    let total = outcome.total();
    let goodput = outcome.goodput() / capacity;
    let goodput = Measurement::new(name("goodput"), "of capacity", goodput);
    let fairness = Measurement::new(
        name("least part of what is due"),
        "ratio",
        min_fulfilment(&outcome, capacity),
    );
    let is_over = load > 1.0;
    let p99 = total.latency(0.99).as_secs_f64() * 1e3;
    Ok(vec![
        if is_over {
            goodput.with_goal(Goal::AtLeast(0.95))
        } else {
            goodput
        },
        if is_over {
            fairness.with_goal(Goal::AtLeast(0.9))
        } else {
            fairness
        },
        Measurement::new(name("slot overruns"), "of requests", overruns / executions)
            .with_goal(Goal::AtMost(0.01)),
        Measurement::new(name("unknown"), "requests", total.unknown as f64)
            .with_goal(Goal::AtMost(0.0)),
        Measurement::new(name("answer p99"), "ms", p99),
    ])
}

/// The smallest ratio of an account's completed requests to its fair allocation.
fn min_fulfilment(outcome: &Outcome, capacity: f64) -> f64 {
    let demands: BTreeMap<id::Account, AccountDemand> = ACCOUNTS
        .iter()
        .map(|(name, share, _)| {
            let account: id::Account = name.parse().expect("valid account name");
            let offered = outcome.accounts[&account].offered;
            let account_demand = AccountDemand {
                share: f64::from(*share),
                demand: outcome.per_second(offered),
            };
            (account, account_demand)
        })
        .collect();
    let allocations = allocate(capacity, &demands).into_iter();
    allocations
        .map(|(account, due)| outcome.per_second(outcome.accounts[&account].finished) / due)
        .fold(f64::INFINITY, f64::min)
}

/// The fraction of requests that reach a worker that fails every request, from 5 s after the failure starts.
async fn failing_worker(fixture: &Fixture, capacity: f64) -> Result<Measurement> {
    let worker = fixture.site.worker("stay-0");
    let half_load = Plan {
        warm_up: SETTLE_TIME,
        ..plan(fixture, capacity / 2.0, None)
    };
    worker.set_mode(Mode::FailAll);
    let running = tokio::spawn(async move { run_plan(&half_load).await });
    tokio::time::sleep(SETTLE_TIME).await;
    // Health checks are counted too: the simulated worker refuses them in this mode.
    let before = worker.count().refused;
    let outcome = running.await??;
    let received = (worker.count().refused - before) as f64;
    worker.set_mode(Mode::Ok);
    let fraction = received / outcome.total().offered as f64;
    let name = "drawn by a worker that fails everything, after 5 s";
    Ok(Measurement::new(name, "of requests", fraction).with_goal(Goal::AtMost(0.02)))
}
