//! Operators' orders on background jobs.

use super::{draft, json, name, template};
use primroseroute_admin::edit::job::{self, CancelResult, MAX_JOBS};
use primroseroute_api::Cancel;
use primroseroute_domain::{change::Seq, id, outcome::Code, time::Instant};
use primroseroute_jobs::{Kind, Reason, Row, State};
use primroseroute_ledger::{Versioned, key};
use primroseroute_platform::task::{Resources, Token};
use primroseroute_view::Snapshot;
use std::collections::BTreeMap;

const SIZE: Resources = Resources {
    cores: 1.0,
    memory: 1.0,
    accelerators: 0.0,
};

fn row(job: &str, state: State) -> Row {
    let kind = Kind("k".into());
    let row = Row::submit(name(job), name("a"), name("a"), kind, SIZE, Instant(1));
    Row {
        state,
        token: Token(3),
        ..row
    }
}

fn snapshot(rows: impl IntoIterator<Item = Row>) -> Snapshot {
    let rows = rows
        .into_iter()
        .map(|row| (key::job(&row.id), json(row)))
        .chain([("account/a".into(), json(template("a")))]);
    Snapshot::from_rows(Seq(9), rows).expect("the rows are readable")
}

/// Applies a cancellation; returns its result and the rows that it writes, by name.
fn cancel(rows: Vec<Row>, order: &Cancel) -> (CancelResult, BTreeMap<id::Job, Row>) {
    let mut draft = draft();
    let result = job::cancel(&snapshot(rows), order, &mut draft).expect("it is accepted");
    let edits = draft.record().edits.into_iter();
    let written = edits.map(|edit| {
        let json = edit.after.expect("nothing is deleted");
        let row: Versioned<Row> = serde_json::from_str(&json).expect("readable");
        (row.value.id.clone(), row.value)
    });
    (result, written.collect())
}

fn of_account() -> Cancel {
    Cancel {
        account: Some(name("a")),
        ..Cancel::default()
    }
}

#[test]
fn cancellation_takes_what_is_open_and_leaves_tokens() {
    let at: id::Instance = name("i0");
    let states = [
        ("q", State::Queued),
        ("r", State::Running(at.clone())),
        ("p", State::Parked(Reason::FailsEverywhere)),
        ("c", State::Cancelled),
        ("d", State::Done),
    ];
    let rows = states.map(|(job, state)| row(job, state)).to_vec();
    let (result, written) = cancel(rows, &of_account());
    assert_eq!(result.cancelled, 3);
    let states: Vec<(&str, &State)> = written
        .iter()
        .map(|(job, row)| (job.as_str(), &row.state))
        .collect();
    let cancelling = State::Cancelling(at);
    let expected = [
        ("p", &State::Cancelled),
        ("q", &State::Cancelled),
        ("r", &cancelling),
    ];
    assert_eq!(states, expected);
    assert!(written.values().all(|row| row.token == Token(3)));
}

#[test]
fn cancellation_is_bounded_and_says_what_is_left() {
    let rows = (0..MAX_JOBS + 50).map(|n| row(&format!("j{n}"), State::Queued));
    let (result, written) = cancel(rows.collect(), &of_account());
    assert_eq!((result.cancelled, result.left), (MAX_JOBS, 50));
    assert_eq!(written.len(), MAX_JOBS);
}

#[test]
fn cancellation_of_a_job_that_is_done_is_refused_whole() {
    let rows = [row("q", State::Queued), row("d", State::Done)];
    let order = Cancel {
        jobs: vec![name("q"), name("d")],
        ..Cancel::default()
    };
    let mut draft = draft();
    let refused = job::cancel(&snapshot(rows), &order, &mut draft);
    let refusal = refused.expect_err("one is done");
    assert_eq!(refusal.code, Code::JobStateForbids);
}

/// Guards against reusing a token when a job's name is submitted again after its row was deleted: the
/// platform remembers the tokens, all of which are at most the sequence numbers of earlier changes.
#[test]
fn first_token_is_the_place_of_the_change() {
    let spec = primroseroute_api::Spec {
        name: name("j"),
        account: name("a"),
        pool: name("a"),
        kind: Kind("k".into()),
        declared: SIZE,
    };
    let order = primroseroute_api::Submit {
        jobs: vec![spec],
        reason: "".into(),
    };
    let mut draft = draft();
    job::submit(&snapshot([]), &order, SIZE, Instant(1), &mut draft).expect("it is accepted");
    let json = draft.record().edits[0]
        .after
        .clone()
        .expect("it is written");
    let row: Versioned<Row> = serde_json::from_str(&json).expect("readable");
    assert_eq!(row.value.token, Token(10));
}
