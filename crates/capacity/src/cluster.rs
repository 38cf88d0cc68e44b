//! Entries running under paused time.

use crate::{
    Count, Size,
    rows::{templates, workers},
    simulated_load::{AlwaysHealthy, LoadedDial},
};
use eyre::{Result, eyre};
use primroseroute_controller::{Timers as ControllerTimers, jobs::Settings as Jobs};
use primroseroute_domain::{
    account::Template,
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::{Clock, Instant},
};
use primroseroute_entry::{Components, Timers};
use primroseroute_ledger::{Draft, Ledger, key};
use primroseroute_peer::report::Load;
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_testbed::{
    Layout, Site,
    platform::{self, fault::Outage},
};
use primroseroute_view::{Author, SnapshotCell, commit_with_retry};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{self, sleep};
use uuid::Uuid;

/// One-way latency between entries: that between availability zones of the reference deployment.
const PEER_LATENCY: Duration = Duration::from_millis(1);

/// Time from the start to a steady state, in which the roster has been read and leases are held.
const SETTLE_TIME: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time limit for a change to take effect and for a restart.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Whether the controller runs its cycles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cycles {
    /// One cycle per second, as in a deployment.
    Running,
    /// No cycle after the first; the difference to [`Cycles::Running`] is the cost of the cycles.
    Suspended,
}

/// A wall clock driven by tokio's paused time.
#[derive(Debug)]
struct VirtualClock(time::Instant);

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        Instant(1).after(self.0.elapsed())
    }
}

/// The running entries of a deployment of one size, which handle control traffic only.
#[derive(Debug)]
pub struct Cluster {
    site: Site,
    clock: Arc<dyn Clock>,
    ledger: Ledger,
    cell: SnapshotCell,
}

