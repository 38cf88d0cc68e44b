//! An entry's heartbeat, and the parts that run in it.

use crate::{
    clock::Clock,
    control::{ControlSink, ControlView, Table},
    follow::{FEED_WAIT, FeedTiming, follow},
    membership::{
        activity::{Activity, remove_presence},
        elections::{self, Elections},
    },
    observe::Observer,
    watch::Watch,
};
use log::{info, warn};
use parking_lot::Mutex;
use primroseroute_cell::{
    Limits,
    row::{self, Member},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    advice::Advisor,
    rows::{Rows, Txn},
    site::Site,
    worker::Workers,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{MissedTickBehavior, interval, timeout},
};

/// Interval between two heartbeats: a third of the time without one after which an entry counts as
/// dead.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Reads of the change feed of owners and heartbeats.
const CONTROL_FEED_TIMING: FeedTiming = FeedTiming {
    min_interval: Duration::from_millis(100),
    wait: FEED_WAIT,
    full_read_after: None,
};

/// Longest time that the release of all pools may take; what remains then is taken over by timeout.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A heartbeat that takes this long shows that the store is in trouble: a tenth of it is usual.
const SLOW_HEARTBEAT_MS: u64 = 300;

/// Longest time that the last heartbeat may take.
const FINAL_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Times and limits that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Times of the cells.
    pub limits: Limits,
    /// Minimum time between the orders of two holders to one instance.
    pub order_pause: Duration,
    /// Orders to instances that the platform accepts per second from all entries together.
    pub order_rate: f64,
    /// Time within which a configuration must be in force, if the platform sets one.
    pub configuration_bound: Option<Duration>,
    /// Whether pools with too few workers may limit the submissions of client accounts.
    pub admission: bool,
}

/// The components from which an entry is built.
#[derive(Clone, Debug)]
pub struct Components {
    /// Its name.
    pub entry: Name,
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Its CPU in thousandths of a core: strong entries own more.
    pub strength: u32,
    /// Its clocks.
    pub clock: Clock,
    /// Times and limits that the platform sets; changes take effect for a pool at its next
    /// takeover, except for the admission switch, which is read continuously.
    pub bounds: watch::Receiver<Bounds>,
    /// The store.
    pub rows: Arc<dyn Rows>,
    /// The store for the reads of a takeover. Its throttled reads have a backoff of their own: few
    /// entries take a pool over, and nothing runs in the pool until they have read it.
    pub takeover_rows: Arc<dyn Rows>,
    /// The site.
    pub site: Arc<dyn Site>,
    /// Calls to workers.
    pub workers: Arc<dyn Workers>,
    /// The advice service.
    pub advisor: Arc<dyn Advisor>,
    /// What the platform reports.
    pub watch: Watch,
    /// Counts what is done.
    pub observer: Arc<dyn Observer>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    stop: watch::Sender<bool>,
    components: Components,
    leaving: Arc<AtomicBool>,
    active: watch::Receiver<bool>,
    elections: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts heartbeats and elections.
    pub fn spawn(components: Components) -> Self {
        let view = Arc::new(Mutex::new(ControlView::default()));
        let leaving = Arc::new(AtomicBool::new(false));
        let (candidate, is_candidate) = watch::channel(true);
        let (wanted, is_wanted) = watch::channel(false);
        let (active, is_active) = watch::channel(false);
        let activity = Activity::new(
            components.clone(),
            Arc::clone(&view),
            wanted,
            is_active.clone(),
        );
        let participation = Participation {
            components: components.clone(),
            view: Arc::clone(&view),
            leaving: Arc::clone(&leaving),
            candidate: is_candidate,
        };
        let background = vec![
            tokio::spawn(activity.run()),
            tokio::spawn(participation.run(is_active.clone())),
        ];
        let (stop, stopped) = watch::channel(false);
        let activity = elections::Activity {
            wanted: is_wanted,
            active,
        };
        let elections = Elections::new(components.clone(), view, activity, candidate, stopped);
        Self {
            stop,
            components,
            leaving,
            active: is_active,
            elections: tokio::spawn(elections.run()),
            background,
        }
    }

