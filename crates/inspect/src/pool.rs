//! Pools: ownership, demand for workers, instances and queued jobs.

use crate::{newest_configuration, parsed, pool_load};
use primroseroute_cell::row::{self, CommitRecord, DesiredWorkers, Owner};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Rows, read_row},
    site::{Instance, InstanceState, Site},
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Current state of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Pool name.
    pub name: Name,
    /// Whether the pool is on standby, with its instances switched off.
    pub standby: bool,
    /// The entry that owns it; `None` if it was released or never owned.
    pub owner: Option<Name>,
    /// The owner's fencing token.
    pub token: u64,
    /// Number of workers that it can use, including headroom and trend.
    pub wanted: Option<u64>,
    /// Number of workers needed now for work that can still meet its objective.
    pub needed_now: Option<u64>,
    /// Number of additional workers needed for work that is already late.
    pub needed_late: Option<u64>,
    /// Number of its instances that are up.
    pub up: usize,
    /// Number of its instances that are moving here, in maintenance, or down.
    pub away: usize,
    /// Number of jobs per queue of which no task has started.
    pub queued: BTreeMap<Name, u64>,
    /// Published wait of a job within its account's entitlement, in milliseconds; `None` if nothing
    /// was published. An owner repeats it only while a wait is above 0.
    pub within_wait_ms: Option<u64>,
    /// Published wait of a job beyond its account's entitlement, in milliseconds.
    pub beyond_wait_ms: Option<u64>,
    /// Published rate at which the pool processes its backlog, in thousandths of a core.
    pub rate_cpu: Option<u64>,
}

/// Returns all pools of the newest configuration.
///
/// # Errors
/// Errors of the calls, and [`Error::Unavailable`] for a row that cannot be parsed.
pub async fn pools(rows: &dyn Rows, site: &dyn Site) -> Result<Vec<Pool>, Error> {
    let newest = newest_configuration(site).await?;
    let instances = site.instances().await?;
    let mut pools = Vec::new();
    for configured in newest.into_iter().flat_map(|newest| newest.pools) {
        pools.push(pool(rows, &configured.name, configured.standby, &instances).await?);
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
    let commit_record = read_row(rows, row::commit_record(name)).await?;
    let commit_record: Option<CommitRecord> = commit_record.as_ref().map(parsed).transpose()?;
    let load = pool_load(rows, name).await?;
    let load = load.as_ref();
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
        queued: commit_record
            .map(|commit_record| commit_record.queued)
            .unwrap_or_default(),
        within_wait_ms: load.map(|load| load.within_wait_ms),
        beyond_wait_ms: load.map(|load| load.beyond_wait_ms),
        rate_cpu: load.map(|load| load.rate_cpu),
    })
}
