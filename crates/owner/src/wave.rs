//! Which instances of a pool are emptied and maintained next, for one wave.
//!
//! Each owner maintains the instances of its own pool. How many of a wave are in maintenance over
//! all pools is counted in the wave's row, which owners change under a condition.

use primroseroute_cell::row::WaveProgress as Progress;
use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Instance, InstanceState, Wave};
use std::collections::{BTreeMap, BTreeSet};

/// What an owner knows when it decides.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The wave.
    pub wave: &'a Wave,
    /// How far it is.
    pub progress: &'a Progress,
    /// The pool.
    pub pool: &'a Name,
    /// All instances of the fleet.
    pub instances: &'a [Instance],
    /// Instances of the pool that may get an order.
    pub rested: &'a BTreeSet<Name>,
    /// Workers that are being emptied.
    pub emptying: &'a BTreeSet<Name>,
    /// Workers on which nothing can run.
    pub empty: &'a BTreeSet<Name>,
    /// For each worker, the number of lasting tasks on it.
    pub lasting: &'a BTreeMap<Name, usize>,
    /// For each worker, the number of runs on it.
    pub runs: &'a BTreeMap<Name, usize>,
    /// Instances of the wave whose order this owner knows to be taken.
    pub taken: &'a BTreeSet<Name>,
    /// Instances of the wave whose newest order was refused, since they weren't up or were about to leave.
    pub busy: &'a BTreeSet<Name>,
    /// Whether no order of a predecessor can take effect any more.
    pub settled: bool,
    /// Most workers of the pool that may be emptied at the same time.
    pub most: usize,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Take nothing new on this worker, and move its lasting tasks away.
    Empty(Name),
    /// Count this instance as in maintenance and order it; nothing runs on it.
    Begin(Instance),
    /// Order this instance again: it is counted as in maintenance, and it isn't known whether the
    /// order was taken. Orders are idempotent.
    Repeat(Instance),
    /// Its maintenance is over, or it has left.
    Finish(Name),
    /// It isn't known whether it was maintained: it is due again.
    Again(Name),
    /// All instances of the wave have been maintained or have left.
    Complete,
}

/// The next steps; none of them depends on another.
pub fn steps(situation: &Situation<'_>) -> Vec<Step> {
    let mut over = finished(situation);
    over.extend(again(situation));
    if !over.is_empty() {
        return over;
    }
    if is_complete(situation) {
        return vec![Step::Complete];
    }
    let repeated = repeated(situation);
    if !repeated.is_empty() {
        return repeated;
    }
    let due = due(situation);
    let mut steps = begun(situation, &due);
    steps.extend(emptied(situation, &due));
    steps
}

fn find<'a>(instances: &'a [Instance], name: &Name) -> Option<&'a Instance> {
    instances.iter().find(|instance| instance.name == *name)
}

/// Active instances whose maintenance is over, or that have left the fleet. An order takes effect at
/// once, so an instance that is up after its order was taken has been maintained.
fn finished(situation: &Situation<'_>) -> Vec<Step> {
    let active = situation.progress.active.iter();
    let over = active.filter(|(name, _before)| match find(situation.instances, name) {
        Some(instance) => is_up(situation, instance) && situation.taken.contains(&instance.name),
        None => true,
    });
    over.map(|(name, _before)| Step::Finish(Name::clone(name)))
        .collect()
}

fn is_up(situation: &Situation<'_>, instance: &Instance) -> bool {
    instance.pool == *situation.pool && instance.state == InstanceState::Up
}

/// Whether nothing runs on an instance, nor will.
fn is_ready(situation: &Situation<'_>, instance: &Instance) -> bool {
    let worker = instance.worker.as_ref();
    worker.is_none_or(|worker| {
        situation.emptying.contains(worker) && situation.empty.contains(worker)
    })
}

