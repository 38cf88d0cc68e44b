//! Submitting, cancelling and releasing background jobs.

use super::expect_version;
use primroseroute_api::{Cancel, Order, Spec, Submit};
use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_jobs::{Row, State};
use primroseroute_ledger::{Draft, Versioned, key};
use primroseroute_platform::task::{Resources, Token};
use primroseroute_view::Snapshot;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs of one order: their rows are one change, under half of what the store writes in a second.
pub const MOST: usize = 250;

/// How many times a worker's size a declaration may be: declared sizes are off by up to ten times,
/// and what is larger still fits nowhere whatever the truth.
const OFF: f64 = 10.0;

/// How many jobs a cancellation took and how many that match it left for the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Jobs that are cancelled by this change, or were already.
    pub cancelled: usize,
    /// Jobs that match and were beyond [`MOST`].
    pub left: usize,
}

fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::new(Code::MalformedRequest, detail)
}

fn unreadable(error: &impl std::fmt::Display) -> Refusal {
    Refusal::new(Code::ViewStale, error.to_string())
}

/// The row of a job.
///
/// # Errors
/// [`Code::NotFound`]; [`Code::ViewStale`] where it cannot be read.
pub fn find(snapshot: &Snapshot, name: &id::Job) -> Result<Versioned<Row>, Refusal> {
    let json = snapshot.rows().get(&key::job(name));
    let json = json.ok_or_else(|| Refusal::new(Code::NotFound, format!("job {name}")))?;
    serde_json::from_str(json).map_err(|error| unreadable(&error))
}

/// The rows of all jobs.
///
/// # Errors
/// [`Code::ViewStale`] where one cannot be read.
pub fn all(snapshot: &Snapshot) -> Result<BTreeMap<id::Job, Versioned<Row>>, Refusal> {
    let rows = snapshot.rows_with_prefix(key::JOBS);
    rows.map_err(|error| unreadable(&error))
}

