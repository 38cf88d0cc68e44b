//! Reporting the slots of busy pools to the peers.

use crate::core::Core;
use primroseroute_domain::id;
use primroseroute_flow::report::Report;
use primroseroute_peer::{Link, SlotReport};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// Interval between reports; the alternatives for sharing slots were measured with it.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Runs until it is aborted.
pub(crate) async fn run(core: Arc<Core>) {
    let mut known = BTreeSet::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        let Some(link) = core.link.get() else {
            continue;
        };
        let live = core.live_entries();
        // A new peer has missed earlier reports.
        let has_new_peer = !live.is_subset(&known);
        let reports = if has_new_peer {
            core.dispatchers.reports()
        } else {
            core.dispatchers.changed_reports()
        };
        known = live;
        send(link.as_ref(), reports);
    }
}

fn send(link: &dyn Link, reports: BTreeMap<id::Pool, Report>) {
    if reports.is_empty() {
        return;
    }
    let pools = reports
        .into_iter()
        .map(|(pool, report)| SlotReport { pool, report });
    link.send_slot_reports(pools.collect());
}
