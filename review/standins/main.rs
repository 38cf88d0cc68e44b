//! Cases of the review: starts entries as separate processes beside stand-ins for the platform, the
//! workers and the clients, plays a scenario, and checks one rule.
//!
//! `scenario CASE FOLDER`, run in the repository's root; `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod proxy;
mod world;

use proxy::Proxy;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use world::{Fleet, Journal, Step, Store, bind, settings, unix_ms};

const HOST: &str = "jobs.example";
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

enum Verdict {
    Broken,
    Held,
    NotRun,
}

struct Entry {
    name: String,
    process: Child,
    front: SocketAddr,
    store: Arc<Proxy>,
    cloud: Arc<Proxy>,
}

/// A running deployment. Its processes end with it.
struct Site {
    journal: Arc<Journal>,
    store: Arc<Store>,
    fleet: Arc<Fleet>,
    entries: Vec<Entry>,
    temporary: PathBuf,
    trouble: bool,
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.process.kill();
            let _ = entry.process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        } else {
            eprintln!("logs in {}", self.temporary.display());
        }
    }
}

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ares","Host":"jobs.example","PathPrefix":"/ares/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":0,"Service":"ares","MaxAttempts":3,"Stretch":1.6},{"Name":"r-boreas","Host":"jobs.example","PathPrefix":"/boreas/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":0,"Service":"boreas","MaxAttempts":3,"Stretch":1.6}],"Services":[{"Name":"ares","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":false},{"Name":"boreas","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":false},{"Name":"cellar","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":true}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

impl Site {
    fn start(folder: &str, entries: u8) -> Self {
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let journal = Arc::new(Journal::open(&format!("{folder}/record.txt")));
        journal.write(&format!("disruption: {trouble}"));
        let store = Arc::new(Store::new(Arc::clone(&journal)));
        let id = std::process::id();
        let net = (1 + id % 250) as u8;
        let ip = |last| Ipv4Addr::new(127, 77, net, last);
        let fleet = Fleet::new(
            Arc::clone(&journal),
            Arc::clone(&store),
            (64_000, 256_000),
            "cellar",
            ip(200),
        );
        store.put("op", "config", CONFIG);
        for number in 0..21 {
            let pool = match number {
                0..9 => "ares",
                9..18 => "boreas",
                _ => "cellar",
            };
            let (machine, rack) = (format!("m-{number:02}"), format!("r1-{}", number / 4));
            fleet.add_machine(&machine, pool, &rack);
        }
        let (listener, store_address) = bind(ip(201));
        let serving = Arc::clone(&store);
        let open = Arc::new(AtomicBool::new(true));
        http::serve(
            listener,
            Arc::clone(&open),
            Arc::new(move |request| serving.answer(request)),
        );
        let (listener, cloud_address) = bind(ip(202));
        let serving = Arc::clone(&fleet);
        http::serve(
            listener,
            open,
            Arc::new(move |request| serving.serve_cloud(request)),
        );
        let temporary = std::env::temp_dir().join(format!("review-{id}"));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let mut site = Self {
            journal,
            store,
            fleet,
            entries: Vec::new(),
            temporary,
            trouble,
        };
        for number in 1..=entries {
            let entry = site.start_entry(ip(number), number, store_address, cloud_address);
            site.entries.push(entry);
        }
        site
    }

