//! The site that is measured: entries with the timers of a deployment before one pool.

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

/// The pool, its service, and the account that owns them.
pub const OWNER: &str = "stay";

/// Accounts with their fair shares and their parts of the callers' requests. `back` asks for far
/// more than its share, so that fairness has work to do.
pub const ACCOUNTS: [(&str, u32, f64); 3] = [(OWNER, 1, 0.2), ("back", 1, 0.5), ("tour", 2, 0.3)];

/// How long a caller waits.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// One way between two entries; the network of the testbed has none of its own.
const HOP: Duration = Duration::from_millis(1);

/// The platform's calls take about what they do within a region: 1 ms each way, and some jitter.
fn platform() -> PlatformOptions {
    PlatformOptions {
        latency: Duration::from_millis(2),
        jitter: Duration::from_millis(1),
        ..PlatformOptions::default()
    }
}

/// Sizes of the site.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub workers: usize,
    /// How long a worker takes for a request.
    pub delay: Duration,
}

/// A site whose callers may send.
#[derive(Debug)]
pub struct Bed {
    pub site: Site,
    dims: Size,
    seed: u64,
}

pub fn order() -> Order {
    Order {
        if_version: None,
        reason: "benchmark".into(),
        // The budget would rightly forbid a second drain.
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

/// The owner's template, which lets the other accounts call its service.
pub fn owner(share: u32, workers: usize) -> Template {
    let promised = u32::try_from(workers - 1).expect("few workers");
    let mut template = template(OWNER, share, promised.max(1));
    let others = ACCOUNTS.iter().filter(|(name, ..)| *name != OWNER);
    template.pools[0].services[0].callers = others
        .map(|(name, ..)| name.parse().expect("an account's name"))
        .collect();
    template
}

fn deployed(parts: Components) -> Components {
    Components {
        timers: Timers::default(),
        controller: ControllerTimers::default(),
        ..parts
    }
}

impl Bed {
    /// Starts everything and waits until every entry has heard of every other.
    pub async fn open(dims: Size, seed: u64) -> Result<Self> {
        let layout = Layout {
            entries: dims.entries,
            pools: vec![(OWNER.to_owned(), dims.workers)],
            zones: 3,
            rack: 4,
        };
        let worker = WorkerOptions {
            delay: dims.delay,
            ..WorkerOptions::default()
        };
        let mut site = Site::open_with(layout, platform(), worker).await?;
        site.network.set_latency(HOP);
        for index in 0..dims.entries {
            site.start_with(&format!("entry-{index}"), deployed).await?;
        }
        let admin = site.any_entry().admin.clone();
        for (name, share, _) in ACCOUNTS.iter().filter(|(name, ..)| *name != OWNER) {
            let guest = Template {
                pools: Vec::new(),
                ..template(name, *share, 1)
            };
            admin.apply(&apply(guest)).await?;
        }
        admin.apply(&apply(owner(1, dims.workers))).await?;
        let seq = site.place_workers().await?;
        site.wait_until_applied(seq).await?;
        let bed = Self { site, dims, seed };
        bed.meet().await?;
        Ok(bed)
    }

    async fn meet(&self) -> Result<()> {
        for running in self.site.entries.values() {
            while running
                .admin
                .status()
                .await?
                .entries
                .iter()
                .filter(|e| e.heard.is_some())
                .count()
                < self.dims.entries
            {
                sleep(Duration::from_millis(50)).await;
            }
        }
        // The gates learn of it within one more look at the roster.
        sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    /// A plan of reads, direct to the workers.
    pub fn direct(&self, pace: Loop) -> Plan {
        self.plan(
            pace,
            self.site.workers.values().map(|worker| worker.address()),
        )
    }

    /// A plan of reads through the entries.
    pub fn through(&self, pace: Loop) -> Plan {
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

    /// What the pool does when all its slots are kept busy, in requests a second, measured.
    pub async fn capacity(&self) -> Result<f64> {
        let callers = self.dims.workers * 8;
        // Each worker has its own eight callers: drawn targets would leave slots idle.
        let mut plans = tokio::task::JoinSet::new();
        for worker in self.site.workers.values() {
            let mut plan = self.direct(Loop::Closed {
                callers: callers / self.dims.workers,
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

    /// Counts of all workers together.
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
        account: account.parse().expect("an account's name"),
        token: caller_token(account).into(),
        method: Method::GET,
        path: format!("/{OWNER}/beds").into(),
        body: Bytes::new(),
        keyed: false,
        weight: *weight,
    }
}

/// Runs `plan`.
pub async fn measured(plan: &Plan) -> Result<Outcome> {
    Ok(run(plan).await?)
}
