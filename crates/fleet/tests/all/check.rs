//! The checker reports breaches of the invariants and accepts allowed steps.

use crate::fixture::{budget, draining, name, serving};
use primroseroute_domain::{account::Survive, id, instance::Purpose, instance::Row};
use primroseroute_fleet::check::{Breach, FleetSnapshot, View, history};
use std::collections::BTreeSet;

fn members() -> Vec<Row> {
    (0..4)
        .map(|i| serving(&format!("i{i}"), "p", &format!("r{i}"), "z"))
        .collect()
}

fn snapshot(rows: Vec<Row>) -> FleetSnapshot {
    FleetSnapshot {
        rows,
        budgets: [(name("p"), budget(2, 1, Survive::Rack))].into(),
        ..FleetSnapshot::default()
    }
}

fn drained(rows: &[Row], ids: &[usize]) -> Vec<Row> {
    let mut rows = rows.to_vec();
    for &index in ids {
        rows[index] = draining(rows[index].clone(), Purpose::Operator);
    }
    rows
}

fn one_departure_is_fine() {
    let rows = members();
    let after = snapshot(drained(&rows, &[0]));
    assert_eq!(history([&snapshot(rows), &after]), []);
}

fn two_departures_break_the_margin_and_the_count() {
    let rows = members();
    let after = snapshot(drained(&rows, &[0, 1]));
    let found = history([&snapshot(rows), &after]);
    let pool: id::Pool = name("p");
    let at = after.at;
    let absent = Breach::MaxAbsent {
        at,
        pool: pool.clone(),
        absent: 2,
    };
    let margin = Breach::Margin { at, pool, left: 1 };
    assert_eq!(found, [absent, margin]);
}

fn unplanned_loss_alone_is_no_breach() {
    let rows = members();
    let lost: BTreeSet<id::Instance> = rows.iter().take(3).map(|row| row.id.clone()).collect();
    let after = FleetSnapshot {
        down: lost.clone(),
        known: lost,
        ..snapshot(rows.clone())
    };
    assert_eq!(history([&snapshot(rows), &after]), []);
}

fn planned_step_after_a_known_loss_is_a_breach() {
    let rows = members();
    let lost: BTreeSet<id::Instance> = [rows[3].id.clone()].into();
    let with_loss = |rows| FleetSnapshot {
        down: lost.clone(),
        known: lost.clone(),
        ..snapshot(rows)
    };
    let after = with_loss(drained(&rows, &[0]));
    let found = history([&with_loss(rows), &after]);
    let margin = Breach::Margin {
        at: after.at,
        pool: name("p"),
        left: 1,
    };
    assert_eq!(found, [margin]);
}

fn planned_step_that_truly_breaks_the_promise() {
    let rows = members();
    // All members are in one rack, of which three are down; the budget covers the loss of one rack.
    let crowded: Vec<_> = rows
        .iter()
        .map(|row| Row {
            rack: name("r"),
            ..row.clone()
        })
        .collect();
    let down: BTreeSet<id::Instance> = crowded.iter().skip(1).map(|row| row.id.clone()).collect();
    let after = FleetSnapshot {
        down,
        ..snapshot(drained(&crowded, &[0]))
    };
    let found = history([&snapshot(crowded), &after]);
    let promise = Breach::Promise {
        at: after.at,
        pool: name("p"),
        serving: 0,
    };
    assert!(found.contains(&promise), "{found:?}");
}

fn entry_with_requests_for_the_old_pool() {
    let row = serving("i0", "q", "r0", "z");
    let view = View {
        in_flight: [(row.id.clone(), name("p"))].into(),
        ..View::default()
    };
    let snapshot = FleetSnapshot {
        views: [(name("e0"), view)].into(),
        ..snapshot(vec![row.clone()])
    };
    let two = Breach::TwoPools {
        at: snapshot.at,
        instance: row.id,
        pools: [name("p"), name("q")].into(),
    };
    assert_eq!(history([&snapshot]), [two]);
}

fn doubled_row() {
    let row = serving("i0", "p", "r0", "z");
    let found = history([&snapshot(vec![row.clone(), row.clone()])]);
    let doubled = Breach::DoubledRow {
        at: row.since,
        instance: row.id,
    };
    assert_eq!(found, [doubled]);
}

cases! {
    allows_one_departure: one_departure_is_fine();
    finds_two_departures: two_departures_break_the_margin_and_the_count();
    allows_an_unplanned_loss: unplanned_loss_alone_is_no_breach();
    finds_a_step_after_a_known_loss: planned_step_after_a_known_loss_is_a_breach();
    finds_a_step_into_a_lost_rack: planned_step_that_truly_breaks_the_promise();
    finds_an_entry_with_the_old_pool: entry_with_requests_for_the_old_pool();
    finds_a_doubled_row: doubled_row();
}
