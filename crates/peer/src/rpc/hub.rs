//! State shared by the sessions of a link, on the link's thread.

use super::{
    Limits,
    session::{Direction, Session},
    traffic::Totals,
};
use crate::{
    Error, SlotReport,
    core::Core,
    peer_table::Superseded,
    proof::Key,
    report::Identity,
    schedule::{self, ExchangeSchedule},
};
use primroseroute_domain::{
    change::{Record, Seq},
    id,
};
use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
};

/// Why an authenticated peer is denied a session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Denied {
    /// It is a previous incarnation of its entry.
    #[error(transparent)]
    Superseded(#[from] Superseded),
    /// The maximum number of sessions is open.
    #[error("too many sessions")]
    Full,
}

pub(super) struct Hub {
    pub(super) identity: Identity,
    pub(super) key: Key,
    pub(super) limits: Limits,
    pub(super) core: Arc<Core>,
    pub(super) totals: Arc<Totals>,
    /// Whether a pull is in progress.
    pub(super) pulling: Cell<bool>,
    /// Number of inbound connections that are not authenticated yet.
    pub(super) unauthenticated: Cell<usize>,
    sessions: RefCell<Vec<Rc<Session>>>,
}

impl Hub {
    pub(super) fn new(
        identity: Identity,
        key: Key,
        limits: Limits,
        core: Arc<Core>,
        totals: Arc<Totals>,
    ) -> Rc<Self> {
        Rc::new(Self {
            identity,
            key,
            limits,
            core,
            totals,
            pulling: Cell::new(false),
            unauthenticated: Cell::new(0),
            sessions: RefCell::default(),
        })
    }

    /// Opens a session and ends those that it replaces: sessions of a previous incarnation, and those
    /// of the same direction, whose connection must be dead if the peer opened another.
    pub(super) fn open(
        self: &Rc<Self>,
        peer: Identity,
        direction: Direction,
    ) -> Result<Rc<Session>, Denied> {
        self.core.admit(&peer)?;
        let replaced = |session: &Rc<Session>| {
            session.peer.entry == peer.entry
                && (session.peer != peer || session.direction == direction)
        };
        let mut sessions = self.sessions.borrow_mut();
        for session in sessions.iter().filter(|session| replaced(session)) {
            session.end();
        }
        sessions.retain(|session| !replaced(session));
        if sessions.len() >= self.limits.max_sessions {
            return Err(Denied::Full);
        }
        let session = Session::new(self, peer, direction);
        sessions.push(Rc::clone(&session));
        Ok(session)
    }

    pub(super) fn close(&self, session: &Rc<Session>) {
        session.end();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|other| !Rc::ptr_eq(other, session));
    }

    /// Whether the peer has the lower name, which takes precedence, and has opened a session to this
    /// entry, so that no outbound session is needed.
    pub(super) fn has_preferred_inbound(&self, peer: &id::Entry) -> bool {
        let sessions = self.sessions.borrow();
        let mut inbound = sessions
            .iter()
            .filter(|session| session.direction == Direction::Inbound);
        *peer < self.identity.entry && inbound.any(|session| session.peer.entry == *peer)
    }

    /// One session for each peer.
    fn peers(&self) -> Vec<Rc<Session>> {
        let sessions = self.sessions.borrow();
        let mut peers = BTreeMap::new();
        for session in sessions.iter() {
            peers
                .entry(session.peer.entry.clone())
                .or_insert_with(|| Rc::clone(session));
        }
        peers.into_values().collect()
    }

    pub(super) fn schedule(&self) -> ExchangeSchedule {
        self.limits
            .schedule
            .unwrap_or_else(|| schedule::for_peers(self.peers().len()))
    }

    pub(super) fn broadcast(&self, records: &Arc<[Record]>) {
        for session in self.peers() {
            session.queue_records(records);
        }
    }

    pub(super) fn send_slot_reports(&self, pools: &Arc<[SlotReport]>) {
        for session in self.peers() {
            session.queue_slot_reports(pools);
        }
    }

    pub(super) fn refresh(&self) {
        for session in self.peers() {
            session.refresh();
        }
    }

    /// Pulls from the peers that are ahead, the furthest first, until one advances the view.
    pub(super) async fn pull(&self) -> Result<Seq, Error> {
        let before = self.core.seq();
        let mut ahead = self.core.latest_reports();
        ahead.retain(|received| received.report.seq > before);
        ahead.sort_by_key(|received| Reverse(received.report.seq));
        let peers = self.peers();
        for received in ahead {
            let session = peers
                .iter()
                .find(|session| session.peer == received.report.from);
            let Some(session) = session else {
                continue;
            };
            match session.pull(self).await {
                Ok(seq) if seq > before => return Ok(seq),
                Ok(_) => {}
                Err(error) => log::debug!(peer:% = session.peer.entry, error:%; "pull failed"),
            }
        }
        // A push or another pull may have advanced the view in the meantime.
        let now = self.core.seq();
        if now > before {
            Ok(now)
        } else {
            Err(Error::NothingNewer)
        }
    }
}
