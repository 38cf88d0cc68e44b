//! A queue is removed and added again, for another service, while jobs wait in it.

use crate::{
    record::Record,
    site::{SERVICES, Site, job_for},
    store::{Fate, Store},
    workers::KIND,
};
use std::{sync::Arc, thread, time::Duration};

const WAIT: Duration = Duration::from_millis(3_000);
const JOBS: usize = 10;

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Store::new(Box::new(|_places| Fate::Answered));
    let site = Site::start(store, Arc::clone(record), (3, KIND), 3)?;
    thread::sleep(Duration::from_secs(4));
    for number in 0..JOBS {
        let path = format!("/{}/{:016x}", SERVICES[0], 0x1000 + number);
        let job = job_for("takes 500", 1, false, "kind-of-tomorrow");
        let status = site.call(number, "POST", &path, &job, WAIT);
        record.line(&format!("POST {path}: {status}"));
    }
    thread::sleep(Duration::from_secs(6));
    let version = |number: u64, service: Option<&str>| {
        let configuration = crate::site::rerouted(number, SERVICES[0], service);
        site.store.put("op", "config", Some(&configuration));
        record.line(&format!(
            "configuration {number}: {} is for {service:?}",
            SERVICES[0]
        ));
        thread::sleep(Duration::from_secs(4));
    };
    if trouble {
        version(2, None);
        version(3, Some(SERVICES[1]));
    }
    let path = format!("/{}/", SERVICES[0]);
    let (status, body) = site.ask("GET", &path, WAIT);
    record.line(&format!("GET {path}: {status} {body}"));
    let counted =
        crate::json::Json::parse(body.as_bytes()).map_or(0, |body| body.get("QueuedJobs").num());
    let mut breaches = Vec::new();
    if (counted as usize) < JOBS / 2 {
        breaches.push(format!("{counted} jobs are said to wait, and {JOBS} do"));
    }
    Ok(breaches)
}
