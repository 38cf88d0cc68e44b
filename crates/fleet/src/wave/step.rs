//! Control step of a wave.

use super::{
    progress::{Progress, Stage, progress, stage},
    row::{Row, State},
    select::select,
};
use crate::{lifecycle, state::Fleet};
use primroseroute_domain::{
    instance::{Purpose, Row as Instance, State as InstanceState},
    outcome::Code,
    time::Instant,
};
use std::sync::Arc;

/// An action for the caller; all writes of one step belong in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the instance's row: it drains, goes into maintenance or serves again.
    Put(Instance),
    /// Write the wave's row.
    Wave(Row),
}

/// The next actions for `wave`.
pub fn step(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    match wave.state {
        State::Running => run(fleet, wave, now),
        State::Halted | State::Aborted => release_draining(fleet, wave, now),
        State::Paused | State::Done => Vec::new(),
    }
}

fn run(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    let progress = progress(fleet, wave);
    if let Some(reason) = halt_reason(fleet, wave, &progress, now) {
        let halted = wave.transition(State::Halted, now, Some(reason));
        return vec![Action::Wave(halted)];
    }
    if progress.is_finished() {
        return vec![Action::Wave(wave.transition(State::Done, now, None))];
    }
    let window = wave.order.window;
    if window.closes.is_some_and(|closes| now >= closes) {
        let reason = "its window has closed".into();
        return vec![Action::Wave(wave.transition(
            State::Paused,
            now,
            Some(reason),
        ))];
    }
    if window.opens.is_some_and(|opens| now < opens) {
        return Vec::new();
    }
    take_out(fleet, wave, &progress, now)
}

fn take_out(fleet: &Fleet, wave: &Row, progress: &Progress, now: Instant) -> Vec<Action> {
    let max_concurrent = wave.order.limits.max_concurrent(progress.recent);
    let most = max_concurrent.saturating_sub(progress.out);
    let leaving = select(fleet, wave, most);
    if leaving.is_empty() && progress.out == 0 {
        return unblock_or_explain(fleet, wave, now);
    }
    let mut actions: Vec<_> = leaving
        .into_iter()
        .filter_map(|row| taken_out(wave, row, now))
        .map(Action::Put)
        .collect();
    if wave.reason.is_some() && !actions.is_empty() {
        actions.push(Action::Wave(wave.transition(State::Running, now, None)));
    }
    actions
}

/// The row of an instance that is taken out. A spare goes straight into maintenance, since it has
/// no requests to drain.
fn taken_out(wave: &Row, row: &Instance, now: Instant) -> Option<Instance> {
    let purpose = Purpose::Wave(wave.id().clone());
    if row.state != InstanceState::Probation {
        return lifecycle::drain(row, purpose, now).ok();
    }
    Some(Instance {
        state: InstanceState::Maintenance,
        purpose: Some(purpose),
        since: now,
        ..row.clone()
    })
}

/// Assigns a spare that lets the wave continue. If there is none, writes once to the wave's row why
/// no instance can leave.
fn unblock_or_explain(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    if let Some(row) = super::plan::unblocking_spare(fleet, &wave.order) {
        return vec![Action::Put(row)];
    }
    let reason: Option<Arc<str>> = super::plan::cannot_finish(fleet, &wave.order)
        .map(|refusal| format!("{}: {}", Code::WaveCannotFinish, refusal.detail).into())
        .or_else(|| Some("it waits for absent instances of its pools to come back".into()));
    if wave.reason == reason {
        return Vec::new();
    }
    vec![Action::Wave(wave.transition(State::Running, now, reason))]
}

/// The reason to halt the wave, if too many instances failed.
fn halt_reason(fleet: &Fleet, wave: &Row, progress: &Progress, now: Instant) -> Option<Arc<str>> {
    let limits = wave.order.limits;
    let is_recent =
        |at: Instant| at >= wave.resumed && now.since(at).as_secs() <= limits.together_seconds;
    let covered = || {
        fleet
            .rows
            .values()
            .filter(|row| wave.order.scope.covers(row))
    };
    let failed = covered()
        .filter(|row| stage(wave, row) == Stage::Failed && is_recent(row.since))
        .count();
    let ended_well = covered()
        .filter(|row| stage(wave, row) == Stage::Done && row.maintained.is_some_and(is_recent))
        .count();
    let first_failed = failed > 0 && progress.recent == 0;
    let enough_failures = failed >= limits.failures.max(1) as usize;
    let high_percentage = failed * 100 >= limits.percent as usize * (failed + ended_well);
    let reason = || format!("{failed} failed and {ended_well} came back well").into();
    (first_failed || (enough_failures && high_percentage)).then(reason)
}

/// Returns instances that still drain for a stopped wave to serving; they have not been rebooted.
fn release_draining(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    let is_draining = |row: &&Instance| {
        row.state == InstanceState::Draining
            && matches!(&row.purpose, Some(Purpose::Wave(id)) if id == wave.id())
    };
    let rows = fleet.rows.values().filter(is_draining);
    rows.filter_map(|row| lifecycle::undrain(row, now).ok())
        .map(Action::Put)
        .collect()
}
