//! The cases, and the check of the rule on jobs that nothing runs of.

use crate::{
    fleet::{Cut, Demand, KIND},
    json::Json,
    site::{Deployment, Step},
};
use std::{
    collections::BTreeSet,
    io::{Error, Result},
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

/// A worker of the site file: 16 cores, 64 GB.
const WORKER: Demand = Demand {
    cpu: 16_000,
    memory: 65_536,
};

/// `finish_s`: time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// How long a job may have nothing running while its turn has come and there is room.
const STUCK: Duration = Duration::from_secs(3);

/// Length of a cut: that of the site file's cuts of workers.
const CUT: Duration = Duration::from_millis(5_500);

/// How long a worker is cut off from the store, and how long it is down behind the cut.
const STORE_CUT: Duration = Duration::from_millis(5_000);
const DOWN: Duration = Duration::from_millis(1_000);

/// A job that is accepted; all have one step of tasks that take half a second.
struct Job {
    service: &'static str,
    id: String,
    step: Step,
}

fn usual_step() -> Step {
    Step {
        count: 2,
        cpu: 2_000,
        memory: 1_024,
        estimate_ms: 500,
        lasts: false,
        label: String::new(),
    }
}

fn hand_in(site: &Deployment, service: &'static str, step: Step) -> Option<Job> {
    hand_in_with(site, service, "ms=500", step)
}

fn hand_in_with(site: &Deployment, service: &'static str, spec: &str, step: Step) -> Option<Job> {
    let id = site.new_job();
    let is_accepted = site.submit(service, &id, spec, std::slice::from_ref(&step));
    is_accepted.then_some(Job { service, id, step })
}

/// The jobs that have nothing running for 3 s though a task's turn has come, there is capacity for the job
/// twice over, and under half of the service's capacity is in use.
fn stuck<'a>(site: &Deployment, jobs: &'a [Job]) -> Vec<&'a Job> {
    let begin = Instant::now();
    let mut stuck: Vec<&Job> = jobs.iter().collect();
    while begin.elapsed() < STUCK {
        let workers = site.fleet.workers();
        let events = site.fleet.events();
        let done = events.iter().filter(|event| event.what == "done");
        let done: BTreeSet<&str> = done.map(|event| event.task.as_str()).collect();
        let running: BTreeSet<String> = workers.iter().flat_map(|worker| worker.tasks()).collect();
        stuck.retain(|job| {
            let tasks = (0..job.step.count).map(|index| format!("{}.0.0.{index}", job.id));
            let open: Vec<String> = tasks.filter(|task| !done.contains(task.as_str())).collect();
            let of_service = workers
                .iter()
                .filter(|worker| worker.service == job.service);
            let all: u64 = of_service.clone().map(|worker| worker.capacity.cpu).sum();
            let used: u64 = of_service.clone().map(|worker| worker.used_cpu()).sum();
            let able = of_service.filter(|worker| worker.has_label(&job.step.label));
            let room: u64 = able
                .map(|worker| worker.capacity.cpu - worker.used_cpu())
                .sum();
            let needed = job.step.cpu * job.step.count;
            let is_idle = !open.is_empty() && !open.iter().any(|task| running.contains(task));
            is_idle && room >= 2 * needed && used * 2 < all
        });
        sleep(Duration::from_millis(100));
    }
    for job in &stuck {
        let path = format!("/{}/{}", job.service, job.id);
        let (status, state) = site.call(&site.entries[0], "GET", &path, "");
        site.note(&format!(
            "job {}: not done, nothing of it has run for 3 s; shown as {status} {state}",
            job.id
        ));
    }
    stuck
}

/// Writes the outcome, and ends the deployment; returns whether the rule held.
fn conclude(site: Deployment, accepted: usize, stuck: usize, more: &str) -> bool {
    let outcome = if stuck == 0 { "held" } else { "broken" };
    let summary = format!(
        "{accepted} jobs accepted, {stuck} of them stuck beside free workers; {more}; LOST {outcome}"
    );
    site.note(&summary);
    println!("{summary}");
    site.end();
    stuck == 0
}

