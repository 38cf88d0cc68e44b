//! What instances, or the workers on them, could run at the same time if nothing else ran there.

use primroseroute_domain::work::{Demand, Name, Step};
use std::{collections::BTreeMap, sync::Arc};

/// Number of hosts by capacity: processor share, memory and accelerators.
type Capacities = BTreeMap<[u64; 3], u64>;

/// The capacities and labels of hosts, which are instances or workers.
///
/// Hosts of equal capacity are counted together, so that a look-up goes through the kinds of hosts
/// and not through all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    all: Capacities,
    by_label: BTreeMap<Name, Capacities>,
}

impl Inventory {
    /// Adds a host.
    pub fn add<'a>(&mut self, capacity: Demand, labels: impl IntoIterator<Item = &'a Name>) {
        let Demand {
            cpu,
            memory,
            accelerators,
        } = capacity;
        let key = [cpu, memory, accelerators];
        *self.all.entry(key).or_default() += 1;
        for label in labels {
            let labelled = self.by_label.entry(Name::clone(label)).or_default();
            *labelled.entry(key).or_default() += 1;
        }
    }

    /// The largest capacity of a host, for each resource.
    pub(crate) fn largest(&self) -> Demand {
        let capacities = self.all.keys();
        let capacities = capacities.map(|&[cpu, memory, accelerators]| Demand {
            cpu,
            memory,
            accelerators,
        });
        capacities.fold(Demand::default(), Demand::larger)
    }

    /// Number of tasks of a step that could run at the same time, up to its number of tasks; 0 for
    /// a gang that couldn't run as a whole.
    pub fn tasks(&self, step: &Step) -> u64 {
        let count = u64::from(step.count);
        let hosts = match &step.label {
            None => Some(&self.all),
            Some(label) => self.by_label.get(label),
        };
        let mut tasks: u64 = 0;
        for (&capacity, &number) in hosts.into_iter().flatten() {
            let on_each = tasks_within(capacity, step).min(count);
            tasks = tasks.saturating_add(on_each.saturating_mul(number));
            if tasks >= count {
                return count;
            }
        }
        if step.gang { 0 } else { tasks }
    }
}

/// Number of tasks of a step that a host could run at the same time.
fn tasks_within([cpu, memory, accelerators]: [u64; 3], step: &Step) -> u64 {
    let within = |capacity: u64, demand: u64| capacity.checked_div(demand).unwrap_or(u64::MAX);
    let reserved = step.reserved();
    let spread = match step.most_per_worker {
        0 => u64::MAX,
        most => u64::from(most),
    };
    within(cpu, reserved.cpu)
        .min(within(memory, reserved.memory))
        .min(within(accelerators, reserved.accelerators))
        .min(spread)
}

/// What is known of the fleet's instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fleet {
    /// They haven't been listed yet.
    Unlisted,
    /// The platform doesn't tell all their capacities.
    #[default]
    Unknown,
    /// Their capacities and labels.
    Known(Arc<Inventory>),
}

/// What a pool's workers can run, or could after instances have moved.
#[derive(Clone, Debug, Default)]
pub(crate) struct Capability {
    /// All instances.
    pub fleet: Fleet,
    /// The pool's workers. One that has just joined may not be in the list of instances yet.
    pub own: Inventory,
}

impl Capability {
    /// Number of tasks of a step that could run at the same time, up to its number of tasks; all if
    /// that isn't known.
    ///
    /// A new owner goes by the pool's workers until it has listed the instances, a moment later.
    pub(crate) fn tasks(&self, step: &Step) -> u64 {
        match &self.fleet {
            Fleet::Known(fleet) => fleet.tasks(step).max(self.own.tasks(step)),
            Fleet::Unlisted if !self.own.all.is_empty() => self.own.tasks(step),
            Fleet::Unlisted | Fleet::Unknown => u64::from(step.count),
        }
    }

    /// Whether any task of a step could run.
    pub(crate) fn allows(&self, step: &Step) -> bool {
        self.tasks(step) > 0
    }
}
