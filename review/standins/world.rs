//! The platform's store and machines, workers under leases, and the journal of what happens.

use crate::{
    http::{self, Reply, Request},
    json::{Json, base64, decoded_len, quote},
};
use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Figures of the pages for the small deployments.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const ROW_BYTES: usize = 65_536;
pub const MOVE: Duration = Duration::from_millis(1_500);
pub const MAINTENANCE: Duration = Duration::from_millis(2_000);
const STORE_ANSWER: Duration = Duration::from_millis(4);
const BEAT: Duration = Duration::from_millis(1_500);

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Binds a free port of a loopback address.
pub fn bind(ip: Ipv4Addr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port on loopback");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

/// What was sent, answered and run, with the milliseconds since the start.
pub struct Journal {
    start: Instant,
    file: Mutex<File>,
}

impl Journal {
    pub fn open(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", self.now_ms());
    }
}

type Place = (String, String, String);

#[derive(Default)]
struct Table {
    version: u64,
    rows: BTreeMap<Place, (String, u64)>,
    /// Version, place, and whether the row was dropped.
    changes: Vec<(u64, Place, bool)>,
}

/// The platform's store.
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
    pub down: AtomicBool,
    journal: Arc<Journal>,
    /// Transactions that were refused since a value is longer than a row may be.
    pub too_long: AtomicU64,
    longest: AtomicU64,
    start: Instant,
}

