//! A small deployment: the platform's store, workers and machines, and entries as processes.

use crate::{
    http::{self, Client},
    json::{Json, map, n, s},
    record::Record,
    store::{Served, Store},
    workers::Machines,
};
use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "desk.example";
pub const SERVICES: [&str; 5] = ["desk", "hall", "gate", "office", "staff"];

/// Bounds of a small deployment, in milliseconds.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const CANCEL: Duration = Duration::from_millis(3_000);

pub struct Site {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub machines: Arc<Machines>,
    pub fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    entries: Vec<Child>,
    folder: PathBuf,
}

fn settings(name: &str, ip: Ipv4Addr, store: SocketAddr, machines: SocketAddr) -> Json {
    let at = |port: u16| s(format!("{ip}:{port}"));
    let bounds = Json::parse(
        br#"{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
        "GraceS":6,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxSkewMs":5000,
        "RecoveryS":12,"HoldMaxMs":6000,"StopMs":400,"GangMs":3000,"cancel_ms":3000,
        "visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"FarFactor":2,"CheckpointS":1,
        "RestoreMs":600,"NoticeMs":4500,"MoveS":1.5,"MaintenanceS":2,"RequireFence":false,
        "LeaseMs":3000,"ThawMs":300,"PaceMs":100,"HarmMs":4000}"#,
    );
    let limits =
        br#"{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}"#;
    map([
        ("Node", s(name)),
        ("Role", s("entry")),
        ("Class", s("edge")),
        ("Serves", Json::List(vec![s("edge")])),
        ("Ip", s(ip.to_string())),
        ("Zone", s("zone-a")),
        ("Region", s("region-a")),
        ("Zones", map([("zone-a", s("region-a"))])),
        ("Listen", map([("Front", at(8_624)), ("Ready", at(8_622))])),
        ("Seeds", Json::List(Vec::new())),
        ("Bootstrap", Json::Bool(true)),
        ("Limits", Json::parse(limits).expect("valid")),
        ("Discovery", s("platform")),
        ("Entry", s("vip")),
        ("HeartbeatMs", n(1_500)),
        ("Bounds", bounds.expect("valid")),
        ("Commands", s("request")),
        ("Advice", s("")),
        (
            "platform",
            map([
                ("Address", s(store.to_string())),
                ("form", s("table")),
                ("WritesPerS", n(600)),
                ("ReadsPerS", n(2_000)),
                ("RowBytes", n(65_536)),
                ("Across", Json::Bool(false)),
                ("HistoryS", n(20)),
            ]),
        ),
        (
            "Cloud",
            map([("Address", s(machines.to_string())), ("DutyPerS", n(64))]),
        ),
    ])
}

/// A configuration with these queues: the first of each service, and others of the first one.
pub fn configuration(version: u64, added: &[&str]) -> Json {
    let queue = |name: &str, service: &str| {
        map([
            ("Name", s(name)),
            ("Host", s(HOST)),
            ("PathPrefix", s(format!("/{name}/"))),
            ("Service", s(service)),
            ("Priority", n(0)),
            ("MaxAttempts", n(3)),
            ("Stretch", n(2)),
            ("TargetLatencyMs", n(600)),
        ])
    };
    let service = |name: &&str| {
        map([
            ("Name", s(*name)),
            ("HealthPath", s("/health")),
            ("RejectsOverload", Json::Bool(true)),
        ])
    };
    let mut routes: Vec<Json> = SERVICES.iter().map(|name| queue(name, name)).collect();
    routes.extend(added.iter().map(|name| queue(name, SERVICES[0])));
    let services = SERVICES.iter().map(service).collect();
    let limits = map([
        ("MaxHeaderBytes", n(8_192)),
        ("MaxBodyBytes", n(262_144)),
        ("HeaderTimeoutMs", n(5_000)),
        ("IdleTimeoutMs", n(30_000)),
    ]);
    map([
        ("Version", n(version)),
        ("Routes", Json::List(routes)),
        ("Services", Json::List(services)),
        ("Limits", limits),
    ])
}

/// A configuration with the first queue of each service, but one queue for another service or for none.
pub fn rerouted(version: u64, queue: &str, service: Option<&str>) -> Json {
    let Json::Map(mut all) = configuration(version, &[]) else {
        return Json::Null;
    };
    let routes = all.get("Routes").map_or(&[][..], Json::list);
    let routes = routes.iter().filter_map(|route| {
        if route.get("Name").str() != queue {
            return Some(route.clone());
        }
        let Json::Map(mut route) = route.clone() else {
            return None;
        };
        route.insert("Service".to_owned(), s(service?));
        Some(Json::Map(route))
    });
    let routes = Json::List(routes.collect());
    all.insert("Routes".to_owned(), routes);
    Json::Map(all)
}

