//! Checks that what can run does run: no job stands still while its pool has free capacity.

use crate::fixture::Fixture;
use eyre::{Result, bail};
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Step, TaskId};
use primroseroute_standin::site::Event;
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// Time without any disruption after which the bounds hold.
const CALM_MS: u64 = 4_000;

/// Time from the last disruption after which jobs that aren't long-running are checked.
const FINISH_MS: u64 = 14_000;

/// Time after its last run within which a long-running task runs again.
const RESTART_MS: u64 = 6_000;

/// Longest time for which something may stand still.
const STANDSTILL_MS: u64 = 3_000;

/// Minimum number of times that the capacity for a task must be free.
const PLACES: u64 = 2;

/// The usable workers of a pool at some time, with their capacities.
#[derive(Debug)]
struct Sample {
    at: u64,
    workers: BTreeMap<Name, Demand>,
}

/// Samples of a pool's workers during a history.
#[derive(Debug, Default)]
pub(super) struct Starvation {
    samples: Vec<Sample>,
}

/// What runs, and what has ended, up to some time.
#[derive(Debug, Default)]
struct Progress<'a> {
    running: BTreeMap<&'a TaskId, &'a Name>,
    ended_at: BTreeMap<&'a TaskId, u64>,
    done: BTreeSet<&'a TaskId>,
    /// When a task last crashed its worker.
    crashed_at: u64,
}

impl<'a> Progress<'a> {
    fn apply(&mut self, event: &'a Event) {
        match event {
            Event::Started { task, worker, .. } => {
                self.running.insert(task, worker);
            }
            Event::Ended {
                at,
                task,
                worker,
                how,
                ..
            } => {
                if self.running.get(task) == Some(&worker) {
                    self.running.remove(task);
                }
                self.ended_at.insert(task, *at);
                if *how == Some(End::Done) {
                    self.done.insert(task);
                }
            }
            Event::Crashed { at, .. } => self.crashed_at = *at,
            _ => {}
        }
    }

    /// Free capacity of the usable workers; `None` if half of it all is in use.
    fn free(&self, fixture: &Fixture, sample: &Sample) -> Option<BTreeMap<Name, Demand>> {
        let mut free = sample.workers.clone();
        for (task, worker) in &self.running {
            let step = step(&fixture.sent.jobs[&task.job], task);
            if let Some(left) = free.get_mut(*worker) {
                *left = left.minus(step.reserved());
            }
        }
        let sum = |all: &BTreeMap<Name, Demand>| all.values().map(|demand| demand.cpu).sum::<u64>();
        (sum(&free) * 2 > sum(&sample.workers)).then_some(free)
    }

    /// Whether there is capacity for `task` on enough workers that may run it.
    fn has_room(&self, free: &BTreeMap<Name, Demand>, step: &Step, task: &TaskId) -> bool {
        let is_sibling = |other: &TaskId| other.job == task.job && other.step == task.step;
        let places = free.iter().map(|(worker, free)| {
            let siblings = self.running.iter();
            let siblings = siblings.filter(|(other, on)| *on == &worker && is_sibling(other));
            let allowed = match step.most_per_worker {
                0 => u64::MAX,
                most => u64::from(most).saturating_sub(siblings.count() as u64),
            };
            (free.cpu / step.demand.cpu.max(1)).min(allowed)
        });
        places.fold(0, u64::saturating_add) >= PLACES
    }
}

fn step<'a>(job: &'a Job, task: &TaskId) -> &'a Step {
    &job.steps[usize::from(task.step)]
}

/// The tasks of a job whose earlier steps are done and that aren't.
fn ready_tasks(id: &JobId, job: &Job, progress: &Progress<'_>) -> Vec<TaskId> {
    let tasks = |number: u16| {
        let count = job.steps[usize::from(number)].count;
        (0..count).map(move |index| TaskId {
            job: id.clone(),
            occurrence: 0,
            step: number,
            index,
        })
    };
    let is_done = |number: &u16| tasks(*number).all(|task| progress.done.contains(&task));
    let ready = (0..).zip(&job.steps);
    let ready = ready.filter(|(_number, step)| step.after.iter().all(is_done));
    let ready = ready.flat_map(|(number, _step)| tasks(number));
    ready.filter(|task| !progress.done.contains(task)).collect()
}

impl Starvation {
    /// Records the usable workers of `pool`.
    pub(super) fn sample(&mut self, fixture: &Fixture, pool: &str) {
        self.samples.push(Sample {
            at: fixture.world.now(),
            workers: fixture.world.usable_workers(pool),
        });
    }

    /// Checks `jobs` in `calm`, a time without disruptions.
    ///
    /// # Errors
    /// The first job or task that stands still with free capacity.
    pub(super) fn check(
        &self,
        fixture: &Fixture,
        jobs: &BTreeSet<&JobId>,
        calm: &Range<u64>,
    ) -> Result<()> {
        let journal = fixture.world.journal();
        let mut events = journal.events.iter().peekable();
        let mut progress = Progress::default();
        // Since when each task has stood still.
        let mut since: BTreeMap<TaskId, u64> = BTreeMap::new();
        for sample in self
            .samples
            .iter()
            .filter(|sample| calm.contains(&sample.at))
        {
            while let Some(event) = events.next_if(|event| at(event) <= sample.at) {
                progress.apply(event);
            }
            let now = sample.at;
            let calm_from = calm.start.max(progress.crashed_at);
            let free = progress.free(fixture, sample);
            let mut standing = BTreeSet::new();
            for id in jobs {
                let job = &fixture.sent.jobs[*id];
                let ready = ready_tasks(id, job, &progress);
                let runs = |task: &TaskId| progress.running.contains_key(task);
                let stopped = |task: &&TaskId| !runs(task);
                let candidates: Vec<TaskId> = if job.lasting() {
                    let due = |task: &&TaskId| {
                        let ended = progress.ended_at.get(*task);
                        now >= ended.copied().unwrap_or(0) + RESTART_MS
                    };
                    let ready = ready.iter().filter(stopped).filter(due);
                    ready
                        .filter(|_task| now >= calm_from + CALM_MS)
                        .cloned()
                        .collect()
                } else if ready.iter().any(runs) || now < calm_from + FINISH_MS {
                    Vec::new()
                } else {
                    ready
                };
                for task in candidates {
                    let has_room = free
                        .as_ref()
                        .is_some_and(|free| progress.has_room(free, step(job, &task), &task));
                    if has_room {
                        let since = *since.entry(task.clone()).or_insert(now);
                        if now >= since + STANDSTILL_MS {
                            bail!("{task} could run and doesn't, from {since} to {now} ms");
                        }
                        standing.insert(task);
                    }
                }
            }
            since.retain(|task, _since| standing.contains(task));
        }
        Ok(())
    }
}

/// When an event happened.
fn at(event: &Event) -> u64 {
    match event {
        Event::Started { at, .. }
        | Event::Stopping { at, .. }
        | Event::Draining { at, .. }
        | Event::Ended { at, .. }
        | Event::Born { at, .. }
        | Event::Resized { at, .. }
        | Event::Crashed { at, .. }
        | Event::Lapsed { at, .. }
        | Event::Noted { at, .. }
        | Event::Moved { at, .. }
        | Event::Maintained { at, .. } => *at,
    }
}
