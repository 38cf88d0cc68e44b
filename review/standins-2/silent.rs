//! Open connections to the store go silent for good, while new ones work.

use crate::{
    record::Record,
    site::{self, CONFIG_APPLY, CONTACT, SERVICES, Site, job},
    store::{Fate, Store},
    workers::KIND,
};
use std::{sync::Arc, thread, time::Duration};

const WAIT: Duration = Duration::from_millis(3_000);

/// Clients of one entry that hand in a job at the same moment.
const CLIENTS: usize = 40;

/// All clients hand in a job at once.
fn burst(site: &Site) {
    thread::scope(|scope| {
        for number in 0..CLIENTS * site.fronts.len() {
            scope.spawn(move || {
                let service = SERVICES[number % SERVICES.len()];
                let path = format!("/{service}/{:016x}", 0x1000 + number);
                let job = job("takes 500", 1, false);
                let status = site.call(number, "POST", &path, &job, WAIT);
                let edge = number % site.fronts.len() + 1;
                site.record
                    .line(&format!("edge-{edge} POST {path}: {status}"));
            });
        }
    });
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Store::new(Box::new(|_places| Fate::Answered));
    let site = Site::start(store, Arc::clone(record), (4, KIND), 6)?;
    for (number, service) in SERVICES.iter().enumerate() {
        let path = format!("/{service}/00000000000000a{number}");
        let status = site.call(number, "POST", &path, &job("lasts", 4, true), WAIT);
        record.line(&format!("POST {path}, 4 tasks that last: {status}"));
    }
    thread::sleep(Duration::from_secs(10));
    burst(&site);
    thread::sleep(Duration::from_secs(3));
    Ok(check(&site, trouble))
}

fn check(site: &Site, trouble: bool) -> Vec<String> {
    let record = &site.record;
    if trouble {
        let newest = site.store.silence_connections();
        record.line(&format!(
            "open connections to the store (up to number {newest}) go silent"
        ));
    }
    let silent_at = record.now();
    // Only what happens to machines in touch is looked at, and nothing is changed before.
    thread::sleep(CONTACT + Duration::from_millis(50));
    let next = site::configuration(2, &["added"]);
    site.store.put("op", "config", Some(&next));
    let acknowledged_at = record.now();
    record.line("configuration 2 acknowledged: it adds the queue `added`");
    let due = acknowledged_at + CONFIG_APPLY;
    let mut breaches = Vec::new();
    while record.now() < silent_at + Duration::from_secs(24) {
        thread::sleep(Duration::from_millis(200));
        for entry in 0..site.fronts.len() {
            let sent_at = record.now();
            let status = site.call(entry, "GET", "/added/", "", Duration::from_millis(500));
            record.line(&format!("edge-{} GET /added/: {status}", entry + 1));
            if sent_at > due && status == 404 {
                let after = (sent_at - acknowledged_at).as_secs_f64();
                let edge = entry + 1;
                breaches.push(format!(
                    "edge-{edge}: 404 for a queue {after:.3} s after the configuration that adds it"
                ));
            }
        }
    }
    let lapsed = record.ends("lapsed");
    record.line(&format!(
        "{} runs of tasks that last lapsed (not judged here)",
        lapsed.len()
    ));
    breaches
}
