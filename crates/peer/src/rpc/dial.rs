//! Outbound connections to peers.

use super::{
    codec::fault,
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
enum End {
    /// The address belongs to this entry itself.
    Own,
    /// The session with this peer ended.
    Session(Identity),
}

/// Runs one connection task for each configured address.
pub(super) async fn run(hub: Rc<Hub>, mut wanted: watch::Receiver<Vec<Address>>) {
    let mut tasks: BTreeMap<Address, AbortHandle> = BTreeMap::new();
    loop {
        let now = wanted.borrow_and_update().clone();
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
                let task = spawn_local(keep(Rc::clone(&hub), address.clone()));
                tasks.insert(address, task.abort_handle());
            }
        }
        if wanted.changed().await.is_err() {
            return;
        }
    }
}

/// Maintains a session with the entry at `address`, reconnecting with backoff, until aborted.
async fn keep(hub: Rc<Hub>, address: Address) {
    let limits = hub.limits;
    let mut name = address.entry.clone();
    let mut retry = Retry::new(
        limits.first_pause,
        limits.longest_pause,
        rand::random::<u64>(),
    );
    // The entry with the lower name connects first; the other only if that connection fails.
    if name.as_ref().is_some_and(|name| *name < hub.identity.entry) {
        time::sleep(limits.handshake).await;
    }
    loop {
        if name.as_ref().is_some_and(|name| hub.is_served_by(name)) {
            retry.reset();
            time::sleep(limits.longest_pause).await;
            continue;
        }
        match connect(&hub, &address).await {
            Ok(End::Own) => return,
            Ok(End::Session(peer)) => {
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

async fn connect(hub: &Rc<Hub>, address: &Address) -> Result<End, Error> {
    let handshake = hub.limits.handshake;
    let stream = time::timeout(handshake, TcpStream::connect(address.socket));
    let stream = stream.await.map_err(fault)?.map_err(fault)?;
    stream.set_nodelay(true).map_err(fault)?;
    let allowance = wire::allowance();
    let limit = Rc::clone(&allowance);
    let mut system = wire::system(hub, stream, Side::Client, allowance, None);
    let gate: GateClient = system.bootstrap(Side::Server);
    let entered = tokio::select! {
        ended = &mut system => Err(ended.err().unwrap_or_else(|| fault("the peer closed the connection"))),
        entered = time::timeout(handshake, gate::enter(hub, &gate)) => entered.unwrap_or_else(|late| Err(fault(late))),
    };
    let entered = match entered {
        Ok(entered) => entered,
        Err(error) => {
            wire::end(system).await;
            return Err(error);
        }
    };
    if entered.callee.entry == hub.identity.entry {
        wire::end(system).await;
        if entered.callee == hub.identity {
            return Ok(End::Own);
        }
        log::warn!(address:% = address.socket; "another process uses this entry's name");
        return Err(fault("another process uses this entry's name"));
    }
    limit.set(None);
    let peer = entered.callee.clone();
    let opened = hub.open(entered.callee, Direction::Outbound);
    let ended = match opened {
        Ok(session) => {
            let ended = tokio::select! {
                ended = &mut system => ended,
                ended = converse(&session, entered.peer) => ended,
                () = session.ended.cancelled() => Ok(()),
            };
            hub.close(&session);
            ended
        }
        Err(denied) => Err(fault(denied)),
    };
    wire::end(system).await;
    ended.map(|()| End::Session(peer))
}

async fn converse(
    session: &Rc<Session>,
    peer: primroseroute_peer_schema::peer_capnp::peer::Client,
) -> Result<(), Error> {
    session.attach(peer).await?;
    tokio::select! {
        ended = session.run_exchanges() => ended,
        ended = session.run_pushes() => ended,
        ended = session.run_shares() => ended,
        ended = session.run_watch() => ended,
    }
}
