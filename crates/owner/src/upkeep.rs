//! A pool's instances: carries out what waves ask for, and finds out which workers are over.

use crate::{
    event::Event,
    own::Context,
    wave::{Situation, Step, steps},
};
use bytes::Bytes;
use log::{info, warn};
use primroseroute_cell::row::{self, Wave as Progress};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version, read_row},
    site::{Holder, Instance, Ordered, Wave},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc::UnboundedSender, watch::Receiver},
    time::{Instant, sleep},
};

/// Pause between two looks at the instances while a wave is under way: a tenth of the few seconds
/// that an instance's maintenance takes, and a few calls a second of the many that are allowed.
const PACE: Duration = Duration::from_millis(300);

/// Part of a pool's workers that may be emptied at the same time.
const EMPTIED_PART: usize = 5;

/// Time after which shorter tasks on a worker that is being emptied are stopped: most end by
/// themselves before, and a wave can't wait for one that hangs.
const CLEAR_AFTER: Duration = Duration::from_secs(6);

/// Slack on the pause between two holders of an instance.
const HOLDER_SLACK: Duration = Duration::from_millis(500);

/// Times that an order without an answer is sent; it is idempotent.
const TRIES: usize = 3;

/// What runs where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Lasting tasks by worker.
    pub lasting: BTreeMap<Name, usize>,
    /// Workers on which nothing can run.
    pub empty: BTreeSet<Name>,
    /// Registered workers of the pool.
    pub registered: BTreeSet<Name>,
    /// Workers that don't answer, and on which something may run.
    pub silent: BTreeSet<Name>,
}

struct Upkeep {
    context: Context,
    status: Receiver<Arc<Status>>,
    events: UnboundedSender<Event>,
    /// Instances get no order before then.
    orders_from: Instant,
    /// Workers that are being emptied, and since when.
    emptying: BTreeMap<Name, Instant>,
    /// Instances whose order was taken, by wave.
    taken: BTreeMap<u64, BTreeSet<Name>>,
    complete: BTreeSet<u64>,
}

