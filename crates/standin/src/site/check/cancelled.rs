//! Runs of cancelled jobs that nobody stops.

use super::{Breach, CANCEL_WITHIN, Sent};
use crate::site::journal::{Event, Journal};
use primroseroute_domain::work::{Name, TaskId};
use std::collections::BTreeMap;

/// Runs that are under way although their job was cancelled, and nothing was wrong for as long as hearing of that and stopping
/// them may take.
///
/// A start of such a job is judged where it begins. A run that had begun before shows itself by no event, only by an end that
/// doesn't come.
pub(super) fn run_on(sent: &Sent, journal: &Journal) -> Vec<Breach> {
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
                if let Some(begun) = open.remove(&(worker, task, *run)) {
                    breaches.extend(judged(sent, task, begun, *at));
                }
            }
            _ => {}
        }
    }
    let left = open.into_iter();
    breaches.extend(
        left.filter_map(|((_worker, task, _run), begun)| judged(sent, task, begun, u64::MAX)),
    );
    breaches
}

/// Judges a run from `begun` to `ended`.
fn judged(sent: &Sent, task: &TaskId, begun: u64, ended: u64) -> Option<Breach> {
    let cancelled = *sent.cancelled.get(&task.job)?;
    let within = CANCEL_WITHIN + sent.stop;
    let mut due = sent.calm.iter().filter_map(|calm| {
        let due = calm.start.max(cancelled) + within;
        calm.contains(&due).then_some(due)
    });
    let at = due.find(|due| begun <= *due && *due < ended)?;
    Some(Breach::RunsOn(task.clone(), at))
}
