//! The next steps of a wave in one pool.

use primroseroute_cell::row::WaveProgress as Progress;
use primroseroute_domain::work::Name;
use primroseroute_owner::wave::{Situation, Step, steps};
use primroseroute_platform::site::{Instance, InstanceState, Wave};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Five instances, all due, of which three may be in maintenance at a time.
struct Bed {
    instances: Vec<Instance>,
    progress: Progress,
    rested: BTreeSet<Name>,
    emptying: BTreeSet<Name>,
    empty: BTreeSet<Name>,
    taken: BTreeSet<Name>,
    busy: BTreeSet<Name>,
    settled: bool,
    runs: BTreeMap<Name, usize>,
}

fn instance(number: usize) -> Instance {
    Instance {
        name: format!("i-{number}").into(),
        pool: "pool".into(),
        state: InstanceState::Up,
        worker: Some(format!("w-{number}").into()),
    }
}

impl Bed {
    fn new() -> Self {
        let instances: Vec<Instance> = (0..5).map(instance).collect();
        let workers = instances.iter().filter_map(|known| known.worker.clone());
        let workers: BTreeSet<Name> = workers.collect();
        Self {
            rested: instances
                .iter()
                .map(|known| Name::clone(&known.name))
                .collect(),
            instances,
            progress: Progress::default(),
            emptying: workers.clone(),
            empty: workers,
            taken: BTreeSet::new(),
            busy: BTreeSet::new(),
            settled: true,
            runs: BTreeMap::new(),
        }
    }

    fn steps(&self) -> Vec<Step> {
        let names = self.instances.iter().map(|known| Name::clone(&known.name));
        steps(&Situation {
            wave: &Wave {
                number: 1,
                instances: names.collect(),
                duration: Duration::from_secs(30),
                maximum: 3,
            },
            progress: &self.progress,
            pool: &"pool".into(),
            instances: &self.instances,
            rested: &self.rested,
            emptying: &self.emptying,
            empty: &self.empty,
            lasting: &BTreeMap::new(),
            runs: &self.runs,
            taken: &self.taken,
            busy: &self.busy,
            settled: self.settled,
            most: 5,
        })
    }

    /// Counts an instance as in maintenance, with the worker that it has.
    fn count(&mut self, number: usize) -> Instance {
        let counted = instance(number);
        let name = Name::clone(&counted.name);
        self.progress.active.insert(name, counted.worker.clone());
        counted
    }

    /// Names of the instances that begin.
    fn begun(&self) -> Vec<String> {
        let steps = self.steps().into_iter();
        let begun = steps.filter_map(|step| match step {
            Step::Begin(instance) => Some(instance.name.to_string()),
            _ => None,
        });
        begun.collect()
    }
}

#[test]
fn as_many_begin_as_there_are_places() {
    let mut bed = Bed::new();
    assert_eq!(bed.begun(), ["i-0", "i-1", "i-2"]);
    bed.progress.active.insert("i-9".into(), None);
    bed.instances.push(Instance {
        state: InstanceState::Maintenance,
        ..instance(9)
    });
    assert_eq!(bed.begun(), ["i-0", "i-1"]);
}

#[test]
fn those_that_are_not_empty_or_may_not_be_ordered_are_passed_over() {
    let mut bed = Bed::new();
    bed.empty.remove("w-0");
    bed.rested.remove("i-1");
    assert_eq!(bed.begun(), ["i-2", "i-3", "i-4"]);
}

/// Those whose maintenance is over come before anything new, all at once: each makes a place free.
#[test]
fn all_that_are_back_are_finished_at_once() {
    let mut bed = Bed::new();
    for number in 0..2 {
        let counted = bed.count(number);
        bed.instances[number].worker = Some("w-new".into());
        bed.taken.insert(counted.name);
    }
    let finished = [Step::Finish("i-0".into()), Step::Finish("i-1".into())];
    assert_eq!(bed.steps(), finished);
}

/// Instance 0 is counted as in maintenance and is up with the worker that it had: its order may not have
/// come, so it is sent again, unless this owner knows that it was taken.
#[test]
fn order_that_may_not_have_come_is_repeated() {
    let mut bed = Bed::new();
    let first = bed.count(0);
    assert_eq!(bed.steps(), [Step::Repeat(first.clone())]);
    bed.taken.insert(Name::clone(&first.name));
    assert_eq!(bed.steps(), [Step::Finish(first.name)]);
}

/// Instance 0 is counted as in maintenance, its order is not known to be taken, and it has another worker:
/// it may have crashed. It is due again, and isn't taken for maintained.
#[test]
fn another_worker_proves_nothing() {
    let mut bed = Bed::new();
    let first = bed.count(0);
    bed.instances[0].worker = Some("w-new".into());
    assert_eq!(bed.steps(), [Step::Again(first.name)]);
}

/// A successor finds instance 0 counted, up with the worker that it had, and hasn't emptied it: tasks that it
/// has placed there since must not be cut off.
#[test]
fn counted_instance_that_is_not_empty_is_due_again() {
    let mut bed = Bed::new();
    let first = bed.count(0);
    bed.emptying.remove("w-0");
    bed.empty.remove("w-0");
    assert_eq!(bed.steps(), [Step::Again(first.name)]);
}

/// A successor finds instance 0 counted and up, while its predecessor's order is on its way. Counted no more, it would go down
/// beside as many others as may be down.
#[test]
fn counted_instance_stays_counted_while_orders_may_be_on_their_way() {
    let mut bed = Bed::new();
    let first = bed.count(0);
    bed.emptying.remove("w-0");
    bed.empty.remove("w-0");
    bed.settled = false;
    assert_eq!(bed.begun(), ["i-1", "i-2"]);
    assert!(!bed.steps().contains(&Step::Again(first.name)));
}

/// An order had effect without an answer, and is refused when it is sent again: the instance is down and counts. Where a list
/// shows it up, it was about to leave, and its place is free.
#[test]
fn refused_instance_counts_until_a_list_shows_it_up() {
    let mut bed = Bed::new();
    let first = bed.count(0);
    bed.busy.insert(Name::clone(&first.name));
    bed.instances[0].state = InstanceState::Maintenance;
    assert_eq!(bed.begun(), ["i-1", "i-2"]);
    bed.instances[0].state = InstanceState::Up;
    assert_eq!(bed.steps(), [Step::Again(first.name)]);
}

/// All are at work, and only some may be emptied: those with the fewest runs are, since they are empty soonest.
#[test]
fn instances_with_the_fewest_runs_are_emptied_first() {
    let mut bed = Bed::new();
    bed.emptying.clear();
    bed.empty.clear();
    bed.runs = (0..5)
        .map(|number| (format!("w-{number}").into(), 5 - number))
        .collect();
    let steps = bed.steps();
    assert_eq!(steps.first(), Some(&Step::Empty("w-4".into())), "{steps:?}");
}
