//! A session with one authenticated peer.

use super::{
    codec::{
        encode_records, read_delta, read_newer, read_records, rpc_error, write_delta, write_newer,
        write_records,
    },
    hub::Hub,
    slots::{read_slots, write_slots},
    traffic::add,
};
use crate::{
    Newer, SlotReport,
    core::ReceiveOutcome,
    delta::{Decoder, Encoder},
    report::Identity,
};
use capnp::{Error, capability::Rc as ServerRc};
use primroseroute_domain::change::{Record, Seq};
use primroseroute_peer_schema::peer_capnp::peer;
use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Capacity of the slot report queue of one peer: at five messages a second, this covers more than
/// the duration of a call.
const SLOT_REPORT_QUEUE: usize = 16;

/// Which side opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// The peer, which initiates the exchanges.
    Inbound,
    /// This entry, which initiates the exchanges.
    Outbound,
}

/// The state of a session. It ends when its connection is dropped; cancelling `ended` drops the
/// connection.
pub(super) struct Session {
    hub: Weak<Hub>,
    pub(super) peer: Identity,
    pub(super) direction: Direction,
    encoder: RefCell<Encoder>,
    decoder: RefCell<Decoder>,
    /// The newest seq that the peer is known to have.
    peer_seq: Cell<Seq>,
    last_report: Cell<Instant>,
    remote: RefCell<Option<peer::Client>>,
    pushes: mpsc::Sender<Arc<[Record]>>,
    push_queue: RefCell<Option<mpsc::Receiver<Arc<[Record]>>>>,
    slot_reports: mpsc::Sender<Arc<[SlotReport]>>,
    slot_report_queue: RefCell<Option<mpsc::Receiver<Arc<[SlotReport]>>>>,
    exchange_now: Notify,
    pub(super) ended: CancellationToken,
}

/// Runs `call` with a timeout of `deadline`.
async fn with_timeout<T>(
    deadline: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    match time::timeout(deadline, call).await {
        Ok(response) => response,
        Err(late) => Err(rpc_error(late)),
    }
}

impl Session {
    pub(super) fn new(hub: &Rc<Hub>, peer: Identity, direction: Direction) -> Rc<Self> {
        let (pushes, queue) = mpsc::channel(hub.limits.max_queued_pushes);
        let (slot_reports, slot_report_queue) = mpsc::channel(SLOT_REPORT_QUEUE);
        Rc::new(Self {
            hub: Rc::downgrade(hub),
            decoder: RefCell::new(Decoder::new(peer.clone())),
            peer,
            direction,
            encoder: RefCell::default(),
            peer_seq: Cell::default(),
            last_report: Cell::new(Instant::now()),
            remote: RefCell::default(),
            pushes,
            push_queue: RefCell::new(Some(queue)),
            slot_reports,
            slot_report_queue: RefCell::new(Some(slot_report_queue)),
            exchange_now: Notify::new(),
            ended: CancellationToken::new(),
        })
    }

    fn hub(&self) -> Result<Rc<Hub>, Error> {
        self.hub
            .upgrade()
            .ok_or_else(|| rpc_error("the link is closed"))
    }

    fn remote(&self) -> Result<peer::Client, Error> {
        let remote = self.remote.borrow().clone();
        remote.ok_or_else(|| rpc_error("the session is not attached"))
    }

    /// The capability that the peer may call.
    pub(super) fn capability(self: &Rc<Self>) -> peer::Client {
        capnp_rpc::new_client(SessionServer(Rc::clone(self)))
    }

    /// Ends the session and releases the peer's capability, which keeps the connection open.
    pub(super) fn end(&self) {
        self.ended.cancel();
        self.remote.borrow_mut().take();
    }

    /// Queues `records` unless the peer has them or its queue is full; a peer that misses records
    /// learns of it in the next exchange and pulls them.
    pub(super) fn queue_records(&self, records: &Arc<[Record]>) {
        let has = records
            .last()
            .is_none_or(|last| last.seq <= self.peer_seq.get());
        if !has && self.pushes.try_send(Arc::clone(records)).is_err() {
            log::debug!(peer:% = self.peer.entry; "push not queued; peer pulls after the next exchange");
        }
    }

    /// Queues slot reports, unless the queue of a slow peer is full.
    pub(super) fn queue_slot_reports(&self, pools: &Arc<[SlotReport]>) {
        if self.slot_reports.try_send(Arc::clone(pools)).is_err() {
            log::debug!(peer:% = self.peer.entry; "slot reports not queued for peer");
        }
    }

