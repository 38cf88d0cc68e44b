//! A worker is cut off from the store, crashes and starts again under its id, as another kind.

use crate::{
    record::Record,
    site::{SERVICES, Site, job_for},
    store::{Fate, Store},
    workers::KIND,
};
use std::{sync::Arc, thread, time::Duration};

const WAIT: Duration = Duration::from_millis(3_000);

/// How long the worker is cut off, and how long it is down.
const CUT: Duration = Duration::from_millis(5_000);
const DOWN: Duration = Duration::from_millis(1_000);

/// How many of the workers: one in five.
const CUT_WORKERS: usize = 3;

const JOBS: usize = 100;
const APART: Duration = Duration::from_millis(100);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Store::new(Box::new(|_places| Fate::Answered));
    let site = Site::start(store, Arc::clone(record), (3, KIND), 3)?;
    thread::sleep(Duration::from_secs(6));
    let jobs: Vec<String> = thread::scope(|scope| {
        for service in &SERVICES[..CUT_WORKERS] {
            let machine = format!("m-{service}-0");
            let site = &site;
            scope.spawn(move || {
                thread::sleep(Duration::from_secs(1));
                if let Some(worker) = site.machines.worker(&machine).filter(|_worker| trouble) {
                    site.record
                        .line(&format!("worker {} is cut off from the store", worker.id));
                    worker.set_cut(true);
                    worker.restart(DOWN, "kind-b", false);
                    thread::sleep(CUT - DOWN);
                    worker.set_cut(false);
                    site.record
                        .line(&format!("worker {} reaches the store again", worker.id));
                }
            });
        }
        let numbers = 0..JOBS;
        let jobs = numbers.map(|number| {
            thread::sleep(APART);
            let id = format!("{:016x}", 0x1000 + number);
            let path = format!("/{}/{id}", SERVICES[number % SERVICES.len()]);
            let job = job_for("takes 800", 8, false, KIND);
            let posted = site.call(number, "POST", &path, &job, WAIT);
            record.line(&format!(
                "POST {path}, 8 tasks that require {KIND}: {posted}"
            ));
            id
        });
        jobs.collect()
    });
    thread::sleep(Duration::from_secs(6));
    let mut breaches = Vec::new();
    for id in &jobs {
        for (at, kind) in record.starts_of(id) {
            if kind != KIND {
                let at = at.as_secs_f64();
                breaches.push(format!(
                    "a task of {id}, which requires {KIND}, starts on a worker of {kind} at {at:.3}"
                ));
            }
        }
    }
    Ok(breaches)
}
