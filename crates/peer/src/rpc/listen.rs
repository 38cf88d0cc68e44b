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
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until dropped. Unauthenticated connections beyond the limit are closed
/// immediately, so that a flood of connections holds neither memory nor descriptors; peers retry
/// with backoff until it is over.
pub(super) async fn run(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "accepting a peer connection failed");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if hub.unauthenticated.get() >= hub.limits.max_unauthenticated {
            add(&hub.totals.rejected_connections, 1);
            continue;
        }
        hub.unauthenticated.set(hub.unauthenticated.get() + 1);
        spawn_local(serve(Rc::clone(&hub), stream));
    }
}

/// Counts a connection as unauthenticated until dropped.
struct UnauthenticatedGuard(Rc<Hub>);

impl Drop for UnauthenticatedGuard {
    fn drop(&mut self) {
        self.0.unauthenticated.set(self.0.unauthenticated.get() - 1);
    }
}

async fn serve(hub: Rc<Hub>, stream: TcpStream) {
    let guard = UnauthenticatedGuard(Rc::clone(&hub));
    // Reports and pushes are small and latency-sensitive, so Nagle's algorithm is disabled.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let session_slot = Rc::new(RefCell::new(None));
    let handshake_done = Rc::new(Notify::new());
    let allowance = wire::allowance();
    let limit = Rc::clone(&allowance);
    let gate = Gate {
        hub: Rc::clone(&hub),
        allowance: Rc::clone(&allowance),
        nonce: Cell::new(None),
        session: Rc::clone(&session_slot),
        handshake_done: Rc::clone(&handshake_done),
    };
    let gate = capnp_rpc::new_client(gate);
    let mut system = wire::new_system(&hub, stream, Side::Server, allowance, Some(gate));
    tokio::select! {
        _ = &mut system => {}
        () = handshake_done.notified() => {}
        () = time::sleep(hub.limits.handshake_timeout) => {}
    }
    drop(guard);
    let session = session_slot.borrow_mut().take();
    if let Some(session) = session {
        run_session(&hub, system, &session).await;
        return;
    }
    if limit.get().is_some() {
        add(&hub.totals.rejected_connections, 1);
    }
    wire::disconnect(system).await;
}

async fn run_session(hub: &Hub, mut system: System, session: &Rc<Session>) {
    tokio::select! {
        _ = &mut system => {}
        _ = session.run_pushes() => {}
        _ = session.run_slot_reports() => {}
        _ = session.run_report_watchdog() => {}
        () = session.ended.cancelled() => {}
    }
    hub.close(session);
    wire::disconnect(system).await;
}
