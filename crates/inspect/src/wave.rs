//! Maintenance waves and their progress.

use crate::parsed;
use primroseroute_cell::row::{self, WaveProgress as Progress};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Rows, read_row},
    site::{Instruction, Site},
};
use serde::Serialize;
use std::collections::BTreeSet;

/// Current state of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Wave {
    /// Wave number.
    pub number: u64,
    /// Maximum number of instances in maintenance at a time.
    pub maximum: usize,
    /// Instances that may be in maintenance.
    pub active: BTreeSet<Name>,
    /// Instances that have completed maintenance.
    pub done: BTreeSet<Name>,
    /// Instances that are waiting for maintenance.
    pub waiting: BTreeSet<Name>,
}

/// Returns all requested waves.
///
/// # Errors
/// Errors of the calls, and [`Error::Unavailable`] for a row that cannot be parsed.
pub async fn waves(rows: &dyn Rows, site: &dyn Site) -> Result<Vec<Wave>, Error> {
    let (instructions, _version) = site.instructions().await?;
    let mut waves = Vec::new();
    for instruction in instructions {
        let Instruction::Wave(wave) = instruction else {
            continue;
        };
        let progress = read_row(rows, row::wave(wave.number)).await?;
        let progress: Option<Progress> = progress.as_ref().map(parsed).transpose()?;
        let Progress { active, done } = progress.unwrap_or_default();
        let active: BTreeSet<Name> = active.into_keys().collect();
        let all = wave.instances.into_iter();
        let waiting = all.filter(|name| !active.contains(name) && !done.contains(name));
        waves.push(Wave {
            number: wave.number,
            maximum: wave.maximum,
            waiting: waiting.collect(),
            active,
            done,
        });
    }
    Ok(waves)
}
