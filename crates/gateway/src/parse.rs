//! Parsing of rows.

use primroseroute_platform::{Error, rows::Row};
use serde::de::DeserializeOwned;

/// Parses a row's JSON.
pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value)
        .map_err(|error| Error::Unavailable(format!("{} can't be read: {error}", row.place.key)))
}
