//! A small deployment: the platform, its workers, entries, and clients that hand jobs in.

use crate::{
    entry::{self, Entry},
    fleet::{Demand, Fleet},
    http,
    json::{self, Json, object},
    store::Store,
};
use std::{
    env, fs,
    io::{Error, Result, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

pub const HOST: &str = "pule25.example";
/// How long clients wait for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// One step of a job.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub memory: u64,
    pub estimate_ms: u64,
    pub lasts: bool,
    /// A label that its workers must have, or an empty text.
    pub label: String,
}

/// A running deployment.
pub struct Deployment {
    pub store: Store,
    pub fleet: Fleet,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    temporary: PathBuf,
    began: Instant,
    record: Mutex<fs::File>,
    next_job: Mutex<u64>,
    zones: Vec<&'static str>,
}

const ZONES: [&str; 3] = ["bodija-hall", "agodi-hall", "mokola-hall"];

impl Deployment {
    /// Starts the platform, a number of `machines` for each of the services, and `entries` entries.
    pub fn start(
        folder: &Path,
        services: &[&str],
        machines: &[usize],
        capacity: Demand,
        entries: usize,
    ) -> Result<Self> {
        Self::start_with(folder, services, machines, capacity, entries, false)
    }

    /// The same; `gives_born` says whether workers may start again under their ids, and tell when they did.
    pub fn start_with(
        folder: &Path,
        services: &[&str],
        machines: &[usize],
        capacity: Demand,
        entries: usize,
        gives_born: bool,
    ) -> Result<Self> {
        let process = std::process::id();
        let temporary = env::temp_dir().join(format!("review-3-{process}"));
        fs::create_dir_all(&temporary)?;
        // Each entry has an address of its own, since all of them use the ports of the deploy file.
        let [high, low] = [(process >> 7) as u8, (process << 1) as u8];
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, number));
        let platform = ip(1).to_string();
        let store = Store::start(&platform)?;
        let fleet = Fleet::start(&platform, store.clone(), capacity, gives_born)?;
        let record = fs::File::create(folder.join("record.txt"))?;
        let mut deployment = Self {
            store,
            fleet,
            entries: Vec::new(),
            folder: folder.to_owned(),
            temporary,
            began: Instant::now(),
            record: Mutex::new(record),
            next_job: Mutex::new(0),
            zones: ZONES.to_vec(),
        };
        let routes: Vec<(&str, &str)> = services
            .iter()
            .map(|service| (*service, *service))
            .collect();
        deployment.configure(1, &routes, services);
        for (service, &machines) in services.iter().zip(machines) {
            for number in 0..machines {
                let name = format!("m-{service}-{number}");
                let zone = deployment.zones[number % deployment.zones.len()];
                // Four machines share a rack.
                let rack = format!("{service}-r{}", number / 4 + 1);
                deployment.fleet.add(&name, service, zone, &rack);
            }
        }
        let (program, args) = entry::deployed(Path::new("deploy/system.toml"))?;
        let site = entry::Site {
            folder: &deployment.temporary,
            program: &program,
            args: &args,
            store: deployment.store.server.address,
            cloud: deployment.fleet.server.address,
        };
        let mut started = Vec::new();
        for number in 0..entries {
            let zone = deployment.zones[number % deployment.zones.len()];
            let name = format!("edge-{zone}-{}", number / deployment.zones.len() + 1);
            let address = ip(u8::try_from(number + 10).unwrap_or(250));
            started.push(Entry::start(&site, &name, address, zone)?);
        }
        deployment.entries = started;
        let deadline = Instant::now() + Duration::from_secs(15);
        while !deployment.entries.iter().all(Entry::is_ready) {
            if Instant::now() > deadline {
                return Err(Error::other("the entries aren't ready after 15 s"));
            }
            sleep(Duration::from_millis(100));
        }
        deployment.note("all entries are ready");
        Ok(deployment)
    }

    /// Writes a configuration with these queues, each with its service.
    pub fn configure(&self, version: u64, queues: &[(&str, &str)], services: &[&str]) {
        self.note(&format!(
            "operator: version {version}, queues and services {queues:?}"
        ));
        let routes = queues.iter().map(|(queue, service)| {
            object([
                ("Name", format!("r-{queue}").into()),
                ("Host", HOST.into()),
                ("PathPrefix", format!("/{queue}/").into()),
                ("Kind", "non_idempotent".into()),
                ("TimeoutMs", 3_000_u64.into()),
                ("TargetLatencyMs", 600_u64.into()),
                ("Priority", 0_u64.into()),
                ("Service", (*service).into()),
                ("MaxAttempts", 3_u64.into()),
                ("Stretch", 1.6.into()),
            ])
        });
        let pools = services.iter().map(|service| {
            object([
                ("Name", (*service).into()),
                ("HealthPath", "/health".into()),
                ("MaxConns", 64_u64.into()),
                ("RejectsOverload", true.into()),
                ("Standby", false.into()),
            ])
        });
        let configuration = object([
            ("Version", version.into()),
            ("Routes", routes.collect::<Vec<_>>().into()),
            ("Services", pools.collect::<Vec<_>>().into()),
            (
                "Limits",
                object([
                    ("MaxHeaderBytes", 16_384_u64.into()),
                    ("MaxBodyBytes", 262_144_u64.into()),
                    ("HeaderTimeoutMs", 3_000_u64.into()),
                    ("IdleTimeoutMs", 15_000_u64.into()),
                ]),
            ),
        ]);
        self.store.put("op", "config", &configuration);
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        drop(writeln!(record, "{at:8.3} {line}"));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.began).as_secs_f64()
    }

    pub fn new_job(&self) -> String {
        let mut next = self.next_job.lock().unwrap();
        *next += 1;
        format!("{:016x}", *next * 0x9e37_79b9_7f4a)
    }

    /// One call of a client to one entry; the status, or 0 without an answer.
    pub fn call(&self, to: &Entry, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_at(to.front, &to.name, method, path, body)
    }

    fn call_at(
        &self,
        to: SocketAddr,
        name: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let millis = CLIENT_TIMEOUT.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Primroseroute-Timeout-Ms", millis.as_str()),
        ];
        let answer = http::call(to, method, path, &headers, body, CLIENT_TIMEOUT);
        let (status, answer) = answer.unwrap_or_default();
        let shown = if status == 0 {
            "no answer".to_owned()
        } else {
            status.to_string()
        };
        self.note(&format!(
            "client {method} {path} at {name}: {shown} {answer} {body}"
        ));
        (status, answer)
    }

    /// Hands a job in, at one entry after the other as long as it isn't accepted; returns whether it is.
    pub fn submit(&self, service: &str, id: &str, spec: &str, steps: &[Step]) -> bool {
        let demands = steps.iter().map(|step| Demand {
            cpu: step.cpu,
            memory: step.memory,
        });
        self.fleet.set_demand(id, demands.collect());
        let steps = steps.iter().map(|step| {
            let mut fields = vec![
                ("Count".to_owned(), step.count.into()),
                ("Cpu".to_owned(), step.cpu.into()),
                ("MemMb".to_owned(), step.memory.into()),
                ("EstimateMs".to_owned(), step.estimate_ms.into()),
            ];
            if step.lasts {
                fields.push(("LongRunning".to_owned(), true.into()));
            }
            if !step.label.is_empty() {
                fields.push(("RequiredLabel".to_owned(), step.label.as_str().into()));
            }
            Json::Object(fields.into_iter().collect())
        });
        let body = object([
            ("Spec", spec.into()),
            ("Steps", steps.collect::<Vec<_>>().into()),
        ]);
        let first = id.bytes().map(usize::from).sum::<usize>();
        for attempt in 0..4 {
            let to = &self.entries[(first + attempt) % self.entries.len()];
            let (status, _answer) =
                self.call(to, "POST", &format!("/{service}/{id}"), &body.to_string());
            if (200..300).contains(&status) {
                return true;
            }
            sleep(Duration::from_millis(200));
        }
        false
    }

    /// The entry that owns a pool, by the row that the entries keep in the store.
    pub fn owner(&self, pool: &str) -> Option<&Entry> {
        let value = self.store.value("control", pool, "owner")?;
        let row = String::from_utf8(json::decode_base64(&value)).ok()?;
        let row = Json::parse(&row)?;
        self.entries
            .iter()
            .find(|entry| entry.name == row.text("entry"))
    }

    /// Ends all processes, and writes what they and the workers did to the record.
    pub fn end(self) {
        for entry in &self.entries {
            entry.end();
        }
        // Nothing is left to be ended by the script.
        if let Some(list) = env::var_os("PROCESSES") {
            drop(fs::write(list, ""));
        }
        for event in self.fleet.events() {
            let at = self.seconds(event.at);
            let crate::fleet::Event {
                what,
                worker,
                task,
                run,
                ..
            } = event;
            let line = format!("worker {worker} at {at:.3}: {what} {task} run {run}");
            self.note(&line);
        }
        for entry in &self.entries {
            for incident in entry.incidents() {
                let at = self.seconds(incident.at);
                let line = format!("entry {} at {at:.3}: {}", incident.entry, incident.what);
                self.note(&line);
            }
        }
        if env::var("KEEP_LOGS").is_ok() {
            eprintln!(
                "logs in {}, record in {}",
                self.temporary.display(),
                self.folder.display()
            );
        } else {
            drop(fs::remove_dir_all(&self.temporary));
        }
    }
}
