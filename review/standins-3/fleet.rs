//! Machines, the workers that run on them, and the platform's interface to the machines.

use crate::{
    http::{Reply, Request, Server},
    json::{Json, object},
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MOVE: Duration = Duration::from_millis(1_500);
/// The label that tells a worker's kind.
pub const KIND: &str = "a";
/// What a worker's clock shows when it starts.
const FIRST_CLOCK_MS: u64 = 100_000;
/// A lasting task is at work this long after its start.
const STARTUP: Duration = Duration::from_millis(500);

/// What a task does, as its `Spec` tells.
#[derive(Clone, Copy)]
enum Work {
    Takes(Duration),
    Lasts,
}

fn work(spec: &str) -> Work {
    let millis = spec.strip_prefix("ms=").and_then(|text| text.parse().ok());
    millis.map_or(Work::Lasts, |millis| {
        Work::Takes(Duration::from_millis(millis))
    })
}

struct Run {
    run: u32,
    work: Work,
    began: Instant,
    stopping: Option<Instant>,
    cpu: u64,
    memory: u64,
}

/// What a client has sent, so that a worker can tell how much room a task takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    pub cpu: u64,
    pub memory: u64,
}

/// How a worker is cut off from everybody else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Since then its packets get lost, and those to it arrive.
    Outgoing(Instant),
    /// All packets get lost.
    Both,
}

/// A start, an end or an order, for the record and the checks.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub what: &'static str,
    pub worker: String,
    pub task: String,
    pub run: u32,
    /// The worker's kind at that time.
    pub kind: &'static str,
}

#[derive(Default)]
struct WorkerState {
    fence: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    /// For each task, the highest run that has ended or was stopped here.
    over: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    refused_tokens: u64,
    /// While it is set, the worker is cut off.
    cut: Option<Cut>,
}

/// One start of a worker. A worker that keeps its id has several.
#[derive(Clone, Copy)]
struct Life {
    began: Instant,
    /// Unix milliseconds of its start.
    born: u64,
    kind: &'static str,
}

impl Life {
    fn begin(kind: &'static str) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            began: Instant::now(),
            born: now.map_or(0, |now| now.as_millis() as u64),
            kind,
        }
    }
}

/// What runs on a machine until it's moved or maintained.
pub struct Worker {
    pub id: String,
    pub service: String,
    zone: String,
    pub rack: String,
    pub capacity: Demand,
    life: Mutex<Life>,
    is_down: AtomicBool,
    reaches_store: AtomicBool,
    server: Mutex<Option<Server>>,
    state: Mutex<WorkerState>,
    changed: Condvar,
    is_over: AtomicBool,
    fleet: Arc<Shared>,
}

impl Worker {
    fn life(&self) -> Life {
        *self.life.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.life().began.elapsed().as_millis() as u64
    }

    /// The field `born` of what the worker says, where workers give it.
    fn with_born(&self, said: Json) -> Json {
        match said {
            Json::Object(mut fields) if self.fleet.gives_born => {
                fields.insert("born".to_owned(), self.life().born.into());
                Json::Object(fields)
            }
            said => said,
        }
    }

    fn record(&self, what: &'static str, task: &str, run: u32) {
        let event = Event {
            at: Instant::now(),
            what,
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            kind: self.life().kind,
        };
        self.fleet.events.lock().unwrap().push(event);
    }

