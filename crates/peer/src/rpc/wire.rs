//! One connection: the socket, its limits and the RPC system on it.

use super::{
    hub::Hub,
    traffic::{Allowance, Meter, UNAUTHENTICATED_BYTES},
};
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use primroseroute_peer_schema::peer_capnp::gate;
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use tokio::{io::split, net::TcpStream, time};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Largest message in bytes: a snapshot of 50,000 rows of 300 bytes, ten times what is planned for.
/// A larger message is a fault of the sender and ends the connection.
const MESSAGE_BYTES: usize = 16 << 20;

/// Bytes of a word, in which the encoding counts.
const WORD: usize = 8;

/// Time that a connection is given to say that it ends.
const FAREWELL: Duration = Duration::from_millis(200);

pub(super) type System = RpcSystem<Side>;

/// A fresh allowance for a connection that is not authenticated yet.
pub(super) fn allowance() -> Allowance {
    Rc::new(Cell::new(Some(UNAUTHENTICATED_BYTES)))
}

/// Puts the RPC system on `stream`, on our `side`, with `gate` as what the other side may call.
pub(super) fn system(
    hub: &Hub,
    stream: TcpStream,
    side: Side,
    allowance: Allowance,
    gate: Option<gate::Client>,
) -> System {
    let meter = Meter {
        stream,
        totals: Arc::clone(&hub.totals),
        allowance,
    };
    let (read, write) = split(meter);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_BYTES / WORD));
    let network = VatNetwork::new(read.compat(), write.compat_write(), side, options);
    RpcSystem::new(Box::new(network), gate.map(|gate| gate.client))
}

/// Ends a connection: calls still open on it fail, and the socket closes.
pub(super) async fn end(mut system: System) {
    let farewell = system.get_disconnector();
    tokio::select! {
        _ = farewell => {}
        _ = &mut system => {}
        () = time::sleep(FAREWELL) => {}
    }
}