/// One job that can never be done, since its client has given the memory of its tasks in bytes: do the
/// other jobs go on?
pub fn hopeless_job(folder: &Path, has_trouble: bool) -> Result<bool> {
    let site = Deployment::start(folder, &["desk", "hub"], &[4, 4], WORKER, 3)?;
    let begin = Instant::now();
    let mut jobs: Vec<Job> = Vec::new();
    let mut is_sent = false;
    while begin.elapsed() < Duration::from_secs(35) {
        if has_trouble && !is_sent && begin.elapsed() >= Duration::from_secs(10) {
            let id = site.new_job();
            let step = Step {
                count: 100,
                memory: 64 << 30,
                lasts: true,
                ..usual_step()
            };
            is_sent = site.submit("hub", &id, "last", &[step]);
            site.note(&format!(
                "the job that can't be done is {id}: accepted {is_sent}"
            ));
        }
        for service in ["desk", "hub"] {
            jobs.extend(hand_in(&site, service, usual_step()));
        }
        sleep(Duration::from_millis(500));
    }
    site.note("end of the traffic");
    sleep(FINISH);
    let stuck = stuck(&site, &jobs).len();
    let incidents = site.entries.iter().map(|entry| {
        let incidents = entry.incidents();
        let killed = incidents
            .iter()
            .filter(|incident| incident.what.starts_with("killed"));
        format!("{} {} times", entry.name, killed.count())
    });
    let incidents: Vec<String> = incidents.collect();
    let more = format!("killed for their memory: {}", incidents.join(", "));
    Ok(conclude(site, jobs.len(), stuck, &more))
}

/// A worker is cut off for a while: its own packets get lost, those to it arrive. Is it used again?
pub fn cut_worker(folder: &Path, has_trouble: bool) -> Result<bool> {
    let site = Deployment::start(folder, &["desk"], &[5], WORKER, 3)?;
    let workers = site.fleet.workers();
    let cut = workers.iter().find(|worker| worker.rack == "desk-r2");
    let cut = cut.ok_or_else(|| Error::other("no worker in the second rack"))?;
    let in_rack = |rack: &str| Step {
        label: rack.to_owned(),
        ..usual_step()
    };
    let begin = Instant::now();
    let mut jobs: Vec<Job> = Vec::new();
    let mut cut_at: Option<Instant> = None;
    let mut is_healed = false;
    while begin.elapsed() < Duration::from_secs(30) {
        let at = begin.elapsed();
        jobs.extend(hand_in(&site, "desk", in_rack("desk-r1")));
        if at < Duration::from_secs(6) || at >= Duration::from_secs(18) {
            jobs.extend(hand_in(&site, "desk", in_rack(&cut.rack)));
        }
        if has_trouble && cut_at.is_none() && at >= Duration::from_secs(8) {
            site.note(&format!(
                "worker {} is cut off: its packets get lost",
                cut.id
            ));
            cut.set_cut(Some(Cut::Outgoing(Instant::now())));
            cut_at = Some(Instant::now());
        }
        if !is_healed && cut_at.is_some_and(|since| since.elapsed() >= CUT) {
            site.note(&format!("the cut of worker {} heals", cut.id));
            cut.set_cut(None);
            is_healed = true;
        }
        sleep(Duration::from_millis(250));
    }
    site.note("end of the traffic");
    sleep(FINISH);
    let stuck = stuck(&site, &jobs).len();
    let refused = cut.refused_tokens();
    let more = format!("the worker of the second rack has refused {refused} calls for their token");
    Ok(conclude(site, jobs.len(), stuck, &more))
}

