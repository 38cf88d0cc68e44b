//! Peer links that carry the loads of a busy entry, and workers that are always well.

use async_trait::async_trait;
use eyre::Result;
use primroseroute_controller::Probe;
use primroseroute_domain::{
    change::{Record, Seq},
    id,
};
use primroseroute_entry::{Dial, Dialed};
use primroseroute_peer::{
    LocalEntry, SlotReport, Snapshot,
    memory::Network,
    report::{Identity, Load, Report},
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Joins a network in memory and adds `loads` to each report of the entry.
#[derive(Debug)]
pub(crate) struct Join {
    pub network: Network,
    pub loads: BTreeMap<id::Instance, Load>,
}

impl Dial for Join {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed> {
        let loaded = Loaded {
            local,
            loads: self.loads,
        };
        Ok(Dialed {
            link: self.network.join(identity, Arc::new(loaded)),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        })
    }
}

#[derive(Debug)]
struct Loaded {
    local: Arc<dyn LocalEntry>,
    loads: BTreeMap<id::Instance, Load>,
}

impl LocalEntry for Loaded {
    fn seq(&self) -> Seq {
        self.local.seq()
    }

    fn records_after(&self, seq: Seq) -> Option<Vec<Record>> {
        self.local.records_after(seq)
    }

    fn snapshot(&self) -> Snapshot {
        self.local.snapshot()
    }

    fn apply_records(&self, records: Vec<Record>) -> Seq {
        self.local.apply_records(records)
    }

    fn apply_snapshot(&self, snapshot: Snapshot) -> Seq {
        self.local.apply_snapshot(snapshot)
    }

    fn own_report(&self) -> Report {
        Report {
            loads: self.loads.clone(),
            ..self.local.own_report()
        }
    }

    fn receive_slot_reports(&self, _peer: &id::Entry, _pools: Vec<SlotReport>) {}

    fn receive_report(&self, peer: &id::Entry, report: &Report) {
        self.local.receive_report(peer, report);
    }
}

/// A probe for which every worker is well.
#[derive(Debug)]
pub(crate) struct Well;

#[async_trait]
impl Probe for Well {
    async fn is_healthy(&self, _: SocketAddr) -> bool {
        true
    }
}
