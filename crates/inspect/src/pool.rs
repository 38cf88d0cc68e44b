//! Pools: who owns them, what they need and have, and what waits.

use crate::parsed;
use primroseroute_cell::row::{self, CommitRecord, DesiredWorkers, Owner};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Rows, read_row},
    site::{Instance, InstanceState, Instruction, Site},
};
use serde::Serialize;
use std::collections::BTreeMap;

/// A pool as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// Whether its instances are switched off.
    pub standby: bool,
    /// The entry that owns it; none where it was given up, or never owned.
    pub owner: Option<Name>,
    /// The owner's fencing token.
    pub token: u64,
    /// Workers that it can use, with headroom and trend.
    pub wanted: Option<u64>,
    /// Workers that it has use for now, for work that can be in time.
    pub needed_now: Option<u64>,
    /// Workers beyond those that it has use for, for work that is late already.
    pub needed_late: Option<u64>,
    /// Its instances that are up.
    pub up: usize,
    /// Those that are moving here, or in maintenance, or down.
    pub away: usize,
    /// For each queue, its jobs of which no task has started.
    pub queued: BTreeMap<Name, u64>,
}

/// All pools of the newest configuration.
///
/// # Errors
/// Those of the calls, and [`Error::Unavailable`] for a row that can't be read.
pub async fn pools(rows: &dyn Rows, site: &dyn Site) -> Result<Vec<Pool>, Error> {
    let (instructions, _version) = site.instructions().await?;
    let configurations = instructions
        .into_iter()
        .filter_map(|instruction| match instruction {
            Instruction::Configuration(configuration) => Some(configuration),
            Instruction::Wave(_) => None,
        });
    let newest = configurations.max_by_key(|configuration| configuration.number);
    let instances = site.instances().await?;
    let mut pools = Vec::new();
    for known in newest.into_iter().flat_map(|newest| newest.pools) {
        pools.push(pool(rows, &known.name, known.standby, &instances).await?);
    }
    Ok(pools)
}

async fn pool(
    rows: &dyn Rows,
    name: &Name,
    standby: bool,
    instances: &[Instance],
) -> Result<Pool, Error> {
    let owner = read_row(rows, row::owner(name)).await?;
    let token = owner.as_ref().map_or(0, |row| row.version);
    let owner: Option<Owner> = owner.as_ref().map(parsed).transpose()?;
    let owner = owner.filter(|owner| !owner.released);
    let wanted = read_row(rows, row::desired_workers(name)).await?;
    let wanted: Option<DesiredWorkers> = wanted.as_ref().map(parsed).transpose()?;
    let batch = read_row(rows, row::commit_record(name)).await?;
    let batch: Option<CommitRecord> = batch.as_ref().map(parsed).transpose()?;
    let own = instances.iter().filter(|instance| instance.pool == *name);
    let (up, away): (Vec<&Instance>, Vec<&Instance>) =
        own.partition(|instance| instance.state == InstanceState::Up);
    Ok(Pool {
        name: Name::clone(name),
        standby,
        owner: owner.map(|owner| owner.entry),
        token,
        wanted: wanted.map(|wanted| wanted.workers),
        needed_now: wanted.map(|wanted| wanted.now),
        needed_late: wanted.map(|wanted| wanted.late),
        up: up.len(),
        away: away.len(),
        queued: batch.map(|batch| batch.queued).unwrap_or_default(),
    })
}
