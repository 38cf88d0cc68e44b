//! Putting each newer view in force at the gates, and pushing it to the peers.

use crate::core::Core;
use primroseroute_domain::change::Seq;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
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
            push(&core, pushed);
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
fn push(core: &Core, seq: Seq) {
    let Some(link) = core.link.get() else { return };
    let records = core.cell.records_after(seq).unwrap_or_default();
    if !records.is_empty() {
        link.broadcast(records.into());
    }
    link.acknowledge();
}
