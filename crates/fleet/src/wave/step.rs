//! One step of a wave.

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

/// One thing to do; all writes of a step go into one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the instance's row: it drains, goes into maintenance, or serves again.
    Put(Instance),
    /// Write the wave's row.
    Wave(Row),
}

/// The next step of `wave`.
pub fn step(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    match wave.state {
        State::Running => run(fleet, wave, now),
        State::Halted | State::Aborted => give_back(fleet, wave, now),
        State::Paused | State::Done => Vec::new(),
    }
}

fn run(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    let progress = progress(fleet, wave);
    if let Some(reason) = failed_together(fleet, wave, &progress, now) {
        let halted = wave.enter(State::Halted, now, Some(reason));
        return vec![Action::Wave(halted)];
    }
    if progress.is_finished() {
        return vec![Action::Wave(wave.enter(State::Done, now, None))];
    }
    let window = wave.order.window;
    if window.closes.is_some_and(|closes| now >= closes) {
        let reason = "its window has closed".into();
        return vec![Action::Wave(wave.enter(State::Paused, now, Some(reason)))];
    }
    if window.opens.is_some_and(|opens| now < opens) {
        return Vec::new();
    }
    take_out(fleet, wave, &progress, now)
}

fn take_out(fleet: &Fleet, wave: &Row, progress: &Progress, now: Instant) -> Vec<Action> {
    let width = wave.order.limits.width(progress.recent);
    let most = width.saturating_sub(progress.out);
    let leaving = select(fleet, wave, most);
    if leaving.is_empty() && progress.out == 0 {
        return explain(fleet, wave, now);
    }
    let mut actions: Vec<_> = leaving
        .into_iter()
        .filter_map(|row| out(wave, row, now))
        .map(Action::Put)
        .collect();
    if wave.reason.is_some() && !actions.is_empty() {
        actions.push(Action::Wave(wave.enter(State::Running, now, None)));
    }
    actions
}

/// The row of an instance that goes out: a spare has nothing to drain.
fn out(wave: &Row, row: &Instance, now: Instant) -> Option<Instance> {
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

/// Gives a pool the spare that lets the wave go on, or says in the wave's row why nothing can
/// leave, once.
fn explain(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    if let Some(row) = super::plan::relief(fleet, &wave.order) {
        return vec![Action::Put(row)];
    }
    let reason: Option<Arc<str>> = super::plan::never(fleet, &wave.order)
        .map(|refusal| format!("{}: {}", Code::WaveCannotFinish, refusal.detail).into())
        .or_else(|| Some("it waits for absent instances of its pools to come back".into()));
    if wave.reason == reason {
        return Vec::new();
    }
    vec![Action::Wave(wave.enter(State::Running, now, reason))]
}

/// Why the wave must stop, if its instances fail together.
fn failed_together(
    fleet: &Fleet,
    wave: &Row,
    progress: &Progress,
    now: Instant,
) -> Option<Arc<str>> {
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
    let fails_first = failed > 0 && progress.recent == 0;
    let is_many = failed >= limits.failures.max(1) as usize;
    let is_much = failed * 100 >= limits.percent as usize * (failed + ended_well);
    let reason = || format!("{failed} failed and {ended_well} came back well").into();
    (fails_first || (is_many && is_much)).then(reason)
}

/// What still drains for a wave that stopped serves again: it has not been rebooted.
fn give_back(fleet: &Fleet, wave: &Row, now: Instant) -> Vec<Action> {
    let is_draining = |row: &&Instance| {
        row.state == InstanceState::Draining
            && matches!(&row.purpose, Some(Purpose::Wave(id)) if id == wave.id())
    };
    let rows = fleet.rows.values().filter(is_draining);
    rows.filter_map(|row| lifecycle::undrain(row, now).ok())
        .map(Action::Put)
        .collect()
}