    fn end(&self, state: &mut WorkerState, task: &str, how: &'static str) {
        if let Some(run) = state.runs.remove(task) {
            let highest = state.over.entry(task.to_owned()).or_default();
            *highest = run.run.max(*highest);
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.to_owned(), run.run, how));
            self.record(how, task, run.run);
            self.changed.notify_all();
        }
    }

    /// Ends what is due: completed runs, stopped ones, and all once the lease has lapsed.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let is_lapsed = self.clock_ms() >= state.deadline_ms;
        let due = state.runs.iter().filter_map(|(task, run)| {
            let is_done = matches!(run.work, Work::Takes(time) if run.began.elapsed() >= time);
            let is_stopped = run
                .stopping
                .is_some_and(|at| at.elapsed() >= Duration::from_millis(STOP_MS / 2));
            let how = if is_lapsed {
                "lapsed"
            } else if is_stopped {
                "stopped"
            } else if is_done {
                "done"
            } else {
                return None;
            };
            Some((task.clone(), how))
        });
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }

    fn extend(&self, state: &mut WorkerState, order: &Json) {
        if let Some(deadline) = order.number("DeadlineMs") {
            let deadline = deadline.min(self.clock_ms() + HOLD_MAX_MS);
            state.deadline_ms = state.deadline_ms.max(deadline);
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = object([
            ("ClockMs", self.clock_ms().into()),
            ("Reason", reason.into()),
        ]);
        Reply::Answer(409, self.with_born(body).to_string())
    }

    fn done(&self) -> Reply {
        let body = object([("ClockMs", self.clock_ms().into())]);
        Reply::Answer(200, self.with_born(body).to_string())
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.is_down.load(Ordering::Relaxed) {
            return Reply::Nothing;
        }
        match self.cut() {
            None => {}
            // No connection can be opened during the cut.
            Some(Cut::Outgoing(since)) if request.opened < since => {}
            Some(_cut) => return self.lose(None),
        }
        let reply = self.carry_out(request);
        match self.cut() {
            Some(_cut) => self.lose(Some(reply)),
            None => reply,
        }
    }

    fn cut(&self) -> Option<Cut> {
        self.state.lock().unwrap().cut
    }

    /// Holds an answer back until the cut heals. What was sent on a connection that its caller has given up
    /// arrives nowhere.
    fn lose(&self, reply: Option<Reply>) -> Reply {
        while self.cut().is_some() && !self.is_over() {
            sleep(Duration::from_millis(10));
        }
        reply.unwrap_or(Reply::Nothing)
    }

    fn carry_out(&self, request: &Request) -> Reply {
        let target = request.header("Primroseroute-Target-Instance");
        if !target.is_empty() && target != self.id {
            return Reply::Answer(421, "{}".to_owned());
        }
        let Some(order) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let fence = order.number("FencingToken").unwrap_or(0);
        if fence < state.fence {
            state.refused_tokens += 1;
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.start(&mut state, &order),
            "/run-stop" => {
                let (task, run) = (order.text("Task"), order.number("Run").unwrap_or(0) as u32);
                let highest = state.over.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if let Some(known) = state.runs.get_mut(task).filter(|known| known.run == run) {
                    known.stopping.get_or_insert_with(Instant::now);
                }
                self.done()
            }
            "/hold" => {
                self.extend(&mut state, &order);
                let seen = order.number("LastSeen").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(order.number("WaitMs").unwrap_or(0).min(2_000));
                let deadline = Instant::now() + wait;
                loop {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !state.ended.is_empty() || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                Reply::Answer(200, self.with_born(self.status(&state)).to_string())
            }
            "/pace" => self.done(),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn start(&self, state: &mut WorkerState, order: &Json) -> Reply {
        let (task, run) = (order.text("Task"), order.number("Run").unwrap_or(0) as u32);
        if state.runs.get(task).is_some_and(|known| known.run == run) {
            self.extend(state, order);
            return self.done();
        }
        if state.over.get(task).is_some_and(|highest| run <= *highest) {
            self.extend(state, order);
            return self.refuse("old");
        }
        if order
            .number("DeadlineMs")
            .is_none_or(|deadline| deadline <= self.clock_ms())
        {
            return self.refuse("late");
        }
        self.extend(state, order);
        let demand = self.fleet.demand(task);
        let used = state.runs.values();
        let used = used.fold((0, 0), |(cpu, memory), run| {
            (cpu + run.cpu, memory + run.memory)
        });
        if used.0 + demand.cpu > self.capacity.cpu || used.1 + demand.memory > self.capacity.memory
        {
            return self.refuse("room");
        }
        self.record("started", task, run);
        state.runs.insert(
            task.to_owned(),
            Run {
                run,
                work: work(order.text("Spec")),
                began: Instant::now(),
                stopping: None,
                cpu: demand.cpu,
                memory: demand.memory,
            },
        );
        self.done()
    }

    fn status(&self, state: &WorkerState) -> Json {
        let running = state.runs.iter().map(|(task, run)| {
            let percent = match run.work {
                Work::Takes(time) => {
                    (run.began.elapsed().as_millis() * 100 / time.as_millis().max(1)).min(99) as u64
                }
                Work::Lasts if run.began.elapsed() >= STARTUP => 100,
                Work::Lasts => 0,
            };
            Json::List(vec![
                task.as_str().into(),
                u64::from(run.run).into(),
                "".into(),
                percent.into(),
                run.cpu.into(),
            ])
        });
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                Json::List(vec![
                    (*number).into(),
                    task.as_str().into(),
                    u64::from(*run).into(),
                    (*how).into(),
                    "".into(),
                ])
            });
        object([
            ("ClockMs", self.clock_ms().into()),
            ("Running", running.collect::<Vec<_>>().into()),
            ("Ended", ended.collect::<Vec<_>>().into()),
        ])
    }

    /// From now on the worker is cut off in this way, and what it runs goes on; or the cut heals.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.state.lock().unwrap().cut = cut;
    }

    /// Whether the worker reaches the store.
    pub fn set_reaches_store(&self, reaches: bool) {
        self.reaches_store.store(reaches, Ordering::Relaxed);
    }

    /// The worker crashes, and starts again under its id and at its address, as another kind.
    pub fn restart(&self, pause: Duration, kind: &'static str) {
        self.is_down.store(true, Ordering::Relaxed);
        self.lose_runs();
        sleep(pause);
        let mut state = self.state.lock().unwrap();
        *state = WorkerState::default();
        *self.life.lock().unwrap() = Life::begin(kind);
        drop(state);
        self.is_down.store(false, Ordering::Relaxed);
    }

    /// The number of calls that it has refused for their token.
    pub fn refused_tokens(&self) -> u64 {
        self.state.lock().unwrap().refused_tokens
    }

    /// Thousandths of a core that its runs have.
    pub fn used_cpu(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.runs.values().map(|run| run.cpu).sum()
    }

    /// Whether it has a label; each worker has the empty one.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || label == self.rack || label == self.life().kind
    }

    /// The tasks that run on it.
    pub fn tasks(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.keys().cloned().collect()
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn lose_runs(&self) {
        let mut state = self.state.lock().unwrap();
        for (task, run) in std::mem::take(&mut state.runs) {
            self.record("lost", &task, run.run);
        }
    }

    /// The worker ends, with all that runs on it.
    fn terminate(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.lose_runs();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }
}

