//! A fake entry: a view that advances by records, and the messages it received.

use parking_lot::Mutex;
use primroseroute_domain::{
    change::{Edit, Record, Seq},
    id,
    time::Instant,
};
use primroseroute_flow::report::{Report as FlowReport, Seen};
use primroseroute_peer::{
    LocalEntry, Row, SlotReport, Snapshot,
    report::{Identity, Report},
};
use std::{collections::BTreeMap, sync::Arc};
use uuid::Uuid;

/// Number of records that an entry retains for peers that are behind; others need a snapshot.
pub const RETAINED_RECORDS: u64 = 100;

pub fn entry(name: &str) -> id::Entry {
    name.parse().unwrap()
}

pub fn instance(number: usize) -> id::Instance {
    format!("bole-hall-worker-{number:04}").parse().unwrap()
}

/// An identity with a deterministic incarnation.
pub fn identity(name: &str, incarnation: u128) -> Identity {
    Identity {
        entry: entry(name),
        incarnation: Uuid::from_u128(incarnation),
    }
}

pub fn record(seq: u64) -> Record {
    Record {
        seq: Seq(seq),
        at: Instant(seq),
        actor: "operator:test".into(),
        reason: "test".into(),
        operation: Uuid::from_u128(seq.into()),
        edits: vec![Edit {
            key: format!("instance/{}", seq % 7).into(),
            before: None,
            after: Some(format!("{seq}").into()),
        }],
    }
}

/// A slot report of the entry `name` on a pool: its demand, its loans and the reports it has seen.
pub fn slots(name: &str, number: u64) -> SlotReport {
    SlotReport {
        pool: "stay".parse().unwrap(),
        report: FlowReport {
            entry: entry(name),
            incarnation: u64::MAX,
            seq: number,
            demand: [("stay".parse().unwrap(), 1.0 / 3.0)].into(),
            lent: [(63, entry("z"))].into(),
            seen: [(
                entry("z"),
                Seen {
                    incarnation: 7,
                    seq: 9,
                    returning: vec![0, 63],
                },
            )]
            .into(),
        },
    }
}

pub fn records(from: u64, to: u64) -> Vec<Record> {
    (from..=to).map(record).collect()
}

#[derive(Debug, Default)]
pub struct State {
    pub seq: Seq,
    pub rows: BTreeMap<Arc<str>, Arc<str>>,
    pub retained: Vec<Record>,
    pub reports_created: u64,
    pub report: Option<Report>,
    /// Received slot reports, in order of arrival.
    pub slots: Vec<(id::Entry, SlotReport)>,
    /// Every applied seq, in order.
    pub history: Vec<Seq>,
    pub received_reports: Vec<Report>,
    pub snapshots: u32,
}

#[derive(Debug)]
pub struct Entry {
    pub identity: Identity,
    pub state: Mutex<State>,
}

impl Entry {
    pub fn open(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            identity,
            state: Mutex::default(),
        })
    }

    /// An entry that has applied every change up to `seq`.
    pub fn at(identity: Identity, seq: u64) -> Arc<Self> {
        let entry = Self::open(identity);
        entry.apply_records(records(1, seq));
        entry
    }

    /// Reference implementation: the rows that every entry must have after the changes up to `seq`.
    pub fn rows_at(seq: u64) -> BTreeMap<Arc<str>, Arc<str>> {
        let edits = records(1, seq).into_iter().flat_map(|record| record.edits);
        edits.map(|edit| (edit.key, edit.after.unwrap())).collect()
    }

    /// Asserts that `seq` is applied completely, and that no lower seq ever followed a higher one.
    pub fn assert_at(&self, seq: u64) {
        let state = self.state.lock();
        assert_eq!(state.seq, Seq(seq), "{:?}", self.identity.entry);
        assert_eq!(state.rows, Self::rows_at(seq));
        assert!(state.history.windows(2).all(|pair| pair[0] < pair[1]));
    }
}

impl LocalEntry for Entry {
    fn seq(&self) -> Seq {
        self.state.lock().seq
    }

    fn records_after(&self, seq: Seq) -> Option<Vec<Record>> {
        let state = self.state.lock();
        let retained = state.retained.iter().filter(|record| record.seq > seq);
        let found: Vec<_> = retained.cloned().collect();
        (found.first()?.seq == seq.next()).then_some(found)
    }

    fn snapshot(&self) -> Snapshot {
        let state = self.state.lock();
        let row = |(key, json): (&Arc<str>, &Arc<str>)| Row {
            key: Arc::clone(key),
            json: Arc::clone(json),
        };
        Snapshot {
            seq: state.seq,
            rows: state.rows.iter().map(row).collect(),
        }
    }

    fn receive_slot_reports(&self, peer: &id::Entry, pools: Vec<SlotReport>) {
        let mut state = self.state.lock();
        state
            .slots
            .extend(pools.into_iter().map(|slots| (peer.clone(), slots)));
    }

    /// Intentionally without a check: the link alone must prevent the view from moving backwards.
    fn apply_records(&self, records: Vec<Record>) -> Seq {
        let mut state = self.state.lock();
        for record in records {
            for edit in &record.edits {
                let after = edit.after.clone().unwrap();
                state.rows.insert(Arc::clone(&edit.key), after);
            }
            state.seq = record.seq;
            state.history.push(record.seq);
            state.retained.push(record);
        }
        let oldest = state.seq.0.saturating_sub(RETAINED_RECORDS);
        state.retained.retain(|record| record.seq.0 > oldest);
        state.seq
    }

    fn apply_snapshot(&self, snapshot: Snapshot) -> Seq {
        let mut state = self.state.lock();
        state.seq = snapshot.seq;
        state.history.push(snapshot.seq);
        state.rows = snapshot
            .rows
            .into_iter()
            .map(|row| (row.key, row.json))
            .collect();
        state.retained.clear();
        state.snapshots += 1;
        state.seq
    }

    fn own_report(&self) -> Report {
        let mut state = self.state.lock();
        state.reports_created += 1;
        let mut report = state
            .report
            .clone()
            .unwrap_or_else(|| Report::new(self.identity.clone()));
        report.number = state.reports_created;
        report.seq = state.seq;
        report
    }

    fn receive_report(&self, peer: &id::Entry, report: &Report) {
        assert_eq!(*peer, report.from.entry);
        self.state.lock().received_reports.push(report.clone());
    }
}
