//! Outbound connections to peers.

use super::{
    codec::rpc_error,
    gate,
    hub::Hub,
    session::{Direction, Session},
    wire,
};
use crate::{Address, report::Identity};
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use primroseroute_backoff::Retry;
use primroseroute_peer_schema::peer_capnp::gate::Client as GateClient;
use std::{collections::BTreeMap, rc::Rc};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::{AbortHandle, spawn_local},
    time,
};

/// Result of a connection that was closed without an error.
enum ConnectionEnd {
    /// The address belongs to this entry itself.
    OwnAddress,
    /// The session with this peer ended.
    SessionEnded(Identity),
}

/// Runs one connection task for each configured address.
pub(super) async fn run(hub: Rc<Hub>, mut addresses: watch::Receiver<Vec<Address>>) {
    let mut tasks: BTreeMap<Address, AbortHandle> = BTreeMap::new();
    loop {
        let now = addresses.borrow_and_update().clone();
        tasks.retain(|address, task| {
            let keep = now.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in now {
            let own = address.entry.as_ref() == Some(&hub.identity.entry);
            if !own && !tasks.contains_key(&address) {
                let task = spawn_local(maintain_session(Rc::clone(&hub), address.clone()));
                tasks.insert(address, task.abort_handle());
            }
        }
        if addresses.changed().await.is_err() {
            return;
        }
    }
}

/// Maintains a session with the entry at `address`, reconnecting with backoff, until aborted.
async fn maintain_session(hub: Rc<Hub>, address: Address) {
    let limits = hub.limits;
    let mut name = address.entry.clone();
    let mut retry = Retry::new(
        limits.initial_retry_delay,
        limits.max_retry_delay,
        rand::random::<u64>(),
    );
    // The entry with the lower name connects first; the other only if that connection fails.
    if name.as_ref().is_some_and(|name| *name < hub.identity.entry) {
        time::sleep(limits.handshake_timeout).await;
    }
    loop {
        if name
            .as_ref()
            .is_some_and(|name| hub.has_preferred_inbound(name))
        {
            retry.reset();
            time::sleep(limits.max_retry_delay).await;
            continue;
        }
        match connect(&hub, &address).await {
            Ok(ConnectionEnd::OwnAddress) => return,
            Ok(ConnectionEnd::SessionEnded(peer)) => {
                name = Some(peer.entry);
                retry.reset();
            }
            Err(error) => {
                log::debug!(address:% = address.socket, error:%; "peer connection failed");
            }
        }
        retry.sleep().await;
    }
}

async fn connect(hub: &Rc<Hub>, address: &Address) -> Result<ConnectionEnd, Error> {
    let handshake_timeout = hub.limits.handshake_timeout;
    let stream = time::timeout(handshake_timeout, TcpStream::connect(address.socket));
    let stream = stream.await.map_err(rpc_error)?.map_err(rpc_error)?;
    stream.set_nodelay(true).map_err(rpc_error)?;
    let allowance = wire::allowance();
    let limit = Rc::clone(&allowance);
    let mut system = wire::new_system(hub, stream, Side::Client, allowance, None);
    let gate: GateClient = system.bootstrap(Side::Server);
    let handshake_result = tokio::select! {
        ended = &mut system => Err(ended.err().unwrap_or_else(|| rpc_error("the peer closed the connection"))),
        handshake_result = time::timeout(handshake_timeout, gate::enter(hub, &gate)) => handshake_result.unwrap_or_else(|late| Err(rpc_error(late))),
    };
    let handshake_result = match handshake_result {
        Ok(handshake_result) => handshake_result,
        Err(error) => {
            wire::disconnect(system).await;
            return Err(error);
        }
    };
    if handshake_result.callee.entry == hub.identity.entry {
        wire::disconnect(system).await;
        if handshake_result.callee == hub.identity {
            return Ok(ConnectionEnd::OwnAddress);
        }
        log::warn!(address:% = address.socket; "another process uses this entry's name");
        return Err(rpc_error("another process uses this entry's name"));
    }
    limit.set(None);
    let peer = handshake_result.callee.clone();
    let open_result = hub.open(handshake_result.callee, Direction::Outbound);
    let ended = match open_result {
        Ok(session) => {
            let ended = tokio::select! {
                ended = &mut system => ended,
                ended = run_session(&session, handshake_result.peer) => ended,
                () = session.ended.cancelled() => Ok(()),
            };
            hub.close(&session);
            ended
        }
        Err(denied) => Err(rpc_error(denied)),
    };
    wire::disconnect(system).await;
    ended.map(|()| ConnectionEnd::SessionEnded(peer))
}

async fn run_session(
    session: &Rc<Session>,
    peer: primroseroute_peer_schema::peer_capnp::peer::Client,
) -> Result<(), Error> {
    session.attach(peer).await?;
    tokio::select! {
        ended = session.run_exchanges() => ended,
        ended = session.run_pushes() => ended,
        ended = session.run_slot_reports() => ended,
        ended = session.run_report_watchdog() => ended,
    }
}
