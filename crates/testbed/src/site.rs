//! The running site.

use crate::{
    parts::parts,
    spec::{Layout, OPERATOR_TOKEN, template},
};
use eyre::{Result, eyre};
use primroseroute_client::Admin;
use primroseroute_domain::{
    account::Template,
    change::Seq,
    id,
    instance::{Row, State},
    time::{Clock, SystemClock},
};
use primroseroute_entry::{Components, Entry};
use primroseroute_ledger::{Draft, Ledger, key};
use primroseroute_peer::memory::Network;
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_standin::{
    backend::{Backend, Options as BackendOptions},
    platform::{Options as PlatformOptions, Platform},
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// How often a wait looks again.
const LOOK: Duration = Duration::from_millis(5);

/// Longest wait for something that must come; only a hung test gets there.
const PATIENCE: Duration = Duration::from_secs(60);

/// One running entry and its addresses.
#[derive(Debug)]
pub struct Running {
    /// The entry.
    pub entry: Entry,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// The operators' client.
    pub admin: Admin,
}

/// A platform, workers and entries.
#[derive(Debug)]
pub struct Site {
    /// The platform's stand-in.
    pub platform: Platform,
    /// The network between entries.
    pub network: Network,
    /// The workers' backend servers.
    pub workers: BTreeMap<id::Instance, Arc<Backend>>,
    /// The entries that run.
    pub entries: BTreeMap<id::Entry, Running>,
    layout: Layout,
}

impl Site {
    /// Starts the platform and the workers; no entry runs and nothing is configured yet.
    ///
    /// # Errors
    /// Where a backend server cannot listen.
    pub async fn open(layout: Layout, platform: PlatformOptions) -> Result<Self> {
        Self::open_with(layout, platform, BackendOptions::default()).await
    }

    /// The same, with workers made from `worker`.
    ///
    /// # Errors
    /// Where a backend server cannot listen.
    pub async fn open_with(
        layout: Layout,
        platform: PlatformOptions,
        worker: BackendOptions,
    ) -> Result<Self> {
        let mut workers = BTreeMap::new();
        for (pool, count) in &layout.pools {
            for index in 0..*count {
                let name: id::Instance = format!("{pool}-{index}").parse()?;
                let options = BackendOptions {
                    name: name.as_str().into(),
                    ..worker.clone()
                };
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                workers.insert(name, Arc::new(Backend::bind(address, options).await?));
            }
        }
        Ok(Self {
            platform: Platform::open(1, platform),
            network: Network::open(),
            workers,
            entries: BTreeMap::new(),
            layout,
        })
    }

    /// The ledger, as an onlooker who is no entry.
    pub fn ledger(&self) -> Ledger {
        Ledger::open(Arc::new(self.platform.client("onlooker")))
    }

    /// The templates of the layout: one account, pool and service of each pool's name.
    ///
    /// # Panics
    /// Where a pool has no name or more than `u32::MAX` workers.
    pub fn templates(&self) -> Vec<Template> {
        let pools = self.layout.pools.iter();
        pools
            .map(|(name, count)| {
                let promised = u32::try_from(count.saturating_sub(1).max(1)).expect("few workers");
                template(name, 1, promised)
            })
            .collect()
    }

    /// Writes the rows of all workers as serving, in one change, and lists them as live.
    ///
    /// The rows come first: a controller that saw the list before them would let the workers arrive.
    ///
    /// # Errors
    /// Where the change is not accepted.
    pub async fn place_workers(&self) -> Result<Seq> {
        let ledger = self.ledger();
        let head = ledger.head().await?;
        let now = SystemClock.now();
        let mut draft = Draft::new(head, now, "test", "workers", Uuid::new_v4());
        let mut listed = Vec::new();
        for (number, (pool, count)) in self.layout.pools.iter().enumerate() {
            for index in 0..*count {
                let id: id::Instance = format!("{pool}-{index}").parse()?;
                let (zone, rack) = self.layout.place(number, index);
                let row = Row {
                    address: self.workers[&id].address(),
                    zone,
                    rack,
                    pool: Some(pool.parse()?),
                    state: State::Serving,
                    purpose: None,
                    since: now,
                    maintained: None,
                    id,
                };
                listed.push(listing(&row));
                draft.put(key::instance(&row.id), None, &row);
            }
        }
        let seq = ledger.commit(&draft).await?.seq;
        for row in listed {
            self.platform.fleet().add(row);
        }
        Ok(seq)
    }

    /// Starts a worker that no row knows yet, and lists it as live.
    ///
    /// # Errors
    /// Where it cannot listen.
    pub async fn arrive(
        &mut self,
        name: id::Instance,
        zone: id::Zone,
        rack: id::Rack,
        options: BackendOptions,
    ) -> Result<()> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let worker = Backend::bind(address, options).await?;
        self.platform.fleet().add(Listed {
            id: name.clone(),
            address: worker.address(),
            zone,
            rack,
            phase: Phase::Live,
            boots: 1,
        });
        self.workers.insert(name, Arc::new(worker));
        Ok(())
    }

    /// Starts the entry `name` with the usual parts.
    ///
    /// # Errors
    /// Where it cannot listen.
    pub async fn start(&mut self, name: &str) -> Result<()> {
        self.start_with(name, |parts| parts).await
    }

    /// Starts the entry `name` with parts as `change` makes them.
    ///
    /// # Errors
    /// Where it cannot listen.
    pub async fn start_with(
        &mut self,
        name: &str,
        change: impl FnOnce(Components) -> Components,
    ) -> Result<()> {
        let name: id::Entry = name.parse()?;
        let parts = change(parts(name.clone(), &self.platform, &self.network));
        let entry = Entry::spawn(parts).await?;
        let running = Running {
            callers: entry.callers(),
            admin: Admin::open(entry.admin(), OPERATOR_TOKEN),
            entry,
        };
        self.entries.insert(name, running);
        Ok(())
    }

    /// Starts `entry-0`, `entry-1` and so on, applies all templates, places all workers, and waits
    /// until every entry has all of it in force.
    ///
    /// # Errors
    /// Where something cannot listen or a change is not accepted.
    pub async fn converge(&mut self) -> Result<Seq> {
        let templates = self.templates();
        self.converge_on(templates).await
    }

    /// The same with templates in place of the layout's; their pools are the layout's.
    ///
    /// # Errors
    /// Where something cannot listen or a change is not accepted.
    pub async fn converge_on(&mut self, templates: Vec<Template>) -> Result<Seq> {
        for index in 0..self.layout.entries {
            self.start(&format!("entry-{index}")).await?;
        }
        let admin = self.any().admin.clone();
        for template in templates {
            let order = primroseroute_api::Apply {
                template,
                if_version: None,
                reason: "set-up".into(),
            };
            admin.apply(&order).await?;
        }
        let seq = self.place_workers().await?;
        self.in_force(seq).await?;
        Ok(seq)
    }

    /// One of the entries that run.
    ///
    /// # Panics
    /// Where none runs.
    pub fn any(&self) -> &Running {
        self.entries.values().next().expect("an entry runs")
    }

    /// The entry `name`.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn entry(&self, name: &str) -> &Running {
        &self.entries[&name.parse::<id::Entry>().expect("an entry's name")]
    }

    /// Takes the entry `name` out, to stop or kill it.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn take(&mut self, name: &str) -> Running {
        let name: id::Entry = name.parse().expect("an entry's name");
        self.entries.remove(&name).expect("the entry runs")
    }

    /// The worker `name`.
    ///
    /// # Panics
    /// Where there is none.
    pub fn worker(&self, name: &str) -> &Arc<Backend> {
        &self.workers[&name.parse::<id::Instance>().expect("a worker's name")]
    }

    /// Kills the backend server `name`, and waits until nothing listens there any more.
    ///
    /// # Errors
    /// Where that takes a minute.
    pub async fn kill_worker(&self, name: &str) -> Result<()> {
        let worker = self.worker(name);
        worker.stop();
        let give_up = Instant::now() + PATIENCE;
        while TcpStream::connect(worker.address()).await.is_ok() {
            if Instant::now() >= give_up {
                return Err(eyre!("{name} still listens"));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Waits until every running entry has `seq` in force.
    ///
    /// # Errors
    /// Where that takes a minute.
    pub async fn in_force(&self, seq: Seq) -> Result<()> {
        until("a change is in force everywhere", || {
            self.entries
                .values()
                .all(|running| running.entry.applied_seq() >= seq)
        })
        .await
    }
}

/// The platform's line for a live instance with `row`.
fn listing(row: &Row) -> Listed {
    Listed {
        id: row.id.clone(),
        address: row.address,
        zone: row.zone.clone(),
        rack: row.rack.clone(),
        phase: Phase::Live,
        boots: 1,
    }
}

/// Waits until `holds`.
///
/// # Errors
/// Where that takes a minute.
pub async fn until(what: &str, holds: impl Fn() -> bool) -> Result<()> {
    let give_up = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() >= give_up {
            return Err(eyre!("{what}: not within {PATIENCE:?}"));
        }
        sleep(LOOK).await;
    }
    Ok(())
}
