//! Runs of cancelled jobs that are not stopped.

use super::{Breach, CANCEL_TIMEOUT_MS, Sent};
use crate::site::journal::{Event, Journal};
use primroseroute_domain::work::{Name, TaskId};
use std::collections::BTreeMap;

/// Runs that continue although their job was cancelled, and no fault was active for the time that it may take to learn of the
/// cancel and to stop them.
///
/// A start after the cancel is checked when it happens. A run that had begun earlier shows in no event, only in the
/// absence of its end.
pub(super) fn overlong_runs(sent: &Sent, journal: &Journal) -> Vec<Breach> {
    let mut open: BTreeMap<(&Name, &TaskId, u32), u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for event in &journal.events {
        match event {
            Event::Started {
                at,
                worker,
                task,
                run,
                ..
            } => {
                open.insert((worker, task, *run), *at);
            }
            Event::Ended {
                at,
                worker,
                task,
                run,
                ..
            } => {
                if let Some(started) = open.remove(&(worker, task, *run)) {
                    breaches.extend(check(sent, task, started, *at));
                }
            }
            _ => {}
        }
    }
    let unended = open.into_iter();
    breaches.extend(
        unended.filter_map(|((_worker, task, _run), started)| check(sent, task, started, u64::MAX)),
    );
    breaches
}

/// The breach by a run from `started` to `ended`, if it is one.
fn check(sent: &Sent, task: &TaskId, started: u64, ended: u64) -> Option<Breach> {
    let cancelled = *sent.cancelled.get(&task.job)?;
    let within = CANCEL_TIMEOUT_MS + sent.stop;
    let mut due = sent.calm.iter().filter_map(|calm| {
        let due = calm.start.max(cancelled) + within;
        calm.contains(&due).then_some(due)
    });
    let at = due.find(|due| started <= *due && *due < ended)?;
    Some(Breach::RunsOn(task.clone(), at))
}
