//! Set-up and shutdown of the RPC system on one connection.

use super::{
    hub::Hub,
    traffic::{Allowance, MeteredStream, UNAUTHENTICATED_BYTES},
};
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use primroseroute_peer_schema::peer_capnp::gate;
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use tokio::{io::split, net::TcpStream, time};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Maximum message size in bytes: a snapshot of 50,000 rows of 300 bytes, ten times the planned size.
/// A larger message is a protocol violation and ends the connection.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Size of a word, the unit of the Cap'n Proto encoding, in bytes.
const WORD_BYTES: usize = 8;

/// Timeout of an orderly disconnect.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(200);

pub(super) type System = RpcSystem<Side>;

/// The initial allowance of an unauthenticated connection.
pub(super) fn allowance() -> Allowance {
    Rc::new(Cell::new(Some(UNAUTHENTICATED_BYTES)))
}

/// Creates the RPC system on `stream` for our `side`, with `gate` as the bootstrap capability.
pub(super) fn new_system(
    hub: &Hub,
    stream: TcpStream,
    side: Side,
    allowance: Allowance,
    gate: Option<gate::Client>,
) -> System {
    let metered = MeteredStream {
        stream,
        totals: Arc::clone(&hub.totals),
        allowance,
    };
    let (read, write) = split(metered);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    let network = VatNetwork::new(read.compat(), write.compat_write(), side, options);
    RpcSystem::new(Box::new(network), gate.map(|gate| gate.client))
}

/// Closes a connection; pending calls on it fail.
pub(super) async fn disconnect(mut system: System) {
    let disconnector = system.get_disconnector();
    tokio::select! {
        _ = disconnector => {}
        _ = &mut system => {}
        () = time::sleep(DISCONNECT_TIMEOUT) => {}
    }
}