/// A queue with jobs that wait is sent to another service: does the count of its queued jobs stay right?
pub fn moved_queue(folder: &Path, has_trouble: bool) -> Result<bool> {
    let services = ["desk", "hub"];
    let site = Deployment::start(folder, &services, &[2, 1], WORKER, 3)?;
    // The workers of both services are full for the whole case.
    for (service, tasks) in [("desk", 16), ("hub", 8)] {
        let step = Step {
            count: tasks,
            ..usual_step()
        };
        if hand_in_with(&site, service, "ms=300000", step).is_none() {
            return Err(Error::other(
                "the jobs that fill the workers aren't accepted",
            ));
        }
    }
    sleep(Duration::from_secs(3));
    let mut waiting = Vec::new();
    for _job in 0..10 {
        waiting.extend(hand_in(&site, "desk", usual_step()));
    }
    sleep(Duration::from_secs(8));
    let queues: &[(&str, &str)] = if has_trouble {
        &[("desk", "hub"), ("hub", "hub")]
    } else {
        &[("desk", "desk"), ("hub", "hub")]
    };
    site.configure(2, queues, &services);
    sleep(Duration::from_secs(5));
    let mut lowest = u64::MAX;
    for _round in 0..10 {
        for entry in &site.entries {
            let (status, answer) = site.call(entry, "GET", "/desk/", "");
            let count = Json::parse(&answer).and_then(|answer| answer.number("QueuedJobs"));
            if let (200, Some(count)) = (status, count) {
                lowest = lowest.min(count);
            }
        }
        sleep(Duration::from_millis(500));
    }
    let started: BTreeSet<String> = site
        .fleet
        .events()
        .into_iter()
        .filter(|event| event.what == "started")
        .filter_map(|event| event.task.split('.').next().map(str::to_owned))
        .collect();
    let unbegun = waiting
        .iter()
        .filter(|job| !started.contains(&job.id))
        .count() as u64;
    let holds = lowest != u64::MAX && lowest * 2 >= unbegun;
    let summary = format!(
        "{} jobs accepted over 5 s before, {unbegun} of them not begun; lowest QueuedJobs {lowest}; MIXED {}",
        waiting.len(),
        if holds { "held" } else { "broken" },
    );
    site.note(&summary);
    println!("{summary}");
    site.end();
    if unbegun == 0 {
        return Err(Error::other("all jobs have begun"));
    }
    Ok(holds)
}

/// Jobs are placed on a worker that has just been cut off, and their pool's owner is stopped and started
/// again: does the count of queued jobs stay right?
pub fn cut_and_restart(folder: &Path, has_trouble: bool) -> Result<bool> {
    let site = Deployment::start(folder, &["desk"], &[5], WORKER, 3)?;
    let workers = site.fleet.workers();
    let cut = workers.iter().find(|worker| worker.rack == "desk-r2");
    let cut = cut.ok_or_else(|| Error::other("no worker in the second rack"))?;
    let in_rack = || Step {
        label: cut.rack.clone(),
        ..usual_step()
    };
    for _job in 0..4 {
        hand_in(&site, "desk", in_rack());
    }
    sleep(Duration::from_secs(4));
    let cut_at = Instant::now();
    if has_trouble {
        site.note(&format!("worker {} is cut off", cut.id));
        cut.set_cut(Some(Cut::Both));
    }
    let mut jobs: Vec<Job> = Vec::new();
    for _job in 0..4 {
        jobs.extend(hand_in(&site, "desk", in_rack()));
    }
    let accepted_at = Instant::now();
    sleep(Duration::from_millis(300));
    let owner = site
        .owner("desk")
        .ok_or_else(|| Error::other("the pool has no owner"))?;
    if has_trouble {
        site.note(&format!("SIGTERM to {}", owner.name));
        owner.signal("-TERM");
    }
    let mut lowest = u64::MAX;
    let mut unbegun = 0;
    while cut_at.elapsed() < CUT {
        sleep(Duration::from_millis(50));
        // `visible_ms` and 2 s.
        if accepted_at.elapsed() < Duration::from_millis(5_050) {
            continue;
        }
        let events = site.fleet.events();
        let started = |job: &Job| {
            let mut starts = events.iter().filter(|event| event.what == "started");
            starts.any(|event| event.task.starts_with(job.id.as_str()))
        };
        let waiting = jobs.iter().filter(|job| !started(job)).count() as u64;
        for entry in site.entries.iter().filter(|entry| entry.name != owner.name) {
            let (status, answer) = site.call(entry, "GET", "/desk/", "");
            let count = Json::parse(&answer).and_then(|answer| answer.number("QueuedJobs"));
            if let (200, Some(count)) = (status, count)
                && count * 2 < waiting
            {
                lowest = lowest.min(count);
                unbegun = waiting;
            }
        }
    }
    cut.set_cut(None);
    let holds = lowest == u64::MAX;
    let shown = if holds {
        "right".to_owned()
    } else {
        format!("{lowest} for {unbegun} that haven't begun")
    };
    let outcome = if holds { "held" } else { "broken" };
    let summary = format!(
        "{} jobs accepted; QueuedJobs {shown}; MIXED {outcome}",
        jobs.len()
    );
    site.note(&summary);
    println!("{summary}");
    site.end();
    Ok(holds)
}

