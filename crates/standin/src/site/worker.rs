//! One worker: runs under a lease, fencing, and ended runs whose results wait to be acknowledged.

use super::{
    CAPACITY, address,
    journal::{Event, Journal},
    labels,
    work::Work,
};
use primroseroute_domain::work::{End, Name, TaskId};
use primroseroute_platform::{
    site,
    worker::{Answer, Ended, LeaseRenewal, Refusal, Running, Start, WorkerStatus},
};
use std::{collections::BTreeMap, fmt};

/// Unix time at which a site opens, in milliseconds; entries of tests use the same.
const OPENED_AT_MS: u64 = 1_000_000;

const PERMILLE: u64 = 1_000;

#[derive(Clone, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "`run` is the number of a run in all calls"
)]
struct Run {
    run: u32,
    started_at: u64,
    /// Whether it runs until it is stopped.
    long_running: bool,
    /// When it ends, and how; none for a long-running one that has not been stopped.
    ends: Option<(u64, End)>,
    /// Its progress; none if it has no length.
    work: Option<Work>,
    /// When it crashes its worker, if it does.
    crashes_at: Option<u64>,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub token: u64,
    /// Time until the run ends, in milliseconds.
    pub duration: u64,
    /// Whether the order was delayed on its way.
    pub late: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: site::Worker,
    pub alive: bool,
    /// Whether no entry reaches it.
    pub partitioned: bool,
    /// Whether its responses get lost while calls arrive.
    pub responses_lost: bool,
    /// How many times slower than usual its runs progress.
    slowdown: u64,
    /// Thousandths by which its clock runs slow.
    pub clock_lag_permille: u64,
    started_at: u64,
    /// What its clock showed at its start.
    clock_at_start: u64,
    token: u64,
    /// End of the lease on its own clock.
    lease_expires_at: u64,
    runs: BTreeMap<TaskId, Run>,
    /// Highest run of each task that was stopped or has ended here.
    last_runs: BTreeMap<TaskId, u32>,
    ended: Vec<Ended>,
    next_end: u64,
    /// What the previous incarnation would refuse, until a call with a newer token reaches this one.
    previous: Option<Previous>,
}

/// What an incarnation refuses. The next one refuses it too until an entry reaches it: before that, nobody can keep
/// delayed calls to the earlier one from it.
#[derive(Clone, Debug)]
struct Previous {
    token: u64,
    /// Difference between its clock and the site's time.
    clock_offset: i64,
    last_runs: BTreeMap<TaskId, u32>,
}

/// Behaviour that a payload asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Runs until it is stopped.
    LongRunning,
    /// Ends like this after this number of milliseconds.
    Ends(u64, End),
    /// Crashes the worker after this number of milliseconds.
    Crashes(u64),
}

impl Behaviour {
    fn of(payload: &str, task: &TaskId) -> Self {
        let mut words = payload.split(' ');
        let first = words.next().unwrap_or_default();
        let second = words.next();
        let Ok(millis) = first.parse() else {
            let crashes = second == Some("first-crashes") && task.index == 0;
            return if crashes {
                Self::Crashes(0)
            } else {
                Self::LongRunning
            };
        };
        match second {
            Some("fails") => Self::Ends(millis, End::Failed),
            Some("crashes") => Self::Crashes(millis),
            _ => Self::Ends(millis, End::Done),
        }
    }
}

impl Worker {
    pub(crate) fn new(id: &Name, pool: Name, now: u64, number: u64) -> Self {
        Self {
            info: site::Worker {
                id: Name::clone(id),
                born: OPENED_AT_MS + now,
                pool,
                address: address(number),
                zone: "zone".into(),
                draining: false,
                capacity: CAPACITY,
                labels: labels(number),
            },
            alive: true,
            partitioned: false,
            responses_lost: false,
            slowdown: 1,
            clock_lag_permille: 0,
            started_at: now,
            clock_at_start: now * 7,
            token: 0,
            lease_expires_at: 0,
            runs: BTreeMap::new(),
            last_runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            previous: None,
        }
    }

    /// Whether its responses arrive while it is alive.
    pub(crate) fn can_respond(&self) -> bool {
        !self.partitioned && !self.responses_lost
    }

    /// The next incarnation under the same id, which has no state of this one.
    pub(crate) fn next_incarnation(&self, now: u64) -> Self {
        let mut next = Self::new(&self.info.id, Name::clone(&self.info.pool), now, 0);
        next.info = site::Worker {
            born: next.info.born,
            draining: false,
            ..self.info.clone()
        };
        next.clock_at_start = 0;
        next.previous = Some(Previous {
            token: self.token,
            clock_offset: i64::try_from(self.clock(now)).unwrap_or(i64::MAX)
                - i64::try_from(now).unwrap_or(i64::MAX),
            last_runs: self.last_runs.clone(),
        });
        next
    }

