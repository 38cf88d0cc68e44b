//! Entries under paused time.

use crate::{
    Count, Size,
    loaded::{Join, Well},
    rows::{templates, workers},
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

/// One-way latency between entries: 1 ms between availability zones, from the brief.
const LATENCY: Duration = Duration::from_millis(1);

/// From the start until everything repeats: the roster has been read, leases are taken.
const SETTLE: Duration = Duration::from_secs(30);

/// How often a wait looks again.
const LOOK: Duration = Duration::from_millis(1);

/// Longest wait for a change or a restart.
const PATIENCE: Duration = Duration::from_secs(120);

/// Whether the controller works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cycles {
    /// A cycle each second, as in a deployment.
    Running,
    /// No cycle after the first, so that the difference shows what the cycles cost.
    Held,
}

/// Wall-clock time that passes with tokio's paused time.
#[derive(Debug)]
struct Virtual(time::Instant);

impl Clock for Virtual {
    fn now(&self) -> Instant {
        Instant(1).after(self.0.elapsed())
    }
}

/// Running entries of one size; nothing but control happens in them.
#[derive(Debug)]
pub struct Stage {
    site: Site,
    clock: Arc<dyn Clock>,
    ledger: Ledger,
    cell: SnapshotCell,
}

impl Stage {
    /// Starts the entries on a table that holds everything, and waits until all is quiet.
    ///
    /// Must run on a runtime with one thread and paused time.
    ///
    /// # Errors
    /// Where an entry cannot listen or the rows are not accepted.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    pub async fn open(size: Size, cycles: Cycles) -> Result<Self> {
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
        let mut bed = Site::open(layout, options).await?;
        bed.network.set_latency(LATENCY);
        let clock: Arc<dyn Clock> = Arc::new(Virtual(time::Instant::now()));
        let seq = fill(&bed, size, clock.now()).await?;
        let loads = loads(size);
        for index in 0..size.entries {
            let (network, clock) = (bed.network.clone(), Arc::clone(&clock));
            let dial = Box::new(Join {
                network,
                loads: loads.clone(),
            });
            let deployed = |parts| Components {
                dial,
                clock,
                probe: Arc::new(Well),
                timers: Timers::default(),
                controller: timers(cycles),
                jobs: Jobs::default(),
                ..parts
            };
            bed.start_with(&format!("entry-{index}"), deployed).await?;
        }
        bed.wait_until_applied(seq).await?;
        sleep(SETTLE).await;
        Ok(Self {
            ledger: bed.ledger(),
            site: bed,
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

    /// What is counted while `during` passes.
    pub async fn rest(&self, during: Duration) -> Count {
        let before = self.count();
        sleep(during).await;
        self.count() - before
    }

    /// Accepts a change of the first account's template, and returns how long it took from then
    /// until every entry had it in force.
    ///
    /// # Errors
    /// Where it is not accepted or not in force after two minutes.
    ///
    /// # Panics
    /// Where the size has no account.
    pub async fn change(&self, share: u32) -> Result<Duration> {
        let seq = self.accept(share).await?;
        self.spread(seq).await
    }

    /// Accepts a change of the first account's template and waits for no entry.
    ///
    /// # Errors
    /// Where it is not accepted.
    ///
    /// # Panics
    /// Where the size has no account.
    pub async fn accept(&self, share: u32) -> Result<Seq> {
        self.amended(&|snapshot, draft| {
            let (name, row) = snapshot.accounts().iter().next().expect("an account");
            let template = Template {
                share,
                ..row.value.clone()
            };
            draft.put(key::account(name), Some(row.version), &template);
        })
        .await
    }

    /// Takes the worker `number` through a drain, a reboot and its checks, and returns how many
    /// changes that took.
    ///
    /// # Errors
    /// Where the drain is not accepted or the worker not back after two minutes.
    ///
    /// # Panics
    /// Where the size has no such worker.
    pub async fn restart(&self, number: usize) -> Result<u64> {
        let id: id::Instance = format!("worker-{number}").parse()?;
        let wave: id::Wave = "measured".parse()?;
        let before = self.in_force();
        self.amended(&|snapshot, draft| {
            let row = &snapshot.instances()[&id];
            let drained = Row {
                state: State::Draining,
                purpose: Some(Purpose::Wave(wave.clone())),
                ..row.value.clone()
            };
            draft.put(key::instance(&id), Some(row.version), &drained);
        })
        .await?;
        let give_up = time::Instant::now() + PATIENCE;
        while time::Instant::now() < give_up {
            sleep(Duration::from_millis(100)).await;
            primroseroute_view::poll(&self.ledger, &self.cell).await?;
            let row = self.cell.current().instances()[&id].value.clone();
            if row.state == State::Serving && row.maintained.is_some() {
                return Ok(self.in_force().0 - before.0);
            }
        }
        Err(eyre!("{id} is not back from its restart"))
    }

    /// What each entry that runs has in force.
    pub fn views(&self) -> BTreeMap<id::Entry, Seq> {
        let entries = self.site.entries.iter();
        entries
            .map(|(name, running)| (name.clone(), running.entry.applied_seq()))
            .collect()
    }

    /// Cuts the entries `far` off from all others and from the store.
    pub fn cut(&self, far: &[id::Entry]) {
        let near = self.site.entries.keys().filter(|name| !far.contains(name));
        let near: Vec<id::Entry> = near.cloned().collect();
        self.site.network.partition_groups(&near, far);
        self.refuse(far, Some(Outage::Refuse));
    }

    /// Heals the links between entries that [`Stage::cut`] cut; the store stays out of reach.
    pub fn heal(&self) {
        self.site.network.heal_all();
    }

    /// Lets the entries `far` reach the store again.
    pub fn reach(&self, far: &[id::Entry]) {
        self.refuse(far, None);
    }

    fn refuse(&self, entries: &[id::Entry], outage: Option<Outage>) {
        for name in entries {
            let client = self.site.platform.client(name.as_str());
            client.faults().set_outage(outage);
        }
    }

    /// Loses the workers of `zone`, as the platform's list tells, and at once the entries `entries`.
    pub async fn lose(&mut self, zone: &id::Zone, entries: &[id::Entry]) {
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

    /// The instances as the table has them.
    ///
    /// # Errors
    /// Where the table cannot be read.
    pub async fn instances(&self) -> Result<Vec<Row>> {
        primroseroute_view::poll(&self.ledger, &self.cell).await?;
        let snapshot = self.cell.current();
        let rows = snapshot.instances().values();
        Ok(rows.map(|row| row.value.clone()).collect())
    }

    /// Waits until every entry that runs has `seq` in force, and returns how long that took.
    ///
    /// # Errors
    /// Where it takes more than two minutes.
    pub async fn spread(&self, seq: Seq) -> Result<Duration> {
        let started = time::Instant::now();
        while self.in_force() < seq {
            if started.elapsed() > PATIENCE {
                return Err(eyre!("{seq} is not in force everywhere"));
            }
            sleep(LOOK).await;
        }
        Ok(started.elapsed())
    }

    fn in_force(&self) -> Seq {
        self.views().into_values().min().unwrap_or_default()
    }

    async fn amended(
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
        Ok(record.ok_or_else(|| eyre!("nothing was changed"))?.seq)
    }
}

fn timers(cycles: Cycles) -> ControllerTimers {
    let usual = ControllerTimers::default();
    match cycles {
        Cycles::Running => usual,
        Cycles::Held => ControllerTimers {
            cycle: Duration::from_secs(1_000_000),
            // A holder renews only between cycles; nobody may take over meanwhile.
            lease: Duration::from_secs(1_000_000),
            ..usual
        },
    }
}

fn loads(size: Size) -> BTreeMap<id::Instance, Load> {
    let load = Load {
        in_flight: 1,
        demand: 1,
    };
    let names = workers(size).into_iter().map(|row| row.id);
    names.take(size.loads()).map(|name| (name, load)).collect()
}

/// Writes the whole deployment in one change, and lists the workers.
async fn fill(bed: &Site, size: Size, now: Instant) -> Result<Seq> {
    let ledger = bed.ledger();
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
        bed.platform.fleet().add(Listed {
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
