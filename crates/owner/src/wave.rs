//! Which instances of a pool are evacuated and maintained next, for one wave.
//!
//! Each owner maintains the instances of its own pool. How many of a wave are in maintenance over
//! all pools is counted in the wave's row, which owners change conditionally.

use primroseroute_cell::row::WaveProgress as Progress;
use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Instance, InstanceState, Wave};
use std::collections::{BTreeMap, BTreeSet};

/// The state on which an owner decides.
#[derive(Debug)]
pub struct WaveInputs<'a> {
    /// The wave.
    pub wave: &'a Wave,
    /// The progress of the wave.
    pub progress: &'a Progress,
    /// The owner's pool.
    pub pool: &'a Name,
    /// All instances of the fleet.
    pub instances: &'a [Instance],
    /// Instances of the pool that may be ordered now.
    pub orderable: &'a BTreeSet<Name>,
    /// Workers that are being evacuated.
    pub evacuating: &'a BTreeSet<Name>,
    /// Workers on which nothing can run.
    pub evacuated: &'a BTreeSet<Name>,
    /// For each worker, the number of long-running tasks on it.
    pub lasting: &'a BTreeMap<Name, usize>,
    /// For each worker, the number of runs on it.
    pub runs: &'a BTreeMap<Name, usize>,
    /// Instances of the wave whose order this owner knows to be accepted.
    pub accepted: &'a BTreeSet<Name>,
    /// Instances of the wave whose newest order was refused, since they weren't up or were about to leave.
    pub busy: &'a BTreeSet<Name>,
    /// Whether no order of a predecessor can take effect any more.
    pub predecessor_done: bool,
    /// Maximum workers of the pool that may be evacuated at the same time.
    pub max_evacuating: usize,
}

/// An action of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Place nothing new on this worker, and move its long-running tasks away.
    Evacuate(Name),
    /// Count this instance as in maintenance and order it; nothing runs on it.
    Begin(Instance),
    /// Order this instance again: it is counted as in maintenance, and it is unknown whether the
    /// order was accepted. Orders are idempotent.
    Repeat(Instance),
    /// Its maintenance is over, or it has left the fleet.
    Finish(Name),
    /// It is unknown whether it was maintained: it is due again.
    Requeue(Name),
    /// All instances of the wave have been maintained or have left.
    Complete,
}

/// The next steps, which are independent of each other.
pub fn next_steps(inputs: &WaveInputs<'_>) -> Vec<Step> {
    let mut ended = to_finish(inputs);
    ended.extend(to_requeue(inputs));
    if !ended.is_empty() {
        return ended;
    }
    if is_complete(inputs) {
        return vec![Step::Complete];
    }
    let repeated = to_repeat(inputs);
    if !repeated.is_empty() {
        return repeated;
    }
    let due = due(inputs);
    let mut steps = to_begin(inputs, &due);
    steps.extend(to_evacuate(inputs, &due));
    steps
}

fn find<'a>(instances: &'a [Instance], name: &Name) -> Option<&'a Instance> {
    instances.iter().find(|instance| instance.name == *name)
}

/// Active instances whose maintenance is over, or that have left the fleet. An order takes effect
/// at once, so an instance that is up after its order was accepted has been maintained.
fn to_finish(inputs: &WaveInputs<'_>) -> Vec<Step> {
    let active = inputs.progress.active.iter();
    let over = active.filter(|(name, _before)| match find(inputs.instances, name) {
        Some(instance) => is_up(inputs, instance) && inputs.accepted.contains(&instance.name),
        None => true,
    });
    over.map(|(name, _before)| Step::Finish(Name::clone(name)))
        .collect()
}

fn is_up(inputs: &WaveInputs<'_>, instance: &Instance) -> bool {
    instance.pool == *inputs.pool && instance.state == InstanceState::Up
}

/// Whether nothing runs on an instance, nor will.
fn is_empty(inputs: &WaveInputs<'_>, instance: &Instance) -> bool {
    let worker = instance.worker.as_ref();
    worker.is_none_or(|worker| {
        inputs.evacuating.contains(worker) && inputs.evacuated.contains(worker)
    })
}

