//! The next steps of a wave in one pool.

use primroseroute_cell::row::WaveProgress as Progress;
use primroseroute_domain::work::Name;
use primroseroute_owner::wave::{Step, WaveInputs, next_steps};
use primroseroute_platform::site::{Instance, InstanceState, Wave};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Five instances, all due, of which three may be in maintenance at a time.
struct Fixture {
    instances: Vec<Instance>,
    progress: Progress,
    orderable: BTreeSet<Name>,
    evacuating: BTreeSet<Name>,
    evacuated: BTreeSet<Name>,
    accepted: BTreeSet<Name>,
    busy: BTreeSet<Name>,
    predecessor_done: bool,
    runs: BTreeMap<Name, usize>,
}

fn instance(number: usize) -> Instance {
    Instance {
        name: format!("i-{number}").into(),
        pool: "pool".into(),
        state: InstanceState::Up,
        worker: Some(format!("w-{number}").into()),
        capacity: None,
        labels: Vec::new(),
    }
}

impl Fixture {
    fn new() -> Self {
        let instances: Vec<Instance> = (0..5).map(instance).collect();
        let workers = instances.iter().filter_map(|known| known.worker.clone());
        let workers: BTreeSet<Name> = workers.collect();
        Self {
            orderable: instances
                .iter()
                .map(|known| Name::clone(&known.name))
                .collect(),
            instances,
            progress: Progress::default(),
            evacuating: workers.clone(),
            evacuated: workers,
            accepted: BTreeSet::new(),
            busy: BTreeSet::new(),
            predecessor_done: true,
            runs: BTreeMap::new(),
        }
    }

    fn steps(&self) -> Vec<Step> {
        let names = self.instances.iter().map(|known| Name::clone(&known.name));
        next_steps(&WaveInputs {
            wave: &Wave {
                number: 1,
                instances: names.collect(),
                duration: Duration::from_secs(30),
                maximum: 3,
            },
            progress: &self.progress,
            pool: &"pool".into(),
            instances: &self.instances,
            orderable: &self.orderable,
            evacuating: &self.evacuating,
            evacuated: &self.evacuated,
            lasting: &BTreeMap::new(),
            runs: &self.runs,
            accepted: &self.accepted,
            busy: &self.busy,
            predecessor_done: self.predecessor_done,
            max_evacuating: 5,
        })
    }

    /// Counts an instance as in maintenance, with the worker that it has.
    fn count(&mut self, number: usize) -> Instance {
        let counted = instance(number);
        let name = Name::clone(&counted.name);
        self.progress.active.insert(name, counted.worker.clone());
        counted
    }

    /// Names of the instances that begin maintenance.
    fn beginning(&self) -> Vec<String> {
        let steps = self.steps().into_iter();
        let beginning = steps.filter_map(|step| match step {
            Step::Begin(instance) => Some(instance.name.to_string()),
            _ => None,
        });
        beginning.collect()
    }
}

#[test]
fn as_many_begin_as_there_are_places() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.beginning(), ["i-0", "i-1", "i-2"]);
    fixture.progress.active.insert("i-9".into(), None);
    fixture.instances.push(Instance {
        state: InstanceState::Maintenance,
        ..instance(9)
    });
    assert_eq!(fixture.beginning(), ["i-0", "i-1"]);
}

#[test]
fn instances_that_are_not_empty_or_may_not_be_ordered_are_skipped() {
    let mut fixture = Fixture::new();
    fixture.evacuated.remove("w-0");
    fixture.orderable.remove("i-1");
    assert_eq!(fixture.beginning(), ["i-2", "i-3", "i-4"]);
}

/// Instances whose maintenance is over are finished before anything new begins, all at once: each
/// frees a place.
#[test]
fn all_maintained_instances_are_finished_at_once() {
    let mut fixture = Fixture::new();
    for number in 0..2 {
        let counted = fixture.count(number);
        fixture.instances[number].worker = Some("w-new".into());
        fixture.accepted.insert(counted.name);
    }
    let finished = [Step::Finish("i-0".into()), Step::Finish("i-1".into())];
    assert_eq!(fixture.steps(), finished);
}

/// Instance 0 is counted as in maintenance and is up with the worker that it had: its order may not
/// have arrived, so it is sent again, unless this owner knows that it was accepted.
#[test]
fn order_that_may_not_have_arrived_is_repeated() {
    let mut fixture = Fixture::new();
    let first = fixture.count(0);
    assert_eq!(fixture.steps(), [Step::Repeat(first.clone())]);
    fixture.accepted.insert(Name::clone(&first.name));
    assert_eq!(fixture.steps(), [Step::Finish(first.name)]);
}

/// Instance 0 is counted as in maintenance, its order is not known to be accepted, and it has
/// another worker: it may have crashed. It is due again, and doesn't count as maintained.
#[test]
fn another_worker_proves_nothing() {
    let mut fixture = Fixture::new();
    let first = fixture.count(0);
    fixture.instances[0].worker = Some("w-new".into());
    assert_eq!(fixture.steps(), [Step::Requeue(first.name)]);
}

/// A successor finds instance 0 counted, up with the worker that it had, and hasn't evacuated it:
/// tasks that it has placed there since must not be cut off.
#[test]
fn counted_instance_that_is_not_empty_is_due_again() {
    let mut fixture = Fixture::new();
    let first = fixture.count(0);
    fixture.evacuating.remove("w-0");
    fixture.evacuated.remove("w-0");
    assert_eq!(fixture.steps(), [Step::Requeue(first.name)]);
}

/// A successor finds instance 0 counted and up, while its predecessor's order is in flight. If it
/// was no longer counted, it would go down beside as many others as may be down.
#[test]
fn counted_instance_stays_counted_while_orders_may_be_on_their_way() {
    let mut fixture = Fixture::new();
    let first = fixture.count(0);
    fixture.evacuating.remove("w-0");
    fixture.evacuated.remove("w-0");
    fixture.predecessor_done = false;
    assert_eq!(fixture.beginning(), ["i-1", "i-2"]);
    assert!(!fixture.steps().contains(&Step::Requeue(first.name)));
}

/// An order took effect without an answer, and is refused when it is sent again: the instance is
/// down and counts. If a list shows it up, it was about to leave, and its place is free.
#[test]
fn refused_instance_counts_until_a_list_shows_it_up() {
    let mut fixture = Fixture::new();
    let first = fixture.count(0);
    fixture.busy.insert(Name::clone(&first.name));
    fixture.instances[0].state = InstanceState::Maintenance;
    assert_eq!(fixture.beginning(), ["i-1", "i-2"]);
    fixture.instances[0].state = InstanceState::Up;
    assert_eq!(fixture.steps(), [Step::Requeue(first.name)]);
}

/// All instances are in use, and only some may be evacuated: those with the fewest runs are, since
/// they are empty soonest.
#[test]
fn instances_with_the_fewest_runs_are_evacuated_first() {
    let mut fixture = Fixture::new();
    fixture.evacuating.clear();
    fixture.evacuated.clear();
    fixture.runs = (0..5)
        .map(|number| (format!("w-{number}").into(), 5 - number))
        .collect();
    let steps = fixture.steps();
    assert_eq!(
        steps.first(),
        Some(&Step::Evacuate("w-4".into())),
        "{steps:?}"
    );
}