struct Machine {
    pool: String,
    zone: String,
    rack: String,
    state: &'static str,
    worker: Option<Arc<Worker>>,
    fence: u64,
    done_waves: BTreeSet<u64>,
}

pub struct Shared {
    store: Store,
    ip: String,
    capacity: Demand,
    gives_born: bool,
    machines: Mutex<BTreeMap<String, Machine>>,
    next_worker: Mutex<u64>,
    events: Mutex<Vec<Event>>,
    /// The demand of a job's steps.
    demands: Mutex<BTreeMap<String, Vec<Demand>>>,
}

impl Shared {
    fn demand(&self, task: &str) -> Demand {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or("");
        let step: usize = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
        let demands = self.demands.lock().unwrap();
        let of_job = demands.get(job);
        of_job
            .and_then(|steps| steps.get(step))
            .copied()
            .unwrap_or_default()
    }
}

/// All machines, and the interface to them.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
    pub server: Server,
}

impl Fleet {
    pub fn start(
        ip: &str,
        store: Store,
        capacity: Demand,
        gives_born: bool,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            store,
            ip: ip.to_owned(),
            capacity,
            gives_born,
            machines: Mutex::default(),
            next_worker: Mutex::new(0),
            events: Mutex::default(),
            demands: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        let server = Server::start(ip, move |request| cloud(&served, request))?;
        let ticked = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(5));
                for worker in workers(&ticked) {
                    worker.tick();
                }
            }
        });
        Ok(Self { shared, server })
    }

    /// Adds a machine with a worker.
    pub fn add(&self, name: &str, pool: &str, zone: &str, rack: &str) {
        let machine = Machine {
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            state: "up",
            worker: None,
            fence: 0,
            done_waves: BTreeSet::new(),
        };
        let mut machines = self.shared.machines.lock().unwrap();
        machines.insert(name.to_owned(), machine);
        drop(machines);
        bring_up(&self.shared, name);
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        workers(&self.shared)
    }

    /// A machine is lost for good: its worker ends with all that runs on it, and falls silent.
    pub fn lose(&self, worker: &Worker) {
        let mut machines = self.shared.machines.lock().unwrap();
        let runs_on = |machine: &&mut Machine| {
            let known = machine.worker.as_ref();
            known.is_some_and(|known| known.id == worker.id)
        };
        if let Some(machine) = machines.values_mut().find(runs_on) {
            machine.state = "down";
            machine.worker = None;
        }
        drop(machines);
        worker.set_cut(Some(Cut::Both));
        worker.lose_runs();
    }

    pub fn events(&self) -> Vec<Event> {
        self.shared.events.lock().unwrap().clone()
    }

    /// Tells the workers how much the tasks of a job take.
    pub fn set_demand(&self, job: &str, steps: Vec<Demand>) {
        let mut demands = self.shared.demands.lock().unwrap();
        demands.insert(job.to_owned(), steps);
    }
}

fn workers(shared: &Shared) -> Vec<Arc<Worker>> {
    let machines = shared.machines.lock().unwrap();
    machines
        .values()
        .filter_map(|machine| machine.worker.clone())
        .collect()
}