    /// Releases all pools and stops; other entries take them over at once.
    ///
    /// The last heartbeat goes out first: it announces that this entry takes nothing more over, so
    /// that its own pools aren't reserved for it.
    pub async fn stop(self) {
        self.leaving.store(true, Ordering::Relaxed);
        if *self.active.borrow() {
            let heartbeat = write_heartbeat(&self.components, u64::MAX, true);
            match timeout(FINAL_HEARTBEAT_TIMEOUT, heartbeat).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => warn!(error:% = error; "final heartbeat failed"),
                Err(_elapsed) => warn!("final heartbeat timed out"),
            }
        }
        self.stop.send_replace(true);
        if timeout(RELEASE_TIMEOUT, self.elections).await.is_err() {
            warn!("release of pools and groups timed out");
        }
        for task in &self.background {
            task.abort();
        }
        remove_presence(&self.components).await;
    }
}

/// What an active entry does: it writes heartbeats, and follows those of others.
struct Participation {
    components: Components,
    view: Arc<Mutex<ControlView>>,
    leaving: Arc<AtomicBool>,
    candidate: watch::Receiver<bool>,
}

impl Participation {
    /// Participates while this entry is active, until the task is dropped.
    async fn run(self, mut active: watch::Receiver<bool>) {
        while active.wait_for(|active| *active).await.is_ok() {
            let Self {
                components,
                view,
                leaving,
                candidate,
            } = &self;
            let table = Table {
                rows: Arc::clone(&components.rows),
                configuration: components.watch.configuration.clone(),
                candidate: candidate.clone(),
            };
            let sink = ControlSink {
                view: Arc::clone(view),
                clock: components.clock,
                was_interrupted: true,
            };
            let follower = follow(
                "control",
                table,
                sink,
                CONTROL_FEED_TIMING,
                None,
                (Name::clone(&components.entry), components.incarnation),
            );
            let heartbeats =
                send_heartbeats(components.clone(), Arc::clone(view), Arc::clone(leaving));
            tokio::select! {
                ((), ()) = async { tokio::join!(follower, heartbeats) } => {}
                _ = active.wait_for(|active| !*active) => {}
            }
            view.lock().stop_following();
            // Without it the others would wait for the timeout of its heartbeats.
            if let Err(error) = remove_heartbeat(components).await {
                info!(error:% = error; "removing the heartbeat of a passive entry failed");
            }
        }
    }
}

async fn remove_heartbeat(components: &Components) -> Result<(), Error> {
    let txn = Txn {
        deletes: vec![row::member(&components.entry)],
        ..Txn::default()
    };
    components.rows.commit(txn).await.map(drop)
}

async fn write_heartbeat(components: &Components, beat: u64, leaving: bool) -> Result<(), Error> {
    let member = Member {
        incarnation: components.incarnation,
        beat,
        leaving,
        strength: components.strength,
    };
    let value = serde_json::to_vec(&member).expect("a heartbeat has plain fields");
    let txn = Txn {
        puts: vec![(row::member(&components.entry), value.into())],
        ..Txn::default()
    };
    components.rows.commit(txn).await.map(drop)
}

/// Writes the heartbeat until the task is dropped.
async fn send_heartbeats(
    components: Components,
    view: Arc<Mutex<ControlView>>,
    leaving: Arc<AtomicBool>,
) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number = 0;
    let mut failing = false;
    loop {
        ticks.tick().await;
        number += 1;
        let is_leaving = leaving.load(Ordering::Relaxed);
        let begin = components.clock.now();
        match write_heartbeat(&components, number, is_leaving).await {
            Ok(()) => {
                let now = components.clock.now();
                if now < begin + SLOW_HEARTBEAT_MS {
                    view.lock().record_own_heartbeat(now);
                }
                if std::mem::take(&mut failing) {
                    info!("heartbeats work again");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(error:% = error; "heartbeats fail");
                }
            }
        }
    }
}
