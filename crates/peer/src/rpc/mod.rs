//! The link over capnp-rpc on TCP.
//!
//! capnp-rpc's objects are not `Send`, so the link runs on a thread of its own with a
//! current-thread runtime and a `LocalSet`; the handle reaches it through typed channels. Each pair
//! of entries keeps one connection, opened by the entry with the lower name, over which both call
//! each other. Each connection has its own task and bounded queue, so a slow peer delays no other,
//! and a panic over what one peer sent ends only its connection.

mod codec;
mod dial;
mod gate;
mod hub;
mod listen;
mod session;
mod slots;
mod traffic;
mod wire;

use crate::{
    Address, Error, Link as LinkTrait, Local, Slots,
    core::Core,
    pace::Pace,
    proof::Key,
    report::{Identity, Sighting},
};
use async_trait::async_trait;
use hub::Hub;
use primroseroute_domain::change::{Record, Seq};
use std::{fmt, io, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{Notify, mpsc, oneshot, watch},
    task::{LocalSet, spawn_local},
};
use tokio_util::sync::CancellationToken;
use traffic::Totals;

pub use traffic::Traffic;

/// Requests of the entry that wait for the link's thread; further pushes are left to an exchange.
const COMMANDS: usize = 256;

/// Times and bounds of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Deadline of connecting, and of the handshake.
    pub handshake: Duration,
    /// Deadline of a call; a peer that misses it is connected anew.
    pub call: Duration,
    /// Deadline of a pull, which may carry a snapshot.
    pub pull: Duration,
    /// Time without a report after which a session ends.
    pub silent: Duration,
    /// First pause between two tries to reach a peer.
    pub first_pause: Duration,
    /// Longest pause between two tries to reach a peer.
    pub longest_pause: Duration,
    /// Connections without authentication at the same time.
    pub unauthenticated: usize,
    /// Sessions at the same time.
    pub sessions: usize,
    /// Pushes that wait for one peer.
    pub queue: usize,
    /// The pace of exchanges; none for the pace that fits the number of peers.
    pub pace: Option<Pace>,
}

impl Default for Limits {
    /// 2 s are far over a round trip between regions; 13 s are three exchange intervals at 28
    /// entries and a deadline; 64 sessions are two for each of 27 peers and some to spare.
    fn default() -> Self {
        Self {
            handshake: Duration::from_secs(2),
            call: Duration::from_secs(2),
            pull: Duration::from_secs(10),
            silent: Duration::from_secs(13),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(5),
            unauthenticated: 32,
            sessions: 64,
            queue: 64,
            pace: None,
        }
    }
}

/// What a link is bound with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This run of this entry.
    pub identity: Identity,
    /// Where to listen for peers.
    pub listen: SocketAddr,
    /// The key that all entries share.
    pub key: Key,
    /// Peers to connect to at first; this entry's own address among them is harmless.
    pub peers: Vec<Address>,
    /// Times and bounds.
    pub limits: Limits,
}

enum Command {
    Broadcast(Arc<[Record]>),
    Share(Arc<[Slots]>),
    Pull(oneshot::Sender<Result<Seq, Error>>),
}

/// The running link; closing or dropping it ends its thread.
pub struct Link {
    address: SocketAddr,
    core: Arc<Core>,
    totals: Arc<Totals>,
    commands: mpsc::Sender<Command>,
    wanted: watch::Sender<Vec<Address>>,
    refresh: Arc<Notify>,
    stop: CancellationToken,
    stopped: CancellationToken,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = &self.address;
        f.debug_struct("Link")
            .field("address", address)
            .finish_non_exhaustive()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// What the thread is started with; all of it may cross to the thread.
struct Start {
    settings: Settings,
    listener: std::net::TcpListener,
    core: Arc<Core>,
    totals: Arc<Totals>,
    commands: mpsc::Receiver<Command>,
    wanted: watch::Receiver<Vec<Address>>,
    refresh: Arc<Notify>,
    stop: CancellationToken,
}

impl Link {
    /// Listens for peers and starts to connect to them.
    ///
    /// # Errors
    /// Where the address cannot be bound or the thread not started.
    pub fn bind(settings: Settings, local: Arc<dyn Local>) -> io::Result<Arc<Self>> {
        let listener = std::net::TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (commands, received) = mpsc::channel(COMMANDS);
        let (wanted, peers) = watch::channel(settings.peers.clone());
        let link = Arc::new(Self {
            address,
            core: Arc::new(Core::new(local)),
            totals: Arc::default(),
            commands,
            wanted,
            refresh: Arc::default(),
            stop: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        let start = Start {
            settings,
            listener,
            core: Arc::clone(&link.core),
            totals: Arc::clone(&link.totals),
            commands: received,
            wanted: peers,
            refresh: Arc::clone(&link.refresh),
            stop: link.stop.clone(),
        };
        let stopped = link.stopped.clone().drop_guard();
        thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, run(start));
                // Ends every task and closes every socket before the link counts as stopped.
                drop(local);
                drop(runtime);
                drop(stopped);
            })?;
        Ok(link)
    }

    /// Where the link listens; its port is known only now where the settings left it open.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Totals of what the link sent and received.
    pub fn traffic(&self) -> Traffic {
        self.totals.read()
    }
}

async fn run(start: Start) {
    let listener = match TcpListener::from_std(start.listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:%; "peer port cannot be listened on");
            return;
        }
    };
    let Settings {
        identity,
        key,
        limits,
        ..
    } = start.settings;
    let hub = Hub::new(identity, key, limits, start.core, start.totals);
    spawn_local(listen::run(Rc::clone(&hub), listener));
    spawn_local(dial::run(Rc::clone(&hub), start.wanted));
    let mut commands = start.commands;
    loop {
        tokio::select! {
            () = start.stop.cancelled() => return,
            () = start.refresh.notified() => hub.refresh(),
            command = commands.recv() => match command {
                Some(command) => obey(&hub, command),
                None => return,
            },
        }
    }
}

fn obey(hub: &Rc<Hub>, command: Command) {
    match command {
        Command::Broadcast(records) => hub.broadcast(&records),
        Command::Share(pools) => hub.share(&pools),
        Command::Pull(answer) => {
            let hub = Rc::clone(hub);
            spawn_local(async move {
                // The asker may have gone; the view has moved all the same.
                let _ = answer.send(hub.pull().await);
            });
        }
    }
}

#[async_trait]
impl LinkTrait for Link {
    fn broadcast(&self, records: Arc<[Record]>) {
        if self.commands.try_send(Command::Broadcast(records)).is_err() {
            log::debug!("push left to the next exchange");
        }
    }

    fn share(&self, pools: Arc<[Slots]>) {
        if self.commands.try_send(Command::Share(pools)).is_err() {
            log::debug!("what is told about slots is left to the next report");
        }
    }

    fn acknowledge(&self) {
        self.refresh.notify_one();
    }

    fn sightings(&self) -> Vec<Sighting> {
        self.core.sightings()
    }

    fn connect(&self, peers: Vec<Address>) {
        self.wanted.send_replace(peers);
    }

    async fn pull(&self) -> Result<Seq, Error> {
        let (answer, pulled) = oneshot::channel();
        let sent = self.commands.send(Command::Pull(answer)).await;
        match sent {
            Ok(()) => pulled.await.unwrap_or(Err(Error::Closed)),
            Err(_) => Err(Error::Closed),
        }
    }

    async fn close(&self) {
        self.stop.cancel();
        self.stopped.cancelled().await;
    }
}
