//! The link over TCP: complete sessions on loopback, with real sockets and threads.
//!
//! No test asserts a duration: each waits for the expected event, and to check that an event does not
//! occur, it waits for a later one.

use crate::{
    fake::{Entry, RETAINED_RECORDS, entry, identity, records, slots},
    local_cases,
    node::{Caller, Node, STEP_TIMEOUT, learn, proof, settings, wait_until},
};
use primroseroute_domain::change::Seq;
use primroseroute_peer::{Address, Error, Link as _, LocalEntry as _, schedule::ExchangeSchedule};
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Three entries know each other's addresses, two of them twice. Each change must reach all entries,
/// whichever learns it, and each entry must receive reports from the others.
async fn mesh() {
    let a = Node::open("a", &[]);
    let b = Node::open("b", &[&a]);
    let c = Node::open("c", &[&a, &b]);
    let address = |name: &str, node: &Node| Address {
        entry: Some(entry(name)),
        socket: node.link.address(),
    };
    a.link
        .set_peers(vec![address("a", &a), address("b", &b), address("c", &c)]);
    for node in [&a, &b, &c] {
        node.wait_for_reports(2).await;
    }
    for (seq, from) in [(1, &a), (2, &b), (3, &c), (4, &a)] {
        learn(from, seq);
        for node in [&a, &b, &c] {
            node.wait_for_seq(seq).await;
        }
    }
}

/// An entry that starts without a view while the store is down must receive a full view from a peer.
async fn start_up() {
    let one = identity("a", 1);
    let a = Node::bind(
        Entry::at(one.clone(), RETAINED_RECORDS + 50),
        settings(one, &[]),
    );
    let b = Node::open("b", &[&a]);
    assert_eq!(
        b.link.pull().await,
        Err(Error::NothingNewer),
        "no report received yet"
    );
    b.wait_for_seq(RETAINED_RECORDS + 50).await;
    assert_eq!(b.entry.state.lock().snapshots, 1);
    assert_eq!(b.link.traffic().snapshot_pulls, 1);
}

/// A record arrives without its predecessor, and later an older one arrives again. The entry must
/// pull the missing records, in order, and ignore old ones.
async fn gap_and_old() {
    let a = Node::open("a", &[]);
    let b = Node::open("b", &[&a]);
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
    a.entry.apply_records(records(1, 3));
    a.link.broadcast(records(3, 3).into());
    b.wait_for_seq(3).await;
    a.link.broadcast(records(1, 2).into());
    learn(&a, 4);
    b.wait_for_seq(4).await;
}

/// An entry restarts with a new incarnation on the same port. Its peer must reconnect, discard the
/// previous reports, and send it the changes; a proof of the previous incarnation must no longer open
/// a session.
async fn restart() {
    let a = Node::open("a", &[]);
    let b = Node::open_at([127, 0, 0, 2].into(), "b", &[&a]);
    a.wait_for_reports(1).await;
    learn(&a, 1);
    b.wait_for_seq(1).await;
    let listen = b.link.address();
    b.link.close().await;
    for seq in 2..=RETAINED_RECORDS + 9 {
        learn(&a, seq);
    }
    let two = identity("b", 2);
    let mut again = settings(two.clone(), &[a.link.address()]);
    again.listen = listen;
    let b = Node::bind(Entry::open(two.clone()), again);
    b.wait_for_seq(RETAINED_RECORDS + 9).await;
    wait_until(|| {
        a.link
            .latest_reports()
            .iter()
            .any(|seen| seen.report.from == two)
    })
    .await;
    assert_eq!(a.link.latest_reports().len(), 1);

    let caller = Caller::connect(a.link.address()).await;
    let previous = identity("b", 1);
    let (nonce, good) = proof(&previous, caller.challenge().await);
    assert!(caller.enter(&previous, nonce, &good).await.is_err());
}