/// A worker is lost for good and falls silent, and a task that lasts is placed on it a moment later: is the task
/// started elsewhere in time?
pub fn lost_worker(folder: &Path, has_trouble: bool) -> Result<bool> {
    let site = Deployment::start(folder, &["desk"], &[5], WORKER, 3)?;
    let lasting = || {
        let step = Step {
            count: 1,
            lasts: true,
            ..usual_step()
        };
        let job = hand_in_with(&site, "desk", "last", step);
        job.ok_or_else(|| Error::other("a job isn't accepted"))
    };
    let first = lasting()?;
    sleep(Duration::from_secs(5));
    let workers = site.fleet.workers();
    let runs = |job: &Job| {
        let workers = site.fleet.workers();
        let mut tasks = workers.iter().flat_map(|worker| worker.tasks());
        tasks.any(|task| task.starts_with(job.id.as_str()))
    };
    let used = workers.iter().find(|worker| !worker.tasks().is_empty());
    let used = used.ok_or_else(|| Error::other("the first task doesn't run"))?;
    let lost_at = Instant::now();
    if has_trouble {
        site.note(&format!("worker {} is lost for good and silent", used.id));
        site.fleet.lose(used);
    }
    let second = lasting()?;
    let (mut first_idle, mut second_idle) = (Duration::ZERO, Duration::ZERO);
    while lost_at.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(50));
        if !runs(&first) {
            first_idle = lost_at.elapsed();
        }
        if !runs(&second) {
            second_idle = lost_at.elapsed();
        }
    }
    // `ContactMs`, the 4 s before that have to be calm, and the 3 s of the rule.
    let limit = Duration::from_secs(3 + 4) + STUCK;
    let holds = second_idle < limit && first_idle < limit;
    let outcome = if holds { "held" } else { "broken" };
    let summary = format!(
        "after the loss, the task of the first job runs again after {:.1} s, that of the second runs first after {:.1} s, beside four workers that are nearly idle; LOST {outcome}",
        first_idle.as_secs_f64(),
        second_idle.as_secs_f64(),
    );
    site.note(&summary);
    println!("{summary}");
    site.end();
    Ok(holds)
}

/// A worker is cut off from the store, crashes, and starts again under its id as another kind: does it get tasks
/// that require the former one?
pub fn other_kind(folder: &Path, has_trouble: bool) -> Result<bool> {
    let site = Deployment::start_with(folder, &["desk"], &[5], WORKER, 3, true)?;
    let workers = site.fleet.workers();
    let begin = Instant::now();
    let mut jobs: Vec<Job> = Vec::new();
    std::thread::scope(|scope| {
        if has_trouble {
            scope.spawn(|| {
                sleep(Duration::from_secs(6));
                // One that is at work.
                let Some(cut) = workers.iter().max_by_key(|worker| worker.used_cpu()) else {
                    return;
                };
                site.note(&format!("worker {} is cut off from the store", cut.id));
                cut.set_reaches_store(false);
                site.note(&format!("worker {} crashes", cut.id));
                cut.restart(DOWN, "b");
                site.note(&format!("worker {} is up again, as kind b", cut.id));
                sleep(STORE_CUT - DOWN);
                cut.set_reaches_store(true);
                site.note(&format!("worker {} reaches the store again", cut.id));
            });
        }
        while begin.elapsed() < Duration::from_secs(16) {
            let step = Step {
                count: 8,
                label: KIND.to_owned(),
                ..usual_step()
            };
            jobs.extend(hand_in(&site, "desk", step));
            sleep(Duration::from_millis(200));
        }
    });
    sleep(Duration::from_secs(6));
    let events = site.fleet.events();
    let starts = events.iter().filter(|event| event.what == "started");
    let breaches: Vec<_> = starts.filter(|event| event.kind != KIND).collect();
    for event in &breaches {
        site.note(&format!(
            "{} run {}, which requires kind {KIND}, was started on {}, of kind {}",
            event.task, event.run, event.worker, event.kind
        ));
    }
    let outcome = if breaches.is_empty() {
        "held"
    } else {
        "broken"
    };
    let summary = format!(
        "{} jobs accepted; {} starts on a worker without the required label; ROUTE {outcome}",
        jobs.len(),
        breaches.len()
    );
    let holds = breaches.is_empty();
    site.note(&summary);
    println!("{summary}");
    site.end();
    Ok(holds)
}
