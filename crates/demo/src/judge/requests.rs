//! Callers' requests: whole answers, own answers, at most once, truth of "not run".

use super::{
    event::{Ended, Event},
    report::{Breach, Requests},
};
use primroseroute_domain::outcome::Verdict;
use std::{collections::BTreeMap, sync::Arc};

pub(super) fn judge(events: &[Event], breaches: &mut Vec<Breach>) -> Requests {
    let executions = executions(events);
    let mut found = Requests::default();
    for (key, times) in &executions {
        if *times > 1 {
            found.doubled += 1;
            breaches.push(Breach::Doubled {
                key: Arc::clone(key),
                times: *times,
            });
        }
    }
    for event in events {
        if let Event::Ended(ended) = event {
            count(ended, &mut found);
            check_named(ended, &mut found, breaches);
            check_hold(ended, &executions, &mut found, breaches);
        }
    }
    found
}

fn executions(events: &[Event]) -> BTreeMap<Arc<str>, u64> {
    let mut executions = BTreeMap::new();
    for event in events {
        if let Event::Executed(executed) = event {
            *executions.entry(Arc::clone(&executed.key)).or_default() += executed.times;
        }
    }
    executions
}

fn count(ended: &Ended, found: &mut Requests) {
    found.sent += 1;
    found.holds += u64::from(ended.key.is_some());
    found.attempts += ended.attempts;
    found.refused += ended.refused;
    found.late += u64::from(ended.late);
    match ended.verdict {
        Verdict::Completed => {
            found.completed += 1;
            found.errors += u64::from(!ended.success);
        }
        Verdict::NotRun => found.not_run += 1,
        Verdict::Unknown => found.unknown += 1,
    }
}

fn check_named(ended: &Ended, found: &mut Requests, breaches: &mut Vec<Breach>) {
    if let Some(named) = ended.named.iter().find(|named| **named != ended.request) {
        found.foreign += 1;
        breaches.push(Breach::Foreign {
            request: Arc::clone(&ended.request),
            named: Arc::clone(named),
        });
    }
}

fn check_hold(
    ended: &Ended,
    executions: &BTreeMap<Arc<str>, u64>,
    found: &mut Requests,
    breaches: &mut Vec<Breach>,
) {
    let Some(key) = &ended.key else { return };
    let ran = executions.get(key).is_some_and(|times| *times > 0);
    let key = Arc::clone(key);
    match ended.verdict {
        Verdict::Completed if ended.success && !ran => {
            found.lost += 1;
            breaches.push(Breach::Lost { key });
        }
        Verdict::NotRun if ran => {
            found.ran += 1;
            breaches.push(Breach::Ran { key });
        }
        Verdict::Completed | Verdict::NotRun | Verdict::Unknown => {}
    }
}
