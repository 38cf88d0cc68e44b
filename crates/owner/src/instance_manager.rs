//! Manages a pool's instances: carries out the steps of waves, moves instances to other pools, and
//! finds out which terminated workers can't come back.

use crate::{
    evacuations::{Evacuations, PoolStatus},
    event::Event,
    instance_cache::Listing,
    maintain::Maintenance,
    order_requests::OrderRequests,
    ownership::Context,
    relocate::{self, Relocation},
    rest::Rest,
};
use log::info;
use primroseroute_cell::{EvacuationReason, row};
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

/// Interval between two rounds. Most make no call: one with something to do lists the instances, a
/// few calls a second of the many that are allowed.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time between two lists of the instances when nothing is to be done: it delays the first
/// order to an instance that has just joined.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

struct InstanceManager {
    context: Context,
    requests: OrderRequests,
    events: UnboundedSender<Event>,
    evacuations: Evacuations,
    maintenance: Maintenance,
    relocation: Relocation,
    /// The holders of the groups of instances, by the version of their row, and which instances may
    /// not be ordered yet.
    holders: BTreeMap<Name, (Version, Rest)>,
    /// The instances as last listed.
    listed: Option<Listing>,
    /// The worker that was last listed for each instance, with the pool; none after a change of
    /// pool.
    last_workers: BTreeMap<Name, (Name, Option<Name>)>,
}

/// Manages the pool's instances until the task is dropped.
pub(crate) async fn run(
    context: Context,
    owner: Version,
    status: Receiver<Arc<PoolStatus>>,
    events: UnboundedSender<Event>,
) {
    let waves = context.watch.waves.clone();
    let mut manager = InstanceManager {
        requests: OrderRequests::new(context.clone(), owner),
        context,
        evacuations: Evacuations::new(status, events.clone()),
        events,
        maintenance: Maintenance::new(Instant::now()),
        relocation: Relocation::default(),
        holders: BTreeMap::new(),
        listed: None,
        last_workers: BTreeMap::new(),
    };
    manager.evacuations.wait_until_published().await;
    loop {
        let waves_open = manager.maintenance.incomplete(&waves.borrow());
        if manager.is_due(&waves_open)
            && let Err(error) = manager.run_round(&waves_open).await
        {
            info!(pool = &*manager.context.pool, error:% = error; "round of instance management failed");
        }
        sleep(ROUND_INTERVAL).await;
    }
}

impl InstanceManager {
    /// Whether there is anything to be done, or the last list is too old.
    fn is_due(&self, waves: &[Wave]) -> bool {
        let Some(listed) = &self.listed else {
            return true;
        };
        let pools = relocate::pools(&self.context);
        listed.asked_at.elapsed() >= LIST_INTERVAL
            || !waves.is_empty()
            || self.evacuations.has_pending_orders()
            || relocate::is_due(&self.context, &pools, &listed.instances)
    }

    async fn run_round(&mut self, waves: &[Wave]) -> Result<(), Error> {
        // First, so that the list shows the effect of all orders.
        self.requests.withdraw().await?;
        let status = self.evacuations.status();
        let instances = self.list().await?;
        let instances = &*instances;
        self.report_replaced(&status, instances);
        self.evacuations.resend();
        let orderable = self.orderable(instances);
        let tools = (&mut self.evacuations, &mut self.requests);
        let waiting = self
            .maintenance
            .run_steps(&self.context, waves, instances, &orderable, tools)
            .await?;
        let blocked = instances.iter().map(|instance| &instance.name);
        let blocked = blocked.filter(|name| !orderable.contains(*name) || waiting.contains(*name));
        let blocked = blocked.map(Name::clone).collect();
        self.relocate(instances, &blocked).await?;
        if self.evacuations.has_pending_orders() {
            self.list().await?;
        }
        Ok(())
    }

    /// Lists the instances, and reports the workers that orders have terminated.
    async fn list(&mut self) -> Result<Arc<Vec<Instance>>, Error> {
        let listing = self.context.fleet.list(Instant::now()).await?;
        let instances = Arc::clone(&listing.instances);
        let asked_at = self.context.clock.at(listing.asked_at);
        self.requests.set_listed_at(listing.asked_at);
        self.listed = Some(listing);
        self.evacuations.apply_list(&instances, asked_at);
        Ok(instances)
    }

