//! An entry's heartbeat, and the parts that run in it.

use crate::{
    clock::Clock,
    control::{Keeper, Picture, Table},
    elections::Elections,
    follow::{Rhythm, WAIT, follow},
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

/// Time between two heartbeats: a third of the silence after which an entry counts as dead.
const HEARTBEAT: Duration = Duration::from_millis(700);

/// Calls for changes of owners and heartbeats.
const CONTROL_RHYTHM: Rhythm = Rhythm {
    pace: Duration::from_millis(100),
    wait: WAIT,
    read_after: None,
};

/// Longest time that giving up all pools may take; what is left then is taken over by timeout.
const RELEASE: Duration = Duration::from_millis(2_500);

/// A heartbeat that takes this long, in milliseconds, is a sign that the store is in trouble: usual
/// is a tenth of it.
const SLOW_BEAT: u64 = 300;

/// Longest time that the last heartbeat may take.
const FAREWELL: Duration = Duration::from_millis(300);

/// Times that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Times of the cells.
    pub limits: Limits,
    /// Pause between the orders of two holders to one instance.
    pub order_pause: Duration,
    /// Orders to instances that the platform takes a second from all entries together.
    pub order_rate: f64,
}

/// What an entry is given.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Its name.
    pub entry: Name,
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Its processor's share of a core, in thousandths: strong entries own more.
    pub strength: u32,
    /// Its clocks.
    pub clock: Clock,
    /// Times that the platform sets; newer ones are in force for a pool from its next takeover on.
    pub bounds: watch::Receiver<Bounds>,
    /// The store.
    pub rows: Arc<dyn Rows>,
    /// The store as a pool is read from it at a takeover. Its refused reads have a backoff of their own: few entries take a pool over, and
    /// nothing runs in the pool until they have read it.
    pub loads: Arc<dyn Rows>,
    /// The site.
    pub site: Arc<dyn Site>,
    /// The workers' calls.
    pub workers: Arc<dyn Workers>,
    /// The advice service.
    pub advisor: Arc<dyn Advisor>,
    /// What the platform tells.
    pub watch: Watch,
    /// Counts what is done.
    pub observer: Arc<dyn Observer>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    stop: watch::Sender<bool>,
    parts: Parts,
    leaving: Arc<AtomicBool>,
    elections: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts heartbeats and elections.
    pub fn spawn(parts: Parts) -> Self {
        let picture = Arc::new(Mutex::new(Picture::default()));
        let leaving = Arc::new(AtomicBool::new(false));
        let (candidate, is_candidate) = watch::channel(true);
        let table = Table {
            rows: Arc::clone(&parts.rows),
            configuration: parts.watch.configuration.clone(),
            candidate: is_candidate,
        };
        let keeper = Keeper {
            picture: Arc::clone(&picture),
            clock: parts.clock,
            blind: true,
        };
        let background = vec![
            tokio::spawn(follow(
                "control",
                table,
                keeper,
                CONTROL_RHYTHM,
                None,
                (Name::clone(&parts.entry), parts.incarnation),
            )),
            tokio::spawn(beat(
                parts.clone(),
                Arc::clone(&picture),
                Arc::clone(&leaving),
            )),
        ];
        let (stop, stopped) = watch::channel(false);
        let elections = Elections::new(parts.clone(), picture, candidate, stopped);
        Self {
            stop,
            parts,
            leaving,
            elections: tokio::spawn(elections.run()),
            background,
        }
    }

    /// Gives up all pools and stops; other entries take them over at once.
    ///
    /// The last heartbeat goes out first: it says that this entry takes over nothing more, so that
    /// its own pools aren't left to it.
    pub async fn stop(self) {
        self.leaving.store(true, Ordering::Relaxed);
        let farewell = write_beat(&self.parts, u64::MAX, true);
        match timeout(FAREWELL, farewell).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => warn!(error:% = error; "the last heartbeat failed"),
            Err(_elapsed) => warn!("the last heartbeat got no answer in time"),
        }
        self.stop.send_replace(true);
        if timeout(RELEASE, self.elections).await.is_err() {
            warn!("giving up pools took too long");
        }
        for task in &self.background {
            task.abort();
        }
    }
}

async fn write_beat(parts: &Parts, beat: u64, leaving: bool) -> Result<(), Error> {
    let member = Member {
        incarnation: parts.incarnation,
        beat,
        leaving,
        strength: parts.strength,
    };
    let value = serde_json::to_vec(&member).expect("a heartbeat has plain fields");
    let txn = Txn {
        puts: vec![(row::member(&parts.entry), value.into())],
        ..Txn::default()
    };
    parts.rows.commit(txn).await.map(drop)
}

/// Writes the heartbeat until the task is dropped.
async fn beat(parts: Parts, picture: Arc<Mutex<Picture>>, leaving: Arc<AtomicBool>) {
    let mut ticks = interval(HEARTBEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number = 0;
    let mut failing = false;
    loop {
        ticks.tick().await;
        number += 1;
        let is_leaving = leaving.load(Ordering::Relaxed);
        let begin = parts.clock.now();
        match write_beat(&parts, number, is_leaving).await {
            Ok(()) => {
                let now = parts.clock.now();
                if now < begin + SLOW_BEAT {
                    picture.lock().beaten(now);
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
