//! A pool's instances: carries out what waves ask for, moves instances to other pools, and finds out
//! which workers are over.

use crate::{
    emptying::{Emptying, Status},
    event::Event,
    fleet::Listing,
    maintain::Maintenance,
    own::Context,
    relocate::{self, Relocation},
    request::Requests,
    rest::Rest,
};
use log::info;
use primroseroute_cell::{EvacuationReason, Millis, row};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::Version,
    site::{Instance, Wave},
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

/// Time between two rounds. Most ask nobody: one with something to do lists the instances, a few calls
/// a second of the many that are allowed.
const PACE: Duration = Duration::from_millis(150);

/// Longest time between two looks at the instances when nothing is to be done: it delays the first
/// order to an instance that has just come.
const LOOK_AFTER: Duration = Duration::from_secs(1);

struct Upkeep {
    context: Context,
    requests: Requests,
    events: UnboundedSender<Event>,
    emptying: Emptying,
    maintenance: Maintenance,
    relocation: Relocation,
    /// The holders of the groups of instances, by the version of their row, and which instances rest.
    holders: BTreeMap<Name, (Version, Rest)>,
    /// The instances as last listed.
    listed: Option<Listing>,
}

/// Looks after the pool's instances until the task is dropped.
pub(crate) async fn run(
    context: Context,
    owner: Version,
    status: Receiver<Arc<Status>>,
    events: UnboundedSender<Event>,
) {
    let waves = context.watch.waves.clone();
    let mut upkeep = Upkeep {
        requests: Requests::new(context.clone(), owner),
        context,
        emptying: Emptying::new(status, events.clone()),
        events,
        maintenance: Maintenance::new(Instant::now()),
        relocation: Relocation::default(),
        holders: BTreeMap::new(),
        listed: None,
    };
    upkeep.emptying.told().await;
    loop {
        let open = upkeep.maintenance.open(&waves.borrow());
        if upkeep.is_due(&open)
            && let Err(error) = upkeep.round(&open).await
        {
            info!(pool = &*upkeep.context.pool, error:% = error; "a round of upkeep failed");
        }
        sleep(PACE).await;
    }
}

impl Upkeep {
    /// Whether there is anything to be done, or the last look is long ago.
    fn is_due(&self, waves: &[Wave]) -> bool {
        let Some(listed) = &self.listed else {
            return true;
        };
        let pools = relocate::pools(&self.context);
        listed.asked_at.elapsed() >= LOOK_AFTER
            || !waves.is_empty()
            || !self.emptying.status().silent.is_empty()
            || self.emptying.is_unsettled()
            || relocate::is_due(&self.context, &pools, &listed.instances)
    }

    async fn round(&mut self, waves: &[Wave]) -> Result<(), Error> {
        // First, so that the list shows what came of all orders.
        self.requests.settle().await?;
        let status = self.emptying.status();
        let (instances, asked_at) = self.list().await?;
        let instances = &*instances;
        self.bury(&status, instances, asked_at);
        self.emptying.repeat();
        let rested = self.rested(instances);
        let tools = (&mut self.emptying, &mut self.requests);
        let waiting = self
            .maintenance
            .round(&self.context, waves, instances, &rested, tools)
            .await?;
        let blocked = instances.iter().map(|instance| &instance.name);
        let blocked = blocked.filter(|name| !rested.contains(*name) || waiting.contains(*name));
        let blocked = blocked.map(Name::clone).collect();
        self.relocate(instances, &blocked).await?;
        if self.emptying.is_unsettled() {
            self.list().await?;
        }
        Ok(())
    }

    /// The instances as they are now, by which it is told what orders have ended, and when they were asked for.
    async fn list(&mut self) -> Result<(Arc<Vec<Instance>>, Millis), Error> {
        let listing = self.context.fleet.list(Instant::now()).await?;
        let instances = Arc::clone(&listing.instances);
        let asked_at = self.context.clock.at(listing.asked_at);
        self.requests.listed(listing.asked_at);
        self.listed = Some(listing);
        self.emptying.settle(&instances, asked_at);
        Ok((instances, asked_at))
    }

    /// Instances of the pool that may get an order: those of groups whose holder lives, and gives orders.
    ///
    /// A holder that has just taken its group over gives none for the pause between two holders, and
    /// an instance that is emptied meanwhile would stand idle.
    fn rested(&mut self, instances: &[Instance]) -> BTreeSet<Name> {
        let now = Instant::now();
        let picture = self.context.picture.lock();
        let at = self.context.clock.now();
        for group in row::groups() {
            let Some((holder, version)) = picture.held(&group, at) else {
                self.holders.remove(&group);
                continue;
            };
            let known = self.holders.get(&group);
            if known.is_none_or(|(known, _rest)| *known != version) {
                let rest = Rest::of(holder, self.context.order_pause, now);
                self.holders.insert(group, (version, rest));
            }
        }
        drop(picture);
        let is_ready = |instance: &&Instance| {
            let holder = self.holders.get(&row::group(&instance.name));
            instance.pool == self.context.pool
                && holder.is_some_and(|(_version, rest)| rest.is_over(&instance.name, now))
        };
        let ready = instances.iter().filter(is_ready);
        ready.map(|instance| Name::clone(&instance.name)).collect()
    }

    /// Tells which silent workers are over. The platform names the worker that each instance has: one that it names no more
    /// runs nothing, while one behind a cut is still named. Without this, tasks of a dead worker wait until its lease has
    /// surely lapsed, and a later crash of a worker behind a cut is held against runs that it has outlived.
    ///
    /// `status` is from before the list was asked for: one that has joined since isn't named by it either, nor is a life that has
    /// begun since.
    fn bury(&self, status: &Status, instances: &[Instance], asked_at: Millis) {
        let named = instances.iter().filter_map(|known| known.worker.as_ref());
        let named: BTreeSet<&Name> = named.collect();
        for worker in &status.silent {
            let (worker, born) = (Name::clone(worker), status.lives.get(worker));
            let born = born.copied().unwrap_or(0);
            let event = if !named.contains(&worker) {
                Event::Gone {
                    worker,
                    born,
                    asked_at,
                }
            } else if status.suspected.contains(&worker) {
                Event::Named {
                    worker,
                    born,
                    asked_at,
                }
            } else {
                continue;
            };
            if self.events.send(event).is_err() {
                log::debug!("the pool's loop has ended");
            }
        }
    }

    /// Empties the workers of instances that are to move, and moves those on which nothing runs.
    async fn relocate(
        &mut self,
        instances: &[Instance],
        blocked: &BTreeSet<Name>,
    ) -> Result<(), Error> {
        let pools = relocate::pools(&self.context);
        let moves = self
            .relocation
            .plan(&self.context, &pools, instances, blocked, &self.emptying);
        let workers = moves
            .iter()
            .filter_map(|wanted| wanted.instance.worker.clone());
        let workers: BTreeSet<Name> = workers.collect();
        self.emptying.keep(EvacuationReason::Move, &workers);
        for worker in &workers {
            self.emptying.begin(worker, EvacuationReason::Move);
        }
        self.emptying.repeat();
        let ready = moves.into_iter().filter(|wanted| {
            let worker = wanted.instance.worker.as_ref();
            worker.is_none_or(|worker| self.emptying.is_over(worker))
        });
        let ready: Vec<_> = ready.collect();
        if ready.is_empty() {
            return Ok(());
        }
        let tools = (&mut self.emptying, &mut self.requests);
        self.relocation.order(&self.context, tools, &ready).await
    }
}