/// Active instances that are up, and whose order isn't known to be taken.
fn unproved<'a>(situation: &Situation<'a>) -> impl Iterator<Item = (&'a Instance, bool)> {
    let active = situation.progress.active.iter();
    active.filter_map(|(name, before)| {
        let found = find(situation.instances, name)?;
        let open = is_up(situation, found) && !situation.taken.contains(name);
        open.then_some((found, found.worker == *before))
    })
}

/// Instances that are due again: those with another worker, since a crash renews a worker just as
/// maintenance does, those on which something may run, since a predecessor that emptied them is gone, and those that are up
/// after their order was refused. They are emptied and ordered once more; an order for what was done has no effect.
///
/// A predecessor's order may be on its way, and its instance goes down a moment after a list has shown it up. Counted no more
/// by then, it was down beside as many others as may be.
fn again(situation: &Situation<'_>) -> Vec<Step> {
    if !situation.settled {
        return Vec::new();
    }
    let open = unproved(situation);
    let due = open.filter(|(instance, same)| {
        let refused = situation.busy.contains(&instance.name);
        !same || refused || !is_ready(situation, instance)
    });
    due.map(|(instance, _same)| Step::Again(Name::clone(&instance.name)))
        .collect()
}

/// Empty instances with the worker that they had, and whose order may never have come.
fn repeated(situation: &Situation<'_>) -> Vec<Step> {
    let open = unproved(situation);
    let waiting = open.filter(|(instance, same)| {
        let rested = situation.rested.contains(&instance.name);
        *same && rested && is_ready(situation, instance)
    });
    waiting
        .map(|(instance, _same)| Step::Repeat(Instance::clone(instance)))
        .collect()
}

fn is_complete(situation: &Situation<'_>) -> bool {
    let mut names = situation.wave.instances.iter();
    names.all(|name| {
        let done = situation.progress.done.contains(name);
        done || find(situation.instances, name).is_none()
    })
}

/// Instances of the pool that are up and wait for their maintenance, those that are easiest to empty
/// first: without lasting tasks, and with the fewest runs.
fn due<'a>(situation: &Situation<'a>) -> Vec<&'a Instance> {
    let progress = situation.progress;
    let names = situation.wave.instances.iter();
    let own = names.filter_map(|name| find(situation.instances, name));
    let mut due: Vec<&Instance> = own
        .filter(|instance| {
            instance.pool == *situation.pool
                && instance.state == InstanceState::Up
                && !progress.done.contains(&instance.name)
                && !progress.active.contains_key(&instance.name)
        })
        .collect();
    let of = |known: &BTreeMap<Name, usize>, instance: &Instance| {
        let worker = instance.worker.as_ref();
        worker.and_then(|worker| known.get(worker)).copied()
    };
    due.sort_by_key(|instance| {
        (
            of(situation.lasting, instance),
            of(situation.runs, instance),
        )
    });
    due
}

/// Empty instances begin, as far as the wave has places left.
fn begun(situation: &Situation<'_>, due: &[&Instance]) -> Vec<Step> {
    let active = situation.progress.active.len();
    let places = situation.wave.maximum.saturating_sub(active);
    let rested = due
        .iter()
        .filter(|instance| situation.rested.contains(&instance.name));
    let ready = rested.filter(|instance| is_ready(situation, instance));
    ready
        .take(places)
        .map(|instance| Step::Begin(Instance::clone(instance)))
        .collect()
}

/// Workers to empty, up to the limit.
fn emptied(situation: &Situation<'_>, due: &[&Instance]) -> Vec<Step> {
    let workers = due.iter().filter_map(|instance| instance.worker.as_ref());
    let (already, others): (Vec<&Name>, Vec<&Name>) =
        workers.partition(|worker| situation.emptying.contains(*worker));
    let room = situation.most.saturating_sub(already.len());
    let next = others.into_iter().take(room);
    next.map(|worker| Step::Empty(Name::clone(worker)))
        .collect()
}
