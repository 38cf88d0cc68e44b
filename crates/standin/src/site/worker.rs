//! One worker: runs under a lease, fences, ends that wait to be acknowledged.

use super::{
    CAPACITY, address,
    journal::{Event, Journal},
    labels,
};
use primroseroute_domain::work::{End, Name, TaskId};
use primroseroute_platform::{
    site,
    worker::{Answer, Ended, LeaseRenewal, Refusal, Running, Start, WorkerStatus},
};
use std::{collections::BTreeMap, fmt};

/// Time of day at which a site begins, in milliseconds since 1970; entries of tests go by the same.
const BORN: u64 = 1_000_000;

/// Thousandths by which a clock may be slow are counted in these.
const THOUSAND: u64 = 1_000;

#[derive(Clone, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "`run` is the number of a run in all calls"
)]
struct Run {
    run: u32,
    begun: u64,
    /// Whether it works until it is stopped.
    lasting: bool,
    /// When it ends, and how; not known of one that lasts before it is stopped.
    ends: Option<(u64, End)>,
    /// When it crashes its worker.
    crashes_at: Option<u64>,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub token: u64,
    /// Time until the run is over, in milliseconds.
    pub takes: u64,
    /// Whether the order was held up on its way.
    pub late: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: site::Worker,
    pub alive: bool,
    /// Whether no entry reaches it.
    pub cut: bool,
    /// Thousandths by which its clock is slow.
    pub slow: u64,
    born: u64,
    /// What its clock showed then.
    clock: u64,
    token: u64,
    /// End of the lease on its own clock.
    lease: u64,
    runs: BTreeMap<TaskId, Run>,
    /// Highest run of each task that was stopped or has ended here.
    past: BTreeMap<TaskId, u32>,
    ended: Vec<Ended>,
    next: u64,
    /// What the life before would have refused, while nobody has reached this one.
    before: Option<Refused>,
}

/// What a life refuses: nobody could keep it from the next one before it is reached.
#[derive(Clone, Debug)]
struct Refused {
    token: u64,
    /// What its clock would show, less the site's time.
    clock: i64,
    past: BTreeMap<TaskId, u32>,
}

/// What a payload asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// To work until it is stopped.
    Lasts,
    /// To end like this after so many milliseconds.
    Ends(u64, End),
    /// To crash the worker after so many milliseconds.
    Crashes(u64),
}

impl Work {
    fn of(payload: &str, task: &TaskId) -> Self {
        let mut words = payload.split(' ');
        let first = words.next().unwrap_or_default();
        let second = words.next();
        let Ok(millis) = first.parse() else {
            let crashes = second == Some("first-crashes") && task.index == 0;
            return if crashes {
                Self::Crashes(0)
            } else {
                Self::Lasts
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
                born: BORN + now,
                pool,
                address: address(number),
                zone: "zone".into(),
                draining: false,
                capacity: CAPACITY,
                labels: labels(number),
            },
            alive: true,
            cut: false,
            slow: 0,
            born: now,
            clock: now * 7,
            token: 0,
            lease: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            before: None,
        }
    }

    /// The next life under the same id, which knows nothing of this one.
    pub(crate) fn reborn(&self, now: u64) -> Self {
        let mut next = Self::new(&self.info.id, Name::clone(&self.info.pool), now, 0);
        next.info = site::Worker {
            born: next.info.born,
            draining: false,
            ..self.info.clone()
        };
        next.clock = 0;
        next.before = Some(Refused {
            token: self.token,
            clock: i64::try_from(self.clock(now)).unwrap_or(i64::MAX)
                - i64::try_from(now).unwrap_or(i64::MAX),
            past: self.past.clone(),
        });
        next
    }