/// A drain is acknowledged on either side of a connection whose next exchange is an hour away. The
/// acknowledgement must be sent immediately, whichever side opened the connection.
async fn acknowledge() {
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["a", "b"] {
        let identity = identity(name, 1);
        let peers: Vec<_> = nodes.iter().map(|node| node.link.address()).collect();
        let mut slow = settings(identity.clone(), &peers);
        slow.limits.unresponsive_after = Duration::from_secs(7200);
        slow.limits.schedule = Some(ExchangeSchedule {
            interval: Duration::from_secs(3600),
            max_loads: 8,
        });
        nodes.push(Node::bind(Entry::open(identity), slow));
    }
    let (a, b) = (&nodes[0], &nodes[1]);
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
    for (from, to, seq) in [(a, b, 7), (b, a, 8)] {
        from.entry
            .apply_records(records(from.entry.seq().0 + 1, seq));
        from.link.exchange_now();
        wait_until(|| to.link.latest_reports()[0].report.seq >= Seq(seq)).await;
    }
}

/// Two entries have each other's address, so both connect. The entry with the higher name must close
/// its connection once the other has one, or each pair would use the control budget twice.
async fn one_session_a_pair() {
    let open = |name: &str, peers: &[SocketAddr]| {
        let identity = identity(name, 1);
        let mut quick = settings(identity.clone(), peers);
        quick.limits.schedule = Some(ExchangeSchedule {
            interval: Duration::from_millis(1),
            max_loads: 8,
        });
        Node::bind(Entry::open(identity), quick)
    };
    let a = open("a", &[]);
    let b = open("b", &[a.link.address()]);
    wait_until(|| b.link.traffic().exchanges > 0).await;
    a.link.set_peers(vec![Address {
        entry: None,
        socket: b.link.address(),
    }]);
    wait_until(|| a.link.traffic().exchanges > 0).await;
    let exchanges = |node: &Node| node.link.traffic().exchanges;
    let settle = async {
        loop {
            let (own, other) = (exchanges(&b), exchanges(&a));
            wait_until(|| exchanges(&a) >= other + 50).await;
            if exchanges(&b) == own {
                break;
            }
        }
    };
    time::timeout(STEP_TIMEOUT, settle)
        .await
        .expect("both sessions stay open");
}

/// The link is closed while its peers stay up. The entry must not be called any more, and its port
/// must be free for a successor.
async fn closed() {
    let a = Node::open_at([127, 0, 0, 3].into(), "a", &[]);
    let b = Node::open("b", &[&a]);
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
    a.link.close().await;
    let report_count = a.entry.state.lock().received_reports.len();
    learn(&b, 1);
    assert_eq!(a.link.pull().await, Err(Error::Closed));
    std::net::TcpListener::bind(a.link.address()).unwrap();
    assert_eq!(a.entry.state.lock().received_reports.len(), report_count);
    a.entry.assert_at(0);
}

/// Two entries send each other slot reports. Each must arrive complete, bit-exact and in order: if a
/// borrower and a lender decoded it differently, both would use the same slot.
async fn slot_reports() {
    let a = Node::open("a", &[]);
    let b = Node::open("b", &[&a]);
    a.wait_for_reports(1).await;
    b.wait_for_reports(1).await;
    for number in 1..=5 {
        b.link.send_slot_reports([slots("b", number)].into());
        a.link.send_slot_reports([slots("a", number)].into());
        let arrived = |node: &Node| node.entry.state.lock().slots.len() as u64;
        wait_until(|| arrived(&a) == number && arrived(&b) == number).await;
    }
    let expected = |name: &str| {
        (1..=5)
            .map(|n| (entry(name), slots(name, n)))
            .collect::<Vec<_>>()
    };
    assert_eq!(a.entry.state.lock().slots, expected("b"));
    assert_eq!(b.entry.state.lock().slots, expected("a"));
}

local_cases! {
    slot_reports_arrive_complete_and_in_order => slot_reports();
    changes_reach_all_entries => mesh();
    entry_without_a_view_gets_a_snapshot => start_up();
    missing_records_are_pulled_and_old_ones_ignored => gap_and_old();
    restarted_peer_replaces_its_previous_incarnation => restart();
    acknowledgement_is_sent_immediately => acknowledge();
    pair_settles_on_one_session => one_session_a_pair();
    closed_link_makes_no_calls_and_frees_its_port => closed();
}
