//! Operators' orders, tested as pure functions of a snapshot.

mod job;

use primroseroute_admin::edit;
use primroseroute_api::{Apply, Order};
use primroseroute_domain::{
    account::{Budget, Class, Pool, Service, Survive, Template, TokenHash},
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_ledger::{Draft, Head, Versioned};
use primroseroute_view::Snapshot;
use std::sync::Arc;
use uuid::Uuid;

fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn template(account: &str) -> Template {
    Template {
        account: name(account),
        share: 1,
        tokens: Vec::new(),
        pools: vec![Pool {
            name: name(account),
            budget: Budget {
                promised: 2,
                max_absent: 1,
                survive: Survive::Nothing,
            },
            services: vec![Service {
                name: name(account),
                hosts: Vec::new(),
                path_prefix: Some(format!("/{account}").into()),
                callers: Vec::new(),
                class: Class::Urgent,
            }],
        }],
    }
}

fn row(id: &str, state: State) -> Row {
    Row {
        id: name(id),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name("z"),
        rack: name("r"),
        pool: Some(name("a")),
        state,
        purpose: None,
        since: Instant(1),
        maintained: None,
    }
}

fn json<T: serde::Serialize>(value: T) -> Arc<str> {
    let row = Versioned {
        version: Seq(4),
        value,
    };
    serde_json::to_string(&row).expect("rows serialize").into()
}

/// A snapshot with account `a` at version 4 and instances `i0`, `i1`, … in `states`.
fn snapshot(states: &[State]) -> Snapshot {
    let instances = states.iter().enumerate().map(|(index, state)| {
        let id = format!("i{index}");
        (format!("instance/{id}").into(), json(row(&id, *state)))
    });
    let account = ("account/a".into(), json(template("a")));
    Snapshot::from_rows(Seq(9), instances.chain([account])).expect("the rows are readable")
}

fn draft() -> Draft {
    let head = Head {
        seq: Seq(9),
        revision: None,
    };
    Draft::new(head, Instant(1), "operator:test", "test", Uuid::nil())
}

/// Applies an order to `i0`; returns its new state, or `None` if the order changes nothing.
fn apply_order(
    act: fn(&Snapshot, &id::Instance, &Order, Instant, &mut Draft) -> Result<(), Refusal>,
    states: &[State],
    force: bool,
) -> Result<Option<(State, Option<Purpose>)>, Code> {
    let order = Order {
        if_version: None,
        reason: "".into(),
        force,
    };
    let mut draft = draft();
    act(
        &snapshot(states),
        &name("i0"),
        &order,
        Instant(5),
        &mut draft,
    )
    .map_err(|refusal| refusal.code)?;
    let edits = draft.record().edits;
    let row = edits.first().and_then(|edit| edit.after.as_deref());
    Ok(row.map(|json| {
        let row: Versioned<Row> = serde_json::from_str(json).expect("rows are readable");
        (row.value.state, row.value.purpose)
    }))
}

macro_rules! orders {
    ($($name:ident: $act:ident, $states:expr, $force:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(apply_order(edit::$act, &$states, $force), $want);
        }
    )*};
}

use State::{Arriving, Draining, Maintenance, Quarantined, Serving};

orders! {
    drain_with_room: drain, [Serving, Serving, Serving], false
        => Ok(Some((Draining, Some(Purpose::Operator))));
    drain_below_the_promise_is_forbidden: drain, [Serving, Serving], false
        => Err(Code::BudgetForbids);
    drain_below_the_promise_by_force: drain, [Serving, Serving], true
        => Ok(Some((Draining, Some(Purpose::Operator))));
    drain_beside_a_lost_instance_is_forbidden: drain, [Serving, Serving, Quarantined], false
        => Err(Code::BudgetForbids);
    drain_of_one_that_reboots_is_illegal: drain, [Maintenance, Serving, Serving], true
        => Err(Code::IllegalTransition);
    release_of_a_serving_one_changes_nothing: release, [Serving], false => Ok(None);
    release_of_a_quarantined_one_checks_again: release, [Quarantined], false
        => Ok(Some((State::Probation, None)));
    release_of_an_arriving_one_is_illegal: release, [Arriving], false
        => Err(Code::IllegalTransition);
}

fn apply_template(
    change: impl FnOnce(&mut Template),
    if_version: Option<u64>,
) -> Result<usize, Refusal> {
    let mut template = template("a");
    change(&mut template);
    let order = Apply {
        template,
        if_version: if_version.map(Seq),
        reason: "".into(),
    };
    let mut draft = draft();
    edit::apply(&snapshot(&[]), &order, &mut draft)?;
    Ok(draft.record().edits.len())
}

macro_rules! applies {
    ($($name:ident: $change:expr, $version:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            let done = apply_template($change, $version).map_err(|refusal| refusal.code);
            assert_eq!(done, $want);
        }
    )*};
}

applies! {
    equal_template_changes_nothing: |_| {}, None => Ok(0);
    changed_template_is_put: |t| t.share = 2, None => Ok(1);
    named_version_in_force: |t| t.share = 2, Some(4) => Ok(1);
    named_version_not_in_force: |t| t.share = 2, Some(3) => Err(Code::VersionConflict);
    must_not_exist_and_does: |t| t.share = 2, Some(0) => Err(Code::VersionConflict);
    share_of_zero: |t| t.share = 0, None => Err(Code::InvalidTemplate);
    promise_of_nothing: |t| t.pools[0].budget.promised = 0, None => Err(Code::InvalidTemplate);
    more_absent_than_promised: |t| t.pools[0].budget.max_absent = 3, None
        => Err(Code::InvalidTemplate);
    service_on_two_pools: |t| {
        let mut second = t.pools[0].clone();
        second.name = name("second");
        second.services[0].path_prefix = Some("/second".into());
        t.pools.push(second);
    }, None => Err(Code::InvalidTemplate);
    unreachable_service: |t| t.pools[0].services[0].path_prefix = None, None
        => Err(Code::InvalidTemplate);
    prefix_that_ends_with_a_slash: |t| t.pools[0].services[0].path_prefix = Some("/a/".into()), None
        => Err(Code::InvalidTemplate);
    unknown_caller: |t| t.pools[0].services[0].callers = vec![name("nobody")], None
        => Err(Code::InvalidTemplate);
    token_in_the_clear: |t| t.tokens = vec![TokenHash("secret".into())], None
        => Err(Code::InvalidTemplate);
}

#[test]
fn every_fault_is_named_with_its_place() {
    let refusal = apply_template(
        |t| {
            t.share = 0;
            t.pools[0].budget.promised = 0;
        },
        None,
    );
    expect_test::expect![[
        r"501 the template is invalid: share: a whole number from 1 to 10000; pools[0].budget.promised: at least 1 instance; pools[0].budget.max-absent: no more than the 0 instances promised"
    ]]
    .assert_eq(&refusal.expect_err("it is faulty").to_string());
}

#[test]
fn difference_shows_what_is_kept_removed_and_added() {
    let mut template = template("a");
    template.share = 7;
    let diff = edit::diff(&snapshot(&[]), &template);
    let changed: Vec<&String> = diff
        .lines
        .iter()
        .filter(|line| !line.starts_with(' '))
        .collect();
    assert_eq!(changed, ["-  \"share\": 1,", "+  \"share\": 7,"]);
    assert_eq!((diff.version, diff.faults.len()), (Some(Seq(4)), 0));
}
