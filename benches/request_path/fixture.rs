//! The measured site: entries with the default timers, in front of one pool.

use bytes::Bytes;
use eyre::Result;
use http::Method;
use primroseroute_api::{Apply, Order};
use primroseroute_controller::Timers as ControllerTimers;
use primroseroute_domain::account::Template;
use primroseroute_entry::{Components, Timers};
use primroseroute_load::{Loop, Outcome, Plan, Profile, Target, run};
use primroseroute_testbed::{
    Layout, Site,
    backend::{Count, Options as WorkerOptions},
    caller_token,
    platform::Options as PlatformOptions,
    template,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Name of the pool, its service, and the account that owns them.
pub const OWNER: &str = "stay";

/// Accounts with their fair shares and their fractions of the callers' requests. `back` requests far more
/// than its share, so that the fair allocation takes effect.
pub const ACCOUNTS: [(&str, u32, f64); 3] = [(OWNER, 1, 0.2), ("back", 1, 0.5), ("tour", 2, 0.3)];

/// The callers' request timeout.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// One-way latency between two entries; the testbed's network has none by default.
const PEER_LATENCY: Duration = Duration::from_millis(1);

/// Platform calls with about the latency within a region: 1 ms each way plus jitter.
fn platform_options() -> PlatformOptions {
    PlatformOptions {
        latency: Duration::from_millis(2),
        jitter: Duration::from_millis(1),
        ..PlatformOptions::default()
    }
}

/// Size of the site and execution time of its workers.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub workers: usize,
    /// Execution time of a request on a worker.
    pub delay: Duration,
}

/// A running site and the seed of its callers.
#[derive(Debug)]
pub struct Fixture {
    pub site: Site,
    dimensions: Size,
    seed: u64,
}

pub fn order() -> Order {
    Order {
        if_version: None,
        reason: "benchmark".into(),
        // The availability budget would reject the second drain.
        force: true,
    }
}

pub fn apply(template: Template) -> Apply {
    Apply {
        template,
        if_version: None,
        reason: "benchmark".into(),
    }
}

/// The owner's template, which allows the other accounts to call its service.
pub fn owner_template(share: u32, workers: usize) -> Template {
    let promised = u32::try_from(workers - 1).expect("number of workers fits into u32");
    let mut template = template(OWNER, share, promised.max(1));
    let others = ACCOUNTS.iter().filter(|(name, ..)| *name != OWNER);
    template.pools[0].services[0].callers = others
        .map(|(name, ..)| name.parse().expect("valid account name"))
        .collect();
    template
}

fn with_default_timers(parts: Components) -> Components {
    Components {
        timers: Timers::default(),
        controller: ControllerTimers::default(),
        ..parts
    }
}

impl Fixture {
    /// Starts the site and waits until every entry has heard from every other one.
    pub async fn start(dimensions: Size, seed: u64) -> Result<Self> {
        let layout = Layout {
            entries: dimensions.entries,
            pools: vec![(OWNER.to_owned(), dimensions.workers)],
            zones: 3,
            rack: 4,
        };
        let worker = WorkerOptions {
            delay: dimensions.delay,
            ..WorkerOptions::default()
        };
        let mut site = Site::open_with(layout, platform_options(), worker).await?;
        site.network.set_latency(PEER_LATENCY);
        for index in 0..dimensions.entries {
            site.start_with(&format!("entry-{index}"), with_default_timers)
                .await?;
        }
        let admin = site.any_entry().admin.clone();
        for (name, share, _) in ACCOUNTS.iter().filter(|(name, ..)| *name != OWNER) {
            let guest = Template {
                pools: Vec::new(),
                ..template(name, *share, 1)
            };
            admin.apply(&apply(guest)).await?;
        }
        admin
            .apply(&apply(owner_template(1, dimensions.workers)))
            .await?;
        let seq = site.place_workers().await?;
        site.wait_until_applied(seq).await?;
        let fixture = Self {
            site,
            dimensions,
            seed,
        };
        fixture.wait_for_peers().await?;
        Ok(fixture)
    }

    async fn wait_for_peers(&self) -> Result<()> {
        for running in self.site.entries.values() {
            while running
                .admin
                .status()
                .await?
                .entries
                .iter()
                .filter(|e| e.heard.is_some())
                .count()
                < self.dimensions.entries
            {
                sleep(Duration::from_millis(50)).await;
            }
        }
        // The dispatchers learn of it with the next read of the roster.
        sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    /// A load plan of reads sent directly to the workers.
    pub fn direct(&self, pace: Loop) -> Plan {
        self.plan(
            pace,
            self.site.workers.values().map(|worker| worker.address()),
        )
    }

    /// A load plan of reads sent through the entries.
    pub fn through_entries(&self, pace: Loop) -> Plan {
        self.plan(
            pace,
            self.site.entries.values().map(|running| running.callers),
        )
    }

    fn plan(&self, pace: Loop, to: impl Iterator<Item = SocketAddr>) -> Plan {
        let target = |address| Target {
            address,
            weight: 1.0,
        };
        Plan {
            pace,
            warm_up: Duration::from_secs(1),
            measured: Duration::from_secs(3),
            requests: 1_000_000,
            in_flight: 3000,
            targets: to.map(target).collect(),
            mix: ACCOUNTS.iter().map(profile).collect(),
            timeout: TIMEOUT,
            seed: self.seed,
        }
    }

    /// Measures the pool's throughput in requests per second with all slots busy.
    pub async fn capacity(&self) -> Result<f64> {
        let callers = self.dimensions.workers * 8;
        // Eight callers per worker: randomly drawn targets would leave slots idle.
        let mut plans = tokio::task::JoinSet::new();
        for worker in self.site.workers.values() {
            let mut plan = self.direct(Loop::Closed {
                callers: callers / self.dimensions.workers,
            });
            plan.targets = vec![Target {
                address: worker.address(),
                weight: 1.0,
            }];
            plans.spawn(async move { run(&plan).await.map(|outcome| outcome.goodput()) });
        }
        let mut sum = 0.0;
        while let Some(goodput) = plans.join_next().await {
            sum += goodput??;
        }
        Ok(sum)
    }

    /// Sum of the counts of all workers.
    pub fn count(&self) -> Count {
        let counts = self.site.workers.values().map(|worker| worker.count());
        counts.fold(Count::default(), |sum, count| Count {
            executions: sum.executions + count.executions,
            overruns: sum.overruns + count.overruns,
            refused: sum.refused + count.refused,
            ..sum
        })
    }
}

fn profile((account, _, weight): &(&str, u32, f64)) -> Profile {
    Profile {
        account: account.parse().expect("valid account name"),
        token: caller_token(account).into(),
        method: Method::GET,
        path: format!("/{OWNER}/beds").into(),
        body: Bytes::new(),
        keyed: false,
        weight: *weight,
    }
}

/// Runs `plan`.
pub async fn run_plan(plan: &Plan) -> Result<Outcome> {
    Ok(run(plan).await?)
}