    /// What its clock shows; its zero is unrelated to the site's time.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        let passed = now - self.started_at;
        self.clock_at_start + passed - passed * self.clock_lag_permille / PERMILLE
    }

    /// The latest site time at which its clock shows `clock`.
    fn site_time(&self, clock: u64) -> u64 {
        let passed = clock.saturating_sub(self.clock_at_start);
        self.started_at + passed * PERMILLE / (PERMILLE - self.clock_lag_permille)
    }

    /// Ends the runs that complete, or whose lease expires, by `now`.
    pub(crate) fn advance(&mut self, id: &Name, now: u64, journal: &mut Journal) {
        if !self.alive {
            return;
        }
        let expires = self.site_time(self.lease_expires_at);
        let mut due: Vec<(u64, TaskId, End)> = Vec::new();
        for (task, run) in &self.runs {
            match run.ends {
                Some((at, how)) if at <= now && at <= expires => due.push((at, task.clone(), how)),
                _ if expires < now => due.push((expires, task.clone(), End::Lapsed)),
                _ => {}
            }
        }
        due.sort_by_key(|(at, task, _how)| (*at, task.clone()));
        for (at, task, how) in due {
            self.end(id, &task, how, at, journal);
        }
    }

    /// The first crash by one of its runs until `now`: its time and the task.
    pub(crate) fn crash_by(&self, now: u64) -> Option<(u64, TaskId)> {
        let runs = self.runs.iter().filter(|_run| self.alive);
        let crashes = runs.filter_map(|(task, run)| Some((run.crashes_at?, task)));
        let first = crashes.min().filter(|(at, _task)| *at <= now);
        first.map(|(at, task)| (at, task.clone()))
    }

    fn end(&mut self, id: &Name, task: &TaskId, how: End, at: u64, journal: &mut Journal) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let last = self.last_runs.entry(task.clone()).or_default();
        *last = (*last).max(run.run);
        self.ended.push(Ended {
            number: self.next_end,
            task: task.clone(),
            run: run.run,
            how,
            checkpoint: None,
        });
        self.next_end += 1;
        journal.add(Event::Ended {
            at,
            worker: Name::clone(id),
            task: task.clone(),
            run: run.run,
            how: Some(how),
        });
    }

    /// Makes its runs progress `slowdown` times slower than usual from now on.
    pub(crate) fn set_slowdown(&mut self, slowdown: u64, now: u64) {
        self.slowdown = slowdown.max(1);
        for run in self.runs.values_mut() {
            // A run that is being stopped ends when the stop says.
            if let (Some(work), Some((at, how))) = (&mut run.work, &mut run.ends)
                && *how != End::Stopped
            {
                *at = work.set_slowdown(self.slowdown, now);
            }
        }
    }

    pub(crate) fn terminate(&mut self, id: &Name, now: u64, journal: &mut Journal) {
        self.alive = false;
        for (task, run) in std::mem::take(&mut self.runs) {
            journal.add(Event::Ended {
                at: now,
                worker: Name::clone(id),
                task,
                run: run.run,
                how: None,
            });
        }
    }

    /// Records a call's fencing token; returns whether the call is fenced off by a newer one.
    fn fenced(&mut self, token: u64) -> bool {
        let fenced = token < self.token;
        self.previous.take_if(|previous| token > previous.token);
        self.token = self.token.max(token);
        fenced
    }

    pub(crate) fn start(
        &mut self,
        start: &Start,
        longest: u64,
        now: u64,
        journal: &mut Journal,
    ) -> Answer {
        if let Some(previous) = &self.previous {
            let last = previous.last_runs.get(&start.task).copied().unwrap_or(0);
            let clock = now.saturating_add_signed(previous.clock_offset);
            if start.token < previous.token || start.run <= last || start.deadline_ms < clock {
                return Answer::Refused(Refusal::Old);
            }
        }
        if self.fenced(start.token) {
            return Answer::Refused(Refusal::Fenced);
        }
        if start.deadline_ms < self.clock(now) {
            return Answer::Refused(Refusal::Late);
        }
        self.extend_lease(start.deadline_ms, longest, now);
        if needs_ticket(&start.payload) && !self.has_ticket(start, now) {
            return Answer::Refused(Refusal::Ticket);
        }
        let last = self.last_runs.get(&start.task).copied().unwrap_or(0);
        let known = self.runs.get(&start.task).map(|run| run.run);
        if known == Some(start.run) {
            return Answer::Done;
        }
        if last >= start.run || known.is_some_and(|known| known > start.run) {
            return Answer::Refused(Refusal::Old);
        }
        let work = |length| Work {
            length,
            done: 0,
            changed_at: now,
            slowdown: self.slowdown,
        };
        let (ends, work, crashes_at) = match Behaviour::of(&start.payload, &start.task) {
            Behaviour::LongRunning => (None, None, None),
            Behaviour::Ends(millis, how) => {
                let ends_at = now + millis * self.slowdown;
                (Some((ends_at, how)), Some(work(millis)), None)
            }
            Behaviour::Crashes(millis) => (None, None, Some(now + millis)),
        };
        let run = Run {
            run: start.run,
            started_at: now,
            long_running: ends.is_none() && crashes_at.is_none(),
            ends,
            work,
            crashes_at,
        };
        self.runs.insert(start.task.clone(), run);
        journal.add(Event::Started {
            at: now,
            worker: Name::clone(&self.info.id),
            task: start.task.clone(),
            run: start.run,
            payload: Name::clone(&start.payload),
        });
        Answer::Done
    }

    fn has_ticket(&self, start: &Start, now: u64) -> bool {
        let ticket = start.ticket.as_deref().and_then(Ticket::parse);
        let step = start.task.step_id().to_string();
        ticket.is_some_and(|ticket| {
            ticket.step == step && ticket.worker == &*self.info.id && now < ticket.until
        })
    }

    /// Handles an order to stop a run.
    pub(crate) fn stop(
        &mut self,
        (task, run): (&TaskId, u32),
        stop: Stop,
        now: u64,
        journal: &mut Journal,
    ) -> Answer {
        let duration = stop.duration;
        if self.fenced(stop.token) {
            return Answer::Refused(Refusal::Fenced);
        }
        let last = self.last_runs.entry(task.clone()).or_default();
        *last = (*last).max(run);
        if let Some(known) = self.runs.get_mut(task)
            && known.run <= run
        {
            let ends_at = known.ends.map_or(u64::MAX, |(at, _how)| at);
            if now + duration < ends_at {
                known.ends = Some((now + duration, End::Stopped));
                journal.add(Event::Stopping {
                    at: now,
                    worker: Name::clone(&self.info.id),
                    task: task.clone(),
                    run: known.run,
                    late: stop.late,
                });
            }
        }
        Answer::Done
    }

    /// Extends the lease to `deadline` on the worker's clock, at most by `longest` from now.
    fn extend_lease(&mut self, deadline: u64, longest: u64, now: u64) {
        let latest = self.clock(now) + longest;
        self.lease_expires_at = self.lease_expires_at.max(deadline.min(latest));
    }

    /// Handles a lease renewal; returns whether it was accepted.
    pub(crate) fn renew(
        &mut self,
        renewal: &LeaseRenewal,
        longest: u64,
        now: u64,
        journal: &mut Journal,
    ) -> bool {
        if self.fenced(renewal.token) {
            return false;
        }
        let expired_at = self.site_time(self.lease_expires_at);
        if expired_at < now {
            journal.add(Event::Lapsed {
                at: expired_at,
                worker: Name::clone(&self.info.id),
            });
        }
        if let Some(deadline) = renewal.deadline_ms {
            self.extend_lease(deadline, longest, now);
        }
        let pending = self.ended.len();
        self.ended
            .retain(|ended| ended.number > renewal.acknowledged);
        if self.ended.len() < pending {
            journal.add(Event::Noted {
                at: now,
                worker: Name::clone(&self.info.id),
                number: renewal.acknowledged,
            });
        }
        true
    }

    pub(crate) fn status(&self, now: u64) -> WorkerStatus {
        let running = self.runs.iter().map(|(task, run)| Running {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: percent(run, now),
            load: 0,
        });
        WorkerStatus {
            born: self.info.born,
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
            foreign_ends: Vec::new(),
        }
    }

    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When the next run ends.
    pub(crate) fn next_end_at(&self) -> Option<u64> {
        let ends = self.runs.values().filter_map(|run| run.ends);
        ends.map(|(at, _how)| at).min()
    }
}

