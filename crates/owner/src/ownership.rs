//! One ownership of a pool, from the takeover to its loss or release.

use crate::{
    clock::Clock,
    commit::CommitSequence,
    control::ControlView,
    entry::Bounds,
    instance_cache::InstanceCache,
    load::{self, Loaded},
    observe::Observer,
    pool_loop::PoolLoop,
    watch::Watch,
};
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_backoff::Retry;
use primroseroute_cell::{Cell, Limits, row};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    advice::Advisor,
    rows::{Commit, Rows, Txn, Version},
    site::Site,
    worker::Workers,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::sync::watch;

/// First and longest delay before failed reads of a takeover are retried.
const LOAD_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// Longest time for which a takeover waits for the registered workers. Without them the pool would
/// seem to need almost none, and its instances would go to others; if they can't be read, cancels
/// must be carried out all the same.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a pool's loop needs.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub entry: Name,
    pub pool: Name,
    pub clock: Clock,
    pub limits: Limits,
    /// Minimum time between the orders of two holders to one instance.
    pub order_pause: Duration,
    /// Orders to instances that the platform accepts per second from all entries together.
    pub order_rate: f64,
    /// Time within which a configuration must be in force, if the platform sets one.
    pub configuration_bound: Option<Duration>,
    /// The current bounds, for those that take effect at once.
    pub bounds: watch::Receiver<Bounds>,
    pub rows: Arc<dyn Rows>,
    /// The store for the reads of a takeover.
    pub takeover_rows: Arc<dyn Rows>,
    pub site: Arc<dyn Site>,
    pub workers: Arc<dyn Workers>,
    pub advisor: Arc<dyn Advisor>,
    pub watch: Watch,
    pub view: Arc<Mutex<ControlView>>,
    pub fleet: Arc<InstanceCache>,
    pub observer: Arc<dyn Observer>,
}

/// How ownership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnershipEnd {
    /// Another entry has taken the pool over.
    Lost,
    /// It was released because this entry stops.
    Released,
}

/// Owns the pool under `token` until it is lost, or `stop` signals to release it.
pub(crate) async fn own(
    context: Context,
    token: Version,
    mut stop: watch::Receiver<bool>,
) -> OwnershipEnd {
    let registered = context.watch.roster.subscribe();
    let load = async {
        tokio::join!(
            load_pool(&context),
            registered.wait_until_read(ROSTER_TIMEOUT)
        )
        .0
    };
    let loaded = tokio::select! {
        biased;
        loaded = load => Some(loaded),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    let Some((cell, loaded)) = loaded else {
        release(&*context.rows, &context.entry, (&context.pool, token), None).await;
        return OwnershipEnd::Released;
    };
    let mut commits = CommitSequence::new(
        Arc::clone(&context.rows),
        context.clock,
        Name::clone(&context.pool),
        token,
        loaded.last_commit,
    );
    let mut pool_loop = PoolLoop::start(context, cell, token, loaded, registered);
    let end_reason = pool_loop.run(&mut commits, &mut stop).await;
    pool_loop.stop();
    end_reason
}

/// Releases a pool or a group of instances, so that another entry takes it over without waiting for
/// a timeout. The caller must send nothing more for it.
///
/// `resting` lists the instances of a group that its next holder may not order yet, with the
/// milliseconds that remain.
pub(crate) async fn release(
    rows: &dyn Rows,
    entry: &Name,
    (name, token): (&Name, Version),
    resting: Option<BTreeMap<Name, u64>>,
) {
    let place = row::owner(name);
    let owner = row::Owner {
        entry: Name::clone(entry),
        incarnation: 0,
        attempt: 0,
        released: true,
        // If it is unknown which instances rest, all of them do, also for this entry when it comes
        // back: without this, it mistook its own release for that of a holder after which nothing
        // rests.
        after: resting.is_none().then(|| Name::clone(entry)),
        resting,
    };
    let value = serde_json::to_vec(&owner).expect("an owner has plain fields");
    let txn = Txn {
        conditions: vec![(place.clone(), token)],
        puts: vec![(place, value.into())],
        deletes: Vec::new(),
    };
    let name = &**name;
    match rows.commit(txn).await {
        Ok(Commit::Committed(_version)) => info!(name; "ownership released"),
        Ok(Commit::Conflict(_rows)) => info!(name; "another entry took over before the release"),
        // A successor waits until this entry's heartbeats have been missing for long enough.
        Err(error) => warn!(name, error:% = error; "release of ownership failed"),
    }
}

/// Retries until the pool has been read.
async fn load_pool(context: &Context) -> (Cell, Loaded) {
    let [first, longest] = LOAD_RETRY_DELAYS;
    let mut retry = Retry::new(first, longest, (&context.entry, &context.pool));
    loop {
        let now = context.clock.now();
        let mut cell = Cell::new(context.limits, now);
        match load::load(
            &*context.takeover_rows,
            &context.pool,
            &mut cell,
            context.clock,
        )
        .await
        {
            Ok(loaded) => {
                let took_ms = context.clock.now() - now;
                info!(pool = &*context.pool, took_ms; "pool loaded");
                return (cell, loaded);
            }
            Err(error) => {
                warn!(pool = &*context.pool, error:% = error; "loading the pool failed");
                retry.sleep().await;
            }
        }
    }
}
