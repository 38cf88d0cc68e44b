//! Budgets, compared with a reference implementation that tries every subset.

use crate::fixture::{budget, draining, fleet, name, runner, serving};
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Purpose, Row, State},
};
use primroseroute_fleet::{Fleet, budget as budgets};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use std::collections::BTreeSet;

/// The most instances of pool `p` that may leave together, by trying every subset of those present.
fn reference_disruptions(fleet: &Fleet, budget: &Budget) -> usize {
    let present: Vec<_> = fleet
        .rows
        .values()
        .filter(|row| row.state == State::Serving && !fleet.absent.contains(&row.id))
        .collect();
    let planned = fleet
        .rows
        .values()
        .filter(|row| row.purpose.is_some() && row.state != State::Serving)
        .count();
    (0..1_usize << present.len())
        .filter(|set| reference_holds(&present, *set, planned, budget))
        .map(|set| set.count_ones() as usize)
        .max()
        .unwrap_or(0)
}

fn reference_holds(present: &[&Row], set: usize, planned: usize, budget: &Budget) -> bool {
    let left: Vec<_> = (0..present.len())
        .filter(|index| set & (1 << index) == 0)
        .map(|index| present[index])
        .collect();
    let lost = |domain: &dyn Fn(&Row) -> String| {
        let domains: BTreeSet<_> = left.iter().map(|row| domain(row)).collect();
        let sizes = domains
            .iter()
            .map(|lost| left.iter().filter(|row| domain(row) == *lost).count());
        sizes.max().unwrap_or(0)
    };
    let worst = match budget.survive {
        Survive::Nothing => 0,
        Survive::Rack => lost(&|row| row.rack.to_string()),
        Survive::Zone => lost(&|row| row.zone.to_string()),
    };
    let leaving = set.count_ones() as usize;
    planned + leaving <= budget.max_absent as usize
        && left.len() - worst >= budget.promised as usize
}

fn survive() -> impl Strategy<Value = Survive> {
    prop_oneof![
        Just(Survive::Nothing),
        Just(Survive::Rack),
        Just(Survive::Zone)
    ]
}

/// A member: its rack (two racks per zone), and a number that selects draining, absent or serving.
fn member() -> impl Strategy<Value = (u8, u8)> {
    (0..6_u8, 0..8_u8)
}

fn build(members: &[(u8, u8)], budget: Budget) -> Fleet {
    let mut absent = BTreeSet::new();
    let mut rows = Vec::new();
    for (index, (rack, condition)) in members.iter().enumerate() {
        let id = format!("i{index}");
        let row = serving(&id, "p", &format!("r{rack}"), &format!("z{}", rack / 2));
        match condition {
            0 => rows.push(draining(row, Purpose::Operator)),
            1 => {
                absent.insert(name::<id::Instance>(&id));
                rows.push(row);
            }
            _ => rows.push(row),
        }
    }
    Fleet {
        absent,
        ..fleet(rows, vec![("p", budget)])
    }
}

fn allowed_disruptions_are_the_largest_subset() {
    let input = (
        proptest::collection::vec(member(), 0..10),
        0..8_u32,
        0..5_u32,
        survive(),
        any::<bool>(),
    );
    let verdict = runner(1_500).run(&input, |(members, promised, max_absent, survive, _)| {
        let budget = budget(promised, max_absent, survive);
        let fleet = build(&members, budget);
        // If the promise is already broken none may leave; the reference then yields the empty set.
        let expected = reference_disruptions(&fleet, &budget);
        assert_eq!(
            budgets::allowed_disruptions(&fleet, &name("p")).len(),
            expected
        );
        Ok(())
    });
    verdict.expect("the implementation agrees with the reference");
}

/// A rack with two members is lost while no planned work is in progress. The promise still holds,
/// so the loss is no breach, but no further disruption is allowed: planned work must wait as soon
/// as the loss is known, before the rows show it.
fn unplanned_loss_forbids_disruptions() {
    let rows = (0..8)
        .map(|i| serving(&format!("i{i}"), "p", &format!("r{}", i / 2), "z"))
        .collect();
    let mut fleet = fleet(rows, vec![("p", budget(4, 2, Survive::Rack))]);
    assert_eq!(budgets::allowed_disruptions(&fleet, &name("p")).len(), 2);
    fleet.absent = [name("i0"), name("i1")].into();
    assert_eq!(budgets::allowed_disruptions(&fleet, &name("p")).len(), 0);
}

/// Two instances failed after a wave took them out, in a pool with `max_absent` 2. They are
/// unplanned losses, which the margin covers. If they counted as planned, no other instance of the
/// pool could be maintained until they are repaired.
fn failed_instances_do_not_use_up_the_count() {
    let rows = (0..8).map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"));
    let mut fleet = fleet(rows.collect(), vec![("p", budget(3, 2, Survive::Rack))]);
    for row in fleet.rows.values_mut().take(2) {
        row.state = State::Quarantined;
        row.purpose = Some(Purpose::Wave(name("w")));
    }
    assert_eq!(budgets::allowed_disruptions(&fleet, &name("p")).len(), 2);
}

cases! {
    allowed_disruptions_agree_with_every_subset: allowed_disruptions_are_the_largest_subset();
    failed_instances_leave_room: failed_instances_do_not_use_up_the_count();
    lost_rack_stops_planned_work: unplanned_loss_forbids_disruptions();
}