/// Whether a payload belongs to a queue whose starts need a ticket.
fn needs_ticket(payload: &str) -> bool {
    payload.ends_with("advised")
}

/// A ticket in plain text: `<step>/<worker>/<end of validity>`.
#[derive(Debug)]
pub(crate) struct Ticket<'a> {
    pub step: &'a str,
    pub worker: &'a str,
    pub until: u64,
}

impl<'a> Ticket<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let mut parts = text.split('/');
        Some(Self {
            step: parts.next()?,
            worker: parts.next()?,
            until: parts.next()?.parse().ok()?,
        })
    }
}

impl fmt::Display for Ticket<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.step, self.worker, self.until)
    }
}

/// Time from the start of a long-running task until it is ready, in milliseconds.
pub(super) const STARTUP_MS: u64 = 500;

/// Progress of a run. A long-running run that is being stopped is reported as ready until it ends.
fn percent(run: &Run, now: u64) -> u32 {
    let passed = now - run.started_at;
    match run.ends {
        _ if run.long_running && passed >= STARTUP_MS => 100,
        _ if run.long_running => 0,
        _ => run.work.map_or(0, |work| {
            let percent = work.done(now) * 100 / work.length.max(1);
            u32::try_from(percent).unwrap_or(100).min(99)
        }),
    }
}