    /// Sends queued slot reports, in order, until a call fails or the session ends.
    pub(super) async fn run_slot_reports(self: &Rc<Self>) -> Result<(), Error> {
        let queue = self.slot_report_queue.borrow_mut().take();
        let mut queue = queue.ok_or_else(|| rpc_error("the session already runs"))?;
        while let Some(pools) = queue.recv().await {
            let hub = self.hub()?;
            let mut request = self.remote()?.share_request();
            let len = u32::try_from(pools.len()).map_err(rpc_error)?;
            write_slots(request.get().init_pools(len), &pools)?;
            let call = request.send().promise;
            with_timeout(hub.limits.call_timeout, async { call.await.map(drop) }).await?;
            add(&hub.totals.slot_messages, 1);
        }
        Ok(())
    }

    /// Triggers an immediate exchange.
    pub(super) fn refresh(self: &Rc<Self>) {
        match self.direction {
            Direction::Outbound => self.exchange_now.notify_one(),
            Direction::Inbound => {
                let session = Rc::clone(self);
                spawn_local(async move {
                    let hub = session.hub()?;
                    let call = session.remote()?.refresh_request().send().promise;
                    with_timeout(hub.limits.call_timeout, async { call.await.map(drop) }).await
                });
            }
        }
    }

    fn note_peer_seq(&self, seq: Seq) {
        self.peer_seq.set(self.peer_seq.get().max(seq));
    }

    /// Attaches this side of the session to the peer's capability.
    pub(super) async fn attach(self: &Rc<Self>, remote: peer::Client) -> Result<(), Error> {
        let hub = self.hub()?;
        let mut request = remote.attach_request();
        request.get().set_back(self.capability());
        let call = request.send().promise;
        with_timeout(hub.limits.call_timeout, async { call.await.map(drop) }).await?;
        *self.remote.borrow_mut() = Some(remote);
        Ok(())
    }

    /// Exchanges reports at the scheduled interval until a call fails or the session ends.
    pub(super) async fn run_exchanges(self: &Rc<Self>) -> Result<(), Error> {
        loop {
            let interval = {
                let hub = self.hub()?;
                if hub.has_preferred_inbound(&self.peer.entry) {
                    return Ok(());
                }
                with_timeout(hub.limits.call_timeout, self.exchange(&hub)).await?;
                // Jitter prevents the exchanges of all pairs from synchronizing.
                hub.schedule()
                    .interval
                    .mul_f64(0.9 + rand::random::<f64>() / 5.0)
            };
            tokio::select! {
                () = time::sleep(interval) => {}
                () = self.exchange_now.notified() => {}
            }
        }
    }

    async fn exchange(self: &Rc<Self>, hub: &Hub) -> Result<(), Error> {
        let mut request = self.remote()?.exchange_request();
        let report = hub.core.own_report();
        let delta = self
            .encoder
            .borrow_mut()
            .encode(&report, hub.schedule().max_loads);
        write_delta(request.get().init_report(), &delta)?;
        let response = request.send().promise.await?;
        let delta = read_delta(response.get()?.get_report()?)?;
        self.receive_delta(delta)?;
        add(&hub.totals.exchanges, 1);
        Ok(())
    }

    fn receive_delta(self: &Rc<Self>, delta: crate::delta::Delta) -> Result<(), Error> {
        let hub = self.hub()?;
        let mut decoder = self.decoder.borrow_mut();
        let report = decoder.apply(delta).map_err(rpc_error)?;
        self.note_peer_seq(report.seq);
        self.last_report.set(Instant::now());
        if hub.core.handle_report(report) {
            spawn_local(Rc::clone(self).pull_if_idle());
        }
        Ok(())
    }

    /// Sends queued pushes until a call fails or the session ends.
    pub(super) async fn run_pushes(self: &Rc<Self>) -> Result<(), Error> {
        let queue = self.push_queue.borrow_mut().take();
        let mut queue = queue.ok_or_else(|| rpc_error("the session already runs"))?;
        while let Some(records) = queue.recv().await {
            let hub = self.hub()?;
            if records
                .last()
                .is_none_or(|last| last.seq <= self.peer_seq.get())
            {
                continue;
            }
            let encoded = encode_records(&records, usize::MAX)?;
            let mut request = self.remote()?.push_request();
            let len = u32::try_from(encoded.len()).map_err(rpc_error)?;
            write_records(request.get().init_records(len), &encoded);
            let call = request.send().promise;
            let seq = with_timeout(hub.limits.call_timeout, async {
                Ok(call.await?.get()?.get_seq())
            })
            .await?;
            self.note_peer_seq(Seq(seq));
            add(&hub.totals.pushes, 1);
        }
        Ok(())
    }

