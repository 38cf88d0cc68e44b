//! Inbound connections, from peers and unauthenticated clients.

use super::{
    gate::Gate,
    hub::Hub,
    session::Session,
    traffic::add,
    wire::{self, System},
};
use capnp_rpc::rpc_twoparty_capnp::Side;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time,
};

/// Delay after a failed accept, typically for lack of file descriptors, which may soon be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until dropped. Unauthenticated connections beyond the limit are closed
/// immediately, so that a flood of connections holds neither memory nor descriptors; peers retry
/// with backoff until it is over.
pub(super) async fn run(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "accepting a peer connection failed");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if hub.strangers.get() >= hub.limits.unauthenticated {
            add(&hub.totals.refused, 1);
            continue;
        }
        hub.strangers.set(hub.strangers.get() + 1);
        spawn_local(serve(Rc::clone(&hub), stream));
    }
}

/// Counts a connection as unauthenticated until dropped.
struct Stranger(Rc<Hub>);

impl Drop for Stranger {
    fn drop(&mut self) {
        self.0.strangers.set(self.0.strangers.get() - 1);
    }
}

async fn serve(hub: Rc<Hub>, stream: TcpStream) {
    let stranger = Stranger(Rc::clone(&hub));
    // Reports and pushes are small and latency-sensitive, so Nagle's algorithm is disabled.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let opened = Rc::new(RefCell::new(None));
    let settled = Rc::new(Notify::new());
    let allowance = wire::allowance();
    let limit = Rc::clone(&allowance);
    let gate = Gate {
        hub: Rc::clone(&hub),
        allowance: Rc::clone(&allowance),
        nonce: Cell::new(None),
        session: Rc::clone(&opened),
        settled: Rc::clone(&settled),
    };
    let gate = capnp_rpc::new_client(gate);
    let mut system = wire::system(&hub, stream, Side::Server, allowance, Some(gate));
    tokio::select! {
        _ = &mut system => {}
        () = settled.notified() => {}
        () = time::sleep(hub.limits.handshake) => {}
    }
    drop(stranger);
    let session = opened.borrow_mut().take();
    if let Some(session) = session {
        converse(&hub, system, &session).await;
        return;
    }
    if limit.get().is_some() {
        add(&hub.totals.refused, 1);
    }
    wire::end(system).await;
}

async fn converse(hub: &Hub, mut system: System, session: &Rc<Session>) {
    tokio::select! {
        _ = &mut system => {}
        _ = session.run_pushes() => {}
        _ = session.run_shares() => {}
        _ = session.run_watch() => {}
        () = session.ended.cancelled() => {}
    }
    hub.close(session);
    wire::end(system).await;
}