fn place(row: &Json) -> Place {
    let text = |name| row.get(name).str().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn show(place: &Place, value: Option<&str>, version: u64) -> String {
    let (table, part, key) = place;
    let value = match value {
        Some(value) => format!("\"Value\":{}", quote(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},{value},\"Ver\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}

impl Store {
    pub fn new(journal: Arc<Journal>) -> Self {
        Self {
            table: Mutex::default(),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            journal,
            too_long: AtomicU64::new(0),
            longest: AtomicU64::new(0),
            start: Instant::now(),
        }
    }

    /// A write by the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.table.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let place = (table.to_owned(), String::new(), key.to_owned());
        state.changes.push((version, place.clone(), false));
        let value = base64(value.as_bytes());
        state.rows.insert(place, (value, version));
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.table.lock().unwrap();
        let place = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.remove(&place).is_some() {
            state.version += 1;
            let version = state.version;
            state.changes.push((version, place, true));
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Reply {
        let unavailable = || Reply::Answer(503, "{}".into());
        if self.down.load(Ordering::SeqCst) {
            return unavailable();
        }
        thread::sleep(STORE_ANSWER);
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-parts") => self.parts(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Answer(404, "{}".into()),
        };
        if self.down.load(Ordering::SeqCst) && request.method == "GET" {
            return unavailable();
        }
        reply
    }

    fn tail(&self, version: u64) -> String {
        format!(
            "\"Ver\":{version},\"NowMs\":{}",
            self.start.elapsed().as_millis()
        )
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{\"Error\":\"not JSON\"}".into());
        };
        let entries = ["ExpectedRev", "Puts", "Remove"];
        let count: usize = entries.iter().map(|name| body.get(name).arr().len()).sum();
        if count > 100 || request.body.len() > 1_000_000 {
            return Reply::Answer(400, "{\"Error\":\"too many entries\"}".into());
        }
        for put in body.get("Puts").arr() {
            let length = decoded_len(put.get("Value").str());
            if length > self.longest.fetch_max(length as u64, Ordering::SeqCst) as usize + 4_000 {
                let (table, part, key) = place(put);
                self.journal.write(&format!(
                    "longest value so far: {length} bytes for {table}/{part}/{key}"
                ));
            }
            if length > ROW_BYTES {
                let number = self.too_long.fetch_add(1, Ordering::SeqCst);
                if number % 20 == 0 {
                    let (table, part, key) = place(put);
                    self.journal.write(&format!("store refuses a transaction with 400: value of {length} bytes for {table}/{part}/{key}, a row holds {ROW_BYTES} (refusal {})", number + 1));
                }
                return Reply::Answer(400, "{\"Error\":\"value too long\"}".into());
            }
            if ["op", "servers"].contains(&put.get("Table").str()) {
                return Reply::Answer(403, "{}".into());
            }
        }
        let mut state = self.table.lock().unwrap();
        let expected = body.get("ExpectedRev").arr();
        let holds = expected.iter().all(|row| {
            let known = state
                .rows
                .get(&place(row))
                .map_or(0, |(_, version)| *version);
            known == row.get("Ver").num()
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let place = place(row);
                let (value, version) = state.rows.get(&place)?;
                Some(show(&place, Some(value), *version))
            });
            let rows: Vec<String> = rows.collect();
            let tail = self.tail(state.version);
            return Reply::Answer(412, format!("{{\"rows\":[{}],{tail}}}", rows.join(",")));
        }
        state.version += 1;
        let version = state.version;
        for put in body.get("Puts").arr() {
            let value = put.get("Value").str().to_owned();
            state.changes.push((version, place(put), false));
            state.rows.insert(place(put), (value, version));
        }
        for row in body.get("Remove").arr() {
            if state.rows.remove(&place(row)).is_some() {
                state.changes.push((version, place(row), true));
            }
        }
        drop(state);
        self.changed.notify_all();
        Reply::Answer(200, format!("{{{}}}", self.tail(version)))
    }

    fn read(&self, request: &Request) -> Reply {
        let table = request.param("Table").unwrap_or("").to_owned();
        let part = request.param("part").unwrap_or("").to_owned();
        let from = request.param("From").unwrap_or("").to_owned();
        let to = request.param("To");
        let limit = request.param("Limit").and_then(|limit| limit.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let state = self.table.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (place, (value, version)) in state.rows.range(start..) {
            if place.0 != table || place.1 != part || to.is_some_and(|to| &*place.2 >= to) {
                break;
            }
            if rows.len() >= limit || bytes > 900_000 {
                truncated = true;
                break;
            }
            bytes += value.len();
            rows.push(show(place, Some(value), *version));
        }
        let tail = self.tail(state.version);
        Reply::Answer(
            200,
            format!(
                "{{\"rows\":[{}],\"Truncated\":{truncated},{tail}}}",
                rows.join(",")
            ),
        )
    }

    fn parts(&self, request: &Request) -> Reply {
        let table = request.param("Table").unwrap_or("");
        let state = self.table.lock().unwrap();
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|place| place.0 == table)
            .map(|place| quote(&place.1))
            .collect();
        parts.dedup();
        let tail = self.tail(state.version);
        Reply::Answer(
            200,
            format!(
                "{{\"parts\":[{}],\"Truncated\":false,{tail}}}",
                parts.join(",")
            ),
        )
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.param("Table").unwrap_or("");
        let number = |name| request.param(name).and_then(|text| text.parse().ok());
        let after: u64 = number("After").unwrap_or(0);
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.table.lock().unwrap();
        loop {
            let first = state
                .changes
                .partition_point(|(version, ..)| *version <= after);
            let newest: BTreeMap<&Place, (u64, bool)> = state.changes[first..]
                .iter()
                .filter(|(_, place, _)| place.0 == table)
                .map(|(version, place, dropped)| (place, (*version, *dropped)))
                .collect();
            let down = self.down.load(Ordering::SeqCst);
            let left = deadline.saturating_duration_since(Instant::now());
            if newest.is_empty() && !left.is_zero() && !down {
                state = self.changed.wait_timeout(state, left.min(BEAT)).unwrap().0;
                continue;
            }
            let mut ordered: Vec<(u64, &Place, bool)> = newest
                .into_iter()
                .map(|(place, (version, dropped))| (version, place, dropped))
                .collect();
            ordered.sort();
            // Whole transactions, about 400 rows of them.
            let last = ordered
                .get(400)
                .map_or(state.version, |(version, ..)| *version);
            let rows = ordered
                .iter()
                .take_while(|(version, ..)| *version <= last)
                .map(|(version, place, dropped)| {
                    let value = state.rows.get(*place).map(|(value, _)| value.as_str());
                    show(place, value.filter(|_| !dropped), *version)
                });
            let rows: Vec<String> = rows.collect();
            let tail = self.tail(last);
            return Reply::Answer(200, format!("{{\"rows\":[{}],{tail}}}", rows.join(",")));
        }
    }

    pub fn interrupt_feeds(&self) {
        self.changed.notify_all();
    }
}

/// A step of a job as its client sent it.
#[derive(Clone, Copy)]
pub struct Step {
    pub cpu: u64,
    pub mem_mb: u64,
    /// How long a task takes.
    pub work: Duration,
    pub lasts: bool,
}

struct Running {
    run: u32,
    begin: Instant,
    end: Option<Instant>,
    step: Step,
}

#[derive(Default)]
struct WorkerState {
    fence: u64,
    running: BTreeMap<String, Running>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u32, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or has ended here.
    refused: HashMap<String, u32>,
    /// End of the lease on the worker's clock.
    deadline_ms: u64,
}

/// One life of a machine.
pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    address: SocketAddr,
    born: Instant,
    born_ms: u64,
    open: Arc<AtomicBool>,
    /// Silent: it accepts connections and answers nothing.
    dark: AtomicBool,
    state: Mutex<WorkerState>,
    ended: Condvar,
    seq: AtomicU64,
}

pub struct Machine {
    pub pool: String,
    pub state: &'static str,
    pub worker: Option<Arc<Worker>>,
    pub rack: String,
    /// Waves for which it has had its upkeep.
    waves: Vec<u64>,
}

/// What begins and ends on workers.
#[derive(Clone, Debug)]
pub struct Run {
    pub begin_ms: u64,
    pub end_ms: Option<u64>,
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub how: &'static str,
}

/// The machines and all that they run.
pub struct Fleet {
    pub journal: Arc<Journal>,
    pub store: Arc<Store>,
    pub machines: Mutex<BTreeMap<String, Machine>>,
    pub runs: Mutex<Vec<Run>>,
    jobs: Mutex<HashMap<String, Vec<Step>>>,
    /// Machine, holder, token, what, and when, as the orders arrive.
    pub orders: Mutex<Vec<(String, String, u64, String, u64)>>,
    cores: u64,
    mem_mb: u64,
    standby: String,
    ip: Ipv4Addr,
    next: AtomicU64,
}

impl Fleet {
    pub fn new(
        journal: Arc<Journal>,
        store: Arc<Store>,
        (cores, mem_mb): (u64, u64),
        standby: &str,
        ip: Ipv4Addr,
    ) -> Arc<Self> {
        let fleet = Arc::new(Self {
            journal,
            store,
            machines: Mutex::default(),
            runs: Mutex::default(),
            jobs: Mutex::default(),
            orders: Mutex::default(),
            cores,
            mem_mb,
            standby: standby.to_owned(),
            ip,
            next: AtomicU64::new(1),
        });
        let ticking = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beating = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                for worker in beating.workers() {
                    beating.beat(&worker);
                }
            }
        });
        fleet
    }

    pub fn add_machine(self: &Arc<Self>, name: &str, pool: &str, rack: &str) {
        let machine = Machine {
            pool: pool.to_owned(),
            state: "up",
            worker: None,
            rack: rack.to_owned(),
            waves: Vec::new(),
        };
        self.machines
            .lock()
            .unwrap()
            .insert(name.to_owned(), machine);
        self.start_worker(name);
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines
            .values()
            .filter_map(|known| known.worker.clone())
            .collect()
    }

    /// Tells the workers what the tasks of a job are.
    pub fn know_job(&self, id: &str, steps: Vec<Step>) {
        self.jobs.lock().unwrap().insert(id.to_owned(), steps);
    }

    fn beat(&self, worker: &Worker) {
        if self.store.down.load(Ordering::SeqCst) || !worker.open.load(Ordering::SeqCst) {
            return;
        }
        let seq = worker.seq.fetch_add(1, Ordering::SeqCst);
        let rack = {
            let machines = self.machines.lock().unwrap();
            machines
                .get(&worker.machine)
                .map_or(String::new(), |known| known.rack.clone())
        };
        let value = format!(
            "{{\"Service\":{},\"Address\":{},\"Zone\":\"zone-1\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Labels\":[\"a\",{}],\"ClockMs\":{},\"born\":{},\"Seq\":{seq}}}",
            quote(&worker.service),
            quote(&worker.address.to_string()),
            self.cores,
            self.mem_mb,
            quote(&rack),
            worker.born.elapsed().as_millis(),
            worker.born_ms,
        );
        self.store.put("servers", &worker.id, &value);
    }

    fn start_worker(self: &Arc<Self>, machine: &str) {
        let (listener, address) = bind(self.ip);
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let known = machines.get_mut(machine).expect("a machine");
            known.state = "up";
            if known.pool == self.standby {
                return;
            }
            let worker = Arc::new(Worker {
                id: format!("i-{number:010x}"),
                machine: machine.to_owned(),
                service: known.pool.clone(),
                address,
                born: Instant::now(),
                born_ms: unix_ms(),
                open: Arc::new(AtomicBool::new(true)),
                dark: AtomicBool::new(false),
                state: Mutex::default(),
                ended: Condvar::new(),
                seq: AtomicU64::new(1),
            });
            known.worker = Some(Arc::clone(&worker));
            worker
        };
        let (fleet, serving) = (Arc::clone(self), Arc::clone(&worker));
        http::serve(
            listener,
            Arc::clone(&worker.open),
            Arc::new(move |request| fleet.serve_worker(&serving, request)),
        );
        self.journal.write(&format!(
            "worker {} starts on {machine} in {}",
            worker.id, worker.service
        ));
        self.beat(&worker);
    }

    /// Ends the worker of a machine at once, with all that it runs.
    pub fn end_worker(&self, machine: &str, state: &'static str) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let known = machines.get_mut(machine).expect("a machine");
            known.state = state;
            known.worker.take()
        };
        let Some(worker) = worker else {
            return;
        };
        worker.open.store(false, Ordering::SeqCst);
        let lost = std::mem::take(&mut worker.state.lock().unwrap().running);
        worker.ended.notify_all();
        for (task, running) in &lost {
            self.record_end(&worker.id, task, running.run, "lost");
        }
        self.journal.write(&format!(
            "worker {} on {machine} is gone, {} runs with it",
            worker.id,
            lost.len()
        ));
        // Its entry lapses after three beats of silence.
        let (store, id) = (Arc::clone(&self.store), worker.id.clone());
        thread::spawn(move || {
            thread::sleep(3 * BEAT);
            store.remove("servers", &id);
        });
    }

    /// Crashes a machine's worker; the next one starts after `down`.
    pub fn crash(self: &Arc<Self>, machine: &str, down: Duration) {
        self.end_worker(machine, "down");
        self.start_later(machine, down);
    }

    /// Loses a machine for good: its worker falls silent, and the machine stays down.
    pub fn lose(self: &Arc<Self>, machine: &str) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let known = machines.get_mut(machine).expect("a machine");
            known.state = "down";
            known.worker.take()
        };
        let Some(worker) = worker else {
            return;
        };
        worker.dark.store(true, Ordering::SeqCst);
        let lost = std::mem::take(&mut worker.state.lock().unwrap().running);
        for (task, running) in &lost {
            self.record_end(&worker.id, task, running.run, "lost");
        }
        self.journal.write(&format!(
            "worker {} on {machine} is lost for good and silent, {} runs with it",
            worker.id,
            lost.len()
        ));
        let (store, id) = (Arc::clone(&self.store), worker.id.clone());
        thread::spawn(move || {
            thread::sleep(3 * BEAT);
            store.remove("servers", &id);
        });
    }

    fn start_later(self: &Arc<Self>, machine: &str, after: Duration) {
        let (fleet, machine) = (Arc::clone(self), machine.to_owned());
        thread::spawn(move || {
            thread::sleep(after);
            fleet.start_worker(&machine);
        });
    }

    fn record_begin(&self, worker: &str, task: &str, run: u32) {
        self.runs.lock().unwrap().push(Run {
            begin_ms: self.journal.now_ms(),
            end_ms: None,
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            how: "",
        });
    }

    fn record_end(&self, worker: &str, task: &str, run: u32, how: &'static str) {
        let now = self.journal.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .rev()
            .find(|known| known.task == task && known.run == run && known.worker == worker);
        if let Some(found) = found {
            found.end_ms = Some(now);
            found.how = how;
        }
    }

    fn tick(&self) {
        for worker in self.workers() {
            let mut over = Vec::new();
            let mut state = worker.state.lock().unwrap();
            let now = Instant::now();
            let clock = worker.born.elapsed().as_millis() as u64;
            let lapsed = clock >= state.deadline_ms;
            for (task, running) in &state.running {
                if lapsed {
                    over.push((task.clone(), "lapsed"));
                } else if running.end.is_some_and(|end| now >= end) {
                    over.push((task.clone(), "done"));
                }
            }
            for (task, how) in &over {
                end_run(&mut state, task, how);
            }
            let last: Vec<_> = state.ended.iter().rev().take(over.len()).cloned().collect();
            drop(state);
            for (_, task, run, how) in last {
                self.record_end(&worker.id, &task, run, how);
            }
            if !over.is_empty() {
                worker.ended.notify_all();
            }
        }
    }

    fn serve_worker(&self, worker: &Worker, request: &Request) -> Reply {
        if worker.dark.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(60));
            return Reply::Close;
        }
        if request.path == "/health" {
            return Reply::Answer(200, "{}".into());
        }
        let target = request.header("primroseroute-target-instance");
        if !target.is_empty() && target != worker.id {
            return Reply::Answer(421, "{}".into());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let mut state = worker.state.lock().unwrap();
        if !worker.open.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        let clock = worker.born.elapsed().as_millis() as u64;
        let refuse = |reason: &str| {
            Reply::Answer(
                409,
                format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
            )
        };
        let token = body.get("FencingToken").num();
        if token < state.fence {
            return refuse("fence");
        }
        state.fence = token;
        let fine = || Reply::Answer(200, format!("{{\"ClockMs\":{clock}}}"));
        let task = body.get("Task").str().to_owned();
        let run = body.get("Run").num() as u32;
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.get("DeadlineMs").num();
                if deadline <= clock {
                    return refuse("late");
                }
                state.deadline_ms = state.deadline_ms.max(deadline.min(clock + HOLD_MAX_MS));
                if state
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run)
                {
                    return fine();
                }
                let known = state.running.get(&task).map_or(0, |known| known.run);
                let refused = state.refused.get(&task).copied().unwrap_or(0);
                if run <= refused.max(known) {
                    return refuse("old");
                }
                let Some(step) = self.step(&task) else {
                    return Reply::Answer(400, "{}".into());
                };
                let used = |of: fn(&Step) -> u64| -> u64 {
                    state.running.values().map(|known| of(&known.step)).sum()
                };
                let fits = used(|step| step.cpu) + step.cpu <= self.cores
                    && used(|step| step.mem_mb) + step.mem_mb <= self.mem_mb;
                if !fits || known > 0 {
                    return refuse("room");
                }
                let begin = Instant::now();
                state.running.insert(
                    task.clone(),
                    Running {
                        run,
                        begin,
                        end: (!step.lasts).then(|| begin + step.work),
                        step,
                    },
                );
                drop(state);
                self.record_begin(&worker.id, &task, run);
                fine()
            }
            "/run-stop" => {
                let refused = state.refused.entry(task.clone()).or_default();
                *refused = run.max(*refused);
                let stops = state
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run);
                if stops {
                    end_run(&mut state, &task, "stopped");
                }
                drop(state);
                if stops {
                    self.record_end(&worker.id, &task, run, "stopped");
                    worker.ended.notify_all();
                }
                fine()
            }
            "/hold" => {
                let seen = body.get("LastSeen").num();
                state.ended.retain(|(number, ..)| *number > seen);
                let deadline = body.get("DeadlineMs").num().min(clock + HOLD_MAX_MS);
                state.deadline_ms = state.deadline_ms.max(deadline);
                let wait = Duration::from_millis(body.get("WaitMs").num().min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let open = worker.open.load(Ordering::SeqCst);
                    if !state.ended.is_empty() || left.is_zero() || !open {
                        break;
                    }
                    state = worker.ended.wait_timeout(state, left).unwrap().0;
                }
                if worker.dark.load(Ordering::SeqCst) {
                    drop(state);
                    thread::sleep(Duration::from_secs(60));
                    return Reply::Close;
                }
                Reply::Answer(200, lists(worker, &state))
            }
            "/pace" => fine(),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn step(&self, task: &str) -> Option<Step> {
        let mut parts = task.split('.');
        let id = parts.next()?;
        let number: usize = parts.nth(1)?.parse().ok()?;
        self.jobs.lock().unwrap().get(id)?.get(number).copied()
    }

    /// Answers a call to the interface of the machines.
    pub fn serve_cloud(self: &Arc<Self>, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => Reply::Answer(200, self.list()),
            ("POST", "/machine-move") => self.order(request, "Pool"),
            ("POST", "/machine-upkeep") => self.order(request, "Wave"),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|(name, known)| {
            let id = known.worker.as_ref().map_or("", |worker| &worker.id);
            format!(
                "{{\"Machine\":{},\"Pool\":{},\"State\":\"{}\",\"Zone\":\"zone-1\",\"Labels\":[\"a\",{}],\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Id\":{}}}",
                quote(name),
                quote(&known.pool),
                known.state,
                quote(&known.rack),
                self.cores,
                self.mem_mb,
                quote(id)
            )
        });
        let rows: Vec<String> = rows.collect();
        format!("{{\"Machines\":[{}],\"NextToken\":null}}", rows.join(","))
    }

    fn order(self: &Arc<Self>, request: &Request, kind: &str) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let machine = body.get("Machine").str().to_owned();
        let holder = request.header("primroseroute-lease-holder").to_owned();
        let token = request
            .header("primroseroute-fencing-token")
            .parse()
            .unwrap_or(0);
        let what = match kind {
            "Pool" => format!("move to {}", body.get("Pool").str()),
            _ => format!("upkeep for wave {}", body.get("Wave").num()),
        };
        let now = self.journal.now_ms();
        let busy = || Reply::Answer(409, "{\"Reason\":\"busy\"}".into());
        let (known_pool, state) = {
            let machines = self.machines.lock().unwrap();
            let Some(known) = machines.get(&machine) else {
                return Reply::Answer(400, "{}".into());
            };
            (known.pool.clone(), known.state)
        };
        self.journal.write(&format!(
            "order for {machine} by {holder} with token {token}: {what} (machine is {state})"
        ));
        self.orders
            .lock()
            .unwrap()
            .push((machine.clone(), holder, token, what, now));
        let (pool, down, next) = match kind {
            "Pool" => {
                let to = body.get("Pool").str().to_owned();
                if to == known_pool {
                    return Reply::Answer(200, "{}".into());
                }
                (to, MOVE, "moving")
            }
            _ => {
                let wave = body.get("Wave").num();
                let mut machines = self.machines.lock().unwrap();
                let known = machines.get_mut(&machine).expect("a machine");
                if known.waves.contains(&wave) {
                    return Reply::Answer(200, "{}".into());
                }
                if state == "up" {
                    known.waves.push(wave);
                }
                (known_pool, MAINTENANCE, "upkeep")
            }
        };
        if state != "up" {
            return busy();
        }
        self.end_worker(&machine, next);
        self.machines
            .lock()
            .unwrap()
            .get_mut(&machine)
            .expect("a machine")
            .pool = pool;
        self.start_later(&machine, down);
        Reply::Answer(200, "{}".into())
    }
}

