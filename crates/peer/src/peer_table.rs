//! The latest report of each peer, and which incarnation of a peer is accepted.

use crate::report::{Identity, ReceivedReport, Report};
use primroseroute_domain::id;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use uuid::Uuid;

/// Past incarnations remembered for each peer: far more than the restarts of one machine while a
/// suspended process of it could still resume.
const MAX_PAST_INCARNATIONS: usize = 16;

/// A previous incarnation of a peer tried to open a session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a later incarnation of `{0}` has been seen")]
pub struct Superseded(pub id::Entry);

#[derive(Clone, Debug)]
struct PeerState {
    current: Uuid,
    past: VecDeque<Uuid>,
    latest: Option<(Report, Duration)>,
}

/// What this entry knows about its peers. Times are since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<id::Entry, PeerState>,
}

impl PeerTable {
    /// Admits an authenticated peer and discards its previous incarnations and their reports.
    ///
    /// A process that was suspended while its machine's name passed to a successor may resume and
    /// report outdated drains and load. A replaced incarnation is therefore never admitted again.
    ///
    /// # Errors
    /// [`Superseded`] if a later incarnation was admitted before.
    pub fn admit(&mut self, peer: &Identity) -> Result<(), Superseded> {
        let Some(state) = self.peers.get_mut(&peer.entry) else {
            let state = PeerState {
                current: peer.incarnation,
                past: VecDeque::new(),
                latest: None,
            };
            self.peers.insert(peer.entry.clone(), state);
            return Ok(());
        };
        if state.current == peer.incarnation {
            return Ok(());
        }
        if state.past.contains(&peer.incarnation) {
            return Err(Superseded(peer.entry.clone()));
        }
        if state.past.len() == MAX_PAST_INCARNATIONS {
            state.past.pop_front();
        }
        state.past.push_back(state.current);
        state.current = peer.incarnation;
        state.latest = None;
        Ok(())
    }

    /// Stores `report` if its sender is admitted and no later report of it is stored. Returns
    /// whether it was stored.
    pub fn store_report(&mut self, report: Report, now: Duration) -> bool {
        let Some(state) = self.peers.get_mut(&report.from.entry) else {
            return false;
        };
        let late = state
            .latest
            .as_ref()
            .is_some_and(|(latest, _)| latest.number >= report.number);
        if state.current != report.from.incarnation || late {
            return false;
        }
        state.latest = Some((report, now));
        true
    }

    /// The latest report of each peer, ordered by name.
    pub fn latest_reports(&self, now: Duration) -> Vec<ReceivedReport> {
        let latest = self
            .peers
            .values()
            .filter_map(|state| state.latest.as_ref());
        latest
            .map(|(report, received_at)| ReceivedReport {
                report: report.clone(),
                age: now.saturating_sub(*received_at),
            })
            .collect()
    }
}
