//! Workers, and the platform's list of the machines that they run on.

use crate::{
    http::{self, Handler, Reply, Request},
    json::{Json, map, n, s},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOLD_MAX_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
const SHOW_MS: u64 = 300;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The kind of all workers at their start.
pub const KIND: &str = "kind-a";

struct Run {
    run: u64,
    started: Instant,
    lasts: bool,
    takes: Duration,
    stopped: Option<Instant>,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    /// For each task, the highest run that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    count: u64,
}

/// One life of a worker that keeps its id.
#[derive(Clone, Copy)]
struct Life {
    begin: Instant,
    /// Unix milliseconds of its start.
    born: u64,
    kind: &'static str,
}

impl Life {
    fn begin(kind: &'static str) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            begin: Instant::now(),
            born: now.map_or(0, |now| now.as_millis() as u64),
            kind,
        }
    }
}

pub struct Worker {
    pub id: String,
    life: Mutex<Life>,
    state: Mutex<State>,
    record: Arc<Record>,
    cpu: u64,
    /// Whether its machine was moved or maintained since.
    gone: AtomicBool,
    /// Whether it has crashed and isn't up again.
    down: AtomicBool,
    /// Whether it doesn't reach the store.
    cut: AtomicBool,
    /// Where it listens.
    door: Mutex<Arc<Door>>,
}

/// A listening address of a worker.
struct Door {
    address: Mutex<SocketAddr>,
    closed: AtomicBool,
    worker: Weak<Worker>,
}

impl Door {
    /// Opens a port for a worker; `at` has port 0.
    fn open(worker: Weak<Worker>, at: SocketAddr) -> Arc<Self> {
        let door = Arc::new(Self {
            address: Mutex::new(at),
            closed: AtomicBool::new(false),
            worker,
        });
        let bound = http::serve(at, Arc::clone(&door) as _).expect("a free loopback port");
        *door.address.lock().expect("no holder panics") = bound;
        door
    }

    fn address(&self) -> SocketAddr {
        *self.address.lock().expect("no holder panics")
    }
}

impl Handler for Door {
    fn serve(&self, request: Request, connection: u64) -> Reply {
        match self.worker.upgrade() {
            Some(worker) if !self.closed.load(Ordering::SeqCst) => {
                worker.serve(request, connection)
            }
            _ => Reply::Close,
        }
    }
}

/// What a worker does with a task, from its `Spec`: `lasts`, or `takes MS`.
fn work(spec: &str) -> (bool, Duration) {
    let takes = spec.strip_prefix("takes ").and_then(|ms| ms.parse().ok());
    (spec == "lasts", Duration::from_millis(takes.unwrap_or(500)))
}

impl Worker {
    fn life(&self) -> Life {
        *self.life.lock().expect("no holder panics")
    }

    fn address(&self) -> SocketAddr {
        self.door.lock().expect("no holder panics").address()
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.life().begin.elapsed().as_millis() as u64
    }

    /// From now on it doesn't reach the store, or does again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Crashes, and starts again under the same id; `moves` says whether at another port.
    pub fn restart(self: &Arc<Self>, pause: Duration, kind: &'static str, moves: bool) {
        self.down.store(true, Ordering::SeqCst);
        *self.state.lock().expect("no holder panics") = State::default();
        self.record.line(&format!("worker {} crashes", self.id));
        thread::sleep(pause);
        if moves {
            let mut door = self.door.lock().expect("no holder panics");
            door.closed.store(true, Ordering::SeqCst);
            let at = SocketAddr::new(door.address().ip(), 0);
            *door = Door::open(Arc::downgrade(self), at);
        }
        *self.life.lock().expect("no holder panics") = Life::begin(kind);
        self.down.store(false, Ordering::SeqCst);
        self.record
            .line(&format!("worker {} is up again, as {kind}", self.id));
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.count += 1;
        state.over.insert(task.to_owned(), run.run);
        state.ended.push(Ended {
            number: state.count,
            task: task.to_owned(),
            run: run.run,
            how,
        });
        self.record.line(&format!(
            "worker {} ended {task} run {} {how}",
            self.id, run.run
        ));
        self.record.ended(task, how);
    }

