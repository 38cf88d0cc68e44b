//! The entry's side of the peer link, the operators' interface and the controller.

use crate::core::Core;
use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_admin::Local as AdminLocal;
use primroseroute_api::Entry as EntryStatus;
use primroseroute_controller::{Controller, RegisteredEntry, Roster};
use primroseroute_domain::{
    change::{Record, Seq},
    id,
    outcome::Refusal,
};
use primroseroute_flow::pool::QueueDepth;
use primroseroute_ledger::key;
use primroseroute_peer::{
    LocalEntry, Row, SlotReport, Snapshot as Rows, membership::Registration, report::Report,
};
use primroseroute_telemetry::Meter;
use primroseroute_view::Snapshot;
use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

impl LocalEntry for Core {
    fn seq(&self) -> Seq {
        self.cell.current().seq()
    }

    fn records_after(&self, seq: Seq) -> Option<Vec<Record>> {
        self.cell.records_after(seq)
    }

    fn snapshot(&self) -> Rows {
        let snapshot = self.cell.current();
        let row = |(key, json): (&Arc<str>, &Arc<str>)| Row {
            key: Arc::clone(key),
            json: Arc::clone(json),
        };
        Rows {
            seq: snapshot.seq(),
            rows: snapshot.rows().iter().map(row).collect(),
        }
    }

    fn apply_records(&self, records: Vec<Record>) -> Seq {
        if let Some(last) = records.last() {
            self.newest_from_peers
                .fetch_max(last.seq.0, Ordering::Relaxed);
        }
        if let Err(error) = self.cell.apply(&records) {
            log::warn!("applying records from a peer failed: {error}");
        }
        self.cell.current().seq()
    }

    fn apply_snapshot(&self, snapshot: Rows) -> Seq {
        self.newest_from_peers
            .fetch_max(snapshot.seq.0, Ordering::Relaxed);
        let pairs = snapshot.rows.into_iter().map(|row| (row.key, row.json));
        match Snapshot::from_rows(snapshot.seq, pairs) {
            Ok(next) => {
                self.cell.publish_if_newer(next);
            }
            Err(error) => log::warn!("applying a snapshot from a peer failed: {error}"),
        }
        self.cell.current().seq()
    }

    fn own_report(&self) -> Report {
        self.report()
    }

    fn receive_slot_reports(&self, _peer: &id::Entry, pools: Vec<SlotReport>) {
        for SlotReport { pool, report } in pools {
            self.dispatchers.apply_report(&pool, &report);
        }
    }

    fn receive_report(&self, peer: &id::Entry, report: &Report) {
        self.record_peer_report(peer, report);
    }
}

/// The entry's data for the operators' interface.
#[derive(Debug)]
pub(crate) struct OperatorApi {
    core: Arc<Core>,
    meter: Meter,
    /// Queues that were not empty when the metrics were last read, to be set to zero once empty.
    non_empty_queues: Mutex<BTreeSet<Queue>>,
}

/// The queue of one account for one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Queue {
    account: id::Account,
    service: id::Service,
}

impl OperatorApi {
    pub(crate) fn new(core: Arc<Core>, meter: Meter) -> Self {
        Self {
            core,
            meter,
            non_empty_queues: Mutex::default(),
        }
    }

    fn measure_queues(&self) {
        let mut non_empty_queues = self.non_empty_queues.lock();
        for queue in std::mem::take(&mut *non_empty_queues) {
            self.meter.queue_depth(&queue.account, &queue.service, 0);
        }
        for QueueDepth {
            account,
            service,
            waiting,
        } in self.core.dispatchers.queue_depths()
        {
            self.meter.queue_depth(&account, &service, waiting);
            non_empty_queues.insert(Queue { account, service });
        }
    }
}

impl AdminLocal for OperatorApi {
    fn name(&self) -> id::Entry {
        self.core.identity.entry.clone()
    }

    fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    fn in_flight(&self, instance: &id::Instance) -> u32 {
        self.core.dispatchers.in_flight(instance)
    }

    fn entries(&self) -> Vec<EntryStatus> {
        self.core.entries()
    }

    fn controller(&self) -> Option<id::Entry> {
        self.core.controller.get().and_then(Controller::holder)
    }

    fn confirmed(&self) -> Option<Duration> {
        self.core.confirmed()
    }

    fn metrics(&self) -> String {
        self.meter.view(self.core.applied_seq());
        self.measure_queues();
        for (pool, count) in self.core.dispatchers.ejected_counts() {
            self.meter.ejected(&pool, count);
        }
        self.meter.render().unwrap_or_else(|error| {
            log::error!("{error}");
            String::new()
        })
    }
}

#[async_trait]
impl Roster for Core {
    async fn registered_entries(&self) -> Result<Vec<RegisteredEntry>, Refusal> {
        let latest_reports = self.latest_reports();
        let own = self.report();
        let rows = self.ledger.scan::<Registration>(key::ENTRIES).await?;
        let registered_entry = |(_key, row): (_, Registration)| {
            let heard = latest_reports
                .iter()
                .find(|s| s.report.from.incarnation == row.incarnation);
            let is_own = row.incarnation == self.identity.incarnation;
            let report = if is_own {
                Some(own.clone())
            } else {
                heard.map(|s| s.report.clone())
            };
            RegisteredEntry {
                entry: row.name,
                report,
            }
        };
        Ok(rows.into_iter().map(registered_entry).collect())
    }
}
