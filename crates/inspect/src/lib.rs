//! What operators see of the job path, read from the store and from the list of instances.
//!
//! No entry is asked: the rows are what the entries go by, so this also works while a pool's owner is
//! away. All of it only reads.

mod job;
mod pool;
mod wave;

pub use job::{Story, Task, job};
pub use pool::{Pool, pools};
pub use wave::{Wave, waves};

use primroseroute_platform::{Error, rows::Row};
use serde::de::DeserializeOwned;

/// Reads a row's JSON.
fn parsed<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value)
        .map_err(|error| Error::Unavailable(format!("{} can't be read: {error}", row.place.key)))
}
