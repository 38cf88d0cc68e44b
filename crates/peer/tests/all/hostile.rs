//! Unauthenticated clients, impostors and faulty peers on the peer port, with real sockets.

use crate::{
    fake::{Entry, identity},
    local_cases,
    node::{
        Caller, HOUR, Impostor, Node, STEP_TIMEOUT, key, learn, proof, serve, settings, wait_until,
    },
};
use capnp::{Error as RpcError, capability::Rc as ServerRc};
use primroseroute_peer::{Address, Link as _, rpc::Limits};
use primroseroute_peer_schema::peer_capnp::peer;
use std::{cell::Cell, future::pending, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// An entry has a different key. It must receive neither records nor reports nor a name, on
/// connections of either direction, and must not be able to submit any.
async fn wrong_key() {
    let one = identity("a", 1);
    let a = Node::bind(Entry::at(one.clone(), 3), settings(one, &[]));
    let other = identity("b", 1);
    let mut other_key = settings(other.clone(), &[a.link.address()]);
    other_key.key = key(2);
    let b = Node::bind(Entry::at(other, 9), other_key);
    a.link.set_peers(vec![Address {
        entry: None,
        socket: b.link.address(),
    }]);
    wait_until(|| {
        a.link.traffic().rejected_connections >= 2 && b.link.traffic().rejected_connections >= 2
    })
    .await;
    a.entry.assert_at(3);
    b.entry.assert_at(9);
    for node in [&a, &b] {
        assert!(node.link.latest_reports().is_empty());
        assert!(node.entry.state.lock().received_reports.is_empty());
        assert_eq!(
            node.entry.state.lock().reports_created,
            0,
            "no report was created"
        );
    }
}

/// An impostor took over a peer's address and accepts every caller. It cannot prove knowledge of the
/// key for the caller's nonce, so the entry must close the connection, and retry later, without
/// having exposed its side of a session or called anything.
async fn impostor() {
    let a = Node::open("a", &[]);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = listener.local_addr().unwrap();
    a.link.set_peers(vec![Address {
        entry: None,
        socket,
    }]);
    let calls = Rc::new(Cell::new(0));
    for _ in 0..3 {
        let (stream, _) = listener.accept().await.unwrap();
        let gate = Impostor {
            calls: Rc::clone(&calls),
        };
        serve(stream, gate).await;
    }
    assert_eq!(calls.get(), 0);
    assert!(a.link.latest_reports().is_empty());
}

/// An attacker replays a recorded handshake on a connection of its own, and again on the connection
/// on which it was valid once. Both must be rejected, because the nonce differs or is used up.
async fn replay() {
    let a = Node::open("a", &[]);
    let recorded = identity("b", 1);
    let first = Caller::connect(a.link.address()).await;
    let challenge = first.challenge().await;
    let (nonce, good) = proof(&recorded, challenge);
    first.enter(&recorded, nonce, &good).await.unwrap();
    assert!(
        first.enter(&recorded, nonce, &good).await.is_err(),
        "the nonce is used up"
    );

    let second = Caller::connect(a.link.address()).await;
    assert!(
        second.enter(&recorded, nonce, &good).await.is_err(),
        "no challenge was requested"
    );
    second.wait_closed().await;
    let third = Caller::connect(a.link.address()).await;
    third.challenge().await;
    assert!(
        third.enter(&recorded, nonce, &good).await.is_err(),
        "the nonce differs"
    );
    third.wait_closed().await;
    assert_eq!(a.link.traffic().rejected_connections, 2);
}

/// Waits until the other side closes the connection, with or without a final protocol message, which
/// must disclose nothing about the entry.
async fn wait_closed(stream: &mut TcpStream) {
    let mut last = Vec::new();
    let ended = time::timeout(STEP_TIMEOUT, stream.read_to_end(&mut last)).await;
    let _ = ended.expect("the connection stays open");
    let text = String::from_utf8_lossy(&last);
    assert!(!text.contains("instance/") && last.len() < 256, "{text}");
}

/// A port scanner sends malformed data, a message header with a huge size, and more bytes than a
/// handshake takes. Each connection must be closed because of its data, long before any timeout, and
/// peers must be unaffected.
async fn malformed() {
    let one = identity("a", 1);
    let mut long_timeout = settings(one.clone(), &[]);
    long_timeout.limits.handshake_timeout = HOUR;
    let a = Node::bind(Entry::open(one), long_timeout);
    let huge = [0, 0, 0, 0, 0, 0, 0, 0x10];
    // Announces 4 MB, which is below the maximum message size, and sends a small part of it.
    let endless = [&[0, 0, 0, 0, 0, 0, 8, 0][..], &[0; 16_384]].concat();
    for sent in [
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        huge.into(),
        endless,
        vec![0xff; 64],
    ] {
        let mut stream = TcpStream::connect(a.link.address()).await.unwrap();
        let _ = stream.write_all(&sent).await;
        wait_closed(&mut stream).await;
    }
    wait_until(|| a.link.traffic().rejected_connections == 4).await;
    let b = Node::open("b", &[&a]);
    a.wait_for_reports(1).await;
    learn(&b, 1);
    a.wait_for_seq(1).await;
}

/// An entry that allows two unauthenticated connections at a time, each for up to `handshake`.
fn with_connection_limit(handshake: Duration) -> Node {
    let one = identity("a", 1);
    let mut limited = settings(one.clone(), &[]);
    limited.limits.max_unauthenticated = 2;
    limited.limits.handshake_timeout = handshake;
    Node::bind(Entry::open(one), limited)
}

/// Clients open connections and send nothing. Those beyond the limit must be closed immediately, so
/// that a flood holds neither memory nor descriptors; the handshake timeout is too long to do it here.
async fn connections_beyond_limit() {
    let a = with_connection_limit(HOUR);
    let mut idle = Vec::new();
    for _ in 0..3 {
        idle.push(TcpStream::connect(a.link.address()).await.unwrap());
    }
    wait_closed(&mut idle[2]).await;
    assert!(idle[0].try_read(&mut [0]).is_err(), "still open");
    assert!(idle[1].try_read(&mut [0]).is_err(), "still open");
}

/// Clients occupy all unauthenticated connections and send nothing. They must be closed at the
/// handshake timeout, so that a peer that keeps retrying can connect.
async fn idle_connections() {
    let a = with_connection_limit(Duration::from_millis(500));
    let mut idle = Vec::new();
    for _ in 0..2 {
        idle.push(TcpStream::connect(a.link.address()).await.unwrap());
    }
    let b = Node::open("b", &[&a]);
    for stream in &mut idle {
        wait_closed(stream).await;
    }
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
}

/// An entry that does not close sessions for lack of reports.
fn without_report_timeout(name: &str) -> Node {
    let identity = identity(name, 1);
    let mut settings = settings(identity.clone(), &[]);
    settings.limits.unresponsive_after = HOUR;
    Node::bind(Entry::open(identity), settings)
}

/// Never responds to a push.
struct Stuck;

impl peer::Server for Stuck {
    async fn push(
        self: ServerRc<Self>,
        _params: peer::PushParams,
        _results: peer::PushResults,
    ) -> Result<(), RpcError> {
        pending().await
    }
}

/// A peer accepts pushes and never responds, so its queue fills up. The other peers must still receive
/// every change, and the entry must close the connection to the stuck peer at the call timeout.
async fn stuck_peer() {
    let a = without_report_timeout("a");
    let b = Node::open("b", &[&a]);
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
    let stuck = Caller::connect(a.link.address()).await;
    let peer = stuck.join(&identity("c", 1), Stuck).await;
    let burst = 2 * u64::try_from(Limits::default().max_queued_pushes).unwrap();
    for seq in 1..=burst {
        learn(&a, seq);
    }
    b.wait_for_seq(burst).await;
    stuck.wait_closed().await;
    drop(peer);
}

/// A peer's machine disappears without closing the connection, which stays half open and accepts all
/// data. The missing reports must end the session.
async fn half_open() {
    let one = identity("a", 1);
    let mut short_timeout = settings(one.clone(), &[]);
    short_timeout.limits.unresponsive_after = Duration::from_millis(200);
    let a = Node::bind(Entry::open(one), short_timeout);
    let unresponsive = Caller::connect(a.link.address()).await;
    let peer = unresponsive.join(&identity("b", 1), Stuck).await;
    unresponsive.wait_closed().await;
    drop(peer);
}

/// A peer with the key but a faulty version sends an index without a name. The session must end, and
/// no load may be attributed to any instance.
async fn faulty_peer() {
    let a = without_report_timeout("a");
    let faulty = Caller::connect(a.link.address()).await;
    let peer = faulty.join(&identity("b", 1), Stuck).await;
    let mut request = peer.exchange_request();
    let mut loads = request.get().init_report().init_loads(1);
    loads.reborrow().get(0).set_instance(5);
    assert!(request.send().promise.await.is_err());
    faulty.wait_closed().await;
    assert!(a.link.latest_reports().is_empty());
}

local_cases! {
    wrong_key_is_rejected_and_learns_nothing => wrong_key();
    replayed_proof_is_rejected => replay();
    malformed_data_closes_the_connection => malformed();
    unauthenticated_connections_are_bounded => connections_beyond_limit();
    idle_unauthenticated_connections_time_out => idle_connections();
    stuck_peer_does_not_delay_others => stuck_peer();
    half_open_session_ends => half_open();
    faulty_report_ends_the_session => faulty_peer();
    impostor_learns_nothing => impostor();
}