/// Looks after the pool's instances until the task is dropped.
///
/// The first order waits: a predecessor may have given one just before it was replaced, and two
/// holders must not take turns at one instance within the pause between them.
pub(crate) async fn run(
    context: Context,
    status: Receiver<Arc<Status>>,
    events: UnboundedSender<Event>,
) {
    let orders_from = Instant::now() + context.order_pause + HOLDER_SLACK;
    let mut waves = context.watch.waves.clone();
    let mut news = status.clone();
    let mut upkeep = Upkeep {
        context,
        status,
        events,
        orders_from,
        emptying: BTreeMap::new(),
        taken: BTreeMap::new(),
        complete: BTreeSet::new(),
    };
    loop {
        let open = upkeep.open(&waves.borrow_and_update());
        let silent = news.borrow_and_update().silent.clone();
        if open.is_empty() && silent.is_empty() {
            let changed = tokio::select! {
                biased;
                changed = waves.changed() => changed,
                changed = news.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            continue;
        }
        if let Err(error) = upkeep.round(&open, &silent).await {
            info!(pool = &*upkeep.context.pool, error:% = error; "a round of maintenance failed");
        }
        sleep(PACE).await;
    }
}

impl Upkeep {
    fn open(&self, waves: &BTreeMap<u64, Wave>) -> Vec<Wave> {
        let open = waves.values();
        let open = open.filter(|wave| !self.complete.contains(&wave.number));
        open.cloned().collect()
    }

    async fn round(&mut self, waves: &[Wave], silent: &BTreeSet<Name>) -> Result<(), Error> {
        let instances = self.context.site.instances().await?;
        self.bury(&instances, silent);
        if Instant::now() < self.orders_from {
            return Ok(());
        }
        let mut wanted = BTreeSet::new();
        for wave in waves {
            let (progress, version) = self.read(wave.number).await?;
            let next = self.plan(wave, &progress, &instances);
            let due = wave
                .instances
                .iter()
                .filter(|name| !progress.done.contains(*name));
            let due: BTreeSet<&Name> = due.collect();
            let workers = instances.iter().filter(|known| due.contains(&known.name));
            wanted.extend(workers.filter_map(|known| known.worker.clone()));
            for step in next {
                self.carry_out(wave, &progress, version, step).await?;
            }
        }
        self.release(&wanted);
        self.clear();
        Ok(())
    }

    /// Tells which silent workers are over. A worker is one life of an instance, and the platform
    /// names the life that each instance has: one that it names no more runs nothing, while one
    /// behind a cut is still named. Without this, tasks of a dead worker wait until its lease has
    /// surely lapsed.
    fn bury(&self, instances: &[Instance], silent: &BTreeSet<Name>) {
        let named = instances.iter().filter_map(|known| known.worker.as_ref());
        let named: BTreeSet<&Name> = named.collect();
        for worker in silent.iter().filter(|worker| !named.contains(worker)) {
            self.tell(Event::Gone(Name::clone(worker)));
        }
    }

    fn plan(&self, wave: &Wave, progress: &Progress, instances: &[Instance]) -> Vec<Step> {
        let status = self.status.borrow().clone();
        let emptying: BTreeSet<Name> = self.emptying.keys().map(Name::clone).collect();
        let unknown = |worker: &Name| !status.lasting.contains_key(worker);
        let mut empty = status.empty.clone();
        // A worker that the cell doesn't know runs nothing of the pool.
        empty.extend(
            emptying
                .iter()
                .filter(|worker| unknown(worker))
                .map(Name::clone),
        );
        let workers = status.registered.len();
        steps(&Situation {
            wave,
            progress,
            pool: &self.context.pool,
            instances,
            emptying: &emptying,
            empty: &empty,
            lasting: &status.lasting,
            taken: self.taken.get(&wave.number).unwrap_or(&BTreeSet::new()),
            most: workers.div_ceil(EMPTIED_PART).max(1),
        })
    }

    async fn carry_out(
        &mut self,
        wave: &Wave,
        progress: &Progress,
        version: Version,
        step: Step,
    ) -> Result<(), Error> {
        match step {
            Step::Empty(worker) => {
                info!(wave = wave.number, worker = &*worker; "worker is being emptied");
                self.emptying.insert(Name::clone(&worker), Instant::now());
                self.tell(Event::Empty {
                    worker,
                    wanted: true,
                });
                Ok(())
            }
            Step::Begin(instance) | Step::Repeat(instance) => {
                self.begin(wave, progress, version, &instance).await
            }
            Step::Finish(name) => {
                let mut next = progress.clone();
                next.active.remove(&name);
                next.done.insert(Name::clone(&name));
                if self.write(wave.number, version, &next).await?.is_some() {
                    info!(wave = wave.number, instance = &*name; "instance is maintained");
                }
                Ok(())
            }
            Step::Complete => {
                self.context.site.report_wave(wave.number, true).await?;
                info!(wave = wave.number; "wave is complete");
                self.complete.insert(wave.number);
                Ok(())
            }
        }
    }

    /// Counts the instance as in maintenance, then orders it. The version of the count is the
    /// order's fencing token: it is higher than that of every order before.
    async fn begin(
        &mut self,
        wave: &Wave,
        progress: &Progress,
        version: Version,
        instance: &Instance,
    ) -> Result<(), Error> {
        let mut next = progress.clone();
        let name = Name::clone(&instance.name);
        next.active.insert(name, instance.worker.clone());
        let Some(token) = self.write(wave.number, version, &next).await? else {
            return Ok(());
        };
        if version == 0 {
            self.context.site.report_wave(wave.number, false).await?;
        }
        let holder = Holder {
            entry: Name::clone(&self.context.entry),
            token,
        };
        match self.order(wave.number, instance, &holder).await {
            Ok(Ordered::Taken) => {
                info!(wave = wave.number, instance = &*instance.name, token; "maintenance begun");
                let known = self.taken.entry(wave.number).or_default();
                known.insert(Name::clone(&instance.name));
                if let Some(worker) = &instance.worker {
                    // Its registration outlives it by seconds.
                    self.tell(Event::Gone(Name::clone(worker)));
                }
                Ok(())
            }
            Ok(refused) => {
                warn!(wave = wave.number, instance = &*instance.name, refused:? = refused; "maintenance refused");
                next.active.remove(&instance.name);
                self.write(wave.number, token, &next).await.map(drop)
            }
            Err(error) => Err(error),
        }
    }

    async fn order(
        &self,
        wave: u64,
        instance: &Instance,
        holder: &Holder,
    ) -> Result<Ordered, Error> {
        let mut last = Error::Throttled;
        for _try in 0..TRIES {
            match self
                .context
                .site
                .maintain(&instance.name, wave, holder)
                .await
            {
                Ok(ordered) => return Ok(ordered),
                Err(error) => last = error,
            }
            sleep(PACE).await;
        }
        Err(last)
    }

    async fn read(&self, number: u64) -> Result<(Progress, Version), Error> {
        let row = read_row(&*self.context.rows, row::wave(number)).await?;
        let progress = row.as_ref().and_then(crate::control::parsed);
        let version = row.map_or(0, |row| row.version);
        Ok((progress.unwrap_or_default(), version))
    }

    /// Writes the wave's row, unless it has changed; its new version.
    async fn write(
        &self,
        number: u64,
        version: Version,
        progress: &Progress,
    ) -> Result<Option<Version>, Error> {
        let place = row::wave(number);
        let value = serde_json::to_vec(progress).expect("a wave has text keys");
        let txn = Txn {
            conditions: vec![(place.clone(), version)],
            puts: vec![(place, Bytes::from(value))],
            deletes: Vec::new(),
        };
        match self.context.rows.commit(txn).await? {
            Commit::Committed(version) => Ok(Some(version)),
            Commit::Conflict(_rows) => Ok(None),
        }
    }

    /// Workers that no wave waits for any more take new tasks again.
    fn release(&mut self, wanted: &BTreeSet<Name>) {
        let over: Vec<Name> = self
            .emptying
            .keys()
            .filter(|worker| !wanted.contains(*worker))
            .map(Name::clone)
            .collect();
        for worker in over {
            self.emptying.remove(&worker);
            self.tell(Event::Empty {
                worker,
                wanted: false,
            });
        }
    }

    /// Stops shorter tasks on workers that have been emptied for too long.
    fn clear(&self) {
        for (worker, since) in &self.emptying {
            if since.elapsed() >= CLEAR_AFTER {
                self.tell(Event::Clear(Name::clone(worker)));
            }
        }
    }

    fn tell(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::debug!("the pool's loop has ended");
        }
    }
}
