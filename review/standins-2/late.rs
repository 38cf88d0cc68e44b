//! Writes to the store are done late and not answered, and clients that have left cancel.

use crate::{
    record::Record,
    site::{CANCEL, CONTACT, SERVICES, Site, job},
    store::{Fate, Store},
    workers::KIND,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How long the store loses answers, which share of writes, and how late those are done.
const LOSS: Duration = Duration::from_millis(4_500);
const LOST_PER_MILLE: u64 = 350;
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;

/// Clients leave after half their objective, and repeat a cancel until it is acknowledged.
const LEAVE: Duration = Duration::from_millis(300);
const CANCEL_WAIT: Duration = Duration::from_millis(3_000);

const CLIENTS: usize = 300;
const APART: Duration = Duration::from_millis(15);

fn seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |now| now.as_nanos() as u64) | 1
}

/// SplitMix64.
fn random(state: &AtomicU64) -> u64 {
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut z = state.fetch_add(GAMMA, Ordering::SeqCst).wrapping_add(GAMMA);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hands a job in, leaves early, and cancels it; returns when the cancel was acknowledged.
fn client(site: &Site, number: usize) -> Option<(String, Duration, u16)> {
    let service = SERVICES[number % SERVICES.len()];
    let id = format!("{:016x}", 0x1000 + number);
    let path = format!("/{service}/{id}");
    let posted = site.call(number, "POST", &path, &job("takes 500", 1, false), LEAVE);
    site.record.line(&format!("POST {path}: {posted}"));
    if posted != 0 {
        return None;
    }
    for attempt in 1..8 {
        let status = site.call(number + attempt, "DELETE", &path, "", CANCEL_WAIT);
        site.record.line(&format!("DELETE {path}: {status}"));
        if (200..300).contains(&status) || status == 410 {
            return Some((id, site.record.now(), status));
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// What a client is told of a job.
fn shown(site: &Site, id: &str) -> String {
    let number = usize::from_str_radix(id, 16).unwrap_or(0) - 0x1000;
    let path = format!("/{}/{id}", SERVICES[number % SERVICES.len()]);
    let (status, body) = site.ask("GET", &path, CANCEL_WAIT);
    format!("GET {path}: {status} {body}")
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let losing = Arc::new(AtomicBool::new(false));
    let (is_losing, state) = (Arc::clone(&losing), AtomicU64::new(seed()));
    let recorded = Arc::clone(record);
    let store = Store::new(Box::new(move |places| {
        if !is_losing.load(Ordering::SeqCst) || random(&state) % 1_000 >= LOST_PER_MILLE {
            return Fate::Answered;
        }
        let late = LATE_MS.start + random(&state) % (LATE_MS.end - LATE_MS.start);
        if let Some((_table, _part, id)) = places.iter().find(|place| place.0 == "ids") {
            recorded.line(&format!(
                "store: claim of {id} not answered, done {late} ms later"
            ));
        }
        Fate::Lost(Duration::from_millis(late))
    }));
    let site = Site::start(store, Arc::clone(record), (4, KIND), 3)?;
    thread::sleep(Duration::from_secs(6));
    if trouble {
        record.line("the store begins to lose answers");
        losing.store(true, Ordering::SeqCst);
    }
    let begin = record.now();
    let cancelled: Vec<(String, Duration, u16)> = thread::scope(|scope| {
        let clients = (0..CLIENTS).map(|number| {
            thread::sleep(APART);
            let site = &site;
            if record.now() >= begin + LOSS && losing.swap(false, Ordering::SeqCst) {
                record.line("the store loses no more answers");
            }
            scope.spawn(move || client(site, number))
        });
        let clients: Vec<_> = clients.collect();
        thread::sleep((begin + LOSS).saturating_sub(record.now()));
        if losing.swap(false, Ordering::SeqCst) {
            record.line("the store loses no more answers");
        }
        let results = clients.into_iter().filter_map(|client| client.join().ok());
        results.flatten().collect()
    });
    let stable_at = begin + LOSS + CONTACT;
    thread::sleep((stable_at + Duration::from_secs(10)).saturating_sub(record.now()));
    let mut breaches = Vec::new();
    for (id, at, status) in &cancelled {
        for (start, _kind) in record.starts_of(id) {
            if start > *at + CANCEL && start > stable_at {
                let after = (start - *at).as_secs_f64();
                record.line(&shown(&site, id));
                breaches.push(format!(
                    "{id} starts {after:.3} s after its cancel was answered with {status}"
                ));
            }
        }
    }
    record.line(&format!(
        "{} jobs cancelled by clients that had left",
        cancelled.len()
    ));
    Ok(breaches)
}
