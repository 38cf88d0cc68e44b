//! Submits, cancels and releases background jobs.

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

/// Maximum jobs of one order. Their rows are one change, less than half of what the store writes in
/// a second.
pub const MAX_JOBS: usize = 250;

/// Maximum ratio of a job's declared size to a worker's capacity. Declared sizes are wrong by up to a
/// factor of ten, so a job beyond that fits on no worker whatever its true size.
const MAX_DECLARED_RATIO: f64 = 10.0;

/// Result of a cancellation: how many jobs it covered, and how many matching ones remain for the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelResult {
    /// Jobs that this change cancels, or that were cancelled already.
    pub cancelled: usize,
    /// Matching jobs beyond [`MAX_JOBS`], which are unchanged.
    pub left: usize,
}

fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::new(Code::MalformedRequest, detail)
}

fn unparsable(error: &impl std::fmt::Display) -> Refusal {
    Refusal::new(Code::ViewStale, error.to_string())
}

/// The row of a job.
///
/// # Errors
/// [`Code::NotFound`]; [`Code::ViewStale`] if it cannot be parsed.
pub fn find(snapshot: &Snapshot, name: &id::Job) -> Result<Versioned<Row>, Refusal> {
    let json = snapshot.rows().get(&key::job(name));
    let json = json.ok_or_else(|| Refusal::new(Code::NotFound, format!("job {name}")))?;
    serde_json::from_str(json).map_err(|error| unparsable(&error))
}

/// The rows of all jobs.
///
/// # Errors
/// [`Code::ViewStale`] if one cannot be parsed.
pub fn all(snapshot: &Snapshot) -> Result<BTreeMap<id::Job, Versioned<Row>>, Refusal> {
    let rows = snapshot.rows_with_prefix(key::JOBS);
    rows.map_err(|error| unparsable(&error))
}

fn sizes(declared: Resources) -> [(&'static str, f64); 3] {
    [
        ("cores", declared.cores),
        ("memory", declared.memory),
        ("accelerators", declared.accelerators),
    ]
}

/// Validates a job on its own, without the snapshot.
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

fn check_references(snapshot: &Snapshot, spec: &Spec) -> Result<(), Refusal> {
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
        if declared > MAX_DECLARED_RATIO * has {
            let detail = format!(
                "job {} declares {what} {declared}; a worker has {has}",
                spec.name
            );
            return Err(Refusal::new(Code::JobTooLarge, detail));
        }
    }
    Ok(())
}

fn matches_spec(row: &Row, spec: &Spec) -> bool {
    row.account == spec.account
        && row.pool == spec.pool
        && row.kind == spec.kind
        && row.declared == spec.declared
}

/// Adds new jobs to `draft`; a job that exists already with the same content is left unchanged.
///
/// A job's first token is the sequence number of the change that submits it, and each later start
/// needs a change of its own. A name that is reused after its row was deleted therefore starts above
/// all its earlier tokens, which the platform remembers and would refuse.
///
/// # Errors
/// [`Code::MalformedRequest`] for no jobs, too many, or a duplicate name; [`Code::InvalidTemplate`]
/// with every fault; [`Code::NotFound`] if the account or pool does not exist;
/// [`Code::JobTooLarge`]; [`Code::JobStateForbids`] if a different job has the name.
pub fn submit(
    snapshot: &Snapshot,
    order: &Submit,
    capacity: Resources,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let names: BTreeSet<&id::Job> = order.jobs.iter().map(|spec| &spec.name).collect();
    if order.jobs.is_empty() || order.jobs.len() > MAX_JOBS {
        return Err(malformed(format!("an order submits 1 to {MAX_JOBS} jobs")));
    }
    if names.len() < order.jobs.len() {
        return Err(malformed("the order names a job twice"));
    }
    let faults: Vec<String> = order.jobs.iter().flat_map(faults).collect();
    if !faults.is_empty() {
        return Err(Refusal::new(Code::InvalidTemplate, faults.join("; ")));
    }
    for spec in &order.jobs {
        check_references(snapshot, spec)?;
        check_size(spec, capacity)?;
        if snapshot.rows().contains_key(&key::job(&spec.name)) {
            if matches_spec(&find(snapshot, &spec.name)?.value, spec) {
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

/// The state after a cancellation; `None` if the job has ended or is being cancelled.
fn state_after_cancel(state: &State) -> Option<State> {
    match state {
        State::Queued | State::Parked(_) => Some(State::Cancelled),
        State::Running(at) => Some(State::Cancelling(at.clone())),
        State::Cancelling(_) | State::Cancelled | State::Done => None,
    }
}

/// Cancels jobs in one change, either by name or by account or kind.
///
/// # Errors
/// [`Code::MalformedRequest`] unless either names, or an account or a kind, are given;
/// [`Code::NotFound`] for an unknown name; [`Code::JobStateForbids`] for a job that is done.
pub fn cancel(
    snapshot: &Snapshot,
    order: &Cancel,
    draft: &mut Draft,
) -> Result<CancelResult, Refusal> {
    let by_filter = order.account.is_some() || order.kind.is_some();
    if order.jobs.is_empty() != by_filter || order.jobs.len() > MAX_JOBS {
        let detail = format!("name up to {MAX_JOBS} jobs, or else an account or kind");
        return Err(malformed(detail));
    }
    let found = if by_filter {
        find_matching(snapshot, order)?
    } else {
        find_by_name(snapshot, &order.jobs)?
    };
    for Versioned { version, value } in found.iter().take(MAX_JOBS) {
        if let Some(state) = state_after_cancel(&value.state) {
            let row = Row {
                state,
                ..value.clone()
            };
            draft.put(key::job(&row.id), Some(*version), &row);
        }
    }
    Ok(CancelResult {
        cancelled: found.len().min(MAX_JOBS),
        left: found.len().saturating_sub(MAX_JOBS),
    })
}

fn find_by_name(snapshot: &Snapshot, names: &[id::Job]) -> Result<Vec<Versioned<Row>>, Refusal> {
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

fn find_matching(snapshot: &Snapshot, order: &Cancel) -> Result<Vec<Versioned<Row>>, Refusal> {
    let matches = |row: &Row| {
        let by_account = order.account.as_ref();
        let by_kind = order.kind.as_ref();
        state_after_cancel(&row.state).is_some()
            && by_account.is_none_or(|account| *account == row.account)
            && by_kind.is_none_or(|kind| *kind == row.kind)
    };
    let rows = all(snapshot)?.into_values();
    Ok(rows.filter(|row| matches(&row.value)).collect())
}

/// Puts a parked job back into the queue and clears its failures.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], and [`Code::JobStateForbids`] if it is not parked.
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