fn sizes(declared: Resources) -> [(&'static str, f64); 3] {
    [
        ("cores", declared.cores),
        ("memory", declared.memory),
        ("accelerators", declared.accelerators),
    ]
}

/// What is wrong with a job in itself.
fn faults(spec: &Spec) -> Vec<String> {
    let mut faults = Vec::new();
    if spec.kind.0.parse::<id::Job>().is_err() {
        faults.push(format!(
            "job {}: kind `{}` is no name",
            spec.name, spec.kind
        ));
    }
    let sizes = sizes(spec.declared);
    for (what, size) in sizes {
        if !size.is_finite() || size < 0.0 {
            faults.push(format!("job {}: {what} {size} is no size", spec.name));
        }
    }
    if sizes.iter().all(|(_, size)| *size == 0.0) {
        faults.push(format!("job {}: nothing is declared", spec.name));
    }
    faults
}

fn check_places(snapshot: &Snapshot, spec: &Spec) -> Result<(), Refusal> {
    let missing = |what: String| Err(Refusal::new(Code::NotFound, what));
    if !snapshot.accounts().contains_key(&spec.account) {
        return missing(format!("account {}", spec.account));
    }
    if !snapshot.pools().any(|(_, pool)| pool.name == spec.pool) {
        return missing(format!("pool {}", spec.pool));
    }
    Ok(())
}

fn check_size(spec: &Spec, capacity: Resources) -> Result<(), Refusal> {
    for ((what, declared), (_, has)) in sizes(spec.declared).into_iter().zip(sizes(capacity)) {
        if declared > OFF * has {
            let detail = format!(
                "job {} declares {what} {declared}; a worker has {has}",
                spec.name
            );
            return Err(Refusal::new(Code::JobTooLarge, detail));
        }
    }
    Ok(())
}

fn is_same(row: &Row, spec: &Spec) -> bool {
    row.account == spec.account
        && row.pool == spec.pool
        && row.kind == spec.kind
        && row.declared == spec.declared
}

/// Puts new jobs into `draft`; one that is there already with the same content changes nothing.
///
/// The first token is above the change's place, and each start after it costs a change. So a name
/// that comes back after its row was deleted starts above all its earlier tokens, which the platform
/// remembers and would refuse.
///
/// # Errors
/// [`Code::MalformedRequest`] for no jobs, too many, or a name twice; [`Code::InvalidTemplate`] with
/// every fault; [`Code::NotFound`] where account or pool do not exist; [`Code::JobTooLarge`];
/// [`Code::JobStateForbids`] where another job has the name.
pub fn submit(
    snapshot: &Snapshot,
    order: &Submit,
    capacity: Resources,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let names: BTreeSet<&id::Job> = order.jobs.iter().map(|spec| &spec.name).collect();
    if order.jobs.is_empty() || order.jobs.len() > MOST {
        return Err(malformed(format!("an order submits 1 to {MOST} jobs")));
    }
    if names.len() < order.jobs.len() {
        return Err(malformed("the order names a job twice"));
    }
    let faults: Vec<String> = order.jobs.iter().flat_map(faults).collect();
    if !faults.is_empty() {
        return Err(Refusal::new(Code::InvalidTemplate, faults.join("; ")));
    }
    for spec in &order.jobs {
        check_places(snapshot, spec)?;
        check_size(spec, capacity)?;
        if snapshot.rows().contains_key(&key::job(&spec.name)) {
            if is_same(&find(snapshot, &spec.name)?.value, spec) {
                continue;
            }
            let detail = format!("another job is named {}", spec.name);
            return Err(Refusal::new(Code::JobStateForbids, detail));
        }
        let row = Row {
            token: Token(draft.seq().0),
            ..Row::submit(
                spec.name.clone(),
                spec.account.clone(),
                spec.pool.clone(),
                spec.kind.clone(),
                spec.declared,
                now,
            )
        };
        draft.put(key::job(&row.id), None, &row);
    }
    Ok(())
}

/// The state after a cancellation; none where the job has ended or is being cancelled.
fn cancelled(state: &State) -> Option<State> {
    match state {
        State::Queued | State::Parked(_) => Some(State::Cancelled),
        State::Running(at) => Some(State::Cancelling(at.clone())),
        State::Cancelling(_) | State::Cancelled | State::Done => None,
    }
}

/// Cancels jobs, all in one change: by name, or those of an account or kind.
///
/// # Errors
/// [`Code::MalformedRequest`] unless either names or account or kind are given; [`Code::NotFound`]
/// for a name that no job has; [`Code::JobStateForbids`] for one that is done.
pub fn cancel(snapshot: &Snapshot, order: &Cancel, draft: &mut Draft) -> Result<Taken, Refusal> {
    let by_what = order.account.is_some() || order.kind.is_some();
    if order.jobs.is_empty() != by_what || order.jobs.len() > MOST {
        let detail = format!("name up to {MOST} jobs, or else an account or kind");
        return Err(malformed(detail));
    }
    let found = if by_what {
        matching(snapshot, order)?
    } else {
        named(snapshot, &order.jobs)?
    };
    for Versioned { version, value } in found.iter().take(MOST) {
        if let Some(state) = cancelled(&value.state) {
            let row = Row {
                state,
                ..value.clone()
            };
            draft.put(key::job(&row.id), Some(*version), &row);
        }
    }
    Ok(Taken {
        cancelled: found.len().min(MOST),
        left: found.len().saturating_sub(MOST),
    })
}

fn named(snapshot: &Snapshot, names: &[id::Job]) -> Result<Vec<Versioned<Row>>, Refusal> {
    let names: BTreeSet<&id::Job> = names.iter().collect();
    let find_open = |name: &id::Job| {
        let found = find(snapshot, name)?;
        if found.value.state == State::Done {
            let detail = format!("job {name} is done");
            return Err(Refusal::new(Code::JobStateForbids, detail));
        }
        Ok(found)
    };
    names.into_iter().map(find_open).collect()
}

fn matching(snapshot: &Snapshot, order: &Cancel) -> Result<Vec<Versioned<Row>>, Refusal> {
    let matches = |row: &Row| {
        let by_account = order.account.as_ref();
        let by_kind = order.kind.as_ref();
        cancelled(&row.state).is_some()
            && by_account.is_none_or(|account| *account == row.account)
            && by_kind.is_none_or(|kind| *kind == row.kind)
    };
    let rows = all(snapshot)?.into_values();
    Ok(rows.filter(|row| matches(&row.value)).collect())
}

/// Puts a parked job back into the queue, its failures forgotten.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], and [`Code::JobStateForbids`] where it is not
/// parked.
pub fn release(
    snapshot: &Snapshot,
    name: &id::Job,
    order: &Order,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let Versioned { version, mut value } = find(snapshot, name)?;
    expect_version(Some(version), order.if_version)?;
    value.release()?;
    draft.put(key::job(name), Some(version), &value);
    Ok(())
}
