//! What the cell is told of its workers' lives and use, and what it tells of them.

use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    row::Life,
    worker::{Gone, Purpose, Stop, Worker},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{site, worker::Target};
use std::collections::{BTreeMap, BTreeSet};

impl Cell {
    /// Takes in a worker's registration.
    pub fn register(&mut self, info: site::Worker) {
        let id = Name::clone(&info.id);
        let worker = self.worker(&id);
        worker.info = Some(info);
        worker.registered = true;
    }

    /// Takes in that a worker isn't registered any more. What runs there runs on until its lease
    /// lapses or its end is seen: it may only have lost its way to the store.
    pub fn unregister(&mut self, worker: &Name) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.registered = false;
        }
    }

    /// Takes in that a life of a worker is over: nothing runs on it any more, but what has got no answer may reach its next
    /// life. Whether that is news.
    ///
    /// Whoever tells may have asked long ago, and mean the life before: `born` is what was known of the worker then, and
    /// `asked_at` is when it was asked. A start that was answered later may be of the next life.
    pub fn gone(&mut self, worker: &Name, born: u64, asked_at: Millis) -> bool {
        let Some(known) = self.workers.get_mut(worker) else {
            return false;
        };
        if known.born != born {
            return false;
        }
        known.over_by = asked_at;
        self.over(worker, Gone::ItsLife)
    }

    /// Takes in that another worker answers in the place of one, which never comes back. Whether that is news.
    pub fn replaced(&mut self, worker: &Name) -> bool {
        self.over(worker, Gone::ForGood)
    }

    fn over(&mut self, worker: &Name, gone: Gone) -> bool {
        let Some(worker) = self.workers.get_mut(worker) else {
            return false;
        };
        let is_news = !worker.is_gone();
        worker.gone = worker.gone.max(gone);
        is_news
    }

    /// Takes in that a renewal is sent: the worker's lease may hold until `lapses_at`.
    pub fn renewing(&mut self, worker: &Name, lapses_at: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lapses_at = worker.lapses_at.max(lapses_at);
        }
    }

    /// Asks for a worker to be emptied for planned work, or no more.
    ///
    /// One that isn't known yet is remembered: the platform may list it before its registration comes. Otherwise it would
    /// get tasks then, while the order to its instance is on its way.
    pub fn empty(&mut self, worker: &Name, wanted: Option<Purpose>) {
        if wanted.is_some() {
            self.worker(worker).emptying = wanted;
        } else if let Some(worker) = self.workers.get_mut(worker) {
            worker.emptying = None;
        }
    }

    /// A worker, which may not have been known before.
    pub(crate) fn worker(&mut self, id: &Name) -> &mut Worker {
        let lapses_at = self.taken_at + self.limits.stretched(self.limits.lease);
        let worker = self.workers.entry(Name::clone(id));
        worker.or_insert_with(|| Worker::new(lapses_at))
    }

    /// Asks for everything but lasting tasks on a worker to be stopped.
    pub fn clear(&mut self, worker: &Name) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        for run in worker.runs.values_mut() {
            if !run.lasting && run.stop == Stop::No {
                run.stop = Stop::Wanted;
            }
        }
    }

    /// The workers that are known, those among them that are known by what may run on them only.
    pub fn workers(&self) -> impl Iterator<Item = &Name> + Clone {
        self.workers.keys()
    }

    /// Number of runs that may be under way on a worker.
    pub fn runs_on(&self, worker: &Name) -> usize {
        self.workers
            .get(worker)
            .map_or(0, |worker| worker.runs.len())
    }

    /// Whether nothing can run on a worker, and it gets nothing new because it is to be emptied.
    pub fn is_emptied(&self, worker: &Name) -> bool {
        let found = self.workers.get(worker);
        found.is_some_and(|worker| worker.emptying.is_some() && worker.runs.is_empty())
    }

    /// Workers that have shown nothing for a while, and on which something may run, or has lapsed lately.
    pub fn silent(&self, now: Millis) -> BTreeSet<Name> {
        let silent = self.workers.iter();
        let silent = silent.filter(|(_id, worker)| self.is_silent(worker, now));
        silent.map(|(id, _worker)| Name::clone(id)).collect()
    }

    /// Those of the silent workers that new runs may have crashed.
    pub fn suspected(&self, now: Millis) -> BTreeSet<Name> {
        let settle = self.limits.settle;
        let suspected = self.workers.iter().filter(|(_id, worker)| {
            self.is_silent(worker, now)
                && (worker.lapsed.is_some() || !crash::new_runs(worker, settle).is_empty())
        });
        suspected.map(|(id, _worker)| Name::clone(id)).collect()
    }

    /// Takes in that the platform was asked at `asked_at` and still named a silent worker; whether it shows that the worker has
    /// outlived runs that were new.
    ///
    /// A worker that has crashed is named no more for a while, and then perhaps again, in its next life. So only names without a
    /// gap between them, from the last look on, tell of one life.
    pub fn named(&mut self, id: &Name, born: u64, asked_at: Millis) -> bool {
        let settle = self.limits.settle;
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let last = worker.named_at.max(worker.looked_at);
        let is_same_life = last.is_some_and(|last| asked_at <= last + Life::SPAN);
        if worker.is_gone() || worker.born != born || !is_same_life {
            return false;
        }
        let new = crash::new_runs(worker, settle).len();
        worker.named_at = worker.named_at.max(Some(asked_at));
        let outlived = crash::new_runs(worker, settle).len() < new;
        // Its lease had lapsed by then, and nothing ran any more.
        let alive_at = worker.alive_at();
        let lapsed = worker.lapsed.take_if(|lapsed| alive_at >= Some(lapsed.at));
        if outlived {
            crash::acquit(self, id);
        }
        outlived || lapsed.is_some()
    }

    fn is_silent(&self, worker: &Worker, now: Millis) -> bool {
        let heard = worker.looked_at.unwrap_or(self.taken_at);
        let matters = !worker.runs.is_empty() || worker.lapsed.is_some();
        matters && !worker.is_gone() && now >= heard + self.limits.silent
    }

    /// Of the workers whose ends are asked for at the platform, the silent ones and those that are emptied: when the life began
    /// that looks have shown last, by the worker's own clock; 0 before the first look.
    pub fn lives(&self, now: Millis) -> BTreeMap<Name, u64> {
        let lives = self.workers.iter();
        let lives =
            lives.filter(|(_id, worker)| worker.emptying.is_some() || self.is_silent(worker, now));
        lives
            .map(|(id, worker)| (Name::clone(id), worker.born))
            .collect()
    }

    /// Number of lasting tasks that may run on a worker.
    pub fn lasting_on(&self, worker: &Name) -> usize {
        let found = self.workers.get(worker);
        found.map_or(0, |worker| {
            worker.runs.values().filter(|run| run.lasting).count()
        })
    }

    /// Where to reach the workers whose lives aren't over, and those whose next lives may get starts of the last one.
    pub fn targets(&self) -> Vec<Target> {
        let targets = self.workers.values().filter_map(|worker| {
            let answers = match worker.gone {
                Gone::No => true,
                Gone::ItsLife => !worker.runs.is_empty(),
                Gone::ForGood => false,
            };
            let info = worker.info.as_ref().filter(|_info| answers)?;
            Some(Target {
                id: Name::clone(&info.id),
                address: info.address,
            })
        });
        targets.collect()
    }
}
