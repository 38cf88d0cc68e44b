//! Peer links that report the loads of a busy entry, and a health probe that always succeeds.

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

/// Joins an in-memory network and puts `loads` into each report of the entry.
#[derive(Debug)]
pub(crate) struct LoadedDial {
    pub network: Network,
    pub loads: BTreeMap<id::Instance, Load>,
}

impl Dial for LoadedDial {
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed> {
        let injector = LoadInjector {
            local,
            loads: self.loads,
        };
        Ok(Dialed {
            link: self.network.join(identity, Arc::new(injector)),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        })
    }
}

#[derive(Debug)]
struct LoadInjector {
    local: Arc<dyn LocalEntry>,
    loads: BTreeMap<id::Instance, Load>,
}

impl LocalEntry for LoadInjector {
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

/// A probe that finds every worker healthy.
#[derive(Debug)]
pub(crate) struct AlwaysHealthy;

#[async_trait]
impl Probe for AlwaysHealthy {
    async fn is_healthy(&self, _: SocketAddr) -> bool {
        true
    }
}
