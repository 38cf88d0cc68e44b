//! A worker crashes and starts again under its id, at another address.

use crate::{
    record::Record,
    site::{SERVICES, Site, job_for},
    store::{Fate, Store},
};
use std::{sync::Arc, thread, time::Duration};

const WAIT: Duration = Duration::from_millis(3_000);

/// The kind of the one worker in each pool that the tasks need.
const RARE: &str = "kind-b";

const DOWN: Duration = Duration::from_millis(4_000);

/// Jobs are asked for `finish_s` after the end of the traffic, and must have something running within
/// 3 s.
const DUE: Duration = Duration::from_secs(14 + 3);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    // To compare: it comes back where it was.
    let same = std::env::var("SAME_ADDRESS").is_ok_and(|value| value == "1");
    let store = Store::new(Box::new(|_places| Fate::Answered));
    let site = Site::start(store, Arc::clone(record), (7, RARE), 3)?;
    let service = SERVICES[0];
    let lasting = "00000000000000a0";
    let path = format!("/{service}/{lasting}");
    let status = site.call(0, "POST", &path, &job_for("lasts", 2, true, RARE), WAIT);
    record.line(&format!(
        "POST {path}, 2 tasks that last and require {RARE}: {status}"
    ));
    thread::sleep(Duration::from_secs(8));
    let worker = site.machines.worker(&format!("m-{service}-0"));
    let worker = worker.ok_or("the worker has left")?;
    let crashed_at = record.now();
    if trouble {
        worker.restart(DOWN, RARE, !same);
    }
    let batch = "00000000000000b0";
    let path = format!("/{service}/{batch}");
    thread::sleep(Duration::from_secs(1));
    let status = site.call(
        1,
        "POST",
        &path,
        &job_for("takes 500", 2, false, RARE),
        WAIT,
    );
    record.line(&format!(
        "POST {path}, 2 tasks that require {RARE}: {status}; end of the traffic"
    ));
    let end = record.now();
    thread::sleep(Duration::from_secs(40));
    let mut breaches = Vec::new();
    // Its tasks run on where the worker hasn't crashed.
    let since = if trouble { crashed_at } else { Duration::ZERO };
    for id in [lasting, batch] {
        let starts = record.starts_of(id);
        let mut after = starts.iter().map(|start| start.0).filter(|at| *at > since);
        let first = after.next();
        let (status, state) = site.ask("GET", &format!("/{service}/{id}"), WAIT);
        record.line(&format!("GET /{service}/{id}: {status} {state}"));
        if first.is_none_or(|at| at > end + DUE) {
            let first = first.map_or("never".to_owned(), |at| {
                format!("at {:.3}", at.as_secs_f64())
            });
            breaches.push(format!(
                "{id}: nothing runs {} s after the end of the traffic; its first start: {first}",
                DUE.as_secs()
            ));
        }
    }
    Ok(breaches)
}