    /// What its clock shows; it begins at a number of its own.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        let passed = now - self.born;
        self.clock + passed - passed * self.slow / THOUSAND
    }

    /// The site's time at which its clock shows `clock`, at the latest.
    fn when(&self, clock: u64) -> u64 {
        let passed = clock.saturating_sub(self.clock);
        self.born + passed * THOUSAND / (THOUSAND - self.slow)
    }

    /// Lets everything happen that happens by itself until `now`.
    pub(crate) fn advance(&mut self, id: &Name, now: u64, journal: &mut Journal) {
        if !self.alive {
            return;
        }
        let lapses = self.when(self.lease);
        let mut due: Vec<(u64, TaskId, End)> = Vec::new();
        for (task, run) in &self.runs {
            match run.ends {
                Some((at, how)) if at <= now && at <= lapses => due.push((at, task.clone(), how)),
                _ if lapses < now => due.push((lapses, task.clone(), End::Lapsed)),
                _ => {}
            }
        }
        due.sort_by_key(|(at, task, _how)| (*at, task.clone()));
        for (at, task, how) in due {
            self.end(id, &task, how, at, journal);
        }
    }

    /// When one of its runs crashes it, by `now`, and the task of that run.
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
        let past = self.past.entry(task.clone()).or_default();
        *past = (*past).max(run.run);
        self.ended.push(Ended {
            number: self.next,
            task: task.clone(),
            run: run.run,
            how,
            checkpoint: None,
        });
        self.next += 1;
        journal.add(Event::Ended {
            at,
            worker: Name::clone(id),
            task: task.clone(),
            run: run.run,
            how: Some(how),
        });
    }

    pub(crate) fn kill(&mut self, id: &Name, now: u64, journal: &mut Journal) {
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

    fn fenced(&mut self, token: u64) -> bool {
        let fenced = token < self.token;
        self.before.take_if(|before| token > before.token);
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
        if let Some(before) = &self.before {
            let past = before.past.get(&start.task).copied().unwrap_or(0);
            let clock = now.saturating_add_signed(before.clock);
            if start.token < before.token || start.run <= past || start.deadline_ms < clock {
                return Answer::Refused(Refusal::Old);
            }
        }
        if self.fenced(start.token) {
            return Answer::Refused(Refusal::Fenced);
        }
        if start.deadline_ms < self.clock(now) {
            return Answer::Refused(Refusal::Late);
        }
        self.extend(start.deadline_ms, longest, now);
        if needs_ticket(&start.payload) && !self.has_ticket(start, now) {
            return Answer::Refused(Refusal::Ticket);
        }
        let past = self.past.get(&start.task).copied().unwrap_or(0);
        let known = self.runs.get(&start.task).map(|run| run.run);
        if known == Some(start.run) {
            return Answer::Done;
        }
        if past >= start.run || known.is_some_and(|known| known > start.run) {
            return Answer::Refused(Refusal::Old);
        }
        let (ends, crashes_at) = match Work::of(&start.payload, &start.task) {
            Work::Lasts => (None, None),
            Work::Ends(millis, how) => (Some((now + millis, how)), None),
            Work::Crashes(millis) => (None, Some(now + millis)),
        };
        let run = Run {
            run: start.run,
            begun: now,
            lasting: ends.is_none() && crashes_at.is_none(),
            ends,
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

    /// Takes a stop.
    pub(crate) fn stop(
        &mut self,
        (task, run): (&TaskId, u32),
        stop: Stop,
        now: u64,
        journal: &mut Journal,
    ) -> Answer {
        let takes = stop.takes;
        if self.fenced(stop.token) {
            return Answer::Refused(Refusal::Fenced);
        }
        let past = self.past.entry(task.clone()).or_default();
        *past = (*past).max(run);
        if let Some(known) = self.runs.get_mut(task)
            && known.run <= run
        {
            let by_itself = known.ends.map_or(u64::MAX, |(at, _how)| at);
            if now + takes < by_itself {
                known.ends = Some((now + takes, End::Stopped));
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

    /// Lets the lease hold until its clock shows `deadline`; a lease that is longer than `longest` is shortened to that.
    fn extend(&mut self, deadline: u64, longest: u64, now: u64) {
        let most = self.clock(now) + longest;
        self.lease = self.lease.max(deadline.min(most));
    }

    /// Takes in a renewal; whether it was accepted.
    pub(crate) fn renew(
        &mut self,
        hold: &LeaseRenewal,
        longest: u64,
        now: u64,
        journal: &mut Journal,
    ) -> bool {
        if self.fenced(hold.token) {
            return false;
        }
        let lapsed_at = self.when(self.lease);
        if lapsed_at < now {
            journal.add(Event::Lapsed {
                at: lapsed_at,
                worker: Name::clone(&self.info.id),
            });
        }
        if let Some(deadline) = hold.deadline_ms {
            self.extend(deadline, longest, now);
        }
        let before = self.ended.len();
        self.ended.retain(|ended| ended.number > hold.acknowledged);
        if self.ended.len() < before {
            journal.add(Event::Noted {
                at: now,
                worker: Name::clone(&self.info.id),
                number: hold.acknowledged,
            });
        }
        true
    }

    pub(crate) fn look(&self, now: u64) -> WorkerStatus {
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
        }
    }

    pub(crate) fn has_news(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When the next run ends by itself.
    pub(crate) fn next_end(&self) -> Option<u64> {
        let ends = self.runs.values().filter_map(|run| run.ends);
        ends.map(|(at, _how)| at).min()
    }
}

/// Whether a payload is of a queue whose starts need a ticket.
fn needs_ticket(payload: &str) -> bool {
    payload.ends_with("advised")
}

/// A ticket in plain text.
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

/// A lasting task is at work half a second after its start.
pub(super) const STARTUP: u64 = 500;

/// Share of its work that a run has done. A lasting run that is being stopped is shown at work until it ends.
fn percent(run: &Run, now: u64) -> u32 {
    let passed = now - run.begun;
    match run.ends {
        _ if run.lasting && passed >= STARTUP => 100,
        _ if run.lasting => 0,
        None => 0,
        Some((at, _how)) => {
            let whole = (at - run.begun).max(1);
            u32::try_from(passed * 100 / whole).unwrap_or(100).min(99)
        }
    }
}
