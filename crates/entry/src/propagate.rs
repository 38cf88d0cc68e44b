//! Applying each newer view to the dispatchers, and pushing it to the peers.

use crate::core::Core;
use primroseroute_domain::{
    change::{Edit, Record, Seq},
    id,
    instance::State,
};
use primroseroute_ledger::key;
use primroseroute_view::Snapshot;
use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::sleep;

/// Interval at which the set of live entries is recomputed: no event indicates that a peer has
/// become unresponsive.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until it is aborted.
pub(crate) async fn run(core: Arc<Core>) {
    let mut newest = core.cell.subscribe();
    let mut pushed = Seq(0);
    let mut known_live = BTreeSet::new();
    loop {
        let live = core.live_entries();
        let snapshot = core.cell.current();
        if snapshot.seq() > core.dispatchers.applied_seq() || live != known_live {
            core.dispatchers.apply_view(&snapshot, &live);
            known_live = live;
        }
        if snapshot.seq() > pushed {
            push(&core, &snapshot, pushed);
            pushed = snapshot.seq();
        }
        tokio::select! {
            changed = newest.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = core.roster_changed.notified() => {}
            () = sleep(LIVENESS_INTERVAL) => {}
        }
    }
}

/// Pushes the records after `seq`; peers that are further behind pull.
///
/// A record received from a peer is not forwarded: with N entries, forwarding took N times N pushes
/// for each change, of which only N were useful. The entry that read a record from the store or
/// committed it pushes it to every peer. An entry that this push does not reach learns of the change
/// by its next exchange with any other, which shows a higher seq, and pulls it.
fn push(core: &Core, snapshot: &Snapshot, seq: Seq) {
    let Some(link) = core.link.get() else { return };
    let records = core.cell.records_after(seq);
    let may_drain = may_drain(snapshot, records.as_deref());
    let newest_from_peers = Seq(core.newest_from_peers.load(Ordering::Relaxed));
    let mut own = records.unwrap_or_default();
    own.retain(|record| record.seq > newest_from_peers);
    if !own.is_empty() {
        link.broadcast(own.into());
    }
    if may_drain {
        link.exchange_now();
    }
}

/// Whether `records` may contain a drain, for whose acknowledgement a controller waits.
///
/// Every other change is acknowledged by the regular exchanges: an exchange of every entry with
/// every other for each of the five changes of a restart would, in a wave among 28 entries, alone
/// exceed the budget of 14 KB a second for control traffic.
fn may_drain(snapshot: &Snapshot, records: Option<&[Record]>) -> bool {
    let is_drain = |edit: &Edit| {
        let name = edit.key.strip_prefix(key::INSTANCES);
        let name = name.and_then(|name| name.parse::<id::Instance>().ok());
        let row = name.and_then(|name| snapshot.instances().get(&name));
        row.is_some_and(|row| row.value.state == State::Draining)
    };
    // If the records are no longer available, anything may have changed.
    records.is_none_or(|records| {
        records
            .iter()
            .flat_map(|record| &record.edits)
            .any(is_drain)
    })
}
