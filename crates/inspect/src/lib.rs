//! Read-only operator views of the job path, from the store and the list of instances.
//!
//! No entry is contacted: the rows are the source of truth for the entries, so this also works while
//! a pool's owner is unavailable.

mod job;
mod pool;
mod wave;

pub use job::{JobDetails, Task, job};
pub use pool::{Pool, pools};
pub use wave::{Wave, waves};

use primroseroute_platform::{Error, rows::Row};
use serde::de::DeserializeOwned;

/// Parses the JSON value of a row.
fn parsed<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value)
        .map_err(|error| Error::Unavailable(format!("{} can't be read: {error}", row.place.key)))
}