    /// Returns once the peer has sent no report for too long.
    ///
    /// A half-open connection, whose peer disappeared without closing it, accepts data until TCP
    /// times out after many minutes. Missing reports end the session within seconds.
    pub(super) async fn run_report_watchdog(&self) -> Result<(), Error> {
        loop {
            let deadline = self.last_report.get() + self.hub()?.limits.unresponsive_after;
            if Instant::now() >= deadline {
                return Err(rpc_error("no report from the peer within the time limit"));
            }
            time::sleep_until(deadline).await;
        }
    }

    /// Pulls unless another pull is in progress: with 27 peers ahead, one pull is enough.
    async fn pull_if_idle(self: Rc<Self>) {
        let Ok(hub) = self.hub() else {
            return;
        };
        if hub.pulling.replace(true) {
            return;
        }
        let pulled = self.pull(&hub).await;
        hub.pulling.set(false);
        if let Err(error) = pulled {
            log::debug!(peer:% = self.peer.entry, error:%; "pull failed");
        }
    }

    /// Pulls what the peer has beyond the applied seq.
    pub(super) async fn pull(&self, hub: &Hub) -> Result<Seq, Error> {
        let mut request = self.remote()?.pull_request();
        request.get().set_after(hub.core.seq().0);
        let call = request.send().promise;
        let newer = async { read_newer(call.await?.get()?.get_newer()?) };
        let newer = with_timeout(hub.limits.pull_timeout, newer).await?;
        match &newer {
            Newer::Nothing => {}
            Newer::Records(_) => add(&hub.totals.record_pulls, 1),
            Newer::Snapshot(_) => add(&hub.totals.snapshot_pulls, 1),
        }
        Ok(hub.core.handle_newer(newer))
    }
}

/// The server side of a session, called by the peer.
struct SessionServer(Rc<Session>);

impl peer::Server for SessionServer {
    async fn attach(
        self: ServerRc<Self>,
        params: peer::AttachParams,
        _results: peer::AttachResults,
    ) -> Result<(), Error> {
        if !self.0.ended.is_cancelled() {
            *self.0.remote.borrow_mut() = Some(params.get()?.get_back()?);
        }
        Ok(())
    }

    async fn exchange(
        self: ServerRc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let session = &self.0;
        let hub = session.hub()?;
        let delta = read_delta(params.get()?.get_report()?)?;
        if let Err(error) = session.receive_delta(delta) {
            session.end();
            return Err(error);
        }
        let report = hub.core.own_report();
        let delta = session
            .encoder
            .borrow_mut()
            .encode(&report, hub.schedule().max_loads);
        write_delta(results.get().init_report(), &delta)
    }

    async fn push(
        self: ServerRc<Self>,
        params: peer::PushParams,
        mut results: peer::PushResults,
    ) -> Result<(), Error> {
        let session = &self.0;
        let hub = session.hub()?;
        let records = read_records(params.get()?.get_records()?)?;
        if let Some(last) = records.last() {
            session.note_peer_seq(last.seq);
        }
        let seq = match hub.core.handle_records(records) {
            ReceiveOutcome::Applied(seq) => seq,
            ReceiveOutcome::Gap(seq) => {
                spawn_local(Rc::clone(session).pull_if_idle());
                seq
            }
        };
        results.get().set_seq(seq.0);
        Ok(())
    }

    async fn pull(
        self: ServerRc<Self>,
        params: peer::PullParams,
        mut results: peer::PullResults,
    ) -> Result<(), Error> {
        let hub = self.0.hub()?;
        let newer = hub.core.newer_than(Seq(params.get()?.get_after()));
        write_newer(results.get().init_newer(), &newer)
    }

    async fn share(
        self: ServerRc<Self>,
        params: peer::ShareParams,
        _results: peer::ShareResults,
    ) -> Result<(), Error> {
        let session = &self.0;
        let pools = read_slots(&session.peer.entry, params.get()?.get_pools()?)?;
        session
            .hub()?
            .core
            .handle_slot_reports(&session.peer.entry, pools);
        Ok(())
    }

    async fn refresh(
        self: ServerRc<Self>,
        _params: peer::RefreshParams,
        _results: peer::RefreshResults,
    ) -> Result<(), Error> {
        self.0.exchange_now.notify_one();
        Ok(())
    }
}

/// Placeholder capability if an entry connected to itself and there is no peer to call.
pub(super) struct UnavailablePeer;

impl peer::Server for UnavailablePeer {}
