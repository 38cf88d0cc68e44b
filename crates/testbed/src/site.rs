//! A running site.

use crate::{
    components::components,
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

/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of a wait for a condition that must hold eventually; only a hung test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// One running entry and its addresses.
#[derive(Debug)]
pub struct RunningEntry {
    /// The entry.
    pub entry: Entry,
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The operator's client of the entry.
    pub admin: Admin,
}

/// A platform, workers and entries.
#[derive(Debug)]
pub struct Site {
    /// The simulated platform.
    pub platform: Platform,
    /// The peer network between entries.
    pub network: Network,
    /// The workers' backend servers.
    pub workers: BTreeMap<id::Instance, Arc<Backend>>,
    /// The running entries.
    pub entries: BTreeMap<id::Entry, RunningEntry>,
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

    /// Like [`Site::open`], with workers started from the options `worker`.
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

    /// The ledger, through a store client that belongs to no entry.
    pub fn ledger(&self) -> Ledger {
        Ledger::open(Arc::new(self.platform.client("onlooker")))
    }

    /// The templates of the layout: for each pool, an account, pool and service of its name.
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
    /// The rows are written first: a controller that saw the list before them would treat the
    /// workers as new instances.
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

    /// Starts a worker that has no row yet, and lists it as live.
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

    /// Starts the entry `name` with the default components.
    ///
    /// # Errors
    /// Where it cannot listen.
    pub async fn start(&mut self, name: &str) -> Result<()> {
        self.start_with(name, |components| components).await
    }

    /// Starts the entry `name` with the default components as modified by `change`.
    ///
    /// # Errors
    /// Where it cannot listen.
    pub async fn start_with(
        &mut self,
        name: &str,
        change: impl FnOnce(Components) -> Components,
    ) -> Result<()> {
        let name: id::Entry = name.parse()?;
        let components = change(components(name.clone(), &self.platform, &self.network));
        let entry = Entry::spawn(components).await?;
        let running = RunningEntry {
            callers: entry.callers(),
            admin: Admin::open(entry.admin(), OPERATOR_TOKEN),
            entry,
        };
        self.entries.insert(name, running);
        Ok(())
    }

    /// Starts `entry-0`, `entry-1` and so on, applies all templates, places all workers, and waits
    /// until every entry has applied all changes.
    ///
    /// # Errors
    /// Where an entry cannot listen or a change is not accepted.
    pub async fn converge(&mut self) -> Result<Seq> {
        let templates = self.templates();
        self.converge_on(templates).await
    }

    /// Like [`Site::converge`], with `templates` instead of the layout's; they must have its pools.
    ///
    /// # Errors
    /// Where an entry cannot listen or a change is not accepted.
    pub async fn converge_on(&mut self, templates: Vec<Template>) -> Result<Seq> {
        for index in 0..self.layout.entries {
            self.start(&format!("entry-{index}")).await?;
        }
        let admin = self.any_entry().admin.clone();
        for template in templates {
            let order = primroseroute_api::Apply {
                template,
                if_version: None,
                reason: "set-up".into(),
            };
            admin.apply(&order).await?;
        }
        let seq = self.place_workers().await?;
        self.wait_until_applied(seq).await?;
        Ok(seq)
    }

    /// The running entry whose name sorts first.
    ///
    /// # Panics
    /// Where none runs.
    pub fn any_entry(&self) -> &RunningEntry {
        self.entries.values().next().expect("an entry runs")
    }

    /// The entry `name`.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn entry(&self, name: &str) -> &RunningEntry {
        &self.entries[&name.parse::<id::Entry>().expect("an entry's name")]
    }

    /// Removes the entry `name` from the site, so that the caller can stop or kill it.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn take_entry(&mut self, name: &str) -> RunningEntry {
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

    /// Kills the backend server `name`, and waits until its address refuses connections.
    ///
    /// # Errors
    /// If that takes longer than a minute.
    pub async fn kill_worker(&self, name: &str) -> Result<()> {
        let worker = self.worker(name);
        worker.stop();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while TcpStream::connect(worker.address()).await.is_ok() {
            if Instant::now() >= deadline {
                return Err(eyre!("{name} still listens"));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until every running entry has applied the change `seq`.
    ///
    /// # Errors
    /// If that takes longer than a minute.
    pub async fn wait_until_applied(&self, seq: Seq) -> Result<()> {
        wait_until("all entries have applied a change", || {
            self.entries
                .values()
                .all(|running| running.entry.applied_seq() >= seq)
        })
        .await
    }
}

/// The platform's list entry of a live instance with `row`.
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

/// Waits until `condition` holds; `what` names it in the error.
///
/// # Errors
/// If that takes longer than a minute.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(eyre!("timed out after {WAIT_TIMEOUT:?}: {what}"));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
