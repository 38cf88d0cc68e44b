//! Putting each newer view in force at the gates, and pushing it to the peers.

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

/// How often the set of live entries is looked at again: silence makes no event.
const ROSTER: Duration = Duration::from_secs(1);

/// Runs until it is aborted.
pub(crate) async fn run(core: Arc<Core>) {
    let mut newest = core.cell.subscribe();
    let mut pushed = Seq(0);
    let mut live = BTreeSet::new();
    loop {
        let now_live = core.live();
        let snapshot = core.cell.current();
        if snapshot.seq() > core.gates.in_force() || now_live != live {
            core.gates.sync(&snapshot, &now_live);
            live = now_live;
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
            () = sleep(ROSTER) => {}
        }
    }
}

/// Pushes what came into force after `seq`; peers that are further behind pull.
///
/// A record that a peer sent is not pushed on: with N entries that made N times N pushes of each
/// change, all but N of them for nothing. Who read it from the store or committed it pushes it to
/// every peer. An entry that this push cannot reach learns of the change by its next exchange with
/// any other, which shows a higher seq, and pulls it.
fn push(core: &Core, snapshot: &Snapshot, seq: Seq) {
    let Some(link) = core.link.get() else { return };
    let records = core.cell.records_after(seq);
    let may_drain = may_drain(snapshot, records.as_deref());
    let relayed = Seq(core.relayed.load(Ordering::Relaxed));
    let mut own = records.unwrap_or_default();
    own.retain(|record| record.seq > relayed);
    if !own.is_empty() {
        link.broadcast(own.into());
    }
    if may_drain {
        link.exchange_now();
    }
}

/// Whether there may be a drain among `records`, which a controller waits to see acknowledged.
///
/// Every other change is acknowledged by the exchanges that come anyway: an exchange of every entry
/// with every other for each of the five changes of a restart would alone exceed the 14 KB a second
/// that control may take, in a wave among 28 entries.
fn may_drain(snapshot: &Snapshot, records: Option<&[Record]>) -> bool {
    let drains = |edit: &Edit| {
        let name = edit.key.strip_prefix(key::INSTANCES);
        let name = name.and_then(|name| name.parse::<id::Instance>().ok());
        let row = name.and_then(|name| snapshot.instances().get(&name));
        row.is_some_and(|row| row.value.state == State::Draining)
    };
    // Where the records are no longer known, anything may have changed.
    records.is_none_or(|records| records.iter().flat_map(|record| &record.edits).any(drains))
}
