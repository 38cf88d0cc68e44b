//! Both sides of the authentication handshake.

use super::{
    codec::{read_identity, rpc_error, write_identity},
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

/// Error text for all failures before a caller is authenticated; discloses no cause.
const REFUSED: &str = "refused";

/// The callee's side of one connection.
pub(super) struct Gate {
    pub(super) hub: Rc<Hub>,
    pub(super) allowance: Allowance,
    /// The issued nonce that is not used yet; each is valid for one attempt.
    pub(super) nonce: Cell<Option<Nonce>>,
    pub(super) session: Rc<RefCell<Option<Rc<Session>>>>,
    /// Notified when a session is open, or when the caller is rejected and the connection must close.
    pub(super) handshake_done: Rc<Notify>,
}

impl Gate {
    /// Verifies a caller's proof and opens its session; no session if the caller is this entry.
    fn authenticate(
        &self,
        caller: &Identity,
        nonce: Nonce,
        proof: &[u8],
    ) -> Result<(Nonce, Option<Rc<Session>>), Error> {
        let rejected = || Error::failed(REFUSED.to_owned());
        let own = self.nonce.take().ok_or_else(rejected)?;
        let statement = Statement {
            side: Side::Caller,
            callee: own,
            caller: nonce,
            identity: caller,
        };
        if !statement.verify(&self.hub.key, proof) {
            return Err(rejected());
        }
        self.allowance.set(None);
        if caller.entry == self.hub.identity.entry {
            return Ok((own, None));
        }
        let session = self
            .hub
            .open(caller.clone(), Direction::Inbound)
            .map_err(rpc_error)?;
        *self.session.borrow_mut() = Some(Rc::clone(&session));
        Ok((own, Some(session)))
    }

    fn respond(
        &self,
        params: &gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let caller = read_identity(params.get_caller()?)?;
        let nonce = Nonce::from_bytes(params.get_nonce()?);
        let nonce = nonce.ok_or_else(|| Error::failed(REFUSED.to_owned()))?;
        let (own, session) = self.authenticate(&caller, nonce, params.get_proof()?)?;
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
            results.set_peer(session.capability());
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
        let nonce = Nonce::random();
        self.nonce.set(Some(nonce));
        results.get().set_nonce(&nonce.0);
        Ok(())
    }

    async fn enter(
        self: ServerRc<Self>,
        params: gate::EnterParams,
        results: gate::EnterResults,
    ) -> Result<(), Error> {
        let result = self.respond(&params, results);
        // If an entry connected to itself, the connection stays open so that the caller can read the
        // callee's identity; the caller then closes it.
        if result.is_err() || self.session.borrow().is_some() {
            self.handshake_done.notify_one();
        }
        result
    }
}

/// Result of a successful handshake on the caller's side.
pub(super) struct HandshakeResult {
    /// The callee's verified identity.
    pub(super) callee: Identity,
    /// The callee's capability; every call fails if the callee is this entry itself.
    pub(super) peer: peer::Client,
}

/// Performs the caller's side of the handshake.
pub(super) async fn enter(hub: &Hub, gate: &gate::Client) -> Result<HandshakeResult, Error> {
    let challenge = gate.challenge_request().send().promise.await?;
    let callee_nonce = Nonce::from_bytes(challenge.get()?.get_nonce()?);
    let callee_nonce = callee_nonce.ok_or_else(|| Error::failed(REFUSED.to_owned()))?;
    let nonce = Nonce::random();
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
    let response = request.send().promise.await?;
    let response = response.get()?;
    let callee = read_identity(response.get_callee()?)?;
    let statement = Statement {
        side: Side::Callee,
        identity: &callee,
        ..statement
    };
    // An impostor on a peer's address learns only the caller's proof, which is valid for one nonce.
    if !statement.verify(&hub.key, response.get_proof()?) {
        return Err(Error::failed(
            "the callee does not know the shared key".to_owned(),
        ));
    }
    if callee.entry == hub.identity.entry {
        return Ok(HandshakeResult {
            callee,
            peer: capnp_rpc::new_client(super::session::UnavailablePeer),
        });
    }
    let peer = response.get_peer()?;
    Ok(HandshakeResult { callee, peer })
}
