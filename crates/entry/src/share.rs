//! Telling the peers about the slots of busy pools.

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

/// How often there may be news: the rate at which the ways of sharing slots were measured.
const NEWS: Duration = Duration::from_millis(200);

/// Runs until it is aborted.
pub(crate) async fn run(core: Arc<Core>) {
    let mut known = BTreeSet::new();
    loop {
        sleep(NEWS).await;
        let Some(link) = core.link.get() else {
            continue;
        };
        let live = core.live();
        // A peer that has just come has missed what was told before.
        let has_new_peer = !live.is_subset(&known);
        let reports = if has_new_peer {
            core.gates.reports()
        } else {
            core.gates.news()
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