    /// Instances of the pool that may be ordered: those of groups whose holder is alive and may
    /// issue orders.
    ///
    /// A holder that has just taken its group over issues none for the minimum time between two
    /// holders, and an instance that is evacuated meanwhile would stand idle.
    fn orderable(&mut self, instances: &[Instance]) -> BTreeSet<Name> {
        let now = Instant::now();
        let view = self.context.view.lock();
        let at = self.context.clock.now();
        for group in row::groups() {
            let Some((holder, version)) = view.live_owner(&group, at) else {
                self.holders.remove(&group);
                continue;
            };
            let known = self.holders.get(&group);
            if known.is_none_or(|(known, _rest)| *known != version) {
                let rest = Rest::after(holder, self.context.order_pause, now);
                self.holders.insert(group, (version, rest));
            }
        }
        drop(view);
        let is_orderable = |instance: &&Instance| {
            let holder = self.holders.get(&row::group(&instance.name));
            instance.pool == self.context.pool
                && holder.is_some_and(|(_version, rest)| rest.may_order(&instance.name, now))
        };
        let ready = instances.iter().filter(is_orderable);
        ready.map(|instance| Name::clone(&instance.name)).collect()
    }

    /// Reports the terminated workers that can't come back on any instance.
    ///
    /// A worker may come back under its id on the instance that it had, and a start without an
    /// answer may reach it then. It can't once the instance has another worker, or serves another
    /// pool. Without this, its tasks wait until no order can come late, for seconds beside free
    /// workers.
    fn report_replaced(&mut self, status: &PoolStatus, instances: &[Instance]) {
        let standby = |pool: &Name| {
            let configuration = self.context.watch.configuration.borrow();
            let mut pools = configuration.iter().flat_map(|known| &known.pools);
            pools.any(|known| known.name == *pool && known.standby)
        };
        let mut may_come_back = BTreeSet::new();
        // Whether there is an instance whose last worker was never listed.
        let mut is_last_unknown = false;
        for instance in instances {
            let at = (Name::clone(&instance.pool), instance.worker.clone());
            match (&instance.worker, self.last_workers.get(&instance.name)) {
                (Some(worker), _) => {
                    may_come_back.insert(Name::clone(worker));
                    self.last_workers.insert(Name::clone(&instance.name), at);
                }
                (None, Some((pool, last))) if *pool == instance.pool => {
                    may_come_back.extend(last.clone());
                }
                (None, Some(_)) => {
                    self.last_workers.insert(Name::clone(&instance.name), at);
                }
                (None, None) => is_last_unknown |= !standby(&instance.pool),
            }
        }
        if is_last_unknown {
            return;
        }
        for worker in status.terminated.difference(&may_come_back) {
            if self
                .events
                .send(Event::Replaced(Name::clone(worker)))
                .is_err()
            {
                log::debug!("the pool's loop has ended");
            }
        }
    }

    /// Evacuates the workers of instances that are to move, and moves those on which nothing runs.
    async fn relocate(
        &mut self,
        instances: &[Instance],
        blocked: &BTreeSet<Name>,
    ) -> Result<(), Error> {
        let pools = relocate::pools(&self.context);
        let moves =
            self.relocation
                .plan(&self.context, &pools, instances, blocked, &self.evacuations);
        let workers = moves
            .iter()
            .filter_map(|wanted| wanted.instance.worker.clone());
        let workers: BTreeSet<Name> = workers.collect();
        self.evacuations.retain(EvacuationReason::Move, &workers);
        for worker in &workers {
            self.evacuations.begin(worker, EvacuationReason::Move);
        }
        self.evacuations.resend();
        let ready = moves.into_iter().filter(|wanted| {
            let worker = wanted.instance.worker.as_ref();
            worker.is_none_or(|worker| self.evacuations.is_empty(worker))
        });
        let ready: Vec<_> = ready.collect();
        if ready.is_empty() {
            return Ok(());
        }
        let tools = (&mut self.evacuations, &mut self.requests);
        self.relocation.send(&self.context, tools, &ready).await
    }
}
