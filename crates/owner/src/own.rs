//! One ownership of a pool, from the takeover to its loss or its release.

use crate::{
    clock::Clock,
    commit::Lane,
    control::Picture,
    fleet::Fleet,
    load::{self, Loaded},
    observe::Observer,
    run::Owned,
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

/// First and longest pause after a takeover's reads have failed.
const LOAD_PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)];

/// Longest wait of a takeover for the registered workers. Without them the pool would seem to need next to none, and its
/// instances would go to others; where they can't be read, cancels are to be carried out all the same.
const WORKERS_WAIT: Duration = Duration::from_secs(1);

/// What a pool's loop needs.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub entry: Name,
    pub pool: Name,
    pub clock: Clock,
    pub limits: Limits,
    /// Pause between the orders of two holders to one instance.
    pub order_pause: Duration,
    /// Orders to instances that the platform takes a second from all entries together.
    pub order_rate: f64,
    pub rows: Arc<dyn Rows>,
    /// The store as a pool is read from it at a takeover.
    pub loads: Arc<dyn Rows>,
    pub site: Arc<dyn Site>,
    pub workers: Arc<dyn Workers>,
    pub advisor: Arc<dyn Advisor>,
    pub watch: Watch,
    pub picture: Arc<Mutex<Picture>>,
    /// The instances.
    pub fleet: Arc<Fleet>,
    pub observer: Arc<dyn Observer>,
}

/// How ownership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    /// Another entry has taken the pool.
    Lost,
    /// It was given up because this entry stops.
    Released,
}

/// Owns the pool under `token` until it is lost, or `stop` says to give it up.
pub(crate) async fn own(context: Context, token: Version, mut stop: watch::Receiver<bool>) -> Over {
    let registered = context.watch.roster.follow();
    let known = async { tokio::join!(load(&context), registered.known(WORKERS_WAIT)).0 };
    let loaded = tokio::select! {
        biased;
        loaded = known => Some(loaded),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    let Some((cell, loaded)) = loaded else {
        release(&*context.rows, &context.entry, (&context.pool, token), None).await;
        return Over::Released;
    };
    let mut lane = Lane::new(
        Arc::clone(&context.rows),
        context.clock,
        Name::clone(&context.pool),
        token,
        loaded.last,
    );
    let mut owned = Owned::start(context, cell, token, loaded, registered);
    let over = owned.run(&mut lane, &mut stop).await;
    owned.end();
    over
}

/// Gives a pool or a group of instances up, so that another entry takes it over without waiting for a
/// timeout. Nothing may be sent for it any more.
///
/// `resting` are the instances of a group that its next holder may not order yet, with the milliseconds that
/// are left.
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
        // Where it isn't known what rests, all of it does, also for this entry when it comes back: without this, it took its
        // own release for that of a holder after which nothing rests.
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
        Ok(Commit::Committed(_version)) => info!(name; "given up"),
        Ok(Commit::Conflict(_rows)) => info!(name; "taken by another entry before it was given up"),
        // A successor waits until this entry's heartbeat has stopped for long enough.
        Err(error) => warn!(name, error:% = error; "giving up failed"),
    }
}

/// Reads until it succeeds.
async fn load(context: &Context) -> (Cell, Loaded) {
    let [first, longest] = LOAD_PAUSES;
    let mut retry = Retry::new(first, longest, (&context.entry, &context.pool));
    loop {
        let now = context.clock.now();
        let mut cell = Cell::new(context.limits, now);
        match load::load(&*context.loads, &context.pool, &mut cell, context.clock).await {
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
