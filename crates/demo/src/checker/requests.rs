//! Checks callers' requests: each is executed at most once, each response belongs to its request, and
//! "completed" and "not run" are true.

use super::{
    event::{Event, RequestEnded},
    report::{Breach, Requests},
};
use primroseroute_domain::outcome::Verdict;
use std::{collections::BTreeMap, sync::Arc};

pub(super) fn evaluate(events: &[Event], breaches: &mut Vec<Breach>) -> Requests {
    let executions = executions(events);
    let mut summary = Requests::default();
    for (key, times) in &executions {
        if *times > 1 {
            summary.doubled += 1;
            breaches.push(Breach::Doubled {
                key: Arc::clone(key),
                times: *times,
            });
        }
    }
    for event in events {
        if let Event::RequestEnded(ended) = event {
            count(ended, &mut summary);
            check_response_ids(ended, &mut summary, breaches);
            check_hold(ended, &executions, &mut summary, breaches);
        }
    }
    summary
}

fn executions(events: &[Event]) -> BTreeMap<Arc<str>, u64> {
    let mut executions = BTreeMap::new();
    for event in events {
        if let Event::KeyExecuted(executed) = event {
            *executions.entry(Arc::clone(&executed.key)).or_default() += executed.times;
        }
    }
    executions
}

fn count(ended: &RequestEnded, summary: &mut Requests) {
    summary.sent += 1;
    summary.holds += u64::from(ended.key.is_some());
    summary.attempts += ended.attempts;
    summary.refused += ended.refused;
    summary.late += u64::from(ended.late);
    match ended.verdict {
        Verdict::Completed => {
            summary.completed += 1;
            summary.errors += u64::from(!ended.success);
        }
        Verdict::NotRun => summary.not_run += 1,
        Verdict::Unknown => summary.unknown += 1,
    }
}

fn check_response_ids(ended: &RequestEnded, summary: &mut Requests, breaches: &mut Vec<Breach>) {
    if let Some(named) = ended.named.iter().find(|named| **named != ended.request) {
        summary.foreign += 1;
        breaches.push(Breach::Foreign {
            request: Arc::clone(&ended.request),
            named: Arc::clone(named),
        });
    }
}

fn check_hold(
    ended: &RequestEnded,
    executions: &BTreeMap<Arc<str>, u64>,
    summary: &mut Requests,
    breaches: &mut Vec<Breach>,
) {
    let Some(key) = &ended.key else { return };
    let ran = executions.get(key).is_some_and(|times| *times > 0);
    let key = Arc::clone(key);
    match ended.verdict {
        Verdict::Completed if ended.success && !ran => {
            summary.lost += 1;
            breaches.push(Breach::Lost { key });
        }
        Verdict::NotRun if ran => {
            summary.ran += 1;
            breaches.push(Breach::Ran { key });
        }
        Verdict::Completed | Verdict::NotRun | Verdict::Unknown => {}
    }
}
