//! Read-only operator views of the job path, from the store and the list of instances.
//!
//! No entry is contacted: the rows are the source of truth for the entries, so this also works while
//! a pool's owner is unavailable.

mod account;
mod job;
mod pool;
mod wave;

pub use account::{Account, accounts};
pub use job::{JobDetails, Task, job};
pub use pool::{Pool, pools};
pub use wave::{Wave, waves};

use primroseroute_admission::PoolLoad;
use primroseroute_cell::row;
use primroseroute_platform::{
    Error,
    rows::{Row, Rows, read_row},
    site::{Configuration, Instruction, Site},
};
use serde::de::DeserializeOwned;

/// What the owner of a pool published last for the admission of jobs. A row that is malformed or has
/// another format counts as none, as it does for gateways.
async fn pool_load(rows: &dyn Rows, pool: &str) -> Result<Option<PoolLoad>, Error> {
    let found = read_row(rows, row::pool_load(pool)).await?;
    let load = found.and_then(|row| parsed::<PoolLoad>(&row).ok());
    Ok(load.filter(|load| load.format == PoolLoad::FORMAT))
}

/// The newest configuration, if there is any.
async fn newest_configuration(site: &dyn Site) -> Result<Option<Configuration>, Error> {
    let (instructions, _version) = site.instructions().await?;
    let configurations = instructions
        .into_iter()
        .filter_map(|instruction| match instruction {
            Instruction::Configuration(configuration) => Some(configuration),
            Instruction::Wave(_) => None,
        });
    Ok(configurations.max_by_key(|configuration| configuration.number))
}

/// Parses the JSON value of a row.
fn parsed<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value)
        .map_err(|error| Error::Unavailable(format!("{} can't be read: {error}", row.place.key)))
}
