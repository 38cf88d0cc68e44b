//! A session with one authenticated peer.

use super::{
    codec::{
        encode_records, fault, read_delta, read_newer, read_records, write_delta, write_newer,
        write_records,
    },
    hub::Hub,
    slots::{read_slots, write_slots},
    traffic::add,
};
use crate::{
    Newer, Slots,
    core::Pushed,
    delta::{Receiver, Sender},
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
const SHARES: usize = 16;

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
    sender: RefCell<Sender>,
    receiver: RefCell<Receiver>,
    /// The newest seq that the peer is known to have.
    known: Cell<Seq>,
    heard: Cell<Instant>,
    remote: RefCell<Option<peer::Client>>,
    pushes: mpsc::Sender<Arc<[Record]>>,
    queue: RefCell<Option<mpsc::Receiver<Arc<[Record]>>>>,
    shares: mpsc::Sender<Arc<[Slots]>>,
    share_queue: RefCell<Option<mpsc::Receiver<Arc<[Slots]>>>>,
    now: Notify,
    pub(super) ended: CancellationToken,
}

/// Runs `call` with a timeout of `deadline`.
async fn within<T>(
    deadline: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    match time::timeout(deadline, call).await {
        Ok(answer) => answer,
        Err(late) => Err(fault(late)),
    }
}

impl Session {
    pub(super) fn new(hub: &Rc<Hub>, peer: Identity, direction: Direction) -> Rc<Self> {
        let (pushes, queue) = mpsc::channel(hub.limits.queue);
        let (shares, share_queue) = mpsc::channel(SHARES);
        Rc::new(Self {
            hub: Rc::downgrade(hub),
            receiver: RefCell::new(Receiver::new(peer.clone())),
            peer,
            direction,
            sender: RefCell::default(),
            known: Cell::default(),
            heard: Cell::new(Instant::now()),
            remote: RefCell::default(),
            pushes,
            queue: RefCell::new(Some(queue)),
            shares,
            share_queue: RefCell::new(Some(share_queue)),
            now: Notify::new(),
            ended: CancellationToken::new(),
        })
    }

    fn hub(&self) -> Result<Rc<Hub>, Error> {
        self.hub
            .upgrade()
            .ok_or_else(|| fault("the link is closed"))
    }

    fn remote(&self) -> Result<peer::Client, Error> {
        let remote = self.remote.borrow().clone();
        remote.ok_or_else(|| fault("the session is not attached"))
    }

    /// The capability that the peer may call.
    pub(super) fn offer(self: &Rc<Self>) -> peer::Client {
        capnp_rpc::new_client(Offer(Rc::clone(self)))
    }

    /// Ends the session and releases the peer's capability, which keeps the connection open.
    pub(super) fn end(&self) {
        self.ended.cancel();
        self.remote.borrow_mut().take();
    }

    /// Queues `records` unless the peer has them or its queue is full; a peer that misses records
    /// learns of it in the next exchange and pulls them.
    pub(super) fn queue(&self, records: &Arc<[Record]>) {
        let has = records
            .last()
            .is_none_or(|last| last.seq <= self.known.get());
        if !has && self.pushes.try_send(Arc::clone(records)).is_err() {
            log::debug!(peer:% = self.peer.entry; "push not queued; peer pulls after the next exchange");
        }
    }

    /// Queues slot reports, unless the queue of a slow peer is full.
    pub(super) fn queue_slots(&self, pools: &Arc<[Slots]>) {
        if self.shares.try_send(Arc::clone(pools)).is_err() {
            log::debug!(peer:% = self.peer.entry; "slot reports not queued for peer");
        }
    }

    /// Sends queued slot reports, in order, until a call fails or the session ends.
    pub(super) async fn run_shares(self: &Rc<Self>) -> Result<(), Error> {
        let queue = self.share_queue.borrow_mut().take();
        let mut queue = queue.ok_or_else(|| fault("the session already runs"))?;
        while let Some(pools) = queue.recv().await {
            let hub = self.hub()?;
            let mut request = self.remote()?.share_request();
            let len = u32::try_from(pools.len()).map_err(fault)?;
            write_slots(request.get().init_pools(len), &pools)?;
            let call = request.send().promise;
            within(hub.limits.call, async { call.await.map(drop) }).await?;
            add(&hub.totals.shares, 1);
        }
        Ok(())
    }

    /// Triggers an immediate exchange.
    pub(super) fn refresh(self: &Rc<Self>) {
        match self.direction {
            Direction::Outbound => self.now.notify_one(),
            Direction::Inbound => {
                let session = Rc::clone(self);
                spawn_local(async move {
                    let hub = session.hub()?;
                    let call = session.remote()?.refresh_request().send().promise;
                    within(hub.limits.call, async { call.await.map(drop) }).await
                });
            }
        }
    }

    fn knows(&self, seq: Seq) {
        self.known.set(self.known.get().max(seq));
    }

    /// Attaches this side of the session to the peer's capability.
    pub(super) async fn attach(self: &Rc<Self>, remote: peer::Client) -> Result<(), Error> {
        let hub = self.hub()?;
        let mut request = remote.attach_request();
        request.get().set_back(self.offer());
        let call = request.send().promise;
        within(hub.limits.call, async { call.await.map(drop) }).await?;
        *self.remote.borrow_mut() = Some(remote);
        Ok(())
    }