    fn start_entry(&self, ip: Ipv4Addr, number: u8, store: SocketAddr, cloud: SocketAddr) -> Entry {
        let name = format!("edge-zone-1-{number}");
        let store = Proxy::start(ip, store);
        let cloud = Proxy::start(ip, cloud);
        let (front, ready) = (bind(ip).1, bind(ip).1);
        let ports = (front.port(), ready.port());
        let text = settings(&name, ip, ports, store.address, cloud.address);
        let path = self.temporary.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("the settings can be written");
        let log = std::fs::File::create(self.temporary.join(format!("{name}.log")));
        let mut command = Command::new("target/release/primroseroute");
        command.args(["site", "--metrics-port", "9464"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let process = command
            .env("PRIMROSEROUTE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file starts");
        Entry {
            name,
            process,
            front,
            store,
            cloud,
        }
    }

    /// Waits until jobs of both pools are done; `false` if that takes too long.
    fn is_serving(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        for (number, queue) in ["ares", "boreas"].into_iter().enumerate() {
            let id = format!("{:016x}", 0xfeed_0000 + number);
            self.plan(&id, 1, 100, 200, false);
            let body = job(1, 100, 200, "");
            while !self.submit(queue, &id, &body) {
                if Instant::now() > deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(200));
            }
            while self.state(queue, &id).as_deref() != Some("completed") {
                if Instant::now() > deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        true
    }

    fn plan(&self, id: &str, steps: usize, cpu: u64, work_ms: u64, lasts: bool) {
        let step = Step {
            cpu,
            mem_mb: 64,
            work: Duration::from_millis(work_ms),
            lasts,
        };
        self.fleet.know_job(id, vec![step; steps]);
    }

    /// Hands a job in as a client does: up to five tries with one id, at different entries.
    fn submit(&self, queue: &str, id: &str, body: &str) -> bool {
        for (number, entry) in self.entries.iter().cycle().take(5).enumerate() {
            if number > 0 {
                thread::sleep(Duration::from_millis(300));
            }
            let path = format!("/{queue}/{id}");
            let answer = http::call(entry.front, "POST", &path, HOST, body, CLIENT_TIMEOUT);
            let status = answer.map_or(0, |(status, _)| status);
            self.journal
                .write(&format!("POST {path} to {}: {}", entry.name, shown(status)));
            match status {
                200..300 => return true,
                0 | 429 | 502..=504 => {}
                _ => return false,
            }
        }
        false
    }

    /// Asks for a job's state until there is an answer, at different entries.
    fn state(&self, queue: &str, id: &str) -> Option<String> {
        for entry in self.entries.iter().cycle().take(5) {
            let path = format!("/{queue}/{id}");
            let answer = http::call(entry.front, "GET", &path, HOST, "", CLIENT_TIMEOUT);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            let body = answer.map(|(_, body)| body).unwrap_or_default();
            let state = json::Json::parse(body.as_bytes());
            let state = state.map_or(String::new(), |state| state.get("State").str().to_owned());
            self.journal.write(&format!(
                "GET {path} at {}: {} {state}",
                entry.name,
                shown(status)
            ));
            match status {
                200 => return Some(state),
                410 => return None,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    /// Runs of a job, in the order of their begin, and how many are under way.
    fn runs(&self, id: &str) -> (Vec<world::Run>, usize) {
        let runs = self.fleet.runs.lock().unwrap();
        let of_job = runs.iter().filter(|run| run.task.starts_with(id));
        let of_job: Vec<world::Run> = of_job.cloned().collect();
        let under_way = of_job.iter().filter(|run| run.end_ms.is_none()).count();
        (of_job, under_way)
    }

    /// Sleeps until a time since the start.
    fn until(&self, ms: u64) {
        let left = ms.saturating_sub(self.journal.now_ms());
        thread::sleep(Duration::from_millis(left));
    }

    fn write_runs(&self, id: &str) {
        for run in self.runs(id).0 {
            let end = run.end_ms.map_or("-".into(), |end| end.to_string());
            self.journal.write(&format!(
                "run {}/{} on {} from {} to {end} {}",
                run.task, run.run, run.worker, run.begin_ms, run.how
            ));
        }
    }
}

fn shown(status: u16) -> String {
    if status == 0 {
        "no answer".into()
    } else {
        status.to_string()
    }
}

/// The body of a job with one step.
fn job(count: u64, cpu: u64, estimate_ms: u64, more: &str) -> String {
    format!(
        "{{\"Spec\":\"work\",\"Steps\":[{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstimateMs\":{estimate_ms}}}]{more}}}"
    )
}

/// A scheduled job whose occurrences come due while the platform's store is down.
///
/// LOST: a job has nothing running for 3 s while a task's turn has come, there is capacity for it
/// twice over, and under half of the service's capacity is in use; `finish_s` after the end of the
/// traffic.
fn scheduled_job_and_outage(site: &Site) -> Verdict {
    const COUNT: u64 = 700;
    const TIMES: u64 = 20;
    const INTERVAL_MS: u64 = 1_000;
    /// `platform_down` lasts 4.7 s at most in the site file.
    const OUTAGE: Duration = Duration::from_millis(4_500);
    const FINISH_MS: u64 = 14_000;
    let scheduled = "5c0e7a21d94b36f8";
    let begin_ms = site.journal.now_ms() + 2_000;
    let first_ms = unix_ms() + 2_000;
    site.plan(scheduled, 1, 50, 300, false);
    let more = format!(",\"Times\":{TIMES},\"FirstMs\":{first_ms},\"IntervalMs\":{INTERVAL_MS}");
    if !site.submit("ares", scheduled, &job(COUNT, 50, 300, &more)) {
        return Verdict::NotRun;
    }
    let mut plain = Vec::new();
    let send_plain = |number: u64, plain: &mut Vec<String>| {
        let id = format!("{:016x}", 0xab_0000 + number);
        site.plan(&id, 1, 500, 300, false);
        if site.submit("ares", &id, &job(2, 500, 300, "")) {
            plain.push(id);
        }
    };
    for number in 0..6 {
        site.until(begin_ms + 1_000 * number);
        send_plain(number, &mut plain);
    }
    site.until(begin_ms + 6_000);
    if site.trouble {
        site.journal.write("the store is down: it answers 503");
        site.store.down.store(true, Ordering::SeqCst);
        site.store.interrupt_feeds();
    }
    thread::sleep(OUTAGE);
    site.store.down.store(false, Ordering::SeqCst);
    site.journal.write("the store answers");
    for number in 6..16 {
        site.until(begin_ms + 5_000 + 1_000 * number);
        send_plain(number, &mut plain);
    }
    let last_ms = begin_ms + TIMES * INTERVAL_MS;
    site.until(last_ms.max(begin_ms + 21_000) + FINISH_MS);
    site.journal.write("finish_s is over; jobs are asked for");
    let mut broken = false;
    let window_begins = site.journal.now_ms();
    let mut states = BTreeMap::new();
    for id in plain.iter().map(String::as_str).chain([scheduled]) {
        states.insert(id.to_owned(), site.state("ares", id));
    }
    // Nothing may begin in this window if the rule is to be broken.
    site.until(window_begins + 6_000);
    let all = site.fleet.runs.lock().unwrap().clone();
    let in_use = all
        .iter()
        .filter(|run| run.end_ms.is_none_or(|end| end > window_begins))
        .count();
    let workers = site.fleet.workers();
    let of_pool = workers
        .iter()
        .filter(|worker| worker.service == "ares")
        .count();
    site.journal.write(&format!(
        "pool ares: {of_pool} workers of 64 cores, {in_use} runs of any job in the last 6 s"
    ));
    for (id, state) in &states {
        let (runs, under_way) = site.runs(id);
        let done = runs.iter().filter(|run| run.how == "done").count();
        let begun_in_window = runs.iter().any(|run| run.begin_ms >= window_begins);
        let wanted = if id == scheduled { COUNT * TIMES } else { 2 };
        site.journal.write(&format!(
            "job {id}: shown as {state:?}, {done} of {wanted} tasks done, {under_way} under way"
        ));
        let unfinished = state.as_deref() != Some("completed");
        if unfinished && under_way == 0 && !begun_in_window && of_pool > 0 && in_use == 0 {
            broken = true;
        }
    }
    let of_occurrence = |number: u64, how: &str| {
        let prefix = format!("{scheduled}.{number}.");
        let runs = all.iter().filter(|run| run.task.starts_with(&prefix));
        runs.filter(|run| how.is_empty() || run.how == how).count()
    };
    for number in 0..TIMES {
        site.journal.write(&format!(
            "occurrence {number}, due at {}: {} runs begun, {} done",
            begin_ms + number * INTERVAL_MS,
            of_occurrence(number, ""),
            of_occurrence(number, "done")
        ));
    }
    for id in &plain {
        site.write_runs(id);
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// An order to move a machine that is held up by a partition of its sender.
///
/// ONE: where fences aren't checked, a lower token after a higher one for one machine.
fn order_held_up(site: &Site) -> Verdict {
    /// `node_cut` lasts up to 12 s in the site file.
    const CUT: Duration = Duration::from_secs(11);
    // The pools are idle, and most machines go to the standby pool.
    thread::sleep(Duration::from_secs(6));
    let cut_at = Arc::new(AtomicU64::new(0));
    if site.trouble {
        cut_with_an_order_on_its_way(site, CUT, &cut_at);
    }
    // One pool needs more machines for a moment.
    let first = "4d0e7a21d94b36f8";
    site.plan(first, 1, 4_000, 2_000, false);
    if !site.submit("ares", first, &job(60, 4_000, 2_000, "")) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    // Then the other one needs all that there are.
    let mut heavy = Vec::new();
    for number in 0..8 {
        let id = format!("{:016x}", 0xcd_0000 + number);
        site.plan(&id, 1, 4_000, 12_000, false);
        if site.submit("boreas", &id, &job(60, 4_000, 12_000, "")) {
            heavy.push(id);
        }
    }
    let end = site.journal.now_ms() + 25_000;
    site.until(end);
    let mut highest: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut broken = false;
    let orders = site.fleet.orders.lock().unwrap().clone();
    for (machine, holder, token, what, at) in &orders {
        let known = highest.entry(machine.clone()).or_default();
        if *token < known.0 {
            broken = true;
            site.journal.write(&format!("{machine}: at {at} {holder} orders \"{what}\" with token {token}, after {} had ordered it with token {}", known.1, known.0));
            let runs = site.fleet.runs.lock().unwrap();
            let lost = runs.iter().filter(|run| {
                let ended = run.end_ms.unwrap_or(0);
                run.how == "lost" && (*at..at + 20).contains(&ended)
            });
            site.journal.write(&format!(
                "{} runs end with a machine at that moment",
                lost.count()
            ));
        } else {
            *known = (*token, holder.clone());
        }
    }
    for id in heavy.iter().map(String::as_str).chain([first]) {
        let (runs, under_way) = site.runs(id);
        let of = |how: &str| runs.iter().filter(|run| run.how == how).count();
        site.journal.write(&format!(
            "job {id}: {} runs begun, {} done, {} lost, {under_way} under way",
            runs.len(),
            of("done"),
            of("lost")
        ));
    }
    if orders.is_empty() || (site.trouble && cut_at.load(Ordering::SeqCst) == 0) {
        return Verdict::NotRun;
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Cuts the first entry that orders a machine to move off the platform while the order is on its
/// way.
fn cut_with_an_order_on_its_way(site: &Site, length: Duration, cut_at: &Arc<AtomicU64>) {
    let links: Vec<_> = site
        .entries
        .iter()
        .map(|entry| {
            let links = (Arc::clone(&entry.store), Arc::clone(&entry.cloud));
            (entry.name.clone(), links.0, links.1)
        })
        .collect();
    let armed = Arc::new(AtomicBool::new(true));
    for (_, _, cloud) in &links {
        cloud.cut_at("POST /machine-move", &armed);
    }
    let (journal, cut_at) = (Arc::clone(&site.journal), Arc::clone(cut_at));
    thread::spawn(move || {
        loop {
            let found = links.iter().find(|(.., cloud)| cloud.is_held());
            if let Some((name, store, cloud)) = found {
                store.hold();
                cut_at.store(journal.now_ms(), Ordering::SeqCst);
                journal.write(&format!(
                    "{name} is cut off from the platform, with an order on its way"
                ));
                thread::sleep(length);
                journal.write(&format!("the cut of {name} heals"));
                store.release();
                cloud.release();
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

/// Sound jobs whose workers crash.
///
/// LOST: a job is shown as `failed` without cause (only ends `failed` count as attempts); or for 3 s
/// a task that lasts isn't running, from 6 s after its last run, while there is room for it.
fn crashes_beside_jobs(site: &Site) -> Verdict {
    // Nine tasks that last, on a worker each, keep as many workers in the pool.
    let keeper = "1a0e7a21d94b36f8";
    site.plan(keeper, 1, 1_000, 0, true);
    let body = "{\"Spec\":\"serve\",\"Steps\":[{\"Count\":9,\"Cpu\":1000,\"MemMb\":64,\"EstimateMs\":1000,\"AntiAffinity\":1,\"LongRunning\":true}]}";
    if !site.submit("ares", keeper, body) {
        return Verdict::NotRun;
    }
    let spread = Instant::now() + Duration::from_secs(20);
    while site.runs(keeper).1 < 9 {
        if Instant::now() > spread {
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let batch = "7e0e7a21d94b36f8";
    site.plan(batch, 1, 3_500, 4_000, false);
    if !site.submit("ares", batch, &job(1, 3_500, 4_000, "")) {
        return Verdict::NotRun;
    }
    crash_workers_of(site, batch);
    let lasting = "2b0e7a21d94b36f8";
    site.plan(lasting, 1, 3_500, 0, true);
    let body = "{\"Spec\":\"serve\",\"Steps\":[{\"Count\":1,\"Cpu\":3500,\"MemMb\":64,\"EstimateMs\":1000,\"LongRunning\":true}]}";
    if !site.submit("ares", lasting, body) {
        return Verdict::NotRun;
    }
    crash_workers_of(site, lasting);
    site.journal.write("no more crashes");
    // The last worker is back after 4.5 s; then it is calm.
    thread::sleep(Duration::from_secs(15));
    let state = site.state("ares", batch);
    let (runs, _) = site.runs(batch);
    let failed = runs.iter().filter(|run| run.how == "failed").count();
    site.write_runs(batch);
    site.journal.write(&format!(
        "batch job: shown as {state:?} after {} runs, of which {failed} ended failed",
        runs.len()
    ));
    let is_wrongly_failed = state.as_deref() == Some("failed") && failed == 0;
    let lasting_state = site.state("ares", lasting);
    let (runs, under_way) = site.runs(lasting);
    site.write_runs(lasting);
    let now = site.journal.now_ms();
    let last_end = runs
        .iter()
        .filter_map(|run| run.end_ms)
        .max()
        .unwrap_or(now);
    let workers = site.fleet.workers();
    let of_pool = workers
        .iter()
        .filter(|worker| worker.service == "ares")
        .count();
    let all = site.fleet.runs.lock().unwrap().clone();
    let in_use = all.iter().filter(|run| run.end_ms.is_none()).count();
    site.journal.write(&format!("lasting job: shown as {lasting_state:?}, {under_way} runs under way, the last ended {} ms ago; ares has {of_pool} workers of 64 cores, and {in_use} tasks of 1 core run in all", now - last_end));
    let is_gone = under_way == 0 && now - last_end > 9_000 && of_pool > 2;
    if is_wrongly_failed || is_gone {
        return Verdict::Broken;
    }
    if state.as_deref() == Some("completed") && under_way == 1 {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

/// Crashes the worker of each of the first runs of a job, 0.4 s after the start of the run.
///
/// `srv_crash` ends up to 0.15 of a service's workers at a time, at least one, for 4.5 s.
fn crash_workers_of(site: &Site, id: &str) {
    const CRASHES: u32 = 4;
    const DOWN: Duration = Duration::from_millis(4_500);
    const AGE_MS: u64 = 400;
    if !site.trouble {
        thread::sleep(Duration::from_secs(6));
        return;
    }
    let deadline = Instant::now() + Duration::from_secs(25);
    let mut crashes = 0;
    let mut last = 0;
    while crashes < CRASHES && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
        let (runs, _) = site.runs(id);
        let Some(run) = runs.last().filter(|run| run.end_ms.is_none()) else {
            continue;
        };
        if run.run == last || site.journal.now_ms() < run.begin_ms + AGE_MS {
            continue;
        }
        last = run.run;
        let workers = site.fleet.workers();
        let of_pool = workers
            .iter()
            .filter(|worker| worker.service == "ares")
            .count();
        if let Some(worker) = workers.iter().find(|worker| worker.id == run.worker) {
            crashes += 1;
            site.journal.write(&format!(
                "crash {crashes} beside job {id}: worker {}, one of {of_pool} of ares",
                worker.id
            ));
            site.fleet.crash(&worker.machine, DOWN);
        }
    }
}

/// A task that lasts, whose first start goes to a worker that was lost a moment before.
///
/// LOST: for 3 s a task that lasts isn't running though its turn has come, there is room for it
/// twice over, and under half of the capacity is in use; calm for 4 s before.
fn start_on_a_lost_worker(site: &Site) -> Verdict {
    let lasting = |id: &str, count: u64, cpu: u64, more: &str| {
        site.plan(id, 1, cpu, 0, true);
        let body = format!(
            "{{\"Spec\":\"serve\",\"Steps\":[{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstimateMs\":1000,\"LongRunning\":true{more}}}]}}"
        );
        site.submit("ares", id, &body)
    };
    let wait_for = |id: &str, count: usize, seconds: u64| {
        let deadline = Instant::now() + Duration::from_secs(seconds);
        while site.runs(id).1 < count && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(50));
        }
        site.runs(id).1 >= count
    };
    let (keeper, first, second) = ("1a0e7a21d94b36f8", "2b0e7a21d94b36f8", "3c0e7a21d94b36f8");
    if !lasting(keeper, 9, 1_000, ",\"AntiAffinity\":1") || !wait_for(keeper, 9, 20) {
        return Verdict::NotRun;
    }
    if !lasting(first, 1, 3_500, "") || !wait_for(first, 1, 5) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let on = site
        .runs(first)
        .0
        .last()
        .map(|run| run.worker.clone())
        .unwrap_or_default();
    let lost_at = site.journal.now_ms();
    if site.trouble {
        let workers = site.fleet.workers();
        let of_pool = workers
            .iter()
            .filter(|worker| worker.service == "ares")
            .count();
        if let Some(worker) = workers.iter().find(|worker| worker.id == on) {
            site.journal
                .write(&format!("one worker of {of_pool} of ares is lost"));
            site.fleet.lose(&worker.machine);
        }
    }
    if !lasting(second, 1, 3_500, "") {
        return Verdict::NotRun;
    }
    // Calm from 4 s after the loss on; the rule looks at 3 s after that.
    site.until(lost_at + 10_000);
    let (runs, under_way) = site.runs(second);
    let began = runs.first().map(|run| run.begin_ms - lost_at);
    site.journal.write(&format!("10 s after the loss: the second job has {under_way} runs under way, its first began {began:?} ms after the loss; the first job has {} under way", site.runs(first).1));
    let all = site.fleet.runs.lock().unwrap().clone();
    let in_use = all.iter().filter(|run| run.end_ms.is_none()).count();
    let workers = site.fleet.workers();
    let of_pool = workers
        .iter()
        .filter(|worker| worker.service == "ares")
        .count();
    site.journal.write(&format!(
        "ares has {of_pool} workers of 64 cores, and {in_use} tasks of 1 to 3.5 cores run"
    ));
    let broken = began.is_none_or(|began| began > 10_000);
    wait_for(second, 1, 30);
    site.write_runs(first);
    site.write_runs(second);
    let runs = site.runs(second).0;
    site.journal.write(&format!(
        "the second job's first run began {:?} ms after the loss",
        runs.first().map(|run| run.begin_ms - lost_at)
    ));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("scenario CASE FOLDER");
        return ExitCode::from(2);
    };
    let site = Site::start(folder, 3);
    let verdict = if !site.is_serving() {
        Verdict::NotRun
    } else {
        site.journal.write("all pools serve");
        match case.as_str() {
            "schedule" => scheduled_job_and_outage(&site),
            "held-up" => order_held_up(&site),
            "silent" => start_on_a_lost_worker(&site),
            "crashes" => crashes_beside_jobs(&site),
            _ => Verdict::NotRun,
        }
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule is broken", 1),
        Verdict::Held => ("the rule holds", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    site.journal.write(text);
    println!("{text}");
    drop(site);
    ExitCode::from(code)
}