impl Cluster {
    /// Starts the entries on a table that holds the whole deployment and waits for a steady state.
    ///
    /// Must run on a single-threaded runtime with paused time.
    ///
    /// # Errors
    /// If an entry can't listen or the rows aren't accepted.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    pub async fn start(size: Size, cycles: Cycles) -> Result<Self> {
        let layout = Layout {
            entries: size.entries,
            pools: Vec::new(),
            zones: 1,
            rack: 1,
        };
        let options = platform::Options {
            latency: Duration::from_millis(2),
            ..platform::Options::default()
        };
        let mut fixture = Site::open(layout, options).await?;
        fixture.network.set_latency(PEER_LATENCY);
        let clock: Arc<dyn Clock> = Arc::new(VirtualClock(time::Instant::now()));
        let seq = fill(&fixture, size, clock.now()).await?;
        let loads = loads(size);
        for index in 0..size.entries {
            let (network, clock) = (fixture.network.clone(), Arc::clone(&clock));
            let dial = Box::new(LoadedDial {
                network,
                loads: loads.clone(),
            });
            let configure = |parts| Components {
                dial,
                clock,
                probe: Arc::new(AlwaysHealthy),
                timers: Timers::default(),
                controller: timers(cycles),
                jobs: Jobs::default(),
                ..parts
            };
            fixture
                .start_with(&format!("entry-{index}"), configure)
                .await?;
        }
        fixture.wait_until_applied(seq).await?;
        sleep(SETTLE_TIME).await;
        Ok(Self {
            ledger: fixture.ledger(),
            site: fixture,
            clock,
            cell: SnapshotCell::default(),
        })
    }

    /// The counts so far.
    pub fn count(&self) -> Count {
        Count::of(
            &self.site.platform.tally(),
            self.site.network.message_counts(),
        )
    }

    /// Waits for `during` and returns the counts of that period.
    pub async fn count_idle(&self, during: Duration) -> Count {
        let before = self.count();
        sleep(during).await;
        self.count() - before
    }

    /// Commits a change of the first account's template and returns the time from the commit until the
    /// change is in effect at every entry.
    ///
    /// # Errors
    /// If the change isn't accepted or isn't in effect after two minutes.
    ///
    /// # Panics
    /// If the deployment has no account.
    pub async fn commit_and_wait(&self, share: u32) -> Result<Duration> {
        let seq = self.commit_change(share).await?;
        self.wait_in_effect(seq).await
    }

    /// Commits a change of the first account's template without waiting for the entries.
    ///
    /// # Errors
    /// If the change isn't accepted.
    ///
    /// # Panics
    /// If the deployment has no account.
    pub async fn commit_change(&self, share: u32) -> Result<Seq> {
        self.commit_edits(&|snapshot, draft| {
            let (name, row) = snapshot.accounts().iter().next().expect("an account");
            let template = Template {
                share,
                ..row.value.clone()
            };
            draft.put(key::account(name), Some(row.version), &template);
        })
        .await
    }

    /// Drains and reboots worker `number`, waits until it has passed its health checks, and returns the
    /// number of changes that this took.
    ///
    /// # Errors
    /// If the drain isn't accepted or the worker doesn't serve again after two minutes.
    ///
    /// # Panics
    /// If the deployment has no such worker.
    pub async fn restart(&self, number: usize) -> Result<u64> {
        let id: id::Instance = format!("worker-{number}").parse()?;
        let wave: id::Wave = "measured".parse()?;
        let before = self.in_force();
        self.commit_edits(&|snapshot, draft| {
            let row = &snapshot.instances()[&id];
            let drained = Row {
                state: State::Draining,
                purpose: Some(Purpose::Wave(wave.clone())),
                ..row.value.clone()
            };
            draft.put(key::instance(&id), Some(row.version), &drained);
        })
        .await?;
        let deadline = time::Instant::now() + TIMEOUT;
        while time::Instant::now() < deadline {
            sleep(Duration::from_millis(100)).await;
            primroseroute_view::poll(&self.ledger, &self.cell).await?;
            let row = self.cell.current().instances()[&id].value.clone();
            if row.state == State::Serving && row.maintained.is_some() {
                return Ok(self.in_force().0 - before.0);
            }
        }
        Err(eyre!("{id} did not return from its restart in time"))
    }

    /// The version in effect at each running entry.
    pub fn versions(&self) -> BTreeMap<id::Entry, Seq> {
        let entries = self.site.entries.iter();
        entries
            .map(|(name, running)| (name.clone(), running.entry.applied_seq()))
            .collect()
    }

    /// Partitions the entries `far` from all others and from the store.
    pub fn partition(&self, far: &[id::Entry]) {
        let near = self.site.entries.keys().filter(|name| !far.contains(name));
        let near: Vec<id::Entry> = near.cloned().collect();
        self.site.network.partition_groups(&near, far);
        self.set_store_outage(far, Some(Outage::Refuse));
    }

    /// Restores the links between entries after [`Cluster::partition`]; the store stays unreachable.
    pub fn heal_links(&self) {
        self.site.network.heal_all();
    }

    /// Makes the store reachable again for the entries `far`.
    pub fn restore_store(&self, far: &[id::Entry]) {
        self.set_store_outage(far, None);
    }

    fn set_store_outage(&self, entries: &[id::Entry], outage: Option<Outage>) {
        for name in entries {
            let client = self.site.platform.client(name.as_str());
            client.faults().set_outage(outage);
        }
    }

    /// Has the platform list the workers of `zone` as gone and kills `entries` at the same time.
    pub async fn lose_zone(&mut self, zone: &id::Zone, entries: &[id::Entry]) {
        for listed in self.site.platform.fleet().truth() {
            if listed.zone == *zone {
                self.site
                    .platform
                    .fleet()
                    .set_phase(&listed.id, Phase::Gone);
            }
        }
        for name in entries {
            self.site.take_entry(name.as_str()).entry.abort().await;
        }
    }

    /// Reads the instance rows from the table.
    ///
    /// # Errors
    /// If the table can't be read.
    pub async fn instances(&self) -> Result<Vec<Row>> {
        primroseroute_view::poll(&self.ledger, &self.cell).await?;
        let snapshot = self.cell.current();
        let rows = snapshot.instances().values();
        Ok(rows.map(|row| row.value.clone()).collect())
    }

    /// Waits until `seq` is in effect at every running entry and returns how long that took.
    ///
    /// # Errors
    /// If it takes more than two minutes.
    pub async fn wait_in_effect(&self, seq: Seq) -> Result<Duration> {
        let started = time::Instant::now();
        while self.in_force() < seq {
            if started.elapsed() > TIMEOUT {
                return Err(eyre!("{seq} is not in effect at every entry in time"));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(started.elapsed())
    }

    fn in_force(&self) -> Seq {
        self.versions().into_values().min().unwrap_or_default()
    }

    async fn commit_edits(
        &self,
        decide: &(dyn Fn(&primroseroute_view::Snapshot, &mut Draft) + Sync),
    ) -> Result<Seq> {
        let author = Author {
            actor: "operator:capacity".into(),
            reason: "measurement".into(),
            guards: Vec::new(),
        };
        let decide = |snapshot: &primroseroute_view::Snapshot, draft: &mut Draft| {
            decide(snapshot, draft);
            Ok(())
        };
        let clock = self.clock.as_ref();
        let record = commit_with_retry(&self.ledger, &self.cell, clock, &author, &decide).await?;
        Ok(record
            .ok_or_else(|| eyre!("the commit changed nothing"))?
            .seq)
    }
}

fn timers(cycles: Cycles) -> ControllerTimers {
    let default_timers = ControllerTimers::default();
    match cycles {
        Cycles::Running => default_timers,
        Cycles::Suspended => ControllerTimers {
            cycle: Duration::from_secs(1_000_000),
            // The lease is renewed only between cycles; it outlasts the run, so that no other entry takes over.
            lease: Duration::from_secs(1_000_000),
            ..default_timers
        },
    }
}

fn loads(size: Size) -> BTreeMap<id::Instance, Load> {
    let load = Load {
        in_flight: 1,
        demand: 1,
    };
    let names = workers(size).into_iter().map(|row| row.id);
    names
        .take(size.loaded_workers())
        .map(|name| (name, load))
        .collect()
}

/// Writes the whole deployment in one change and adds the workers to the platform's list.
async fn fill(fixture: &Site, size: Size, now: Instant) -> Result<Seq> {
    let ledger = fixture.ledger();
    let head = ledger.head().await?;
    let mut draft = Draft::new(head, now, "test", "deployment", Uuid::new_v4());
    for template in templates(size) {
        draft.put(key::account(&template.account), None, &template);
    }
    let rows = workers(size);
    for row in &rows {
        draft.put(key::instance(&row.id), None, row);
    }
    let seq = ledger.commit(&draft).await?.seq;
    for row in rows {
        fixture.platform.fleet().add(Listed {
            id: row.id,
            address: row.address,
            zone: row.zone,
            rack: row.rack,
            phase: Phase::Live,
            boots: 1,
        });
    }
    Ok(seq)
}
