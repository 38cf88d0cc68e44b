//! How a call to the platform fails, by what the caller may conclude.

use serde::{Deserialize, Serialize};

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "detail")]
pub enum Error {
    /// The platform refused or could not be reached; the call had no effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The platform refused the load; the call had no effect.
    #[error("the platform throttles calls")]
    Throttled,
    /// The answer was lost; the call may have had its effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The call itself is malformed; trying again does not help.
    #[error("the platform rejects the call: {0}")]
    Invalid(String),
}

impl Error {
    /// Whether the call may have had its effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
