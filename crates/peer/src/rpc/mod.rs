//! The link over capnp-rpc on TCP.
//!
//! capnp-rpc's objects are not `Send`, so the link runs on a dedicated thread with a current-thread
//! runtime and a `LocalSet`; the handle communicates with it through typed channels. Each pair of
//! entries maintains one connection, opened by the entry with the lower name, over which both call
//! each other. Each connection has its own task and bounded queue, so a slow peer delays no other,
//! and a panic caused by one peer's messages ends only its connection.

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
    Address, Error, Link as LinkTrait, LocalEntry, SlotReport,
    core::Core,
    proof::Key,
    report::{Identity, ReceivedReport},
    schedule::ExchangeSchedule,
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

/// Capacity of the command queue to the link's thread; further pushes are dropped, and the peers
/// pull the records after the next exchange.
const COMMAND_QUEUE: usize = 256;

/// Timeouts and limits of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Timeout of connecting, and of the handshake.
    pub handshake_timeout: Duration,
    /// Timeout of a call; if a peer exceeds it, the connection is closed and reopened.
    pub call_timeout: Duration,
    /// Timeout of a pull, whose response may be a snapshot.
    pub pull_timeout: Duration,
    /// Time without a report after which a session is closed.
    pub unresponsive_after: Duration,
    /// Initial delay between two attempts to connect to a peer.
    pub initial_retry_delay: Duration,
    /// Maximum delay between two attempts to connect to a peer.
    pub max_retry_delay: Duration,
    /// Maximum number of concurrent unauthenticated inbound connections.
    pub max_unauthenticated: usize,
    /// Maximum number of concurrent sessions.
    pub max_sessions: usize,
    /// Maximum number of queued pushes for one peer.
    pub max_queued_pushes: usize,
    /// The exchange schedule; `None` to derive it from the number of peers.
    pub schedule: Option<ExchangeSchedule>,
}

impl Default for Limits {
    /// 2 s is far above the round-trip time between regions; 13 s is three exchange intervals at 28
    /// entries plus a call timeout; 64 sessions allow two for each of 27 peers plus a reserve.
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(2),
            call_timeout: Duration::from_secs(2),
            pull_timeout: Duration::from_secs(10),
            unresponsive_after: Duration::from_secs(13),
            initial_retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_secs(5),
            max_unauthenticated: 32,
            max_sessions: 64,
            max_queued_pushes: 64,
            schedule: None,
        }
    }
}

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This entry's name and incarnation.
    pub identity: Identity,
    /// The address on which to listen for peers.
    pub listen: SocketAddr,
    /// The key shared by all entries.
    pub key: Key,
    /// Initial peers to connect to; may include this entry's own address.
    pub peers: Vec<Address>,
    /// Timeouts and limits.
    pub limits: Limits,
}

enum Command {
    Broadcast(Arc<[Record]>),
    SendSlotReports(Arc<[SlotReport]>),
    Pull(oneshot::Sender<Result<Seq, Error>>),
}

/// A running link; closing or dropping it stops its thread.
pub struct Link {
    address: SocketAddr,
    core: Arc<Core>,
    totals: Arc<Totals>,
    commands: mpsc::Sender<Command>,
    peer_addresses: watch::Sender<Vec<Address>>,
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

/// Arguments of the link's thread; all of them are `Send`.
struct ThreadArgs {
    settings: Settings,
    listener: std::net::TcpListener,
    core: Arc<Core>,
    totals: Arc<Totals>,
    commands: mpsc::Receiver<Command>,
    peer_addresses: watch::Receiver<Vec<Address>>,
    refresh: Arc<Notify>,
    stop: CancellationToken,
}

impl Link {
    /// Listens for peers and starts connecting to them.
    ///
    /// # Errors
    /// If the address cannot be bound or the thread cannot be started.
    pub fn bind(settings: Settings, local: Arc<dyn LocalEntry>) -> io::Result<Arc<Self>> {
        let listener = std::net::TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (commands, received) = mpsc::channel(COMMAND_QUEUE);
        let (peer_addresses, peers) = watch::channel(settings.peers.clone());
        let link = Arc::new(Self {
            address,
            core: Arc::new(Core::new(local)),
            totals: Arc::default(),
            commands,
            peer_addresses,
            refresh: Arc::default(),
            stop: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        let args = ThreadArgs {
            settings,
            listener,
            core: Arc::clone(&link.core),
            totals: Arc::clone(&link.totals),
            commands: received,
            peer_addresses: peers,
            refresh: Arc::clone(&link.refresh),
            stop: link.stop.clone(),
        };
        let stopped = link.stopped.clone().drop_guard();
        thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, run(args));
                // Ends all tasks and closes all sockets before the link is reported as stopped.
                drop(local);
                drop(runtime);
                drop(stopped);
            })?;
        Ok(link)
    }

    /// The address on which the link listens, with the port assigned if the settings gave port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Totals of what the link sent and received.
    pub fn traffic(&self) -> Traffic {
        self.totals.read()
    }
}

async fn run(args: ThreadArgs) {
    let listener = match TcpListener::from_std(args.listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:%; "registering the peer listener failed");
            return;
        }
    };
    let Settings {
        identity,
        key,
        limits,
        ..
    } = args.settings;
    let hub = Hub::new(identity, key, limits, args.core, args.totals);
    spawn_local(listen::run(Rc::clone(&hub), listener));
    spawn_local(dial::run(Rc::clone(&hub), args.peer_addresses));
    let mut commands = args.commands;
    loop {
        tokio::select! {
            () = args.stop.cancelled() => return,
            () = args.refresh.notified() => hub.refresh(),
            command = commands.recv() => match command {
                Some(command) => execute(&hub, command),
                None => return,
            },
        }
    }
}

fn execute(hub: &Rc<Hub>, command: Command) {
    match command {
        Command::Broadcast(records) => hub.broadcast(&records),
        Command::SendSlotReports(pools) => hub.send_slot_reports(&pools),
        Command::Pull(reply) => {
            let hub = Rc::clone(hub);
            spawn_local(async move {
                // The requester may have stopped waiting; the view has advanced nevertheless.
                let _ = reply.send(hub.pull().await);
            });
        }
    }
}

#[async_trait]
impl LinkTrait for Link {
    fn broadcast(&self, records: Arc<[Record]>) {
        if self.commands.try_send(Command::Broadcast(records)).is_err() {
            log::debug!("push not queued for the link thread; peers pull after the next exchange");
        }
    }

    fn send_slot_reports(&self, pools: Arc<[SlotReport]>) {
        if self
            .commands
            .try_send(Command::SendSlotReports(pools))
            .is_err()
        {
            log::debug!(
                "slot reports not queued for the link thread; superseded by the next reports"
            );
        }
    }

    fn exchange_now(&self) {
        self.refresh.notify_one();
    }

    fn latest_reports(&self) -> Vec<ReceivedReport> {
        self.core.latest_reports()
    }

    fn set_peers(&self, peers: Vec<Address>) {
        self.peer_addresses.send_replace(peers);
    }

    async fn pull(&self) -> Result<Seq, Error> {
        let (reply, pulled) = oneshot::channel();
        let sent = self.commands.send(Command::Pull(reply)).await;
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