fn end_run(state: &mut WorkerState, task: &str, how: &'static str) {
    if let Some(running) = state.running.remove(task) {
        state.ends += 1;
        let number = state.ends;
        let refused = state.refused.entry(task.to_owned()).or_default();
        *refused = running.run.max(*refused);
        state
            .ended
            .push((number, task.to_owned(), running.run, how));
    }
}

fn lists(worker: &Worker, state: &WorkerState) -> String {
    let running = state.running.iter().map(|(task, known)| {
        let percent = match known.end {
            Some(end) => {
                let whole = (end - known.begin).as_secs_f64().max(0.001);
                (known.begin.elapsed().as_secs_f64() / whole * 100.0).min(99.0) as u64
            }
            None if known.begin.elapsed() > Duration::from_millis(500) => 100,
            None => 0,
        };
        let load = if known.step.lasts { 1 } else { known.step.cpu };
        format!("[{},{},\"\",{percent},{load}]", quote(task), known.run)
    });
    let running: Vec<String> = running.collect();
    let ended = state
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)));
    let ended: Vec<String> = ended.collect();
    format!(
        "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
        worker.born.elapsed().as_millis(),
        worker.born_ms,
        running.join(","),
        ended.join(",")
    )
}

/// The settings file of an entry, as the platform writes it for a small deployment.
pub fn settings(
    name: &str,
    ip: Ipv4Addr,
    (front, ready): (u16, u16),
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let ip = IpAddr::V4(ip);
    format!(
        r#"{{"Node":"{name}","Role":"entry","Class":"edge","Serves":["edge"],"Ip":"{ip}","Zone":"zone-1","Region":"region-1","Zones":{{"zone-1":"region-1"}},"Listen":{{"Front":"{ip}:{front}","Ready":"{ip}:{ready}"}},"PortRange":[7060,7075],"Seeds":[],"Bootstrap":true,"LossCounts":false,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1500,"Contracts":["base","drain","config","cost","recover","sched","platform","upkeep","sharing"],"Tolerate":{{"Machines":2,"Zones":0,"Regions":0}},"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxSkewMs":5000,"RecoveryS":12,"HoldMaxMs":10000,"StopMs":900,"GangMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"FarFactor":3,"CheckpointS":2,"RestoreMs":100,"NoticeMs":4500,"MoveS":1.5,"MaintenanceS":2,"RequireFence":false,"LeaseMs":3000,"ThawMs":300,"PaceMs":100,"HarmMs":4000}},"Commands":"request","Advice":"","platform":{{"Address":"{store}","form":"table","WritesPerS":600,"ReadsPerS":2000,"TxnMs":8.0,"PartitionWritesS":150,"RowBytes":65536,"Across":false,"HistoryS":20,"BlobBytes":8388608,"BlobMs":25.0,"BlobMbS":80.0}},"Cloud":{{"Address":"{cloud}","RatePerS":64.0,"Duties":[],"DutyPerS":64.0}}}}"#
    )
}