/// A job with one step of `count` tasks.
pub fn job(spec: &str, count: u64, lasts: bool) -> String {
    job_for(spec, count, lasts, "")
}

/// The same, whose workers must have a label, if one is given.
pub fn job_for(spec: &str, count: u64, lasts: bool, label: &str) -> String {
    let mut step = vec![
        ("Count", n(count)),
        ("Cpu", n(1_000)),
        ("MemMb", n(256)),
        ("EstimateMs", n(500)),
    ];
    if lasts {
        step.push(("LongRunning", Json::Bool(true)));
        step.push(("MayMiss", n(1)));
    }
    if !label.is_empty() {
        step.push(("RequiredLabel", s(label)));
    }
    let step = step.into_iter().map(|(key, value)| (key.to_owned(), value));
    let steps = Json::List(vec![Json::Map(step.collect())]);
    map([("Spec", s(spec)), ("Steps", steps)]).text()
}

impl Site {
    /// Starts everything, and waits until all entries are ready.
    pub fn start(
        store: Arc<Store>,
        record: Arc<Record>,
        workers: (usize, &'static str),
        entries: u8,
    ) -> Result<Self, String> {
        let pid = std::process::id();
        let ip = |last: u8| {
            let [.., high, low] = pid.to_be_bytes();
            Ipv4Addr::new(127, 16 + high % 64, low, last)
        };
        let folder = std::env::temp_dir().join(format!("review-site-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let any = |last: u8| SocketAddr::from((ip(last), 0));
        store.put("op", "config", Some(&configuration(1, &[])));
        let served = http::serve(any(100), Arc::new(Served(Arc::clone(&store))));
        let store_at = served.map_err(|error| error.to_string())?;
        let machines = Machines::start(&SERVICES, workers, any(101), &store, &record);
        let machines = Arc::new(machines);
        let machines_at = http::serve(any(102), Arc::clone(&machines) as _);
        let machines_at = machines_at.map_err(|error| error.to_string())?;
        let mut site = Self {
            store,
            record,
            machines,
            fronts: Vec::new(),
            readies: Vec::new(),
            entries: Vec::new(),
            folder,
        };
        for number in 1..=entries {
            let name = format!("edge-{number}");
            let file = site.folder.join(format!("{name}.json"));
            let text = settings(&name, ip(number), store_at, machines_at).text();
            fs::write(&file, text).map_err(|error| error.to_string())?;
            site.fronts.push(SocketAddr::from((ip(number), 8_624)));
            site.readies.push(SocketAddr::from((ip(number), 8_622)));
            let log = File::create(site.folder.join(format!("{name}.log")));
            let log = log.map_err(|error| error.to_string())?;
            let child = Command::new("target/release/primroseroute")
                .args(["site", "--metrics-port", "9464"])
                .env("PRIMROSEROUTE_CONFIG", &file)
                .stdin(Stdio::null())
                .stderr(log.try_clone().map_err(|error| error.to_string())?)
                .stdout(log)
                .spawn();
            site.entries.push(child.map_err(|error| error.to_string())?);
        }
        site.wait_ready()?;
        site.record.line(&format!(
            "{entries} entries ready, {} workers in each pool",
            workers.0
        ));
        Ok(site)
    }

    fn wait_ready(&self) -> Result<(), String> {
        let begin = Instant::now();
        for ready in &self.readies {
            let mut client = Client::new(*ready);
            loop {
                let answer = client.call("GET", "/ready", HOST, "", Duration::from_secs(1));
                if answer.is_some_and(|(status, _body)| status == 200) {
                    break;
                }
                if begin.elapsed() > Duration::from_secs(15) {
                    return Err(format!("{ready} isn't ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// One call at the first entry; returns the status and the body, or 0 without an answer.
    pub fn ask(&self, method: &str, path: &str, wait: Duration) -> (u16, String) {
        let mut client = Client::new(self.fronts[0]);
        client
            .call(method, path, HOST, "", wait)
            .unwrap_or_default()
    }

    /// One call of a client, with a connection of its own; returns 0 without an answer.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str, wait: Duration) -> u16 {
        let mut client = Client::new(self.fronts[entry % self.fronts.len()]);
        let answer = client.call(method, path, HOST, body, wait);
        answer.map_or(0, |(status, _body)| status)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.kill();
            let _ = entry.wait();
        }
        // The logs of the entries are in it.
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
