//! Giving queued jobs to instances, by dominant-resource fairness.

use super::{
    Board, Entry, Line, Lines,
    floor::{Floor, Room},
    sort,
};
use crate::{
    action::Action,
    amount,
    lease::Run,
    row::{Row, State},
    share::Place,
    worker::Worker,
};
use primroseroute_domain::{id, time::Instant};
use primroseroute_platform::task::{Start, Token};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

/// Jobs of one line that may find no instance before the line is left for this plan: jobs of one
/// kind have like sizes, so the next would hardly find one either.
const MISSES: u32 = 8;

/// How far the search among one account's jobs has come in this plan.
#[derive(Debug, Default)]
struct Search {
    /// The oldest job of each line that was not looked at.
    heads: BTreeSet<(Entry, Line)>,
    misses: BTreeMap<Line, u32>,
}

impl Search {
    fn over(lines: &Lines) -> Self {
        let head = |(name, line): (&Line, &BTreeSet<Entry>)| {
            line.first().map(|entry| (entry.clone(), name.clone()))
        };
        Self {
            heads: lines.iter().filter_map(head).collect(),
            misses: BTreeMap::new(),
        }
    }

    /// The oldest job that was not looked at.
    fn next(&mut self, lines: &Lines) -> Option<(Entry, Line)> {
        let (entry, name) = self.heads.pop_first()?;
        let rest = lines
            .get(&name)
            .map(|line| line.range((Excluded(&entry), Unbounded)));
        let next = rest.and_then(|mut rest| rest.next());
        self.heads
            .extend(next.map(|next| (next.clone(), name.clone())));
        Some((entry, name))
    }

    /// A job of `line` found no instance.
    fn missed(&mut self, line: &Line) {
        let misses = self.misses.entry(line.clone()).or_default();
        *misses += 1;
        if *misses >= MISSES {
            self.heads.retain(|(_, name)| name != line);
        }
    }
}

impl Board {
    pub(super) fn fill(
        &mut self,
        now: Duration,
        at: Instant,
        workers: &BTreeMap<id::Instance, Worker>,
        weights: &BTreeMap<id::Account, u32>,
    ) {
        let mut floor = self.floor(workers, weights);
        self.keep_for_aged(&mut floor, now, at);
        let waits = |lines: &Lines| lines.values().any(|line| !line.is_empty());
        let waiting = self.queue.iter().filter(|(_, lines)| waits(lines));
        let mut order: BTreeSet<Place> = waiting
            .map(|(account, _)| floor.shares.place(account))
            .collect();
        let mut searches: BTreeMap<id::Account, Search> = BTreeMap::new();
        let mut started = 0;
        while started < self.limits.starts
            && let Some(Place { account, .. }) = order.pop_first()
        {
            let lines = &self.queue[&account];
            let search = searches
                .entry(account.clone())
                .or_insert_with(|| Search::over(lines));
            // What finds no instance once finds none later in the plan, since starts only take
            // room; an account without a start is thus done.
            let Some((job, instance)) = self.next_of(lines, search, &floor) else {
                continue;
            };
            self.start(&job, &instance, &mut floor, now);
            started += 1;
            order.insert(floor.shares.place(&account));
        }
    }

    /// The account's oldest job that finds an instance.
    fn next_of(
        &self,
        lines: &Lines,
        search: &mut Search,
        floor: &Floor<'_>,
    ) -> Option<(id::Job, id::Instance)> {
        loop {
            let ((_, job), line) = search.next(lines)?;
            if let Some(instance) = self.choose(&self.rows[&job], floor) {
                return Some((job, instance));
            }
            search.missed(&line);
        }
    }

    /// The instance that is left with the least room, so that large jobs find room elsewhere; one
    /// that is proven where the job has failed before, and not the one where its lease lapsed.
    pub(super) fn choose(&self, row: &Row, floor: &Floor<'_>) -> Option<id::Instance> {
        if floor.untested(&sort(row)) >= self.limits.faults {
            return None;
        }
        let rooms = floor.rooms.get(&row.pool)?;
        let size = self.clamped(row, floor);
        let failed_here = |room: &&Room<'_>| row.failed_on.contains(&room.worker.id);
        // Where it has failed on every instance there is, it goes on: it is then parked by the
        // number of its tries, and never waits for an instance that does not exist.
        let everywhere = rooms
            .values()
            .filter(|room| room.open)
            .all(|room| failed_here(&room));
        let possible = rooms.values().filter(|room| {
            amount::fits(size, room.free)
                && self.may_run(row, room)
                && (everywhere || !failed_here(room))
        });
        let rank = |room: &Room<'_>| {
            let left = amount::subtract(room.free, size);
            let unproven = row.failures > 0 && !room.proven;
            let lapsed = self.lapsed.get(&row.id) == Some(&room.worker.id);
            (
                lapsed || unproven,
                amount::dominant(left, room.worker.capacity),
            )
        };
        let best = possible
            .map(|room| (rank(room), room))
            .min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, room)| room.worker.id.clone())
    }

    fn may_run(&self, row: &Row, room: &Room<'_>) -> bool {
        let id = &room.worker.id;
        let kept = self.kept.get(&row.pool);
        room.open
            && room.worker.pressure <= self.limits.pressure_high
            && kept.is_none_or(|(job, kept)| kept != id || *job == row.id)
            && (room.proven || self.faults.may_take(id, room.running, &self.limits))
    }

    /// Starts a job: the next token, the row, the call.
    pub(super) fn start(
        &mut self,
        job: &id::Job,
        instance: &id::Instance,
        floor: &mut Floor<'_>,
        now: Duration,
    ) {
        self.dequeue(job);
        let Some(row) = self.rows.get_mut(job) else {
            return;
        };
        row.token = Token(row.token.0 + 1);
        row.state = State::Running(instance.clone());
        let row = &self.rows[job];
        let start = Start {
            job: job.clone(),
            instance: instance.clone(),
            token: row.token,
            resources: self.clamped(row, floor),
            lease: self.limits.lease,
        };
        self.occupy(row, floor);
        self.runs.insert(job.clone(), Run::started(now));
        self.changed.insert(job.clone());
        self.actions.push(Action::Start(start));
    }
}