    fn tick(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        let state = &mut *state;
        let lapsed = self.clock_ms() >= state.lease_ms;
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            let run = &state.running[&task];
            let stopped = run
                .stopped
                .is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS);
            if lapsed {
                self.end(state, &task, "lapsed");
            } else if stopped {
                self.end(state, &task, "stopped");
            } else if !run.lasts && run.started.elapsed() >= run.takes {
                self.end(state, &task, "done");
            }
        }
    }

    fn renew(&self, state: &mut State, body: &Json) {
        let deadline = body.get("DeadlineMs").num();
        let most = self.clock_ms() + HOLD_MAX_MS;
        state.lease_ms = state.lease_ms.max(deadline.min(most));
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = map([("ClockMs", n(self.clock_ms())), ("Reason", s(reason))]);
        Reply::Answer(409, body.text())
    }

    fn fenced(&self, state: &mut State, body: &Json) -> bool {
        let fence = body.get("FencingToken").num();
        if fence < state.fence {
            return true;
        }
        state.fence = fence;
        false
    }

    fn start(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().expect("no holder panics");
        if self.fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (task, run) = (body.get("Task").str().to_owned(), body.get("Run").num());
        if state
            .running
            .get(&task)
            .is_some_and(|known| known.run == run)
        {
            self.renew(&mut state, body);
            return self.done();
        }
        if body.get("DeadlineMs").num() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.renew(&mut state, body);
        let over = state.over.get(&task).copied().unwrap_or(0);
        if run <= over || state.running.contains_key(&task) {
            return self.refuse("old");
        }
        if state.running.len() as u64 * 1_000 >= self.cpu {
            return self.refuse("room");
        }
        let (lasts, takes) = work(body.get("Spec").str());
        let kind = self.life().kind;
        self.record.line(&format!(
            "worker {} ({kind}) starts {task} run {run}",
            self.id
        ));
        self.record.started(&task, kind);
        let run = Run {
            run,
            started: Instant::now(),
            lasts,
            takes,
            stopped: None,
        };
        state.running.insert(task, run);
        self.done()
    }

    fn stop(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().expect("no holder panics");
        if self.fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (task, run) = (body.get("Task").str().to_owned(), body.get("Run").num());
        match state.running.get_mut(&task) {
            Some(known) if known.run <= run => {
                known.stopped.get_or_insert_with(Instant::now);
            }
            _ => {
                let over = state.over.entry(task).or_default();
                *over = (*over).max(run);
            }
        }
        self.done()
    }

    fn done(&self) -> Reply {
        Reply::Answer(200, map([("ClockMs", n(self.clock_ms()))]).text())
    }

    fn hold(&self, body: &Json) -> Reply {
        let wait = Duration::from_millis(body.get("WaitMs").num().min(2_000));
        let seen = body.get("LastSeen").num();
        {
            let mut state = self.state.lock().expect("no holder panics");
            if self.fenced(&mut state, body) {
                return self.refuse("fence");
            }
            self.renew(&mut state, body);
            state.ended.retain(|ended| ended.number > seen);
        }
        let begin = Instant::now();
        loop {
            let state = self.state.lock().expect("no holder panics");
            let is_new = state.ended.iter().any(|ended| ended.number > seen);
            if is_new || begin.elapsed() >= wait {
                let running = state.running.iter().map(|(task, run)| {
                    let share = run.started.elapsed().as_millis() as u64 * 100;
                    let whole = if run.lasts {
                        SHOW_MS
                    } else {
                        run.takes.as_millis() as u64
                    };
                    let percent = (share / whole.max(1)).min(if run.lasts { 100 } else { 99 });
                    Json::List(vec![s(task), n(run.run), s(""), n(percent), n(10)])
                });
                let ended = state.ended.iter().take(500).map(|ended| {
                    let Ended {
                        number,
                        task,
                        run,
                        how,
                    } = ended;
                    Json::List(vec![n(*number), s(task), n(*run), s(*how), s("")])
                });
                let body = map([
                    ("born", n(self.life().born)),
                    ("ClockMs", n(self.clock_ms())),
                    ("Running", Json::List(running.collect())),
                    ("Ended", Json::List(ended.collect())),
                ]);
                return Reply::Answer(200, body.text());
            }
            drop(state);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Handler for Worker {
    fn serve(&self, request: Request, _connection: u64) -> Reply {
        let is_down = self.down.load(Ordering::SeqCst);
        if is_down || self.gone.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        let target = request.headers.get("primroseroute-target-instance");
        if target.is_some_and(|target| *target != self.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match request.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            "/pace" => self.done(),
            "/health" => Reply::Answer(200, "{}".to_owned()),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }
}

/// Starts a worker that registers itself in the store.
fn start(
    (service, id, rack, kind): (&str, &str, usize, &'static str),
    address: SocketAddr,
    store: &Arc<Store>,
    record: &Arc<Record>,
) -> Arc<Worker> {
    let worker = Arc::new_cyclic(|weak| Worker {
        door: Mutex::new(Door::open(Weak::clone(weak), address)),
        id: id.to_owned(),
        life: Mutex::new(Life::begin(kind)),
        state: Mutex::default(),
        record: Arc::clone(record),
        cpu: 16_000,
        gone: AtomicBool::new(false),
        down: AtomicBool::new(false),
        cut: AtomicBool::new(false),
    });
    let (store, ticking) = (Arc::clone(store), Arc::clone(&worker));
    let service = service.to_owned();
    thread::spawn(move || {
        let mut beat = Instant::now();
        let mut seq = 0;
        let mut registered = true;
        while !ticking.gone.load(Ordering::SeqCst) {
            let is_silent = [&ticking.cut, &ticking.down].map(|flag| flag.load(Ordering::SeqCst));
            if is_silent.contains(&true) {
                if registered && beat.elapsed() >= 3 * HEARTBEAT {
                    ticking
                        .record
                        .line(&format!("the entry of worker {} is removed", ticking.id));
                    store.put("servers", &ticking.id, None);
                    registered = false;
                }
            } else if seq == 0 || !registered || beat.elapsed() >= HEARTBEAT {
                seq += 1;
                registered = true;
                beat = Instant::now();
                let row = map([
                    ("Service", s(&service)),
                    ("Address", s(ticking.address().to_string())),
                    ("Zone", s("zone-a")),
                    ("Version", s("1")),
                    ("Slots", n(8)),
                    ("State", s("ready")),
                    ("ColdLeftMs", n(0)),
                    ("Seq", n(seq)),
                    ("Capacity", capacity()),
                    ("Labels", labels(ticking.life().kind, rack)),
                    ("born", n(ticking.life().born)),
                ]);
                store.put("servers", &ticking.id, Some(&row));
            }
            ticking.tick();
            thread::sleep(Duration::from_millis(10));
        }
        store.put("servers", &ticking.id, None);
    });
    worker
}

fn capacity() -> Json {
    map([("Cpu", n(16_000)), ("MemMb", n(65_536)), ("Gpu", n(0))])
}

fn labels(kind: &str, rack: usize) -> Json {
    Json::List(vec![s(kind), s(format!("r1-{rack}"))])
}

struct Machine {
    name: String,
    pool: String,
    rack: usize,
    kind: &'static str,
    /// `None` while it moves.
    worker: Option<Arc<Worker>>,
    lives: u32,
}

/// The platform's list of machines, and moves of them.
pub struct Machines {
    machines: Arc<Mutex<Vec<Machine>>>,
    address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
}

const MOVE: Duration = Duration::from_millis(1_500);

impl Machines {
    /// Starts this many machines with a worker in each of the pools, the first one of another kind.
    pub fn start(
        pools: &[&str],
        (each, first): (usize, &'static str),
        address: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Self {
        let numbers = (0..each).flat_map(|number| pools.iter().map(move |pool| (pool, number)));
        let machines = numbers.map(|(pool, number)| {
            let id = format!("w-{pool}-{number}-0");
            let kind = if number == 0 { first } else { KIND };
            let worker = start((pool, &id, number, kind), address, store, record);
            Machine {
                name: format!("m-{pool}-{number}"),
                pool: (*pool).to_owned(),
                rack: number,
                kind,
                worker: Some(worker),
                lives: 0,
            }
        });
        Self {
            machines: Arc::new(Mutex::new(machines.collect())),
            address,
            store: Arc::clone(store),
            record: Arc::clone(record),
        }
    }

    /// The worker of a machine, if it has one.
    pub fn worker(&self, machine: &str) -> Option<Arc<Worker>> {
        let machines = self.machines.lock().expect("no holder panics");
        let found = machines.iter().find(|known| known.name == machine)?;
        found.worker.clone()
    }

    fn list(&self) -> Reply {
        let machines = self.machines.lock().expect("no holder panics");
        let machines = machines.iter().map(|machine| {
            let (state, id) = match &machine.worker {
                Some(worker) => ("up", worker.id.as_str()),
                None => ("moving", ""),
            };
            map([
                ("Machine", s(&machine.name)),
                ("Pool", s(&machine.pool)),
                ("State", s(state)),
                ("Zone", s("zone-a")),
                ("Labels", labels(machine.kind, machine.rack)),
                ("Capacity", capacity()),
                ("Id", s(id)),
            ])
        });
        let machines = Json::List(machines.collect());
        Reply::Answer(
            200,
            map([("Machines", machines), ("NextToken", s(""))]).text(),
        )
    }

    fn relocate(&self, body: &Json) -> Reply {
        let (name, pool) = (body.get("Machine").str(), body.get("Pool").str());
        let mut machines = self.machines.lock().expect("no holder panics");
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        if machine.pool == pool {
            return Reply::Answer(200, "{}".to_owned());
        }
        let Some(worker) = machine.worker.take() else {
            return Reply::Answer(409, map([("Reason", s("busy"))]).text());
        };
        worker.gone.store(true, Ordering::SeqCst);
        self.record.line(&format!("machine {name} moves to {pool}"));
        machine.pool = pool.to_owned();
        machine.lives += 1;
        let (pool, id) = (pool.to_owned(), format!("w-{name}-{}", machine.lives));
        let (name, rack, kind) = (name.to_owned(), machine.rack, machine.kind);
        let (address, known) = (self.address, Arc::clone(&self.machines));
        let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
        thread::spawn(move || {
            thread::sleep(MOVE);
            let worker = start((&pool, &id, rack, kind), address, &store, &record);
            let mut machines = known.lock().expect("no holder panics");
            if let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) {
                machine.worker = Some(worker);
            }
        });
        Reply::Answer(200, "{}".to_owned())
    }
}

impl Handler for Machines {
    fn serve(&self, request: Request, _connection: u64) -> Reply {
        thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/machines" => self.list(),
            "/machine-move" => self.relocate(&Json::parse(&request.body).unwrap_or(Json::Null)),
            _ => Reply::Answer(400, "{}".to_owned()),
        }
    }
}
