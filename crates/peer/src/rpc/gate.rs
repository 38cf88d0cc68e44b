//! The handshake, on both sides.

use super::{
    codec::{fault, read_identity, write_identity},
    hub::Hub,
    session::{Direction, Session},
    traffic::Allowance,
};
use crate::{
    proof::{Nonce, Side, Statement},
    report::Identity,
};
use capnp::{Error, capability::Rc as ServerRc};
use primroseroute_peer_schema::peer_capnp::{gate, peer};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::sync::Notify;

/// What is answered to all that fails before a caller is authenticated: nothing that helps it.
const REFUSED: &str = "refused";

/// The callee's side of one connection.
pub(super) struct Gate {
    pub(super) hub: Rc<Hub>,
    pub(super) allowance: Allowance,
    /// The nonce given out and not yet used: each is good for one try.
    pub(super) nonce: Cell<Option<Nonce>>,
    pub(super) session: Rc<RefCell<Option<Rc<Session>>>>,
    /// Set off once a session is open, or the caller is refused and the connection to be dropped.
    pub(super) settled: Rc<Notify>,
}

impl Gate {
    /// Checks a caller's proof and opens its session; none for a call from this entry itself.
    fn admit(
        &self,
        caller: &Identity,
        nonce: Nonce,
        proof: &[u8],
    ) -> Result<(Nonce, Option<Rc<Session>>), Error> {
        let refused = || Error::failed(REFUSED.to_owned());
        let own = self.nonce.take().ok_or_else(refused)?;
        let statement = Statement {
            side: Side::Caller,
            callee: own,
            caller: nonce,
            identity: caller,
        };
        if !statement.holds(&self.hub.key, proof) {
            return Err(refused());
        }
        self.allowance.set(None);
        if caller.entry == self.hub.identity.entry {
            return Ok((own, None));
        }
        let session = self
            .hub
            .open(caller.clone(), Direction::Inbound)
            .map_err(fault)?;
        *self.session.borrow_mut() = Some(Rc::clone(&session));
        Ok((own, Some(session)))
    }

    fn answer(
        &self,
        params: &gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let caller = read_identity(params.get_caller()?)?;
        let nonce = Nonce::received(params.get_nonce()?);
        let nonce = nonce.ok_or_else(|| Error::failed(REFUSED.to_owned()))?;
        let (own, session) = self.admit(&caller, nonce, params.get_proof()?)?;
        let statement = Statement {
            side: Side::Callee,
            callee: own,
            caller: nonce,
            identity: &self.hub.identity,
        };
        let mut results = results.get();
        results.set_proof(&statement.prove(&self.hub.key));
        write_identity(results.reborrow().init_callee(), &self.hub.identity);
        if let Some(session) = session {
            results.set_peer(session.offer());
        }
        Ok(())
    }
}

impl gate::Server for Gate {
    async fn challenge(
        self: ServerRc<Self>,
        _params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let nonce = Nonce::fresh();
        self.nonce.set(Some(nonce));
        results.get().set_nonce(&nonce.0);
        Ok(())
    }

    async fn enter(
        self: ServerRc<Self>,
        params: gate::EnterParams,
        results: gate::EnterResults,
    ) -> Result<(), Error> {
        let answered = self.answer(&params, results);
        // An entry that called itself is left to read who answered, and hangs up.
        if answered.is_err() || self.session.borrow().is_some() {
            self.settled.notify_one();
        }
        answered
    }
}

/// What the caller holds after a handshake.
pub(super) struct Entered {
    /// Who the callee proved to be.
    pub(super) callee: Identity,
    /// What it offers; fails on every call where the callee is this entry itself.
    pub(super) peer: peer::Client,
}

/// The caller's side.
pub(super) async fn enter(hub: &Hub, gate: &gate::Client) -> Result<Entered, Error> {
    let challenge = gate.challenge_request().send().promise.await?;
    let callee_nonce = Nonce::received(challenge.get()?.get_nonce()?);
    let callee_nonce = callee_nonce.ok_or_else(|| Error::failed(REFUSED.to_owned()))?;
    let nonce = Nonce::fresh();
    let statement = Statement {
        side: Side::Caller,
        callee: callee_nonce,
        caller: nonce,
        identity: &hub.identity,
    };
    let mut request = gate.enter_request();
    request.get().set_nonce(&nonce.0);
    request.get().set_proof(&statement.prove(&hub.key));
    write_identity(request.get().init_caller(), &hub.identity);
    let answer = request.send().promise.await?;
    let answer = answer.get()?;
    let callee = read_identity(answer.get_callee()?)?;
    let statement = Statement {
        side: Side::Callee,
        identity: &callee,
        ..statement
    };
    // An impostor on a peer's address gets the caller's proof, good for its one nonce, and no more.
    if !statement.holds(&hub.key, answer.get_proof()?) {
        return Err(Error::failed(
            "the callee does not know the shared key".to_owned(),
        ));
    }
    if callee.entry == hub.identity.entry {
        return Ok(Entered {
            callee,
            peer: capnp_rpc::new_client(super::session::Nobody),
        });
    }
    let peer = answer.get_peer()?;
    Ok(Entered { callee, peer })
}