/// Starts a worker on a machine, and its heartbeats.
fn bring_up(shared: &Arc<Shared>, name: &str) {
    let id = {
        let mut next = shared.next_worker.lock().unwrap();
        *next += 1;
        format!("i-{:08x}", *next * 7_919)
    };
    let mut machines = shared.machines.lock().unwrap();
    let Some(machine) = machines.get_mut(name) else {
        return;
    };
    let worker = Arc::new(Worker {
        id,
        service: machine.pool.clone(),
        zone: machine.zone.clone(),
        rack: machine.rack.clone(),
        capacity: shared.capacity,
        life: Mutex::new(Life::begin(KIND)),
        is_down: AtomicBool::new(false),
        reaches_store: AtomicBool::new(true),
        server: Mutex::default(),
        state: Mutex::default(),
        changed: Condvar::new(),
        is_over: AtomicBool::new(false),
        fleet: Arc::clone(shared),
    });
    let serving = Arc::clone(&worker);
    let Ok(server) = Server::start(&shared.ip, move |request| serving.answer(request)) else {
        eprintln!("a worker can't listen");
        return;
    };
    let address = server.address.to_string();
    *worker.server.lock().unwrap() = Some(server);
    machine.state = "up";
    machine.worker = Some(Arc::clone(&worker));
    drop(machines);
    let store = shared.store.clone();
    thread::spawn(move || {
        let mut seq = 0;
        let mut silent = 0;
        while !worker.is_over() {
            seq += 1;
            let is_silent = worker.is_down.load(Ordering::Relaxed)
                || !worker.reaches_store.load(Ordering::Relaxed);
            if worker.cut().is_some() || is_silent {
                silent += 1;
                // The entry expires after three heartbeats of silence.
                if silent == 3 {
                    store.remove("servers", &worker.id);
                }
            } else {
                silent = 0;
                let entry = object([
                    ("Service", worker.service.as_str().into()),
                    ("Address", address.as_str().into()),
                    ("Zone", worker.zone.as_str().into()),
                    ("Version", "v1".into()),
                    ("Slots", 8_u64.into()),
                    ("State", "ready".into()),
                    ("ColdLeftMs", 0_u64.into()),
                    (
                        "Capacity",
                        object([
                            ("Cpu", worker.capacity.cpu.into()),
                            ("MemMb", worker.capacity.memory.into()),
                            ("Gpu", 0_u64.into()),
                        ]),
                    ),
                    (
                        "Labels",
                        vec![worker.life().kind.into(), worker.rack.as_str().into()].into(),
                    ),
                    ("ClockMs", worker.clock_ms().into()),
                    ("Seq", seq.into()),
                ]);
                store.put("servers", &worker.id, &worker.with_born(entry));
            }
            sleep(HEARTBEAT);
        }
        sleep(HEARTBEAT * 2);
        store.remove("servers", &worker.id);
    });
}

fn cloud(shared: &Arc<Shared>, request: &Request) -> Reply {
    sleep(Duration::from_millis(4));
    if request.method == "GET" && request.path.starts_with("/machines") {
        let machines = shared.machines.lock().unwrap();
        let list = machines.iter().map(|(name, machine)| {
            let id = machine.worker.as_ref().map_or("", |worker| &worker.id);
            object([
                ("Machine", name.as_str().into()),
                ("Pool", machine.pool.as_str().into()),
                ("State", machine.state.into()),
                ("Zone", machine.zone.as_str().into()),
                ("Id", id.into()),
            ])
        });
        let body = object([
            ("Machines", list.collect::<Vec<_>>().into()),
            ("NextToken", Json::Null),
        ]);
        return Reply::Answer(200, body.to_string());
    }
    let Some(order) = Json::parse(&request.body) else {
        return Reply::Answer(400, "{}".to_owned());
    };
    let name = order.text("Machine").to_owned();
    let fence = request.header("Primroseroute-Fencing-Token");
    let fence: u64 = fence.parse().unwrap_or(0);
    let mut machines = shared.machines.lock().unwrap();
    let Some(machine) = machines.get_mut(&name) else {
        return Reply::Answer(400, "{}".to_owned());
    };
    machine.fence = machine.fence.max(fence);
    let done = || Reply::Answer(200, "{}".to_owned());
    let (state, pool, time) = match request.path.as_str() {
        "/machine-move" => {
            let pool = order.text("Pool").to_owned();
            if machine.pool == pool {
                return done();
            }
            ("moving", pool, MOVE)
        }
        "/machine-upkeep" => {
            let wave = order.number("Wave").unwrap_or(0);
            if machine.done_waves.contains(&wave) {
                return done();
            }
            if machine.state == "up" {
                machine.done_waves.insert(wave);
            }
            ("upkeep", machine.pool.clone(), Duration::from_secs(2))
        }
        _ => return Reply::Answer(404, "{}".to_owned()),
    };
    if machine.state != "up" {
        return Reply::Answer(409, "{\"Reason\":\"busy\"}".to_owned());
    }
    machine.state = state;
    machine.pool = pool;
    let worker = machine.worker.take();
    drop(machines);
    if let Some(worker) = worker {
        worker.terminate();
    }
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        sleep(time);
        bring_up(&shared, &name);
    });
    done()
}