/// Active instances that are up, and whose order isn't known to be accepted.
fn unconfirmed<'a>(inputs: &WaveInputs<'a>) -> impl Iterator<Item = (&'a Instance, bool)> {
    let active = inputs.progress.active.iter();
    active.filter_map(|(name, before)| {
        let found = find(inputs.instances, name)?;
        let open = is_up(inputs, found) && !inputs.accepted.contains(name);
        open.then_some((found, found.worker == *before))
    })
}

/// Instances that are due again: those with another worker, since a crash replaces a worker just as
/// maintenance does, those on which something may run, since a predecessor that evacuated them is
/// gone, and those that are up after their order was refused. They are evacuated and ordered once
/// more; repeating an order that was carried out has no effect.
///
/// A predecessor's order may be in flight, and its instance go down a moment after a list has shown
/// it up. When it was no longer counted by then, it was down in addition to as many others as may
/// be.
fn to_requeue(inputs: &WaveInputs<'_>) -> Vec<Step> {
    if !inputs.predecessor_done {
        return Vec::new();
    }
    let unconfirmed = unconfirmed(inputs);
    let due = unconfirmed.filter(|(instance, same)| {
        let refused = inputs.busy.contains(&instance.name);
        !same || refused || !is_empty(inputs, instance)
    });
    due.map(|(instance, _same)| Step::Requeue(Name::clone(&instance.name)))
        .collect()
}

/// Evacuated instances with the worker that they had, and whose order may never have arrived.
fn to_repeat(inputs: &WaveInputs<'_>) -> Vec<Step> {
    let unconfirmed = unconfirmed(inputs);
    let waiting = unconfirmed.filter(|(instance, same)| {
        let orderable = inputs.orderable.contains(&instance.name);
        *same && orderable && is_empty(inputs, instance)
    });
    waiting
        .map(|(instance, _same)| Step::Repeat(Instance::clone(instance)))
        .collect()
}

fn is_complete(inputs: &WaveInputs<'_>) -> bool {
    let mut names = inputs.wave.instances.iter();
    names.all(|name| {
        let done = inputs.progress.done.contains(name);
        done || find(inputs.instances, name).is_none()
    })
}

/// Instances of the pool that are up and wait for their maintenance, those that are easiest to
/// evacuate first: without long-running tasks, and with the fewest runs.
fn due<'a>(inputs: &WaveInputs<'a>) -> Vec<&'a Instance> {
    let progress = inputs.progress;
    let names = inputs.wave.instances.iter();
    let own = names.filter_map(|name| find(inputs.instances, name));
    let mut due: Vec<&Instance> = own
        .filter(|instance| {
            instance.pool == *inputs.pool
                && instance.state == InstanceState::Up
                && !progress.done.contains(&instance.name)
                && !progress.active.contains_key(&instance.name)
        })
        .collect();
    let of = |known: &BTreeMap<Name, usize>, instance: &Instance| {
        let worker = instance.worker.as_ref();
        worker.and_then(|worker| known.get(worker)).copied()
    };
    due.sort_by_key(|instance| (of(inputs.lasting, instance), of(inputs.runs, instance)));
    due
}

/// Evacuated instances begin maintenance, up to the limit of the wave.
fn to_begin(inputs: &WaveInputs<'_>, due: &[&Instance]) -> Vec<Step> {
    let active = inputs.progress.active.len();
    let places = inputs.wave.maximum.saturating_sub(active);
    let orderable = due
        .iter()
        .filter(|instance| inputs.orderable.contains(&instance.name));
    let ready = orderable.filter(|instance| is_empty(inputs, instance));
    ready
        .take(places)
        .map(|instance| Step::Begin(Instance::clone(instance)))
        .collect()
}

/// Workers to evacuate, up to the limit of the pool.
fn to_evacuate(inputs: &WaveInputs<'_>, due: &[&Instance]) -> Vec<Step> {
    let workers = due.iter().filter_map(|instance| instance.worker.as_ref());
    let (already, others): (Vec<&Name>, Vec<&Name>) =
        workers.partition(|worker| inputs.evacuating.contains(*worker));
    let free = inputs.max_evacuating.saturating_sub(already.len());
    let next = others.into_iter().take(free);
    next.map(|worker| Step::Evacuate(Name::clone(worker)))
        .collect()
}
