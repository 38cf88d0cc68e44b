//! A fake entry with its link over loopback, and a client that uses the protocol directly.

use crate::fake::{Entry, identity, record};
use capnp::{capability::Rc as ServerRc, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use primroseroute_peer::{
    Address, Link as _, LocalEntry as _,
    proof::{Key, Nonce, Side as ProofSide, Statement},
    report::Identity,
    rpc::{Limits, Link, Settings},
};
use primroseroute_peer_schema::peer_capnp::{gate, peer};
use std::{
    cell::Cell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Far longer than any step takes; reached only on failure.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// A deadline that no test reaches.
pub const HOUR: Duration = Duration::from_secs(3600);

pub fn key(byte: u8) -> Key {
    Key::new(&[byte; 32]).unwrap()
}

pub struct Node {
    pub entry: Arc<Entry>,
    pub link: Arc<Link>,
}

pub fn settings(identity: Identity, peers: &[SocketAddr]) -> Settings {
    let address = |socket: &SocketAddr| Address {
        entry: None,
        socket: *socket,
    };
    Settings {
        identity,
        listen: "127.0.0.1:0".parse().unwrap(),
        key: key(1),
        peers: peers.iter().map(address).collect(),
        limits: Limits::default(),
    }
}

impl Node {
    pub fn bind(entry: Arc<Entry>, settings: Settings) -> Self {
        let local = Arc::clone(&entry);
        let link = Link::bind(settings, local).unwrap();
        Self { entry, link }
    }

    /// Binds an entry named `name` that knows `peers`.
    pub fn open(name: &str, peers: &[&Self]) -> Self {
        Self::open_at(Ipv4Addr::LOCALHOST, name, peers)
    }

    /// Like [`Self::open`], at `ip`: a test that binds the port again after the link is closed needs a loopback address
    /// of its own, where no other test is assigned the port meanwhile.
    pub fn open_at(ip: Ipv4Addr, name: &str, peers: &[&Self]) -> Self {
        let peers: Vec<_> = peers.iter().map(|peer| peer.link.address()).collect();
        let identity = identity(name, 1);
        let mut settings = settings(identity.clone(), &peers);
        settings.listen = (ip, 0).into();
        Self::bind(Entry::open(identity), settings)
    }

    /// Waits until this entry has reports from `count` peers.
    pub async fn wait_for_reports(&self, count: usize) {
        wait_until(|| self.link.latest_reports().len() == count).await;
    }

    pub async fn wait_for_seq(&self, seq: u64) {
        wait_until(|| self.entry.state.lock().seq.0 >= seq).await;
        self.entry.assert_at(seq);
    }
}

/// `node` learns the change `seq` from the store and pushes it.
pub fn learn(node: &Node, seq: u64) {
    node.entry.apply_records(vec![record(seq)]);
    node.link.broadcast([record(seq)].into());
}

/// Waits until `done` is true. The result depends on the order of events, not on their duration.
pub async fn wait_until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            time::sleep(Duration::from_millis(2)).await;
        }
    };
    time::timeout(STEP_TIMEOUT, wait)
        .await
        .expect("the condition was not met in time");
}

/// A client connection; `system` ends when the other side closes it.
pub struct Caller {
    pub gate: gate::Client,
    pub system: JoinHandle<Result<(), capnp::Error>>,
}

impl Caller {
    /// Must run within a `LocalSet`.
    pub async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.unwrap();
        let (read, write) = tokio::io::split(stream);
        let options = ReaderOptions::new();
        let network = VatNetwork::new(read.compat(), write.compat_write(), Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate = system.bootstrap(Side::Server);
        Self {
            gate,
            system: spawn_local(system),
        }
    }

    pub async fn challenge(&self) -> Nonce {
        let answer = self.gate.challenge_request().send().promise.await.unwrap();
        Nonce::from_bytes(answer.get().unwrap().get_nonce().unwrap()).unwrap()
    }

    pub async fn enter(
        &self,
        identity: &Identity,
        nonce: Nonce,
        proof: &[u8],
    ) -> Result<peer::Client, capnp::Error> {
        let mut request = self.gate.enter_request();
        request.get().set_nonce(&nonce.0);
        request.get().set_proof(proof);
        let mut caller = request.get().init_caller();
        caller.set_entry(identity.entry.as_str());
        caller.set_incarnation(identity.incarnation.as_bytes());
        let answer = request.send().promise.await?;
        answer.get()?.get_peer()
    }

    /// Enters as `identity` with the right key and attaches `back`.
    pub async fn join(&self, identity: &Identity, back: impl peer::Server) -> peer::Client {
        let callee = self.challenge().await;
        let (nonce, proof) = proof(identity, callee);
        let peer = self.enter(identity, nonce, &proof).await.unwrap();
        let mut request = peer.attach_request();
        request.get().set_back(capnp_rpc::new_client(back));
        request.send().promise.await.unwrap();
        peer
    }

    /// Waits until the other side closes the connection.
    pub async fn wait_closed(self) {
        let ended = time::timeout(STEP_TIMEOUT, self.system).await;
        let _ = ended.expect("the connection stays open").unwrap();
    }
}

/// A valid proof of `identity` for the callee's nonce, and the caller's nonce that it covers.
pub fn proof(identity: &Identity, callee: Nonce) -> (Nonce, [u8; 32]) {
    let own = Nonce([9; 16]);
    let statement = Statement {
        side: ProofSide::Caller,
        callee,
        caller: own,
        identity,
    };
    (own, statement.prove(&key(1)))
}

/// Accepts every caller, with an invalid proof, and counts the calls to its capability.
pub struct Impostor {
    pub calls: Rc<Cell<u32>>,
}

impl gate::Server for Impostor {
    async fn challenge(
        self: ServerRc<Self>,
        _params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_nonce(&[3; 16]);
        Ok(())
    }

    async fn enter(
        self: ServerRc<Self>,
        _params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), capnp::Error> {
        let mut results = results.get();
        results.set_proof(&[4; 32]);
        let mut callee = results.reborrow().init_callee();
        callee.set_entry("z");
        callee.set_incarnation(&[5; 16]);
        let calls = Rc::clone(&self.calls);
        results.set_peer(capnp_rpc::new_client(CountingPeer { calls }));
        Ok(())
    }
}

struct CountingPeer {
    calls: Rc<Cell<u32>>,
}

impl peer::Server for CountingPeer {
    async fn attach(
        self: ServerRc<Self>,
        _params: peer::AttachParams,
        _results: peer::AttachResults,
    ) -> Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        Err(capnp::Error::failed("caught".to_owned()))
    }
}

/// Serves `gate` on one connection until the other side closes it.
pub async fn serve(stream: TcpStream, gate: Impostor) {
    let (read, write) = tokio::io::split(stream);
    let options = ReaderOptions::new();
    let network = VatNetwork::new(read.compat(), write.compat_write(), Side::Server, options);
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let ended = time::timeout(STEP_TIMEOUT, system).await;
    let _ = ended.expect("the connection stays open");
}