    /// Exchanges reports at the scheduled interval until a call fails or the session ends.
    pub(super) async fn run_exchanges(self: &Rc<Self>) -> Result<(), Error> {
        loop {
            let interval = {
                let hub = self.hub()?;
                if hub.is_served_by(&self.peer.entry) {
                    return Ok(());
                }
                within(hub.limits.call, self.exchange(&hub)).await?;
                // Jitter prevents the exchanges of all pairs from synchronizing.
                hub.pace()
                    .interval
                    .mul_f64(0.9 + rand::random::<f64>() / 5.0)
            };
            tokio::select! {
                () = time::sleep(interval) => {}
                () = self.now.notified() => {}
            }
        }
    }

    async fn exchange(self: &Rc<Self>, hub: &Hub) -> Result<(), Error> {
        let mut request = self.remote()?.exchange_request();
        let report = hub.core.own_report();
        let delta = self.sender.borrow_mut().next(&report, hub.pace().loads);
        write_delta(request.get().init_report(), &delta)?;
        let answer = request.send().promise.await?;
        let delta = read_delta(answer.get()?.get_report()?)?;
        self.take_delta(delta)?;
        add(&hub.totals.exchanges, 1);
        Ok(())
    }

    fn take_delta(self: &Rc<Self>, delta: crate::delta::Delta) -> Result<(), Error> {
        let hub = self.hub()?;
        let mut receiver = self.receiver.borrow_mut();
        let report = receiver.apply(delta).map_err(fault)?;
        self.knows(report.seq);
        self.heard.set(Instant::now());
        if hub.core.take_report(report) {
            spawn_local(Rc::clone(self).pull_once());
        }
        Ok(())
    }

    /// Sends queued pushes until a call fails or the session ends.
    pub(super) async fn run_pushes(self: &Rc<Self>) -> Result<(), Error> {
        let queue = self.queue.borrow_mut().take();
        let mut queue = queue.ok_or_else(|| fault("the session already runs"))?;
        while let Some(records) = queue.recv().await {
            let hub = self.hub()?;
            if records
                .last()
                .is_none_or(|last| last.seq <= self.known.get())
            {
                continue;
            }
            let encoded = encode_records(&records, usize::MAX)?;
            let mut request = self.remote()?.push_request();
            let len = u32::try_from(encoded.len()).map_err(fault)?;
            write_records(request.get().init_records(len), &encoded);
            let call = request.send().promise;
            let seq = within(hub.limits.call, async { Ok(call.await?.get()?.get_seq()) }).await?;
            self.knows(Seq(seq));
            add(&hub.totals.pushes, 1);
        }
        Ok(())
    }

    /// Returns once the peer has sent no report for too long.
    ///
    /// A half-open connection, whose peer disappeared without closing it, accepts data until TCP
    /// times out after many minutes. Missing reports end the session within seconds.
    pub(super) async fn run_watch(&self) -> Result<(), Error> {
        loop {
            let deadline = self.heard.get() + self.hub()?.limits.silent;
            if Instant::now() >= deadline {
                return Err(fault("no report from the peer within the time limit"));
            }
            time::sleep_until(deadline).await;
        }
    }

    /// Pulls unless another pull is in progress: with 27 peers ahead, one pull is enough.
    async fn pull_once(self: Rc<Self>) {
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
        let newer = within(hub.limits.pull, newer).await?;
        match &newer {
            Newer::Nothing => {}
            Newer::Records(_) => add(&hub.totals.record_pulls, 1),
            Newer::Snapshot(_) => add(&hub.totals.snapshot_pulls, 1),
        }
        Ok(hub.core.take_newer(newer))
    }
}

/// The server side of a session, called by the peer.
struct Offer(Rc<Session>);

impl peer::Server for Offer {
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
        if let Err(error) = session.take_delta(delta) {
            session.end();
            return Err(error);
        }
        let report = hub.core.own_report();
        let delta = session.sender.borrow_mut().next(&report, hub.pace().loads);
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
            session.knows(last.seq);
        }
        let seq = match hub.core.take_records(records) {
            Pushed::InForce(seq) => seq,
            Pushed::Gap(seq) => {
                spawn_local(Rc::clone(session).pull_once());
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
        let newer = hub.core.newer(Seq(params.get()?.get_after()));
        write_newer(results.get().init_newer(), &newer)
    }

    async fn share(
        self: ServerRc<Self>,
        params: peer::ShareParams,
        _results: peer::ShareResults,
    ) -> Result<(), Error> {
        let session = &self.0;
        let pools = read_slots(&session.peer.entry, params.get()?.get_pools()?)?;
        session.hub()?.core.take_slots(&session.peer.entry, pools);
        Ok(())
    }

    async fn refresh(
        self: ServerRc<Self>,
        _params: peer::RefreshParams,
        _results: peer::RefreshResults,
    ) -> Result<(), Error> {
        self.0.now.notify_one();
        Ok(())
    }
}

/// Placeholder capability if an entry connected to itself and there is no peer to call.
pub(super) struct Nobody;

impl peer::Server for Nobody {}
