//! Message handling common to both links: peer reports, received records and pulls.

use crate::{
    LocalEntry, Newer, SlotReport,
    peer_table::{PeerTable, Superseded},
    report::{Identity, ReceivedReport, Report},
    selection::{self, Selection},
};
use parking_lot::Mutex;
use primroseroute_domain::{
    change::{Record, Seq},
    id,
};
use std::sync::Arc;
use tokio::time::Instant;

/// Result of handling received records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The applied seq afterwards.
    Applied(Seq),
    /// Records are missing after the contained applied seq and must be pulled.
    Gap(Seq),
}

/// The state shared by the sessions of a link.
///
/// Lock order: `peer_table` is never held while `local` is called.
#[derive(Debug)]
pub(crate) struct Core {
    local: Arc<dyn LocalEntry>,
    peer_table: Mutex<PeerTable>,
    started: Instant,
}

impl Core {
    pub(crate) fn new(local: Arc<dyn LocalEntry>) -> Self {
        Self {
            local,
            peer_table: Mutex::new(PeerTable::default()),
            started: Instant::now(),
        }
    }

    pub(crate) fn seq(&self) -> Seq {
        self.local.seq()
    }

    pub(crate) fn own_report(&self) -> Report {
        self.local.own_report()
    }

    pub(crate) fn admit(&self, peer: &Identity) -> Result<(), Superseded> {
        self.peer_table.lock().admit(peer)
    }

    pub(crate) fn latest_reports(&self) -> Vec<ReceivedReport> {
        self.peer_table
            .lock()
            .latest_reports(self.started.elapsed())
    }

    /// Stores a peer's report. Returns whether it shows a newer view than the applied one.
    pub(crate) fn handle_report(&self, report: &Report) -> bool {
        let kept = self
            .peer_table
            .lock()
            .store_report(report.clone(), self.started.elapsed());
        if kept {
            self.local.receive_report(&report.from.entry, report);
        }
        kept && report.seq > self.local.seq()
    }

    pub(crate) fn handle_records(&self, records: Vec<Record>) -> ReceiveOutcome {
        let applied = self.local.seq();
        match selection::select(applied, records) {
            Selection::Stale => ReceiveOutcome::Applied(applied),
            Selection::Contiguous(records) => {
                ReceiveOutcome::Applied(self.local.apply_records(records))
            }
            Selection::Gap => ReceiveOutcome::Gap(applied),
        }
    }

    /// Forwards a peer's reports on its own slots.
    ///
    /// A report that names an entry other than the peer is dropped: attributed to that entry, it
    /// could lend out slots that the entry itself uses.
    pub(crate) fn handle_slot_reports(&self, peer: &id::Entry, mut pools: Vec<SlotReport>) {
        pools.retain(|slots| slots.report.entry == *peer);
        self.local.receive_slot_reports(peer, pools);
    }

    /// What this entry has beyond `seq`.
    pub(crate) fn newer_than(&self, seq: Seq) -> Newer {
        if self.local.seq() <= seq {
            return Newer::Nothing;
        }
        match self.local.records_after(seq) {
            Some(records) => Newer::Records(records),
            None => Newer::Snapshot(self.local.snapshot()),
        }
    }

    /// Applies the response to a pull and returns the applied seq afterwards.
    pub(crate) fn handle_newer(&self, newer: Newer) -> Seq {
        match newer {
            Newer::Records(records) => match self.handle_records(records) {
                ReceiveOutcome::Applied(seq) | ReceiveOutcome::Gap(seq) => seq,
            },
            Newer::Snapshot(snapshot) if snapshot.seq > self.local.seq() => {
                self.local.apply_snapshot(snapshot)
            }
            Newer::Nothing | Newer::Snapshot(_) => self.local.seq(),
        }
    }
}
